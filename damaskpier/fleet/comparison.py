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
ERROR_RATE = 0.001
# A version is bad only if its failures exceed those of the old one by this
# part of its requests, and by this many standard deviations more; less may
# be a fault of single workers. Where nearly all requests go to the new
# version, the judge has little to compare, and a larger excess decides.
MIN_EXCESS = 0.1
EXCESS_DEVIATIONS = 4.0
CLEAR_DEVIATIONS = 5.5
OLD_DEVIATIONS = 2.0
MIN_FAILURES = 4
# Or if its median latency is higher by this many buckets, 8 of which are a
# factor of two.
MIN_SLOWER_BUCKETS = 11
MIN_SLOW_REQUESTS = 12
# Outcomes that are compared as they are are those of these times: a fault
# that has just begun shows in the short one.
RECENT_S = (1.2, 4.0)


class Evidence(NamedTuple):
    """Recent outcomes of both versions on a route."""

    at: float
    old: rollout_model.VersionCounts
    new: rollout_model.VersionCounts


class RouteComparison:
    """Evidence on one route of a move."""

    def __init__(self, schedule: sequential_test.CapitalSchedule) -> None:
        self._record = baseline.Baseline()
        self._judge = sequential_test.RouteTest(schedule)
        self._staged: list[rollout_model.VersionCounts] = []
        self._staged_at = 0.0
        self._recent: collections.deque[Evidence] = collections.deque()

    def observe(
        self, cell: rollout_model.EvidenceCell, now: float, is_warm: bool
    ) -> None:
        """Take in counts."""
        self._recent.append(Evidence(now, cell.old, cell.new))
        while self._recent[0].at < now - RECENT_S[-1]:
            self._recent.popleft()
        # Bets on a cell must not depend on its outcomes.
        if (
            now >= self._staged_at + 1.0
            or not self._record.has_enough_requests
        ):
            self._staged_at = now
            for counts in self._staged:
                self._record.add(counts)
            self._staged.clear()
        if self._record.has_enough_requests and 0.0 < cell.share < 1.0:
            gains = self._record.log_ratios(cell, is_warm)
            self._judge.update(int(now), cell.share, '', gains)
        self._staged.append(cell.old)

    def fault(self, now: float) -> str:
        """Return what is wrong with the new version, '' if nothing is."""
        capital = self._judge.result().capital
        is_proved = capital >= 1.0 / ERROR_RATE
        deviations = EXCESS_DEVIATIONS if is_proved else CLEAR_DEVIATIONS
        for span_s in RECENT_S:
            old, new = self._recent_counts(now - span_s)
            fault = _more_failures(old, new, deviations)
            if not fault and is_proved:
                fault = _slower(old, new)
            if fault:
                return f'{fault}; capital {capital:.3g}'
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


def _more_failures(
    old: rollout_model.VersionCounts,
    new: rollout_model.VersionCounts,
    deviations: float,
) -> str:
    rate = new.failures / max(1, new.requests)
    usual = old.failures / max(1, old.requests)
    # Few requests of the old version leave its rate open.
    seen = (old.failures + 1) / (old.requests + 2)
    doubt = OLD_DEVIATIONS * math.sqrt(
        seen * (1.0 - seen) / (old.requests + 2)
    )
    harmless = seen + doubt + MIN_EXCESS
    if harmless >= 1.0:
        # The old version fails as well, or has shown too little.
        return ''
    margin = deviations * math.sqrt(
        harmless * (1.0 - harmless) / max(1, new.requests)
    )
    if new.failures < MIN_FAILURES or rate < harmless + margin:
        return ''
    return (
        f'{new.failures} of {new.requests} requests failed, '
        f'{usual:.1%} on the old version'
    )


def _slower(
    old: rollout_model.VersionCounts, new: rollout_model.VersionCounts
) -> str:
    if new.requests < MIN_SLOW_REQUESTS or not old.requests:
        return ''
    median = latency.quantile_bucket(new.latency, 0.5)
    before = latency.quantile_bucket(old.latency, 0.5)
    if median - before < MIN_SLOWER_BUCKETS:
        return ''
    return (
        f'median of {latency.lower_bound_ms(median):.0f} ms, '
        f'{latency.lower_bound_ms(before):.0f} ms on the old version'
    )
