"""Messages of one node to all others, through relays.

A node sends a change to each node of its own failure domain, and to one node
of each other failure domain, the relay, which passes it on there. So what a
node sends grows with its domain and the number of domains, not with the fleet,
and a change crosses to each domain once. A relay collects the changes of a
short time, because many nodes change together when they restart together.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from google.protobuf import message as pb_message

from damaskpier.mesh import wire
from damaskpier.rpc import mesh_pb2
from damaskpier.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable
    import random

    from damaskpier.fleet import model
    from damaskpier.mesh import membership as mesh_membership
    from damaskpier.mesh import model as mesh_model

LOG = logging.getLogger(__name__)

# Nodes of another failure domain that a starting node contacts. Each of them
# knows all nodes of its domain.
CONTACTS_PER_DOMAIN = 2
# A domain with fewer nodes gets messages without a relay.
MIN_RELAYED_NODES = 3
# Relays that are tried before a message goes to each node of a domain.
RELAY_ATTEMPTS = 2
# Interval between two messages of a relay. Another node refuses requests only
# some time after it gave notice that its worker is leaving (DRAIN_NOTICE_S of
# the peers); the notice has to arrive before that.
RELAY_INTERVAL_S = 0.2


class Dissemination:
    """Sends messages to all nodes and passes on those of other domains.

    :param membership: view of the fleet
    :param send: sends a message to a node; returns the encoded reply, None if
        there was none
    :param spawn: runs a coroutine in the background
    """

    def __init__(
        self,
        membership: mesh_membership.Membership,
        send: Callable[
            [mesh_model.NodeRecord, mesh_pb2.Gossip], Awaitable[bytes | None]
        ],
        spawn: Callable[[Coroutine[object, object, None]], None],
    ) -> None:
        self._membership = membership
        self._send = send
        self._spawn = spawn
        # What a relay has not passed on yet.
        self._node_ids: set[str] = set()
        self._moves: dict[tuple[str, int, int], mesh_pb2.MoveState] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._sent_at = float('-inf')

    def stop(self) -> None:
        """Drop what has not been passed on."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def broadcast(
        self,
        gossip: mesh_pb2.Gossip,
        records: Iterable[mesh_model.NodeRecord] | None = None,
    ) -> None:
        """Send a message to nodes in the background.

        :param records: receivers; by default all nodes, also those that are
            marked as gone, which may be wrong
        """
        if records is None:
            records = self._membership.all_records()
        local = self._membership.local_record()
        for domain, members in _by_domain(records, local.node_id).items():
            reachable = [record for record in members if not record.gone]
            if (
                domain == local.failure_domain
                or len(reachable) < MIN_RELAYED_NODES
            ):
                self._send_to_each(members, gossip)
            else:
                self._spawn(self._send_through_relay(members, gossip))

    def relay(
        self,
        records: Iterable[mesh_pb2.NodeRecord],
        moves: Iterable[mesh_pb2.MoveState],
    ) -> mesh_pb2.Gossip:
        """Pass on a message of another domain that has been applied here.

        :returns: confirmation for the sender
        """
        self._node_ids.update(record.node_id for record in records)
        for state in moves:
            self._moves[state.move, state.epoch, state.seq] = state
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(
                self._sent_at + RELAY_INTERVAL_S, self._send_relayed
            )
        return mesh_pb2.Gossip(is_relayed=True)

    def _send_relayed(self) -> None:
        self._timer = None
        self._sent_at = asyncio.get_running_loop().time()
        node_ids, self._node_ids = self._node_ids, set()
        moves, self._moves = self._moves, {}
        known = [self._membership.get(node_id) for node_id in sorted(node_ids)]
        gossip = mesh_pb2.Gossip(
            membership=wire.delta_to_pb(
                record for record in known if record is not None
            ),
            moves=moves.values(),
        )
        local = self._membership.local_record()
        domains = _by_domain(self._membership.all_records(), local.node_id)
        self._send_to_each(domains.get(local.failure_domain, ()), gossip)

    def _send_to_each(
        self,
        records: Iterable[mesh_model.NodeRecord],
        gossip: mesh_pb2.Gossip,
    ) -> None:
        for record in records:
            self._spawn(self._send_ignoring_reply(record, gossip))

    async def _send_ignoring_reply(
        self, record: mesh_model.NodeRecord, gossip: mesh_pb2.Gossip
    ) -> None:
        await self._send(record, gossip)

    async def _send_through_relay(
        self, members: list[mesh_model.NodeRecord], gossip: mesh_pb2.Gossip
    ) -> None:
        """Send a message to a domain.

        If no relay confirms it, each node gets it: relays may be lost, or of
        an earlier build, which does not pass it on.
        """
        relayed = mesh_pb2.Gossip()
        relayed.CopyFrom(gossip)
        relayed.wants_relay = True
        # All nodes of a domain use the same relays, so that these send the
        # changes of several nodes together.
        source = self._membership.local_record().failure_domain
        relays = sorted(
            (record for record in members if not record.gone),
            key=lambda record: rendezvous.score(source, record.node_id),
        )
        for relay in relays[:RELAY_ATTEMPTS]:
            if _is_relayed(await self._send(relay, relayed)):
                return
        LOG.info(
            'dissemination: no relay of %s passed a message on, sending it to '
            '%d nodes',
            members[0].failure_domain,
            len(members),
        )
        self._send_to_each(members, gossip)


def choose_contacts(
    entries: Iterable[model.NodeAddress], domain: str, rng: random.Random
) -> list[model.NodeAddress]:
    """Return the nodes that a starting node contacts, those nearby first.

    All nodes of its own failure domain learn of it from itself, and nodes of
    the other domains tell it of theirs.

    :param entries: all other nodes
    :param domain: failure domain of the starting node
    """
    shuffled = list(entries)
    rng.shuffle(shuffled)
    own = [entry for entry in shuffled if entry.failure_domain == domain]
    chosen: dict[str, list[model.NodeAddress]] = {}
    for entry in shuffled:
        found = chosen.setdefault(entry.failure_domain, [])
        if entry.failure_domain != domain and len(found) < CONTACTS_PER_DOMAIN:
            found.append(entry)
    return own + [entry for found in chosen.values() for entry in found]


def _by_domain(
    records: Iterable[mesh_model.NodeRecord], local_id: str
) -> dict[str, list[mesh_model.NodeRecord]]:
    domains: dict[str, list[mesh_model.NodeRecord]] = {}
    for record in records:
        if record.node_id != local_id:
            domains.setdefault(record.failure_domain, []).append(record)
    return domains


def _is_relayed(body: bytes | None) -> bool:
    if not body:
        return False
    try:
        return mesh_pb2.Gossip.FromString(body).is_relayed
    except pb_message.DecodeError as exc:
        LOG.warning('dissemination: can not decode a reply: %s', exc)
        return False
