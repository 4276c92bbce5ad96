"""Comparison of the versions of a move over all routes of a service.

A fault of a version may show on no route alone if there are many routes with
few requests each. Each request is assigned to a version at random, whatever
its route, so that the sequential test holds for requests of all routes
together. The requests of a short time may have come from other routes with
one version than with the other. Their failures and latencies are therefore
compared with the level of their route, which earlier outcomes of the old
version show.
"""

from __future__ import annotations

from collections.abc import Iterable

from damaskpier.fleet import canaries
from damaskpier.fleet import comparison
from damaskpier.fleet import regression
from damaskpier.fleet import route_levels
from damaskpier.fleet import version_outcomes
from damaskpier.rollout import latency
from damaskpier.rollout import model as rollout_model
from damaskpier.rollout import sequential_test

# Latencies of slower routes are scaled down to this mean. Scaled up, small
# latencies would lose the margin below which a delay is no harm.
SCALED_MEAN_MS = 40.0
# The failures of a route that usually fails more often say nothing.
MAX_USUAL_FAILURE_RATE = 0.3
_SCALED_MEAN = latency.bucket_of(SCALED_MEAN_MS)


class ServiceComparison:
    """Compares the versions over all routes of a service.

    :param schedule: spread of the test's capital over the move
    """

    def __init__(self, schedule: sequential_test.CapitalSchedule) -> None:
        self._comparison = comparison.Comparison(
            schedule, has_long_window=True
        )
        self._levels = route_levels.RouteLevels()
        # Outcomes of the old version in the latest cells.
        self.latest_at_small_shares = rollout_model.VersionCounts()

    def merge(
        self,
        cells: Iterable[rollout_model.EvidenceCell],
        now: float,
        is_warm: bool,
    ) -> None:
        """Merge counts of the routes.

        :param now: time of the clock in seconds
        :param is_warm: whether latency is compared as well
        """
        by_share: dict[
            float,
            tuple[rollout_model.EvidenceCell, regression.Counts],
        ] = {}
        self.latest_at_small_shares = rollout_model.VersionCounts()
        for cell in cells:
            scaled, recent = self._adjust(cell)
            comparable = self._without_failing_route(cell.route, recent)
            self._comparison.merge_worker(scaled, comparable, is_warm)
            if cell.share <= canaries.MAX_SHARE:
                self.latest_at_small_shares = self.latest_at_small_shares.plus(
                    comparable.old
                )
            known = by_share.get(cell.share)
            if known is not None:
                scaled = known[0].plus(scaled)
                recent = known[1].plus(recent)
            by_share[cell.share] = scaled, recent
        for scaled, recent in by_share.values():
            self._comparison.merge_cell(scaled, recent, now, is_warm)
        # As in a comparison, the levels must not depend on the outcomes that
        # are compared with them.
        for cell in cells:
            self._levels.add(cell.route, cell.old)

    def find_fault(
        self, false_positive_rate: float
    ) -> version_outcomes.Finding:
        """Look for a fault of the new version at small shares.

        See :meth:`damaskpier.fleet.comparison.Comparison.find_fault`.
        """
        return self._comparison.find_fault(false_positive_rate)

    def find_excess_failures(self, false_positive_rate: float) -> str:
        """Look for more failures at large shares than were usual before.

        See :meth:`comparison.Comparison.find_excess_failures`.
        """
        return self._comparison.find_excess_failures(false_positive_rate)

    def find_regression(self, now: float, false_positive_rate: float) -> str:
        """Look for a regression of the new version.

        See :meth:`damaskpier.fleet.comparison.Comparison.find_regression`.
        """
        return self._comparison.find_regression(now, false_positive_rate)

    def totals_at_large_shares(
        self,
    ) -> tuple[rollout_model.VersionCounts, rollout_model.VersionCounts]:
        """Return the outcomes of the old and of the new version.

        Failures on routes that usually fail are left out.
        """
        return self._comparison.totals_at_large_shares()

    def _without_failing_route(
        self, route: str, counts: regression.Counts
    ) -> regression.Counts:
        """Return counts without the failures of a route that usually fails.

        They would hide those of the other routes.
        """
        if self._levels.failure_rate(route) <= MAX_USUAL_FAILURE_RATE:
            return counts
        return regression.Counts(
            counts.old._replace(failures=0), counts.new._replace(failures=0)
        )

    def _adjust(
        self, cell: rollout_model.EvidenceCell
    ) -> tuple[rollout_model.EvidenceCell, regression.Counts]:
        """Return a cell with scaled latencies, and its recent outcomes."""
        level = round(self._levels.latency_bucket(cell.route))
        buckets = max(0, level - _SCALED_MEAN)
        rate = self._levels.failure_rate(cell.route)
        scaled = cell._replace(
            old=_quicker(cell.old, buckets), new=_quicker(cell.new, buckets)
        )
        return scaled, regression.Counts(
            scaled.old,
            scaled.new,
            cell.old.requests * rate,
            cell.new.requests * rate,
        )


def _quicker(
    counts: rollout_model.VersionCounts, buckets: int
) -> rollout_model.VersionCounts:
    if not buckets:
        return counts
    scaled: dict[int, int] = {}
    for bucket, count in counts.latency.items():
        # The first bucket has no lower bound.
        bucket = max(0, bucket - buckets)
        scaled[bucket] = scaled.get(bucket, 0) + count
    return counts._replace(latency=scaled)
