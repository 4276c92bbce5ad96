"""Failure domains that are evacuated.

The state is the whole set of evacuated domains with the revision of the store
at which it was read. The state with the higher revision replaces the other one
as a whole, so that an object that was removed does not come back from a node
that has not heard of it.
"""

from __future__ import annotations

import math
from typing import NamedTuple

# A node that has just started sends nothing to its worker for this time while
# it knows nothing of evacuations. If nobody tells it anything until then, the
# store and the other nodes are away, and it serves as if there were none.
UNKNOWN_HOLD_S = 3.0


class State(NamedTuple):
    """Evacuated failure domains as of a revision of the store.

    ``era`` rises when the store comes back from an older copy, in which
    revisions are assigned again; 0 if unknown.
    """

    era: int
    revision: int
    domains: frozenset[str]

    def after_change(
        self, revision: int, domain: str, *, is_evacuated: bool
    ) -> State:
        """Return the state after an object was made or removed.

        :param revision: revision at which the store reported it
        """
        domains = self.domains - {domain}
        if is_evacuated:
            domains |= {domain}
        return State(self.era, revision, domains)


class Evacuations:
    """Keeps the latest state.

    :param started: time of the start of this node in seconds
    """

    def __init__(self, started: float = -math.inf) -> None:
        self.state: State | None = None
        self._started = started

    def merge(self, state: State) -> bool:
        """Apply a state of the store or of another node if it is later.

        :returns: whether other domains are evacuated than before
        """
        known = self.state
        if known is not None and state[:2] <= known[:2]:
            return False
        self.state = state
        return known is None or known.domains != state.domains

    def covers(self, domain: str) -> bool:
        """Return whether a failure domain is known to be evacuated."""
        return self.state is not None and domain in self.state.domains

    def hold_s(self, now: float) -> float:
        """Return how long to wait for a first state, in seconds."""
        if self.state is not None:
            return 0.0
        return max(0.0, self._started + UNKNOWN_HOLD_S - now)
