"""State of workers as balancers see it, and the base class of balancers."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

    from damaskpier.mesh import model
    from damaskpier.traffic import messages

# Weights of a new call in the exponential moving averages.
LATENCY_WEIGHT = 0.1
RELIABILITY_WEIGHT = 0.05
# A worker that refused a request because of load counts as full for this long.
FULL_AFTER_REFUSAL_S = 0.05
# A load report of a worker is ignored after this time.
LOAD_TTL_S = 0.5


class WorkerState:
    """State of one worker as seen by the caller's node.

    :param record: latest record of the worker's node
    :param round_trip_s: expected round trip to the worker in seconds
    :param tier: class of distance to the worker, 0 for the nearest
    """

    __slots__ = (
        'record',
        'round_trip_s',
        'tier',
        'outstanding',
        'latency_s',
        'reliability',
        'load',
        'load_at',
        'full_until',
    )

    def __init__(
        self, record: model.NodeRecord, round_trip_s: float, tier: int = 0
    ) -> None:
        self.record = record
        self.round_trip_s = round_trip_s
        self.tier = tier
        self.outstanding = 0
        self.latency_s: float | None = None
        self.reliability = 1.0
        self.load: messages.Load | None = None
        self.load_at = 0.0
        self.full_until = 0.0

    @property
    def key(self) -> str:
        """Return the ID of the worker's node."""
        return self.record.node_id

    @property
    def slots(self) -> int:
        """Return the slots that the worker last reported, at least 1."""
        if self.load is not None and self.load.slots:
            return self.load.slots
        return self.record.slots or 1

    def estimated_requests(self, now: float, usual_use: float = 0.0) -> float:
        """Return the estimated number of requests at the worker.

        The load that came with the last reply counts less the older it is,
        because other callers change it. The number of calls that this node
        has outstanding is exact.

        :param usual_use: requests for each slot of workers like this one,
            which count instead of a load that is not known any more
        """
        # A worker of that use has room for one more if it has a free slot.
        usual = max(0.0, usual_use * self.slots - 1.0)
        if self.load is None:
            return max(float(self.outstanding), usual)
        freshness = max(0.0, 1.0 - (now - self.load_at) / LOAD_TTL_S)
        reported = self.load.in_use + self.load.queued
        return max(
            float(self.outstanding),
            reported * freshness + usual * (1.0 - freshness),
        )

    def is_full(self, now: float) -> bool:
        """Return whether a new request is expected to wait for a slot."""
        return (
            now < self.full_until or self.estimated_requests(now) >= self.slots
        )


class AttemptOutcome:
    """Outcome of one attempt as far as it concerns the worker.

    :param latency_s: time from the start of the attempt to the reply
    :param failed: whether the worker failed
    :param shed: whether the worker refused because of load
    :param load: load that came with the reply, None if there was none
    """

    __slots__ = ('latency_s', 'failed', 'shed', 'load')

    def __init__(
        self,
        latency_s: float,
        *,
        failed: bool = False,
        shed: bool = False,
        load: messages.Load | None = None,
    ) -> None:
        self.latency_s = latency_s
        self.failed = failed
        self.shed = shed
        self.load = load


class Balancer(abc.ABC):
    """Base class of the balancing policies.

    A balancer chooses workers and records the outcome of each attempt.

    :param rng: source of all random choices
    :param clock: returns the time in seconds
    """

    def __init__(self, rng: random.Random, clock: Callable[[], float]) -> None:
        self._rng = rng
        self._clock = clock

    @abc.abstractmethod
    def pick(self, workers: Sequence[WorkerState]) -> WorkerState:
        """Return one of the workers.

        :param workers: candidates, at least one
        """

    def score(self, worker: WorkerState, now: float) -> float | None:
        """Return the expected time of a request in seconds.

        :returns: None where the policy does not estimate it
        """
        return None

    def record_start(self, worker: WorkerState) -> None:
        """Record that a call to a worker begins."""
        worker.outstanding += 1

    def record_inconclusive(self, worker: WorkerState) -> None:
        """Record a call that ended without information about the worker."""
        worker.outstanding -= 1

    def record_outcome(
        self, worker: WorkerState, outcome: AttemptOutcome
    ) -> None:
        """Record the outcome of a call to a worker."""
        worker.outstanding -= 1
        now = self._clock()
        if outcome.load is not None:
            worker.load = outcome.load
            worker.load_at = now
        if outcome.shed:
            worker.full_until = now + FULL_AFTER_REFUSAL_S
            return
        success = 0.0 if outcome.failed else 1.0
        worker.reliability += RELIABILITY_WEIGHT * (
            success - worker.reliability
        )
        if outcome.failed:
            # A fast failure must not make a worker look fast.
            return
        if worker.latency_s is None:
            worker.latency_s = outcome.latency_s
        else:
            worker.latency_s += LATENCY_WEIGHT * (
                outcome.latency_s - worker.latency_s
            )
