"""Sums by key that lose their weight exponentially."""

from __future__ import annotations

import math
from typing import Generic
from typing import TypeVar

KeyT = TypeVar('KeyT')

# Sums below this value are dropped, so that the memory follows the number of
# recent keys.
NEGLIGIBLE = 0.02


class DecayingSums(Generic[KeyT]):
    """Sums by key, all with the same time constant.

    New amounts are weighted up instead of weighting old sums down, so that an
    addition changes one sum only.

    :param time_constant_s: time in seconds in which a sum falls to 37%
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._origin = -math.inf
        self._sums: dict[KeyT, float] = {}
        self._total = 0.0

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
        if not self._sums:
            return 1.0
        age = (now - self._origin) / self._time_constant_s
        return math.exp(min(age, 700.0))

    def _rebase(self, now: float) -> None:
        """Express the sums as of now, without the negligible ones."""
        weight = self._weight(now)
        sums = {key: value / weight for key, value in self._sums.items()}
        self._sums = {
            key: value for key, value in sums.items() if value >= NEGLIGIBLE
        }
        self._total = sum(self._sums.values())
        self._origin = now
