"""Planned share of a new version over the time of a move.

The share grows by the same factor in equal times, from a small first share
to all of the traffic. A fault that shows at any moment then meets few
requests, and each step relies on a step of nearly the same size before it.
"""

from __future__ import annotations

import itertools
import math
import random
from typing import NamedTuple

# Parts of the time of a move. Until the baseline ends, only the old version
# is used, to learn its latency and the rate of requests. Requests that may
# not be repeated begin to grow later and end later.
BASELINE_PART = 0.04
BASELINE_MAX_S = 4.0
GROW_FROM = {True: 0.08, False: 0.2}  # by whether a route is repeatable
GROW_UNTIL = {True: 0.86, False: 0.9}
# Growth between both: the part of the time, and the logarithm of the share
# as a part of that of the first share. Shares from 0.1 to 0.4 compare the
# versions with the fewest requests on the new one and get the most time.
# Up to 30% of the time the share stays under 0.05.
CURVE = ((0.0, 1.0), (0.27, 0.68), (0.45, 0.42), (0.82, 0.2), (1.0, 0.0))
NOT_REPEATABLE_FACTOR = 0.5

# The first share gives at least this rate of requests on the new version
# where traffic is low, up to a share of LOW_TRAFFIC_SHARE, or more on a
# rare route, which adds at most RARE_PART to the share of the service. It
# gives at most
# HIGH_RATE for the whole service where traffic is high: more requests
# would meet a bad version without an earlier verdict.
LOW_RATE = 0.25  # requests/s
LOW_TRAFFIC_SHARE = 0.042
RARE_PART = 0.016
RARE_SHARE = 0.08
LOW_TRAFFIC_REQUESTS = 20
LOW_TRAFFIC_PART = 0.25
HIGH_RATE = 0.7  # requests/s
LEAST_SHARE = 0.0005


class Rates(NamedTuple):
    """Requests per second of a route and of its service; 0 if unknown."""

    route: float
    service: float


class Plan:
    """Planned shares of a route.

    :param start: start of the move, in s
    :param by: time by which the move has to be finished, in s
    :param repeatable: whether requests of the route may be repeated
    :param first_share: largest first share
    """

    def __init__(
        self, start: float, by: float, repeatable: bool, first_share: float
    ) -> None:
        self._start = start
        self._length = max(by - start, 1.0)
        self._repeatable = repeatable
        self._first = first_share
        if not repeatable:
            self._first *= NOT_REPEATABLE_FACTOR

    @property
    def baseline_s(self) -> float:
        """Return the time for which only the old version is used."""
        return min(BASELINE_PART * self._length, BASELINE_MAX_S)

    def share(self, now: float, rates: Rates) -> float:
        """Return the planned share at a time, 0..1."""
        passed = now - self._start
        if passed < self.baseline_s:
            return 0.0
        first = self._first_share(rates)
        part = passed / self._length
        grow_from = GROW_FROM[self._repeatable]
        if part < grow_from:
            return first
        growth = (part - grow_from) / (
            GROW_UNTIL[self._repeatable] - grow_from
        )
        if growth >= 1.0:
            return 1.0
        return max(first, self._first ** _curve(growth))

    def _first_share(self, rates: Rates) -> float:
        if rates.route <= 0:
            return self._first
        wanted = max(
            LOW_RATE, LOW_TRAFFIC_REQUESTS / (LOW_TRAFFIC_PART * self._length)
        )
        low = max(
            LOW_TRAFFIC_SHARE,
            min(RARE_PART * rates.service / rates.route, RARE_SHARE),
        )
        least = min(wanted / rates.route, low)
        if not self._repeatable:
            least *= NOT_REPEATABLE_FACTOR
        most = max(HIGH_RATE / rates.service, LEAST_SHARE)
        return max(least, min(self._first, most))


def _curve(growth: float) -> float:
    for (before, high), (after, low) in itertools.pairwise(CURVE):
        if growth <= after:
            return high + (low - high) * (growth - before) / (after - before)
    return 0.0


def pick_new(share: float, rng: random.Random) -> bool:
    """Choose the new version with a probability."""
    return share > 0.0 and rng.random() < share


def rounded(share: float) -> float:
    """Return a share as messages carry it, in millionths."""
    return math.floor(share * 1e6) / 1e6
