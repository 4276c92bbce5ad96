"""Sums by key that lose their weight exponentially."""

from __future__ import annotations

import math
from typing import Generic
from typing import TypeVar

KeyT = TypeVar('KeyT')

# Sums below this value are dropped, so that the memory follows the number of
# recent keys.
NEGLIGIBLE = 0.02
# Age of the sums in time constants above which they count as 0 in practice,
# and which keeps their weight within the range of numbers.
MAX_AGE_RATIO = 500.0


class DecayingSums(Generic[KeyT]):
    """Sums by key, all with the same time constant.

    New amounts are weighted up instead of weighting old sums down, so that an
    addition changes one sum only.

    :param time_constant_s: time in seconds in which a sum falls to 37%
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._origin = 0.0
        self._sums: dict[KeyT, float] = {}
        self._total = 0.0
        # Weight at the time of the latest decision, which asks for many keys.
        self._weight_at = math.nan
        self._latest_weight = 1.0

    def __len__(self) -> int:
        return len(self._sums)

    def add(self, key: KeyT, amount: float, now: float) -> None:
        """Add an amount to the sum of a key."""
        if now - self._origin > self._time_constant_s:
            self._rebase(now)
        weighted = amount * self._weight(now)
        self._sums[key] = self._sums.get(key, 0.0) + weighted
        self._total += weighted

    def get(self, key: KeyT, now: float) -> float:
        """Return the sum of a key."""
        return self._sums.get(key, 0.0) / self._weight(now)

    def total(self, now: float) -> float:
        """Return the sum over all keys."""
        return self._total / self._weight(now)

    def _weight(self, now: float) -> float:
        if now != self._weight_at:
            age = (now - self._origin) / self._time_constant_s
            self._latest_weight = math.exp(min(age, MAX_AGE_RATIO))
            self._weight_at = now
        return self._latest_weight

    def _rebase(self, now: float) -> None:
        """Express the sums as of now, without the negligible ones."""
        weight = self._weight(now)
        sums = {key: value / weight for key, value in self._sums.items()}
        self._sums = {
            key: value for key, value in sums.items() if value >= NEGLIGIBLE
        }
        self._total = sum(self._sums.values())
        self._origin = now
        self._weight_at = math.nan
