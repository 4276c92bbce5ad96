"""Choice of a worker: locality, ejection and balancer together."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.traffic import balancer
from damaskpier.traffic.balancer import base
from damaskpier.traffic import ejection
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    import random

    from damaskpier.mesh import model

MAX_NEAR = 8  # channels per service within the region
MAX_FAR = 4  # channels per service to other regions

# Round trips that are assumed before calls have measured them.
OWN_DOMAIN_COST_S = 0.0002
OWN_REGION_COST_S = 0.002
OTHER_REGION_COST_S = 0.016

# Traffic between regions is billed, so a worker there has to be this many
# times faster while near ones have free slots.
SPILL_PRICE = 2.0
# An attempt that ended by its deadline counts against the worker if it took
# this long, or this many times as long as the worker's calls usually take.
LONG_WAIT_S = 1.0
LONG_WAIT_FACTOR = 3.0
# A worker that said it is leaving is skipped this long. The limit is for a
# refusal that arrives after the worker has announced itself again.
LEFT_OUT_S = 2.0

NEAR = 0
FAR = 1

_SHED = frozenset(
    (
        errors.CALL_OVERLOADED,
        errors.CALL_UPSTREAM_REFUSED,
    )
)


class Selector:
    """Chooses among the workers of one version of a service.

    :param local: record of the caller's node
    :param policy: name of the balancer
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
        self._left: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._workers)

    def update(self, records: Iterable[model.NodeRecord]) -> None:
        """Set the routable workers; what is known of old ones is kept."""
        workers: dict[str, base.WorkerState] = {}
        now = self._clock()
        self._left = {k: t for k, t in self._left.items() if t > now}
        for record in records:
            if record.node_id in self._left:
                continue
            worker = self._workers.get(record.node_id)
            if worker is None or (
                worker.record.incarnation != record.incarnation
            ):
                worker = base.WorkerState(record, *self._distance(record))
            worker.record = record
            workers[record.node_id] = worker
        self._workers = workers
        self._ejector.set_workers(set(workers))
        near = [w for w in workers.values() if w.tier == NEAR]
        far = [w for w in workers.values() if w.tier == FAR]
        self._near = self._subset(near, MAX_NEAR)
        self._far = self._subset(far, MAX_FAR)

    def pick(self, exclude: Collection[str] = ()) -> base.WorkerState | None:
        """Return the worker for the next attempt, if there is one.

        Workers of other regions are used when all near ones are full,
        ejected, or already tried, or when the near one is so slow that the
        price of the other region is lower.

        :param exclude: workers that were tried; one of them is used again
            only if there is no other
        """
        near = [w for w in self._near if w.key not in exclude]
        far = [w for w in self._far if w.key not in exclude]
        if not near and not far:
            near, far = self._near, self._far
        usable = self._usable(near)
        now = self._clock()
        spare = [w for w in usable if not w.full(now)]
        spill = [w for w in self._usable(far) if not w.full(now)]
        if spare:
            return self._cheaper(self._balancer.pick(spare), spill, now)
        if spill:
            return self._balancer.pick(spill)
        everyone = usable or near or far
        return self._balancer.pick(everyone) if everyone else None

    def record_start(self, worker: base.WorkerState) -> None:
        """Note that an attempt on a worker begins."""
        self._balancer.record_start(worker)

    def record_inconclusive(self, worker: base.WorkerState) -> None:
        """Note that an attempt was cancelled by the caller."""
        self._balancer.record_inconclusive(worker)

    def record_outcome(
        self, worker: base.WorkerState, reply: messages.Reply, latency_s: float
    ) -> None:
        """Note the outcome of an attempt."""
        result = reply.result
        failed = shed = False
        if isinstance(result, messages.Answer):
            failed = result.status >= 500
            self._ejector.record_answer(worker.key, failed=failed)
        elif result.code in _SHED:
            shed = True
        elif result.code in (errors.CALL_DRAINING, errors.CALL_NO_WORKER):
            self._leave_out(worker)
            self._balancer.record_inconclusive(worker)
            return
        elif (
            result.code is errors.CALL_DEADLINE
            and result.run is errors.RunState.NOT_RUN
        ):
            shed = True
        elif _shows_nothing(worker, result, latency_s):
            self._balancer.record_inconclusive(worker)
            return
        else:
            failed = True
            self._ejector.record_no_answer(worker.key)
        self._balancer.record_outcome(
            worker,
            base.Outcome(latency_s, failed=failed, shed=shed, load=reply.load),
        )

    def _cheaper(
        self,
        worker: base.WorkerState,
        spill: list[base.WorkerState],
        now: float,
    ) -> base.WorkerState:
        """Return a worker of another region if it is much faster."""
        near_s = self._balancer.score(worker, now)
        if near_s is None or not spill:
            return worker
        other = self._balancer.pick(spill)
        far_s = self._balancer.score(other, now)
        if far_s is not None and SPILL_PRICE * far_s < near_s:
            return other
        return worker

    def _leave_out(self, worker: base.WorkerState) -> None:
        """Skip a leaving worker until its new record has arrived."""
        self._left[worker.key] = self._clock() + LEFT_OUT_S
        self._near = [w for w in self._near if w is not worker]
        self._far = [w for w in self._far if w is not worker]

    def _distance(self, record: model.NodeRecord) -> tuple[float, int]:
        if record.region != self._local.region:
            return OTHER_REGION_COST_S, FAR
        if record.failure_domain != self._local.failure_domain:
            return OWN_REGION_COST_S, NEAR
        return OWN_DOMAIN_COST_S, NEAR

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

        The rank is a hash of both nodes, which spreads the callers evenly
        over the workers and moves few of them when a worker comes or goes.
        """
        workers.sort(
            key=lambda worker: (
                worker.record.failure_domain != self._local.failure_domain,
                _rank(self._local.node_id, worker.key),
            )
        )
        return workers[:size]


def _shows_nothing(
    worker: base.WorkerState, refusal: errors.Refusal, latency_s: float
) -> bool:
    """Tell whether a failure is the request's and not the worker's.

    A deadline that is short for the route must not eject workers.
    """
    if refusal.code in (errors.CALL_TOO_LARGE, errors.CALL_BAD_HEADER):
        return True
    if refusal.code is not errors.CALL_DEADLINE or latency_s >= LONG_WAIT_S:
        return False
    usual_s = worker.latency_s
    return usual_s is None or latency_s < LONG_WAIT_FACTOR * usual_s


def _rank(caller: str, worker: str) -> bytes:
    return hashlib.blake2b(
        f'{caller}\0{worker}'.encode(), digest_size=8
    ).digest()
