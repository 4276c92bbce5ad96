"""Sequential comparison of two versions (testing by betting).

Each request is assigned to the new version at random, with a known
probability: the share. If the versions behave alike, the outcome of a
request is independent of the version that it was assigned to. The test
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
sequential k-sample tests", 2024). Faults common to both versions change
``a`` and ``b`` alike and do not increase the capital.

Latency as a whole is compared by the same rule, with the ratio of ``b`` to
``a`` growing with the rank of the latency; a latency of the new version
ranks as the slowest latency of the old version that it harms.

Capital is spread over several values of ``b`` and over the time at which
the fault starts, so that a long period without a fault does not hide a late
one; a spread of capital keeps the bound (Shin, Ramdas and Rinaldo,
"E-detectors", 2023).
"""

from __future__ import annotations

import math
from typing import NamedTuple

from damaskpier.rollout import baseline

# Requests at high shares have separate capital, so that a fault that occurs
# only at a high share is not hidden by the outcomes recorded while the share
# is reduced.
HIGH_SHARE = 0.8
BAND_CAPITAL_RATIOS = (0.7, 0.3)
MAX_DOMAINS = 8

# Part of the capital that is bet from the first window on. The rest is for
# faults that start later: LATE_RATIO is added evenly over the time of the
# move, TAIL_RATIO ever more slowly after it.
START_RATIO = 0.5
LATE_RATIO = 0.35
TAIL_RATIO = 0.15
TAIL_S = 60.0  # half of TAIL_RATIO is bet after this time

MAX_LOG_RATIO = 300.0
MAX_CAPITAL = 1e150

# Parts of the capital by statistic, for each excess or shift.
_CAPITAL_RATIOS = {baseline.FAILURE: 0.5, baseline.LATENCY: 0.15}
_SLOW_CAPITAL_RATIO = 0.35 / len(baseline.SLOW_LEVELS)
WEIGHTS = tuple(
    _CAPITAL_RATIOS.get(name, _SLOW_CAPITAL_RATIO)
    / len(baseline.EXCESS_RATIOS)
    for name in baseline.STATISTICS
)


class SequentialTestResult(NamedTuple):
    """Capital of the test, with the statistic that contributes most."""

    capital: float = 0.0
    statistic: str = ''
    failure_domain: str = ''  # empty for all of them


class CapitalSchedule(NamedTuple):
    """Spread of the capital over the time at which a fault starts.

    Both fields are times in seconds: ``start`` is the start of the move,
    ``by`` the time by which it has to be finished.
    """

    start: float
    by: float

    def placed(self, now: float) -> float:
        """Return the part of the capital that is bet until a time, 0..1."""
        length = max(self.by - self.start, 1.0)
        passed = min(max(now - self.start, 0.0) / length, 1.0)
        after = max(now - self.by, 0.0)
        return (
            START_RATIO
            + LATE_RATIO * passed
            + TAIL_RATIO * after / (TAIL_S + after)
        )


class CapitalProcess:
    """Capital of the test on one group of requests.

    :param schedule: spread of the capital over time; None to bet all of it
        at once
    :param weights: parts of the capital by statistic
    """

    def __init__(
        self,
        schedule: CapitalSchedule | None,
        weights: tuple[float, ...] = WEIGHTS,
    ) -> None:
        self._schedule = schedule
        self._weights = weights
        self._placed = 0.0
        self.capital = [[0.0] * len(baseline.EXCESS_RATIOS) for _ in weights]
        self.total = 0.0
        self.largest = 0.0
        self.largest_index = 0

    def update(self, window: int, log_ratios: baseline.LogRatios) -> None:
        """Multiply the capital by the likelihood ratios of a cell.

        :param window: window of the cell, in seconds
        :param log_ratios: logarithms of the ratios; statistics that are
            missing at the end keep their capital
        """
        placed = 1.0
        if self._schedule is not None:
            placed = self._schedule.placed(window)
        newly_placed = max(placed - self._placed, 0.0)
        self._placed = max(placed, self._placed)
        for capital, logs in zip(self.capital, log_ratios, strict=False):
            for index, log_ratio in enumerate(logs):
                value = (capital[index] + newly_placed) * math.exp(
                    log_ratio if log_ratio < MAX_LOG_RATIO else MAX_LOG_RATIO
                )
                capital[index] = value if value < MAX_CAPITAL else MAX_CAPITAL
        weighted = [
            weight * sum(capital)
            for weight, capital in zip(
                self._weights, self.capital, strict=True
            )
        ]
        self.total = sum(weighted)
        self.largest = max(weighted)
        self.largest_index = weighted.index(self.largest)

    def result(self) -> SequentialTestResult:
        """Return the total capital and the statistic with most of it."""
        return SequentialTestResult(
            self.total, baseline.STATISTICS[self.largest_index]
        )


class ShareBands:
    """Capital processes of one group of requests by band of the share."""

    def __init__(self, schedule: CapitalSchedule) -> None:
        self._processes = [
            CapitalProcess(schedule) for _ in BAND_CAPITAL_RATIOS
        ]

    def update(
        self, window: int, share: float, log_ratios: baseline.LogRatios
    ) -> None:
        """Update the capital of the band of a share."""
        self._processes[share > HIGH_SHARE].update(window, log_ratios)

    def result(self) -> SequentialTestResult:
        """Return the capital over both bands."""
        strongest = max(self._processes, key=lambda process: process.largest)
        total = sum(
            ratio * process.total
            for ratio, process in zip(
                BAND_CAPITAL_RATIOS, self._processes, strict=True
            )
        )
        return SequentialTestResult(
            total, baseline.STATISTICS[strongest.largest_index]
        )


class RouteTest:
    """Compares the versions on one route, as a whole and by domain.

    Half of the capital is for the route as a whole, the other half is split
    over up to MAX_DOMAINS failure domains.

    :param schedule: spread of the capital over time
    """

    def __init__(self, schedule: CapitalSchedule) -> None:
        self._schedule = schedule
        self._whole = ShareBands(schedule)
        self._domains: dict[str, ShareBands] = {}

    def update(
        self,
        window: int,
        share: float,
        failure_domain: str,
        log_ratios: baseline.LogRatios,
    ) -> None:
        """Update the capital with the likelihood ratios of a cell.

        :param window: window of the cell, in seconds
        :param share: share of the new version in the cell, 0..1
        """
        self._whole.update(window, share, log_ratios)
        bands = self._domains.get(failure_domain)
        if bands is None:
            if len(self._domains) >= MAX_DOMAINS:
                return
            bands = self._domains[failure_domain] = ShareBands(self._schedule)
        bands.update(window, share, log_ratios)

    def result(self) -> SequentialTestResult:
        """Return the capital over all groups of requests."""
        best = self._whole.result()
        best = best._replace(capital=0.5 * best.capital)
        total = best.capital
        for domain, bands in self._domains.items():
            found = bands.result()
            weighted = 0.5 * found.capital / MAX_DOMAINS
            total += weighted
            if weighted > best.capital:
                best = SequentialTestResult(weighted, found.statistic, domain)
        return best._replace(capital=total)
