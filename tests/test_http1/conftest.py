"""Fixtures with servers and raw connections for the tests of HTTP/1.1."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math
import socket

import pytest

from damaskpier.http1 import client
from damaskpier.http1 import messages
from damaskpier.http1 import server

from tests import streams

HOST = '127.0.0.1'
TIMEOUT_S = 20.0
# Bytes that asyncio's streams read ahead.
DEFAULT_LIMIT_BYTES = 64 * 1024

Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def is_stable(
    value: Callable[[], object], count: int = 20, interval_s: float = 0.005
) -> Callable[[], bool]:
    """Return a condition that holds when a value does not change any more.

    :param value: returns the value, which is false as long as it is not set
    :param count: number of equal values in a row
    :param interval_s: minimum interval between two of them in seconds
    """
    seen: list[object] = []
    seen_at = -math.inf

    def check() -> bool:
        nonlocal seen_at
        now = asyncio.get_running_loop().time()
        if now - seen_at < interval_s:
            return False
        seen_at = now
        seen.append(value())
        last = seen[-count:]
        return (
            len(last) == count
            and bool(last[0])
            and all(item == last[0] for item in last)
        )

    return check


class RawConnection:
    """Connection whose bytes the test writes and reads itself."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)

    async def read_until(self, mark: bytes) -> bytes:
        """Return the received bytes up to and including a mark."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.readuntil(mark)

    async def read_to_end(self) -> bytes:
        """Return the received bytes until the server closes."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.read()


@pytest.fixture
async def serve() -> AsyncIterator[Callable[..., Awaitable[server.Server]]]:
    """Return a function that starts a server with a handler."""
    servers = []

    async def start(handler: server.Handler, **options) -> server.Server:
        started = server.Server(handler, **options)
        await started.listen(HOST, 0)
        servers.append(started)
        return started

    yield start
    for started in servers:
        await started.stop(0.0)


@pytest.fixture
async def connect() -> AsyncIterator[Callable[..., Awaitable[RawConnection]]]:
    """Return a function that opens a raw connection to a port.

    The size of the receive buffer in bytes can be given, so that the client
    reads no more ahead.
    """
    opened = []

    async def open_(port: int, buffer_bytes: int = 0) -> RawConnection:
        sock = socket.socket()
        sock.setblocking(False)
        limit = DEFAULT_LIMIT_BYTES
        if buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            limit = buffer_bytes
        await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
        raw = RawConnection(
            *await asyncio.open_connection(sock=sock, limit=limit)
        )
        opened.append(raw)
        return raw

    yield open_
    for raw in opened:
        await streams.abort(raw.writer)


@pytest.fixture
async def scripted() -> AsyncIterator[
    Callable[[Script], Awaitable[client.Pool]]
]:
    """Return a function that starts a scripted server and returns a pool.

    The script serves each connection; the pool connects to that server.
    """
    pools = []
    async with contextlib.AsyncExitStack() as servers:

        async def start(script: Script) -> client.Pool:
            async def run(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                with contextlib.suppress(ConnectionError):
                    await script(reader, writer)
                writer.close()

            port = await servers.enter_async_context(streams.serve(run, HOST))
            pool = client.Pool(HOST, port)
            pools.append(pool)
            return pool

        yield start
        for pool in pools:
            pool.close_idle()


@pytest.fixture
def options() -> Callable[..., client.Options]:
    """Return a function that makes options with a distant deadline."""

    def make(**fields) -> client.Options:
        deadline = asyncio.get_running_loop().time() + TIMEOUT_S
        return client.Options(**{'deadline': deadline, **fields})

    return make


GET = messages.encode_request('GET', '/', (('Host', 'a'),), b'')
