"""Selection of a worker by expected time and distance."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from damaskpier.balancing import cost
from damaskpier.balancing import regions
from damaskpier import errors
from damaskpier.fleet import distances
from damaskpier.traffic.balancer import base
from damaskpier.traffic import ejection
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    import random

    from damaskpier.mesh import model

# Workers that are compared for each request, by tier: all of the region and a
# sample of the others.
SAMPLE_COUNTS = (sys.maxsize, sys.maxsize, 3)
# A worker that refused a request as overloaded is penalised for this time.
OVERLOAD_PENALTY_S = 0.05
# A node that refused a request because its worker is draining or is not of the
# version is skipped for this time; by then its new record has arrived.
LEAVING_SKIP_S = 1.0
# The same where the workers report their pace. The choice among them is made
# by share, which keeps nodes with like knowledge from choosing the same one;
# the sample bounds the work of a choice in a large fleet.
PACE_SAMPLE_COUNTS = (12, 12, 8)

WorkerState = cost.WorkerState

_OVERLOAD_CODES = frozenset(
    (errors.CALL_OVERLOADED, errors.CALL_UPSTREAM_REFUSED)
)

_LEAVING_CODES = frozenset(
    (errors.CALL_DRAINING, errors.CALL_NO_WORKER, errors.CALL_EVACUATED)
)


class Selector:
    """Selects among the workers of one version of a service.

    All workers of the caller's region are compared with a random sample of
    the others, because comparing all of them would make every node choose the
    same one (Mitzenmacher, "The power of two choices", 1996).

    :param local: returns the record of the caller's node
    :param rng: source of the samples
    :param clock: returns the time in seconds
    :param gets_few_replies: returns whether the caller's node gets few replies
        from all other nodes
    """

    def __init__(
        self,
        local: Callable[[], model.NodeRecord],
        rng: random.Random,
        clock: Callable[[], float],
        gets_few_replies: Callable[[], bool] = lambda: False,
    ) -> None:
        self._local = local
        self._rng = rng
        self._clock = clock
        self._gets_few_replies = gets_few_replies
        self._ejector = ejection.Ejector(clock)
        self._workers: dict[str, WorkerState] = {}
        self._by_tier: tuple[list[WorkerState], ...] = ([], [], [])
        self._skipped_until: dict[str, float] = {}
        self._costs = cost.CostModel()

    def __len__(self) -> int:
        return len(self._workers)

    def count(self, allowed: regions.Allowed) -> int:
        """Return the number of routable workers in some regions."""
        if allowed is None:
            return len(self._workers)
        return sum(
            worker.record.region in allowed
            for worker in self._workers.values()
        )

    @property
    def mean_latency_s(self) -> float | None:
        """Return the mean latency of all workers; None before an answer."""
        return self._costs.mean_latency_s or None

    def update(self, records: Iterable[model.NodeRecord]) -> None:
        """Set the routable workers, keeping the state of known ones."""
        workers: dict[str, WorkerState] = {}
        for record in records:
            worker = self._workers.get(record.node_id)
            if (
                worker is None
                or worker.record.incarnation != record.incarnation
                or worker.record.instance != record.instance
            ):
                tier = self._tier(record)
                distance = cost.PACE_DISTANCES[tier]
                worker = WorkerState(record, distance.round_trip_s, tier)
                self._skipped_until.pop(record.node_id, None)
            worker.record = record
            workers[record.node_id] = worker
        self._workers = workers
        self._ejector.set_workers(set(workers))
        self._costs.set_workers(workers.values())
        self._by_tier = tuple(
            [w for w in workers.values() if w.tier == tier]
            for tier in range(len(SAMPLE_COUNTS))
        )

    def pick(
        self,
        size: float,
        exclude: Collection[str] = (),
        allowed: regions.Allowed = None,
        objective_s: float = 0.0,
        preferred: Collection[str] = (),
    ) -> WorkerState | None:
        """Return the worker for the next attempt; None if there is none.

        :param size: expected bytes of the request and its response
        :param exclude: keys of the workers that have been tried
        :param allowed: regions of the workers
        :param objective_s: latency objective of the request; 0 if unknown
        :param preferred: keys of the workers to compare, as long as any of
            them can be used and has a free slot
        """
        now = self._clock()
        if allowed is not None:
            exclude = self._outside(allowed).union(exclude)
        candidates = self._free(preferred, exclude, now)
        if not candidates:
            candidates = self._candidates(exclude, now)
        if not candidates:
            # Ejected workers are used only if there are no others.
            candidates = [
                worker
                for worker in self._workers.values()
                if worker.key not in exclude
                and self._skipped_until.get(worker.key, 0.0) <= now
            ]
        if not candidates:
            return None
        return self._costs.choose(
            candidates, size, now, self._rng.random, objective_s
        )

    def _free(
        self, keys: Collection[str], exclude: Collection[str], now: float
    ) -> list[WorkerState]:
        """Return those of some workers that can start a request at once."""
        workers = [self._workers[key] for key in keys if key in self._workers]
        return [
            worker
            for worker in self._usable(workers, exclude, now)
            if not self._costs.is_full(worker, now)
        ]

    def _candidates(
        self, exclude: Collection[str], now: float
    ) -> list[WorkerState]:
        """Return the workers to compare, a sample of those of each tier."""
        counts = SAMPLE_COUNTS
        if self._costs.has_paces:
            counts = PACE_SAMPLE_COUNTS
        candidates = []
        for workers, count in zip(self._by_tier, counts, strict=True):
            usable = self._usable(workers, exclude, now)
            if len(usable) > count:
                usable = self._rng.sample(usable, count)
            candidates += usable
        return candidates

    def reason(
        self, worker: WorkerState, exclude: Collection[str] = ()
    ) -> str:
        """Return why a worker was chosen, by what is known now.

        :param exclude: keys of the workers that have been tried
        :returns: ``near`` for a worker of the own failure domain, ``missing``
            if that has no other usable one, ``full`` if no usable one there
            has a free slot, and ``slower`` otherwise
        """
        if worker.tier == 0:
            return 'near'
        now = self._clock()
        near = self._usable(self._by_tier[0], exclude, now)
        if not near:
            return 'missing'
        if all(self._costs.is_full(item, now) for item in near):
            return 'full'
        return 'slower'

    def record_start(self, worker: WorkerState) -> None:
        """Record that an attempt on a worker begins."""
        worker.outstanding += 1
        worker.sent += 1

    def record_abandoned(self, worker: WorkerState, took_s: float) -> None:
        """Record that an attempt was given up while it ran.

        The time is a lower bound of the worker's latency. Without it, a worker
        that answers after its callers have left would seem as quick as before.

        :param took_s: time since the start of the attempt in seconds
        """
        worker.outstanding -= 1
        now = self._clock()
        if took_s > self._costs.expected_latency_s(worker, now):
            worker.last_result_at = now
            self._costs.record_latency(worker, took_s, now)

    def record_silence(self, worker: WorkerState) -> None:
        """Record that a worker's node is not heard during an attempt."""
        worker.last_result_at = self._clock()
        self._record_no_answer(worker)

    def record_outcome(
        self, worker: WorkerState, reply: messages.Reply, latency_s: float
    ) -> None:
        """Record the result of an attempt.

        :param latency_s: duration of the attempt in seconds
        """
        worker.outstanding -= 1
        now = self._clock()
        worker.last_result_at = now
        if reply.load is not None:
            self._costs.record_load(worker, reply.load, now)
        result = reply.result
        if isinstance(result, messages.Answer):
            self._record_answer(worker, result, latency_s, now)
        elif result.code in _OVERLOAD_CODES:
            worker.full_until = now + OVERLOAD_PENALTY_S
        elif result.code in _LEAVING_CODES:
            self._skipped_until[worker.key] = now + LEAVING_SKIP_S
        elif result.code is errors.CALL_DEADLINE:
            if result.run is errors.RunState.UNKNOWN:
                self._costs.record_latency(worker, latency_s, now)
        elif result.code is not errors.CALL_REGION:
            # A refusal for the region of the worker says nothing about it.
            self._record_no_answer(worker)

    def _record_no_answer(self, worker: WorkerState) -> None:
        self._record_reliability(worker, succeeded=False)
        # While the link of this node is the likelier cause, no worker of
        # another node is ejected, because that outlasts the cause by seconds.
        # The lower reliability affects all of them alike.
        is_local = worker.key == self._local().node_id
        if is_local or not self._gets_few_replies():
            self._ejector.record_no_answer(worker.key)

    def _record_answer(
        self,
        worker: WorkerState,
        answer: messages.Answer,
        latency_s: float,
        now: float,
    ) -> None:
        failed = answer.status >= 500
        self._ejector.record_answer(worker.key, failed=failed)
        self._record_reliability(worker, succeeded=not failed)
        if not failed:
            self._costs.record_latency(worker, latency_s, now)

    def _record_reliability(
        self, worker: WorkerState, succeeded: bool
    ) -> None:
        worker.reliability += base.RELIABILITY_WEIGHT * (
            float(succeeded) - worker.reliability
        )

    def _outside(self, allowed: frozenset[str]) -> set[str]:
        """Return the keys of the workers in other regions."""
        return {
            key
            for key, worker in self._workers.items()
            if not regions.is_allowed(worker.record.region, allowed)
        }

    def _usable(
        self,
        workers: list[WorkerState],
        exclude: Collection[str],
        now: float,
    ) -> list[WorkerState]:
        usable = []
        for worker in workers:
            if worker.key in exclude:
                continue
            if self._skipped_until.get(worker.key, 0.0) > now:
                continue
            weight = self._ejector.weight(worker.key)
            if weight >= 1 or (weight > 0 and self._rng.random() < weight):
                usable.append(worker)
        return usable

    def _tier(self, record: model.NodeRecord) -> int:
        return distances.tier(self._local(), record)
