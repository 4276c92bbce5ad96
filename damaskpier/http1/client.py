"""Client side of HTTP/1.1 connections.

No request is ever sent twice: what to repeat is the caller's decision. A
connection carries one request at a time.
"""

from __future__ import annotations

import asyncio
import logging
import re
import socket
import time
from typing import NamedTuple

import httptools

from damaskpier.http1 import messages

LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.4
# The kernel gives a connection up when sent bytes stay unacknowledged, or
# when probes of an idle one do: a peer without power answers nothing.
TCP_USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_IDLE_S = 8.0
# Part of the idle time that the server states in which a kept connection
# is used again.
IDLE_PART = 0.6

_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d+)')


class Options(NamedTuple):
    """How a request is sent and what its response is recognised by.

    ``deadline`` is a time of the loop's clock in seconds. A connection that
    was idle for longer than ``max_idle_s`` is not used. ``id_header`` and
    ``request_id`` name the header that a server echoes; responses with
    another value belong to an earlier request and are dropped. With
    ``silence_timeout_s`` the request fails when the peer sends nothing, not
    even an interim response, for this long.
    """

    deadline: float
    is_head: bool = False
    max_idle_s: float = MAX_IDLE_S
    id_header: str = ''
    request_id: str = ''
    silence_timeout_s: float = 0.0


class Pool:
    """Connections to one server, the most recently used one first.

    :param max_idle: connections that are kept open without a request
    :param user_timeout_ms: time after which sent bytes that the peer does not
        acknowledge end a connection
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_idle: int = 32,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        user_timeout_ms: int = TCP_USER_TIMEOUT_MS,
    ) -> None:
        self.user_timeout_ms = user_timeout_ms
        self.address = (host, port)
        self.opened_count = 0
        self.in_use = 0
        self.last_used = time.monotonic()
        self._max_idle = max_idle
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[Connection] = []

    async def request(
        self, data: bytes, options: Options
    ) -> messages.Response | messages.Failure:
        """Send a request and return its complete response.

        Cancelling the call closes the connection.
        """
        loop = asyncio.get_running_loop()
        conn = self._reusable(loop.time(), options.max_idle_s)
        self.in_use += 1
        try:
            if conn is None:
                conn = await self._connect(options.deadline)
            if isinstance(conn, messages.Failure):
                return conn
            return await self._exchange(conn, data, options)
        finally:
            self.in_use -= 1
            self.last_used = time.monotonic()

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.close()

    def forget(self, conn: Connection) -> None:
        """Stop reusing a connection that was closed."""
        if conn in self._idle:
            self._idle.remove(conn)

    async def _exchange(
        self, conn: Connection, data: bytes, options: Options
    ) -> messages.Response | messages.Failure:
        fut = conn.send(data, options)
        try:
            outcome = await fut
        except asyncio.CancelledError:
            conn.abort()
            raise
        if isinstance(outcome, messages.Failure):
            conn.abort()
            if outcome.silent:
                # What silenced this connection may have hit the others.
                self.close_idle()
            return outcome
        if conn.reusable and len(self._idle) < self._max_idle:
            self._idle.append(conn)
        else:
            conn.close()
        return outcome

    def _reusable(self, now: float, max_idle_s: float) -> Connection | None:
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_open or now >= conn.expires:
                conn.close()
            elif now - conn.idle_since <= max_idle_s:
                return conn
            else:
                # The list is ordered by use, so the rest is older.
                self._idle.append(conn)
                return None
        return None

    async def _connect(self, deadline: float) -> Connection | messages.Failure:
        loop = asyncio.get_running_loop()
        limit_s = min(self._connect_timeout_s, deadline - loop.time())
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
        return conn


class Connection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, pool: Pool) -> None:
        self.idle_since = 0.0
        self.expires = float('inf')
        self.reusable = True
        self.is_open = False
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._fut: (
            asyncio.Future[messages.Response | messages.Failure] | None
        ) = None
        self._options = Options(0.0)
        self._timers: list[asyncio.TimerHandle] = []
        self._heard_at = 0.0
        self._reset_parser()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket's options."""
        self._transport = transport
        self.is_open = True
        sock = transport.get_extra_info('socket')
        if sock is not None:
            set_options(sock, self._pool.user_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request unless its response ends with the connection."""
        self.is_open = False
        self._pool.forget(self)
        if self._fut is None:
            return
        if exc is None and self._ends_with_connection:
            self._complete()
            return
        self._fail(
            f'the connection was lost: {exc or "closed"}',
            unacknowledged=isinstance(exc, TimeoutError),
        )

    def eof_received(self) -> bool:
        """Complete a response that ends with the connection."""
        if self._fut is not None and self._ends_with_connection:
            self._complete()
        return False

    def send(
        self, data: bytes, options: Options
    ) -> asyncio.Future[messages.Response | messages.Failure]:
        """Send a request; the connection must carry no other."""
        loop = asyncio.get_running_loop()
        self._options = options
        self._fut = loop.create_future()
        self._heard_at = loop.time()
        self._transport.write(data)
        self._timers = [loop.call_at(options.deadline, self._timed_out)]
        if options.silence_timeout_s:
            self._timers.append(
                loop.call_later(options.silence_timeout_s, self._check_silence)
            )
        return self._fut

    def close(self) -> None:
        """Close after what has been written."""
        self.is_open = False
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; a request in progress gets no response."""
        self.is_open = False
        self._cancel_timers()
        self._fut = None
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse what the server sent."""
        if self._fut is None:
            # Nothing was asked: the bytes belong to no request.
            self.close()
            return
        self._heard_at = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail('the server switched protocols')
        except httptools.HttpParserError as exc:
            self._fail(f'malformed response: {exc}')

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Notice bytes behind a complete response."""
        if self._fut is None:
            self.reusable = False
        self._headers = []
        self._body = []
        self._ends_with_connection = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        names = {name.lower() for name, _ in self._headers}
        status = self._parser.get_status_code()
        self._ends_with_connection = not (
            status < 200
            or status in messages.BODILESS
            or self._options.is_head
            or 'content-length' in names
            or 'transfer-encoding' in names
        )
        if self._options.is_head and status >= 200:
            # The parser would wait for the body that the length announces.
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the response out if it answers the current request."""
        if self._fut is None or self._parser.get_status_code() < 200:
            return
        if not self._is_echo():
            LOG.info('http: dropped a late response of %s:%d', *self._address)
            self.reusable = False
            return
        self._complete()

    def _is_echo(self) -> bool:
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

    def _complete(self) -> None:
        fut, self._fut = self._fut, None
        self._cancel_timers()
        headers = tuple(self._headers)
        response = messages.Response(
            self._parser.get_status_code(), headers, b''.join(self._body)
        )
        if self._ends_with_connection or not self._parser.should_keep_alive():
            self.reusable = False
        if self._transport.get_write_buffer_size():
            # The server answered before it had the whole request.
            self.reusable = False
        self.idle_since = asyncio.get_running_loop().time()
        self._set_expiry(response)
        if not fut.done():
            fut.set_result(response)

    def _set_expiry(self, response: messages.Response) -> None:
        limit_s = MAX_IDLE_S
        found = _KEEP_ALIVE_TIMEOUT.search(response.header('keep-alive'))
        if found:
            limit_s = min(limit_s, IDLE_PART * int(found[1]))
        self.expires = self.idle_since + limit_s

    def _fail(self, reason: str, **flags: bool) -> None:
        fut, self._fut = self._fut, None
        self._cancel_timers()
        self.reusable = False
        if fut is not None and not fut.done():
            fut.set_result(messages.Failure(reason, True, **flags))

    def _timed_out(self) -> None:
        self._fail('no response by the deadline', timed_out=True)

    def _check_silence(self) -> None:
        if self._fut is None:
            return
        loop = asyncio.get_running_loop()
        silent_s = loop.time() - self._heard_at
        left_s = self._options.silence_timeout_s - silent_s
        if left_s <= 0:
            self._fail(
                f'nothing was heard for {silent_s:.2f} s',
                timed_out=True,
                silent=True,
            )
            return
        self._timers[1] = loop.call_later(left_s, self._check_silence)

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers = []

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._ends_with_connection = False


def set_options(sock: socket.socket, user_timeout_ms: int) -> None:
    """Make the kernel notice a peer that no longer answers."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, user_timeout_ms),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
