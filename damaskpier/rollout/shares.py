"""Planned share of a new version over the time of a move.

The share grows by the same factor in equal times, from a small first share
to all of the traffic. A fault that starts at any moment then affects few
requests, and each step follows a step of nearly the same size.
"""

from __future__ import annotations

import itertools
import math
import random
from typing import NamedTuple

# Parts of the time of a move. During the baseline all requests go to the old
# version, to measure its latency and the rate of requests. For requests that
# may not be repeated the growth begins and ends later.
BASELINE_RATIO = 0.04
BASELINE_MAX_S = 4.0
GROW_FROM_RATIO = {True: 0.08, False: 0.2}  # by whether repeatable
GROW_UNTIL_RATIO = {True: 0.86, False: 0.9}
# Growth between the two: parts of that time, each with the logarithm of the
# share as a part of the logarithm of the first share. Shares from 0.1 to 0.4
# compare the versions with the fewest requests on the new one and get the
# most time. Up to 30% of the time the share stays under 0.05.
GROWTH_CURVE = (
    (0.0, 1.0),
    (0.27, 0.68),
    (0.45, 0.42),
    (0.82, 0.2),
    (1.0, 0.0),
)
NOT_REPEATABLE_FACTOR = 0.5

# Where traffic is low, the first share is raised, so that the new version
# gets at least MIN_NEW_PER_S, and FIRST_REQUESTS in the part
# FIRST_REQUESTS_RATIO of the time. The raised share is at most
# MAX_RAISED_SHARE; on a rare route it can be larger, up to MAX_RARE_SHARE,
# if that adds at most MAX_RARE_SERVICE_SHARE to the share of the service.
MIN_NEW_PER_S = 0.25
MAX_RAISED_SHARE = 0.042
MAX_RARE_SERVICE_SHARE = 0.016
MAX_RARE_SHARE = 0.08
FIRST_REQUESTS = 20
FIRST_REQUESTS_RATIO = 0.25
# Where traffic is high, the first share gives the new version of the whole
# service at most MAX_NEW_PER_S: more requests would meet a bad version
# without an earlier verdict.
MAX_NEW_PER_S = 0.7
MIN_FIRST_SHARE = 0.0005


class Rates(NamedTuple):
    """Requests per second of a route and of its service; 0 if unknown."""

    route: float
    service: float


class SharePlan:
    """Planned shares of a route.

    :param start: start of the move, in s
    :param by: time by which the move has to be finished, in s
    :param repeatable: whether requests of the route may be repeated
    :param first_share: largest first share, 0..1
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
        """Return the time for which only the old version is used, in s."""
        return min(BASELINE_RATIO * self._length, BASELINE_MAX_S)

    def share(self, now: float, rates: Rates) -> float:
        """Return the planned share at a time, 0..1."""
        passed = now - self._start
        if passed < self.baseline_s:
            return 0.0
        first = self._first_share(rates)
        part = passed / self._length
        grow_from = GROW_FROM_RATIO[self._repeatable]
        if part < grow_from:
            return first
        growth = (part - grow_from) / (
            GROW_UNTIL_RATIO[self._repeatable] - grow_from
        )
        if growth >= 1.0:
            return 1.0
        return max(first, self._first ** _curve(growth))

    def _first_share(self, rates: Rates) -> float:
        if rates.route <= 0:
            return self._first
        new_per_s = max(
            MIN_NEW_PER_S,
            FIRST_REQUESTS / (FIRST_REQUESTS_RATIO * self._length),
        )
        max_raised = max(
            MAX_RAISED_SHARE,
            min(
                MAX_RARE_SERVICE_SHARE * rates.service / rates.route,
                MAX_RARE_SHARE,
            ),
        )
        lowest = min(new_per_s / rates.route, max_raised)
        if not self._repeatable:
            lowest *= NOT_REPEATABLE_FACTOR
        highest = max(MAX_NEW_PER_S / rates.service, MIN_FIRST_SHARE)
        return max(lowest, min(self._first, highest))


def _curve(growth: float) -> float:
    for (before, high), (after, low) in itertools.pairwise(GROWTH_CURVE):
        if growth <= after:
            return high + (low - high) * (growth - before) / (after - before)
    return 0.0


def choose_new(share: float, rng: random.Random) -> bool:
    """Choose the new version with the probability of its share."""
    return share > 0.0 and rng.random() < share


def round_to_ppm(share: float) -> float:
    """Round a share down to millionths, the precision of messages."""
    return math.floor(share * 1e6) / 1e6
