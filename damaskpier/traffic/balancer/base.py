"""What balancers know of workers, and their common base class."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

    from damaskpier.mesh import model
    from damaskpier.traffic import messages

# Weights of a new call in the running averages.
LATENCY_WEIGHT = 0.1
RELIABILITY_WEIGHT = 0.05
# A worker that refused because of load counts as full for this long.
FULL_AFTER_REFUSAL_S = 0.05
# What a worker said about its load is worth nothing after this time.
LOAD_TTL_S = 0.5


class WorkerState:
    """One worker as seen by the callers' node.

    :param record: latest record of the worker's node
    :param cost_s: expected round trip to the worker in seconds
    """

    __slots__ = (
        'record',
        'cost_s',
        'tier',
        'outstanding',
        'latency_s',
        'reliability',
        'load',
        'load_at',
        'full_until',
    )

    def __init__(
        self, record: model.NodeRecord, cost_s: float, tier: int = 0
    ) -> None:
        self.record = record
        self.cost_s = cost_s
        self.tier = tier
        self.outstanding = 0
        self.latency_s: float | None = None
        self.reliability = 1.0
        self.load: messages.Load | None = None
        self.load_at = 0.0
        self.full_until = 0.0

    @property
    def key(self) -> str:
        """Return the worker's identity."""
        return self.record.node_id

    @property
    def slots(self) -> int:
        """Return the slots that the worker last told, at least 1."""
        if self.load is not None and self.load.slots:
            return self.load.slots
        return self.record.slots or 1

    def estimated_requests(self, now: float) -> float:
        """Return the estimated requests at the worker.

        The load that came with the last reply fades, because other callers
        change it; the node's own outstanding calls are exact.
        """
        if self.load is None:
            return float(self.outstanding)
        fade = 1.0 - (now - self.load_at) / LOAD_TTL_S
        if fade <= 0:
            return float(self.outstanding)
        told = self.load.in_use + self.load.queued
        return max(float(self.outstanding), told * fade)

    def full(self, now: float) -> bool:
        """Tell whether a new request would have to wait for a slot."""
        return (
            now < self.full_until or self.estimated_requests(now) >= self.slots
        )


class Outcome:
    """What one attempt has shown about a worker."""

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
    """Chooses workers and learns from the outcome of calls.

    :param rng: source of all random choices
    :param clock: returns the time in seconds
    """

    def __init__(self, rng: random.Random, clock: Callable[[], float]) -> None:
        self._rng = rng
        self._clock = clock

    @abc.abstractmethod
    def pick(self, workers: Sequence[WorkerState]) -> WorkerState:
        """Return one of the workers, of which there is at least one."""

    def score(self, worker: WorkerState, now: float) -> float | None:
        """Return the expected time of a request in seconds.

        :return: None where the policy has no expectation
        """
        return None

    def record_start(self, worker: WorkerState) -> None:
        """Note that a call to a worker begins."""
        worker.outstanding += 1

    def record_inconclusive(self, worker: WorkerState) -> None:
        """Note that a call ended without showing anything."""
        worker.outstanding -= 1

    def record_outcome(self, worker: WorkerState, outcome: Outcome) -> None:
        """Note that a call to a worker has ended."""
        worker.outstanding -= 1
        now = self._clock()
        if outcome.load is not None:
            worker.load = outcome.load
            worker.load_at = now
        if outcome.shed:
            worker.full_until = now + FULL_AFTER_REFUSAL_S
            return
        good = 0.0 if outcome.failed else 1.0
        worker.reliability += RELIABILITY_WEIGHT * (good - worker.reliability)
        if outcome.failed:
            # A fast failure must not make a worker look fast.
            return
        if worker.latency_s is None:
            worker.latency_s = outcome.latency_s
        else:
            worker.latency_s += LATENCY_WEIGHT * (
                outcome.latency_s - worker.latency_s
            )
