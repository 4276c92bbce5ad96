"""Server side of HTTP/1.1 connections.

Pipelined requests of a connection run concurrently; their responses are sent
in the order of the requests.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import logging
import time
from typing import NamedTuple

import httptools

from damaskpier.http1 import byte_counter
from damaskpier.http1 import messages
from damaskpier.http1 import pacing
from damaskpier.http1 import unsent
from damaskpier.util import memory

LOG = logging.getLogger(__name__)

Handler = Callable[[messages.Request], Awaitable[messages.Response]]
# Called with the headers of a request whose body is still to arrive; returns
# a function that is called when the body has arrived or will not.
ArrivalObserver = Callable[[messages.Headers], Callable[[], None]]

# Requests of one connection that run concurrently. Parsing and reading pause
# when there are that many.
MAX_PIPELINED_COUNT = 32
# Bytes that are parsed at a time. One read can contain thousands of short
# requests, and the parser can not be stopped between two of them, so that the
# requests in this many bytes may run beyond the limit.
PARSED_BYTES = 1024
# The objects of a short header take far more memory than its bytes.
MAX_HEADER_COUNT = 1000
# Memory of the objects of a header beside its bytes.
HEADER_OBJECT_BYTES = 200
# Limit of all requests of a process, from their arrival to the end of their
# handlers. The smallest nodes have 200 MB, and a body is copied twice when it
# is passed on.
MAX_REQUEST_BYTES = 24 * 1024 * 1024
# Time after which a client may retry a request for which there was no memory.
RETRY_AFTER_S = 0.2
LISTEN_BACKLOG = 1024
# Interval between checks of all connections for timeouts.
TIMEOUT_CHECK_INTERVAL_S = 0.5
STOP_POLL_INTERVAL_S = 0.01
PROCESSING_RESPONSE = b'HTTP/1.1 102 Processing\r\n\r\n'
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'

# Refusals of requests whose bodies may still be arriving, so that the rest of
# the body is read and discarded.
_BODY_REFUSAL_STATUSES = frozenset((408, 413, 503))

_REQUEST_MEMORY = memory.MemoryLimit(MAX_REQUEST_BYTES)
_UNSENT_LIMIT = unsent.UnsentLimit(unsent.MAX_UNSENT_BYTES)


class Limits(NamedTuple):
    """Limits for requests and connections of clients.

    ``header_timeout_s`` limits the time until a request has arrived.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class Progress(NamedTuple):
    """Times of interim responses, which show a client a live server.

    The first one is sent ``initial_delay_s`` seconds after the start of a
    request, the next ones every ``interval_s`` seconds.
    """

    initial_delay_s: float
    interval_s: float


class Server:
    """Accepts connections and runs a handler for each request.

    When a client closes its connection, the handlers of its requests are
    cancelled.

    :param handler: returns the response of a request
    :param limits: returns the limits, which may change while connections are
        open
    :param progress: times of interim responses, None for no such responses
    :param clock: returns the time in seconds
    :param memory_limit: limit of the requests that arrive or run at one time;
        by default, all servers share one limit
    :param unsent_limit: limit of the responses that clients have not taken;
        by default, all servers share one limit
    :param observe_arrival: learns of requests before their bodies arrive
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = Limits,
        progress: Progress | None = None,
        clock: Callable[[], float] = time.monotonic,
        memory_limit: memory.MemoryLimit = _REQUEST_MEMORY,
        unsent_limit: unsent.UnsentLimit = _UNSENT_LIMIT,
        observe_arrival: ArrivalObserver | None = None,
    ) -> None:
        self.observe_arrival = observe_arrival
        self.memory = memory_limit
        self.unsent = unsent_limit
        self.handler = handler
        self.limits = limits
        self.progress = progress
        self.clock = clock
        self.draining = False
        self.port = 0
        self.running = 0
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None
        self._timeout_task: asyncio.Task[None] | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections on an address.

        :param port: port, 0 for any free one; see the attribute ``port``
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self), host, port, backlog=LISTEN_BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._timeout_task = asyncio.create_task(
            self._check_timeouts_forever()
        )

    def start_draining(self) -> None:
        """Close each connection after its next response."""
        self.draining = True

    def is_busy(self) -> bool:
        """Return whether a request runs or a response is not sent yet."""
        return self.running > 0 or any(
            conn.has_unsent_data() for conn in self._connections
        )

    async def stop(self, timeout_s: float) -> bool:
        """Stop accepting, wait for running requests, close all connections.

        The responses are waited for too: what the kernel has not taken yet is
        lost when the process ends.

        :param timeout_s: longest wait in seconds
        :returns: whether all requests ended and all responses were sent in
            time
        """
        self.draining = True
        if self._server is not None:
            self._server.close()
        until = self.clock() + timeout_s
        while self.is_busy() and self.clock() < until:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        finished = not self.is_busy()
        for conn in list(self._connections):
            conn.close()
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        return finished

    def add_connection(self, conn: Connection) -> None:
        """Add an open connection."""
        self._connections.add(conn)

    def remove_connection(self, conn: Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(conn)

    async def _check_timeouts_forever(self) -> None:
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = self.clock()
            for conn in list(self._connections):
                conn.check_timeouts(now)


class _Exchange:
    """State of one request and, as soon as there is one, its response."""

    __slots__ = (
        'is_head',
        'task',
        'response',
        'waiting_bytes',
        'keep_alive',
        'discards_rest',
        'timer',
    )

    def __init__(self, is_head: bool, keep_alive: bool) -> None:
        self.is_head = is_head
        self.keep_alive = keep_alive
        self.task: asyncio.Task[None] | None = None
        self.response: messages.Response | None = None
        # Size of a response that waits for that to an earlier request.
        self.waiting_bytes = 0
        # Whether the server reads on, and discards what arrives, before it
        # closes the connection. Data that arrives after a close resets the
        # connection, which loses what is not sent of the response.
        self.discards_rest = True
        self.timer: asyncio.TimerHandle | None = None


class Connection(asyncio.Protocol, memory.Receiver):
    """One connection of a client.

    :param server: server that accepted the connection
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._limits = server.limits()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: pacing.PacedTransport | None = None
        self._unsent: unsent.UnsentResponses | None = None
        self._exchanges: collections.deque[_Exchange] = collections.deque()
        self._is_closed = False
        self._is_reading = True
        self._unparsed = memoryview(b'')
        self._is_in_message = False
        self._is_discarding = False
        self._discards_until: float | None = None
        self._arrival_end: Callable[[], None] | None = None
        self._waiting_since = server.clock()
        # Runs while a response waits for the link.
        self._waiting_timer: asyncio.TimerHandle | None = None
        # Bytes since the last part of a message that the parser has reported.
        self._framing_bytes = 0
        self._reset_message()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the new connection with the server."""
        self._transport = pacing.PacedTransport(
            transport, pacing.running_pacer(), self.resume_writing
        )
        self._unsent = unsent.UnsentResponses(
            self._transport,
            self._server.unsent,
            self._server.clock,
            self._transport.abort,
        )
        self._server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handlers of the requests of the connection."""
        self._server.remove_connection(self)
        self._server.memory.release(self)
        self._unsent.clear()
        if self._waiting_timer is not None:
            self._waiting_timer.cancel()
        self._end_arrival()
        self._is_closed = True
        self._cancel_handlers()
        self._transport.discard()

    def data_received(self, data: bytes) -> None:
        """Parse data of the client."""
        byte_counter.RECEIVED.total += len(data)
        if self._is_closed:
            return
        self._unparsed = memoryview(data)
        self._parse_received()

    def _parse_received(self) -> None:
        """Parse the received data until as many requests run as may."""
        while self._unparsed and not self._transport.is_closing():
            if self._must_wait:
                self._pause_reading()
                return
            part = self._unparsed[:PARSED_BYTES]
            self._unparsed = self._unparsed[PARSED_BYTES:]
            self._parse(part)
        if self._transport.is_closing():
            return
        if self._must_wait:
            self._pause_reading()
        elif not self._is_reading:
            self._is_reading = True
            self._transport.resume_reading()

    @property
    def _must_wait(self) -> bool:
        return (
            len(self._exchanges) >= MAX_PIPELINED_COUNT or self._unsent.is_full
        )

    def _pause_reading(self) -> None:
        if self._is_reading:
            self._is_reading = False
            self._transport.pause_reading()

    def _parse(self, data: memoryview) -> None:
        if not self._is_in_message:
            self._waiting_since = self._server.clock()
        self._framing_bytes += len(data)
        self._is_in_message = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served without the upgrade; the data after it is
            # not HTTP/1.1.
            self._discard_input()
        except httptools.HttpParserError as exc:
            LOG.info('http: malformed request: %s', exc)
            self._reject(400, 'malformed request')
        if (
            not self._is_discarding
            and self._framing_bytes > self._limits.header_bytes
        ):
            self._reject(431, 'request headers too large')
        if not self._is_discarding and self._framing_bytes:
            # The head is not complete yet.
            self._count_head(
                self._framing_bytes + HEADER_OBJECT_BYTES * len(self._headers)
            )

    def eof_received(self) -> bool:
        """Cancel the handlers of the requests and close the connection.

        A client that stops sending is taken to expect no more responses. The
        transport closes only when all written data has been sent, which takes
        long on a full link.
        """
        self._cancel_handlers()
        if not self._transport.has_pending_data():
            return False
        self.close()
        return True

    def resume_writing(self) -> None:
        """Run more requests, because the client has taken responses."""
        self._unsent.refresh()
        if not self._is_reading and not self._is_closed:
            self._resume_parsing()

    def close(self) -> None:
        """Close the connection when all written data has been sent."""
        self._is_closed = self._is_discarding = True
        if self._transport is not None:
            self._transport.close()

    def has_unsent_data(self) -> bool:
        """Return whether the kernel has not taken all written data yet."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is idle, or its request late, for long.

        :param now: time of the server's clock
        """
        self._unsent.refresh()
        self._close_if_stalled()
        if self._is_closed or self._exchanges:
            return
        if self._discards_until is not None:
            if now > self._discards_until:
                self.close()
            return
        if self.has_unsent_data() and not self._is_in_message:
            # The client is not idle before it has the response.
            self._waiting_since = now
        waited_s = now - self._waiting_since
        self._limits = self._server.limits()
        if self._is_in_message:
            if waited_s > self._limits.header_timeout_s:
                self._reject(408, 'the request did not arrive in time')
        elif waited_s > self._limits.idle_timeout_s:
            self.close()

    def _close_if_stalled(self) -> None:
        # A response is delivered also after the deadline of its request, so
        # that the client gets as much time as an idle one.
        if not self.has_unsent_data() or not self._unsent.is_stalled(
            self._server.limits().idle_timeout_s
        ):
            return
        LOG.info(
            'http: closing a connection whose client takes nothing of '
            '%d bytes',
            self._unsent.size,
        )
        self._transport.abort()

    def memory_exhausted(self) -> None:
        """Refuse the request, because there is no memory for it."""
        self._reject(
            503,
            'no memory for the request',
            (('Retry-After', str(RETRY_AFTER_S)),),
        )

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Discard the data of the previous message."""
        self._reset_message()

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the head or of the trailers."""
        if self._is_discarding:
            return
        self._header_bytes += len(name) + len(value)
        if (
            self._header_bytes > self._limits.header_bytes
            or len(self._headers) >= MAX_HEADER_COUNT
        ):
            self._reject(431, 'request headers too large')
            return
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Request the body if the client waits for that, check its length."""
        if self._is_discarding:
            return
        self._count_head(self._header_bytes)
        if self._is_discarding:
            return
        self._framing_bytes = 0
        for name, value in self._headers:
            lower = name.lower()
            if lower == 'expect' and value.lower() == '100-continue':
                if not self._exchanges:
                    self._unsent.write(CONTINUE_RESPONSE)
            elif (
                lower == 'content-length' and int(value) > self._max_body_bytes
            ):
                self._reject(413, 'request body too large')
                return
        if self._server.observe_arrival is not None:
            self._arrival_end = self._server.observe_arrival(
                tuple(self._headers)
            )

    def _count_head(self, size: int) -> None:
        """Count what has arrived of a head, which may exhaust the memory.

        :param size: size of the head so far, in bytes
        """
        added = size - self._counted_head_bytes
        if added > 0:
            self._counted_head_bytes = size
            self._server.memory.add(self, added)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        if self._is_discarding:
            return
        self._framing_bytes = 0
        self._body += body
        if len(self._body) > self._max_body_bytes:
            self._reject(413, 'request body too large')
            return
        self._server.memory.add(self, len(body))

    def on_message_complete(self) -> None:
        """Start the handler of the request."""
        self._is_in_message = False
        self._waiting_since = self._server.clock()
        if self._is_discarding:
            return
        request = messages.Request(
            self._parser.get_method().decode('latin-1'),
            self._url.decode('latin-1'),
            tuple(self._headers),
            bytes(self._body),
        )
        self._reset_message()
        self._framing_bytes = 0
        exchange = _Exchange(
            request.method == 'HEAD', self._parser.should_keep_alive()
        )
        self._exchanges.append(exchange)
        self._server.running += 1
        exchange.task = asyncio.get_running_loop().create_task(
            self._run(exchange, request)
        )
        self._end_arrival()
        exchange.task.add_done_callback(
            functools.partial(
                self._on_handler_done, self._server.memory.keep(self)
            )
        )
        if not exchange.keep_alive:
            self._discard_input()

    def _reset_message(self) -> None:
        self._url = b''
        self._headers: list[tuple[str, str]] = []
        self._header_bytes = 0
        self._counted_head_bytes = 0
        self._body = bytearray()

    @property
    def _max_body_bytes(self) -> int:
        return min(self._limits.body_bytes, self._server.memory.limit_bytes)

    def _discard_input(self) -> None:
        # The transport still reads, so that the end of the connection is
        # detected, but no more data is parsed.
        self._parser = _DiscardingParser()
        self._unparsed = memoryview(b'')
        self._is_discarding = True
        self._end_arrival()
        self._reset_message()
        self._server.memory.release(self)

    async def _run(
        self, exchange: _Exchange, request: messages.Request
    ) -> None:
        # The client may have left before its request was read. The event loop
        # sees the end of the connection in its next iteration.
        await asyncio.sleep(0)
        progress = self._server.progress
        if progress is not None:
            exchange.timer = asyncio.get_running_loop().call_later(
                progress.initial_delay_s, self._send_progress, exchange
            )
        try:
            response = await self._server.handler(request)
        except asyncio.CancelledError:
            raise
        except Exception:
            LOG.exception('http: unexpected error in the handler of a request')
            response = messages.Response(500)
        finally:
            if exchange.timer is not None:
                exchange.timer.cancel()
        if self._is_closed or self._discards_until is not None:
            return
        exchange.response = response
        if self._exchanges[0] is not exchange:
            exchange.waiting_bytes = len(response.body)
            self._unsent.add_waiting(exchange.waiting_bytes)
        self._write_ready()

    def _on_handler_done(
        self, request_bytes: int, task: asyncio.Task[None]
    ) -> None:
        self._server.running -= 1
        self._server.memory.free(request_bytes)
        if not task.cancelled() and task.exception() is not None:
            LOG.error(
                'http: unexpected error while sending a response',
                exc_info=task.exception(),
            )
            self.close()

    def _send_progress(self, exchange: _Exchange) -> None:
        if self._is_closed or self._transport is None:
            return
        if self._exchanges and self._exchanges[0] is exchange:
            self._unsent.write(PROCESSING_RESPONSE)
        exchange.timer = asyncio.get_running_loop().call_later(
            self._server.progress.interval_s, self._send_progress, exchange
        )

    def _keep_sending_progress(self) -> None:
        """Send interim responses while a response waits for the link.

        A client that heard nothing would take the connection for a lost one.
        """
        progress = self._server.progress
        if (
            progress is not None
            and self._waiting_timer is None
            and self._transport.has_pending_data()
        ):
            self._waiting_timer = asyncio.get_running_loop().call_later(
                progress.interval_s, self._send_waiting_progress
            )

    def _send_waiting_progress(self) -> None:
        self._waiting_timer = None
        if self._unsent.write_ahead(PROCESSING_RESPONSE):
            self._keep_sending_progress()

    def _write_ready(self) -> None:
        while self._exchanges and self._exchanges[0].response is not None:
            exchange = self._exchanges.popleft()
            self._unsent.remove_waiting(exchange.waiting_bytes)
            if self._transport.is_closing():
                return
            # A draining server answers all requests that it has read.
            close = not exchange.keep_alive or (
                self._server.draining and not self._exchanges
            )
            self._unsent.write(
                messages.encode_response(
                    exchange.response,
                    is_head=exchange.is_head,
                    close=close,
                )
            )
            self._waiting_since = self._server.clock()
            self._keep_sending_progress()
            if close:
                self._close_after_response(exchange)
                return
        if (
            not self._is_reading
            and len(self._exchanges) < MAX_PIPELINED_COUNT // 2
            and not self._unsent.is_full
        ):
            self._resume_parsing()

    def _resume_parsing(self) -> None:
        # The parser calls back into this method when a request is rejected.
        asyncio.get_running_loop().call_soon(self._parse_received)

    def _close_after_response(self, answered: _Exchange) -> None:
        """Close after a response and cancel the handlers of later requests."""
        self._cancel_handlers()
        if not answered.discards_rest:
            self.close()
            return
        if not self._is_discarding:
            self._discard_input()
        if not self._is_reading:
            self._resume_parsing()
        # The client closes when it has sent its body and read the response.
        self._discards_until = (
            self._server.clock() + self._limits.header_timeout_s
        )
        try:
            self._transport.write_eof()
        except OSError as exc:
            LOG.debug('http: the client has closed its connection: %s', exc)
            self.close()

    def _cancel_handlers(self) -> None:
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self._unsent.drop_waiting()

    def _end_arrival(self) -> None:
        end, self._arrival_end = self._arrival_end, None
        if end is not None:
            end()

    def _reject(
        self, status: int, reason: str, fields: messages.Headers = ()
    ) -> None:
        """Answer a request that can not be read, and close the connection."""
        if self._is_closed or (self._is_discarding and self._exchanges):
            return
        if self._discards_until is not None:
            return
        self._discard_input()
        exchange = _Exchange(False, False)
        exchange.response = messages.Response(status, fields, reason.encode())
        exchange.discards_rest = status in _BODY_REFUSAL_STATUSES
        self._exchanges.append(exchange)
        self._write_ready()


class _DiscardingParser:
    """Parser that discards all data."""

    def feed_data(self, data: memoryview) -> None:
        """Discard the data."""
