"""Comparison at equal shares after an alarm of the watch."""

from __future__ import annotations

from damaskpier.rollout import baseline
from damaskpier.rollout import latency
from damaskpier.rollout import model
from damaskpier.rollout import sequential_test
from damaskpier.rollout import watch

SHARE = 0.5
# Longest time of a check, as a part of the time of the move and in s.
MAX_PART = 0.1
LEAST_MAX_S = 6.0
MOST_MAX_S = 40.0
# Part of the error rate for all checks of a route; the n-th one gets the
# part 1 / (n (n + 1)) of it.
ERROR_PART = 0.25
# A check ends when the bets on most of the excess that was seen have lost
# all but this.
ACQUITTED = 0.1
EXCESS_PART = 0.75
MIN_REQUESTS = 8
# Part of the seen rate below which trouble counts as gone.
GONE_PART = 0.35


class Check:
    """One comparison at equal shares.

    :param alarm: alarm that led to the check
    :param number: number of the check on the route, from 1 on
    :param share: share before the check
    :param now: time at which it starts, in s
    :param length: time of the move, in s
    """

    def __init__(
        self,
        alarm: watch.Alarm,
        number: int,
        share: float,
        now: float,
        length: float,
    ) -> None:
        self.alarm = alarm
        self.number = number
        self.share = share
        self.until = now + min(max(MAX_PART * length, LEAST_MAX_S), MOST_MAX_S)
        self._index = baseline.STATISTICS.index(alarm.statistic)
        weights = [0.0] * len(baseline.STATISTICS)
        weights[self._index] = 1.0 / len(baseline.EXCESSES)
        self._process = sequential_test.Process(None, tuple(weights))
        self._new = [0, 0]  # bad answers and answers
        self._old = [0, 0]

    def update(
        self,
        cell: model.EvidenceCell,
        gains: baseline.Gains,
        old: baseline.Baseline,
    ) -> None:
        """Take in a cell of the time of the check."""
        if cell.share != SHARE:
            return
        self._process.update(cell.window, gains)
        if self.alarm.statistic == baseline.FAILURE:
            bad = cell.new.failures, cell.old.failures
        else:
            limits = old.thresholds()[self._index - 2]
            bad = (
                latency.tail(cell.new.latency, limits.new_bucket),
                latency.tail(cell.old.latency, limits.old_bucket),
            )
        for kept, count, number in zip(
            (self._new, self._old),
            bad,
            (cell.new.requests, cell.old.requests),
            strict=True,
        ):
            kept[0] += count
            kept[1] += number

    def convicts(self, error_rate: float) -> bool:
        """Tell whether the new version is worse."""
        part = ERROR_PART * error_rate / (self.number * (self.number + 1))
        return self._process.total >= 1.0 / part

    def result(self) -> sequential_test.Finding:
        """Return the capital of the check."""
        return self._process.result()

    def ended(self, now: float) -> bool:
        """Tell whether the check found nothing."""
        if now >= self.until:
            return True
        if min(self._new[1], self._old[1]) < MIN_REQUESTS:
            return False
        wanted = EXCESS_PART * (self.alarm.seen - self.alarm.expected)
        index = sum(excess <= wanted for excess in baseline.EXCESSES) - 1
        capital = self._process.capital[self._index][max(index, 0)]
        return capital < ACQUITTED

    def vanished(self) -> bool:
        """Tell whether both versions were fine during the check."""
        limit = max(GONE_PART * self.alarm.seen, 1.5 * self.alarm.expected)
        return all(
            kept[1] and kept[0] <= limit * kept[1]
            for kept in (self._new, self._old)
        )
