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

from damaskpier.fleet import comparison
from damaskpier.fleet import regression
from damaskpier.fleet import route_levels
from damaskpier.rollout import latency
from damaskpier.rollout import model as rollout_model
from damaskpier.rollout import sequential_test

# Latencies of slower routes are scaled down to this mean. Scaled up, small
# latencies would lose the margin below which a delay is no harm.
SCALED_MEAN_MS = 40.0
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
        for cell in cells:
            scaled, recent = self._adjust(cell)
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

    def find_regression(self, now: float, false_positive_rate: float) -> str:
        """Look for a regression of the new version.

        See :meth:`damaskpier.fleet.comparison.Comparison.find_regression`.
        """
        return self._comparison.find_regression(now, false_positive_rate)

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
