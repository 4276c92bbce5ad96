"""Position of this node in the distribution tree, and forwarding."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier.mesh import children as children_module
from damaskpier.mesh import links
from damaskpier.mesh import orphans
from damaskpier.mesh import outbox
from damaskpier.mesh import parent as parent_module
from damaskpier.mesh import parent_search as parent_search_module
from damaskpier.mesh import placement
from damaskpier.mesh import root_leases as root_leases_module
from damaskpier.mesh import timing as timing_module
from damaskpier.mesh import wire
from damaskpier import registry
from damaskpier.rollout import wire as rollout_wire
from damaskpier.rpc import mesh_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier.bundle import model as bundle_model
    from damaskpier import errors
    from damaskpier.mesh import model
    from damaskpier.rollout import model as rollout_model

LOG = logging.getLogger(__name__)

MAX_REFUSALS = 1000
# Doublings of the interval between attempts to reach a better parent.
MAX_REATTACH_DOUBLINGS = 7
# An interval this long between two own heartbeats means that this process
# was paused.
PROCESS_PAUSE_HEARTBEATS = 2


class Status(NamedTuple):
    """Position of this node in the tree and state of its subtree.

    ``role`` is one of ``fleet-root``, ``region-root``, ``interim-root``
    (root of a tree or head of a region, without a lease) and ``member``.
    ``path`` holds the node ids from the root to the parent. ``subtree`` is
    the number of nodes in the subtree, this one included. ``refusals`` maps
    the ids of nodes of the subtree that refused the newest configuration to
    the reason. ``sent`` and ``received`` count messages by kind.
    ``attempts`` counts the attempts to attach to a parent.
    """

    role: str
    path: tuple[str, ...]
    parent: str
    children: tuple[str, ...]
    subtree: int
    version: int
    lowest_version: int
    refusals: dict[str, str]
    sent: dict[str, links.Count]
    received: dict[str, links.Count]
    attempts: int


class Tree(registry.Service):
    """Maintain the streams to the parent and to the children.

    Forwards configuration, membership records and move states down the
    tree, and evidence, status and descendants up.

    :param rng: generator for jitter and for the order of candidates;
        :func:`setup` seeds it with the node's id by default
    :param clock: returns the monotonic time in seconds
    """

    def __init__(
        self,
        app: application.Application,
        timing: timing_module.Timing,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._app = app
        self.timing = timing
        self.clock = clock
        self.rng = rng
        self.counters = links.Counters()
        self.parent: parent_module.Parent | None = None
        self.children = children_module.Children(app, self)
        self.parent_search = parent_search_module.ParentSearch(app, self, rng)
        self.root_leases = root_leases_module.RootLeases(app, self)
        self.leaving = False
        self._orphans = orphans.Orphans(app, self)
        self._outbox = outbox.Outbox(self)
        self._tasks: list[asyncio.Task[None]] = []
        self._refusals: dict[str, str] = {}
        self._descendants: set[str] | None = None
        self._attached_before = False
        self._last_tier = placement.TIER_NONE
        self._next_reattach_at = clock()
        self._reattach_attempts = 0
        self._last_tick_at = clock()

    async def start(self) -> None:
        """Subscribe to events and start to search for a parent."""
        events = self._app.events
        events.connect('membership-delta', self._outbox.add_records)
        events.connect('config-applied', self._on_config_applied)
        events.connect('config-refused', self._on_config_refused)
        events.connect('rollout-changed', self._on_rollout_changed)
        events.connect('lease-lost', self._on_lease_lost)
        events.connect('trip-recorded', self._send_evidence)
        self._tasks = [
            asyncio.create_task(coro, name=name)
            for name, coro in (
                ('mesh-tick', self._tick_loop()),
                ('mesh-flush', self._outbox.run()),
                ('mesh-roots', self.root_leases.run()),
                ('mesh-join', self.parent_search.run()),
            )
        ]

    async def stop(self) -> None:
        """Release the leases, redirect the children and close all streams."""
        self.leaving = True
        self._app.service('membership').mark_local_gone()
        self._outbox.flush()
        await self.root_leases.release()
        self._redirect_children()
        if self.parent is not None:
            await self.parent.wait_drained(self.timing.drain_timeout_s)
        await self.children.close_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def serve_child(self, stream: Any) -> None:
        """Serve an Attach stream that another node opened, until it ends."""
        await self.children.serve(stream)

    # State of this node.

    @property
    def local_record(self) -> model.NodeRecord:
        """Return the record of this node."""
        return self._app.service('membership').local_record()

    def nodes(self) -> tuple[model.NodeRecord, ...]:
        """Return the records of all nodes that are not gone."""
        return self._app.service('membership').nodes()

    def sample_nodes(
        self, region: str, count: int, excluded: set[str] | None = None
    ) -> list[model.NodeRecord]:
        """Return up to ``count`` random nodes of a region.

        :param excluded: ids of nodes to leave out
        """
        found = [
            node
            for node in self.nodes()
            if node.region == region and node.node_id not in (excluded or ())
        ]
        return self.rng.sample(found, min(count, len(found)))

    def holds_region_lease(self) -> bool:
        """Return whether this node holds the lease of its region."""
        return self.root_leases.is_held(
            root_leases_module.region_lease(self.local_record.region)
        )

    def needs_no_parent(self) -> bool:
        """Return whether this node is the fleet root or is stopping."""
        return self.leaving or self.tier() == placement.TIER_FLEET

    def tier(self) -> int:
        """Return one of the ``TIER_*`` constants of placement."""
        if not self.holds_region_lease():
            return placement.TIER_NONE
        if self.root_leases.is_held(root_leases_module.FLEET_LEASE):
            return placement.TIER_FLEET
        return placement.TIER_REGION

    def root_key(self) -> tuple[int, str]:
        """Return the tier and the id of the root of this tree."""
        if self.parent is None or not self.parent.ancestors:
            return self.tier(), self.local_record.node_id
        return self.parent.tier, self.parent.ancestors[0].node_id

    def root_records(self) -> list[model.NodeRecord]:
        """Return the root's record; an empty list if this node is the root."""
        return list(self.parent.ancestors[:1]) if self.parent else []

    def path(self) -> list[str]:
        """Return the node ids from the root of this tree to the parent."""
        if self.parent is None:
            return []
        return [node.node_id for node in self.parent.ancestors]

    def region_head(self) -> model.NodeRecord:
        """Return the node of this region that is nearest to the root."""
        if self.parent is not None:
            for node in self.parent.ancestors:
                if node.region == self.local_record.region:
                    return node
        return self.local_record

    def is_region_head(self) -> bool:
        """Return whether this node has no ancestor in its region."""
        return self.region_head() is self.local_record

    def was_region_head(self, former: parent_module.Parent) -> bool:
        """Return whether a former parent was the head of this region."""
        region = self.local_record.region
        return former.peer.region == region and not any(
            node.region == region for node in former.ancestors[:-1]
        )

    def descendants(self) -> set[str]:
        """Return the ids of all nodes below this one."""
        if self._descendants is None:
            self._descendants = self.children.descendants()
        return self._descendants

    def attaching_to(self) -> str:
        """Return the id of the node of the current attempt, or ''."""
        return self.parent_search.target

    def lowest_version(self) -> int:
        """Return the lowest configuration version applied in the subtree."""
        own = self._app.service('configuration').version()
        return min([own, *(child.lowest_version for child in self.children)])

    def move_states(self) -> list[rollout_model.MoveState]:
        """Return the states of all moves; empty without ``rollouts``."""
        if not self._app.has_service('rollouts'):
            return []
        return list(self._app.service('rollouts').states())

    def role(self) -> str:
        """Return the role as described in :class:`Status`."""
        if self.tier() == placement.TIER_FLEET:
            return 'fleet-root'
        if self.tier() == placement.TIER_REGION:
            return 'region-root'
        return 'interim-root' if self.is_region_head() else 'member'

    def status(self) -> Status:
        """Return the position in the tree and the message counters."""
        return Status(
            self.role(),
            tuple(self.path()),
            self.parent.peer.node_id if self.parent else '',
            tuple(child.peer.node_id for child in self.children),
            1 + len(self.descendants()),
            self._app.service('configuration').version(),
            self.lowest_version(),
            dict(self._refusals),
            dict(self.counters.sent),
            dict(self.counters.received),
            self.parent_search.attempts,
        )

    # Messages that describe this node.

    def hello(self, placed: bool) -> mesh_pb2.Hello:
        """Return the first message of an attempt to attach.

        :param placed: whether the receiver should keep this node in its
            subtree instead of redirecting it to the head of the region
        """
        membership = self._app.service('membership')
        return mesh_pb2.Hello(
            node=wire.record_to_pb(self.local_record),
            version=self._app.service('configuration').version(),
            digests=wire.digests_to_pb(membership.digests()),
            subtree=1 + len(self.descendants()),
            free_places=self.children.free_places(),
            tier=self.tier(),
            placed=placed,
            descendants=sorted(self.descendants()),
        )

    def path_message(self) -> mesh_pb2.PathUpdate:
        """Return the path of the children.

        The head of a region adds its children in the region as siblings.
        """
        ancestors = [*(self.parent.ancestors if self.parent else ())]
        ancestors.append(self.local_record)
        siblings = []
        if self.is_region_head():
            siblings = [child.peer for child in self.children.in_own_region()]
        return mesh_pb2.PathUpdate(
            path=[node.node_id for node in ancestors],
            ancestors=[wire.record_to_pb(node) for node in ancestors],
            tier=self.root_key()[0],
            siblings=[wire.record_to_pb(node) for node in siblings],
        )

    # Changes reported by the other classes of this package.

    def record_attachment(self, parent: parent_module.Parent) -> None:
        """Set the parent that has accepted this node."""
        LOG.info(
            'mesh: attached to %s, path %s',
            parent.peer.node_id,
            '/'.join(node.node_id for node in parent.ancestors),
        )
        self.parent = parent
        if self._attached_before:
            # A record of a higher order stops the former parent from
            # marking this node as gone.
            self._app.service('membership').republish_local()
        self._attached_before = True
        self.publish_path()
        self.publish_descendants()

    def record_detachment(self, parent: parent_module.Parent) -> None:
        """Clear the parent after the end of its stream."""
        LOG.info(
            'mesh: detached from %s: %s',
            parent.peer.node_id,
            parent.close_reason,
        )
        if self.parent is parent:
            self.parent = None
        if self.was_region_head(parent) and self.is_region_head():
            # No node above the lost root can detect its failure.
            self.children.schedule_mark_gone(
                parent.peer.node_id, parent.received_at
            )
        self.root_leases.wake()

    def record_failed_round(self) -> None:
        """Publish the path after a round in which no candidate accepted."""
        self.publish_path()
        self.root_leases.wake()

    def publish_path(self) -> None:
        """Send the path to the children after a change."""
        self._outbox.add_path()
        self.root_leases.wake()

    def publish_siblings(self) -> None:
        """Send the siblings to the children of this region."""
        if self.is_region_head():
            self._outbox.add_siblings()

    def publish_descendants(self) -> None:
        """Send added and removed descendants to the parent."""
        self._descendants = None
        self._outbox.add_descendants()

    def handle_tier_change(self) -> None:
        """Publish the new tier after a lease was acquired or lost."""
        if self.parent is not None and self.needs_no_parent():
            self.parent.close('this node is the fleet root')
            # The fleet root attaches to no other node. A record of a higher
            # order stops the former parent from marking it as gone.
            self._app.service('membership').republish_local()
        self.parent_search.wake()
        self.publish_path()

    def reattach_to(self, node: model.NodeRecord) -> None:
        """Try to attach to a node in place of the current parent."""
        if self.parent is None or self.parent.peer.node_id != node.node_id:
            self.parent_search.add_hint(node)

    def record_status(self, status: mesh_pb2.NodeStatus) -> None:
        """Record a node's refusal of a configuration and send it up.

        An empty reason removes the refusal.
        """
        if not status.refused:
            self._refusals.pop(status.node_id, None)
        elif len(self._refusals) < MAX_REFUSALS:
            self._refusals[status.node_id] = status.refused
        if self.parent is not None:
            self.parent.send(mesh_pb2.Up(status=status))

    def _on_config_applied(self, snapshot: bundle_model.Snapshot) -> None:
        for child in self.children:
            self.children.send_config(child)
        if self.local_record.node_id in self._refusals:
            self._record_own_status('')

    def _on_config_refused(
        self, version: int, refusal: errors.Refusal
    ) -> None:
        self._record_own_status(f'version {version}: {refusal}')

    def _record_own_status(self, reason: str) -> None:
        self.record_status(
            mesh_pb2.NodeStatus(
                node_id=self.local_record.node_id,
                version=self._app.service('configuration').version(),
                refused=reason,
            )
        )

    def _on_rollout_changed(self, state: rollout_model.MoveState) -> None:
        self.children.broadcast(
            mesh_pb2.Down(move=rollout_wire.state_to_message(state))
        )

    def _on_lease_lost(self, name: str) -> None:
        LOG.warning('mesh: this node lost the lease %s', name)
        self.root_leases.lost(name)
        self.handle_tier_change()

    # Periodic work.

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(self.timing.heartbeat_s)
            try:
                self._tick()
            except Exception:
                LOG.exception('mesh: periodic work of the tree failed')

    def _reset_timeouts_after_pause(self) -> None:
        """Restart the timeouts of peers after a pause of this process.

        The messages that the peers sent during the pause are not read yet.
        """
        now = self.clock()
        if now - self._last_tick_at > PROCESS_PAUSE_HEARTBEATS * (
            self.timing.heartbeat_s
        ):
            LOG.warning(
                'mesh: this process sent no heartbeat for %.1f s, restarting '
                'the timeouts of its peers',
                now - self._last_tick_at,
            )
            for link in (self.parent, *self.children):
                if link is not None:
                    link.received_at = now
        self._last_tick_at = now

    def _tick(self) -> None:
        self._reset_timeouts_after_pause()
        parent = self.parent
        if (
            parent is not None
            and parent.silent_for_s() >= self.timing.silence_timeout_s
        ):
            LOG.warning(
                'mesh: no message from parent %s within the timeout, closing '
                'its stream',
                parent.peer.node_id,
            )
            parent.close(links.REASON_UNRESPONSIVE)
        if self.clock() >= self._next_reattach_at:
            better = placement.find_better_parent(self)
            self._reattach_attempts = (
                0 if better is None else self._reattach_attempts + 1
            )
            # Each reattachment changes records on all nodes, so the interval
            # doubles as long as the node does not reach the better parent.
            self._next_reattach_at = (
                self.clock()
                + self.timing.backoff_max_s
                * (1 + self.rng.random())
                * 2 ** min(self._reattach_attempts, MAX_REATTACH_DOUBLINGS)
            )
            if better is not None:
                self.reattach_to(better)
        self.children.check_timeouts()
        self._orphans.mark_missing()
        if self.tier() != self._last_tier:
            # A lease that can not be renewed expires without an event.
            self._last_tier = self.tier()
            self.handle_tier_change()
        version = self._app.service('configuration').version()
        if self.parent is not None:
            message = mesh_pb2.Heartbeat(
                version=version,
                subtree=1 + len(self.descendants()),
                lowest_version=self.lowest_version(),
            )
            self.parent.send(mesh_pb2.Up(heartbeat=message))
            self._send_evidence()
        if len(self.children):
            digest = self._app.service('membership').digest()
            message = mesh_pb2.Heartbeat(version=version, digest=digest)
            self.children.broadcast(mesh_pb2.Down(heartbeat=message))

    def _send_evidence(self) -> None:
        if self.parent is None or not self._app.has_service('evidence'):
            return
        delta = self._app.service('evidence').drain_delta()
        if delta is not None and (delta.cells or delta.trips):
            self.parent.send(mesh_pb2.Up(evidence=delta))

    def _redirect_children(self) -> None:
        successors = [child.peer for child in self.children.in_own_region()]
        if not self.is_region_head():
            successors = [self.parent.peer]
        for child in self.children:
            to = successors
            if child.peer.region != self.local_record.region:
                to = [
                    other.peer
                    for other in sorted(
                        self.children, key=lambda item: item.peer.node_id
                    )
                    if other.peer.region != self.local_record.region
                ]
            child.send_redirect(to[:2], 'the parent stops', leaving=True)


def setup(
    app: application.Application,
    timing: timing_module.Timing | None = None,
    rng: random.Random | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Register the service ``tree``."""
    node_id = app.cfg.text('node', 'id')
    app.add_service(
        'tree',
        Tree(
            app,
            timing or timing_module.Timing(),
            rng or random.Random(node_id),
            clock,
        ),
        after=(
            'rpc',
            'membership',
            'configuration',
            'platform',
            'leases',
            'rollouts',
            'evidence',
        ),
    )
