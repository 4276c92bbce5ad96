"""Election of the region root and of the fleet root by leases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.mesh import placement
from damaskpier.mesh import platform_watch
from damaskpier.mesh import wire

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.mesh import model
    from damaskpier.mesh import tree as tree_module

LOG = logging.getLogger(__name__)

FLEET_LEASE = 'fleet'
# Upper limit, in multiples of ``Timing.lease_poll_s``, of the delay that is
# added after repeated failures to acquire a lease. They occur if the holder is
# alive but unreachable from this node, and while the platform is down.
MAX_EXTRA_PAUSE_POLLS = 8


def region_lease(region: str) -> str:
    """Return the name of a region's lease."""
    return f'region-{region}'


class RootLeases:
    """Acquire the leases after the loss of the tree above this node.

    Only heads of a region do so, that is nodes without a parent in their
    region. The children of a lost root first merge into one tree, so that
    in most cases a single node calls the platform.
    """

    def __init__(
        self, app: application.Application, tree: tree_module.Tree
    ) -> None:
        self._app = app
        self._tree = tree
        self._platform_watch = platform_watch.PlatformWatch(app, tree)
        self._wake_events: list[asyncio.Event] = []
        self._tasks: set[asyncio.Task[object]] = set()
        self.region_holder: model.NodeRecord | None = None
        self.fleet_holder: model.NodeRecord | None = None

    def is_held(self, name: str) -> bool:
        """Return whether this node acts as the holder of a lease.

        It continues to do so while the platform is unreachable. Two region
        roots are harmless, because versions and move states are ordered.
        """
        return self._app.has_service('leases') and self._app.service(
            'leases'
        ).may_act(name)

    def wake(self) -> None:
        """Check again whether a lease is needed."""
        for event in self._wake_events:
            event.set()

    def lost(self, name: str) -> None:
        """Stop what depends on a lost lease.

        Without the region's lease the fleet lease is released as well.
        """
        if name == region_lease(self._tree.local_record.region):
            self._spawn(self._platform_watch.stop())
            if self._app.service('leases').epoch(FLEET_LEASE) is not None:
                self._spawn(self._app.service('leases').release(FLEET_LEASE))
        self.wake()

    async def run(self) -> None:
        """Acquire the leases when they are needed, until cancelled."""
        if not self._app.has_service('leases'):
            return
        region = region_lease(self._tree.local_record.region)
        try:
            await asyncio.gather(
                self._maintain_lease(region, self._needs_region_lease),
                self._maintain_lease(FLEET_LEASE, self._needs_fleet_lease),
            )
        finally:
            await self._platform_watch.stop()

    async def release(self) -> None:
        """Release the leases at a planned stop."""
        await self._platform_watch.stop()
        if not self._app.has_service('leases'):
            return
        leases = self._app.service('leases')
        for name in (
            FLEET_LEASE,
            region_lease(self._tree.local_record.region),
        ):
            if leases.epoch(name) is None:
                continue
            outcome = await leases.release(name)
            if isinstance(outcome, errors.Refusal):
                LOG.warning(
                    'mesh: lease %s was not released and has to expire: %s',
                    name,
                    outcome,
                )

    def _needs_region_lease(self) -> bool:
        tree = self._tree
        if (
            tree.leaving
            or tree.holds_region_lease()
            or not tree.is_region_head()
        ):
            return False
        # The first round of attempts may find a parent in the region.
        return tree.parent is not None or tree.parent_search.failed_rounds > 0

    def _needs_fleet_lease(self) -> bool:
        tree = self._tree
        if tree.leaving or tree.tier() != placement.TIER_REGION:
            return False
        return tree.parent is None or tree.parent.tier == placement.TIER_NONE

    async def _maintain_lease(
        self, name: str, is_needed: Callable[[], bool]
    ) -> None:
        wake = asyncio.Event()
        self._wake_events.append(wake)
        failures = 0
        while True:
            wake.clear()
            if not is_needed():
                failures = 0
                await wake.wait()
                continue
            if failures == 0:
                await self._wait_while_needed(
                    wake, self._initial_delay_s(name), is_needed
                )
                if not is_needed():
                    continue
            try:
                pause = await self._try_acquire(name, is_needed)
            except Exception:
                LOG.exception('mesh: acquiring lease %s failed', name)
                pause = self._tree.timing.lease_poll_s
            failures += 1
            if failures > 2:
                pause += self._tree.timing.lease_poll_s * min(
                    2 ** (failures - 3), MAX_EXTRA_PAUSE_POLLS
                )
            await self._wait_while_needed(wake, pause, is_needed)

    def _initial_delay_s(self, name: str) -> float:
        timing = self._tree.timing
        jitter = self._tree.rng.random()
        former = self._tree.parent_search.former_parent
        lost_at = self._tree.parent_search.region_head_lost_at
        if name == FLEET_LEASE or (former and former.left):
            return 0.0
        if (
            lost_at is not None
            and self._tree.clock() - lost_at < timing.lease_delay_s
        ):
            return timing.backoff_min_s * jitter
        if former is None and not self._app.cfg.addresses('mesh', 'seeds'):
            return timing.backoff_min_s * 3 * jitter
        if self._tree.descendants():
            # Few nodes have descendants, so that a short delay suffices.
            return timing.heartbeat_s * (0.3 + jitter)
        return timing.lease_delay_s * (0.5 + jitter)

    async def _try_acquire(
        self, name: str, is_needed: Callable[[], bool]
    ) -> float:
        """Try once to acquire a lease.

        :returns: delay before the next attempt in seconds
        """
        leases = self._app.service('leases')
        admin_port = 0
        if self._app.has_service('admin'):
            admin_port = getattr(self._app.service('admin'), 'port', 0)
        holder = wire.record_to_holder(self._tree.local_record, admin_port)
        outcome = await leases.acquire(name, holder)
        if (
            isinstance(outcome, errors.Refusal)
            and outcome.code is errors.LEASE_HELD
            and leases.expires_in_s(name) is None
        ):
            # The cached state of the lease was outdated.
            outcome = await leases.acquire(name, holder)
        jitter = self._tree.rng.random()
        if not isinstance(outcome, errors.Refusal):
            await self._handle_acquired(name, is_needed)
            return 0.0
        LOG.info('mesh: lease %s was not acquired: %s', name, outcome)
        if outcome.code is not errors.LEASE_HELD:
            return self._tree.timing.lease_poll_s * (0.5 + jitter)
        await self._read_holder(name)
        expires_in_s = leases.expires_in_s(name) or 0.0
        return expires_in_s + self._tree.timing.backoff_min_s * 3 * jitter

    async def _handle_acquired(
        self, name: str, is_needed: Callable[[], bool]
    ) -> None:
        tree = self._tree
        is_region = name != FLEET_LEASE
        if tree.leaving or (is_region and not tree.is_region_head()):
            # This node found a parent in its region in the meantime.
            await self._app.service('leases').release(name)
            return
        if is_region:
            self._platform_watch.start()
        LOG.info(
            'mesh: node %s acquired the lease %s',
            tree.local_record.node_id,
            name,
        )
        tree.handle_tier_change()
        self.wake()

    async def _read_holder(self, name: str) -> None:
        record = await self._app.service('leases').read(name)
        if isinstance(record, errors.Refusal) or record.is_released:
            return
        node = wire.record_from_holder(record.holder)
        if node is None or node.node_id == self._tree.local_record.node_id:
            return
        if name == FLEET_LEASE:
            self.fleet_holder = node
        else:
            self.region_holder = node
        self._tree.reattach_to(node)

    async def _wait_while_needed(
        self, wake: asyncio.Event, pause: float, is_needed: Callable[[], bool]
    ) -> None:
        """Wait for a time, or until the lease is no longer needed."""
        if pause <= 0:
            return
        try:
            async with asyncio.timeout(pause):
                while is_needed():
                    await wake.wait()
                    wake.clear()
        except TimeoutError:
            pass

    def _spawn(self, coro: object) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
