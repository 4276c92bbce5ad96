"""Ejection of workers that fail, and their slow return."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Attempts in a row that got no answer at all.
MAX_SILENT_FAILURES = 3
# Share of failed answers at which a worker is ejected while the others of
# its version do well.
FAILED_SHARE = 0.5
OTHERS_FAILED_SHARE = 0.25
SHARE_WEIGHT = 0.1
MIN_CALLS = 10

FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
# Time over which a returned worker gets back to its full share.
RETURN_S = 5.0
FIRST_WEIGHT = 0.1
# At least this share of the workers stays in use.
FLOOR = 0.5


class _Record:
    __slots__ = (
        'silent',
        'calls',
        'failed_share',
        'ejected_until',
        'times',
    )

    def __init__(self) -> None:
        self.silent = 0
        self.calls = 0
        self.failed_share = 0.0
        self.ejected_until: float | None = None
        self.times = 0


class Ejector:
    """Tells which workers of one version of a service to leave out.

    A worker that gives no answers is ejected by itself. One that answers
    with failures is ejected only where it does worse than the others, so
    that a fault common to the version does not eject anybody.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def set_workers(self, keys: set[str]) -> None:
        """Set the known workers; others are forgotten."""
        for key in set(self._records) - keys:
            del self._records[key]
        for key in keys - set(self._records):
            self._records[key] = _Record()

    def record_answer(self, key: str, *, failed: bool) -> None:
        """Note an answer of a worker, good or failed."""
        record = self._records.get(key)
        if record is None:
            return
        record.silent = 0
        record.calls += 1
        record.failed_share += SHARE_WEIGHT * (failed - record.failed_share)
        if not failed:
            if self.weight(key) >= 1.0:
                record.times = 0
            return
        if record.calls < MIN_CALLS or record.failed_share < FAILED_SHARE:
            return
        others = [
            other.failed_share
            for name, other in self._records.items()
            if name != key and other.calls
        ]
        if others and sum(others) / len(others) < OTHERS_FAILED_SHARE:
            self._eject(key, record)

    def record_no_answer(self, key: str) -> None:
        """Note an attempt that got no answer or no connection."""
        record = self._records.get(key)
        if record is None:
            return
        record.silent += 1
        returning = record.ejected_until is not None and self.weight(key) < 1
        if record.silent >= MAX_SILENT_FAILURES or returning:
            self._eject(key, record)

    def weight(self, key: str) -> float:
        """Return the share of its usual requests that a worker may get.

        :return: 0 while ejected, then rising to 1
        """
        record = self._records.get(key)
        if record is None or record.ejected_until is None:
            return 1.0
        since = self._clock() - record.ejected_until
        if since < 0:
            return 0.0
        if since >= RETURN_S:
            return 1.0
        return FIRST_WEIGHT + (1 - FIRST_WEIGHT) * since / RETURN_S

    def _eject(self, key: str, record: _Record) -> None:
        now = self._clock()
        if record.ejected_until is not None and now < record.ejected_until:
            return
        ejected = sum(
            1
            for name, other in self._records.items()
            if name != key
            and other.ejected_until is not None
            and now < other.ejected_until
        )
        if ejected + 1 > len(self._records) * (1 - FLOOR):
            return
        duration = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**record.times)
        record.ejected_until = now + duration
        record.times += 1
        record.silent = 0
        record.calls = 0
        record.failed_share = 0.0
