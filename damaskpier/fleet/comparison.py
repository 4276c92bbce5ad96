"""Comparison of the versions of a move on one route.

The test of :mod:`damaskpier.rollout.sequential_test` decides whether the
versions differ. The comparison of recent outcomes decides whether the
difference is large enough to be a fault of the version and not of single
workers.
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

from damaskpier.rollout import baseline
from damaskpier.rollout import latency
from damaskpier.rollout import model as rollout_model
from damaskpier.rollout import sequential_test

# Probability that random variation takes a good version back.
FALSE_POSITIVE_RATE = 0.001
# The new version is taken back for failures only if its failure rate exceeds
# the old one's by MIN_EXCESS_RATIO and by EXCESS_DEVIATIONS standard
# deviations more: a smaller excess may come from single workers. Where nearly
# all requests go to the new version, the sequential test has little to
# compare; without its result an excess of CLEAR_EXCESS_DEVIATIONS is needed.
MIN_EXCESS_RATIO = 0.1
EXCESS_DEVIATIONS = 4.0
CLEAR_EXCESS_DEVIATIONS = 5.5
# Standard deviations that are added to the old version's failure rate.
OLD_RATE_DEVIATIONS = 2.0
MIN_FAILURE_COUNT = 4
# The new version is also taken back if its median latency is higher by this
# many buckets; 8 buckets are a factor of two.
MIN_SLOWDOWN_BUCKETS = 11
MIN_MEDIAN_REQUEST_COUNT = 12
# Failure rates and medians are compared over each of these windows. The short
# one reveals a fault that has just begun.
RECENT_WINDOWS_S = (1.2, 4.0)


class TimedCounts(NamedTuple):
    """Outcomes of both versions on a route, with their arrival time."""

    at: float
    old: rollout_model.VersionCounts
    new: rollout_model.VersionCounts


class RouteComparison:
    """Compares the versions of a move on one route.

    :param schedule: spread of the test's capital over the move
    """

    def __init__(self, schedule: sequential_test.CapitalSchedule) -> None:
        self._baseline = baseline.Baseline()
        self._test = sequential_test.RouteTest(schedule)
        self._pending_baseline: list[rollout_model.VersionCounts] = []
        self._baseline_updated_at = 0.0
        self._recent: collections.deque[TimedCounts] = collections.deque()

    def merge_cell(
        self, cell: rollout_model.EvidenceCell, now: float, is_warm: bool
    ) -> None:
        """Merge counts into the sequential test and the recent outcomes.

        :param now: time of the clock in seconds
        :param is_warm: whether latency is compared as well
        """
        self._recent.append(TimedCounts(now, cell.old, cell.new))
        while self._recent[0].at < now - RECENT_WINDOWS_S[-1]:
            self._recent.popleft()
        # The bets on a cell must not depend on its outcomes, so that its
        # counts of the old version enter the baseline only afterwards.
        if (
            now >= self._baseline_updated_at + 1.0
            or not self._baseline.has_enough_requests
        ):
            self._baseline_updated_at = now
            for counts in self._pending_baseline:
                self._baseline.add(counts)
            self._pending_baseline.clear()
        if self._baseline.has_enough_requests and 0.0 < cell.share < 1.0:
            gains = self._baseline.log_ratios(cell, is_warm)
            self._test.update(int(now), cell.share, '', gains)
        self._pending_baseline.append(cell.old)

    def find_regression(self, now: float) -> str:
        """Look for a regression of the new version.

        :param now: time of the clock in seconds
        :returns: description of the regression; empty if there is none
        """
        capital = self._test.result().capital
        is_significant = capital >= 1.0 / FALSE_POSITIVE_RATE
        deviations = (
            EXCESS_DEVIATIONS if is_significant else CLEAR_EXCESS_DEVIATIONS
        )
        for window_s in RECENT_WINDOWS_S:
            old, new = self._recent_counts(now - window_s)
            regression = _describe_failure_excess(old, new, deviations)
            if not regression and is_significant:
                regression = _describe_slowdown(old, new)
            if regression:
                return f'{regression}; capital {capital:.3g}'
        return ''

    def _recent_counts(
        self, since: float
    ) -> tuple[rollout_model.VersionCounts, rollout_model.VersionCounts]:
        old = new = rollout_model.VersionCounts()
        for counts in self._recent:
            if counts.at >= since:
                old = old.plus(counts.old)
                new = new.plus(counts.new)
        return old, new


def _describe_failure_excess(
    old: rollout_model.VersionCounts,
    new: rollout_model.VersionCounts,
    deviations: float,
) -> str:
    new_rate = new.failures / max(1, new.requests)
    old_rate = old.failures / max(1, old.requests)
    # With few requests, the old version's failure rate is uncertain.
    smoothed_old_rate = (old.failures + 1) / (old.requests + 2)
    uncertainty = OLD_RATE_DEVIATIONS * math.sqrt(
        smoothed_old_rate * (1.0 - smoothed_old_rate) / (old.requests + 2)
    )
    tolerated_rate = smoothed_old_rate + uncertainty + MIN_EXCESS_RATIO
    if tolerated_rate >= 1.0:
        # The old version fails as well, or has too few requests.
        return ''
    margin = deviations * math.sqrt(
        tolerated_rate * (1.0 - tolerated_rate) / max(1, new.requests)
    )
    if new.failures < MIN_FAILURE_COUNT or new_rate < tolerated_rate + margin:
        return ''
    return (
        f'{new.failures} of {new.requests} requests failed, '
        f'{old_rate:.1%} on the old version'
    )


def _describe_slowdown(
    old: rollout_model.VersionCounts, new: rollout_model.VersionCounts
) -> str:
    if new.requests < MIN_MEDIAN_REQUEST_COUNT or not old.requests:
        return ''
    new_median = latency.quantile_bucket(new.latency, 0.5)
    old_median = latency.quantile_bucket(old.latency, 0.5)
    if new_median - old_median < MIN_SLOWDOWN_BUCKETS:
        return ''
    return (
        f'median of {latency.lower_bound_ms(new_median):.0f} ms, '
        f'{latency.lower_bound_ms(old_median):.0f} ms on the old version'
    )
