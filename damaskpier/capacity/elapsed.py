"""Time that a caller has already waited when its request arrives.

A caller that was refused returns with less time left than at first. Its
objective counts from its first request.
"""

from __future__ import annotations

import math

# Requests whose time left differs by no more than this from the longest one
# are first requests; callers state it in whole milliseconds.
TOLERANCE_S = 0.002
# The longest time left of a route is that of this period and the one before.
PERIOD_S = 10.0
# Part of the requests that must have the longest time left. Where fewer have
# it, callers differ in the time that they allow, and nothing is known. In an
# overload, each caller returns twice at most, so that a third are first ones.
MIN_FIRST_RATIO = 0.2
MIN_REQUESTS = 10


class _Period:
    """Longest time left of the requests of a period."""

    __slots__ = ('begin', 'longest_s', 'requests', 'first')

    def __init__(self, begin: float) -> None:
        self.begin = begin
        self.longest_s = 0.0
        self.requests = 0
        self.first = 0

    def add(self, left_s: float) -> None:
        """Count a request."""
        self.requests += 1
        if left_s > self.longest_s + TOLERANCE_S:
            self.longest_s = left_s
            self.first = 0
        self.first += left_s >= self.longest_s - TOLERANCE_S


class RouteTimes:
    """Times that the requests of one route have left at their arrival."""

    def __init__(self) -> None:
        self._current = _Period(-math.inf)
        self._last = self._current

    def elapsed_s(self, left_s: float, now: float) -> float:
        """Record a request and return for how long its caller has waited.

        :param left_s: time until the deadline of the request in seconds
        :returns: 0 for first requests, and where it is not known
        """
        if now - self._current.begin > PERIOD_S:
            self._last = self._current
            self._current = _Period(now)
        self._current.add(left_s)
        known = max(self._current, self._last, key=_longest_s)
        if (
            known.requests < MIN_REQUESTS
            or known.first < MIN_FIRST_RATIO * known.requests
        ):
            return 0.0
        elapsed_s = known.longest_s - left_s
        return elapsed_s if elapsed_s > TOLERANCE_S else 0.0


def _longest_s(period: _Period) -> float:
    return period.longest_s
