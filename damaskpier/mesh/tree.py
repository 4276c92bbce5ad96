"""The distribution tree: this node's place in it and what it passes on."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier.mesh import children as children_module
from damaskpier.mesh import joiner as joiner_module
from damaskpier.mesh import links
from damaskpier.mesh import orphans
from damaskpier.mesh import outbox
from damaskpier.mesh import parent as parent_module
from damaskpier.mesh import placement
from damaskpier.mesh import roots as roots_module
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
MAX_MOVE_DOUBLINGS = 7
# A heartbeat this late means that this process itself did not run.
OWN_PAUSE_HEARTBEATS = 2


class Status(NamedTuple):
    """This node's place in the tree and what it knows of its subtree.

    ``role`` is one of ``fleet-root``, ``region-root``, ``interim-root``
    (first node of a tree or head of a region, without a lease) and
    ``member``. ``refusals`` holds the reason per node below that refused
    the newest configuration.
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
    """Streams to the parent and the children.

    :param rng: generator for jitter; seeded by the node's id by default
    :param clock: monotonic time in seconds
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
        self.joiner = joiner_module.Joiner(app, self, rng)
        self.roots = roots_module.Roots(app, self)
        self.leaving = False
        self._orphans = orphans.Orphans(app, self)
        self._outbox = outbox.Outbox(self)
        self._tasks: list[asyncio.Task[None]] = []
        self._refusals: dict[str, str] = {}
        self._below: set[str] | None = None
        self._attached_before = False
        self._last_tier = placement.TIER_NONE
        self._next_move_at = clock()
        self._moves = 0
        self._ticked_at = clock()

    async def start(self) -> None:
        """Connect to the events and begin to look for a parent."""
        events = self._app.events
        events.connect('membership-delta', self._outbox.add_records)
        events.connect('config-applied', self._on_config)
        events.connect('config-refused', self._on_refused)
        events.connect('rollout-changed', self._on_move)
        events.connect('lease-lost', self._on_lease)
        events.connect('trip-recorded', self._send_evidence)
        self._tasks = [
            asyncio.create_task(coro, name=name)
            for name, coro in (
                ('mesh-tick', self._tick_loop()),
                ('mesh-flush', self._outbox.run()),
                ('mesh-roots', self.roots.run()),
                ('mesh-join', self.joiner.run()),
            )
        ]

    async def stop(self) -> None:
        """Hand over to a successor and leave the tree."""
        self.leaving = True
        self._app.service('membership').leave()
        self._outbox.flush()
        await self.roots.release()
        self._redirect_children()
        if self.parent is not None:
            await self.parent.drained(self.timing.leave_s)
        await self.children.dismiss()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def serve_child(self, stream: Any) -> None:
        """Serve a stream that another node opened."""
        await self.children.serve(stream)

    # What this node is and knows.

    @property
    def local(self) -> model.NodeRecord:
        """Return the record of this node."""
        return self._app.service('membership').local_record()

    def nodes(self) -> tuple[model.NodeRecord, ...]:
        """Return the records of all nodes that are not gone."""
        return self._app.service('membership').nodes()

    def some_nodes(
        self, region: str, count: int, without: set[str] | None = None
    ) -> list[model.NodeRecord]:
        """Return some random nodes of a region."""
        found = [
            node
            for node in self.nodes()
            if node.region == region and node.node_id not in (without or ())
        ]
        return self.rng.sample(found, min(count, len(found)))

    def holds_region(self) -> bool:
        """Tell whether this node holds its region's lease."""
        return self.roots.held(roots_module.region_lease(self.local.region))

    def needs_no_parent(self) -> bool:
        """Tell whether this node is the fleet root, or is leaving."""
        return self.leaving or self.tier() == placement.TIER_FLEET

    def tier(self) -> int:
        """Return the rank of the leases that this node holds."""
        if not self.holds_region():
            return placement.TIER_NONE
        if self.roots.held(roots_module.FLEET_LEASE):
            return placement.TIER_FLEET
        return placement.TIER_REGION

    def top(self) -> tuple[int, str]:
        """Return the tier and the id of the first node of this tree."""
        if self.parent is None or not self.parent.ancestors:
            return self.tier(), self.local.node_id
        return self.parent.tier, self.parent.ancestors[0].node_id

    def top_records(self) -> list[model.NodeRecord]:
        """Return the record of the first node, unless it is this one."""
        return list(self.parent.ancestors[:1]) if self.parent else []

    def path(self) -> list[str]:
        """Return the ids from the first node of the tree to the parent."""
        if self.parent is None:
            return []
        return [node.node_id for node in self.parent.ancestors]

    def region_head(self) -> model.NodeRecord:
        """Return the first node of this region on the path to this one."""
        if self.parent is not None:
            for node in self.parent.ancestors:
                if node.region == self.local.region:
                    return node
        return self.local

    def is_head(self) -> bool:
        """Tell whether no node of this region is above this one."""
        return self.region_head() is self.local

    def was_head(self, former: parent_module.Parent) -> bool:
        """Tell whether a former parent was the head of this region."""
        region = self.local.region
        return former.peer.region == region and not any(
            node.region == region for node in former.ancestors[:-1]
        )

    def below(self) -> set[str]:
        """Return the ids of all nodes below this one."""
        if self._below is None:
            self._below = self.children.descendants()
        return self._below

    def joining(self) -> str:
        """Return the id of the node that this one is attaching to."""
        return self.joiner.target

    def lowest_version(self) -> int:
        """Return the lowest version applied here and below."""
        own = self._app.service('configuration').version()
        return min([own, *(child.lowest_version for child in self.children)])

    def move_states(self) -> list[rollout_model.MoveState]:
        """Return the states of all moves that this node knows."""
        if not self._app.has_service('rollouts'):
            return []
        return list(self._app.service('rollouts').states())

    def role(self) -> str:
        """Return the name of this node's place in the tree."""
        if self.tier() == placement.TIER_FLEET:
            return 'fleet-root'
        if self.tier() == placement.TIER_REGION:
            return 'region-root'
        return 'interim-root' if self.is_head() else 'member'

    def status(self) -> Status:
        """Return this node's place in the tree and its counters."""
        return Status(
            self.role(),
            tuple(self.path()),
            self.parent.peer.node_id if self.parent else '',
            tuple(child.peer.node_id for child in self.children),
            1 + len(self.below()),
            self._app.service('configuration').version(),
            self.lowest_version(),
            dict(self._refusals),
            dict(self.counters.sent),
            dict(self.counters.received),
            self.joiner.attempts,
        )

    # Messages that describe this node.

    def hello(self, placed: bool) -> mesh_pb2.Hello:
        """Return the first message to a parent."""
        membership = self._app.service('membership')
        return mesh_pb2.Hello(
            node=wire.record_to_pb(self.local),
            version=self._app.service('configuration').version(),
            digests=wire.digests_to_pb(membership.digests()),
            subtree=1 + len(self.below()),
            free_places=self.children.free_places(),
            tier=self.tier(),
            placed=placed,
            descendants=sorted(self.below()),
        )

    def path_message(self) -> mesh_pb2.PathUpdate:
        """Return the path that children of this region receive."""
        ancestors = [*(self.parent.ancestors if self.parent else ())]
        ancestors.append(self.local)
        siblings = []
        if self.is_head():
            siblings = [child.peer for child in self.children.local()]
        return mesh_pb2.PathUpdate(
            path=[node.node_id for node in ancestors],
            ancestors=[wire.record_to_pb(node) for node in ancestors],
            tier=self.top()[0],
            siblings=[wire.record_to_pb(node) for node in siblings],
        )

    # Changes that other parts report.

    def attached(self, parent: parent_module.Parent) -> None:
        """Take a parent that has accepted this node."""
        LOG.info(
            'mesh: attached to %s, path %s',
            parent.peer.node_id,
            '/'.join(node.node_id for node in parent.ancestors),
        )
        self.parent = parent
        if self._attached_before:
            # The new order of the record tells the former parent that this
            # node is alive.
            self._app.service('membership').republish_local()
        self._attached_before = True
        self.path_changed()
        self.subtree_changed()

    def detached(self, parent: parent_module.Parent) -> None:
        """Note the end of the stream to the parent."""
        LOG.info(
            'mesh: detached from %s: %s', parent.peer.node_id, parent.closed
        )
        if self.parent is parent:
            self.parent = None
        if self.was_head(parent) and self.is_head():
            # No parent is left that could notice the end of the root.
            self.children.note_lost(parent.peer.node_id, parent.received_at)
        self.roots.wake()

    def round_failed(self) -> None:
        """Note that no candidate accepted this node."""
        self.path_changed()
        self.roots.wake()

    def path_changed(self) -> None:
        """Send the children their path again."""
        self._outbox.add_path()
        self.roots.wake()

    def siblings_changed(self) -> None:
        """Send the children of this region the list of their siblings."""
        if self.is_head():
            self._outbox.add_siblings()

    def subtree_changed(self) -> None:
        """Send the parent which nodes have come or gone below this one."""
        self._below = None
        self._outbox.add_descendants()

    def tier_changed(self) -> None:
        """Act on a lease that was taken or lost."""
        if self.parent is not None and self.needs_no_parent():
            self.parent.close('this node is the fleet root')
        self.joiner.wake()
        self.path_changed()

    def seek(self, node: model.NodeRecord) -> None:
        """Attach to a node instead of to the present parent."""
        if self.parent is None or self.parent.peer.node_id != node.node_id:
            self.joiner.hint(node)

    def report(self, status: mesh_pb2.NodeStatus) -> None:
        """Keep a node's refusal of a configuration and send it up."""
        if not status.refused:
            self._refusals.pop(status.node_id, None)
        elif len(self._refusals) < MAX_REFUSALS:
            self._refusals[status.node_id] = status.refused
        if self.parent is not None:
            self.parent.send(mesh_pb2.Up(status=status))

    def _on_config(self, snapshot: bundle_model.Snapshot) -> None:
        for child in self.children:
            self.children.send_config(child)
        if self.local.node_id in self._refusals:
            self._report_self('')

    def _on_refused(self, version: int, refusal: errors.Refusal) -> None:
        self._report_self(f'version {version}: {refusal}')

    def _report_self(self, reason: str) -> None:
        self.report(
            mesh_pb2.NodeStatus(
                node_id=self.local.node_id,
                version=self._app.service('configuration').version(),
                refused=reason,
            )
        )

    def _on_move(self, state: rollout_model.MoveState) -> None:
        self.children.broadcast(
            mesh_pb2.Down(move=rollout_wire.state_to_message(state))
        )

    def _on_lease(self, name: str) -> None:
        LOG.warning('mesh: lost the lease %s', name)
        self.roots.lost(name)
        self.tier_changed()

    # Periodic work.

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(self.timing.heartbeat_s)
            try:
                self._tick()
            except Exception:
                LOG.exception('mesh: heartbeat failed')

    def _forgive_own_pause(self) -> None:
        """Start the silence of peers anew after this process stood still.

        Their messages are waiting to be read then.
        """
        now = self.clock()
        if now - self._ticked_at > OWN_PAUSE_HEARTBEATS * (
            self.timing.heartbeat_s
        ):
            LOG.warning(
                'mesh: no heartbeat sent for %.1f s', now - self._ticked_at
            )
            for link in (self.parent, *self.children):
                if link is not None:
                    link.received_at = now
        self._ticked_at = now

    def _tick(self) -> None:
        self._forgive_own_pause()
        parent = self.parent
        if parent is not None and parent.silent_for() >= self.timing.silence_s:
            LOG.warning('mesh: parent %s is silent', parent.peer.node_id)
            parent.close(links.SILENT)
        if self.clock() >= self._next_move_at:
            better = placement.better_parent(self)
            self._moves = 0 if better is None else self._moves + 1
            # Each move is news for all nodes, so a node that finds no better
            # place asks ever more rarely.
            self._next_move_at = self.clock() + self.timing.backoff_high_s * (
                1 + self.rng.random()
            ) * 2 ** min(self._moves, MAX_MOVE_DOUBLINGS)
            if better is not None:
                self.seek(better)
        self.children.check_silence()
        self._orphans.check()
        if self.tier() != self._last_tier:
            # A lease that can not be renewed ends without an event.
            self._last_tier = self.tier()
            self.tier_changed()
        version = self._app.service('configuration').version()
        if self.parent is not None:
            beat = mesh_pb2.Heartbeat(
                version=version,
                subtree=1 + len(self.below()),
                lowest_version=self.lowest_version(),
            )
            self.parent.send(mesh_pb2.Up(heartbeat=beat))
            self._send_evidence()
        if len(self.children):
            digest = self._app.service('membership').digest()
            beat = mesh_pb2.Heartbeat(version=version, digest=digest)
            self.children.broadcast(mesh_pb2.Down(heartbeat=beat))

    def _send_evidence(self) -> None:
        if self.parent is None or not self._app.has_service('evidence'):
            return
        delta = self._app.service('evidence').drain_delta()
        if delta is not None and (delta.cells or delta.trips):
            self.parent.send(mesh_pb2.Up(evidence=delta))

    def _redirect_children(self) -> None:
        heirs = [child.peer for child in self.children.local()]
        if not self.is_head():
            heirs = [self.parent.peer]
        for child in self.children:
            to = heirs
            if child.peer.region != self.local.region:
                to = [
                    other.peer
                    for other in sorted(
                        self.children, key=lambda item: item.peer.node_id
                    )
                    if other.peer.region != self.local.region
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
