"""Messages between the nodes of a fleet; service ``exchange``.

A node tells all others at once when its own worker changes. Besides, each
node compares its view with one other node in turn, which brings what was
missed, and notices nodes that do not answer.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import TYPE_CHECKING
import zlib

from google.protobuf import message as pb_message
import msgspec

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.fleet import peers
from damaskpier.http1 import client
from damaskpier.http1 import messages as http_messages
from damaskpier.mesh import wire
from damaskpier import registry
from damaskpier.rollout import wire as rollout_wire
from damaskpier.rpc import mesh_pb2
from damaskpier.util import tasks

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpier import application
    from damaskpier.mesh import model as mesh_model
    from damaskpier.rollout import model as rollout_model

LOG = logging.getLogger(__name__)

# Pause between comparisons with another node, jittered by a third.
COMPARE_INTERVAL_S = 0.7
# Changes within this time share one message.
BATCH_S = 0.02
MESSAGE_TIMEOUT_S = 0.6
# A node is gone when messages to it fail this often in a row.
MAX_FAILURES = 2
# Pause between the two attempts to reach a node that may be gone.
RECHECK_S = 0.15
# A node that was lost is asked this often whether it is back, and for this
# long, by the node before it in the ring: one that restarts while the store
# is away knows nobody. The time is that of a planned stop and a start.
RETURN_INTERVAL_S = 0.3
RETURN_WATCH_S = 10.0
# Pause between attempts to enter the directory, doubled up to the limit.
REGISTER_FIRST_S = 0.2
REGISTER_MAX_S = 3.0
# A peer that has a configuration gets a later one only when the store has had
# this long to deliver it.
CONFIG_AFTER_S = 0.7
MAX_CONFIG_BYTES = 16 * 1024 * 1024

_CONFIG_ENCODER = msgspec.msgpack.Encoder()
_CONFIG_DECODER = msgspec.msgpack.Decoder(model.Configuration)


class Exchange(registry.Service):
    """Keeps the views of the nodes alike.

    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.registered = False
        self._app = app
        self._clock = clock
        self._rng = rng or random.Random()
        self._node_id = app.cfg.text('node', 'id')
        self._tasks: set[asyncio.Task[object]] = set()
        self._comparing: asyncio.Task[None] | None = None
        self._watching: asyncio.Task[None] | None = None
        # Nodes that a message is under way to beside the usual ones.
        self._asking: set[str] = set()
        self._batch: asyncio.TimerHandle | None = None
        # Nodes whose records changed here and have not been sent.
        self._untold: set[str] = set()
        self._checking: set[str] = set()
        self._config_at = 0.0
        self._config: tuple[int, bytes] = (0, b'')
        app.events.connect('membership-delta', self._membership_changed)
        app.events.connect('config-applied', self._config_applied)

    async def start(self) -> None:
        """Enter the directory and begin to compare views."""
        self._spawn(self._join())
        self._comparing = tasks.keep_running('exchange', self._compare_forever)
        self._watching = tasks.keep_running('returns', self._watch_returns)

    async def stop(self) -> None:
        """Stop all messages."""
        for task in (*self._tasks, self._comparing, self._watching):
            if task is not None:
                task.cancel()
        self._comparing = None
        if self._batch is not None:
            self._batch.cancel()
            self._batch = None

    def received(self, body: bytes) -> bytes:
        """Take in a message of another node and return the answer."""
        try:
            gossip = mesh_pb2.Gossip.FromString(body)
        except pb_message.DecodeError as exc:
            LOG.warning('exchange: a message can not be read: %s', exc)
            return b''
        self._take_in(gossip)
        knows_nothing = self._app.service('configuration').current() is None
        if knows_nothing and gossip.HasField('sender'):
            # The sender has been in touch with the fleet, unlike this node.
            self._ask(wire.record_from_pb(gossip.sender))
        if not gossip.digests:
            return b''
        return self._answer(gossip).SerializeToString()

    def share_evidence(
        self, cells: list[rollout_model.EvidenceCell], judges: Iterable[str]
    ) -> None:
        """Send counts of requests during a move to its judges."""
        gossip = mesh_pb2.Gossip()
        gossip.evidence.CopyFrom(rollout_wire.delta_to_message(cells))
        membership = self._app.service('membership')
        for node_id in judges:
            record = membership.get(node_id)
            if record is not None and node_id != self._node_id:
                self._spawn(self._send(record, gossip))

    def share_state(self, state: rollout_model.MoveState) -> None:
        """Send the state of a move to all nodes."""
        gossip = mesh_pb2.Gossip(moves=[rollout_wire.state_to_message(state)])
        self._send_to_all(gossip)

    def suspect(self, record: mesh_model.NodeRecord) -> None:
        """Check a node that failed to answer a request."""
        if record.node_id in self._checking or len(self._checking) > 8:
            return
        self._checking.add(record.node_id)
        self._spawn(self._check(record))

    async def _join(self) -> None:
        local = self._app.service('membership').local_record()
        node = model.NodeAddress(
            local.node_id,
            local.host,
            local.rpc_port,
            local.region,
            local.failure_domain,
        )
        source = self._app.service('store')
        delay_s = REGISTER_FIRST_S
        while True:
            refusal = await source.register(node)
            if refusal is None:
                found = await source.directory()
                if not isinstance(found, errors.Refusal):
                    break
                refusal = found
            LOG.warning(
                'exchange: not in the directory yet, next try in %.1f s: %s',
                delay_s,
                refusal,
            )
            await asyncio.sleep(delay_s * self._rng.uniform(0.7, 1.3))
            delay_s = min(2 * delay_s, REGISTER_MAX_S)
        others = [entry for entry in found if entry.node_id != self._node_id]
        LOG.info('exchange: registered; %d other nodes', len(others))
        await asyncio.gather(*(self._greet(entry) for entry in others))
        self.registered = True

    async def _greet(self, entry: model.NodeAddress) -> None:
        membership = self._app.service('membership')
        record = membership.get(entry.node_id)
        if record is None:
            record = membership.local_record()._replace(
                node_id=entry.node_id, host=entry.host, rpc_port=entry.port
            )
        await self._compare(record)

    async def _compare_forever(self) -> None:
        while True:
            await asyncio.sleep(
                COMPARE_INTERVAL_S * self._rng.uniform(0.67, 1.33)
            )
            record = self._next_partner()
            if record is not None:
                self._spawn(self._compare_or_check(record))

    def _next_partner(self) -> mesh_model.NodeRecord | None:
        """Return the next node in a ring, or now and then any node.

        The ring makes sure that each node is looked at by another one; any
        node may be one that is wrongly taken to be gone.
        """
        membership = self._app.service('membership')
        if self._rng.random() < 0.5:
            known = membership.all_records()
            others = [r for r in known if r.node_id != self._node_id]
            return self._rng.choice(others) if others else None
        ring = self._ring(membership.nodes())
        return ring[0] if ring else None

    def _ring(
        self, records: Iterable[mesh_model.NodeRecord]
    ) -> list[mesh_model.NodeRecord]:
        """Return other nodes in the order in which they follow this one."""
        return sorted(
            (record for record in records if record.node_id != self._node_id),
            key=lambda record: (
                record.node_id <= self._node_id,
                record.node_id,
            ),
        )

    async def _watch_returns(self) -> None:
        while True:
            await asyncio.sleep(
                RETURN_INTERVAL_S * self._rng.uniform(0.67, 1.33)
            )
            for record in self._lost_neighbours():
                self._ask(record)

    def _lost_neighbours(self) -> list[mesh_model.NodeRecord]:
        """Return nodes lost lately between this one and the next living."""
        membership = self._app.service('membership')
        lost = []
        for record in self._ring(membership.all_records()):
            if not record.gone:
                break
            if membership.gone_for_s(record.node_id) <= RETURN_WATCH_S:
                lost.append(record)
        return lost

    def _ask(self, record: mesh_model.NodeRecord) -> None:
        """Compare views with a node unless this is under way."""
        if record.node_id not in self._asking:
            self._asking.add(record.node_id)
            self._spawn(self._compare_once(record))

    async def _compare_once(self, record: mesh_model.NodeRecord) -> None:
        try:
            await self._compare(record)
        finally:
            self._asking.discard(record.node_id)

    async def _compare_or_check(self, record: mesh_model.NodeRecord) -> None:
        if not await self._compare(record) and not record.gone:
            self.suspect(record)

    async def _check(self, record: mesh_model.NodeRecord) -> None:
        try:
            for attempt in range(MAX_FAILURES):
                if attempt:
                    await asyncio.sleep(RECHECK_S)
                if await self._compare(record):
                    return
            membership = self._app.service('membership')
            current = membership.get(record.node_id)
            if current is not None and not current.gone:
                LOG.warning(
                    'exchange: %s at %s does not answer; its worker is out '
                    'of routing',
                    record.node_id,
                    record.host,
                )
                membership.mark_gone([record.node_id])
        finally:
            self._checking.discard(record.node_id)

    async def _compare(self, record: mesh_model.NodeRecord) -> bool:
        """Bring the views of this node and another one together.

        :returns: whether the other node answered
        """
        membership = self._app.service('membership')
        gossip = mesh_pb2.Gossip(
            digests=wire.digests_to_pb(membership.digests())
            or [mesh_pb2.MembershipDigest()],
            config_version=self._app.service('configuration').version(),
            moves=[
                rollout_wire.state_to_message(state)
                for state in self._app.service('rollouts').states()
            ],
        )
        body = await self._send(record, gossip)
        if body is None:
            return False
        try:
            answer = mesh_pb2.Gossip.FromString(body)
        except pb_message.DecodeError as exc:
            LOG.warning('exchange: an answer can not be read: %s', exc)
            return True
        self._take_in(answer)
        self._return_newer(record, answer)
        return True

    def _answer(self, asked: mesh_pb2.Gossip) -> mesh_pb2.Gossip:
        membership = self._app.service('membership')
        records, domains = membership.differing_records(
            wire.digests_from_pb(asked.digests)
        )
        answer = self._stamped(mesh_pb2.Gossip())
        if domains:
            answer.membership.CopyFrom(wire.delta_to_pb(records, domains))
        answer.moves.extend(
            rollout_wire.state_to_message(state)
            for state in self._app.service('rollouts').states()
        )
        applied = self._app.service('configuration')
        answer.config_version = applied.version()
        if asked.config_version < applied.version() and (
            not asked.config_version
            or self._clock() - self._config_at >= CONFIG_AFTER_S
        ):
            answer.config = self._packed_config()
        return answer

    def _return_newer(
        self, record: mesh_model.NodeRecord, answer: mesh_pb2.Gossip
    ) -> None:
        theirs, domains = wire.delta_from_pb(answer.membership)
        if not domains:
            return
        known = {item.node_id: (item.order, item.gone) for item in theirs}
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

    def _take_in(self, gossip: mesh_pb2.Gossip) -> None:
        membership = self._app.service('membership')
        records, _ = wire.delta_from_pb(gossip.membership)
        if gossip.HasField('sender'):
            records.append(wire.record_from_pb(gossip.sender))
        if records:
            membership.merge(records, gossip)
        rollouts = self._app.service('rollouts')
        if gossip.evidence.cells:
            rollouts.observe(
                [
                    rollout_wire.cell_from_message(cell)
                    for cell in gossip.evidence.cells
                ]
            )
        for move in gossip.moves:
            rollouts.merge(rollout_wire.state_from_message(move))
        if gossip.config:
            self._take_config(gossip.config)

    def _take_config(self, packed: bytes) -> None:
        try:
            text = zlib.decompressobj().decompress(packed, MAX_CONFIG_BYTES)
            cfg = _CONFIG_DECODER.decode(text)
        except (zlib.error, msgspec.MsgspecError) as exc:
            LOG.warning('exchange: a configuration can not be read: %s', exc)
            return
        if self._app.service('configuration').apply(cfg):
            LOG.info('exchange: got version %d of a node', cfg.version)

    def _packed_config(self) -> bytes:
        current = self._app.service('configuration').current()
        if self._config[0] != current.version:
            packed = zlib.compress(_CONFIG_ENCODER.encode(current), 1)
            self._config = current.version, packed
        return self._config[1]

    def _membership_changed(
        self, records: Iterable[mesh_model.NodeRecord], source: object
    ) -> None:
        # Records that came from another node spread by themselves: their
        # owner tells everybody.
        if source is not None:
            return
        self._untold.update(record.node_id for record in records)
        if self._batch is None and self._comparing is not None:
            loop = asyncio.get_running_loop()
            self._batch = loop.call_later(BATCH_S, self._tell_all)

    def _tell_all(self) -> None:
        self._batch = None
        membership = self._app.service('membership')
        untold, self._untold = self._untold, set()
        records = [membership.get(node_id) for node_id in sorted(untold)]
        delta = wire.delta_to_pb(
            record for record in records if record is not None
        )
        self._send_to_all(mesh_pb2.Gossip(membership=delta))

    def _config_applied(self, cfg: model.Configuration) -> None:
        self._config_at = self._clock()

    def _send_to_all(self, gossip: mesh_pb2.Gossip) -> None:
        for record in self._app.service('membership').all_records():
            if record.node_id != self._node_id:
                self._spawn(self._send(record, gossip))

    async def _send(
        self, record: mesh_model.NodeRecord, gossip: mesh_pb2.Gossip
    ) -> bytes | None:
        """Send a message; return the answer, None if there was none."""
        body = self._stamped(gossip).SerializeToString()
        outcome = (
            await self._app.service('peers')
            .pool(record)
            .request(
                http_messages.encode_request(
                    'POST', peers.EXCHANGE_PATH, (('Host', record.host),), body
                ),
                client.Options(
                    deadline=asyncio.get_running_loop().time()
                    + MESSAGE_TIMEOUT_S,
                    silence_timeout_s=MESSAGE_TIMEOUT_S,
                ),
            )
        )
        if isinstance(outcome, http_messages.Failure):
            LOG.debug('exchange: no answer of %s: %s', record.node_id, outcome)
            return None
        return outcome.body

    def _stamped(self, gossip: mesh_pb2.Gossip) -> mesh_pb2.Gossip:
        local = self._app.service('membership').local_record()
        gossip.sender.CopyFrom(wire.record_to_pb(local))
        return gossip

    def _spawn(self, coro: object) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error('exchange: a task failed', exc_info=task.exception())


def setup(app: application.Application) -> None:
    """Register the service ``exchange``."""
    app.add_service(
        'exchange',
        Exchange(app),
        after=(
            'metrics',
            'store',
            'configuration',
            'membership',
            'peers',
            'peer-server',
            'rollouts',
        ),
    )
