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
# After the store has come back from an older copy, a domain stays evacuated
# for this time although the copy lacks its object, which the operator writes
# again.
RESTORED_HOLD_S = 5.0


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
        # Domains that were evacuated before a restore of the store and that
        # it does not name yet.
        self.held: frozenset[str] = frozenset()
        self._started = started

    @property
    def domains(self) -> frozenset[str]:
        """Return the evacuated failure domains."""
        if self.state is None:
            return self.held
        return self.state.domains | self.held

    def release_held(self) -> bool:
        """End the evacuations that the operator has not written again.

        :returns: whether other domains are evacuated than before
        """
        had_held, self.held = bool(self.held), frozenset()
        return had_held

    def merge(self, state: State) -> bool:
        """Apply a state of the store or of another node if it is later.

        :returns: whether other domains are evacuated than before
        """
        known = self.state
        if known is not None and state[:2] <= known[:2]:
            return False
        before = self.domains
        if known is not None and state.era > known.era:
            self.held |= known.domains
        self.held -= state.domains
        self.state = state
        return known is None or self.domains != before

    def covers(self, domain: str) -> bool:
        """Return whether a failure domain is known to be evacuated."""
        return domain in self.domains

    def hold_s(self, now: float) -> float:
        """Return how long to wait for a first state, in seconds."""
        if self.state is not None:
            return 0.0
        return max(0.0, self._started + UNKNOWN_HOLD_S - now)
