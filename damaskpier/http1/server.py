"""Server side of HTTP/1.1 connections.

Requests that a client sends without waiting for earlier responses run side
by side; their responses leave in the order of the requests.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import time
from typing import NamedTuple

import httptools

from damaskpier.http1 import messages

LOG = logging.getLogger(__name__)

Handler = Callable[[messages.Request], Awaitable[messages.Response]]

# Requests of one connection that run at a time; reading stops beyond it.
MAX_PIPELINED = 32
BACKLOG = 1024
# Connections are looked over for timeouts this often.
SWEEP_INTERVAL_S = 0.5
STOP_POLL_S = 0.01
PROGRESS = b'HTTP/1.1 102 Processing\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Limits(NamedTuple):
    """Bounds on what a client may send and how long it may take."""

    header_bytes: int = 64 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class Progress(NamedTuple):
    """Interim responses that show a waiting client a live server."""

    initial_delay_s: float
    interval_s: float


class Server:
    """Accepts connections and runs a handler for each request.

    A client that closes its connection cancels the handlers of its requests.

    :param handler: returns the response of a request
    :param limits: read again while connections are open, as they may change
    :param progress: interim responses, None for none
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = Limits,
        progress: Progress | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.progress = progress
        self.clock = clock
        self.draining = False
        self.port = 0
        self.running = 0
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self), host, port, backlog=BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._sweeper = asyncio.create_task(self._sweep_forever())

    def start_draining(self) -> None:
        """Close each connection behind its next response."""
        self.draining = True

    async def stop(self, timeout_s: float) -> bool:
        """Stop accepting, finish what runs and close all connections.

        :param timeout_s: longest wait for running requests
        :returns: whether all of them ended in time
        """
        self.draining = True
        if self._server is not None:
            self._server.close()
        until = self.clock() + timeout_s
        while self.running and self.clock() < until:
            await asyncio.sleep(STOP_POLL_S)
        finished = not self.running
        for conn in list(self._connections):
            conn.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        return finished

    def opened(self, conn: Connection) -> None:
        """Count a connection in."""
        self._connections.add(conn)

    def closed(self, conn: Connection) -> None:
        """Count a connection out."""
        self._connections.discard(conn)

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self.clock()
            for conn in list(self._connections):
                conn.check_timeouts(now)


class _Exchange:
    """One request and, once it is there, its response."""

    __slots__ = ('request', 'task', 'response', 'keep_alive', 'timer')

    def __init__(self, request: messages.Request, keep_alive: bool) -> None:
        self.request = request
        self.keep_alive = keep_alive
        self.task: asyncio.Task[None] | None = None
        self.response: messages.Response | None = None
        self.timer: asyncio.TimerHandle | None = None


class Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._limits = server.limits()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: collections.deque[_Exchange] = collections.deque()
        self._broken = False
        self._is_reading = True
        self._in_message = False
        self._since = server.clock()
        self._header_bytes = 0
        self._begin_message()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start reading."""
        self._transport = transport
        self._server.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what runs for a client that has gone."""
        self._server.closed(self)
        self._broken = True
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def data_received(self, data: bytes) -> None:
        """Parse what the client sent."""
        if self._broken:
            return
        if not self._in_message:
            self._since = self._server.clock()
        if not self._headers_done:
            self._header_bytes += len(data)
        self._in_message = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served as it is; what follows is not HTTP.
            self._stop_reading()
        except httptools.HttpParserError as exc:
            LOG.info('http: malformed request: %s', exc)
            self._reject(400, 'malformed request')
        if (
            not self._broken
            and not self._headers_done
            and self._header_bytes > self._limits.header_bytes
        ):
            self._reject(431, 'request headers too large')

    def eof_received(self) -> bool:
        """Close; a client that stops sending wants no more answers."""
        return False

    def close(self) -> None:
        """Close after what has been written."""
        self._broken = True
        if self._transport is not None:
            self._transport.close()

    def check_timeouts(self, now: float) -> None:
        """Close an idle connection or one whose request does not arrive."""
        if self._broken or self._exchanges:
            return
        waited_s = now - self._since
        self._limits = self._server.limits()
        if self._in_message:
            if waited_s > self._limits.header_timeout_s:
                self._reject(408, 'the request did not arrive in time')
        elif waited_s > self._limits.idle_timeout_s:
            self.close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Forget the previous message."""
        self._begin_message()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Ask for the body where the client waits for that."""
        self._headers_done = True
        for name, value in self._headers:
            lower = name.lower()
            if lower == 'expect' and value.lower() == '100-continue':
                if not self._exchanges:
                    self._transport.write(CONTINUE)
            elif (
                lower == 'content-length'
                and int(value) > self._limits.body_bytes
            ):
                self._reject(413, 'request body too large')

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            self._reject(413, 'request body too large')
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Run the handler of the request."""
        self._in_message = False
        self._since = self._server.clock()
        if self._broken:
            return
        request = messages.Request(
            self._parser.get_method().decode('latin-1'),
            self._url.decode('latin-1'),
            tuple(self._headers),
            b''.join(self._body),
        )
        self._headers_done = False
        self._header_bytes = 0
        exchange = _Exchange(request, self._parser.should_keep_alive())
        self._exchanges.append(exchange)
        self._server.running += 1
        exchange.task = asyncio.get_running_loop().create_task(
            self._run(exchange)
        )
        exchange.task.add_done_callback(self._ended)
        if not exchange.keep_alive:
            self._stop_reading()
        elif len(self._exchanges) >= MAX_PIPELINED and self._is_reading:
            self._is_reading = False
            self._transport.pause_reading()

    def _begin_message(self) -> None:
        self._url = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._headers_done = False

    def _stop_reading(self) -> None:
        # Reading goes on, so that a client that leaves is noticed, but
        # nothing more is parsed.
        self._parser = _Ignored()

    async def _run(self, exchange: _Exchange) -> None:
        progress = self._server.progress
        if progress is not None:
            exchange.timer = asyncio.get_running_loop().call_later(
                progress.initial_delay_s, self._show_progress, exchange
            )
        try:
            response = await self._server.handler(exchange.request)
        except asyncio.CancelledError:
            raise
        except Exception:
            LOG.exception('http: the handler of a request failed')
            response = messages.Response(500)
        finally:
            if exchange.timer is not None:
                exchange.timer.cancel()
        exchange.response = response
        self._write_ready()

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._server.running -= 1
        if not task.cancelled() and task.exception() is not None:
            LOG.error('http: a request failed', exc_info=task.exception())
            self.close()

    def _show_progress(self, exchange: _Exchange) -> None:
        if self._broken or self._transport is None:
            return
        if self._exchanges and self._exchanges[0] is exchange:
            self._transport.write(PROGRESS)
        exchange.timer = asyncio.get_running_loop().call_later(
            self._server.progress.interval_s, self._show_progress, exchange
        )

    def _write_ready(self) -> None:
        while self._exchanges and self._exchanges[0].response is not None:
            exchange = self._exchanges.popleft()
            if self._transport is None or self._transport.is_closing():
                return
            # A leaving server answers all requests that it has read.
            close = not exchange.keep_alive or (
                self._server.draining and not self._exchanges
            )
            self._transport.write(
                messages.encode_response(
                    exchange.response,
                    is_head=exchange.request.method == 'HEAD',
                    close=close,
                )
            )
            self._since = self._server.clock()
            if close:
                self._finish()
                return
        if not self._is_reading and len(self._exchanges) < MAX_PIPELINED // 2:
            self._is_reading = True
            self._transport.resume_reading()

    def _finish(self) -> None:
        """Close behind a response; what came after it has not run."""
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self.close()

    def _reject(self, status: int, reason: str) -> None:
        """Answer a request that can not be read, and close."""
        if self._broken:
            return
        self._stop_reading()
        exchange = _Exchange(messages.Request('GET', '/', (), b''), False)
        exchange.response = messages.Response(status, (), reason.encode())
        self._exchanges.append(exchange)
        self._write_ready()


class _Ignored:
    """Parser of bytes that are no longer looked at."""

    def feed_data(self, data: bytes) -> None:
        """Drop the bytes."""
