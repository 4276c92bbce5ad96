"""Parent side of the distribution tree."""

from __future__ import annotations

import asyncio
import logging
from typing import Any
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.mesh import links
from damaskpier.mesh import placement
from damaskpier.mesh import wire
from damaskpier.rollout import wire as rollout_wire
from damaskpier.rpc import mesh_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from damaskpier import application
    from damaskpier.mesh import model
    from damaskpier.mesh import tree as tree_module

LOG = logging.getLogger(__name__)


class Child(links.Link):
    """Stream to one child.

    ``version`` is the highest configuration version that the child has or
    was sent. ``applied_version`` and ``lowest_version`` are the versions of
    its last heartbeat: its own, and the lowest one of its subtree.
    ``subtree_ids`` holds the ids of the nodes in its subtree, itself
    included.
    """

    def __init__(self, hello: mesh_pb2.Hello, *args: Any) -> None:
        super().__init__(wire.record_from_pb(hello.node), *args)
        self.version = hello.version
        self.applied_version = hello.version
        self.lowest_version = hello.version
        self.tier = hello.tier
        self.subtree_ids = {self.peer.node_id, *hello.descendants}
        # Nodes redirected to this child since its last heartbeat, which its
        # subtree may not contain yet.
        self.redirected_count = 0

    @property
    def load(self) -> int:
        """Return the expected size of the child's subtree."""
        return len(self.subtree_ids) + self.redirected_count

    def send_redirect(
        self,
        records: Iterable[model.NodeRecord],
        reason: str,
        leaving: bool = False,
    ) -> None:
        """Ask the child to attach to one of other nodes.

        :param leaving: whether this node is stopping
        """
        redirect = wire.redirect_to_pb(records, reason, leaving)
        self.send(mesh_pb2.Down(redirect=redirect))


class Children:
    """Accept children, send them updates and detect their failure."""

    def __init__(
        self, app: application.Application, tree: tree_module.Tree
    ) -> None:
        self._app = app
        self._tree = tree
        self.limit = app.cfg.integer('mesh', 'max_children')
        self._by_id: dict[str, Child] = {}
        # For each lost child the order of its record and the time at which
        # it is marked as gone, unless a newer record arrives before.
        self._loss_deadlines: dict[str, tuple[tuple[int, int], float]] = {}

    def __iter__(self) -> Iterator[Child]:
        return iter(tuple(self._by_id.values()))

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, node_id: str) -> bool:
        return node_id in self._by_id

    def get(self, node_id: str) -> Child | None:
        """Return a child by its node id, or None."""
        return self._by_id.get(node_id)

    def in_own_region(self) -> list[Child]:
        """Return the children in this node's region, sorted by node id."""
        region = self._tree.local_record.region
        return sorted(
            (c for c in self if c.peer.region == region),
            key=lambda child: child.peer.node_id,
        )

    def descendants(self) -> set[str]:
        """Return the ids of the nodes of all subtrees, without this node."""
        found = set().union(*(child.subtree_ids for child in self))
        return found - {self._tree.local_record.node_id}

    def free_places(self) -> int:
        """Return how many more children in its region this node accepts."""
        return max(0, self.limit - len(self.in_own_region()))

    def broadcast(self, msg: mesh_pb2.Down) -> None:
        """Send a message to all children."""
        for child in self:
            child.send(msg)

    async def serve(self, stream: Any) -> None:
        """Answer a node's hello, and serve its stream if it is accepted."""
        try:
            async with asyncio.timeout(self._tree.timing.connect_timeout_s):
                first = await stream.recv_message()
        except (TimeoutError, *links.STREAM_ERRORS):
            return
        if first is None or first.WhichOneof('kind') != 'hello':
            return
        self._tree.counters.record(self._tree.counters.received, first)
        redirect = placement.find_redirect(self._tree, first.hello)
        if redirect is not None:
            msg = mesh_pb2.Down(redirect=redirect)
            self._tree.counters.record(self._tree.counters.sent, msg)
            try:
                await stream.send_message(msg)
            except links.STREAM_ERRORS:
                pass
            return
        child = Child(first.hello, self._tree.counters, self._tree.clock)
        self._add_child(child, first.hello)
        try:
            await child.exchange_messages(
                stream, lambda msg: self._handle(child, msg)
            )
        finally:
            self._remove_child(child)
            links.close_connection(stream)

    def send_config(self, child: Child) -> None:
        """Send the configuration to a child that has an older version."""
        update = self._app.service('configuration').update_since(child.version)
        if update is not None:
            child.send(mesh_pb2.Down(config=update))
            child.version = update.version

    def check_timeouts(self) -> None:
        """Close the streams of unresponsive children, mark lost ones gone."""
        for child in self:
            if child.silent_for_s() >= self._tree.timing.silence_timeout_s:
                LOG.warning(
                    'mesh: no message from child %s within the timeout, '
                    'closing its stream',
                    child.peer.node_id,
                )
                child.close(links.REASON_UNRESPONSIVE)
        now = self._tree.clock()
        due = [
            key for key, (_, at) in self._loss_deadlines.items() if now >= at
        ]
        if not due:
            return
        descendants = self.descendants()
        membership = self._app.service('membership')
        gone = []
        for node_id in due:
            order, _ = self._loss_deadlines.pop(node_id)
            record = membership.get(node_id)
            if (
                node_id not in descendants
                and record is not None
                and not record.gone
                and record.order <= order
            ):
                gone.append(node_id)
        if gone:
            LOG.warning(
                'mesh: marking lost children as gone: %s', ', '.join(gone)
            )
            membership.mark_gone(gone)

    def schedule_mark_gone(self, node_id: str, seen_at: float) -> None:
        """Mark a node as gone after a timeout unless it attaches again.

        :param seen_at: time of the last message from the node
        """
        record = self._app.service('membership').get(node_id)
        if record is not None and not record.gone:
            at = seen_at + self._tree.timing.silence_timeout_s
            self._loss_deadlines[node_id] = (record.order, at)

    async def close_all(self) -> None:
        """Close all streams after their queues have been sent."""
        await asyncio.gather(
            *(
                child.wait_drained(self._tree.timing.drain_timeout_s)
                for child in self
            )
        )
        for child in self:
            child.close('this node stops')

    def _add_child(self, child: Child, hello: mesh_pb2.Hello) -> None:
        node_id = child.peer.node_id
        old = self._by_id.get(node_id)
        if old is not None:
            old.close('replaced by a newer stream')
        self._by_id[node_id] = child
        self._loss_deadlines.pop(node_id, None)
        LOG.info('mesh: %s attached as a child', node_id)
        membership = self._app.service('membership')
        membership.merge([child.peer], source=child)
        digests = {item.failure_domain: item.digest for item in hello.digests}
        path = self._tree.path_message()
        child.send(
            mesh_pb2.Down(
                welcome=mesh_pb2.Welcome(
                    path=path.path,
                    ancestors=path.ancestors,
                    tier=path.tier,
                    siblings=path.siblings,
                    digests=wire.digests_to_pb(membership.digests()),
                )
            )
        )
        self.send_config(child)
        self._send_view(child, digests)
        for state in self._tree.move_states():
            child.send(
                mesh_pb2.Down(move=rollout_wire.state_to_message(state))
            )
        placement.redirect_interim_heads(self._tree, child)
        self._tree.publish_descendants()
        self._tree.publish_siblings()

    def _remove_child(self, child: Child) -> None:
        node_id = child.peer.node_id
        if self._by_id.get(node_id) is not child:
            return
        del self._by_id[node_id]
        self.schedule_mark_gone(node_id, child.received_at)
        LOG.info('mesh: child %s detached: %s', node_id, child.close_reason)
        self._tree.publish_descendants()
        self._tree.publish_siblings()

    def _send_view(self, child: Child, digests: dict[str, int]) -> None:
        membership = self._app.service('membership')
        records, domains = membership.differing_records(digests)
        if records or domains:
            delta = wire.delta_to_pb(records, domains)
            child.send(mesh_pb2.Down(membership=delta))

    def _handle(self, child: Child, msg: mesh_pb2.Up) -> None:
        kind = msg.WhichOneof('kind')
        if kind == 'heartbeat':
            child.applied_version = msg.heartbeat.version
            child.lowest_version = msg.heartbeat.lowest_version
            child.redirected_count = 0
        elif kind == 'membership':
            records, _ = wire.delta_from_pb(msg.membership)
            self._app.service('membership').merge(records, source=child)
        elif kind == 'descendants':
            child.subtree_ids |= set(msg.descendants.added)
            child.subtree_ids -= set(msg.descendants.removed)
            # In a loop that was just broken up the child was its own
            # descendant, so that it reports itself as removed.
            child.subtree_ids.add(child.peer.node_id)
            self._tree.publish_descendants()
        elif kind == 'digests':
            self._send_view(child, wire.digests_from_pb(msg.digests.digests))
        elif kind == 'evidence':
            if self._app.has_service('evidence'):
                self._app.service('evidence').merge(msg.evidence)
        elif kind == 'status':
            self._tree.record_status(msg.status)
        elif kind == 'config_request':
            child.version = 0
            update = self._app.service('configuration').update_since(0)
            if update is not None and update.version > msg.config_request.have:
                child.send(mesh_pb2.Down(config=update))
                child.version = update.version
        elif kind == 'config':
            self._apply_config(child, msg.config)

    def _apply_config(
        self, child: Child, update: mesh_pb2.ConfigUpdate
    ) -> None:
        child.version = max(child.version, update.version)
        outcome = self._app.service('configuration').apply_update(update)
        if isinstance(outcome, errors.Refusal):
            LOG.info(
                'mesh: configuration from child %s was not applied: %s',
                child.peer.node_id,
                outcome,
            )
