"""The owner's account of one team: a token bucket."""

from __future__ import annotations

import math
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpier.teams import allowance_terms

# A team is limited below the first part of its bucket, and no longer above the
# second one. In between it stays as it is. A team that sends less than a
# request per second needs no more than it could send, at seven times its usual
# rate, until the nodes learn that it is limited.
LIMITED_PART = 0.3
UNLIMITED_PART = 0.7
LIMITED_TOKENS = 1.0
LIMITED_S = 5.0
UNLIMITED_S = 8.0
# A limited team stays so for this time after a node got fewer tokens than it
# asked for. Without it, a team that sent a little more than its rate changed
# its state, and logged that, every second (21 times in 21 s instead of 5).
SHORTAGE_S = 2.0
# A node that wants tokens counts in their division for this time. It asks
# again within a quarter of a second while it lacks any.
WANT_S = 0.4
# Lower bound of the time after which a node asks again: with 88 nodes, the
# owner then gets about 300 messages a second while a large team is limited.
MIN_RETRY_S = 0.25
MAX_RETRY_S = 5.0
# Requests that did not run are credited up to this part of the rate, and up
# to this many seconds of the rate and requests at once. If all were credited,
# the requests that a service refused while it was full would exceed the bound
# as soon as it has capacity again.
CREDIT_PART = 0.4
CREDIT_BURST_S = 0.1
CREDIT_BURST = 3.0


class Offer(NamedTuple):
    """Tokens for a node, and after which time it may ask for more."""

    tokens: int
    retry_s: float


class Account:
    """Token bucket of a team at its owner.

    The level is negative after requests that were admitted without a token
    exceeded it; nothing is granted until the rate has made up for them.

    :param level: tokens at the beginning
    :param is_limited: whether requests need tokens
    :param now: time in seconds
    """

    def __init__(self, level: float, *, is_limited: bool, now: float) -> None:
        self.level = level
        self.is_limited = is_limited
        self.changed_at = now
        self._short_at = float('-inf')
        self._credit = 0.0
        # What nodes want, and when they said so.
        self._wants: dict[str, tuple[int, float]] = {}

    def advance(
        self, terms: allowance_terms.Terms, part: float, now: float
    ) -> None:
        """Fill the bucket up to a time.

        :param part: part of the team's limit that this owner may grant
        """
        elapsed_s = max(0.0, now - self.changed_at)
        self.changed_at = max(self.changed_at, now)
        rate = terms.rate_per_s
        earned = part * rate * elapsed_s
        depth = part * terms.depth
        self.level = min(depth, self.level + earned)
        self._credit = min(
            CREDIT_BURST + CREDIT_BURST_S * rate,
            self._credit + CREDIT_PART * earned,
        )
        lower = min(LIMITED_PART * depth, LIMITED_TOKENS + LIMITED_S * rate)
        upper = min(
            UNLIMITED_PART * depth, LIMITED_TOKENS + UNLIMITED_S * rate
        )
        if self.level < lower:
            self.is_limited = True
        elif self.level >= upper:
            self.is_limited = now < self._short_at + SHORTAGE_S

    def take(self, used: int, unused: int, returned: int) -> None:
        """Book what a node has used and what it gives back."""
        credited = min(returned, self._credit)
        self._credit -= credited
        self.level += unused + credited - used

    def offer(self, node_id: str, want: int, rate: float, now: float) -> Offer:
        """Grant tokens to a node; the wants of all share what there is.

        :param rate: tokens per second that this owner is about to grant
        """
        self._wants[node_id] = want, now
        self._wants = {
            key: entry
            for key, entry in self._wants.items()
            if entry[1] > now - WANT_S
        }
        # What is earned until all of these nodes have asked again is divided
        # too. A fraction of a token is of no use to a node, so that the nodes
        # that ask first get a whole one.
        fair = fair_part(
            max(0.0, self.level) + rate * MIN_RETRY_S,
            [wanted for wanted, at in self._wants.values()],
        )
        tokens = max(0, min(want, math.ceil(fair), int(self.level)))
        self.level -= tokens
        if tokens == want:
            del self._wants[node_id]
            return Offer(tokens, 0.0)
        self._short_at = now
        missing = sum(wanted for wanted, at in self._wants.values()) / 2
        retry_s = (missing - self.level) / rate if rate > 0 else MAX_RETRY_S
        return Offer(tokens, min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s)))

    def is_idle(self, terms: allowance_terms.Terms, part: float) -> bool:
        """Return whether the bucket is full, so that nothing is to be kept."""
        return self.level >= part * terms.depth and not self.is_limited


def fair_part(available: float, wants: Iterable[float]) -> float:
    """Return the largest amount per node in a max-min fair division."""
    remaining = available
    ordered = sorted(wants)
    count = len(ordered)
    for number, want in enumerate(ordered):
        part = remaining / (count - number)
        if want >= part:
            return part
        remaining -= want
    return ordered[-1] if ordered else 0.0
