"""Record of the old version, from which the odds of the bets are taken."""

from __future__ import annotations

import math
import statistics
from typing import NamedTuple

from damaskpier.rollout import latency
from damaskpier.rollout import model

# Outcomes on which bets are placed: failure, latency as a whole, and slower
# than a quantile of the old version's record by more than the harm
# threshold. The levels above 0.9 serve routes with a heavy tail, where
# twice a low quantile is still an ordinary latency.
FAILURE = 'failures'
LATENCY = 'latency'
SLOW_LEVELS = (0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.998)
STATISTICS = (
    FAILURE,
    LATENCY,
    *(f'p{level * 100:g}' for level in SLOW_LEVELS),
)

# Parts of the requests without the outcome on the old version that have it
# on the new one, for which capital is set aside. The smallest is below the
# 3% of failures that have to be found.
EXCESSES = (0.02, 0.06, 0.2, 0.5, 0.95)
# The same for latency as a whole: shifts of the normal scores of its ranks.
SHIFTS = (0.25, 0.5, 1.0, 1.8, 3.0)

# Number of requests that the record remembers, and the least from which
# odds are taken.
LIMIT = 800.0
MIN_REQUESTS = 20.0
MOST_RATE = 0.95
# Added to each count: an outcome that the record does not have is possible.
PRIOR_COUNT = 0.25

_NORMAL = statistics.NormalDist()

Gains = list[list[float]]  # logarithm, by statistic and excess or shift


class Threshold(NamedTuple):
    """Latency limits of both versions and the old version's frequency."""

    old_bucket: int
    new_bucket: int
    rate: float


class Odds(NamedTuple):
    """Logarithm of the gain of a bet by version and outcome."""

    old_with: float
    old_without: float
    new_with: float
    new_without: float


class Baseline:
    """Recent outcomes of a version on a route, with old ones fading."""

    def __init__(self, limit: float = LIMIT) -> None:
        self._limit = limit
        self.requests = 0.0
        self.failures = 0.0
        self.latency: dict[int, float] = {}
        self._thresholds: list[Threshold] | None = None
        self._odds: dict[float, list[list[Odds]]] = {}
        self._scores: dict[int, float] = {}
        self._latency_gains: dict[
            tuple[float, int], list[tuple[float, float]]
        ] = {}

    def add(self, counts: model.VersionCounts) -> None:
        """Add outcomes and fade the earlier ones."""
        if not counts.requests:
            return
        self._thresholds = None
        self._odds.clear()
        self._scores.clear()
        self._latency_gains.clear()
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

    @property
    def has_enough_requests(self) -> bool:
        """Tell whether odds can be taken from the record."""
        return self.requests >= MIN_REQUESTS

    def rate(self, count: float) -> float:
        """Return the smoothed frequency of a count of this record."""
        return min((count + PRIOR_COUNT) / (self.requests + 1.0), MOST_RATE)

    def thresholds(self) -> list[Threshold]:
        """Return the limits of slow answers."""
        if self._thresholds is None:
            self._thresholds = [
                self._threshold(level) for level in SLOW_LEVELS
            ]
        return self._thresholds

    def log_ratios(
        self, cell: model.EvidenceCell, with_slow: bool = True
    ) -> Gains:
        """Return the logarithms of the gains of all bets on a cell.

        :param cell: cell with a share between 0 and 1
        :param with_slow: whether slow answers are judged
        """
        old, new = cell.old, cell.new
        outcomes = [
            (
                old.failures,
                old.requests - old.failures,
                new.failures,
                new.requests - new.failures,
            )
        ]
        if with_slow:
            for limits in self.thresholds():
                old_with = latency.tail(old.latency, limits.old_bucket)
                new_with = latency.tail(new.latency, limits.new_bucket)
                outcomes.append(
                    (
                        old_with,
                        old.requests - old_with,
                        new_with,
                        new.requests - new_with,
                    )
                )
        gains = [
            [bet[0] * a + bet[1] * b + bet[2] * c + bet[3] * d for bet in bets]
            for bets, (a, b, c, d) in zip(
                self._odds_at(cell.share), outcomes, strict=False
            )
        ]
        if with_slow:
            gains.insert(1, self._latency_gain(cell))
        return gains

    def _threshold(self, level: float) -> Threshold:
        bucket = latency.quantile_bucket(self.latency, level)
        return Threshold(
            bucket,
            latency.harm_bucket(bucket),
            self.rate(latency.tail(self.latency, bucket)),
        )

    def _odds_at(self, share: float) -> list[list[Odds]]:
        known = self._odds.get(share)
        if known is None:
            rates = [self.rate(self.failures)]
            rates += [limits.rate for limits in self.thresholds()]
            known = self._odds[share] = [
                [_odds(share, rate, excess) for excess in EXCESSES]
                for rate in rates
            ]
        return known

    def _latency_gain(self, cell: model.EvidenceCell) -> list[float]:
        total = [0.0] * len(SHIFTS)
        for bucket, count in cell.old.latency.items():
            for index, gain in enumerate(self._bucket(cell.share, bucket)):
                total[index] += count * gain[0]
        for bucket, count in cell.new.latency.items():
            mild = latency.unharmed_bucket(bucket)
            for index, gain in enumerate(self._bucket(cell.share, mild)):
                total[index] += count * gain[1]
        return total

    def _bucket(self, share: float, bucket: int) -> list[tuple[float, float]]:
        key = share, bucket
        known = self._latency_gains.get(key)
        if known is None:
            score = self._score(bucket)
            known = self._latency_gains[key] = [
                _shift_gain(share, score, shift) for shift in SHIFTS
            ]
        return known

    def _score(self, bucket: int) -> float:
        # Normal score of the middle rank of a bucket. It grows with the
        # bucket, as the validity of the bet needs.
        score = self._scores.get(bucket)
        if score is None:
            above = latency.tail(self.latency, bucket + 1)
            within = self.latency.get(bucket, 0.0)
            rank = self.requests - above - 0.5 * within
            score = _NORMAL.inv_cdf((rank + 0.5) / (self.requests + 1.0))
            self._scores[bucket] = score
        return score


def _odds(share: float, rate: float, excess: float) -> Odds:
    new_rate = rate + (1.0 - rate) * excess
    with_rate = share * new_rate + (1.0 - share) * rate
    return Odds(
        math.log(rate / with_rate),
        math.log((1.0 - rate) / (1.0 - with_rate)),
        math.log(new_rate / with_rate),
        math.log((1.0 - new_rate) / (1.0 - with_rate)),
    )


def _shift_gain(
    share: float, score: float, shift: float
) -> tuple[float, float]:
    ratio = math.exp(min(shift * score - 0.5 * shift * shift, 20.0))
    mixed = share * ratio + 1.0 - share
    return -math.log(mixed), math.log(ratio / mixed)
