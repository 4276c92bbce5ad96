"""Leases of the region root and of the fleet root."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.mesh import placement
from damaskpier.mesh import reader as reader_module
from damaskpier.mesh import wire

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.mesh import model
    from damaskpier.mesh import tree as tree_module

LOG = logging.getLogger(__name__)

FLEET_LEASE = 'fleet'
# Longest pause between attempts at a lease whose holder is alive but out of
# this node's reach, and while the platform is down; in lease read pauses.
MAX_PAUSE_FACTOR = 8


def region_lease(region: str) -> str:
    """Return the name of a region's lease."""
    return f'region-{region}'


class Roots:
    """Contests the leases when the tree above this node is lost.

    Only heads of a region do so, that is nodes without a parent in their
    region. The children of a lost root merge into one tree first, so that
    mostly a single node calls the platform.
    """

    def __init__(
        self, app: application.Application, tree: tree_module.Tree
    ) -> None:
        self._app = app
        self._tree = tree
        self._reader = reader_module.Reader(app, tree)
        self._wakes: list[asyncio.Event] = []
        self._tasks: set[asyncio.Task[object]] = set()
        self.region_holder: model.NodeRecord | None = None
        self.fleet_holder: model.NodeRecord | None = None

    def held(self, name: str) -> bool:
        """Tell whether this node acts as the holder of a lease.

        It goes on while the platform is out of reach; two region roots do
        no harm, since versions and move states have an order.
        """
        return self._app.has_service('leases') and self._app.service(
            'leases'
        ).may_act(name)

    def wake(self) -> None:
        """Look again whether a lease has to be contested."""
        for event in self._wakes:
            event.set()

    def lost(self, name: str) -> None:
        """Act on the loss of a lease."""
        if name == region_lease(self._tree.local.region):
            self._spawn(self._reader.stop())
            if self._app.service('leases').epoch(FLEET_LEASE) is not None:
                self._spawn(self._app.service('leases').release(FLEET_LEASE))
        self.wake()

    async def run(self) -> None:
        """Contest leases whenever that is needed."""
        if not self._app.has_service('leases'):
            return
        region = region_lease(self._tree.local.region)
        try:
            await asyncio.gather(
                self._keep(region, self._wants_region),
                self._keep(FLEET_LEASE, self._wants_fleet),
            )
        finally:
            await self._reader.stop()

    async def release(self) -> None:
        """Give the leases up at a planned stop."""
        await self._reader.stop()
        if not self._app.has_service('leases'):
            return
        leases = self._app.service('leases')
        for name in (FLEET_LEASE, region_lease(self._tree.local.region)):
            if leases.epoch(name) is None:
                continue
            outcome = await leases.release(name)
            if isinstance(outcome, errors.Refusal):
                LOG.warning('mesh: lease %s lapses: %s', name, outcome)

    def _wants_region(self) -> bool:
        tree = self._tree
        if tree.leaving or tree.holds_region() or not tree.is_head():
            return False
        # The first round of attempts may find a parent in the region.
        return tree.parent is not None or tree.joiner.failed_rounds > 0

    def _wants_fleet(self) -> bool:
        tree = self._tree
        if tree.leaving or tree.tier() != placement.TIER_REGION:
            return False
        return tree.parent is None or tree.parent.tier == placement.TIER_NONE

    async def _keep(self, name: str, wanted: Callable[[], bool]) -> None:
        wake = asyncio.Event()
        self._wakes.append(wake)
        failures = 0
        while True:
            wake.clear()
            if not wanted():
                failures = 0
                await wake.wait()
                continue
            if failures == 0:
                await self._wait(wake, self._first_pause(name), wanted)
                if not wanted():
                    continue
            try:
                pause = await self._contest(name, wanted)
            except Exception:
                LOG.exception('mesh: contest of lease %s failed', name)
                pause = self._tree.timing.contest_poll_s
            failures += 1
            if failures > 2:
                pause += self._tree.timing.contest_poll_s * min(
                    2 ** (failures - 3), MAX_PAUSE_FACTOR
                )
            await self._wait(wake, pause, wanted)

    def _first_pause(self, name: str) -> float:
        timing = self._tree.timing
        jitter = self._tree.rng.random()
        former = self._tree.joiner.former
        lost_at = self._tree.joiner.lost_head_at
        if name == FLEET_LEASE or (former and former.left):
            return 0.0
        if (
            lost_at is not None
            and self._tree.clock() - lost_at < timing.contest_delay_s
        ):
            return timing.backoff_low_s * jitter
        if former is None and not self._app.cfg.addresses('mesh', 'seeds'):
            return timing.backoff_low_s * 3 * jitter
        if self._tree.below():
            # A node with others below it is one of few.
            return timing.heartbeat_s * (0.3 + jitter)
        return timing.contest_delay_s * (0.5 + jitter)

    async def _contest(self, name: str, wanted: Callable[[], bool]) -> float:
        """Make one attempt at a lease; return the pause to the next one."""
        leases = self._app.service('leases')
        admin_port = 0
        if self._app.has_service('admin'):
            admin_port = getattr(self._app.service('admin'), 'port', 0)
        holder = wire.holder_of(self._tree.local, admin_port)
        outcome = await leases.acquire(name, holder)
        if (
            isinstance(outcome, errors.Refusal)
            and outcome.code is errors.LEASE_HELD
            and leases.expires_in_s(name) is None
        ):
            # What was known of the lease was outdated.
            outcome = await leases.acquire(name, holder)
        jitter = self._tree.rng.random()
        if not isinstance(outcome, errors.Refusal):
            await self._taken(name, wanted)
            return 0.0
        LOG.info('mesh: lease %s: %s', name, outcome)
        if outcome.code is not errors.LEASE_HELD:
            return self._tree.timing.contest_poll_s * (0.5 + jitter)
        await self._learn_holder(name)
        expires_in_s = leases.expires_in_s(name) or 0.0
        return expires_in_s + self._tree.timing.backoff_low_s * 3 * jitter

    async def _taken(self, name: str, wanted: Callable[[], bool]) -> None:
        tree = self._tree
        is_region = name != FLEET_LEASE
        if tree.leaving or (is_region and not tree.is_head()):
            # A parent in the region was found in the meantime.
            await self._app.service('leases').release(name)
            return
        if is_region:
            self._reader.start()
        LOG.info('mesh: %s holds the lease %s', tree.local.node_id, name)
        tree.tier_changed()
        self.wake()

    async def _learn_holder(self, name: str) -> None:
        record = await self._app.service('leases').read(name)
        if isinstance(record, errors.Refusal) or record.is_released:
            return
        node = wire.record_of_holder(record.holder)
        if node is None or node.node_id == self._tree.local.node_id:
            return
        if name == FLEET_LEASE:
            self.fleet_holder = node
        else:
            self.region_holder = node
        self._tree.seek(node)

    async def _wait(
        self, wake: asyncio.Event, pause: float, wanted: Callable[[], bool]
    ) -> None:
        """Wait for a time, or until the lease is not wanted any more."""
        if pause <= 0:
            return
        try:
            async with asyncio.timeout(pause):
                while wanted():
                    await wake.wait()
                    wake.clear()
        except TimeoutError:
            pass

    def _spawn(self, coro: object) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
