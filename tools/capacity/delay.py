"""One-way delays on the client side of connections between regions."""

from __future__ import annotations

import asyncio
import collections
from typing import Any

# The brief's one-way delays of Cedarline, the longer of the two.
BETWEEN_REGIONS_S = 0.008
BETWEEN_DOMAINS_S = 0.0015


def one_way_delay_s(own: tuple[int, int], host: str) -> float:
    """Return the delay to an address of the measured fleet.

    :param own: region and failure domain of the process
    :param host: address of the form ``127.0.REGION.DOMAIN``
    :returns: the delay in seconds
    """
    parts = host.split('.')
    region, domain = int(parts[2]), int(parts[3])
    if region == 0:
        return 0.0
    if region != own[0]:
        return BETWEEN_REGIONS_S
    return 0.0 if domain == own[1] else BETWEEN_DOMAINS_S


class _Line:
    """Calls functions in order, each after the same delay."""

    def __init__(self, loop: asyncio.AbstractEventLoop, delay: float) -> None:
        self._loop = loop
        self._delay = delay
        self._queue: collections.deque[tuple[Any, tuple]] = collections.deque()

    def call(self, func: Any, *args: Any) -> None:
        """Call a function after the delay."""
        self._queue.append((func, args))
        self._loop.call_later(self._delay, self._next)

    def _next(self) -> None:
        func, args = self._queue.popleft()
        func(*args)


class _DelayedTransport:
    """Transport whose writes and close arrive late."""

    def __init__(self, transport: Any, line: _Line) -> None:
        self._transport = transport
        self._line = line

    def write(self, data: bytes) -> None:
        self._line.call(self._write_now, bytes(data))

    def writelines(self, chunks: Any) -> None:
        self.write(b''.join(chunks))

    def close(self) -> None:
        self._line.call(self._transport.close)

    def _write_now(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class _DelayedProtocol(asyncio.Protocol):
    """Protocol whose data arrives late."""

    def __init__(
        self, inner: Any, loop: asyncio.AbstractEventLoop, delay: float
    ) -> None:
        self._inner = inner
        self._up = _Line(loop, delay)
        self._down = _Line(loop, delay)

    def connection_made(self, transport: Any) -> None:
        self._inner.connection_made(_DelayedTransport(transport, self._up))

    def data_received(self, data: bytes) -> None:
        self._down.call(self._inner.data_received, data)

    def eof_received(self) -> None:
        self._down.call(self._inner.eof_received)

    def connection_lost(self, exc: Exception | None) -> None:
        self._down.call(self._inner.connection_lost, exc)

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()


def install(loop: asyncio.AbstractEventLoop, own: tuple[int, int]) -> None:
    """Delay the connections that a loop opens from now on.

    :param own: region and failure domain of the process
    """
    connect = loop.create_connection

    async def create_connection(
        factory: Any, host: Any = None, port: Any = None, **kwargs: Any
    ) -> Any:
        delay = one_way_delay_s(own, host) if host else 0.0
        if delay <= 0:
            return await connect(factory, host, port, **kwargs)
        # The handshake of TCP costs one round trip.
        await asyncio.sleep(2 * delay)
        inner = factory()
        transport, _ = await connect(
            lambda: _DelayedProtocol(inner, loop, delay), host, port, **kwargs
        )
        return transport, inner

    loop.create_connection = create_connection  # type: ignore[method-assign]
