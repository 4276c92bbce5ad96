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
    """Stream of one child.

    ``version`` is the configuration version that the child has or will
    have once it has read what was sent; ``applied_version`` and
    ``lowest_version`` are what it reports. ``subtree_ids`` holds the ids of
    the nodes in its subtree, itself included.
    """

    def __init__(self, hello: mesh_pb2.Hello, *args: Any) -> None:
        super().__init__(wire.record_from_pb(hello.node), *args)
        self.version = hello.version
        self.applied_version = hello.version
        self.lowest_version = hello.version
        self.tier = hello.tier
        self.subtree_ids = {self.peer.node_id, *hello.descendants}
        # Nodes sent to this child since its last heartbeat; their arrival
        # is not yet part of its subtree.
        self.expected = 0

    @property
    def load(self) -> int:
        """Return the size of the subtree that the child will have."""
        return len(self.subtree_ids) + self.expected

    def send_redirect(
        self,
        records: Iterable[model.NodeRecord],
        reason: str,
        leaving: bool = False,
    ) -> None:
        """Ask the child to attach to another node."""
        redirect = wire.redirect_to_pb(records, reason, leaving)
        self.send(mesh_pb2.Down(redirect=redirect))


class Children:
    """Accepts children, sends them what changes and notices their loss."""

    def __init__(
        self, app: application.Application, tree: tree_module.Tree
    ) -> None:
        self._app = app
        self._tree = tree
        self.limit = app.cfg.integer('mesh', 'max_children')
        self._links: dict[str, Child] = {}
        # Order of the record of a lost child and the time at which it
        # counts as gone, unless it was seen again.
        self._lost: dict[str, tuple[tuple[int, int], float]] = {}

    def __iter__(self) -> Iterator[Child]:
        return iter(tuple(self._links.values()))

    def __len__(self) -> int:
        return len(self._links)

    def __contains__(self, node_id: str) -> bool:
        return node_id in self._links

    def get(self, node_id: str) -> Child | None:
        """Return the stream of a child."""
        return self._links.get(node_id)

    def local(self) -> list[Child]:
        """Return the children of this region, in the order of their ids."""
        region = self._tree.local.region
        return sorted(
            (c for c in self if c.peer.region == region),
            key=lambda child: child.peer.node_id,
        )

    def descendants(self) -> set[str]:
        """Return the ids of all nodes below this one."""
        found = set().union(*(child.subtree_ids for child in self))
        return found - {self._tree.local.node_id}

    def free_places(self) -> int:
        """Return how many more children of this region are accepted."""
        return max(0, self.limit - len(self.local()))

    def broadcast(self, msg: mesh_pb2.Down) -> None:
        """Send a message to all children."""
        for child in self:
            child.send(msg)

    async def serve(self, stream: Any) -> None:
        """Serve the stream of a node that asks to be a child."""
        try:
            async with asyncio.timeout(self._tree.timing.connect_s):
                first = await stream.recv_message()
        except (TimeoutError, *links.LOST):
            return
        if first is None or first.WhichOneof('kind') != 'hello':
            return
        self._tree.counters.add(self._tree.counters.received, first)
        redirect = placement.place(self._tree, first.hello)
        if redirect is not None:
            msg = mesh_pb2.Down(redirect=redirect)
            self._tree.counters.add(self._tree.counters.sent, msg)
            try:
                await stream.send_message(msg)
            except links.LOST:
                pass
            return
        child = Child(first.hello, self._tree.counters, self._tree.clock)
        self._add(child, first.hello)
        try:
            await child.pump(stream, lambda msg: self._receive(child, msg))
        finally:
            self._remove(child)
            links.close_connection(stream)

    def send_config(self, child: Child) -> None:
        """Send a child the configuration if it is behind."""
        update = self._app.service('configuration').update_since(child.version)
        if update is not None:
            child.send(mesh_pb2.Down(config=update))
            child.version = update.version

    def check_silence(self) -> None:
        """Close the streams of silent children, mark lost ones as gone."""
        for child in self:
            if child.silent_for() >= self._tree.timing.silence_s:
                LOG.warning(
                    'mesh: child %s is silent, closing its stream',
                    child.peer.node_id,
                )
                child.close(links.SILENT)
        now = self._tree.clock()
        due = [key for key, (_, at) in self._lost.items() if now >= at]
        if not due:
            return
        below = self.descendants()
        membership = self._app.service('membership')
        gone = []
        for node_id in due:
            order, _ = self._lost.pop(node_id)
            record = membership.get(node_id)
            if (
                node_id not in below
                and record is not None
                and not record.gone
                and record.order <= order
            ):
                gone.append(node_id)
        if gone:
            LOG.warning('mesh: lost %s', ', '.join(gone))
            membership.mark_gone(gone)

    def note_lost(self, node_id: str, seen_at: float) -> None:
        """Mark a node as gone later, unless it is seen again."""
        record = self._app.service('membership').get(node_id)
        if record is not None and not record.gone:
            at = seen_at + self._tree.timing.silence_s
            self._lost[node_id] = (record.order, at)

    async def dismiss(self) -> None:
        """Close all streams once what is queued has been sent."""
        await asyncio.gather(
            *(child.drained(self._tree.timing.leave_s) for child in self)
        )
        for child in self:
            child.close('this node stops')

    def _add(self, child: Child, hello: mesh_pb2.Hello) -> None:
        node_id = child.peer.node_id
        old = self._links.get(node_id)
        if old is not None:
            old.close('replaced by a newer stream')
        self._links[node_id] = child
        self._lost.pop(node_id, None)
        LOG.info('mesh: %s is a child now', node_id)
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
        placement.replace_interim(self._tree, child)
        self._tree.subtree_changed()
        self._tree.siblings_changed()

    def _remove(self, child: Child) -> None:
        node_id = child.peer.node_id
        if self._links.get(node_id) is not child:
            return
        del self._links[node_id]
        self.note_lost(node_id, child.received_at)
        LOG.info('mesh: %s is no child any more: %s', node_id, child.closed)
        self._tree.subtree_changed()
        self._tree.siblings_changed()

    def _send_view(self, child: Child, digests: dict[str, int]) -> None:
        membership = self._app.service('membership')
        records, domains = membership.differing_records(digests)
        if records or domains:
            delta = wire.delta_to_pb(records, domains)
            child.send(mesh_pb2.Down(membership=delta))

    def _receive(self, child: Child, msg: mesh_pb2.Up) -> None:
        kind = msg.WhichOneof('kind')
        if kind == 'heartbeat':
            child.applied_version = msg.heartbeat.version
            child.lowest_version = msg.heartbeat.lowest_version
            child.expected = 0
        elif kind == 'membership':
            records, _ = wire.delta_from_pb(msg.membership)
            self._app.service('membership').merge(records, source=child)
        elif kind == 'descendants':
            child.subtree_ids |= set(msg.descendants.added)
            child.subtree_ids -= set(msg.descendants.removed)
            # A loop that was just dissolved had the child below itself.
            child.subtree_ids.add(child.peer.node_id)
            self._tree.subtree_changed()
        elif kind == 'digests':
            self._send_view(child, wire.digests_from_pb(msg.digests.digests))
        elif kind == 'evidence':
            if self._app.has_service('evidence'):
                self._app.service('evidence').merge(msg.evidence)
        elif kind == 'status':
            self._tree.report(msg.status)
        elif kind == 'config_request':
            child.version = 0
            update = self._app.service('configuration').update_since(0)
            if update is not None and update.version > msg.config_request.have:
                child.send(mesh_pb2.Down(config=update))
                child.version = update.version
        elif kind == 'config':
            self._take_config(child, msg.config)

    def _take_config(
        self, child: Child, update: mesh_pb2.ConfigUpdate
    ) -> None:
        child.version = max(child.version, update.version)
        outcome = self._app.service('configuration').apply_update(update)
        if isinstance(outcome, errors.Refusal):
            LOG.info(
                'mesh: configuration of child %s: %s',
                child.peer.node_id,
                outcome,
            )
