"""Relay between two nodes whose connections can go silent."""

from __future__ import annotations

import asyncio
import contextlib

from damaskpier.http1 import client

from tests.test_fleet import conftest


class Relay:
    """Forwards the connections from one node to another.

    A silent connection stays open and keeps its data until it is resumed.
    ``opened`` counts the connections.

    :param silent: whether new connections are silent
    """

    def __init__(self, *, silent: bool = False) -> None:
        self.silent = silent
        self.opened = 0
        self._flows: list[asyncio.Event] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []
        self._target_port = 0
        self._server: asyncio.Server | None = None

    async def insert(self, caller: conftest.Node, other: conftest.Node):
        """Forward all later connections of a node to another one."""
        self._target_port = other.app.service('peer-server').server.port
        self._server = await asyncio.start_server(
            self._serve, conftest.HOST, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        peers = caller.app.service('peers')
        direct_pool = peers.pool
        relay_pool = client.Pool(conftest.HOST, port)

        def pool(record):
            if record.node_id == other.name:
                return relay_pool
            return direct_pool(record)

        peers.pool = pool

    def silence(self) -> None:
        """Stop forwarding on the open connections."""
        for flow in self._flows:
            flow.clear()

    def resume(self) -> None:
        """Forward what the silent connections have kept, and all else."""
        self.silent = False
        for flow in self._flows:
            flow.set()

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.close()
        await asyncio.gather(
            *(writer.wait_closed() for writer in self._writers),
            return_exceptions=True,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        flow = asyncio.Event()
        if not self.silent:
            flow.set()
        self._flows.append(flow)
        self._writers.append(writer)
        there = await asyncio.open_connection(conftest.HOST, self._target_port)
        self._writers.append(there[1])
        for copy in (
            self._copy(flow, reader, there[1]),
            self._copy(flow, there[0], writer),
        ):
            task = asyncio.create_task(copy)
            self._tasks.add(task)

    async def _copy(
        self,
        flow: asyncio.Event,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                data = await reader.read(65536)
                await flow.wait()
                if not data:
                    break
                writer.write(data)
        writer.close()
