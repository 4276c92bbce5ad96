"""Gossip between the nodes of a fleet; service ``exchange``.

A node broadcasts a change of its own worker to all others at once, see
:mod:`damaskpier.fleet.dissemination`. In addition, each node periodically
compares its view with that of one other node (anti-entropy), which repairs
lost messages and detects unresponsive nodes.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import logging
import random
import secrets
import time
from typing import NamedTuple
from typing import TYPE_CHECKING
import zlib

from google.protobuf import message as pb_message
import msgspec

from damaskpier import errors
from damaskpier.fleet import batch_log
from damaskpier.fleet import check_timing
from damaskpier.fleet import dissemination
from damaskpier.fleet import distances
from damaskpier.fleet import model
from damaskpier.fleet import peers
from damaskpier.http1 import client
from damaskpier.http1 import messages as http_messages
from damaskpier.mesh import model as mesh_model
from damaskpier.mesh import wire
from damaskpier import registry
from damaskpier.rollout import wire as rollout_wire
from damaskpier.rpc import mesh_pb2
from damaskpier.util import tasks

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpier import application
    from damaskpier.rollout import model as rollout_model

LOG = logging.getLogger(__name__)

# Pause between anti-entropy rounds, jittered by a third.
ANTI_ENTROPY_INTERVAL_S = 0.7
# Changes within this time are sent in one message.
BATCH_DELAY_S = 0.02
# A message ends when nothing of its reply has arrived for this time, and after
# MAX_MESSAGE_S in any case. A reply with a configuration takes long over a
# slow link, and the next message would begin at its first byte again. In
# MAX_MESSAGE_S, a tenth of a link with 5 Mbit/s transports 300 kB.
MESSAGE_TIMEOUT_S = 0.6
MAX_MESSAGE_S = 5.0
# Counts of a move whose message gets no reply are sent this many times in all.
# A link may be full for some seconds.
EVIDENCE_SEND_COUNT = 4
EVIDENCE_RETRY_PAUSE_S = 0.4
BATCH_PREFIX_BYTES = 8
# Pause between the two messages of a check.
RECHECK_DELAY_S = 0.15
MAX_CHECKS = 9
# A node that was marked as gone is contacted at this interval, and for this
# time, by the node before it in the ring, because a node that restarts while
# the store is unreachable has no addresses of other nodes. The time is that of
# a planned stop and a start.
RECOVERY_CHECK_INTERVAL_S = 0.3
RECOVERY_CHECK_DURATION_S = 10.0
# Backoff between attempts to register, doubled up to the maximum.
INITIAL_REGISTER_BACKOFF_S = 0.2
MAX_REGISTER_BACKOFF_S = 3.0
# A node that has a configuration gets a later one by gossip only after the
# store has had this time to deliver it.
CONFIG_SEND_DELAY_S = 0.7
MAX_CONFIG_BYTES = 16 * 1024 * 1024
# Nodes from which a starting node asks for the configuration.
CONFIG_SOURCE_COUNT = 3
# Nodes that a starting node contacts one after the other until one answers.
# The answer holds the records of the whole fleet, so that those of the others
# are short.
FIRST_CONTACT_COUNT = 3
# Stated instead of the version by a node that wants no configuration in the
# reply; it is above all versions.
NO_CONFIG_WANTED = 2**63 - 1

_CONFIG_ENCODER = msgspec.msgpack.Encoder()
_CONFIG_DECODER = msgspec.msgpack.Decoder(model.Configuration)


class _AppliedVersion(NamedTuple):
    """Version of the configuration and the time at which it was applied."""

    version: int
    at: float


class Exchange(registry.Service):
    """Keeps the nodes' views consistent by gossip and anti-entropy.

    ``is_registered`` is set once this node is in the store's directory, has
    contacted nodes of each failure domain and has announced itself to all that
    the directory lists. ``directory_ids`` are the nodes that it listed then.

    :param clock: returns the time in seconds
    :param rng: source of jitter and of random peers
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.is_registered = False
        self.directory_ids: frozenset[str] = frozenset()
        self._app = app
        self._clock = clock
        self._rng = rng or random.Random()
        self._node_id = app.cfg.text('node', 'id')
        self._tasks: set[asyncio.Task[object]] = set()
        self._anti_entropy_task: asyncio.Task[None] | None = None
        self._recovery_task: asyncio.Task[None] | None = None
        # Nodes with a running round outside the periodic ones.
        self._syncing_node_ids: set[str] = set()
        self._batch_timer: asyncio.TimerHandle | None = None
        # Nodes whose changed records have not been sent yet.
        self._unsent_node_ids: set[str] = set()
        # Per node that is being checked, a future that is done as soon as
        # something was received from it.
        self._checks: dict[str, asyncio.Future[None]] = {}
        self._byte_counts = distances.ByteCounts(
            app.service('metrics'),
            lambda: app.service('membership').local_record(),
        )
        self._check_timing = check_timing.CheckTiming(clock)
        # Versions that were applied within CONFIG_SEND_DELAY_S, oldest first,
        # and the one before them.
        self._recent_versions: collections.deque[_AppliedVersion] = (
            collections.deque()
        )
        self._settled_version = 0
        self._batch_prefix = secrets.token_hex(BATCH_PREFIX_BYTES)
        self._batch_numbers = itertools.count()
        self._received_batches = batch_log.BatchLog(clock)
        # Incarnations of the nodes that count each batch only once. Nodes of
        # earlier builds do not.
        self._recognizing_nodes: dict[str, int] = {}
        self._encoded_config: tuple[int, bytes] = (0, b'')
        self._dissemination = dissemination.Dissemination(
            app.service('membership'), self._send, self._spawn
        )
        app.events.connect('membership-delta', self._membership_changed)
        app.events.connect('config-applied', self._config_applied)

    async def start(self) -> None:
        """Start to register and to run anti-entropy."""
        self._spawn(self._register())
        self._anti_entropy_task = tasks.keep_running(
            'exchange', self._run_anti_entropy
        )
        self._recovery_task = tasks.keep_running(
            'recovery', self._watch_lost_nodes
        )

    async def stop(self) -> None:
        """Cancel all messages and the pending batch."""
        for task in (
            *self._tasks,
            self._anti_entropy_task,
            self._recovery_task,
        ):
            if task is not None:
                task.cancel()
        self._anti_entropy_task = None
        if self._batch_timer is not None:
            self._batch_timer.cancel()
            self._batch_timer = None
        self._dissemination.stop()

    def received(self, body: bytes) -> bytes:
        """Apply a message of another node and return the reply.

        :returns: encoded reply; empty if the message has no digests or can
            not be decoded
        """
        try:
            gossip = mesh_pb2.Gossip.FromString(body)
        except pb_message.DecodeError as exc:
            LOG.warning('exchange: can not decode a message: %s', exc)
            return b''
        delta = wire.unpack_delta(gossip.membership)
        self._apply_gossip(gossip, delta)
        has_no_configuration = (
            self._app.service('configuration').current() is None
        )
        if has_no_configuration and gossip.HasField('sender'):
            # The sender is in contact with the fleet, unlike this node, and
            # may have the configuration.
            self.start_sync(wire.record_from_pb(gossip.sender))
        if gossip.wants_relay:
            reply = self._dissemination.relay(delta.records, gossip.moves)
            return reply.SerializeToString()
        if not gossip.digests:
            return b''
        return self._make_reply(gossip).SerializeToString()

    def send_evidence(
        self,
        cells: list[rollout_model.EvidenceCell],
        evaluators: Iterable[str],
        on_received: Callable[[], None] | None = None,
    ) -> None:
        """Send counts of requests during a move to its evaluators.

        They are sent again to evaluators that do not reply.

        :param evaluators: identifiers of nodes; this node is skipped
        :param on_received: called when one of them replies
        """
        gossip = mesh_pb2.Gossip()
        gossip.evidence.CopyFrom(rollout_wire.delta_to_message(cells))
        gossip.evidence.batch = (
            f'{self._batch_prefix}-{next(self._batch_numbers)}'
        )
        membership = self._app.service('membership')
        for node_id in evaluators:
            record = membership.get(node_id)
            if record is not None and node_id != self._node_id:
                self._spawn(
                    self._deliver_evidence(record, gossip, on_received)
                )

    def broadcast_state(self, state: rollout_model.MoveState) -> None:
        """Send the state of a move to all nodes."""
        gossip = mesh_pb2.Gossip(moves=[rollout_wire.state_to_message(state)])
        self._broadcast(gossip)

    def check_node(self, record: mesh_model.NodeRecord) -> None:
        """Check a node in the background after it failed to answer.

        Does nothing if the node is being checked or ``MAX_CHECKS`` checks are
        running.
        """
        if record.node_id in self._checks or len(self._checks) >= MAX_CHECKS:
            return
        heard = asyncio.get_running_loop().create_future()
        self._checks[record.node_id] = heard
        self._spawn(self._check_reachable(record, heard))

    def gets_few_replies(self) -> bool:
        """Return whether this node gets few replies from all other nodes."""
        return self._check_timing.gets_few_replies()

    async def _register(self) -> None:
        membership = self._app.service('membership')
        node = address_of(membership.local_record())
        store = self._app.service('store')
        delay_s = INITIAL_REGISTER_BACKOFF_S
        while True:
            entry = found = await store.register(node)
            if not isinstance(entry, errors.Refusal):
                self._app.service('departures').entry_read(entry)
                found = await store.directory()
                if not isinstance(found, errors.Refusal):
                    break
            LOG.warning(
                'exchange: registration failed, next attempt in %.1f s: %s',
                delay_s,
                found,
            )
            await asyncio.sleep(delay_s * self._rng.uniform(0.7, 1.3))
            delay_s = min(2 * delay_s, MAX_REGISTER_BACKOFF_S)
        self.directory_ids = frozenset(entry.node_id for entry in found)
        others = [entry for entry in found if entry.node_id != self._node_id]
        LOG.info('exchange: registered; %d other nodes', len(others))
        await self._contact_nodes(others)
        records = [self._record_of(entry) for entry in others]
        self._dissemination.broadcast(
            mesh_pb2.Gossip(
                membership=wire.delta_to_pb([membership.local_record()])
            ),
            records,
        )
        self.is_registered = True

    async def _contact_nodes(self, others: list[model.NodeAddress]) -> None:
        """Compare the view with that of some nodes of each failure domain."""
        domain = self._app.service('membership').local_record().failure_domain
        contacts = collections.deque(
            dissemination.choose_contacts(others, domain, self._rng)
        )
        reached_domains = set()
        for _ in range(min(FIRST_CONTACT_COUNT, len(contacts))):
            first = contacts.popleft()
            if await self._sync_with_entry(first, wants_config=True):
                reached_domains.add(first.failure_domain)
                break
        answers = await asyncio.gather(
            *(
                self._sync_with_entry(
                    entry, wants_config=number < CONFIG_SOURCE_COUNT - 1
                )
                for number, entry in enumerate(contacts)
            )
        )
        reached_domains.update(
            entry.failure_domain
            for entry, answered in zip(contacts, answers, strict=True)
            if answered
        )
        await asyncio.gather(
            *(
                self._sync_with_entry(entry, wants_config=False)
                for entry in others
                if entry.failure_domain not in reached_domains
            )
        )

    async def _sync_with_entry(
        self, entry: model.NodeAddress, *, wants_config: bool
    ) -> bool:
        return await self._sync(
            self._record_of(entry), wants_config=wants_config
        )

    def _record_of(self, entry: model.NodeAddress) -> mesh_model.NodeRecord:
        """Return the record of a node, or one with its address only."""
        membership = self._app.service('membership')
        record = membership.get(entry.node_id)
        if record is not None:
            return record
        return mesh_model.NodeRecord(
            entry.node_id,
            0,
            0,
            entry.region,
            entry.failure_domain,
            entry.host,
            entry.port,
            0,
        )

    async def _run_anti_entropy(self) -> None:
        while True:
            await asyncio.sleep(
                ANTI_ENTROPY_INTERVAL_S * self._rng.uniform(0.67, 1.33)
            )
            record = self._next_sync_peer()
            if record is not None:
                self._spawn(self._sync_or_check(record))

    def _next_sync_peer(self) -> mesh_model.NodeRecord | None:
        """Return the next node in the ring or, half of the time, any node.

        The ring makes sure that each node is checked by another one. A random
        node may be one that is wrongly marked as gone.
        """
        membership = self._app.service('membership')
        if self._rng.random() < 0.5:
            known = membership.all_records()
            others = [r for r in known if r.node_id != self._node_id]
            return self._rng.choice(others) if others else None
        ring = self._ring_successors(membership.nodes())
        return ring[0] if ring else None

    def _ring_successors(
        self, records: Iterable[mesh_model.NodeRecord]
    ) -> list[mesh_model.NodeRecord]:
        """Return the other nodes in ring order, starting after this one."""
        return sorted(
            (record for record in records if record.node_id != self._node_id),
            key=lambda record: (
                record.node_id <= self._node_id,
                record.node_id,
            ),
        )

    async def _watch_lost_nodes(self) -> None:
        while True:
            await asyncio.sleep(
                RECOVERY_CHECK_INTERVAL_S * self._rng.uniform(0.67, 1.33)
            )
            for record in self._lost_successors():
                self.start_sync(record)

    def _lost_successors(self) -> list[mesh_model.NodeRecord]:
        """Return recently lost nodes up to the next reachable one."""
        membership = self._app.service('membership')
        lost = []
        for record in self._ring_successors(membership.all_records()):
            if not record.gone:
                break
            if (
                membership.gone_for_s(record.node_id)
                <= RECOVERY_CHECK_DURATION_S
            ):
                lost.append(record)
        return lost

    def start_sync(self, record: mesh_model.NodeRecord) -> None:
        """Start a round with a node unless one is running."""
        if record.node_id not in self._syncing_node_ids:
            self._syncing_node_ids.add(record.node_id)
            self._spawn(self._sync_once(record))

    async def _sync_once(self, record: mesh_model.NodeRecord) -> None:
        try:
            await self._sync(record)
        finally:
            self._syncing_node_ids.discard(record.node_id)

    async def _sync_or_check(self, record: mesh_model.NodeRecord) -> None:
        if not await self._sync(record) and not record.gone:
            self.check_node(record)

    async def _check_reachable(
        self, record: mesh_model.NodeRecord, heard: asyncio.Future[None]
    ) -> None:
        sending = asyncio.ensure_future(self._send_check_messages(record))
        try:
            await asyncio.wait(
                {heard, sending}, return_when=asyncio.FIRST_COMPLETED
            )
            if not heard.done():
                # Raises the error if sending failed because of one.
                await sending
                self._mark_gone(record)
        finally:
            sending.cancel()
            del self._checks[record.node_id]

    async def _send_check_messages(
        self, record: mesh_model.NodeRecord
    ) -> None:
        """Send two messages and wait until both have ended."""
        duration_s = self._check_timing.duration_s(record.node_id)
        deadline = asyncio.get_running_loop().time() + duration_s
        gossip = mesh_pb2.Gossip()
        await asyncio.gather(
            self._request(
                self._app.service('peers').pool(record),
                record,
                gossip,
                deadline,
                duration_s,
            ),
            self._send_second_check_message(record, gossip, deadline),
        )

    async def _send_second_check_message(
        self,
        record: mesh_model.NodeRecord,
        gossip: mesh_pb2.Gossip,
        deadline: float,
    ) -> None:
        """Send a message on a new connection.

        The existing ones may transport nothing any more.
        """
        await asyncio.sleep(RECHECK_DELAY_S)
        remaining_s = deadline - asyncio.get_running_loop().time()
        pool = client.Pool(
            record.host,
            record.rpc_port,
            max_idle=0,
            connect_timeout_s=remaining_s,
        )
        await self._request(pool, record, gossip, deadline, remaining_s)

    def _mark_gone(self, record: mesh_model.NodeRecord) -> None:
        membership = self._app.service('membership')
        current = membership.get(record.node_id)
        if current is not None and not current.gone:
            LOG.warning(
                'exchange: %s at %s does not answer; its worker is removed '
                'from routing',
                record.node_id,
                record.host,
            )
            membership.mark_gone([record.node_id])

    def _heard_from(self, node_id: str) -> None:
        """Record that a node is alive, which ends a check of it."""
        heard = self._checks.get(node_id)
        if heard is not None and not heard.done():
            heard.set_result(None)

    async def _sync(
        self, record: mesh_model.NodeRecord, *, wants_config: bool = True
    ) -> bool:
        """Run an anti-entropy round with another node.

        :param wants_config: whether the reply may contain the configuration
        :returns: whether the other node answered
        """
        membership = self._app.service('membership')
        gossip = mesh_pb2.Gossip(
            digests=wire.digests_to_pb(membership.digests())
            or [mesh_pb2.MembershipDigest()],
            config_version=self._app.service('configuration').version()
            if wants_config
            else NO_CONFIG_WANTED,
            moves=[
                rollout_wire.state_to_message(state)
                for state in self._app.service('rollouts').states()
            ],
        )
        asked_at = self._clock()
        self._app.service('evacuations').add_to(gossip)
        body = await self._send(record, gossip)
        if body is None:
            return False
        try:
            reply = mesh_pb2.Gossip.FromString(body)
        except pb_message.DecodeError as exc:
            LOG.warning('exchange: can not decode a reply: %s', exc)
            return True
        delta = wire.unpack_delta(reply.membership)
        self._apply_gossip(reply, delta)
        self._app.service('store-contact').record_reply(reply, asked_at)
        self._send_newer_records(record, delta)
        # A node without a configuration, which states version 0, asks for it.
        if reply.config_version and self._is_overdue(reply.config_version):
            gossip = mesh_pb2.Gossip(config=self._encode_config())
            self._spawn(self._send(record, gossip))
        return True

    def _make_reply(self, message: mesh_pb2.Gossip) -> mesh_pb2.Gossip:
        membership = self._app.service('membership')
        records, domains = membership.differing_records(
            wire.digests_from_pb(message.digests)
        )
        reply = self._add_sender(mesh_pb2.Gossip())
        self._app.service('store-contact').add_age(reply)
        if domains:
            reply.membership.CopyFrom(wire.delta_to_pb(records, domains))
        sender = membership.get(message.sender.node_id)
        if (
            sender is not None
            and sender.left_instance
            and not message.sender.left_instance
        ):
            # The sender has restarted since its worker left.
            reply.receiver.CopyFrom(wire.record_to_pb(sender))
        reply.moves.extend(
            rollout_wire.state_to_message(state)
            for state in self._app.service('rollouts').states()
        )
        self._app.service('evacuations').add_to(reply)
        applied = self._app.service('configuration')
        reply.config_version = applied.version()
        if message.config_version < applied.version() and (
            not message.config_version
            or self._is_overdue(message.config_version)
        ):
            reply.config = self._encode_config()
        return reply

    def _is_overdue(self, version: int) -> bool:
        """Return whether the store has had time to replace a version.

        The time counts from the first version after it. Later ones may follow
        one another faster than ``CONFIG_SEND_DELAY_S``.
        """
        self._settle_versions()
        return version < self._settled_version

    def _settle_versions(self) -> None:
        settled_at = self._clock() - CONFIG_SEND_DELAY_S
        recent = self._recent_versions
        while recent and recent[0].at <= settled_at:
            self._settled_version = recent.popleft().version

    def _send_newer_records(
        self, record: mesh_model.NodeRecord, theirs: mesh_pb2.MembershipDelta
    ) -> None:
        domains = set(theirs.domains)
        if not domains:
            return
        known = {
            item.node_id: ((item.incarnation, item.seq), item.gone)
            for item in theirs.records
        }
        newer = [
            item
            for item in self._app.service('membership').all_records()
            if item.failure_domain in domains
            and known.get(item.node_id, ((-1, -1), False))
            < (item.order, item.gone)
        ]
        if newer:
            gossip = mesh_pb2.Gossip(membership=wire.delta_to_pb(newer))
            self._spawn(self._send(record, gossip))

    def _apply_gossip(
        self, gossip: mesh_pb2.Gossip, delta: mesh_pb2.MembershipDelta
    ) -> None:
        """Apply a message.

        :param delta: its records, uncompressed
        """
        membership = self._app.service('membership')
        # A node that starts gets the records of the whole fleet from every
        # other node. Most of them are known by then and are not converted.
        records = [
            wire.record_from_pb(item)
            for item in delta.records
            if membership.is_news(
                item.node_id, (item.incarnation, item.seq), item.gone
            )
        ]
        if gossip.HasField('sender'):
            sender = wire.record_from_pb(gossip.sender)
            self._heard_from(sender.node_id)
            if gossip.recognizes_batches:
                self._recognizing_nodes[sender.node_id] = sender.incarnation
            records.append(sender)
        if gossip.HasField('receiver'):
            records.append(wire.record_from_pb(gossip.receiver))
        if records:
            membership.merge(records, gossip)
        rollouts = self._app.service('rollouts')
        if gossip.evidence.cells and self._received_batches.add(
            gossip.evidence.batch
        ):
            rollouts.merge_evidence(
                [
                    rollout_wire.cell_from_message(cell)
                    for cell in gossip.evidence.cells
                ]
            )
        for move in gossip.moves:
            rollouts.merge(rollout_wire.state_from_message(move))
        self._app.service('evacuations').read_from(gossip)
        if gossip.config:
            self._apply_config(gossip.config)

    def _apply_config(self, packed: bytes) -> None:
        try:
            text = zlib.decompressobj().decompress(packed, MAX_CONFIG_BYTES)
            cfg = _CONFIG_DECODER.decode(text)
        except (zlib.error, msgspec.MsgspecError) as exc:
            LOG.warning('exchange: can not decode a configuration: %s', exc)
            return
        if self._app.service('configuration').apply(cfg):
            LOG.info(
                'exchange: applied version %d from another node',
                cfg.version,
            )

    def _encode_config(self) -> bytes:
        current = self._app.service('configuration').current()
        if self._encoded_config[0] != current.version:
            packed = zlib.compress(_CONFIG_ENCODER.encode(current), 1)
            self._encoded_config = current.version, packed
        return self._encoded_config[1]

    def _membership_changed(
        self, records: Iterable[mesh_model.NodeRecord], source: object
    ) -> None:
        self._check_timing.record_changes(records)
        # Records that came from another node are not forwarded: the node that
        # they describe broadcasts them itself.
        if source is not None:
            return
        self._unsent_node_ids.update(record.node_id for record in records)
        if self._batch_timer is None and self._anti_entropy_task is not None:
            loop = asyncio.get_running_loop()
            self._batch_timer = loop.call_later(
                BATCH_DELAY_S, self._send_changed_records
            )

    def _send_changed_records(self) -> None:
        self._batch_timer = None
        membership = self._app.service('membership')
        unsent_node_ids, self._unsent_node_ids = self._unsent_node_ids, set()
        records = [
            membership.get(node_id) for node_id in sorted(unsent_node_ids)
        ]
        delta = wire.delta_to_pb(
            record for record in records if record is not None
        )
        self._broadcast(mesh_pb2.Gossip(membership=delta))

    def _config_applied(self, cfg: model.Configuration) -> None:
        self._settle_versions()
        self._recent_versions.append(
            _AppliedVersion(cfg.version, self._clock())
        )

    def _broadcast(self, gossip: mesh_pb2.Gossip) -> None:
        self._dissemination.broadcast(gossip)

    async def _deliver_evidence(
        self,
        record: mesh_model.NodeRecord,
        gossip: mesh_pb2.Gossip,
        on_received: Callable[[], None] | None,
    ) -> None:
        """Send counts to a node until it replies, a limited number of times.

        A missing reply does not show that the counts were not received.
        """
        membership = self._app.service('membership')
        for number in range(EVIDENCE_SEND_COUNT):
            if number:
                await asyncio.sleep(EVIDENCE_RETRY_PAUSE_S)
            if await self._send(record, gossip) is not None:
                if on_received is not None:
                    on_received()
                return
            current = membership.get(record.node_id)
            if (
                current is None
                or current.gone
                or self._recognizing_nodes.get(current.node_id)
                != current.incarnation
            ):
                break
        LOG.info(
            'exchange: no reply from %s to counts of a move; it may lack them',
            record.node_id,
        )

    async def _send(
        self, record: mesh_model.NodeRecord, gossip: mesh_pb2.Gossip
    ) -> bytes | None:
        """Send a message to a node.

        :returns: encoded reply; None if there was none
        """
        began = self._clock()
        body = await self._request(
            self._app.service('peers').pool(record),
            record,
            gossip,
            asyncio.get_running_loop().time() + MAX_MESSAGE_S,
            MESSAGE_TIMEOUT_S,
        )
        # A node that may be lost says nothing about the link of this one.
        current = self._app.service('membership').get(record.node_id)
        if (
            current is not None
            and not current.gone
            and record.node_id not in self._checks
        ):
            self._check_timing.record_message(self._clock() - began)
        return body

    async def _request(
        self,
        pool: client.Pool,
        record: mesh_model.NodeRecord,
        gossip: mesh_pb2.Gossip,
        deadline: float,
        silence_timeout_s: float,
    ) -> bytes | None:
        """Send a message over a connection of a pool.

        :param deadline: time of the loop's clock in seconds
        :param silence_timeout_s: longest time without data of the reply
        :returns: encoded reply; None if there was none
        """
        body = self._add_sender(gossip).SerializeToString()
        activity = client.Activity(asyncio.get_running_loop().time())
        data = http_messages.encode_request(
            'POST', peers.EXCHANGE_PATH, (('Host', record.host),), body
        )
        sending = asyncio.ensure_future(
            pool.request(data, client.Options(deadline, activity=activity))
        )
        reply = b''
        try:
            outcome = await self._receive(
                record.node_id, sending, activity, silence_timeout_s
            )
            if isinstance(outcome, http_messages.Response):
                reply = outcome.body
        finally:
            sending.cancel()
            self._byte_counts.add_gossip(
                record, len(data), gossip, activity.received_bytes, reply
            )
        if isinstance(outcome, http_messages.Failure):
            LOG.debug(
                'exchange: no reply from %s: %s', record.node_id, outcome
            )
            return None
        self._heard_from(record.node_id)
        if outcome.status != 200:
            LOG.debug(
                'exchange: %s refused a message with %d: %s',
                record.node_id,
                outcome.status,
                outcome.body[:80],
            )
            return None
        return outcome.body

    async def _receive(
        self,
        node_id: str,
        sending: asyncio.Future[
            http_messages.Response | http_messages.Failure
        ],
        activity: client.Activity,
        silence_timeout_s: float,
    ) -> http_messages.Response | http_messages.Failure:
        """Wait for a reply as long as data arrives.

        The silence timeout of the client is not used, because it also affects
        the requests that share the pool.
        """
        loop = asyncio.get_running_loop()
        sent_at = activity.heard_at
        while not sending.done():
            remaining_s = activity.heard_at + silence_timeout_s - loop.time()
            if remaining_s <= 0:
                return http_messages.Failure('nothing was heard', True)
            await asyncio.wait((sending,), timeout=remaining_s)
            if activity.heard_at > sent_at:
                self._heard_from(node_id)
        return sending.result()

    def _add_sender(self, gossip: mesh_pb2.Gossip) -> mesh_pb2.Gossip:
        local = self._app.service('membership').local_record()
        gossip.sender.CopyFrom(wire.record_to_pb(local))
        gossip.recognizes_batches = True
        return gossip

    def _spawn(self, coro: object) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error('exchange: a task failed', exc_info=task.exception())


def address_of(record: mesh_model.NodeRecord) -> model.NodeAddress:
    """Return the entry of a node in the store's directory."""
    return model.NodeAddress(
        record.node_id,
        record.host,
        record.rpc_port,
        record.region,
        record.failure_domain,
    )


def setup(app: application.Application) -> None:
    """Register the service ``exchange``."""
    app.add_service(
        'exchange',
        Exchange(app),
        after=(
            'metrics',
            'store',
            'departures',
            'configuration',
            'membership',
            'peers',
            'peer-server',
            'rollouts',
        ),
    )
