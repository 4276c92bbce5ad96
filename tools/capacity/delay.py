"""Simulated network delays between regions and failure domains.

The delays of both directions are added by the side that opens a connection.
"""

from __future__ import annotations

import asyncio
import collections
from typing import Any

# One-way delays that the brief states for Cedarline, the longer of the two.
REGION_DELAY_S = 0.008
DOMAIN_DELAY_S = 0.0015


def one_way_delay_s(location: tuple[int, int], host: str) -> float:
    """Return the one-way delay to an address of the measured fleet.

    :param location: region and failure domain of the process
    :param host: address of the form ``127.0.REGION.DOMAIN``; region 0 is
        the local host without a delay
    :returns: the delay in seconds
    """
    parts = host.split('.')
    region, domain = int(parts[2]), int(parts[3])
    if region == 0:
        return 0.0
    if region != location[0]:
        return REGION_DELAY_S
    return 0.0 if domain == location[1] else DOMAIN_DELAY_S


class _DelayQueue:
    """Calls functions in order, each after the same delay in seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, delay: float) -> None:
        self._loop = loop
        self._delay = delay
        self._queue: collections.deque[tuple[Any, tuple]] = collections.deque()

    def call(self, func: Any, *args: Any) -> None:
        """Call a function after the delay."""
        self._queue.append((func, args))
        self._loop.call_later(self._delay, self._call_next)

    def _call_next(self) -> None:
        func, args = self._queue.popleft()
        func(*args)


class _DelayedTransport:
    """Transport that delays writes and the close."""

    def __init__(self, transport: Any, queue: _DelayQueue) -> None:
        self._transport = transport
        self._delay_queue = queue

    def write(self, data: bytes) -> None:
        self._delay_queue.call(self._write_now, bytes(data))

    def writelines(self, chunks: Any) -> None:
        self.write(b''.join(chunks))

    def close(self) -> None:
        self._delay_queue.call(self._transport.close)

    def _write_now(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class _DelayedProtocol(asyncio.Protocol):
    """Protocol that delays the events of the inner protocol."""

    def __init__(
        self, inner: Any, loop: asyncio.AbstractEventLoop, delay: float
    ) -> None:
        self._inner = inner
        self._outbound = _DelayQueue(loop, delay)
        self._inbound = _DelayQueue(loop, delay)

    def connection_made(self, transport: Any) -> None:
        self._inner.connection_made(
            _DelayedTransport(transport, self._outbound)
        )

    def data_received(self, data: bytes) -> None:
        self._inbound.call(self._inner.data_received, data)

    def eof_received(self) -> None:
        self._inbound.call(self._inner.eof_received)

    def connection_lost(self, exc: Exception | None) -> None:
        self._inbound.call(self._inner.connection_lost, exc)

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()


def install(
    loop: asyncio.AbstractEventLoop, location: tuple[int, int]
) -> None:
    """Delay all connections that a loop opens from now on.

    :param loop: loop whose method ``create_connection`` is replaced
    :param location: region and failure domain of the process
    """
    connect = loop.create_connection

    async def create_connection(
        factory: Any, host: Any = None, port: Any = None, **kwargs: Any
    ) -> Any:
        delay = one_way_delay_s(location, host) if host else 0.0
        if delay <= 0:
            return await connect(factory, host, port, **kwargs)
        # The TCP handshake takes one round trip.
        await asyncio.sleep(2 * delay)
        inner = factory()
        transport, _ = await connect(
            lambda: _DelayedProtocol(inner, loop, delay), host, port, **kwargs
        )
        return transport, inner

    loop.create_connection = create_connection  # type: ignore[method-assign]
