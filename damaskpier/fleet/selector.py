"""Selection of a worker by expected time and distance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.traffic.balancer import base
from damaskpier.traffic import ejection
from damaskpier.traffic import messages
from damaskpier.traffic import start_limits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    import random

    from damaskpier.mesh import model

# Round trip times that are assumed to workers of the caller's failure domain,
# of its region and of other regions, by tier.
ROUND_TRIP_S = (0.0005, 0.003, 0.018)
# Traffic between failure domains is billed by volume. A worker of a tier is
# chosen only if it is faster by this time per request and per byte.
DISTANCE_PENALTY_S = (0.0, 0.030, 0.050)
DISTANCE_PENALTY_S_PER_BYTE = (0.0, 4e-6, 1e-5)
# Latency that is assumed of a worker until a call to any worker of the service
# has finished.
DEFAULT_LATENCY_S = 0.05
MEAN_LATENCY_WEIGHT = 0.05
# Workers of other regions that are sampled for each request.
REMOTE_SAMPLE_COUNT = 3
# A worker that refused a request as overloaded is penalised for this time.
OVERLOAD_PENALTY_S = 0.05
# A node that refused a request because its worker is draining or is not of the
# version is skipped for this time; by then its new record has arrived.
LEAVING_SKIP_S = 1.0
MIN_RELIABILITY = 0.05
# Weight of a reply in the mean use of the workers at one distance, and the
# time constant with which this mean loses its weight.
TIER_USE_WEIGHT = 0.05
TIER_USE_DECAY_S = 4.0
# Time constant with which observations of a worker lose their weight. Without
# the decay, a worker that is avoided because it was slow or failed would never
# be observed again.
DECAY_TIME_S = 4.0

_OVERLOAD_CODES = frozenset(
    (errors.CALL_OVERLOADED, errors.CALL_UPSTREAM_REFUSED)
)

_LEAVING_CODES = frozenset(
    (errors.CALL_DRAINING, errors.CALL_NO_WORKER, errors.CALL_EVACUATED)
)


class WorkerState(base.WorkerState):
    """State of a worker with the time of its last observed result."""

    __slots__ = ('last_result_at',)

    def __init__(
        self, record: model.NodeRecord, cost_s: float, tier: int
    ) -> None:
        super().__init__(record, cost_s, tier)
        self.last_result_at = 0.0

    def observation_weight(self, now: float) -> float:
        """Return the weight of past observations, from 1 down to 0."""
        return math.exp(-max(0.0, now - self.last_result_at) / DECAY_TIME_S)

    def wait_s(self, now: float) -> float:
        """Return how long the worker's rate limit holds a request back."""
        if self.load is None:
            return 0.0
        return max(0.0, self.load.wait_s - (now - self.load_at))

    def link_busy_s(self, now: float) -> float:
        """Return for how long the link of the worker's node is taken.

        What the node got since its last reply is not known.
        """
        if self.load is None:
            return 0.0
        return max(0.0, self.load.link_busy_s - (now - self.load_at))


class _TierUse:
    """Mean use of the workers at one distance, by the loads in their replies.

    In a large fleet, a node gets too few replies of each worker to know its
    load, but enough of all workers at one distance to know theirs.
    """

    def __init__(self) -> None:
        self._requests_per_slot = 0.0
        self._recorded_at = -math.inf

    def record(self, load: messages.Load, now: float) -> None:
        """Record the load in a reply."""
        use = (load.in_use + load.queued) / max(1, load.slots)
        known = self.at(now)
        self._requests_per_slot = known + TIER_USE_WEIGHT * (use - known)
        self._recorded_at = now

    def at(self, now: float) -> float:
        """Return the expected requests for each slot of a worker."""
        age_s = now - self._recorded_at
        return self._requests_per_slot * math.exp(-age_s / TIER_USE_DECAY_S)


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
        self._own_region: list[WorkerState] = []
        self._other_regions: list[WorkerState] = []
        self._skipped_until: dict[str, float] = {}
        self._mean_latency_s = 0.0
        self._tier_uses = tuple(_TierUse() for _ in ROUND_TRIP_S)

    def __len__(self) -> int:
        return len(self._workers)

    @property
    def mean_latency_s(self) -> float | None:
        """Return the mean latency of all workers; None before an answer."""
        return self._mean_latency_s or None

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
                worker = WorkerState(record, ROUND_TRIP_S[tier], tier)
                self._skipped_until.pop(record.node_id, None)
            worker.record = record
            workers[record.node_id] = worker
        self._workers = workers
        self._ejector.set_workers(set(workers))
        self._own_region = [w for w in workers.values() if w.tier < 2]
        self._other_regions = [w for w in workers.values() if w.tier == 2]

    def pick(
        self, size: float, exclude: Collection[str] = ()
    ) -> WorkerState | None:
        """Return the worker for the next attempt; None if there is none.

        :param size: expected bytes of the request and its response
        :param exclude: keys of the workers that have been tried
        """
        now = self._clock()
        own_region = self._usable(self._own_region, exclude, now)
        other_regions = self._usable(self._other_regions, exclude, now)
        if len(other_regions) > REMOTE_SAMPLE_COUNT:
            other_regions = self._rng.sample(
                other_regions, REMOTE_SAMPLE_COUNT
            )
        candidates = own_region + other_regions
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
        return min(
            candidates, key=lambda worker: self._cost_s(worker, size, now)
        )

    def record_start(self, worker: WorkerState) -> None:
        """Record that an attempt on a worker begins."""
        worker.outstanding += 1

    def record_abandoned(self, worker: WorkerState, took_s: float) -> None:
        """Record that an attempt was given up while it ran.

        The time is a lower bound of the worker's latency. Without it, a worker
        that answers after its callers have left would seem as quick as before.

        :param took_s: time since the start of the attempt in seconds
        """
        worker.outstanding -= 1
        now = self._clock()
        if took_s > self.expected_latency_s(worker, now):
            worker.last_result_at = now
            self._record_latency(worker, took_s)

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
            worker.load = reply.load
            worker.load_at = now
            self._tier_uses[worker.tier].record(reply.load, now)
        result = reply.result
        if isinstance(result, messages.Answer):
            self._record_answer(worker, result, latency_s)
        elif result.code in _OVERLOAD_CODES:
            worker.full_until = now + OVERLOAD_PENALTY_S
        elif result.code in _LEAVING_CODES:
            self._skipped_until[worker.key] = now + LEAVING_SKIP_S
        elif result.code is errors.CALL_DEADLINE:
            if result.run is errors.RunState.UNKNOWN:
                self._record_latency(worker, latency_s)
        else:
            self._record_no_answer(worker)

    def expected_latency_s(self, worker: WorkerState, now: float) -> float:
        """Return the expected duration of an attempt without queueing.

        A latency above the mean of all workers decays towards the mean.
        """
        mean_s = self._mean_latency_s or DEFAULT_LATENCY_S
        if worker.latency_s is None:
            return mean_s
        if worker.latency_s <= mean_s:
            return worker.latency_s
        excess_s = worker.latency_s - mean_s
        return mean_s + excess_s * worker.observation_weight(now)

    def _record_no_answer(self, worker: WorkerState) -> None:
        self._record_reliability(worker, succeeded=False)
        # While the link of this node is the likelier cause, no worker of
        # another node is ejected, because that outlasts the cause by seconds.
        # The lower reliability affects all of them alike.
        is_local = worker.key == self._local().node_id
        if is_local or not self._gets_few_replies():
            self._ejector.record_no_answer(worker.key)

    def _record_answer(
        self, worker: WorkerState, answer: messages.Answer, latency_s: float
    ) -> None:
        failed = answer.status >= 500
        self._ejector.record_answer(worker.key, failed=failed)
        self._record_reliability(worker, succeeded=not failed)
        if not failed:
            self._record_latency(worker, latency_s)

    def _record_latency(self, worker: WorkerState, latency_s: float) -> None:
        if worker.latency_s is None:
            worker.latency_s = latency_s
        else:
            worker.latency_s += base.LATENCY_WEIGHT * (
                latency_s - worker.latency_s
            )
        weight = MEAN_LATENCY_WEIGHT if self._mean_latency_s else 1.0
        self._mean_latency_s += weight * (latency_s - self._mean_latency_s)

    def _record_reliability(
        self, worker: WorkerState, succeeded: bool
    ) -> None:
        worker.reliability += base.RELIABILITY_WEIGHT * (
            float(succeeded) - worker.reliability
        )

    def _cost_s(self, worker: WorkerState, size: float, now: float) -> float:
        expected_latency_s = self.expected_latency_s(worker, now)
        use = self._tier_uses[worker.tier].at(now)
        waiting = worker.estimated_requests(now, use) + 1.0 - worker.slots
        if waiting > 0:
            expected_latency_s *= 1.0 + waiting / worker.slots
        # Dividing by the reliability accounts for the retries of failures.
        reliability = 1.0 - (
            1.0 - worker.reliability
        ) * worker.observation_weight(now)
        expected_latency_s /= max(reliability, MIN_RELIABILITY) ** 2
        tier = worker.tier
        expected_latency_s += worker.wait_s(now)
        if now < worker.full_until:
            expected_latency_s += 1.0
        if size > start_limits.LONG_RESPONSE_BYTES:
            # Shorter responses do not wait for the link.
            expected_latency_s = max(
                expected_latency_s, worker.link_busy_s(now)
            )
        return (
            expected_latency_s
            + DISTANCE_PENALTY_S[tier]
            + DISTANCE_PENALTY_S_PER_BYTE[tier] * size
        )

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
        local = self._local()
        if record.failure_domain == local.failure_domain:
            return 0
        return 1 if record.region == local.region else 2
