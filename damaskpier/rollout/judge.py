"""Sequential comparison of two versions by betting.

Each request is assigned to the new version at random, with a known
probability: the share. If the versions behave alike, the outcome of a
request tells nothing about the version that it was assigned to. The test
bets against this. For an outcome with probability ``a`` on the old and
``b`` on the new version, Bayes' rule gives the probability of the new
version after the outcome; the capital is multiplied by this probability
divided by the share. Under the hypothesis that the new version has the
outcome no more often than the old one, the capital is a non-negative
supermartingale, and by Ville's inequality it ever exceeds ``1 / alpha``
with a probability of at most ``alpha``, however often it is looked at
(Shafer, "Testing by betting", JRSS A 2021; Waudby-Smith and Ramdas,
"Estimating means of bounded random variables by betting", JRSS B 2024;
for two samples: Turner, Ly and Gruenwald, "Generic E-variables for exact
sequential k-sample tests", 2024). Trouble common to both versions changes
``a`` and ``b`` alike and wins nothing.

Capital is spread over several values of ``b`` and over the time at which
the fault starts, so that the record of good times does not hide a late
fault; a spread of capital keeps the bound (Shin, Ramdas and Rinaldo,
"E-detectors", 2023).
"""

from __future__ import annotations

import math
from typing import NamedTuple

from damaskpier.rollout import latency
from damaskpier.rollout import model

# Outcomes: failure, and slower than a quantile of the old version's record
# by more than the harm threshold. The levels above 0.9 serve routes with a
# heavy tail, where twice a low quantile is still an ordinary latency.
FAILURE = 'failures'
SLOW_LEVELS = (0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.998)
STATISTICS = (FAILURE, *(f'p{level * 100:g}' for level in SLOW_LEVELS))

# Parts of the requests without the outcome on the old version that have it
# on the new one, for which capital is set aside. The smallest is below the
# 3% of failures that have to be found.
EXCESSES = (0.02, 0.06, 0.2, 0.5, 0.95)
# Parts of the capital by statistic and excess.
WEIGHTS = tuple(
    (0.5 if name == FAILURE else 0.5 / len(SLOW_LEVELS)) / len(EXCESSES)
    for name in STATISTICS
)

# High shares have separate capital, so that a fault that shows only at a
# high share is not hidden by what is seen while the share is reduced.
HIGH_SHARE = 0.8
BANDS = 2

# Part of the capital that is bet from the first window on; the rest is for
# faults that start later, evenly over the move and then ever more slowly.
START_PART = 0.4
LATE_PART = 0.4
TAIL_PART = 0.2
TAIL_S = 60.0

RECORD_LIMIT = 600.0
MIN_RECORD = 20.0
MAX_LOG = 300.0
MAX_CAPITAL = 1e150
MAX_DOMAINS = 8


class Record:
    """Recent outcomes of a version on a route, with old ones fading."""

    def __init__(self, limit: float = RECORD_LIMIT) -> None:
        self._limit = limit
        self.requests = 0.0
        self.failures = 0.0
        self.latency: dict[int, float] = {}
        self._thresholds: list[Threshold] | None = None

    def add(self, counts: model.VersionCounts) -> None:
        """Add outcomes and fade the earlier ones."""
        if counts.requests:
            self._thresholds = None
        self.requests += counts.requests
        self.failures += counts.failures
        for bucket, count in counts.latency.items():
            self.latency[bucket] = self.latency.get(bucket, 0.0) + count
        if self.requests > self._limit:
            factor = self._limit / self.requests
            self.requests *= factor
            self.failures *= factor
            self.latency = {
                bucket: count * factor
                for bucket, count in self.latency.items()
                if count * factor > 0.01
            }

    def rate(self, count: float) -> float:
        """Return the smoothed frequency of a count of this record."""
        return (count + 0.5) / (self.requests + 1.0)

    def thresholds(self) -> list[Threshold]:
        """Return the limits of slow answers."""
        if self._thresholds is None:
            self._thresholds = [
                self._threshold(level) for level in SLOW_LEVELS
            ]
        return self._thresholds

    def _threshold(self, level: float) -> Threshold:
        bucket = latency.quantile_bucket(self.latency, level)
        rate = self.rate(latency.tail(self.latency, bucket))
        return Threshold(bucket, latency.harm_bucket(bucket), min(rate, 0.95))


class Threshold(NamedTuple):
    """Latency limits of both versions and the old version's frequency."""

    old_bucket: int
    new_bucket: int
    rate: float


class Finding(NamedTuple):
    """Capital of the test with the statistic that won most."""

    capital: float
    statistic: str = ''
    failure_domain: str = ''  # empty for all of them


class Schedule(NamedTuple):
    """Spread of the capital over the time at which a fault starts."""

    start: float
    by: float

    def placed(self, now: float) -> float:
        """Return the part of the capital that is bet until a time."""
        length = max(self.by - self.start, 1.0)
        passed = min(max(now - self.start, 0.0) / length, 1.0)
        after = max(now - self.by, 0.0)
        return (
            START_PART
            + LATE_PART * passed
            + TAIL_PART * after / (TAIL_S + after)
        )


class Process:
    """Capital of the bets on one group of requests."""

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule
        self._placed = 0.0
        self._capital = [[0.0] * len(EXCESSES) for _ in STATISTICS]
        self.total = 0.0
        self.best = 0.0
        self.winner = 0

    def update(
        self, window: int, share: float, outcomes: list[Outcomes]
    ) -> None:
        """Settle the bets on the outcomes of a cell."""
        placed = self._schedule.placed(window)
        fresh = max(placed - self._placed, 0.0)
        self._placed = max(placed, self._placed)
        for capital, outcome in zip(self._capital, outcomes, strict=False):
            _settle(capital, fresh, share, outcome)
        parts = [
            weight * sum(capital)
            for weight, capital in zip(WEIGHTS, self._capital, strict=True)
        ]
        self.total = sum(parts)
        self.best = max(parts)
        self.winner = parts.index(self.best)


class Outcomes(NamedTuple):
    """Counts of one statistic in a cell, and the old version's rate."""

    rate: float
    old_with: int
    old_without: int
    new_with: int
    new_without: int


def _settle(
    capital: list[float], fresh: float, share: float, outcome: Outcomes
) -> None:
    rate, old_with, old_without, new_with, new_without = outcome
    for index, excess in enumerate(EXCESSES):
        new_rate = rate + (1.0 - rate) * excess
        with_rate = share * new_rate + (1.0 - share) * rate
        gain = 0.0
        if new_with:
            gain += new_with * math.log(new_rate / with_rate)
        if old_with:
            gain += old_with * math.log(rate / with_rate)
        if new_without:
            gain += new_without * math.log(
                (1.0 - new_rate) / (1.0 - with_rate)
            )
        if old_without:
            gain += old_without * math.log((1.0 - rate) / (1.0 - with_rate))
        value = (capital[index] + fresh) * math.exp(
            max(min(gain, MAX_LOG), -MAX_LOG)
        )
        capital[index] = min(value, MAX_CAPITAL)


class RouteJudge:
    """Compares the versions on one route.

    :param schedule: spread of the capital over time
    """

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule
        self._processes: dict[tuple[str, int], Process] = {}
        self._domains: list[str] = []

    def update(
        self, cell: model.EvidenceCell, old: Record, with_slow: bool = True
    ) -> None:
        """Settle the bets on a cell.

        :param old: record of the old version before the cell
        :param with_slow: whether slow answers are judged
        """
        if not 0.0 < cell.share < 1.0 or old.requests < MIN_RECORD:
            return
        outcomes = [_failures(cell, old)]
        if with_slow:
            outcomes += [
                _slow(cell, threshold) for threshold in old.thresholds()
            ]
        band = int(cell.share > HIGH_SHARE)
        if cell.failure_domain not in self._domains:
            self._domains.append(cell.failure_domain)
        for domain in ('', cell.failure_domain):
            process = self._processes.get((domain, band))
            if process is None:
                process = Process(self._schedule)
                self._processes[domain, band] = process
            process.update(cell.window, cell.share, outcomes)

    def finding(self) -> Finding:
        """Return the capital over all groups of requests."""
        total = best = 0.0
        winner = 0
        where = ''
        for (domain, _), process in self._processes.items():
            weight = self._weight(domain)
            total += weight * process.total
            if weight * process.best > best:
                best = weight * process.best
                winner, where = process.winner, domain
        return Finding(total, STATISTICS[winner], where)

    def _weight(self, domain: str) -> float:
        if not domain:
            return 0.5 / BANDS
        if self._domains.index(domain) >= MAX_DOMAINS:
            return 0.0
        return 0.5 / MAX_DOMAINS / BANDS


def _failures(cell: model.EvidenceCell, old: Record) -> Outcomes:
    return Outcomes(
        min(old.rate(old.failures), 0.95),
        cell.old.failures,
        cell.old.requests - cell.old.failures,
        cell.new.failures,
        cell.new.requests - cell.new.failures,
    )


def _slow(cell: model.EvidenceCell, threshold: Threshold) -> Outcomes:
    old_with = latency.tail(cell.old.latency, threshold.old_bucket)
    new_with = latency.tail(cell.new.latency, threshold.new_bucket)
    return Outcomes(
        threshold.rate,
        old_with,
        cell.old.requests - old_with,
        new_with,
        cell.new.requests - new_with,
    )
