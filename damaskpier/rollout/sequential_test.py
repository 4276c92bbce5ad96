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

Latency as a whole is compared by the same rule, with the ratio of ``b`` to
``a`` growing with the rank of the latency; a new version's latency counts
as the slowest one of the old version that it harms.

Capital is spread over several values of ``b`` and over the time at which
the fault starts, so that the record of good times does not hide a late
fault; a spread of capital keeps the bound (Shin, Ramdas and Rinaldo,
"E-detectors", 2023).
"""

from __future__ import annotations

import math
from typing import NamedTuple

from damaskpier.rollout import baseline

# High shares have separate capital, so that a fault that shows only at a
# high share is not hidden by what is seen while the share is reduced.
HIGH_SHARE = 0.8
BAND_PARTS = (0.7, 0.3)
MAX_DOMAINS = 8

# Part of the capital that is bet from the first window on; the rest is for
# faults that start later, evenly over the move and then ever more slowly.
START_PART = 0.5
LATE_PART = 0.35
TAIL_PART = 0.15
TAIL_S = 60.0

MAX_LOG = 300.0
MAX_CAPITAL = 1e150

# Parts of the capital by statistic, for each excess or shift.
_PARTS = {baseline.FAILURE: 0.5, baseline.LATENCY: 0.15}
_SLOW_PART = 0.35 / len(baseline.SLOW_LEVELS)
WEIGHTS = tuple(
    _PARTS.get(name, _SLOW_PART) / len(baseline.EXCESSES)
    for name in baseline.STATISTICS
)


class Finding(NamedTuple):
    """Capital of the test with the statistic that won most."""

    capital: float = 0.0
    statistic: str = ''
    failure_domain: str = ''  # empty for all of them


class CapitalSchedule(NamedTuple):
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
    """Capital of the bets on one group of requests.

    :param schedule: spread of the capital; None to bet all of it at once
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
        self.capital = [[0.0] * len(baseline.EXCESSES) for _ in weights]
        self.total = 0.0
        self.best = 0.0
        self.winner = 0

    def update(self, window: int, gains: baseline.Gains) -> None:
        """Settle the bets on a cell.

        :param window: window of the cell
        :param gains: logarithms of the gains; statistics at the end that
            are missing are not judged
        """
        placed = 1.0
        if self._schedule is not None:
            placed = self._schedule.placed(window)
        fresh = max(placed - self._placed, 0.0)
        self._placed = max(placed, self._placed)
        for capital, logs in zip(self.capital, gains, strict=False):
            for index, gain in enumerate(logs):
                value = (capital[index] + fresh) * math.exp(
                    gain if gain < MAX_LOG else MAX_LOG
                )
                capital[index] = value if value < MAX_CAPITAL else MAX_CAPITAL
        parts = [
            weight * sum(capital)
            for weight, capital in zip(
                self._weights, self.capital, strict=True
            )
        ]
        self.total = sum(parts)
        self.best = max(parts)
        self.winner = parts.index(self.best)

    def result(self) -> Finding:
        """Return the capital of the process."""
        return Finding(self.total, baseline.STATISTICS[self.winner])


class Bands:
    """Processes of one group of requests by band of the share."""

    def __init__(self, schedule: CapitalSchedule) -> None:
        self._processes = [Process(schedule) for _ in BAND_PARTS]

    def update(self, window: int, share: float, gains: baseline.Gains) -> None:
        """Settle the bets on a cell with a share."""
        self._processes[share > HIGH_SHARE].update(window, gains)

    def result(self) -> Finding:
        """Return the capital over both bands."""
        best = max(self._processes, key=lambda process: process.best)
        total = sum(
            part * process.total
            for part, process in zip(BAND_PARTS, self._processes, strict=True)
        )
        return Finding(total, baseline.STATISTICS[best.winner])


class RouteTest:
    """Compares the versions on one route, as a whole and by domain.

    :param schedule: spread of the capital over time
    """

    def __init__(self, schedule: CapitalSchedule) -> None:
        self._schedule = schedule
        self._whole = Bands(schedule)
        self._domains: dict[str, Bands] = {}

    def update(
        self,
        window: int,
        share: float,
        failure_domain: str,
        gains: baseline.Gains,
    ) -> None:
        """Settle the bets on a cell."""
        self._whole.update(window, share, gains)
        bands = self._domains.get(failure_domain)
        if bands is None:
            if len(self._domains) >= MAX_DOMAINS:
                return
            bands = self._domains[failure_domain] = Bands(self._schedule)
        bands.update(window, share, gains)

    def result(self) -> Finding:
        """Return the capital over all groups of requests."""
        best = self._whole.result()
        best = best._replace(capital=0.5 * best.capital)
        total = best.capital
        for domain, bands in self._domains.items():
            found = bands.result()
            part = 0.5 * found.capital / MAX_DOMAINS
            total += part
            if part > best.capital:
                best = Finding(part, found.statistic, domain)
        return best._replace(capital=total)
