"""Simulates the move of a service to another version, without nodes.

The requests of a service arrive at random and run on workers with a limited
number of slots. One :class:`damaskpier.fleet.moves.Move` stands for the whole
fleet; its counts arrive one tick after they were sent.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import heapq
import itertools
import math
import random
from typing import NamedTuple

from damaskpier.fleet import canaries
from damaskpier.fleet import model
from damaskpier.fleet import moves
from damaskpier.fleet import rollouts

DURATION_S = 16.0
MEDIAN_S = 0.15
SPREAD = 0.6
MEAN_S = MEDIAN_S * math.exp(SPREAD**2 / 2)
FAILURE_S = 0.005
USUAL_FAILURE_RATE = 0.002
# Workers of the new version serve from then on, and are cold for COLD_S.
READY_S = 1.3
COLD_S = 3.0
COLD_FACTOR = 2.0
MIN_WORKERS = 2
# Bounds on a bad version: its requests until the time limit as a part of all,
# and some more; and no request later than ROLLBACK_S after bad answer
# MAX_BAD_ANSWERS.
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
MAX_BAD_ANSWERS = 50
ROLLBACK_S = 5.0
# Time for a verdict to reach all nodes.
DECISION_S = 0.1
# A good version has to get all requests early enough for the last ones of the
# old version to end, and for the verdict to be written.
MAX_TIMEOUT_S = 3.0
WRITE_S = 0.5
FULL_BY_S = DURATION_S - MAX_TIMEOUT_S - WRITE_S


class Run(NamedTuple):
    """Request that starts on a worker.

    ``in_use`` counts the requests on the worker, this one included.
    """

    at: float
    is_new: bool
    route: int
    worker: int
    in_use: int
    slots: int


class Effect(NamedTuple):
    """Failure rate of a run and the factor of its time."""

    fails: float = 0.0
    slower: float = 1.0


NO_EFFECT = Effect()

# Returns what a fault does to a run.
Fault = Callable[[Run], Effect]


def no_fault(run: Run) -> Effect:
    """Leave each run as it is."""
    return NO_EFFECT


class Service(NamedTuple):
    """Load of a service.

    ``use`` is the mean part of the slots that are in use, which sets the
    number of workers. ``burst`` is the factor of the load from 6 s to 9 s.
    """

    per_s: float
    routes: int = 1
    use: float = 0.4
    slots: int = 6
    burst: float = 1.0

    @property
    def workers(self) -> int:
        """Return the number of workers of each version."""
        needed = self.per_s * MEAN_S / (self.use * self.slots)
        return max(MIN_WORKERS, math.ceil(needed))

    def rate(self, now: float) -> float:
        """Return the requests per second at a time."""
        return self.per_s * (self.burst if 6.0 <= now < 9.0 else 1.0)


class Result(NamedTuple):
    """Outcome of a move.

    ``new`` counts the requests to the new version until the time limit, of
    ``total`` ones. ``late`` counts those later than ROLLBACK_S after the bad
    answer number MAX_BAD_ANSWERS. ``full_at`` is the time from which on all
    requests went to the new version; infinite if they never did.
    """

    regression: str
    ended: float
    new: int
    total: int
    late: int
    full_at: float

    @property
    def is_exposed(self) -> bool:
        """Return whether a bad version got more requests than allowed."""
        allowed = EXPOSE_SHARE * self.total + EXPOSE_SLACK
        return not self.regression or self.new > allowed or self.late > 0

    @property
    def is_completed(self) -> bool:
        """Return whether a good version got all requests in time."""
        return not self.regression and self.full_at <= FULL_BY_S


class _Worker:
    """Requests of one worker by the time of their end."""

    def __init__(self) -> None:
        self.ends: list[float] = []

    def in_use(self, now: float) -> int:
        """Return the requests that run or wait."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        return len(self.ends)

    def start_at(self, now: float, slots: int) -> float:
        """Return when the next request gets a slot."""
        waiting = self.in_use(now) - slots
        if waiting < 0:
            return now
        return heapq.nsmallest(waiting + 1, self.ends)[-1]


class Simulation:
    """One move.

    :param fault: what the runs of both versions suffer
    :param seed: seed of all random choices
    """

    def __init__(self, service: Service, fault: Fault, seed: int) -> None:
        self._service = service
        self._fault = fault
        self._rng = random.Random(seed)
        order = model.Order('s', seed, 'v2', DURATION_S, _RUNNING, 1)
        self._move = moves.Move(order, 0.0)
        self._workers = {
            is_new: [_Worker() for _ in range(service.workers)]
            for is_new in (False, True)
        }
        self._new_workers = [
            canaries.Worker(f'w{i}', service.slots)
            for i in range(service.workers)
        ]
        self._ends: list[tuple[float, int, tuple]] = []
        self._numbers = itertools.count()
        self._underway: list = []
        self._share = 0.0
        self._full_at = math.inf
        self._bad: list[float] = []
        self._regression = ''

    def run(self) -> Result:
        """Run the move to its time limit."""
        now = tick = 0.0
        total = new = late = 0
        decided_at = math.inf
        while True:
            now += self._rng.expovariate(self._service.rate(now))
            if now >= DURATION_S:
                break
            while tick <= now:
                self._record_ends(tick)
                if not self._regression and self._tick(tick):
                    decided_at = tick
                tick += rollouts.TICK_INTERVAL_S
            total += 1
            is_new = (
                now < decided_at + DECISION_S
                and self._rng.random() < self._share
            )
            new += is_new
            late += is_new and self._is_late(now)
            self._start(now, is_new)
        return Result(
            self._regression, decided_at, new, total, late, self._full_at
        )

    def _is_late(self, now: float) -> bool:
        if len(self._bad) < MAX_BAD_ANSWERS:
            return False
        last = heapq.nsmallest(MAX_BAD_ANSWERS, self._bad)[-1]
        return now > last + ROLLBACK_S

    def _tick(self, now: float) -> bool:
        """Evaluate the move; return whether it has been decided."""
        for cell in self._underway:
            self._move.merge_cell(cell)
        self._underway = self._move.drain_cells('d', now)
        self._regression = self._move.evaluate(now)
        if self._regression:
            return True
        self._move.limit_share(self._move.share_limit(now), now)
        if now >= READY_S:
            self._share = self._move.share(
                now,
                self._service.per_s,
                canaries.loaded_share(
                    self._new_workers, self._service.per_s * MEAN_S
                ),
            )
        if self._share >= 1.0:
            self._full_at = min(self._full_at, now)
        return False

    def _record_ends(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, _, outcome = heapq.heappop(self._ends)
            self._move.record(*outcome)

    def _start(self, now: float, is_new: bool) -> None:
        worker = self._choose_worker(now, is_new)
        state = self._workers[is_new][worker]
        slots = self._service.slots
        start = state.start_at(now, slots)
        route = self._rng.randrange(self._service.routes)
        in_use = min(state.in_use(start) + 1, slots)
        effect = self._fault(Run(start, is_new, route, worker, in_use, slots))
        has_failed = self._rng.random() < effect.fails + USUAL_FAILURE_RATE
        took_s = self._rng.lognormvariate(0.0, SPREAD) * MEDIAN_S
        took_s *= effect.slower
        if is_new and start < READY_S + COLD_S:
            took_s *= COLD_FACTOR
        if has_failed:
            took_s = FAILURE_S
        end = start + took_s
        heapq.heappush(state.ends, end)
        if is_new and (has_failed or effect.slower > 1.0):
            self._bad.append(end)
        if 0.0 < self._share < 1.0:
            ms = (end - now) * 1000
            outcome = (f'r{route}', is_new, has_failed, ms, self._share)
            if is_new:
                outcome += (self._new_workers[worker].key,)
            heapq.heappush(self._ends, (end, next(self._numbers), outcome))

    def _choose_worker(self, now: float, is_new: bool) -> int:
        slots = self._service.slots
        usable: Iterable[int] = range(self._service.workers)
        if is_new:
            chosen = canaries.choose(
                self._move.move_id,
                self._new_workers,
                now,
                self._share,
                self._service.per_s * MEAN_S,
            )
            usable = [i for i in usable if self._new_workers[i].key in chosen]
        states = self._workers[is_new]
        # A node sends nothing to a canary without a free slot.
        free = [i for i in usable if states[i].in_use(now) < slots]
        usable = free or list(range(self._service.workers))
        if len(usable) > 2:
            usable = self._rng.sample(usable, 2)
        return min(usable, key=lambda i: states[i].in_use(now))


_RUNNING = model.Phase.RUNNING


def simulate(service: Service, fault: Fault, seed: int) -> Result:
    """Run a move."""
    return Simulation(service, fault, seed).run()
