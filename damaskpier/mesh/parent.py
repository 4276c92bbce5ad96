"""Child side of the distribution tree: the stream to one parent."""

from __future__ import annotations

import asyncio
import logging
from typing import NamedTuple
from typing import TYPE_CHECKING

import grpclib.client

from damaskpier import errors
from damaskpier.mesh import links
from damaskpier.mesh import wire
from damaskpier.rollout import wire as rollout_wire
from damaskpier.rpc import mesh_grpc
from damaskpier.rpc import mesh_pb2

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.mesh import model
    from damaskpier.mesh import tree as tree_module

LOG = logging.getLogger(__name__)

# Heartbeats in a row that show another view before the views are compared;
# shorter differences come from deltas under way.
DIFFERING_HEARTBEATS = 3
# Heartbeats in a row that show an older configuration before the parent is
# sent the newer one.
LAGGING_HEARTBEATS = 2


class Answer(NamedTuple):
    """Outcome of an attempt to attach.

    ``candidates`` are the nodes that a redirect names.
    """

    attached: bool
    candidates: tuple[model.NodeRecord, ...] = ()
    reason: str = ''


class Parent(links.Link):
    """Stream to a parent, from the attempt to attach to its end.

    ``answer`` resolves with the outcome of the attempt. ``ancestors`` are
    the records from the first node of the tree to the parent.

    :param target: record of the node to attach to
    :param placed: whether the target should keep this node below itself
    """

    def __init__(
        self,
        app: application.Application,
        tree: tree_module.Tree,
        target: model.NodeRecord,
        placed: bool,
    ) -> None:
        super().__init__(target, tree.counters, tree.clock)
        self._app = app
        self._tree = tree
        self._placed = placed
        self._channel: grpclib.client.Channel | None = None
        self._differing = 0
        self._lagging = 0
        self._hello_digest = 0
        self._offered_version = 0
        self.answer: asyncio.Future[Answer] = (
            asyncio.get_running_loop().create_future()
        )
        self.version = 0
        self.tier = 0
        self.ancestors: tuple[model.NodeRecord, ...] = ()
        self.siblings: tuple[model.NodeRecord, ...] = ()
        self.successors: tuple[model.NodeRecord, ...] = ()
        self.left = False
        self.timed_out = False
        self._sent_below: set[str] = set()

    def close(self, reason: str) -> None:
        """End the stream and its channel."""
        super().close(reason)
        if self._channel is not None:
            self._channel.close()

    def send_descendants(self, below: set[str]) -> None:
        """Send which nodes have come or gone below this one."""
        if below == self._sent_below:
            return
        change = mesh_pb2.Descendants(
            added=sorted(below - self._sent_below),
            removed=sorted(self._sent_below - below),
        )
        self._sent_below = set(below)
        self.send(mesh_pb2.Up(descendants=change))

    async def run(self) -> None:
        """Attach and serve the stream until it ends."""
        reason = 'no answer'
        try:
            reason = await self._run()
        except links.LOST as exc:
            self.timed_out = isinstance(exc, TimeoutError)
            reason = f'{type(exc).__name__}: {exc}'
        finally:
            self.close(reason)
            if not self.answer.done():
                self.answer.set_result(Answer(False, (), reason))

    async def _run(self) -> str:
        self._channel = grpclib.client.Channel(
            self.peer.host, self.peer.rpc_port
        )
        stub = mesh_grpc.MeshStub(self._channel)
        async with stub.Attach.open() as stream:
            async with asyncio.timeout(self._tree.timing.connect_s):
                hello = mesh_pb2.Up(hello=self._tree.hello(self._placed))
                self._sent_below = set(hello.hello.descendants)
                self._hello_digest = self._app.service('membership').digest()
                self._counters.add(self._counters.sent, hello)
                await stream.send_message(hello)
                first = await stream.recv_message()
            if first is None:
                return 'closed by the peer'
            self.received_at = self._clock()
            self._counters.add(self._counters.received, first)
            if first.WhichOneof('kind') != 'welcome':
                redirect = first.redirect
                found = wire.records_from_pb(redirect.candidates)
                self.answer.set_result(
                    Answer(False, tuple(found), redirect.reason)
                )
                return redirect.reason
            self._welcome(first.welcome)
            if self.closed:
                return self.closed
            return await self.pump(stream, self._receive)

    def _welcome(self, welcome: mesh_pb2.Welcome) -> None:
        self._set_path(welcome)
        if self.closed:
            return
        self._tree.attached(self)
        digest = self._app.service('membership').digest()
        if digest != self._hello_digest:
            # Records that came after the first message had no parent to go
            # to.
            self._report_digests()
        self.answer.set_result(Answer(True))

    def _set_path(self, msg: mesh_pb2.Welcome | mesh_pb2.PathUpdate) -> None:
        if self._tree.local.node_id in msg.path:
            LOG.warning(
                'mesh: path over %s leads back to this node',
                self.peer.node_id,
            )
            self.close('loop')
            return
        self.tier = msg.tier
        self.ancestors = tuple(wire.records_from_pb(msg.ancestors))
        if self.ancestors:
            # The target may be a seed, of which only the address is known.
            self.peer = self.ancestors[-1]
        self.siblings = tuple(wire.records_from_pb(msg.siblings))

    def _path_key(self) -> tuple[object, ...]:
        return self.tier, [
            (node.node_id, node.incarnation) for node in self.ancestors
        ]

    def _receive(self, msg: mesh_pb2.Down) -> None:
        kind = msg.WhichOneof('kind')
        if kind == 'heartbeat':
            self.version = msg.heartbeat.version
            self._compare_version()
            self._compare_digest(msg.heartbeat.digest)
        elif kind == 'membership':
            self._take_membership(msg.membership)
        elif kind == 'config':
            self._take_config(msg.config)
        elif kind == 'move':
            self._take_move(msg.move)
        elif kind == 'path':
            before = self._path_key()
            self._set_path(msg.path)
            if not self.closed and before != self._path_key():
                self._tree.path_changed()
        elif kind == 'redirect':
            self.left = msg.redirect.leaving
            self.successors = tuple(
                wire.records_from_pb(msg.redirect.candidates)
            )
            self.close(f'redirected: {msg.redirect.reason}')

    def _take_membership(self, msg: mesh_pb2.MembershipDelta) -> None:
        membership = self._app.service('membership')
        records, domains = wire.delta_from_pb(msg)
        if not domains:
            membership.merge(records, source=self)
            return
        newer = membership.adopt_view(
            records, domains, self._tree.children.descendants(), self
        )
        if newer:
            self.send(mesh_pb2.Up(membership=wire.delta_to_pb(newer)))

    def _take_config(self, update: mesh_pb2.ConfigUpdate) -> None:
        active = self._app.service('configuration')
        self.version = max(self.version, update.version)
        outcome = active.apply_update(update)
        if (
            isinstance(outcome, errors.Refusal)
            and outcome.code is errors.CONFIG_DIGEST
            and update.base
        ):
            LOG.info('mesh: ask for the whole bundle: %s', outcome.reason)
            self.send(
                mesh_pb2.Up(
                    config_request=mesh_pb2.ConfigRequest(
                        have=active.version()
                    )
                )
            )

    def _take_move(self, msg: mesh_pb2.MoveState) -> None:
        if not self._app.has_service('rollouts'):
            return
        try:
            state = rollout_wire.state_from_message(msg)
        except ValueError as exc:
            LOG.error('mesh: state of move %s is not usable: %s', msg, exc)
            return
        self._app.service('rollouts').merge(state)

    def _compare_version(self) -> None:
        own = self._app.service('configuration').version()
        if own <= self.version or own == self._offered_version:
            self._lagging = 0
            return
        self._lagging += 1
        if self._lagging < LAGGING_HEARTBEATS:
            return
        self._offered_version = own
        update = self._app.service('configuration').update_since(0)
        self.send(mesh_pb2.Up(config=update))

    def _compare_digest(self, digest: int) -> None:
        membership = self._app.service('membership')
        if membership.digest() == digest:
            self._differing = 0
            return
        self._differing += 1
        if self._differing >= DIFFERING_HEARTBEATS:
            self._differing = 0
            self._report_digests()

    def _report_digests(self) -> None:
        membership = self._app.service('membership')
        report = mesh_pb2.DigestReport(
            digests=wire.digests_to_pb(membership.digests())
        )
        self.send(mesh_pb2.Up(digests=report))
