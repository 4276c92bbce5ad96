"""Stream servers and connections that tests close before their loop ends.

A StreamWriter that is still open when its event loop closes raises
RuntimeError when it is garbage collected. pytest then formats a traceback,
which calls ``ast.parse``; if the collection ran within another call of that
function, Python 3.11 ends the outer call with SystemError, in any later test.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


@contextlib.asynccontextmanager
async def serve(handler: Handler, host: str) -> AsyncIterator[int]:
    """Serve connections with a handler and yield the port.

    At the end, handlers that still run are cancelled, and connections that
    are still open are aborted.
    """
    tasks: set[asyncio.Task[None]] = set()
    writers: list[asyncio.StreamWriter] = []

    def start_handler(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.append(writer)
        tasks.add(asyncio.create_task(handler(reader, writer)))

    server = await asyncio.start_server(start_handler, host, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        if tasks:
            # Unlike gather(), this leaves an exception of a handler
            # unretrieved, so that asyncio still logs it.
            await asyncio.wait(tasks)
        for writer in writers:
            await abort(writer)


async def abort(writer: asyncio.StreamWriter) -> None:
    """Close a connection, without its unsent data, and wait for that.

    A regular close would wait for a peer that reads no more.
    """
    # A transport that was closed when its buffer had been sent has no loop any
    # more, and its abort() fails (CPython 3.11).
    with contextlib.suppress(AttributeError):
        writer.transport.abort()
    # A connection that the peer has reset is closed too.
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()
