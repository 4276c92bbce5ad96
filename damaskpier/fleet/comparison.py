"""Comparison of the versions of a move on one route or in one service.

The test of :mod:`damaskpier.rollout.sequential_test` decides whether the
versions differ. :mod:`damaskpier.fleet.regression` decides by the recent
outcomes whether the difference is large enough to be a fault of the version
and not of single workers.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

from damaskpier.fleet import canaries
from damaskpier.fleet import regression
from damaskpier.fleet import version_outcomes
from damaskpier.rollout import baseline
from damaskpier.rollout import model as rollout_model
from damaskpier.rollout import sequential_test

# Failure rates and medians are compared over each of these windows. The short
# one reveals a fault that has just begun.
RECENT_WINDOWS_S = (1.2, 4.0)
# Window for few requests. The share and the load may have changed in it, so
# that only a significant difference counts.
LONG_WINDOW_S = 12.0


class _TimedCounts(NamedTuple):
    """Outcomes of the requests with one share, and when they arrived."""

    at: float
    share: float
    counts: regression.Counts


class Comparison:
    """Compares the versions of a move on a group of requests.

    :param schedule: spread of the test's capital over the move
    :param has_long_window: whether ``LONG_WINDOW_S`` is compared, too
    """

    def __init__(
        self,
        schedule: sequential_test.CapitalSchedule,
        *,
        has_long_window: bool = False,
    ) -> None:
        self._long_windows_s = (LONG_WINDOW_S,) if has_long_window else ()
        self._kept_s = max(*RECENT_WINDOWS_S, *self._long_windows_s)
        self.baseline = baseline.Baseline()
        self._test = sequential_test.RouteTest(schedule)
        self._pending_baseline: list[rollout_model.VersionCounts] = []
        self._baseline_updated_at = 0.0
        self._recent: collections.deque[_TimedCounts] = collections.deque()
        self._outcomes = version_outcomes.VersionOutcomes()
        self._at_large_shares = version_outcomes.VersionOutcomes()

    def merge_cell(
        self,
        cell: rollout_model.EvidenceCell,
        recent: regression.Counts,
        now: float,
        is_warm: bool,
    ) -> None:
        """Merge counts into the sequential test and the recent outcomes.

        :param recent: the counts of the cell as the recent outcomes
        :param now: time of the clock in seconds
        :param is_warm: whether latency is compared as well
        """
        self._recent.append(_TimedCounts(now, cell.share, recent))
        while self._recent[0].at < now - self._kept_s:
            self._recent.popleft()
        # The bets on a cell must not depend on its outcomes, so that its
        # counts of the old version enter the baseline only afterwards.
        if (
            now >= self._baseline_updated_at + 1.0
            or not self.baseline.has_enough_requests
        ):
            self._baseline_updated_at = now
            for counts in self._pending_baseline:
                self.baseline.add(counts)
            self._pending_baseline.clear()
        if self.baseline.has_enough_requests and 0.0 < cell.share < 1.0:
            gains = self.baseline.log_ratios(cell, is_warm)
            self._test.update(int(now), cell.share, '', gains)
        self._pending_baseline.append(cell.old)

    def merge_worker(
        self,
        cell: rollout_model.EvidenceCell,
        counts: regression.Counts,
        is_warm: bool,
    ) -> None:
        """Merge counts into the outcomes by worker.

        :param counts: the counts of the cell as the recent outcomes
        :param is_warm: whether latency is compared as well
        """
        for outcomes in (self._outcomes, self._at_large_shares):
            outcomes.add_usual(counts.old, counts.old_expected, is_warm)
        is_small = cell.share <= canaries.MAX_SHARE
        outcomes = self._outcomes if is_small else self._at_large_shares
        outcomes.add(
            cell.share,
            cell.worker,
            counts.old,
            counts.new,
            counts.new_expected,
            is_warm,
        )

    def find_fault(
        self, false_positive_rate: float
    ) -> version_outcomes.Finding:
        """Look for a fault of the new version at small shares.

        :param false_positive_rate: probability that random variation alone
            looks like one
        """
        return self._outcomes.find(false_positive_rate)

    def find_excess_failures(self, false_positive_rate: float) -> str:
        """Look for more failures at large shares than were usual before.

        See :meth:`version_outcomes.VersionOutcomes.find_excess_failures`.
        """
        return self._at_large_shares.find_excess_failures(false_positive_rate)

    def find_regression(self, now: float, false_positive_rate: float) -> str:
        """Look for a regression of the new version in the recent outcomes.

        :param now: time of the clock in seconds
        :param false_positive_rate: probability that random variation alone
            makes the difference of the versions significant
        :returns: description of the regression; empty if there is none
        """
        capital = self._test.result().capital
        is_significant = capital >= 1.0 / false_positive_rate
        windows_s = RECENT_WINDOWS_S
        if is_significant:
            windows_s += self._long_windows_s
        elif not self._has_failures():
            # Adding up the latencies of all routes would take long.
            return ''
        for window_s in windows_s:
            counts = self._recent_counts(now - window_s)
            found = ''
            if self._at_large_shares.are_failures_spread():
                found = regression.find_failures(counts, is_significant)
            if not found and is_significant:
                found = regression.find_slowdown(counts)
            if found:
                return f'{found}; capital {capital:.3g}'
        return ''

    def totals_at_large_shares(
        self,
    ) -> tuple[rollout_model.VersionCounts, rollout_model.VersionCounts]:
        """Return the outcomes of the old and of the new version."""
        return self._at_large_shares.totals()

    def _has_failures(self) -> bool:
        """Return whether there may be enough failures for a finding."""
        failures = sum(item.counts.new.failures for item in self._recent)
        return failures >= regression.MIN_FAILURE_COUNT

    def _recent_counts(self, since: float) -> dict[float, regression.Counts]:
        """Return the outcomes since a time, by share."""
        total: dict[float, regression.Counts] = {}
        for at, share, counts in self._recent:
            if at >= since:
                if (
                    share <= canaries.MAX_SHARE
                    and self._outcomes.are_workers_known
                ):
                    # Few workers got them, maybe a single bad one.
                    counts = counts._replace(
                        new=rollout_model.VersionCounts(), new_expected=0.0
                    )
                known = total.get(share)
                total[share] = counts if known is None else known.plus(counts)
        return total
