"""Messages to all nodes, on virtual time and without a network.

The load is that of a fleet of hundreds of nodes in which one node changes, or
all nodes restart at the same moment.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from damaskpier.fleet import dissemination
from damaskpier.fleet import model
from damaskpier.mesh import model as mesh_model
from damaskpier.mesh import wire
from damaskpier.rpc import mesh_pb2

from tests.test_fleet import virtual_time

DOMAINS = 9
DELAY_S = 0.01
# Longer than a message, a failed relay and the pause of a relay together.
SETTLE_S = 5.0


class FakeNode:
    """Node that knows all others and records what reaches it.

    ``sent`` counts its messages. A node that ``is_lost`` does not answer, one
    of an ``is_earlier_build`` passes nothing on.
    """

    def __init__(self, fleet: FakeFleet, number: int) -> None:
        self.record = mesh_model.NodeRecord(
            f'node-{number}',
            1,
            1,
            'r',
            f'domain-{number % DOMAINS}',
            'host',
            1,
            1,
        )
        self.sent = 0
        self.heard: set[str] = set()
        self.is_lost = False
        self.is_earlier_build = False
        self._fleet = fleet
        self._tasks: set[asyncio.Task[None]] = set()
        self.dissemination = dissemination.Dissemination(
            self, self._send, self._spawn
        )

    def local_record(self) -> mesh_model.NodeRecord:
        """Return the record of this node."""
        return self.record

    def all_records(self) -> list[mesh_model.NodeRecord]:
        """Return the records of all nodes."""
        return [node.record for node in self._fleet.nodes.values()]

    def get(self, node_id: str) -> mesh_model.NodeRecord:
        """Return the record of a node."""
        return self._fleet.nodes[node_id].record

    def announce(self) -> None:
        """Send the record of this node to all others."""
        self.dissemination.broadcast(
            mesh_pb2.Gossip(membership=wire.delta_to_pb([self.record]))
        )

    def receive(self, gossip: mesh_pb2.Gossip) -> bytes:
        """Apply a message and return the reply."""
        delta = wire.unpack_delta(gossip.membership)
        self.heard.update(record.node_id for record in delta.records)
        if gossip.wants_relay and not self.is_earlier_build:
            reply = self.dissemination.relay(delta.records, gossip.moves)
            return reply.SerializeToString()
        return b''

    async def _send(
        self, record: mesh_model.NodeRecord, gossip: mesh_pb2.Gossip
    ) -> bytes | None:
        self.sent += 1
        await asyncio.sleep(DELAY_S)
        receiver = self._fleet.nodes[record.node_id]
        return None if receiver.is_lost else receiver.receive(gossip)

    def _spawn(self, coro) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class FakeFleet:
    """Nodes in equal failure domains."""

    def __init__(self, size: int) -> None:
        self.nodes: dict[str, FakeNode] = {}
        for number in range(size):
            node = FakeNode(self, number)
            self.nodes[node.record.node_id] = node

    def unaware_of(self, announced: FakeNode) -> list[FakeNode]:
        """Return the running nodes that have not heard of a node."""
        return [
            node
            for node in self.nodes.values()
            if node is not announced
            and not node.is_lost
            and announced.record.node_id not in node.heard
        ]


@pytest.mark.parametrize('size', [45, 198, 660])
def test_change_reaches_all_nodes_without_a_message_to_each(size):
    """The node that changes must not send a message to each other node.

    On the link and the processor of a small node this takes seconds.
    """

    async def run():
        fleet = FakeFleet(size)
        node = fleet.nodes['node-0']
        node.announce()
        await asyncio.sleep(SETTLE_S)
        assert not fleet.unaware_of(node)
        most = max(other.sent for other in fleet.nodes.values())
        assert most <= size // DOMAINS + DOMAINS

    virtual_time.run(run())


def test_messages_of_a_herd_grow_with_the_domain_not_with_the_fleet():
    """All nodes announce themselves when they return together.

    One message for each pair of nodes keeps all of them busy for seconds.
    """

    async def run():
        fleet = FakeFleet(198)
        for node in fleet.nodes.values():
            node.announce()
        await asyncio.sleep(SETTLE_S)
        for node in fleet.nodes.values():
            assert not fleet.unaware_of(node)
        sent = sum(node.sent for node in fleet.nodes.values())
        # Its own domain twice, once as a relay, and the other domains.
        assert sent <= 198 * (2 * 198 // DOMAINS + DOMAINS)

    virtual_time.run(run())


@pytest.mark.parametrize('lost', [1, 2, 20])
def test_lost_relays_are_replaced(lost):
    """A message must reach the others of a domain whose relays are lost."""

    async def run():
        fleet = FakeFleet(198)
        node = fleet.nodes['node-0']
        domain = [
            other
            for other in fleet.nodes.values()
            if other.record.failure_domain == 'domain-1'
        ]
        ranked = sorted(
            domain,
            key=lambda other: dissemination.rendezvous.score(
                'domain-0', other.record.node_id
            ),
        )
        for other in ranked[:lost]:
            other.is_lost = True
        node.announce()
        await asyncio.sleep(SETTLE_S)
        assert not fleet.unaware_of(node)

    virtual_time.run(run())


def test_nodes_of_an_earlier_build_get_messages_directly():
    """A node that does not pass messages on must not keep them from others."""

    async def run():
        fleet = FakeFleet(36)
        for node in fleet.nodes.values():
            node.is_earlier_build = True
        node = fleet.nodes['node-0']
        node.announce()
        await asyncio.sleep(SETTLE_S)
        assert not fleet.unaware_of(node)

    virtual_time.run(run())


def test_relay_sends_the_changes_of_a_burst_together():
    """A relay of many changing nodes must not send a message for each."""

    async def run():
        fleet = FakeFleet(198)
        relay = fleet.nodes['node-0']
        began = asyncio.get_running_loop().time()
        for number in range(100):
            record = fleet.nodes[f'node-{number + 1}'].record
            relay.dissemination.relay([wire.record_to_pb(record)], ())
            await asyncio.sleep(dissemination.RELAY_INTERVAL_S / 20)
        await asyncio.sleep(SETTLE_S)
        burst_s = asyncio.get_running_loop().time() - SETTLE_S - began
        rounds = burst_s / dissemination.RELAY_INTERVAL_S + 1
        assert relay.sent <= rounds * (198 // DOMAINS)
        other = fleet.nodes['node-9']
        assert len(other.heard) == 100

    virtual_time.run(run())


def test_starting_node_contacts_few_nodes_of_other_domains():
    """A start must not cost a message to each node of the fleet."""
    entries = [
        model.NodeAddress(
            f'node-{number}', 'host', 1, 'r', f'domain-{number % DOMAINS}'
        )
        for number in range(660)
    ]
    contacts = dissemination.choose_contacts(
        entries, 'domain-0', random.Random(1)
    )
    own = [entry for entry in contacts if entry.failure_domain == 'domain-0']
    assert contacts[: len(own)] == own
    assert len(own) == len([e for e in entries if e in own]) == 74
    others = [entry.failure_domain for entry in contacts[len(own) :]]
    assert {others.count(name) for name in others} == {
        dissemination.CONTACTS_PER_DOMAIN
    }
    assert len(set(others)) == DOMAINS - 1
