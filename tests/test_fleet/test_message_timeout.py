"""Messages between nodes whose replies take long to arrive.

The tests guard against a reply that is given up while its bytes arrive,
because the next message begins at the first byte again, and against messages
to a silent node that last longer than before. They run in virtual time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import functools

from damaskpier import application
from damaskpier import config
from damaskpier.fleet import configuration
from damaskpier.fleet import exchange
from damaskpier.http1 import client
from damaskpier.http1 import messages
from damaskpier.mesh import membership
from damaskpier.mesh import timing
from damaskpier import metrics

from tests.test_fleet import conftest
from tests.test_fleet import virtual_time

TIMEOUT_S = exchange.MESSAGE_TIMEOUT_S
REPLY = b'reply'


class SlowPool(client.Pool):
    """Pool whose server sends its response in parts.

    :param gaps_s: times until the first part and between two of them
    """

    def __init__(self, *gaps_s: float) -> None:
        super().__init__(conftest.HOST, 1)
        self._gaps_s = gaps_s

    async def request(
        self, data: bytes, options: client.Options
    ) -> messages.Response | messages.Failure:
        """Wait for the parts, like a real pool until the deadline."""
        loop = asyncio.get_running_loop()
        for gap_s in self._gaps_s:
            await asyncio.sleep(min(gap_s, options.deadline - loop.time()))
            if loop.time() >= options.deadline:
                return messages.Failure('no response by the deadline', True)
            if options.activity is not None:
                options.activity.heard_at = loop.time()
        return messages.Response(200, (), REPLY)


class Exchange(exchange.Exchange):
    """Exchange of a node that only sends messages, over a slow pool."""

    def __init__(self) -> None:
        cfg = config.loads(
            '[node]\nid = n\nregion = r\nfailure_domain = a\nservice = s\n'
            '[platform]\naddress = 127.0.0.1:1\n'
            '[fleet]\ngrace = 0.5\nheartbeat = 1.5\n'
            '[upstream]\naddress = 127.0.0.1:2\n'
        )
        self.app = application.make_application(
            cfg,
            (
                metrics.setup,
                functools.partial(
                    membership.setup,
                    timing=timing.Timing(announce_expiry_s=1e9),
                ),
                lambda app: app.add_service(
                    'store', conftest.MemoryStore(None)
                ),
                configuration.setup,
            ),
        )
        super().__init__(self.app, asyncio.get_running_loop().time)
        local = self.app.service('membership').local_record()
        self.peer = local._replace(node_id='peer')
        self.app.service('membership').merge([self.peer])
        self.app.add_service('peers', self)
        self.slow_pool = SlowPool()

    def pool(self, record) -> client.Pool:
        """Return the slow pool for each node."""
        return self.slow_pool


def _run(check: Callable[[Exchange], object]) -> None:
    async def run():
        await check(Exchange())

    virtual_time.run(run())


def test_reply_is_received_as_long_as_its_bytes_arrive():
    """A reply with a configuration takes long over a slow link."""

    async def check(sender):
        sender.slow_pool = SlowPool(*5 * [0.8 * TIMEOUT_S])
        body = await sender._send(sender.peer, exchange.mesh_pb2.Gossip())
        assert body == REPLY

    _run(check)


def test_message_to_a_silent_node_ends_as_soon_as_before():
    """The loss of a node is noticed by the messages that get no reply."""

    async def check(sender):
        sender.slow_pool = SlowPool(2 * exchange.MAX_MESSAGE_S)
        loop = asyncio.get_running_loop()
        assert (
            await sender._send(sender.peer, exchange.mesh_pb2.Gossip()) is None
        )
        assert loop.time() <= 1.01 * TIMEOUT_S

    _run(check)


def test_reply_that_stops_midway_ends_the_message():
    """The node may lose its power while it replies."""

    async def check(sender):
        sender.slow_pool = SlowPool(0.5 * TIMEOUT_S, 2.0 * TIMEOUT_S)
        loop = asyncio.get_running_loop()
        assert (
            await sender._send(sender.peer, exchange.mesh_pb2.Gossip()) is None
        )
        assert loop.time() <= 1.51 * TIMEOUT_S

    _run(check)


def test_whole_time_of_a_message_is_bounded():
    """A node may send single bytes without end."""

    async def check(sender):
        sender.slow_pool = SlowPool(*1000 * [0.5 * TIMEOUT_S])
        loop = asyncio.get_running_loop()
        assert (
            await sender._send(sender.peer, exchange.mesh_pb2.Gossip()) is None
        )
        assert loop.time() <= 1.01 * exchange.MAX_MESSAGE_S

    _run(check)


def test_part_of_a_reply_shows_that_a_node_is_alive():
    """A node that is being checked must not be marked as gone meanwhile."""

    async def check(sender):
        sender.slow_pool = SlowPool(0.8 * TIMEOUT_S, 0.8 * TIMEOUT_S)
        heard = asyncio.get_running_loop().create_future()
        sender._checks[sender.peer.node_id] = heard
        sending = asyncio.ensure_future(
            sender._send(sender.peer, exchange.mesh_pb2.Gossip())
        )
        await asyncio.wait((heard, sending), return_when='FIRST_COMPLETED')
        assert heard.done()
        assert await sending == REPLY

    _run(check)
