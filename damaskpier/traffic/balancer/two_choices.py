"""Balancing by the power of two choices.

The policy follows "Load balancing AI services with the power of two choices
(Pinecone Assistant)": of two random workers, the one with the better recent
latency and reliability gets the request, and a small ratio of the requests
goes to a random worker. Here the score also includes the load that workers
report with their replies, because averages of the latency lag behind a queue
that builds up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpier.traffic.balancer import base

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

# Ratio of requests that go to a random worker, so that a worker with a bad
# score is measured again.
EXPLORATION_RATIO = 0.02
# Latency that is assumed until the first call has finished.
INITIAL_LATENCY_S = 0.002
MEAN_LATENCY_WEIGHT = 0.02


class TwoChoices(base.Balancer):
    """Chooses the better of two random workers by expected request time."""

    def __init__(self, rng: random.Random, clock: Callable[[], float]) -> None:
        super().__init__(rng, clock)
        self._mean_latency_s = INITIAL_LATENCY_S
        self._measured = False

    def pick(self, workers: Sequence[base.WorkerState]) -> base.WorkerState:
        """Return the better one of two random workers.

        A ratio of ``EXPLORATION_RATIO`` of the calls returns any worker.
        """
        if len(workers) == 1:
            return workers[0]
        first, second = self._rng.sample(workers, 2)
        if self._rng.random() < EXPLORATION_RATIO:
            return first
        now = self._clock()
        if self.score(second, now) < self.score(first, now):
            return second
        return first

    def score(self, worker: base.WorkerState, now: float) -> float:
        """Return the expected time of a request in seconds; less is better.

        The division by the squared reliability accounts for the retry that
        each failure costs.
        """
        latency_s = worker.latency_s
        if latency_s is None:
            # A worker without calls is assumed to be as fast as the others,
            # whose latency includes the round trip within the region.
            latency_s = self._mean_latency_s + (
                worker.round_trip_s if worker.tier else 0
            )
        occupancy = (worker.estimated_requests(now) + 1.0) / worker.slots
        reliability = max(worker.reliability, 0.05)
        return latency_s * (1.0 + occupancy) / reliability**2

    def record_outcome(
        self, worker: base.WorkerState, outcome: base.AttemptOutcome
    ) -> None:
        """Record the outcome of a call to a worker."""
        super().record_outcome(worker, outcome)
        if outcome.failed or outcome.shed:
            return
        weight = MEAN_LATENCY_WEIGHT if self._measured else 1.0
        self._measured = True
        self._mean_latency_s += weight * (
            outcome.latency_s - self._mean_latency_s
        )
