"""Selection of a worker by locality, ejection and load balancing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.traffic import balancer
from damaskpier.traffic.balancer import base
from damaskpier.traffic import ejection
from damaskpier.traffic import messages
from damaskpier.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    import random

    from damaskpier.mesh import model

# Workers of a service that a node keeps channels to, in its own region and in
# other regions.
MAX_NEAR_COUNT = 8
MAX_FAR_COUNT = 4

# Round trips that are assumed before calls have measured them.
SAME_DOMAIN_ROUND_TRIP_S = 0.0002
SAME_REGION_ROUND_TRIP_S = 0.002
OTHER_REGION_ROUND_TRIP_S = 0.016

# Traffic between regions is billed, so while workers of the own region have
# free slots, a worker of another region has to be this many times faster.
OTHER_REGION_SPEEDUP_RATIO = 2.0
# An attempt that exceeded its deadline counts as a failure of the worker if
# it took this long, or this many times the mean latency of the worker.
SLOW_TIMEOUT_S = 1.0
SLOW_TIMEOUT_RATIO = 3.0
# A worker that refuses requests because it is draining is skipped for this
# long. The limit is for a refusal that arrives after the worker has announced
# itself again.
LEAVING_SKIP_S = 2.0

NEAR = 0
FAR = 1

_OVERLOAD_CODES = frozenset(
    (
        errors.CALL_OVERLOADED,
        errors.CALL_UPSTREAM_REFUSED,
    )
)


class Selector:
    """Selects among the workers of one version of a service.

    :param local: record of the caller's node
    :param policy: name of the balancing policy
    :param rng: source of all random choices
    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        local: model.NodeRecord,
        policy: str,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.policy = policy
        self._local = local
        self._rng = rng
        self._clock = clock
        self._balancer = balancer.make_balancer(policy, rng, clock)
        self._ejector = ejection.Ejector(clock)
        self._workers: dict[str, base.WorkerState] = {}
        self._near: list[base.WorkerState] = []
        self._far: list[base.WorkerState] = []
        self._skipped_until: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._workers)

    def update(self, records: Iterable[model.NodeRecord]) -> None:
        """Set the routable workers.

        The statistics of a worker are kept unless its node has restarted.

        :param records: records of the workers' nodes
        """
        workers: dict[str, base.WorkerState] = {}
        now = self._clock()
        self._skipped_until = {
            k: t for k, t in self._skipped_until.items() if t > now
        }
        for record in records:
            if record.node_id in self._skipped_until:
                continue
            worker = self._workers.get(record.node_id)
            if worker is None or (
                worker.record.incarnation != record.incarnation
            ):
                worker = base.WorkerState(
                    record, *self._round_trip_and_tier(record)
                )
            worker.record = record
            workers[record.node_id] = worker
        self._workers = workers
        self._ejector.set_workers(set(workers))
        near = [w for w in workers.values() if w.tier == NEAR]
        far = [w for w in workers.values() if w.tier == FAR]
        self._near = self._subset(near, MAX_NEAR_COUNT)
        self._far = self._subset(far, MAX_FAR_COUNT)

    def pick(self, exclude: Collection[str] = ()) -> base.WorkerState | None:
        """Return the worker for the next attempt, if there is one.

        Workers of other regions are used when all near ones are full,
        ejected or already tried, or when one of them is faster by more than
        ``OTHER_REGION_SPEEDUP_RATIO``.

        :param exclude: node IDs of the workers that were tried; one of them
            is returned only if there is no other worker
        """
        near = [w for w in self._near if w.key not in exclude]
        far = [w for w in self._far if w.key not in exclude]
        if not near and not far:
            near, far = self._near, self._far
        usable = self._usable(near)
        now = self._clock()
        near_free = [w for w in usable if not w.is_full(now)]
        far_free = [w for w in self._usable(far) if not w.is_full(now)]
        if near_free:
            return self._near_unless_slow(
                self._balancer.pick(near_free), far_free, now
            )
        if far_free:
            return self._balancer.pick(far_free)
        candidates = usable or near or far
        return self._balancer.pick(candidates) if candidates else None

    def record_start(self, worker: base.WorkerState) -> None:
        """Record that an attempt on a worker begins."""
        self._balancer.record_start(worker)

    def record_inconclusive(self, worker: base.WorkerState) -> None:
        """Record an attempt that the caller cancelled."""
        self._balancer.record_inconclusive(worker)

    def record_outcome(
        self, worker: base.WorkerState, reply: messages.Reply, latency_s: float
    ) -> None:
        """Record the outcome of an attempt.

        :param latency_s: time from the start of the attempt to the reply
        """
        result = reply.result
        failed = shed = False
        if isinstance(result, messages.Answer):
            failed = result.status >= 500
            self._ejector.record_answer(worker.key, failed=failed)
        elif result.code in _OVERLOAD_CODES:
            shed = True
        elif result.code in (errors.CALL_DRAINING, errors.CALL_NO_WORKER):
            self._skip_leaving(worker)
            self._balancer.record_inconclusive(worker)
            return
        elif (
            result.code is errors.CALL_DEADLINE
            and result.run is errors.RunState.NOT_RUN
        ):
            shed = True
        elif _is_inconclusive(worker, result, latency_s):
            self._balancer.record_inconclusive(worker)
            return
        else:
            failed = True
            self._ejector.record_no_answer(worker.key)
        self._balancer.record_outcome(
            worker,
            base.AttemptOutcome(
                latency_s, failed=failed, shed=shed, load=reply.load
            ),
        )

    def _near_unless_slow(
        self,
        worker: base.WorkerState,
        far_free: list[base.WorkerState],
        now: float,
    ) -> base.WorkerState:
        """Return the worker, or one of another region if it is much faster.

        :param worker: worker of the own region
        :param far_free: workers of other regions that have free slots
        """
        near_s = self._balancer.score(worker, now)
        if near_s is None or not far_free:
            return worker
        other = self._balancer.pick(far_free)
        far_s = self._balancer.score(other, now)
        if far_s is not None and OTHER_REGION_SPEEDUP_RATIO * far_s < near_s:
            return other
        return worker

    def _skip_leaving(self, worker: base.WorkerState) -> None:
        """Skip a draining worker until its new record has arrived."""
        self._skipped_until[worker.key] = self._clock() + LEAVING_SKIP_S
        self._near = [w for w in self._near if w is not worker]
        self._far = [w for w in self._far if w is not worker]

    def _round_trip_and_tier(
        self, record: model.NodeRecord
    ) -> tuple[float, int]:
        if record.region != self._local.region:
            return OTHER_REGION_ROUND_TRIP_S, FAR
        if record.failure_domain != self._local.failure_domain:
            return SAME_REGION_ROUND_TRIP_S, NEAR
        return SAME_DOMAIN_ROUND_TRIP_S, NEAR

    def _usable(
        self, workers: list[base.WorkerState]
    ) -> list[base.WorkerState]:
        usable = []
        for worker in workers:
            weight = self._ejector.weight(worker.key)
            if weight >= 1 or (weight > 0 and self._rng.random() < weight):
                usable.append(worker)
        return usable

    def _subset(
        self, workers: list[base.WorkerState], size: int
    ) -> list[base.WorkerState]:
        """Return the workers that this node keeps channels to.

        Workers of the own failure domain come first. The others are ordered
        by a hash of both node IDs, which spreads the callers evenly over the
        workers and changes few subsets when a worker is added or removed.
        """
        workers.sort(
            key=lambda worker: (
                worker.record.failure_domain != self._local.failure_domain,
                rendezvous.score(self._local.node_id, worker.key),
            )
        )
        return workers[:size]


def _is_inconclusive(
    worker: base.WorkerState, refusal: errors.Refusal, latency_s: float
) -> bool:
    """Return whether a failure is caused by the request, not by the worker.

    A deadline that is too short for the route must not eject workers.
    """
    if refusal.code in (errors.CALL_TOO_LARGE, errors.CALL_BAD_HEADER):
        return True
    if refusal.code is not errors.CALL_DEADLINE or latency_s >= SLOW_TIMEOUT_S:
        return False
    mean_s = worker.latency_s
    return mean_s is None or latency_s < SLOW_TIMEOUT_RATIO * mean_s
