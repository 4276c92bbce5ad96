"""Watch of the platform's objects by a region root."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging
from typing import TYPE_CHECKING

from damaskpier.bundle import model as bundle_model
from damaskpier import errors
from damaskpier.mesh import placement
from damaskpier.store import moves
from damaskpier.store import object_keys
from damaskpier.store import signoff

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.mesh import tree as tree_module
    from damaskpier.store import base

LOG = logging.getLogger(__name__)


class PlatformWatch:
    """Read the head, its bundle and the move states after each change.

    Applied configuration and merged move states reach the other nodes by
    the distribution tree. Runs while the node holds its region's lease.
    """

    def __init__(
        self, app: application.Application, tree: tree_module.Tree
    ) -> None:
        self._app = app
        self._tree = tree
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the watches unless they are running."""
        if self._tasks:
            return
        watches = [self._watch_head]
        if self._app.has_service('rollouts'):
            watches.append(self._watch_moves)
        self._tasks = [
            asyncio.create_task(self._keep_watching(watch))
            for watch in watches
        ]

    async def stop(self) -> None:
        """Stop the watches."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def _store(self) -> base.ObjectStore:
        return self._app.service('platform')

    async def _keep_watching(
        self, watch: Callable[[], Awaitable[None]]
    ) -> None:
        """Restart a watch after a failure, because nothing replaces it."""
        while True:
            try:
                await watch()
            except Exception:
                LOG.exception('mesh: a watch of the platform failed')
            await asyncio.sleep(self._tree.timing.read_retry_s)

    async def _watch_head(self) -> None:
        async for _ in self._changed_keys(object_keys.CONFIG_HEAD):
            while not await self._read_head():
                await asyncio.sleep(self._tree.timing.read_retry_s)

    async def _watch_moves(self) -> None:
        async for keys in self._changed_keys(object_keys.ROLLOUT_PREFIX):
            for key in keys:
                while not await self._read_move(key):
                    await asyncio.sleep(self._tree.timing.read_retry_s)

    async def _changed_keys(self, prefix: str) -> AsyncIterator[set[str]]:
        watch = self._store.watch(prefix, 0)
        async with contextlib.aclosing(watch):
            async for changes in watch:
                if isinstance(changes, errors.Refusal):
                    LOG.warning(
                        'mesh: watch of %s failed: %s', prefix, changes
                    )
                    continue
                yield {item.key for item in changes if not item.deleted}

    async def _read_head(self) -> bool:
        """Apply a new head and its bundle; return false to try again."""
        configuration = self._app.service('configuration')
        if (
            self._tree.tier() != placement.TIER_FLEET
            and configuration.version()
        ):
            # The fleet root reads the bundle once for all regions, and the
            # tree distributes it.
            await self._wait_for_tree(configuration.version())
        stored = await signoff.read_head(self._store)
        if isinstance(stored, errors.Refusal):
            LOG.warning('mesh: can not read the head: %s', stored)
            return (
                stored.code is errors.PLATFORM_NOT_FOUND
                or stored.code.category is errors.Category.BUNDLE
            )
        head = stored.head
        if head.version <= configuration.version():
            return True
        bundle = await signoff.read_bundle(self._store, head.digest)
        if isinstance(bundle, errors.Refusal):
            LOG.warning('mesh: can not read the bundle: %s', bundle)
            if bundle.code.category is errors.Category.BUNDLE:
                configuration.refuse(head.version, bundle)
                return True
            return False
        configuration.apply(bundle_model.Snapshot(head, bundle))
        return True

    async def _wait_for_tree(self, before: int) -> None:
        configuration = self._app.service('configuration')
        steps = 10
        for _ in range(steps):
            if configuration.version() > before:
                return
            await asyncio.sleep(self._tree.timing.fetch_grace_s / steps)

    async def _read_move(self, key: str) -> bool:
        move = key.removeprefix(object_keys.ROLLOUT_PREFIX)
        found = await moves.read_move(self._store, move)
        if isinstance(found, errors.Refusal):
            LOG.warning('mesh: can not read move %s: %s', move, found)
            return found.code in (
                errors.PLATFORM_NOT_FOUND,
                errors.BUNDLE_SCHEMA,
            )
        self._app.service('rollouts').merge(found.state)
        return True
