"""Child side of an Attach stream: one parent or attempt to attach."""

from __future__ import annotations

import asyncio
import logging
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.mesh import links
from damaskpier.mesh import wire
from damaskpier.rollout import wire as rollout_wire
from damaskpier.rpc import mesh_grpc
from damaskpier.rpc import mesh_pb2
from damaskpier.rpc import write_coalescing

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.mesh import model
    from damaskpier.mesh import tree as tree_module

LOG = logging.getLogger(__name__)

# Consecutive heartbeats with another digest before the records are compared;
# deltas in transit cause shorter differences.
DIGEST_MISMATCH_HEARTBEATS = 3
# Consecutive heartbeats with an older configuration version before the parent
# is sent the newer one.
OLDER_CONFIG_HEARTBEATS = 2


class AttachResult(NamedTuple):
    """Result of an attempt to attach.

    ``candidates`` holds the nodes of a redirect, ``reason`` why the target
    did not accept this node.
    """

    attached: bool
    candidates: tuple[model.NodeRecord, ...] = ()
    reason: str = ''


class Parent(links.Link):
    """Stream to a parent, from the attempt to attach to its end.

    ``attach_result`` resolves with the result of the attempt. ``version``
    and ``tier`` are the parent's configuration version and the tier of the
    tree's root. ``ancestors`` holds the records from the root of the tree to
    the parent. ``siblings`` holds the parent's children in this region, this
    node included, if the parent is the head of the region. ``left`` is
    whether the parent has announced its stop, and ``successors`` are the
    nodes that it named in its redirect. ``timed_out`` is whether the attempt
    ended by a timeout.

    :param target: record of the node to attach to
    :param placed: whether the target should keep this node in its subtree
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
        self._channel: write_coalescing.Channel | None = None
        self._digest_mismatches = 0
        self._older_config_count = 0
        self._hello_digest = 0
        self._sent_config_version = 0
        self.attach_result: asyncio.Future[AttachResult] = (
            asyncio.get_running_loop().create_future()
        )
        self.version = 0
        self.tier = 0
        self.ancestors: tuple[model.NodeRecord, ...] = ()
        self.siblings: tuple[model.NodeRecord, ...] = ()
        self.successors: tuple[model.NodeRecord, ...] = ()
        self.left = False
        self.timed_out = False
        self._sent_descendants: set[str] = set()

    def close(self, reason: str) -> None:
        """End the stream and its channel."""
        super().close(reason)
        if self._channel is not None:
            self._channel.close()

    def send_descendants(self, descendants: set[str]) -> None:
        """Send the difference to the descendants sent before, if any."""
        if descendants == self._sent_descendants:
            return
        change = mesh_pb2.Descendants(
            added=sorted(descendants - self._sent_descendants),
            removed=sorted(self._sent_descendants - descendants),
        )
        self._sent_descendants = set(descendants)
        self.send(mesh_pb2.Up(descendants=change))

    async def run(self) -> None:
        """Attach and serve the stream until it ends."""
        reason = 'no answer'
        try:
            reason = await self._attach_and_serve()
        except links.STREAM_ERRORS as exc:
            self.timed_out = isinstance(exc, TimeoutError)
            reason = f'{type(exc).__name__}: {exc}'
        finally:
            self.close(reason)
            if not self.attach_result.done():
                self.attach_result.set_result(AttachResult(False, (), reason))

    async def _attach_and_serve(self) -> str:
        self._channel = write_coalescing.Channel(
            self.peer.host, self.peer.rpc_port
        )
        stub = mesh_grpc.MeshStub(self._channel)
        async with stub.Attach.open() as stream:
            async with asyncio.timeout(self._tree.timing.connect_timeout_s):
                hello = mesh_pb2.Up(hello=self._tree.hello(self._placed))
                self._sent_descendants = set(hello.hello.descendants)
                self._hello_digest = self._app.service('membership').digest()
                self._counters.record(self._counters.sent, hello)
                await stream.send_message(hello)
                first = await stream.recv_message()
            if first is None:
                return 'closed by the peer'
            self.received_at = self._clock()
            self._counters.record(self._counters.received, first)
            if first.WhichOneof('kind') != 'welcome':
                redirect = first.redirect
                found = wire.records_from_pb(redirect.candidates)
                self.attach_result.set_result(
                    AttachResult(False, tuple(found), redirect.reason)
                )
                return redirect.reason
            self._handle_welcome(first.welcome)
            if self.close_reason:
                return self.close_reason
            return await self.exchange_messages(stream, self._handle)

    def _handle_welcome(self, welcome: mesh_pb2.Welcome) -> None:
        self._set_path(welcome)
        if self.close_reason:
            return
        self._tree.record_attachment(self)
        digest = self._app.service('membership').digest()
        if digest != self._hello_digest:
            # Records that arrived after the hello were not sent, because
            # this node had no parent yet.
            self._report_digests()
        self.attach_result.set_result(AttachResult(True))

    def _set_path(self, msg: mesh_pb2.Welcome | mesh_pb2.PathUpdate) -> None:
        if self._tree.local_record.node_id in msg.path:
            LOG.warning(
                'mesh: the path of parent %s contains this node, closing the '
                'stream',
                self.peer.node_id,
            )
            self.close('loop')
            return
        self.tier = msg.tier
        self.ancestors = tuple(wire.records_from_pb(msg.ancestors))
        if self.ancestors:
            # Of a seed only the address is known before it answers.
            self.peer = self.ancestors[-1]
        self.siblings = tuple(wire.records_from_pb(msg.siblings))

    def _path_key(self) -> tuple[object, ...]:
        return self.tier, [
            (node.node_id, node.incarnation) for node in self.ancestors
        ]

    def _handle(self, msg: mesh_pb2.Down) -> None:
        kind = msg.WhichOneof('kind')
        if kind == 'heartbeat':
            self.version = msg.heartbeat.version
            self._compare_version()
            self._compare_digest(msg.heartbeat.digest)
        elif kind == 'membership':
            self._apply_membership(msg.membership)
        elif kind == 'config':
            self._apply_config(msg.config)
        elif kind == 'move':
            self._merge_move_state(msg.move)
        elif kind == 'path':
            before = self._path_key()
            self._set_path(msg.path)
            if not self.close_reason and before != self._path_key():
                self._tree.publish_path()
        elif kind == 'redirect':
            self.left = msg.redirect.leaving
            self.successors = tuple(
                wire.records_from_pb(msg.redirect.candidates)
            )
            self.close(f'redirected: {msg.redirect.reason}')

    def _apply_membership(self, msg: mesh_pb2.MembershipDelta) -> None:
        membership = self._app.service('membership')
        records, domains = wire.delta_from_pb(msg)
        if not domains:
            membership.merge(records, source=self)
            return
        newer = membership.replace_domains(
            records, domains, self._tree.children.descendants(), self
        )
        if newer:
            self.send(mesh_pb2.Up(membership=wire.delta_to_pb(newer)))

    def _apply_config(self, update: mesh_pb2.ConfigUpdate) -> None:
        active = self._app.service('configuration')
        self.version = max(self.version, update.version)
        outcome = active.apply_update(update)
        if (
            isinstance(outcome, errors.Refusal)
            and outcome.code is errors.CONFIG_DIGEST
            and update.base
        ):
            LOG.info('mesh: requesting the whole bundle: %s', outcome.reason)
            self.send(
                mesh_pb2.Up(
                    config_request=mesh_pb2.ConfigRequest(
                        have=active.version()
                    )
                )
            )

    def _merge_move_state(self, msg: mesh_pb2.MoveState) -> None:
        if not self._app.has_service('rollouts'):
            return
        try:
            state = rollout_wire.state_from_message(msg)
        except ValueError as exc:
            LOG.error('mesh: invalid state of a move: %s: %s', msg, exc)
            return
        self._app.service('rollouts').merge(state)

    def _compare_version(self) -> None:
        own = self._app.service('configuration').version()
        if own <= self.version or own == self._sent_config_version:
            self._older_config_count = 0
            return
        self._older_config_count += 1
        if self._older_config_count < OLDER_CONFIG_HEARTBEATS:
            return
        self._sent_config_version = own
        update = self._app.service('configuration').update_since(0)
        self.send(mesh_pb2.Up(config=update))

    def _compare_digest(self, digest: int) -> None:
        membership = self._app.service('membership')
        if membership.digest() == digest:
            self._digest_mismatches = 0
            return
        self._digest_mismatches += 1
        if self._digest_mismatches >= DIGEST_MISMATCH_HEARTBEATS:
            self._digest_mismatches = 0
            self._report_digests()

    def _report_digests(self) -> None:
        membership = self._app.service('membership')
        report = mesh_pb2.DigestReport(
            digests=wire.digests_to_pb(membership.digests())
        )
        self.send(mesh_pb2.Up(digests=report))
