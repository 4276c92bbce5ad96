"""Search for a parent: candidates, redirects and backoff."""

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

# Limits the connections that a node opens in one round, however many
# redirects it receives.
MAX_ATTEMPTS_PER_ROUND = 14
MAX_HINTS = 4
MAX_REGION_NODES = 3
MAX_SEEDS = 3
# Multiple of the silence timeout for which an unresponsive node is not tried
# again, because each attempt takes up the whole connect timeout.
AVOID_SILENCE_MULTIPLE = 3

Candidate = tuple[model.NodeRecord, bool]
Session = tuple[parent_module.Parent, asyncio.Task[None]]


class ParentSearch:
    """Keep the node attached to a parent.

    Each round tries, in this order: hints, the successors named by a parent
    that stopped, after the loss of a region's head the siblings with a
    lower id, the former ancestors, some known nodes of the region, the
    seeds, the holders of the leases, and nodes of other regions.

    ``attempts`` counts all attempts to attach, and ``failed_rounds`` the
    failed rounds since the node was last attached. ``region_head_lost_at``
    is the time at which the node lost the head of its region as its parent.

    :param rng: generator for the order of candidates and for jitter
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
        # Time until which an address that did not answer is not tried.
        self._avoid_until: dict[tuple[str, int], float] = {}
        self._former_parent: parent_module.Parent | None = None
        self.failed_rounds = 0
        self.region_head_lost_at: float | None = None
        self.attempts = 0
        self.target = ''  # node id of the current attempt

    @property
    def former_parent(self) -> parent_module.Parent | None:
        """Return the previous parent, or None before the first one."""
        return self._former_parent

    def add_hint(self, record: model.NodeRecord) -> None:
        """Try a node at once, or before others in the next round."""
        if all(item.node_id != record.node_id for item in self._hints):
            self._hints.append(record)
        self._wake.set()

    def wake(self) -> None:
        """End the wait between rounds."""
        self._wake.set()

    async def run(self) -> None:
        """Attach, and reattach after each loss, until cancelled."""
        while True:
            self._wake.clear()
            try:
                await self._run_once()
            except Exception:
                LOG.exception('mesh: search for a parent failed')
                await self._wait_for_next_round()

    async def _run_once(self) -> None:
        if self._tree.needs_no_parent():
            self.failed_rounds = 0
            await self._wake.wait()
            return
        session = await self._try_candidates(self._find_candidates())
        if session is None:
            self.failed_rounds += 1
            self._tree.record_failed_round()
            await self._wait_for_next_round()
            return
        self.failed_rounds = 0
        while session is not None:
            session = await self._stay_attached(*session)

    async def _stay_attached(
        self, parent: parent_module.Parent, task: asyncio.Task[None]
    ) -> Session | None:
        """Stay attached until the stream ends or another parent accepts.

        Hints are tried while the current parent is kept, so that an attempt
        at an unreachable node does not detach this one.

        :returns: the session with the other parent; None at the end of the
            stream
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
                better = await self._try_candidates(hints)
                if better is not None:
                    return better
            return None
        finally:
            parent.close('moved to another parent')
            self._former_parent = parent
            if parent.close_reason == links.REASON_UNRESPONSIVE:
                self._avoid_node(parent.peer)
            if (
                self._tree.was_region_head(parent)
                and self._tree.parent is parent
            ):
                self.region_head_lost_at = self._tree.clock()
            self._tree.record_detachment(parent)

    async def _try_candidates(
        self, candidates: list[Candidate]
    ) -> Session | None:
        pending = collections.deque(candidates)
        tried: set[tuple[str, int, bool]] = set()
        while pending and len(tried) < MAX_ATTEMPTS_PER_ROUND:
            target, placed = pending.popleft()
            key = (target.host, target.rpc_port, placed)
            if key in tried or self._is_self(target):
                continue
            if self._is_avoided(target):
                continue
            if self._tree.needs_no_parent():
                break
            tried.add(key)
            parent, task = await self._try_attach(target, placed)
            result = parent.attach_result.result()
            if result.attached:
                return parent, task
            if parent.timed_out:
                self._avoid_node(target)
            if result.candidates:
                # If no node of the redirect accepts, its sender is asked to
                # keep this node in its own subtree.
                pending.appendleft((target, True))
                pending.extendleft(
                    (record, True) for record in reversed(result.candidates)
                )
        return None

    async def _try_attach(
        self, target: model.NodeRecord, placed: bool
    ) -> Session:
        self.attempts += 1
        self.target = target.node_id
        parent = parent_module.Parent(self._app, self._tree, target, placed)
        task = asyncio.create_task(parent.run())
        try:
            await asyncio.shield(parent.attach_result)
        except asyncio.CancelledError:
            parent.close('this node stops')
            task.cancel()
            raise
        finally:
            self.target = ''
        return parent, task

    def _avoid_node(self, record: model.NodeRecord) -> None:
        """Skip an unresponsive node in the next rounds."""
        timing = self._tree.timing
        until = (
            self._tree.clock()
            + AVOID_SILENCE_MULTIPLE * timing.silence_timeout_s
        )
        self._avoid_until[record.host, record.rpc_port] = until

    def _is_avoided(self, record: model.NodeRecord) -> bool:
        address = (record.host, record.rpc_port)
        until = self._avoid_until.get(address)
        if until is not None and self._tree.clock() >= until:
            del self._avoid_until[address]
            return False
        return until is not None

    def _is_self(self, record: model.NodeRecord) -> bool:
        own = self._tree.local_record
        return record.node_id == own.node_id or (
            (record.host, record.rpc_port) == (own.host, own.rpc_port)
        )

    def _find_candidates(self) -> list[Candidate]:
        found: list[Candidate] = [(node, True) for node in self._hints]
        self._hints.clear()
        if self._tree.holds_region_lease():
            return found + self._other_region_candidates()
        own = self._tree.local_record
        former = self._former_parent
        if former is not None:
            if former.left:
                found += [(node, True) for node in former.successors]
            if self._tree.was_region_head(former):
                found += [
                    (node, True)
                    for node in sorted(former.siblings)
                    if node.node_id < own.node_id
                ]
            found += [(node, True) for node in former.ancestors[-2::-1]]
            if self._tree.was_region_head(former):
                # The other nodes of the region are descendants of this node
                # and of its siblings, and the siblings try this node.
                found += self._other_region_candidates()
        sampled = self._tree.sample_nodes(
            own.region,
            MAX_REGION_NODES,
            self._tree.descendants() | {own.node_id},
        )
        found += [(node, False) for node in sampled]
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
        holder = self._tree.root_leases.region_holder
        if holder is not None:
            found.append((holder, True))
        return found + self._other_region_candidates()

    def _other_region_candidates(self) -> list[Candidate]:
        found: list[Candidate] = []
        holder = self._tree.root_leases.fleet_holder
        if holder is not None:
            found.append((holder, True))
        if self._former_parent is not None:
            found += [(node, True) for node in self._former_parent.successors]
        regions = {node.region for node in self._tree.nodes()}
        for region in sorted(regions - {self._tree.local_record.region}):
            found += [
                (node, False) for node in self._tree.sample_nodes(region, 1)
            ]
        return found

    async def _wait_for_next_round(self) -> None:
        timing = self._tree.timing
        max_pause = min(
            timing.backoff_max_s,
            timing.backoff_min_s * 2 ** min(self.failed_rounds, 10),
        )
        pause = max_pause * self._rng.uniform(0.5, 1.5)
        try:
            async with asyncio.timeout(pause):
                await self._wake.wait()
        except TimeoutError:
            pass
