"""Tests that a peer can not fill the memory through gRPC messages."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from grpclib import client
from grpclib import const
from grpclib import exceptions
from grpclib import protocol
from grpclib import server
import pytest

from damaskpier.rpc import mesh_grpc
from damaskpier.rpc import mesh_pb2
from damaskpier.rpc import write_coalescing
from damaskpier.util import memory

HOST = '127.0.0.1'
TIMEOUT_S = 30.0
LIMIT_BYTES = 1024 * 1024
# Most bytes of a message that never ends, several times the limit.
FLOOD_BYTES = 8 * LIMIT_BYTES
PART = b'x' * 65536


@pytest.fixture(autouse=True)
def limit(monkeypatch) -> memory.MemoryLimit:
    """Return the limit of all messages, which is low."""
    shared = memory.MemoryLimit(LIMIT_BYTES)
    monkeypatch.setattr(write_coalescing, '_MESSAGE_MEMORY', shared)
    return shared


@pytest.fixture
def received(monkeypatch) -> list[int]:
    """Return a list of the sizes of all data that peers of a test send."""
    sizes: list[int] = []
    feed = protocol.Connection.feed

    def record(conn, data):
        sizes.append(len(data))
        return feed(conn, data)

    monkeypatch.setattr(protocol.Connection, 'feed', record)
    return sizes


class _Handler(mesh_grpc.MeshBase):
    """Answers a ping, or sends a message that never ends.

    ``outcomes`` has the exception of each stream, None for no exception.
    """

    def __init__(self, is_endless: bool = False) -> None:
        self.outcomes: asyncio.Queue[BaseException | None] = asyncio.Queue()
        self._is_endless = is_endless

    async def Attach(self, stream) -> None:  # noqa: N802
        """Do nothing."""

    async def Ping(self, stream) -> None:  # noqa: N802
        """Answer."""
        try:
            await stream.recv_message()
            if self._is_endless:
                await stream.send_initial_metadata()
                await _send_endless_message(stream._stream)
            await stream.send_message(mesh_pb2.PingReply(node_id='n'))
        except BaseException as exc:
            self.outcomes.put_nowait(exc)
            raise
        self.outcomes.put_nowait(None)


async def _send_endless_message(stream) -> None:
    await stream.send_data(struct.pack('>?I', False, 2**32 - 1))
    for _ in range(FLOOD_BYTES // len(PART)):
        # Lets the event loop learn that the receiver has closed.
        await asyncio.sleep(0)
        if stream.connection.is_closing():
            return
        await stream.send_data(PART)


@contextlib.asynccontextmanager
async def _serve(server_class, handler):
    sock = socket.socket()
    sock.bind((HOST, 0))
    running = server_class([handler])
    await running.start(sock=sock)
    try:
        yield sock.getsockname()[1]
    finally:
        running.close()
        await running.wait_closed()


async def test_server_refuses_a_message_above_the_limit(limit, received):
    """A message with a stated length above the limit is not kept.

    The server would keep up to 4 GB, and the other calls of the node would
    fail with it. It closes the connection instead and serves others.
    """
    handler = _Handler()
    async with (
        asyncio.timeout(TIMEOUT_S),
        _serve(write_coalescing.Server, handler) as port,
    ):
        channel = client.Channel(HOST, port)
        with pytest.raises(
            (exceptions.StreamTerminatedError, ConnectionError)
        ):
            async with channel.request(
                '/damaskpier.Mesh/Ping',
                const.Cardinality.UNARY_UNARY,
                mesh_pb2.PingRequest,
                mesh_pb2.PingReply,
            ) as stream:
                await stream.send_request()
                await _send_endless_message(stream._stream)
                await stream.recv_message()
        assert isinstance(
            await handler.outcomes.get(), exceptions.ProtocolError
        )
        channel.close()
        assert sum(received) < FLOOD_BYTES / 2
        assert not limit.used_bytes
        channel = write_coalescing.Channel(HOST, port)
        stub = mesh_grpc.MeshStub(channel)
        reply = await stub.Ping(mesh_pb2.PingRequest())
        assert reply.node_id == 'n'
        channel.close()


async def test_client_refuses_a_reply_above_the_limit(limit, received):
    """A reply with a stated length above the limit fails the call.

    The connection is closed, because the rest of the message would arrive
    on it.
    """
    handler = _Handler(is_endless=True)
    async with (
        asyncio.timeout(TIMEOUT_S),
        _serve(server.Server, handler) as port,
    ):
        channel = write_coalescing.Channel(HOST, port)
        stub = mesh_grpc.MeshStub(channel)
        with pytest.raises(exceptions.ProtocolError):
            await stub.Ping(mesh_pb2.PingRequest())
        assert await handler.outcomes.get() is not None
        assert sum(received) < FLOOD_BYTES / 2
        assert not limit.used_bytes
        channel.close()


async def test_messages_of_all_streams_share_the_limit(limit):
    """The largest message ends first, so that the others arrive.

    Many messages that are each within the limit would fill the memory.
    """
    handler = _Handler()
    async with (
        asyncio.timeout(TIMEOUT_S),
        _serve(write_coalescing.Server, handler) as port,
    ):
        channels = [client.Channel(HOST, port) for _ in range(3)]
        async with contextlib.AsyncExitStack() as streams:
            for channel, share in zip(channels, (5, 6, 2), strict=False):
                stream = await streams.enter_async_context(
                    channel.request(
                        '/damaskpier.Mesh/Ping',
                        const.Cardinality.UNARY_UNARY,
                        mesh_pb2.PingRequest,
                        mesh_pb2.PingReply,
                    )
                )
                await stream.send_request()
                size = LIMIT_BYTES * share // 10
                await stream._stream.send_data(struct.pack('>?I', False, size))
            assert await handler.outcomes.get() is not None
            assert limit.used_bytes <= LIMIT_BYTES * 7 // 10 + 5
            assert handler.outcomes.empty()
            for channel in channels:
                channel.close()
            streams.pop_all()
