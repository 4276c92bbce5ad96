"""gRPC connections that write once per iteration of the event loop.

grpclib writes each frame separately: a reply takes three writes, each of
which wakes the peer. Coalescing them saves system calls and wake-ups.
"""

from __future__ import annotations

import asyncio
from typing import Any

from grpclib import client
from grpclib import protocol
from grpclib import server


class _CoalescingTransport:
    """Coalesce the writes of one iteration of the event loop."""

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._queued_chunks: list[bytes] = []
        self.get_extra_info = transport.get_extra_info
        self.is_closing = transport.is_closing

    def write(self, data: bytes) -> None:
        """Queue data until the next iteration; the order is kept."""
        if not data:
            return
        if not self._queued_chunks:
            self._loop.call_soon(self._flush)
        self._queued_chunks.append(data)

    def close(self) -> None:
        """Write the queued data and close the transport."""
        self._flush()
        self._transport.close()

    def _flush(self) -> None:
        if not self._queued_chunks:
            return
        data = b''.join(self._queued_chunks)
        self._queued_chunks.clear()
        if not self._transport.is_closing():
            self._transport.write(data)


class _CoalescingProtocol(protocol.H2Protocol):
    def connection_made(self, transport: Any) -> None:
        super().connection_made(_CoalescingTransport(transport))


class Channel(client.Channel):
    """Client channel whose connection coalesces its writes."""

    def _protocol_factory(self) -> protocol.H2Protocol:
        return _CoalescingProtocol(
            client.Handler(), self._config, self._h2_config
        )


class Server(server.Server):
    """Server whose connections coalesce their writes."""

    def _protocol_factory(self) -> protocol.H2Protocol:
        plain = super()._protocol_factory()
        return _CoalescingProtocol(
            plain.handler, plain.config, plain.h2_config
        )
