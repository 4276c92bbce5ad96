"""Detects that the new version gets worse than the baseline (CUSUM).

Where nearly all requests go to the new version, few are left to compare
with. The detector compares the new version with the baseline of the old one.
A fault common to both versions can mislead it, so that an alarm is no
verdict: it starts a check, in which both versions get half of the requests.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from damaskpier.rollout import baseline
from damaskpier.rollout import latency
from damaskpier.rollout import model

# Excess rates of bad answers over the baseline, each with a cumulative sum of
# its own. Among several alarms, that of the largest excess gives the best
# estimate of when the fault began.
EXCESS_RATIOS = (0.8, 0.2, 0.03)
ALARM_SUM = 7.0
SLOW_LEVELS = (0.75, 0.9, 0.98)
MIN_RATE = 0.005
MAX_RATE = 0.9
# The old version has the same fault if at least this many bad answers are
# expected of it, at the rate of the new one, and it had this part of them.
SHARED_MIN_ANSWERS = 3.0
SHARED_RATIO = 0.5


class Alarm(NamedTuple):
    """Rates of bad answers since the estimated start of a fault.

    ``requests_before`` is the number of requests on the new version between
    the last reset of the detector and that start, or None if it is unknown.
    """

    statistic: str
    observed_rate: float
    expected_rate: float
    requests_before: int | None = None


class _CumulativeSum:
    def __init__(self) -> None:
        self.value = 0.0
        self.new = [0, 0]  # bad answers and answers
        self.old = [0, 0]
        self.requests_before = 0

    def clear(self) -> None:
        self.requests_before += self.new[1]
        self.value = 0.0
        self.new = [0, 0]
        self.old = [0, 0]

    def is_shared(self) -> bool:
        """Return whether the old version has the same fault."""
        expected = self.old[1] * self.new[0] / self.new[1]
        return (
            expected >= SHARED_MIN_ANSWERS
            and self.old[0] >= SHARED_RATIO * expected
        )


class CusumDetector:
    """Cumulative sums of the bad answers of the new version on a route."""

    def __init__(self) -> None:
        self._sums: dict[tuple[str, float], _CumulativeSum] = {}

    def reset(self) -> None:
        """Remove all sums."""
        self._sums.clear()

    def update(
        self, cell: model.EvidenceCell, old: baseline.Baseline
    ) -> Alarm | None:
        """Add a cell; return an alarm if a sum exceeds ALARM_SUM.

        :param old: baseline of the old version, also from earlier windows
        """
        if not cell.new.requests or not old.has_enough_requests:
            return None
        alarm = self._add(
            baseline.FAILURE,
            (cell.new.failures, cell.new.requests),
            (cell.old.failures, cell.old.requests),
            old.smoothed_rate(old.failures),
        )
        for level in SLOW_LEVELS:
            bucket = latency.quantile_bucket(old.latency, level)
            harm = latency.harm_bucket(bucket)
            found = self._add(
                f'p{level * 100:g}',
                (
                    latency.count_from(cell.new.latency, harm),
                    cell.new.requests,
                ),
                (
                    latency.count_from(cell.old.latency, bucket),
                    cell.old.requests,
                ),
                old.smoothed_rate(latency.count_from(old.latency, bucket)),
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
        rate = min(max(rate, MIN_RATE), MAX_RATE)
        alarm = None
        for excess in EXCESS_RATIOS:
            worse = rate + (1.0 - rate) * excess
            cusum = self._sums.setdefault(
                (statistic, excess), _CumulativeSum()
            )
            cusum.value += new[0] * math.log(worse / rate) + (
                new[1] - new[0]
            ) * math.log((1.0 - worse) / (1.0 - rate))
            for index in (0, 1):
                cusum.new[index] += new[index]
                cusum.old[index] += old[index]
            if cusum.value <= 0.0 or (
                cusum.value > ALARM_SUM and cusum.is_shared()
            ):
                cusum.clear()
            elif cusum.value > ALARM_SUM and alarm is None:
                alarm = Alarm(
                    statistic,
                    cusum.new[0] / cusum.new[1],
                    rate,
                    cusum.requests_before,
                )
        return alarm
