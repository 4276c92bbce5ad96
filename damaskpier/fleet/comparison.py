"""Judgement of a new version on one route of a move.

The sequential test of :mod:`damaskpier.rollout.sequential_test` tells whether
the versions differ; the comparison of recent outcomes, whether the difference
is that of a bad version and not of single workers.
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

from damaskpier.rollout import baseline
from damaskpier.rollout import latency
from damaskpier.rollout import model as rollout_model
from damaskpier.rollout import sequential_test

# Chance that noise takes a good version back.
FALSE_POSITIVE_RATE = 0.001
# A version is bad only if its failures exceed those of the old one by this
# part of its requests, and by this many standard deviations more; less may
# be a fault of single workers. Where nearly all requests go to the new
# version, the judge has little to compare, and a larger excess decides.
MIN_EXCESS_RATIO = 0.1
EXCESS_DEVIATIONS = 4.0
CLEAR_EXCESS_DEVIATIONS = 5.5
OLD_RATE_DEVIATIONS = 2.0
MIN_FAILURE_COUNT = 4
# Or if its median latency is higher by this many buckets, 8 of which are a
# factor of two.
MIN_SLOWDOWN_BUCKETS = 11
MIN_MEDIAN_REQUEST_COUNT = 12
# Outcomes that are compared as they are are those of these times: a fault
# that has just begun shows in the short one.
RECENT_WINDOWS_S = (1.2, 4.0)


class TimedCounts(NamedTuple):
    """Recent outcomes of both versions on a route."""

    at: float
    old: rollout_model.VersionCounts
    new: rollout_model.VersionCounts


class RouteComparison:
    """Evidence on one route of a move."""

    def __init__(self, schedule: sequential_test.CapitalSchedule) -> None:
        self._baseline = baseline.Baseline()
        self._test = sequential_test.RouteTest(schedule)
        self._pending_baseline: list[rollout_model.VersionCounts] = []
        self._baseline_updated_at = 0.0
        self._recent: collections.deque[TimedCounts] = collections.deque()

    def merge_cell(
        self, cell: rollout_model.EvidenceCell, now: float, is_warm: bool
    ) -> None:
        """Take in counts."""
        self._recent.append(TimedCounts(now, cell.old, cell.new))
        while self._recent[0].at < now - RECENT_WINDOWS_S[-1]:
            self._recent.popleft()
        # Bets on a cell must not depend on its outcomes.
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
        """Return what is wrong with the new version, '' if nothing is."""
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
        for evidence in self._recent:
            if evidence.at >= since:
                old = old.plus(evidence.old)
                new = new.plus(evidence.new)
        return old, new


def _describe_failure_excess(
    old: rollout_model.VersionCounts,
    new: rollout_model.VersionCounts,
    deviations: float,
) -> str:
    new_rate = new.failures / max(1, new.requests)
    old_rate = old.failures / max(1, old.requests)
    # Few requests of the old version leave its rate open.
    smoothed_old_rate = (old.failures + 1) / (old.requests + 2)
    uncertainty = OLD_RATE_DEVIATIONS * math.sqrt(
        smoothed_old_rate * (1.0 - smoothed_old_rate) / (old.requests + 2)
    )
    tolerated_rate = smoothed_old_rate + uncertainty + MIN_EXCESS_RATIO
    if tolerated_rate >= 1.0:
        # The old version fails as well, or has shown too little.
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
