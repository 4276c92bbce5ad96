"""Comparison of both versions at equal shares after an alarm."""

from __future__ import annotations

from damaskpier.rollout import baseline
from damaskpier.rollout import latency
from damaskpier.rollout import model
from damaskpier.rollout import sequential_test
from damaskpier.rollout import watch

SHARE = 0.5
# Longest time of a check, as a part of the time of the move, with its bounds.
TIMEOUT_RATIO = 0.1
MIN_TIMEOUT_S = 6.0
MAX_TIMEOUT_S = 40.0
# Part of the error rate for all checks of a route; the n-th one gets the
# part 1 / (n (n + 1)) of it.
ERROR_RATE_RATIO = 0.25
# A check ends without a result when the capital on EXCESS_RATIO of the
# observed excess has fallen below CLEARED_CAPITAL.
CLEARED_CAPITAL = 0.1
EXCESS_RATIO = 0.75
MIN_REQUESTS = 8
# Part of the observed rate below which the fault counts as vanished.
VANISHED_RATIO = 0.35


class EqualShareCheck:
    """One comparison at equal shares.

    :param alarm: alarm that led to the check
    :param number: number of the check on the route, from 1 on
    :param share: share before the check, 0..1
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
        self.until = now + min(
            max(TIMEOUT_RATIO * length, MIN_TIMEOUT_S), MAX_TIMEOUT_S
        )
        self._index = baseline.STATISTICS.index(alarm.statistic)
        weights = [0.0] * len(baseline.STATISTICS)
        weights[self._index] = 1.0 / len(baseline.EXCESS_RATIOS)
        self._process = sequential_test.CapitalProcess(None, tuple(weights))
        self._new = [0, 0]  # bad answers and answers
        self._old = [0, 0]

    def update(
        self,
        cell: model.EvidenceCell,
        log_ratios: baseline.LogRatios,
        old: baseline.Baseline,
    ) -> None:
        """Add a cell to the comparison; one with another share is ignored.

        :param log_ratios: logarithms of the likelihood ratios of the cell
        :param old: baseline of the old version
        """
        if cell.share != SHARE:
            return
        self._process.update(cell.window, log_ratios)
        if self.alarm.statistic == baseline.FAILURE:
            bad = cell.new.failures, cell.old.failures
        else:
            limits = old.slow_thresholds()[self._index - 2]
            bad = (
                latency.count_from(cell.new.latency, limits.new_bucket),
                latency.count_from(cell.old.latency, limits.old_bucket),
            )
        for counts, count, number in zip(
            (self._new, self._old),
            bad,
            (cell.new.requests, cell.old.requests),
            strict=True,
        ):
            counts[0] += count
            counts[1] += number

    def is_worse(self, error_rate: float) -> bool:
        """Return whether the check found the new version worse.

        :param error_rate: error rate of the whole move
        """
        ratio = (
            ERROR_RATE_RATIO * error_rate / (self.number * (self.number + 1))
        )
        return self._process.total >= 1.0 / ratio

    def result(self) -> sequential_test.SequentialTestResult:
        """Return the capital of the check."""
        return self._process.result()

    def has_ended(self, now: float) -> bool:
        """Return whether the check timed out or has cleared the version."""
        if now >= self.until:
            return True
        if min(self._new[1], self._old[1]) < MIN_REQUESTS:
            return False
        excess = EXCESS_RATIO * (
            self.alarm.observed_rate - self.alarm.expected_rate
        )
        index = sum(ratio <= excess for ratio in baseline.EXCESS_RATIOS) - 1
        capital = self._process.capital[self._index][max(index, 0)]
        return capital < CLEARED_CAPITAL

    def has_vanished(self) -> bool:
        """Return whether the fault was missing on both versions."""
        limit = max(
            VANISHED_RATIO * self.alarm.observed_rate,
            1.5 * self.alarm.expected_rate,
        )
        return all(
            counts[1] and counts[0] <= limit * counts[1]
            for counts in (self._new, self._old)
        )
