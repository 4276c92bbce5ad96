"""Decision which workers a request may go to, by their regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Regions that a request is restricted to; None if it may go to all regions.
Allowed = frozenset[str] | None


def intersect(*restrictions: Iterable[str]) -> Allowed:
    """Return the regions that all restrictions allow.

    A restriction without regions allows all of them. Restrictions without a
    common region allow none, and not all: nothing may go where one of them
    does not allow it.
    """
    allowed: Allowed = None
    for restriction in restrictions:
        regions = frozenset(restriction)
        if regions:
            allowed = regions if allowed is None else allowed & regions
    return allowed


def is_allowed(region: str, allowed: Allowed) -> bool:
    """Return whether a request may go to a worker in a region."""
    return allowed is None or region in allowed
