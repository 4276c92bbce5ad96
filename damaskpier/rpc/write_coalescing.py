"""gRPC connections with coalesced writes and limited messages.

grpclib writes each frame separately: a reply takes three writes, each of
which wakes the peer. Coalescing them saves system calls and wake-ups.

grpclib keeps a message until it has arrived, whatever length of up to 4 GB
its peer states, so that the messages that arrive share a limit.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from grpclib import client
from grpclib import exceptions
from grpclib import protocol
from grpclib import server

from damaskpier.util import memory

LOG = logging.getLogger(__name__)

# Bytes that are parsed at a time. A read of 256 KB can hold 28000 frames,
# which would hold the event loop for seconds.
PARSED_BYTES = 8 * 1024
# Limit of the frames that neither carry data nor begin a stream, since data
# was last sent or received. A connection that works has a few of them.
MAX_CONTROL_BYTES = 16 * 1024
# Limit of all messages that a process receives at one time, by their stated
# lengths. A call with the largest body that can be configured, 64 MB, fits.
MAX_MESSAGE_BYTES = 72 * 1024 * 1024

_MESSAGE_MEMORY = memory.MemoryLimit(MAX_MESSAGE_BYTES)


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


class _LimitedStream(protocol.Stream, memory.Receiver):
    """Stream whose messages are counted while they arrive."""

    _is_exhausted = False

    async def recv_data(self, size: int) -> bytes:
        """Return bytes of a message, or close the connection.

        :param size: number of bytes, which the peer states
        """
        _MESSAGE_MEMORY.add(self, size)
        try:
            if not self._is_exhausted:
                return await super().recv_data(size)
        finally:
            _MESSAGE_MEMORY.release(self)
        raise exceptions.ProtocolError(
            f'no memory for a message of {size} bytes'
        )

    def memory_exhausted(self) -> None:
        """Close the connection, which ends the streams of its calls."""
        self._is_exhausted = True
        self._transport.close()


class _CoalescingProtocol(protocol.H2Protocol):
    def connection_made(self, transport: Any) -> None:
        super().connection_made(_CoalescingTransport(transport))
        conn = self.connection

        def create_stream(**options: Any) -> protocol.Stream:
            return _LimitedStream(
                conn, conn._connection, conn._transport, **options
            )

        # grpclib has no other way to choose the class of the streams.
        conn.create_stream = create_stream  # type: ignore[method-assign]
        self._control_bytes = 0
        self._progress = self._measure_progress()

    def data_received(self, data: bytes) -> None:
        """Parse frames; close the connection after too many without data."""
        for start in range(0, len(data), PARSED_BYTES):
            part = data[start : start + PARSED_BYTES]
            super().data_received(part)
            if self.connection.is_closing():
                return
            progress = self._measure_progress()
            if progress != self._progress:
                self._progress = progress
                self._control_bytes = 0
                continue
            self._control_bytes += len(part)
            if self._control_bytes > MAX_CONTROL_BYTES:
                LOG.warning(
                    'rpc: closing a connection after %d bytes of frames '
                    'without data',
                    self._control_bytes,
                )
                self.processor.close('too many frames without data')
                return

    def _measure_progress(self) -> tuple[int, int, int]:
        conn = self.connection
        return (conn.data_received, conn.data_sent, conn.streams_started)


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
