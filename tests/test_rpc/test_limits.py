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

from tests import streams

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


PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
SETTINGS = bytes((0, 0, 0, 4, 0, 0, 0, 0, 0))
CONTROL_FRAMES = [
    pytest.param(bytes((0, 0, 8, 6, 0, 0, 0, 0, 0)) + b'pingping', id='ping'),
    pytest.param(SETTINGS, id='settings'),
    pytest.param(
        bytes((0, 0, 4, 8, 0, 0, 0, 0, 0, 0, 0, 0, 1)), id='window-update'
    ),
    pytest.param(
        bytes((0, 0, 5, 2, 0, 0, 0, 0, 1, 0, 0, 0, 0, 9)), id='priority'
    ),
]


async def _send_frames(writer, frame) -> bool:
    """Send a frame until the peer closes, and return whether it did."""
    block = frame * (1 + len(PART) // len(frame))
    try:
        for _ in range(FLOOD_BYTES // len(block)):
            writer.write(block)
            await writer.drain()
    except ConnectionError:
        return True
    return False


@pytest.mark.parametrize('frame', CONTROL_FRAMES)
async def test_server_closes_after_frames_without_data(received, frame):
    """Frames without data and without end close their connection.

    They would hold the event loop of the node for seconds at a time, and for
    as long as the peer sends.
    """
    async with (
        asyncio.timeout(TIMEOUT_S),
        _serve(write_coalescing.Server, _Handler()) as port,
    ):
        _, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(PREFACE + SETTINGS)
            assert await _send_frames(writer, frame)
        finally:
            await streams.abort(writer)
        assert sum(received) <= (
            write_coalescing.MAX_CONTROL_BYTES
            + 2 * write_coalescing.PARSED_BYTES
        )
        channel = write_coalescing.Channel(HOST, port)
        stub = mesh_grpc.MeshStub(channel)
        reply = await stub.Ping(mesh_pb2.PingRequest())
        assert reply.node_id == 'n'
        channel.close()


@pytest.mark.parametrize('frame', CONTROL_FRAMES)
async def test_client_closes_after_frames_without_data(received, frame):
    """Frames in place of a reply fail the call and close its connection."""
    is_cut = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        await reader.read(1)
        writer.write(SETTINGS)
        is_cut.set_result(await _send_frames(writer, frame))

    async with asyncio.timeout(TIMEOUT_S), streams.serve(serve, HOST) as port:
        channel = write_coalescing.Channel(HOST, port)
        stub = mesh_grpc.MeshStub(channel)
        with pytest.raises(exceptions.StreamTerminatedError):
            await stub.Ping(mesh_pb2.PingRequest())
        assert await is_cut
        assert sum(received) <= (
            write_coalescing.MAX_CONTROL_BYTES
            + 2 * write_coalescing.PARSED_BYTES
        )
        channel.close()


async def test_large_messages_are_not_control_frames(monkeypatch):
    """Messages of any number and size keep their connection.

    They make the peer send frames without data, which open its window again.
    """
    monkeypatch.setattr(
        write_coalescing,
        '_MESSAGE_MEMORY',
        memory.MemoryLimit(write_coalescing.MAX_MESSAGE_BYTES),
    )
    async with (
        asyncio.timeout(TIMEOUT_S),
        _serve(write_coalescing.Server, _Handler()) as port,
    ):
        channel = write_coalescing.Channel(HOST, port)
        stub = mesh_grpc.MeshStub(channel)
        for _ in range(3000):
            await stub.Ping(mesh_pb2.PingRequest())
        protocol_before = channel._protocol
        unknown_field = b'\x82\x7d'  # field 2000, with a length
        size = 12 * 1024 * 1024
        padding = unknown_field + b'\x80\x80\x80\x06' + b'x' * size
        request = mesh_pb2.PingRequest.FromString(padding)
        assert request.ByteSize() > size
        reply = await stub.Ping(request)
        assert reply.node_id == 'n'
        assert channel._protocol is protocol_before
        channel.close()


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
        async with contextlib.AsyncExitStack() as calls:
            for channel, share in zip(channels, (5, 6, 2), strict=False):
                stream = await calls.enter_async_context(
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
            calls.pop_all()
