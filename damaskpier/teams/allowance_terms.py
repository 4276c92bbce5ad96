"""Limits of teams, and how much of the tolerance is used for what."""

from __future__ import annotations

from typing import NamedTuple

# Parts of the tolerance (over and slack) by which a team may exceed its burst.
# A small team needs them for the usual variation of its demand. The rest
# covers tokens that nodes hold, requests that wait on their way to a worker,
# and the time until nodes learn that a team has reached its limit.
OVER_PART_FOR_BURST = 0.2
SLACK_PART_FOR_BURST = 0.4
# Part of the slack that an owner begins with when it does not know what was
# used before. Without it, most requests of small teams were refused then.
SLACK_PART_AT_START = 0.25


class Bounds(NamedTuple):
    """Bounds of the deployment: settings ``allowance_*``."""

    window_s: float = 5.0
    over: float = 0.1
    slack: float = 20.0

    def max_requests(self, rate_per_s: float, burst: float) -> float:
        """Return how many requests may arrive in a window."""
        allowance = rate_per_s * self.window_s + burst
        return allowance * (1 + self.over) + self.slack


class Terms(NamedTuple):
    """Limit of one team.

    ``depth`` is the size of its token bucket, ``start`` the number of tokens
    that an owner begins with that does not know the recent use.
    """

    rate_per_s: float
    depth: float
    start: float


def make_terms(bounds: Bounds, rate_per_s: float, burst: float) -> Terms:
    """Return the terms of a team with a rate above 0."""
    allowance = rate_per_s * bounds.window_s + burst
    return Terms(
        rate_per_s,
        burst
        + OVER_PART_FOR_BURST * bounds.over * allowance
        + SLACK_PART_FOR_BURST * bounds.slack,
        SLACK_PART_AT_START * bounds.slack,
    )
