"""Search for a parent: candidates, redirects and pauses."""

from __future__ import annotations

import asyncio
import collections
import logging
import random
from typing import TYPE_CHECKING

from damaskpier.mesh import links
from damaskpier.mesh import model
from damaskpier.mesh import parent as parent_module

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.mesh import tree as tree_module

LOG = logging.getLogger(__name__)

# Bounds the connections that a node opens in one round, whatever redirects
# it receives.
MAX_ATTEMPTS = 14
MAX_HINTS = 4
MAX_KNOWN = 3
MAX_SEEDS = 3
# Each attempt at a silent node costs the time limit of an attempt.
AVOID_SILENCES = 3

Candidate = tuple[model.NodeRecord, bool]
Session = tuple[parent_module.Parent, asyncio.Task[None]]


class Joiner:
    """Keeps the node attached to a parent.

    Each round tries, in this order: nodes named by hints or by a parent
    that left, the siblings that come first after the loss of a region's
    head, the former ancestors, some known nodes of the region, the seeds,
    the holders of the leases, and nodes of other regions.

    :param rng: generator for the order of candidates and for pauses
    """

    def __init__(
        self,
        app: application.Application,
        tree: tree_module.Tree,
        rng: random.Random,
    ) -> None:
        self._app = app
        self._tree = tree
        self._rng = rng
        self._hints: collections.deque[model.NodeRecord] = collections.deque(
            maxlen=MAX_HINTS
        )
        self._wake = asyncio.Event()
        # Addresses that did not answer, with the time of the next attempt.
        self._silent: dict[tuple[str, int], float] = {}
        self._former: parent_module.Parent | None = None
        self.failed_rounds = 0
        self.lost_head_at: float | None = None
        self.attempts = 0
        self.target = ''  # id of the node that is being attached to

    @property
    def former(self) -> parent_module.Parent | None:
        """Return the last parent."""
        return self._former

    def hint(self, record: model.NodeRecord) -> None:
        """Try a node at once, or first in the next round."""
        if all(item.node_id != record.node_id for item in self._hints):
            self._hints.append(record)
        self._wake.set()

    def wake(self) -> None:
        """End a pause between rounds."""
        self._wake.set()

    async def run(self) -> None:
        """Attach again and again until the task is cancelled."""
        while True:
            self._wake.clear()
            try:
                await self._run_once()
            except Exception:
                LOG.exception('mesh: search for a parent failed')
                await self._pause()

    async def _run_once(self) -> None:
        if self._tree.needs_no_parent():
            self.failed_rounds = 0
            await self._wake.wait()
            return
        session = await self._round(self._candidates())
        if session is None:
            self.failed_rounds += 1
            self._tree.round_failed()
            await self._pause()
            return
        self.failed_rounds = 0
        while session is not None:
            session = await self._serve(*session)

    async def _serve(
        self, parent: parent_module.Parent, task: asyncio.Task[None]
    ) -> Session | None:
        """Stay attached until the end; return the next parent if moved.

        A better parent is tried while the present one is kept, so that an
        attempt at a dead node costs nothing.
        """
        try:
            while not task.done():
                wake = asyncio.create_task(self._wake.wait())
                await asyncio.wait(
                    (task, wake), return_when=asyncio.FIRST_COMPLETED
                )
                wake.cancel()
                self._wake.clear()
                hints = [(node, True) for node in self._hints]
                self._hints.clear()
                if task.done() or self._tree.needs_no_parent() or not hints:
                    continue
                better = await self._round(hints)
                if better is not None:
                    return better
            return None
        finally:
            parent.close('moved to another parent')
            self._former = parent
            if parent.closed == links.SILENT:
                self._avoid(parent.peer)
            if self._tree.was_head(parent) and self._tree.parent is parent:
                self.lost_head_at = self._tree.clock()
            self._tree.detached(parent)

    async def _round(self, candidates: list[Candidate]) -> Session | None:
        pending = collections.deque(candidates)
        tried: set[tuple[str, int, bool]] = set()
        while pending and len(tried) < MAX_ATTEMPTS:
            target, placed = pending.popleft()
            key = (target.host, target.rpc_port, placed)
            if key in tried or self._is_self(target):
                continue
            if self._avoided(target):
                continue
            if self._tree.needs_no_parent():
                break
            tried.add(key)
            parent, task = await self._attempt(target, placed)
            answer = parent.answer.result()
            if answer.attached:
                return parent, task
            if parent.timed_out:
                self._avoid(target)
            if answer.candidates:
                # If the named nodes do not answer, this one is asked to
                # keep the node below itself.
                pending.appendleft((target, True))
                pending.extendleft(
                    (record, True) for record in reversed(answer.candidates)
                )
        return None

    async def _attempt(
        self, target: model.NodeRecord, placed: bool
    ) -> Session:
        self.attempts += 1
        self.target = target.node_id
        parent = parent_module.Parent(self._app, self._tree, target, placed)
        task = asyncio.create_task(parent.run())
        try:
            await asyncio.shield(parent.answer)
        except asyncio.CancelledError:
            parent.close('this node stops')
            task.cancel()
            raise
        finally:
            self.target = ''
        return parent, task

    def _avoid(self, record: model.NodeRecord) -> None:
        """Spend no time on a silent node for a while."""
        timing = self._tree.timing
        until = self._tree.clock() + AVOID_SILENCES * timing.silence_s
        self._silent[record.host, record.rpc_port] = until

    def _avoided(self, record: model.NodeRecord) -> bool:
        address = (record.host, record.rpc_port)
        until = self._silent.get(address)
        if until is not None and self._tree.clock() >= until:
            del self._silent[address]
            return False
        return until is not None

    def _is_self(self, record: model.NodeRecord) -> bool:
        own = self._tree.local
        return record.node_id == own.node_id or (
            (record.host, record.rpc_port) == (own.host, own.rpc_port)
        )

    def _candidates(self) -> list[Candidate]:
        found: list[Candidate] = [(node, True) for node in self._hints]
        self._hints.clear()
        if self._tree.holds_region():
            return found + self._foreign()
        own = self._tree.local
        former = self._former
        if former is not None:
            if former.left:
                found += [(node, True) for node in former.successors]
            if self._tree.was_head(former):
                found += [
                    (node, True)
                    for node in sorted(former.siblings)
                    if node.node_id < own.node_id
                ]
            found += [(node, True) for node in former.ancestors[-2::-1]]
            if self._tree.was_head(former):
                # The known nodes of the region are below this node and its
                # siblings, which find this one.
                found += self._foreign()
        known = self._tree.some_nodes(
            own.region, MAX_KNOWN, self._tree.below() | {own.node_id}
        )
        found += [(node, False) for node in known]
        seeds = list(self._app.cfg.addresses('mesh', 'seeds'))
        self._rng.shuffle(seeds)
        found += [
            (
                model.NodeRecord(
                    '', 0, 0, '', '', seed.host, seed.port, seed.port
                ),
                False,
            )
            for seed in seeds[:MAX_SEEDS]
        ]
        holder = self._tree.roots.region_holder
        if holder is not None:
            found.append((holder, True))
        return found + self._foreign()

    def _foreign(self) -> list[Candidate]:
        found: list[Candidate] = []
        holder = self._tree.roots.fleet_holder
        if holder is not None:
            found.append((holder, True))
        if self._former is not None:
            found += [(node, True) for node in self._former.successors]
        regions = {node.region for node in self._tree.nodes()}
        for region in sorted(regions - {self._tree.local.region}):
            found += [
                (node, False) for node in self._tree.some_nodes(region, 1)
            ]
        return found

    async def _pause(self) -> None:
        timing = self._tree.timing
        longest = min(
            timing.backoff_high_s,
            timing.backoff_low_s * 2 ** min(self.failed_rounds, 10),
        )
        pause = longest * self._rng.uniform(0.5, 1.5)
        try:
            async with asyncio.timeout(pause):
                await self._wake.wait()
        except TimeoutError:
            pass
