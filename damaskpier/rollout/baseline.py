"""Baseline of the old version, and likelihood ratios against it."""

from __future__ import annotations

import math
import statistics
from typing import NamedTuple

from damaskpier.rollout import latency
from damaskpier.rollout import model

# Outcomes that are compared: failure, latency as a whole, and slower than a
# quantile of the old version's baseline by more than the harm threshold. The
# levels above 0.9 serve routes with a heavy tail, where twice a low quantile
# is still an ordinary latency.
FAILURE = 'failures'
LATENCY = 'latency'
SLOW_LEVELS = (0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.998)
STATISTICS = (
    FAILURE,
    LATENCY,
    *(f'p{level * 100:g}' for level in SLOW_LEVELS),
)

# Alternatives that the test has capital for: the part of the requests
# without the outcome on the old version that have it on the new one. The
# smallest is below the 3% of failures that have to be found.
EXCESS_RATIOS = (0.02, 0.06, 0.2, 0.5, 0.95)
# The same for latency as a whole: shifts of the normal scores of its ranks.
SCORE_SHIFTS = (0.25, 0.5, 1.0, 1.8, 3.0)

# Number of requests that the baseline remembers, and the least from which
# likelihood ratios are computed.
MAX_REQUESTS = 800.0
MIN_REQUESTS = 20.0
MAX_RATE = 0.95
# Added to each count, so that an outcome that is missing in the baseline is
# possible.
PRIOR_COUNT = 0.25

_NORMAL = statistics.NormalDist()

LogRatios = list[list[float]]  # by statistic and excess or shift


class SlowThreshold(NamedTuple):
    """Buckets from which on an answer is slow, by version.

    ``rate`` is the frequency of slow answers on the old version.
    """

    old_bucket: int
    new_bucket: int
    rate: float


class OutcomeLogRatios(NamedTuple):
    """Logarithms of the likelihood ratio by version and outcome.

    ``*_with`` is for requests that have the outcome, ``*_without`` for the
    others.
    """

    old_with: float
    old_without: float
    new_with: float
    new_without: float


class Baseline:
    """Recent outcomes of a version on a route, with decaying counts.

    :param limit: number of requests that the counts are scaled down to
    """

    def __init__(self, limit: float = MAX_REQUESTS) -> None:
        self._limit = limit
        self.requests = 0.0
        self.failures = 0.0
        self.latency: dict[int, float] = {}
        # Caches, cleared when outcomes are added.
        self._thresholds: list[SlowThreshold] | None = None
        self._outcome_ratios: dict[float, list[list[OutcomeLogRatios]]] = {}
        self._scores: dict[int, float] = {}
        self._bucket_ratios: dict[
            tuple[float, int], list[tuple[float, float]]
        ] = {}

    def add(self, counts: model.VersionCounts) -> None:
        """Add outcomes; scale all counts down above the limit."""
        if not counts.requests:
            return
        self._thresholds = None
        self._outcome_ratios.clear()
        self._scores.clear()
        self._bucket_ratios.clear()
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
        """Return whether likelihood ratios can be computed."""
        return self.requests >= MIN_REQUESTS

    def smoothed_rate(self, count: float) -> float:
        """Return the smoothed frequency of a count of this baseline."""
        return min((count + PRIOR_COUNT) / (self.requests + 1.0), MAX_RATE)

    def slow_thresholds(self) -> list[SlowThreshold]:
        """Return the thresholds of slow answers, one per slow level."""
        if self._thresholds is None:
            self._thresholds = [
                self._slow_threshold(level) for level in SLOW_LEVELS
            ]
        return self._thresholds

    def log_ratios(
        self, cell: model.EvidenceCell, with_latency: bool = True
    ) -> LogRatios:
        """Return the logarithms of the likelihood ratios of a cell.

        :param cell: cell with a share between 0 and 1
        :param with_latency: whether latency is compared as well as failures
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
        if with_latency:
            for limits in self.slow_thresholds():
                old_with = latency.count_from(old.latency, limits.old_bucket)
                new_with = latency.count_from(new.latency, limits.new_bucket)
                outcomes.append(
                    (
                        old_with,
                        old.requests - old_with,
                        new_with,
                        new.requests - new_with,
                    )
                )
        log_ratios = [
            [
                ratio[0] * a + ratio[1] * b + ratio[2] * c + ratio[3] * d
                for ratio in ratios
            ]
            for ratios, (a, b, c, d) in zip(
                self._outcome_log_ratios(cell.share), outcomes, strict=False
            )
        ]
        if with_latency:
            log_ratios.insert(1, self._latency_log_ratios(cell))
        return log_ratios

    def _slow_threshold(self, level: float) -> SlowThreshold:
        bucket = latency.quantile_bucket(self.latency, level)
        return SlowThreshold(
            bucket,
            latency.harm_bucket(bucket),
            self.smoothed_rate(latency.count_from(self.latency, bucket)),
        )

    def _outcome_log_ratios(
        self, share: float
    ) -> list[list[OutcomeLogRatios]]:
        cached = self._outcome_ratios.get(share)
        if cached is None:
            rates = [self.smoothed_rate(self.failures)]
            rates += [limits.rate for limits in self.slow_thresholds()]
            cached = self._outcome_ratios[share] = [
                [
                    _excess_log_ratios(share, rate, excess)
                    for excess in EXCESS_RATIOS
                ]
                for rate in rates
            ]
        return cached

    def _latency_log_ratios(self, cell: model.EvidenceCell) -> list[float]:
        total = [0.0] * len(SCORE_SHIFTS)
        for bucket, count in cell.old.latency.items():
            for index, ratio in enumerate(
                self._bucket_log_ratios(cell.share, bucket)
            ):
                total[index] += count * ratio[0]
        for bucket, count in cell.new.latency.items():
            unharmed = latency.unharmed_bucket(bucket)
            for index, ratio in enumerate(
                self._bucket_log_ratios(cell.share, unharmed)
            ):
                total[index] += count * ratio[1]
        return total

    def _bucket_log_ratios(
        self, share: float, bucket: int
    ) -> list[tuple[float, float]]:
        key = share, bucket
        cached = self._bucket_ratios.get(key)
        if cached is None:
            score = self._score(bucket)
            cached = self._bucket_ratios[key] = [
                _shift_log_ratios(share, score, shift)
                for shift in SCORE_SHIFTS
            ]
        return cached

    def _score(self, bucket: int) -> float:
        # Normal score of the middle rank of a bucket. The test is valid only
        # if the score grows with the bucket, as this one does.
        score = self._scores.get(bucket)
        if score is None:
            above = latency.count_from(self.latency, bucket + 1)
            within = self.latency.get(bucket, 0.0)
            rank = self.requests - above - 0.5 * within
            score = _NORMAL.inv_cdf((rank + 0.5) / (self.requests + 1.0))
            self._scores[bucket] = score
        return score


def _excess_log_ratios(
    share: float, rate: float, excess: float
) -> OutcomeLogRatios:
    new_rate = rate + (1.0 - rate) * excess
    mixed_rate = share * new_rate + (1.0 - share) * rate
    return OutcomeLogRatios(
        math.log(rate / mixed_rate),
        math.log((1.0 - rate) / (1.0 - mixed_rate)),
        math.log(new_rate / mixed_rate),
        math.log((1.0 - new_rate) / (1.0 - mixed_rate)),
    )


def _shift_log_ratios(
    share: float, score: float, shift: float
) -> tuple[float, float]:
    ratio = math.exp(min(shift * score - 0.5 * shift * shift, 20.0))
    mixed = share * ratio + 1.0 - share
    return -math.log(mixed), math.log(ratio / mixed)
