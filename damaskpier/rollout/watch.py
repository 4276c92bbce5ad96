"""Notices that the new version gets worse than the record.

Where nearly all requests go to the new version, few are left to compare
with. The watch compares the new version with the record of the old one,
which can be misled by trouble common to both. It therefore decides nothing:
it asks for a check, for which both versions get half of the requests.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from damaskpier.rollout import baseline
from damaskpier.rollout import latency
from damaskpier.rollout import model

# Rates of bad answers for which a cumulative sum is kept, above the record.
# Of several alarms that of the largest rate tells best when trouble began.
EXCESSES = (0.8, 0.2, 0.03)
LIMIT = 7.0
SLOW_LEVELS = (0.75, 0.9, 0.98)
LEAST_RATE = 0.005
MOST_RATE = 0.9
# The old version shares the trouble if it is expected to have had at least
# this many bad answers and had this part of them.
SHARED_ANSWERS = 3.0
SHARED_PART = 0.5


class Alarm(NamedTuple):
    """What the watch has seen since the trouble seems to have begun.

    ``before`` is the number of requests on the new version between the last
    reset of the watch and that time, or None if it is not known.
    """

    statistic: str
    seen: float  # rate of bad answers
    expected: float
    before: int | None = None


class _Sum:
    def __init__(self) -> None:
        self.value = 0.0
        self.new = [0, 0]  # bad answers and answers
        self.old = [0, 0]
        self.before = 0

    def clear(self) -> None:
        self.before += self.new[1]
        self.value = 0.0
        self.new = [0, 0]
        self.old = [0, 0]

    def shared(self) -> bool:
        """Tell whether the old version has the same trouble."""
        expected = self.old[1] * self.new[0] / self.new[1]
        return (
            expected >= SHARED_ANSWERS
            and self.old[0] >= SHARED_PART * expected
        )


class Watch:
    """Cumulative sums of the bad answers of the new version on a route."""

    def __init__(self) -> None:
        self._sums: dict[tuple[str, float], _Sum] = {}

    def reset(self) -> None:
        """Forget the answers seen so far."""
        self._sums.clear()

    def update(
        self, cell: model.EvidenceCell, old: baseline.Baseline
    ) -> Alarm | None:
        """Add the answers of a cell; return an alarm if there is one.

        :param old: record of the old version, also from earlier windows
        """
        if not cell.new.requests or not old.has_enough_requests:
            return None
        alarm = self._add(
            baseline.FAILURE,
            (cell.new.failures, cell.new.requests),
            (cell.old.failures, cell.old.requests),
            old.rate(old.failures),
        )
        for level in SLOW_LEVELS:
            bucket = latency.quantile_bucket(old.latency, level)
            harm = latency.harm_bucket(bucket)
            found = self._add(
                f'p{level * 100:g}',
                (latency.tail(cell.new.latency, harm), cell.new.requests),
                (latency.tail(cell.old.latency, bucket), cell.old.requests),
                old.rate(latency.tail(old.latency, bucket)),
            )
            alarm = alarm or found
        return alarm

    def _add(
        self,
        statistic: str,
        new: tuple[int, int],
        old: tuple[int, int],
        rate: float,
    ) -> Alarm | None:
        rate = min(max(rate, LEAST_RATE), MOST_RATE)
        alarm = None
        for excess in EXCESSES:
            worse = rate + (1.0 - rate) * excess
            kept = self._sums.setdefault((statistic, excess), _Sum())
            kept.value += new[0] * math.log(worse / rate) + (
                new[1] - new[0]
            ) * math.log((1.0 - worse) / (1.0 - rate))
            for index in (0, 1):
                kept.new[index] += new[index]
                kept.old[index] += old[index]
            if kept.value <= 0.0 or (kept.value > LIMIT and kept.shared()):
                kept.clear()
            elif kept.value > LIMIT and alarm is None:
                alarm = Alarm(
                    statistic, kept.new[0] / kept.new[1], rate, kept.before
                )
        return alarm
