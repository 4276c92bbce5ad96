"""Ejection of failing workers, and their gradual return."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Consecutive attempts without an answer after which a worker is ejected.
MAX_UNANSWERED_COUNT = 3
# A worker is ejected if its ratio of failed answers reaches the first value
# while the mean ratio of the other workers of its version is below the second.
MIN_FAILED_RATIO = 0.5
MAX_OTHERS_FAILED_RATIO = 0.25
FAILED_RATIO_WEIGHT = 0.1
MIN_CALL_COUNT = 10

FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
# Time over which the weight of a returned worker rises to 1.
RAMP_UP_S = 5.0
RAMP_UP_START_WEIGHT = 0.1
# At least this ratio of the workers stays in use.
MIN_IN_USE_RATIO = 0.5


class _WorkerStats:
    __slots__ = (
        'unanswered',
        'calls',
        'failed_ratio',
        'ejected_until',
        'ejections',
    )

    def __init__(self) -> None:
        self.unanswered = 0
        self.calls = 0
        self.failed_ratio = 0.0
        self.ejected_until: float | None = None
        self.ejections = 0


class Ejector:
    """Ejects failing workers of one version of a service for some time.

    A worker that does not answer is ejected regardless of the others. One
    that answers with failures is ejected only if it fails more often than the
    others, so that a fault that is common to the version ejects no worker.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._stats: dict[str, _WorkerStats] = {}

    def set_workers(self, keys: set[str]) -> None:
        """Set the workers; the statistics of all others are dropped.

        :param keys: node IDs of the workers
        """
        for key in set(self._stats) - keys:
            del self._stats[key]
        for key in keys - set(self._stats):
            self._stats[key] = _WorkerStats()

    def record_answer(self, key: str, *, failed: bool) -> None:
        """Record an answer of a worker.

        :param failed: whether the answer is a server error
        """
        stats = self._stats.get(key)
        if stats is None:
            return
        stats.unanswered = 0
        stats.calls += 1
        stats.failed_ratio += FAILED_RATIO_WEIGHT * (
            failed - stats.failed_ratio
        )
        if not failed:
            if self.weight(key) >= 1.0:
                stats.ejections = 0
            return
        if (
            stats.calls < MIN_CALL_COUNT
            or stats.failed_ratio < MIN_FAILED_RATIO
        ):
            return
        others = [
            other.failed_ratio
            for name, other in self._stats.items()
            if name != key and other.calls
        ]
        if others and sum(others) / len(others) < MAX_OTHERS_FAILED_RATIO:
            self._eject(key, stats)

    def record_no_answer(self, key: str) -> None:
        """Record an attempt that got no answer or no connection."""
        stats = self._stats.get(key)
        if stats is None:
            return
        stats.unanswered += 1
        ramping_up = stats.ejected_until is not None and self.weight(key) < 1
        if stats.unanswered >= MAX_UNANSWERED_COUNT or ramping_up:
            self._eject(key, stats)

    def weight(self, key: str) -> float:
        """Return the ratio of its usual requests that a worker may get.

        :returns: 0 while the worker is ejected; after that, a value that
            rises to 1
        """
        stats = self._stats.get(key)
        if stats is None or stats.ejected_until is None:
            return 1.0
        since = self._clock() - stats.ejected_until
        if since < 0:
            return 0.0
        if since >= RAMP_UP_S:
            return 1.0
        return (
            RAMP_UP_START_WEIGHT
            + (1 - RAMP_UP_START_WEIGHT) * since / RAMP_UP_S
        )

    def _eject(self, key: str, stats: _WorkerStats) -> None:
        now = self._clock()
        if stats.ejected_until is not None and now < stats.ejected_until:
            return
        ejected = sum(
            1
            for name, other in self._stats.items()
            if name != key
            and other.ejected_until is not None
            and now < other.ejected_until
        )
        if ejected + 1 > len(self._stats) * (1 - MIN_IN_USE_RATIO):
            return
        duration = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**stats.ejections)
        stats.ejected_until = now + duration
        stats.ejections += 1
        stats.unanswered = 0
        stats.calls = 0
        stats.failed_ratio = 0.0
