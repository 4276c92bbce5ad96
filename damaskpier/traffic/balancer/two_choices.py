"""Two random choices compared by a recent score.

The idea follows "Load balancing AI services with the power of two choices
(Pinecone Assistant)": of two random workers, the one with the better recent
latency and reliability gets the request, and a small share of requests
explores. Here the load that workers tell with their replies is part of the
score as well, because averages of latency lag behind a queue that builds up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpier.traffic.balancer import base

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

# Share of requests that go to a random worker, so that the score of a worker
# that was slow once is measured again.
EXPLORATION_SHARE = 0.02
# Latency that is assumed before any call has finished.
UNKNOWN_LATENCY_S = 0.002
MEAN_WEIGHT = 0.02


class TwoChoices(base.Balancer):
    """Compares two random workers by expected time and reliability."""

    def __init__(self, rng: random.Random, clock: Callable[[], float]) -> None:
        super().__init__(rng, clock)
        self._mean_s = UNKNOWN_LATENCY_S
        self._measured = False

    def pick(self, workers: Sequence[base.WorkerState]) -> base.WorkerState:
        """Return the better one of two random workers."""
        if len(workers) == 1:
            return workers[0]
        first, second = self._rng.sample(workers, 2)
        if self._rng.random() < EXPLORATION_SHARE:
            return first
        now = self._clock()
        if self.score(second, now) < self.score(first, now):
            return second
        return first

    def score(self, worker: base.WorkerState, now: float) -> float:
        """Return the expected time of a request in seconds; less is better.

        Each failure costs a repeat, which the division by the squared
        reliability stands for.
        """
        latency_s = worker.latency_s
        if latency_s is None:
            # A worker without calls is taken to be as fast as the others,
            # whose latency has the round trip within the region in it.
            latency_s = self._mean_s + (worker.cost_s if worker.tier else 0)
        occupancy = (worker.estimated_requests(now) + 1.0) / worker.slots
        reliability = max(worker.reliability, 0.05)
        return latency_s * (1.0 + occupancy) / reliability**2

    def record_outcome(
        self, worker: base.WorkerState, outcome: base.Outcome
    ) -> None:
        """Note that a call has ended."""
        super().record_outcome(worker, outcome)
        if outcome.failed or outcome.shed:
            return
        weight = MEAN_WEIGHT if self._measured else 1.0
        self._measured = True
        self._mean_s += weight * (outcome.latency_s - self._mean_s)
