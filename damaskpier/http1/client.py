"""Client side of HTTP/1.1 connections.

The client never sends a request twice; retries are the caller's decision. A
connection carries one request at a time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
import re
import socket
import time
from typing import NamedTuple

import httptools

from damaskpier.http1 import byte_counter
from damaskpier.http1 import messages
from damaskpier.http1 import pacing
from damaskpier.util import memory

LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.4
# The kernel closes a connection when sent bytes or the keep-alive probes of an
# idle connection stay unacknowledged. Otherwise the failure of a peer that has
# lost its power would go unnoticed.
TCP_USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
# Largest value that a socket option of Python can have.
MAX_USER_TIMEOUT_MS = 2**31 - 1
# A request up to this size fits into the receive buffer of a server that does
# not read yet.
LONG_REQUEST_BYTES = 64 * 1024
MAX_IDLE_S = 8.0
# An idle connection is reused only within this ratio of the idle timeout that
# the server states.
KEEP_ALIVE_USE_RATIO = 0.6
# Limits of a response. A faulty server may send bytes without end, and a node
# would keep them until it has no memory left.
MAX_HEAD_BYTES = 64 * 1024
# The objects of a short header take far more memory than its bytes.
MAX_HEADER_COUNT = 1000
# A node that runs a request sends five interim responses a second, so this
# limit is reached after ten minutes.
MAX_INTERIM_COUNT = 3000
# Limit of the responses to earlier requests that are dropped before the one to
# the request. A connection carries one request at a time, so that a server
# that works sends none or one.
MAX_LATE_COUNT = 16
# Refusals after which a connection is not used again.
MAX_REFUSED_COUNT = 64
# The largest bodies are downloads of a few MB.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Limit of all responses that a process receives at one time. The smallest
# nodes have 200 MB, and the body of a response is copied when it is complete.
MAX_RECEIVED_BYTES = 48 * 1024 * 1024

_RESPONSE_MEMORY = memory.MemoryLimit(MAX_RECEIVED_BYTES)
_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d+)')


class Activity:
    """Time at which data last arrived, for one or more requests.

    ``received_bytes`` counts the data.

    :param heard_at: time of the loop's clock in seconds
    """

    __slots__ = ('heard_at', 'received_bytes')

    def __init__(self, heard_at: float) -> None:
        self.heard_at = heard_at
        self.received_bytes = 0


class Options(NamedTuple):
    """Options of a request.

    ``deadline`` is a time of the loop's clock in seconds. A connection that
    was idle for longer than ``max_idle_s`` is not used. ``id_header`` names
    the header in which the server echoes the ``request_id``; a response with
    another value belongs to an earlier request and is dropped. When the peer
    sends nothing, not even an interim response, for ``silence_timeout_s``,
    ``on_silence`` is called with a description and the request goes on;
    without it, the request fails. 0 turns this timeout off. ``activity``
    records when data arrives. ``connect_timeout_s`` limits the time to connect
    beside the limit of the pool. ``may_stay_unread`` tells that the server may
    read a long request late, so that the user timeout of the pool does not
    apply to it. ``is_refusal`` returns whether a response promises that the
    request did not run; see :class:`Connection`.
    """

    deadline: float
    is_head: bool = False
    max_idle_s: float = MAX_IDLE_S
    id_header: str = ''
    request_id: str = ''
    silence_timeout_s: float = 0.0
    on_silence: Callable[[str], None] | None = None
    activity: Activity | None = None
    connect_timeout_s: float = float('inf')
    may_stay_unread: bool = False
    is_refusal: Callable[[messages.Response], bool] | None = None


class Pool:
    """Pool of connections to one server.

    The most recently used connection is reused first.

    :param max_idle: limit of the connections that are open without a request
    :param connect_timeout_s: limit of the time to connect
    :param user_timeout_ms: time after which a connection is closed whose sent
        bytes the peer has not acknowledged
    :param max_response_bytes: limit of a response, with its head and framing
    :param memory_limit: limit of the responses that arrive at one time; by
        default, all pools share one limit
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_idle: int = 32,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        user_timeout_ms: int = TCP_USER_TIMEOUT_MS,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        memory_limit: memory.MemoryLimit = _RESPONSE_MEMORY,
    ) -> None:
        self.user_timeout_ms = user_timeout_ms
        self.max_response_bytes = max_response_bytes
        self.memory = memory_limit
        self.address = (host, port)
        self.opened_count = 0
        self.in_use = 0
        self.last_used = time.monotonic()
        self._max_idle = max_idle
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[Connection] = []
        self._busy: set[Connection] = set()
        self._is_abandoned = False
        self._silent_since: float | None = None

    async def request(
        self, data: bytes, options: Options
    ) -> messages.Response | messages.Failure:
        """Send a request and return its complete response.

        Cancelling the call closes the connection.

        :param data: encoded request
        """
        loop = asyncio.get_running_loop()
        conn = self._pop_reusable(loop.time(), options)
        self.in_use += 1
        try:
            if conn is None:
                conn = await self._connect(options)
            if isinstance(conn, messages.Failure):
                return conn
            return await self._send_and_receive(conn, data, options)
        finally:
            self.in_use -= 1
            self.last_used = time.monotonic()

    def close_idle(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.close()

    def abandon(self, reason: str) -> None:
        """Fail all requests, those that are still to connect included."""
        self._is_abandoned = True
        self.close_idle()
        for conn in tuple(self._busy):
            conn.fail(reason)

    def record_silence(self, now: float) -> None:
        """Use no idle connection until the server is heard again.

        A request on a connection that leads nowhere would be lost, while one
        that gets no connection was not sent.

        :param now: time of the loop's clock in seconds
        """
        if self._silent_since is None:
            self._silent_since = now

    def record_data(self, opened_at: float) -> None:
        """Record that data has arrived.

        :param opened_at: time at which its connection was opened
        """
        if self._silent_since is None:
            return
        if opened_at > self._silent_since:
            # The server answers on a new connection, so that the silence is
            # that of the old ones.
            self.close_idle()
        self._silent_since = None

    def discard(self, conn: Connection) -> None:
        """Remove a closed connection from the idle ones."""
        if conn in self._idle:
            self._idle.remove(conn)

    async def _send_and_receive(
        self, conn: Connection, data: bytes, options: Options
    ) -> messages.Response | messages.Failure:
        if self._is_abandoned:
            conn.abort()
            return messages.Failure('the pool is not used any more', False)
        fut = conn.send(data, options)
        self._busy.add(conn)
        try:
            outcome = await fut
        except asyncio.CancelledError:
            conn.abort()
            raise
        finally:
            self._busy.discard(conn)
        if isinstance(outcome, messages.Failure):
            conn.abort()
            if outcome.silent:
                # The cause may affect the other connections too.
                self.close_idle()
            return outcome
        if conn.is_reusable and len(self._idle) < self._max_idle:
            self._idle.append(conn)
        else:
            conn.close()
        return outcome

    def _pop_reusable(self, now: float, options: Options) -> Connection | None:
        if self._silent_since is not None:
            return None
        for conn in reversed(self._idle[:]):
            if not conn.is_open or now >= conn.expires_at:
                self._idle.remove(conn)
                conn.close()
            elif now - conn.idle_since > options.max_idle_s:
                # The list is ordered by last use, so all others have been
                # idle for longer.
                return None
            elif conn.may_carry(options):
                self._idle.remove(conn)
                return conn
        return None

    async def _connect(
        self, options: Options
    ) -> Connection | messages.Failure:
        loop = asyncio.get_running_loop()
        limit_s = min(
            self._connect_timeout_s,
            options.connect_timeout_s,
            options.deadline - loop.time(),
        )
        if limit_s <= 0:
            return messages.Failure('no time to connect', False, True)
        try:
            async with asyncio.timeout(limit_s):
                _, conn = await loop.create_connection(
                    lambda: Connection(self), *self.address
                )
        except TimeoutError:
            return messages.Failure('connecting timed out', False, True)
        except OSError as exc:
            return messages.Failure(f'no connection: {exc}', False)
        self.opened_count += 1
        if not conn.is_open:
            return messages.Failure('the connection was closed at once', False)
        return conn


class Connection(asyncio.Protocol, memory.Receiver):
    """One connection to a server.

    A faulty server may write a refusal again when the next request has been
    sent, which may run. If the refusal is not identified, or identifies that
    request, it would be taken for its own. So no request uses a connection on
    which one with its identifier was refused, and a refusal without one ends
    the use of its connection.

    :param pool: pool that the connection belongs to
    """

    def __init__(self, pool: Pool) -> None:
        self.idle_since = 0.0
        self.expires_at = float('inf')
        self.is_reusable = True
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._response: (
            asyncio.Future[messages.Response | messages.Failure] | None
        ) = None
        self._options = Options(0.0)
        self._timers: list[asyncio.TimerHandle] = []
        self._opened_at = 0.0
        self._last_received_at = 0.0
        self._received_by_all = 0
        self._silence_check_at = 0.0
        self._began_at = 0.0
        self._received_bytes = 0
        # Bytes since the last part of a body or interim response.
        self._framing_bytes = 0
        self._interim_count = 0
        self._has_long_user_timeout = False
        self._interim_header_bytes = 0
        self._late_count = 0
        self._refused_ids: set[str] = set()
        self._init_parser()

    def may_carry(self, options: Options) -> bool:
        """Return whether a refusal of a request would be its own."""
        if not self._refused_ids or options.is_refusal is None:
            return True
        return (
            options.request_id != ''
            and options.request_id not in self._refused_ids
        )

    @property
    def is_open(self) -> bool:
        """Return whether a request can be sent.

        The transport learns of the end of the connection one iteration of the
        loop before it calls :meth:`connection_lost`, and from then on it drops
        what is written.
        """
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket options of the new connection."""
        self._transport = transport
        self._opened_at = asyncio.get_running_loop().time()
        sock = transport.get_extra_info('socket')
        if sock is not None:
            set_socket_options(sock, self._pool.user_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request unless its response ends with the connection.

        :param exc: error that closed the connection, None for a regular close
        """
        self._pool.discard(self)
        if self._response is None:
            return
        if exc is None and self._is_ended_by_close:
            self._complete_at_end()
            return
        self._fail(
            f'the connection was lost: {exc or "closed"}',
            unacknowledged=isinstance(exc, TimeoutError),
        )

    def eof_received(self) -> bool:
        """Complete a response that ends with the connection."""
        if self._response is not None and self._is_ended_by_close:
            self._complete_at_end()
        return False

    def send(
        self, data: bytes, options: Options
    ) -> asyncio.Future[messages.Response | messages.Failure]:
        """Send a request on an idle connection.

        :returns: future of the response or of the failure
        """
        loop = asyncio.get_running_loop()
        self._options = options
        self._response = loop.create_future()
        self._received_bytes = self._framing_bytes = 0
        self._interim_count = self._interim_header_bytes = 0
        self._late_count = 0
        self._last_received_at = loop.time()
        self._received_by_all = byte_counter.RECEIVED.total
        if options.may_stay_unread and len(data) > LONG_REQUEST_BYTES:
            self._extend_user_timeout(options.deadline - loop.time())
        # The transport keeps a copy of what the kernel does not take. It would
        # cut bytes with one more copy.
        self._transport.write(memoryview(data))
        self._timers = [loop.call_at(options.deadline, self._on_deadline)]
        if options.silence_timeout_s:
            self._silence_check_at = loop.time() + options.silence_timeout_s
            self._timers.append(
                loop.call_at(self._silence_check_at, self._on_silence_timer)
            )
        return self._response

    def _extend_user_timeout(self, timeout_s: float) -> None:
        # The user timeout also ends a connection whose peer acknowledges each
        # probe, but has no room for more data as long as it does not read.
        timeout_ms = min(timeout_s * 1000 + 1, MAX_USER_TIMEOUT_MS)
        self._set_user_timeout(
            max(self._pool.user_timeout_ms, int(timeout_ms))
        )
        self._has_long_user_timeout = True

    def _set_user_timeout(self, timeout_ms: int) -> None:
        sock = self._transport.get_extra_info('socket')
        if sock is not None and self.is_open:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )

    def close(self) -> None:
        """Close the connection when all written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def fail(self, reason: str) -> None:
        """Fail the running request, which closes the connection."""
        self._fail(reason)

    def abort(self) -> None:
        """Close the connection at once; a running request gets no result."""
        self._cancel_timers()
        self._response = None
        self._discard_message()
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse data of the server."""
        byte_counter.RECEIVED.total += len(data)
        if self._response is None:
            # There is no request that the data could belong to.
            self.close()
            return
        self._last_received_at = asyncio.get_running_loop().time()
        self._pool.record_data(self._opened_at)
        self._received_by_all = byte_counter.RECEIVED.total
        if self._options.activity is not None:
            self._options.activity.heard_at = self._last_received_at
            self._options.activity.received_bytes += len(data)
        self._framing_bytes += len(data)
        self._received_bytes += len(data)
        self._pool.memory.add(self, len(data))
        if self._received_bytes > self._pool.max_response_bytes:
            self._fail_too_large(f'{self._pool.max_response_bytes} bytes')
        if self._response is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail('the server switched protocols')
        except httptools.HttpParserError as exc:
            self._fail(f'malformed response: {exc}')
        if self._response is not None and self._framing_bytes > MAX_HEAD_BYTES:
            self._fail_too_large(f'a head of {MAX_HEAD_BYTES} bytes')

    def memory_exhausted(self) -> None:
        """Fail the request, because too many bytes arrive at one time."""
        self._fail('no memory for the response')

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Start a message, which may follow a complete response."""
        if self._response is None:
            self.is_reusable = False
        self._began_at = asyncio.get_running_loop().time()
        self._discard_message()
        self._is_ended_by_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the head or of the trailers."""
        if self._response is None:
            return
        self._header_bytes += len(name) + len(value)
        if (
            self._header_bytes > MAX_HEAD_BYTES
            or len(self._headers) >= MAX_HEADER_COUNT
        ):
            self._fail_too_large(
                f'a head of {MAX_HEAD_BYTES} bytes or {MAX_HEADER_COUNT} '
                'headers'
            )
            return
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is recognised."""
        if self._response is None:
            return
        fields = {name.lower(): value for name, value in self._headers}
        status = self._parser.get_status_code()
        if (
            status not in messages.FINAL_STATUSES
            and status not in messages.INTERIM_STATUSES
        ):
            # A faulty server; what it did with the request is unknown.
            self._fail(f'a response with the invalid status {status:03d}')
            return
        has_body = not (
            status < 200
            or status in messages.STATUSES_WITHOUT_BODY
            or self._options.is_head
        )
        self._is_ended_by_close = has_body and not (
            'content-length' in fields or 'transfer-encoding' in fields
        )
        if (
            has_body
            and int(fields.get('content-length', 0))
            > self._pool.max_response_bytes
        ):
            self._fail_too_large(
                f'a Content-Length of {self._pool.max_response_bytes}'
            )
        if self._options.is_head and status >= 200:
            # The parser would wait for a body of the stated length.
            self.is_reusable = False
            if self._answers_request():
                self._complete()
            else:
                # The late response to another method may have a body.
                self._fail('a response to another request, of unknown length')

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._framing_bytes = 0
        if self._response is not None:
            self._body += body

    def on_message_complete(self) -> None:
        """Complete the request if the response belongs to it."""
        if self._response is None:
            return
        if self._parser.get_status_code() < 200:
            self._interim_count += 1
            self._interim_header_bytes += self._header_bytes
            self._framing_bytes = 0
            if (
                self._interim_count > MAX_INTERIM_COUNT
                or self._interim_header_bytes > MAX_HEAD_BYTES
            ):
                self._fail_too_large(
                    f'{MAX_INTERIM_COUNT} interim responses or '
                    f'{MAX_HEAD_BYTES} bytes of their headers'
                )
            return
        if not self._answers_request():
            self._drop_late_response()
            return
        self._complete()

    def _drop_late_response(self) -> None:
        self.is_reusable = False
        self._late_count += 1
        self._framing_bytes = 0
        if self._late_count > MAX_LATE_COUNT:
            self._fail_too_large(f'{MAX_LATE_COUNT} responses to others')
            return
        LOG.info(
            'http: dropped a response of %s:%d that belongs to an earlier '
            'request',
            *self._address,
        )

    def _answers_request(self) -> bool:
        options = self._options
        if not options.id_header:
            return True
        for name, value in self._headers:
            if name.lower() == options.id_header:
                return value == options.request_id
        return True

    @property
    def _address(self) -> tuple[str, int]:
        return self._pool.address

    def _complete_at_end(self) -> None:
        if self._answers_request():
            self._complete()
        else:
            self._fail('the connection ended with the response to another')

    def _complete(self) -> None:
        fut, self._response = self._response, None
        self._cancel_timers()
        headers = tuple(self._headers)
        now = asyncio.get_running_loop().time()
        response = messages.Response(
            self._parser.get_status_code(),
            headers,
            bytes(self._body),
            now - self._began_at,
        )
        self._discard_message()
        if self._options.is_refusal and self._options.is_refusal(response):
            if not self._record_refusal(response):
                self._fail_unidentified(fut)
                return
        if self._is_ended_by_close or not self._parser.should_keep_alive():
            self.is_reusable = False
        if self._has_unread_request():
            # The server has answered before it received the whole request.
            self.is_reusable = False
        if self._has_long_user_timeout:
            # Also limits the time in which a server that does not read keeps
            # the connection open, with the rest of the request.
            self._set_user_timeout(self._pool.user_timeout_ms)
            self._has_long_user_timeout = False
        self.idle_since = now
        self._set_expiry(response)
        if not fut.done():
            fut.set_result(response)

    def _record_refusal(self, response: messages.Response) -> bool:
        """Record a refusal.

        :returns: whether it is certain to be that of the request, and not an
            earlier one
        """
        options = self._options
        identifier = response.header(options.id_header)
        if not identifier:
            self.is_reusable = False
            return not self._refused_ids
        self._refused_ids.add(identifier)
        if len(self._refused_ids) >= MAX_REFUSED_COUNT:
            self.is_reusable = False
        return True

    def _fail_unidentified(
        self, fut: asyncio.Future[messages.Response | messages.Failure]
    ) -> None:
        if not fut.done():
            fut.set_result(
                messages.Failure(
                    'a refusal without an identifier on a connection with '
                    'earlier ones',
                    True,
                )
            )

    def _has_unread_request(self) -> bool:
        if self._transport.get_write_buffer_size():
            return True
        if not self._has_long_user_timeout or not self.is_open:
            return False
        # The kernel may have taken the rest of a long request.
        sock = self._transport.get_extra_info('socket')
        try:
            return pacing.unacknowledged_bytes(sock.fileno()) > 0
        except OSError:
            return True

    def _set_expiry(self, response: messages.Response) -> None:
        limit_s = MAX_IDLE_S
        found = _KEEP_ALIVE_TIMEOUT.search(response.header('keep-alive'))
        if found:
            limit_s = min(limit_s, KEEP_ALIVE_USE_RATIO * int(found[1]))
        self.expires_at = self.idle_since + limit_s

    def _fail(self, reason: str, **flags: bool) -> None:
        fut, self._response = self._response, None
        self._cancel_timers()
        self.is_reusable = False
        self._discard_message()
        if fut is not None and not fut.done():
            fut.set_result(messages.Failure(reason, True, **flags))

    def _fail_too_large(self, limit: str) -> None:
        self._fail(f'the response exceeds {limit}')

    def _discard_message(self) -> None:
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        if self._response is None:
            self._pool.memory.release(self)

    def _on_deadline(self) -> None:
        self._fail('no response by the deadline', timed_out=True)

    def _on_silence_timer(self) -> None:
        if self._response is None:
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        idle_s = now - self._last_received_at
        left_s = self._options.silence_timeout_s - idle_s
        if left_s <= 0:
            self._report_silence(
                self._describe_silence(idle_s, now - self._silence_check_at)
            )
            return
        self._silence_check_at = now + left_s
        self._timers[1] = loop.call_at(
            self._silence_check_at, self._on_silence_timer
        )

    def _report_silence(self, reason: str) -> None:
        self._pool.record_silence(asyncio.get_running_loop().time())
        if self._options.on_silence is None:
            self._fail(reason, timed_out=True, silent=True)
        else:
            self._options.on_silence(reason)

    def _describe_silence(self, idle_s: float, lateness_s: float) -> str:
        # Many bytes on other connections point to a full link of this node, a
        # late timer to its event loop. Neither is a fault of the peer.
        others = byte_counter.RECEIVED.total - self._received_by_all
        return (
            f'nothing was heard for {idle_s:.2f} s while {others} bytes '
            f'arrived on other connections, timer {lateness_s * 1000:.0f} ms '
            'late'
        )

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers = []

    def _init_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        # The response to the request may follow a late one that announces the
        # end of the connection.
        self._parser.set_dangerous_leniencies(lenient_keep_alive=True)
        self._headers: list[tuple[str, str]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._is_ended_by_close = False


def set_socket_options(sock: socket.socket, user_timeout_ms: int) -> None:
    """Let the kernel close connections to a peer that no longer answers.

    :param user_timeout_ms: limit of the time that sent data may stay
        unacknowledged
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, user_timeout_ms),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
