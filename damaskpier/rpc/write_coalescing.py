"""gRPC connections that write once per iteration of the event loop.

The library writes each frame by itself: a reply takes three writes, each of
which wakes the other side. Joining them saves system calls and wake-ups.
"""

from __future__ import annotations

import asyncio
from typing import Any

from grpclib import client
from grpclib import protocol
from grpclib import server


class _Transport:
    """Joins the writes of one iteration of the event loop."""

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._chunks: list[bytes] = []
        self.get_extra_info = transport.get_extra_info
        self.is_closing = transport.is_closing

    def write(self, data: bytes) -> None:
        """Write soon; the order of writes is kept."""
        if not data:
            return
        if not self._chunks:
            self._loop.call_soon(self._flush)
        self._chunks.append(data)

    def close(self) -> None:
        """Write what waits and close."""
        self._flush()
        self._transport.close()

    def _flush(self) -> None:
        if not self._chunks:
            return
        data = b''.join(self._chunks)
        self._chunks.clear()
        if not self._transport.is_closing():
            self._transport.write(data)


class _Protocol(protocol.H2Protocol):
    def connection_made(self, transport: Any) -> None:
        super().connection_made(_Transport(transport))


class Channel(client.Channel):
    """Client side of such a connection."""

    def _protocol_factory(self) -> protocol.H2Protocol:
        return _Protocol(client.Handler(), self._config, self._h2_config)


class Server(server.Server):
    """Server whose connections are such connections."""

    def _protocol_factory(self) -> protocol.H2Protocol:
        plain = super()._protocol_factory()
        return _Protocol(plain.handler, plain.config, plain.h2_config)
