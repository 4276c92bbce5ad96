"""Balancing policies that use no measurements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpier.traffic.balancer import base

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random


class Random(base.Balancer):
    """Chooses uniformly at random."""

    def pick(self, workers: Sequence[base.WorkerState]) -> base.WorkerState:
        """Return a random worker."""
        return self._rng.choice(workers)


class RoundRobin(base.Balancer):
    """Chooses the workers in turn, beginning with a random one."""

    def __init__(self, rng: random.Random, clock: Callable[[], float]) -> None:
        super().__init__(rng, clock)
        self._next = rng.randrange(1 << 16)

    def pick(self, workers: Sequence[base.WorkerState]) -> base.WorkerState:
        """Return the next worker."""
        self._next += 1
        return workers[self._next % len(workers)]


class LeastOutstanding(base.Balancer):
    """Chooses the worker with the fewest outstanding calls of this node."""

    def pick(self, workers: Sequence[base.WorkerState]) -> base.WorkerState:
        """Return a random one of the workers with the fewest calls."""
        least = min(worker.outstanding for worker in workers)
        return self._rng.choice(
            [worker for worker in workers if worker.outstanding == least]
        )
