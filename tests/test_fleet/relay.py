"""Relay between two nodes whose connections can go silent."""

from __future__ import annotations

import asyncio
import contextlib

from damaskpier.http1 import client

from tests import streams
from tests.test_fleet import conftest


class Relay:
    """Forwards the connections from one node to another.

    A silent connection stays open and keeps its data until it is resumed.
    ``opened`` counts the connections. ``copy_delay_s`` is the pause before
    each part of the data.

    :param silent: whether new connections are silent
    """

    def __init__(self, *, silent: bool = False) -> None:
        self.silent = silent
        self.opened = 0
        self.copy_delay_s = 0.0
        self._flows: list[asyncio.Event] = []
        # Connections from the caller's node, and to the other one.
        self._inbound: list[asyncio.StreamWriter] = []
        self._outbound: list[asyncio.StreamWriter] = []
        self._target_port = 0
        self._pool: client.Pool | None = None
        self._listeners = contextlib.AsyncExitStack()

    async def insert(self, caller: conftest.Node, other: conftest.Node):
        """Forward all later connections of a node to another one."""
        self._target_port = other.app.service('peer-server').server.port
        port = await self._listeners.enter_async_context(
            streams.serve(self._serve, conftest.HOST)
        )
        peers = caller.app.service('peers')
        direct_pool = peers.pool
        relay_pool = self._pool = client.Pool(conftest.HOST, port)

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

    def lose_first_connection(self) -> None:
        """Reset the first connection on the caller's side only."""
        self._inbound[0].transport.abort()

    async def stop(self) -> None:
        """Close all connections."""
        if self._pool is not None:
            self._pool.close_idle()
        await self._listeners.aclose()
        for writer in self._outbound:
            await streams.abort(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        flow = asyncio.Event()
        if not self.silent:
            flow.set()
        self._flows.append(flow)
        self._inbound.append(writer)
        there = await asyncio.open_connection(conftest.HOST, self._target_port)
        self._outbound.append(there[1])
        await asyncio.gather(
            self._copy(flow, reader, there[1]),
            self._copy(flow, there[0], writer),
        )

    async def _copy(
        self,
        flow: asyncio.Event,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                data = await reader.read(65536)
                await asyncio.sleep(self.copy_delay_s)
                await flow.wait()
                if not data:
                    break
                writer.write(data)
        writer.close()
