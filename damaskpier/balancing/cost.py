"""Expected time to completion of a request on a worker, and its cost.

The cost is a time in seconds: the expected time of the request, and a penalty
for the distance that its bytes travel. The module has no clock; all times are
those of the caller's clock in seconds.

Workers that report no pace are compared as before there were reports: by the
lowest cost among all of the region and a sample of the others. As soon as a
worker of the service has reported a pace, the costs follow the reports, and
the choice is made by shares; see docs/design/balancing.md.
"""

from __future__ import annotations

import math
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier.traffic.balancer import base
from damaskpier.traffic import start_limits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from damaskpier.mesh import model
    from damaskpier.traffic import messages

# Latency that is assumed of a worker until a call to any worker of the service
# has finished.
DEFAULT_LATENCY_S = 0.05
MEAN_LATENCY_WEIGHT = 0.05
MIN_RELIABILITY = 0.05
# Cost of a worker that has just refused a request as overloaded.
FULL_COST_S = 1.0
# Weight of a reply in the mean use of the workers at one distance, and the
# time constant with which this mean loses its weight.
TIER_USE_WEIGHT = 0.05
TIER_USE_DECAY_S = 4.0
# Time constant with which observations of a worker lose their weight. Without
# the decay, a worker that is avoided because it was slow or failed would never
# be observed again.
DECAY_TIME_S = 4.0
# A reported pace changes several times a second: after this time, it says
# little more than the mean of the paces that the worker reported.
PACE_AGE_S = 0.3
# Time constant with which the mean pace of a worker goes back to that of all.
PACE_DECAY_S = 12.0
# Time constant with which a reported number of requests goes back to the usual
# one. It is of the order of the time for which a request runs.
QUEUE_AGE_S = 0.5
# Bytes of a request between nodes beside the bodies: heads, interim responses
# and the attempts that are refused.
ATTEMPT_BYTES = 2500
# Time that a request takes longer rather than send a byte to another failure
# domain, and to another region, where it costs four times as much.
DOMAIN_S_PER_BYTE = 4e-6
REGION_S_PER_BYTE = 4 * DOMAIN_S_PER_BYTE
# A difference of cost by this part of the usual latency changes the share of a
# worker by the factor e.
SHARE_SCALE = 0.04
MIN_SHARE_SCALE_S = 0.002
# A request does not go further while a near worker is expected to complete it
# within this part of its objective: the caller gains little from a faster
# one, and the bytes over the distance are billed.
NEAR_OBJECTIVE_RATIO = 0.5


class Distance(NamedTuple):
    """Times and costs of a request over a distance.

    ``request_s`` and ``byte_s`` are added to the cost of a worker: it is
    chosen only if it is faster by this time for each request and byte.
    """

    round_trip_s: float
    request_s: float
    byte_s: float


# Distances to workers of the failure domain of the caller's node, of its
# region and of other regions, by tier. Traffic between failure domains is
# billed by volume.
DISTANCES = (
    Distance(0.0, 0.0, 0.0),
    Distance(0.0, 0.030, 4e-6),
    Distance(0.0, 0.050, 1e-5),
)
# The same where the workers report their pace. A byte between regions costs
# four times as much as one between failure domains.
PACE_DISTANCES = (
    Distance(0.0005, 0.0, 0.0),
    Distance(0.003, ATTEMPT_BYTES * DOMAIN_S_PER_BYTE, DOMAIN_S_PER_BYTE),
    Distance(0.018, ATTEMPT_BYTES * REGION_S_PER_BYTE, REGION_S_PER_BYTE),
)


class WorkerState(base.WorkerState):
    """State of a worker with what its node reported of it.

    ``last_result_at`` is the time of the last observed result. ``pace`` is the
    latest reported pace, as a multiple of the usual time, and ``mean_pace``
    the mean that came with it; both are None if there was none. ``sent``
    counts the requests since the latest load.
    """

    __slots__ = ('last_result_at', 'pace', 'pace_at', 'mean_pace', 'sent')

    def __init__(
        self, record: model.NodeRecord, cost_s: float, tier: int
    ) -> None:
        super().__init__(record, cost_s, tier)
        self.last_result_at = 0.0
        self.pace: float | None = None
        self.pace_at = 0.0
        self.mean_pace: float | None = None
        self.sent = 0

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

    def expected_pace(self, now: float, usual: float) -> float:
        """Return the expected pace.

        :param usual: mean pace of the workers of the service
        """
        if self.pace is None:
            return usual
        age_s = now - self.pace_at
        mean = usual + (self.mean_pace - usual) * math.exp(
            -age_s / PACE_DECAY_S
        )
        return mean + (self.pace - mean) * math.exp(-age_s / PACE_AGE_S)

    def expected_requests(self, now: float, usual_use: float) -> float:
        """Return the expected number of requests at the worker.

        What this node has sent since the report comes on top of it.

        :param usual_use: requests for each slot of workers like this one
        """
        usual = usual_use * self.slots
        if self.load is None:
            return usual + self.outstanding
        weight = math.exp(-(now - self.load_at) / QUEUE_AGE_S)
        reported = self.load.in_use + self.load.queued
        return (
            usual
            + (reported - usual) * weight
            + min(self.sent, self.outstanding)
        )


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


class CostModel:
    """Costs of the workers of one version of a service.

    ``has_paces`` is set when a worker has reported a pace.
    """

    def __init__(self) -> None:
        self.has_paces = False
        self._distances = DISTANCES
        self._mean_latency_s = 0.0
        self._pace_sum = 0.0
        self._pace_count = 0
        self._tier_uses = tuple(_TierUse() for _ in DISTANCES)

    @property
    def mean_latency_s(self) -> float:
        """Return the mean latency of all workers; 0 before an answer.

        If workers report their pace, it is the latency at the usual pace.
        """
        return self._mean_latency_s

    @property
    def usual_pace(self) -> float:
        """Return the mean pace of the workers that have reported one.

        Each worker counts once. In a mean over the replies, slow workers would
        hardly count, because they get few requests.
        """
        return self._pace_sum / self._pace_count if self._pace_count else 1.0

    def set_workers(self, workers: Iterable[WorkerState]) -> None:
        """Set the workers that count for the usual pace."""
        paces = [
            worker.mean_pace
            for worker in workers
            if worker.mean_pace is not None
        ]
        self._pace_sum = sum(paces)
        self._pace_count = len(paces)

    def record_load(
        self, worker: WorkerState, load: messages.Load, now: float
    ) -> None:
        """Record the load in a reply."""
        worker.load = load
        worker.load_at = now
        worker.sent = 0
        self._tier_uses[worker.tier].record(load, now)
        if load.pace is None:
            return
        self.has_paces = True
        self._distances = PACE_DISTANCES
        if worker.mean_pace is None:
            self._pace_count += 1
        else:
            self._pace_sum -= worker.mean_pace
        self._pace_sum += load.mean_pace
        worker.pace = load.pace
        worker.pace_at = now - load.pace_age_s
        worker.mean_pace = load.mean_pace

    def record_latency(
        self, worker: WorkerState, latency_s: float, now: float
    ) -> None:
        """Record how long an attempt took."""
        if self.has_paces:
            latency_s -= self._distances[worker.tier].round_trip_s
            latency_s = max(0.0, latency_s) / worker.expected_pace(
                now, self.usual_pace
            )
        if worker.latency_s is None:
            worker.latency_s = latency_s
        else:
            worker.latency_s += base.LATENCY_WEIGHT * (
                latency_s - worker.latency_s
            )
        weight = MEAN_LATENCY_WEIGHT if self._mean_latency_s else 1.0
        self._mean_latency_s += weight * (latency_s - self._mean_latency_s)

    def expected_latency_s(self, worker: WorkerState, now: float) -> float:
        """Return the expected duration of an attempt without queueing.

        A latency above the mean of all workers decays towards the mean.
        """
        mean_s = self._mean_latency_s or DEFAULT_LATENCY_S
        latency_s = worker.latency_s
        if latency_s is None:
            latency_s = mean_s
        elif latency_s > mean_s:
            excess_s = latency_s - mean_s
            latency_s = mean_s + excess_s * worker.observation_weight(now)
        if self.has_paces:
            latency_s *= worker.expected_pace(now, self.usual_pace)
        return latency_s

    def is_full(self, worker: WorkerState, now: float) -> bool:
        """Return whether a request is expected to wait for a slot."""
        use = self._tier_uses[worker.tier].at(now)
        return (
            now < worker.full_until
            or self._requests(worker, now, use) + 1.0 > worker.slots
        )

    def _requests(self, worker: WorkerState, now: float, use: float) -> float:
        if self.has_paces:
            return worker.expected_requests(now, use)
        return worker.estimated_requests(now, use)

    def cost_s(self, worker: WorkerState, size: float, now: float) -> float:
        """Return the cost of a request on a worker.

        :param size: expected bytes of the request and its response
        """
        use = self._tier_uses[worker.tier].at(now)
        return self._cost_s(worker, size, now, use)

    def _cost_s(
        self, worker: WorkerState, size: float, now: float, use: float
    ) -> float:
        distance = self._distances[worker.tier]
        return (
            self._expected_s(worker, size, now, use)
            + distance.round_trip_s
            + distance.request_s
            + distance.byte_s * size
        )

    def _expected_s(
        self, worker: WorkerState, size: float, now: float, use: float
    ) -> float:
        """Return the expected time to completion without the way."""
        expected_s = self.expected_latency_s(worker, now)
        waiting = self._requests(worker, now, use) + 1.0 - worker.slots
        if waiting > 0:
            expected_s *= 1.0 + waiting / worker.slots
        if worker.reliability < 1.0:
            # The division accounts for the retries of failures.
            reliability = 1.0 - (
                1.0 - worker.reliability
            ) * worker.observation_weight(now)
            expected_s /= max(reliability, MIN_RELIABILITY) ** 2
        expected_s += worker.wait_s(now)
        if now < worker.full_until:
            expected_s += FULL_COST_S
        if size > start_limits.LONG_RESPONSE_BYTES:
            # Shorter responses do not wait for the link.
            expected_s = max(expected_s, worker.link_busy_s(now))
        return expected_s

    def choose(
        self,
        candidates: Sequence[WorkerState],
        size: float,
        now: float,
        random: Callable[[], float],
        objective_s: float = 0.0,
    ) -> WorkerState:
        """Return the worker for a request.

        :param candidates: workers that may be chosen, at least one
        :param size: expected bytes of the request and its response
        :param random: returns a random number from 0 to 1, without 1
        :param objective_s: latency objective of the request; 0 if unknown
        """
        uses = [tier_use.at(now) for tier_use in self._tier_uses]
        costs = [
            self._cost_s(worker, size, now, uses[worker.tier])
            for worker in candidates
        ]
        if not self.has_paces:
            return candidates[costs.index(min(costs))]
        limit_s = NEAR_OBJECTIVE_RATIO * objective_s
        for tier in range(len(self._distances) - 1):
            near = [
                index
                for index, worker in enumerate(candidates)
                if worker.tier <= tier
            ]
            if near and min(costs[index] for index in near) <= limit_s:
                candidates = [candidates[index] for index in near]
                costs = [costs[index] for index in near]
                break
        scale_s = max(MIN_SHARE_SCALE_S, SHARE_SCALE * self._mean_latency_s)
        return candidates[draw(costs, scale_s, random())]


def draw(costs: Sequence[float], scale: float, number: float) -> int:
    """Return the index of one of several costs, drawn by share.

    The share of a cost falls by the factor e with each ``scale``.

    :param number: random number from 0 to 1, without 1
    """
    least = min(costs)
    weights = [math.exp((least - cost) / scale) for cost in costs]
    remaining = number * sum(weights)
    for index, weight in enumerate(weights):
        remaining -= weight
        if remaining < 0:
            return index
    return costs.index(least)
