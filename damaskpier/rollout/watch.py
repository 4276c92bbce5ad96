"""Notices that the new version gets worse than the record.

Where nearly all requests go to the new version, few are left to compare
with. The watch compares the new version with the record of the old one,
which can be misled by trouble common to both. It therefore decides nothing:
it asks for a check, for which both versions get half of the requests.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from damaskpier.rollout import judge
from damaskpier.rollout import latency
from damaskpier.rollout import model

# Rates of bad answers for which a cumulative sum is kept, above the record.
EXCESSES = (0.03, 0.2, 0.8)
LIMIT = 7.0
SLOW_LEVELS = (0.75, 0.9, 0.98)
LEAST_RATE = 0.005


class Alarm(NamedTuple):
    """Rate of bad answers that the watch has seen, and the expected one."""

    statistic: str
    seen: float
    expected: float


class Watch:
    """Cumulative sums of the bad answers of the new version on a route."""

    def __init__(self) -> None:
        self._sums: dict[tuple[str, float], list[float]] = {}
        self.limit = LIMIT

    def reset(self) -> None:
        """Forget the answers seen so far."""
        self._sums.clear()

    def update(
        self, counts: model.VersionCounts, old: judge.Record
    ) -> Alarm | None:
        """Add answers of the new version; return an alarm if it is worse.

        :param old: record of the old version, also from earlier windows
        """
        if not counts.requests or old.requests < judge.MIN_RECORD:
            return None
        alarm = self._add(
            judge.FAILURE,
            counts.failures,
            counts.requests,
            old.rate(old.failures),
        )
        for level in SLOW_LEVELS:
            bucket = latency.quantile_bucket(old.latency, level)
            found = self._add(
                f'p{level * 100:g}',
                latency.tail(counts.latency, latency.harm_bucket(bucket)),
                counts.requests,
                old.rate(latency.tail(old.latency, bucket)),
            )
            alarm = alarm or found
        return alarm

    def _add(
        self, statistic: str, bad: int, requests: int, rate: float
    ) -> Alarm | None:
        rate = min(max(rate, LEAST_RATE), 0.9)
        alarm = None
        for excess in EXCESSES:
            worse = rate + (1.0 - rate) * excess
            gain = bad * math.log(worse / rate) + (requests - bad) * math.log(
                (1.0 - worse) / (1.0 - rate)
            )
            # Sum, bad answers and answers since the sum was last zero.
            kept = self._sums.setdefault((statistic, excess), [0.0, 0, 0])
            kept[0] += gain
            kept[1] += bad
            kept[2] += requests
            if kept[0] <= 0.0:
                kept[:] = [0.0, 0, 0]
            elif kept[0] > self.limit and alarm is None:
                alarm = Alarm(statistic, kept[1] / kept[2], rate)
        return alarm
