"""Tests of the stream servers that other tests use."""

from __future__ import annotations

import asyncio

from tests import streams

HOST = '127.0.0.1'
TIMEOUT_S = 20.0


async def test_handlers_and_connections_end_with_the_server():
    """Guards against a StreamWriter that is open when its loop closes.

    The handler never ends by itself and never closes its connection.
    """
    accepted = asyncio.Queue()
    ended = asyncio.Event()

    async def hang(reader, writer):
        accepted.put_nowait(writer)
        try:
            await asyncio.Event().wait()
        finally:
            ended.set()

    async with asyncio.timeout(TIMEOUT_S):
        async with streams.serve(hang, HOST) as port:
            reader, writer = await asyncio.open_connection(HOST, port)
            served = await accepted.get()
            assert not served.is_closing()
        assert ended.is_set()
        assert served.is_closing()
        assert await reader.read() == b''
        await streams.abort(writer)


async def test_unsent_data_does_not_delay_the_end():
    """Guards against a server whose end waits for a peer that does not read.

    A regular close first sends all data, which never ends here.
    """
    accepted = asyncio.Queue()

    async def send(reader, writer):
        # More than the buffers of both sockets hold.
        writer.write(bytes(1 << 26))
        accepted.put_nowait(writer)
        await writer.drain()

    async with asyncio.timeout(TIMEOUT_S):
        async with streams.serve(send, HOST) as port:
            _, writer = await asyncio.open_connection(HOST, port, limit=1)
            served = await accepted.get()
        assert served.transport.get_write_buffer_size() == 0
        assert served.is_closing()
        await streams.abort(writer)
