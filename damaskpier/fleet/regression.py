"""Size of the difference between the recent outcomes of two versions.

The share changes during a move, and the load may change with it. The requests
of the new version are therefore compared with those of the old one that were
sent at the same share as well as with all recent ones.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple

from damaskpier.rollout import latency
from damaskpier.rollout import model as rollout_model

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


class Counts(NamedTuple):
    """Outcomes of both versions.

    ``old_expected`` and ``new_expected`` are the failures that the requests of
    each version would have if the versions differed only in their routes; both
    are 0 for the requests of one route.
    """

    old: rollout_model.VersionCounts = rollout_model.VersionCounts()
    new: rollout_model.VersionCounts = rollout_model.VersionCounts()
    old_expected: float = 0.0
    new_expected: float = 0.0

    def plus(self, other: Counts) -> Counts:
        """Return the sum of two counts; neither of them changes."""
        return Counts(
            self.old.plus(other.old),
            self.new.plus(other.new),
            self.old_expected + other.old_expected,
            self.new_expected + other.new_expected,
        )


def find_failures(
    by_share: Mapping[float, Counts], is_significant: bool
) -> str:
    """Look for more failures with the new version.

    :param by_share: recent outcomes by share
    :param is_significant: whether the versions differ significantly
    :returns: description; empty if there are not clearly more failures
    """
    total = _total(by_share.values())
    old, new = total.old, total.new
    new_rate = new.failures / max(1, new.requests)
    old_rate = old.failures / max(1, old.requests)
    # With few requests, the old version's failure rate is uncertain.
    smoothed_old_rate = (old.failures + 1) / (old.requests + 2)
    uncertainty = OLD_RATE_DEVIATIONS * math.sqrt(
        smoothed_old_rate * (1.0 - smoothed_old_rate) / (old.requests + 2)
    )
    rate_of_new_routes = total.new_expected / max(1, new.requests)
    rate_of_old_routes = total.old_expected / max(1, old.requests)
    comparable_rate = _rate_at_same_shares(
        by_share.values(),
        smoothed_old_rate + rate_of_new_routes - rate_of_old_routes,
    )
    tolerated_rate = comparable_rate + uncertainty + MIN_EXCESS_RATIO
    if tolerated_rate >= 1.0:
        # The old version fails as well, or has too few requests.
        return ''
    deviations = (
        EXCESS_DEVIATIONS if is_significant else CLEAR_EXCESS_DEVIATIONS
    )
    margin = deviations * math.sqrt(
        tolerated_rate * (1.0 - tolerated_rate) / max(1, new.requests)
    )
    if new.failures < MIN_FAILURE_COUNT or new_rate < tolerated_rate + margin:
        return ''
    return (
        f'{new.failures} of {new.requests} requests failed, '
        f'{old_rate:.1%} on the old version'
    )


def find_slowdown(by_share: Mapping[float, Counts]) -> str:
    """Look for a higher median latency with the new version.

    :param by_share: recent outcomes by share
    :returns: description; empty if the median is not clearly higher
    """
    total = _total(by_share.values())
    old, new = total.old, total.new
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


def _total(counts: Iterable[Counts]) -> Counts:
    total = Counts()
    for item in counts:
        total = total.plus(item)
    return total


def _rate_at_same_shares(
    counts: Iterable[Counts], recent_rate: float
) -> float:
    """Return the old version's failure rate for the requests of the new one.

    :param recent_rate: rate of all recent requests, which counts where the
        old version had few requests or fewer failures at the same share
    """
    recent_rate = min(max(recent_rate, 0.0), 1.0)
    expected = 0.0
    requests = 0
    for item in counts:
        # A single failure may be random.
        rate = max(0, item.old.failures - 1) / (item.old.requests + 1)
        expected += item.new.requests * max(rate, recent_rate)
        requests += item.new.requests
    return expected / requests if requests else recent_rate
