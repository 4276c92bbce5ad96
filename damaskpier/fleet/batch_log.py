"""Batches of evidence that a node has received."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Longer than a node sends a batch again: four messages of 5 s at most.
KEEP_S = 30.0


class BatchLog:
    """Recognizes batches that arrive again, because a reply was lost.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        # Time of arrival of each batch, in order of arrival.
        self._arrived_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(self, batch: str) -> bool:
        """Record a batch.

        :param batch: identifier; empty if the batch is sent only once
        :returns: whether the batch has not arrived before
        """
        now = self._clock()
        while self._arrived_at:
            oldest, arrived_at = next(iter(self._arrived_at.items()))
            if arrived_at > now - KEEP_S:
                break
            del self._arrived_at[oldest]
        if batch in self._arrived_at:
            return False
        if batch:
            self._arrived_at[batch] = now
        return True
