"""Decision whether an attempt may be repeated."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from damaskpier import errors

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW_S = 10
RETRY_SHARE = 0.2
MIN_RETRIES = 3  # per window
MAX_ATTEMPTS = 3
# Time that another attempt has to have left to be worth starting.
MIN_REMAINING_S = 0.005

# Another worker may accept what one has refused with these codes.
_REFUSED_BY_WORKER = frozenset(
    (
        errors.CALL_OVERLOADED,
        errors.CALL_DRAINING,
        errors.CALL_CONNECT,
        errors.CALL_NO_WORKER,
        errors.CALL_UPSTREAM_REFUSED,
        errors.CALL_DEADLINE,
    )
)


class RetryBudget:
    """Bounds the retries of one service to a share of its calls.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._seconds: dict[int, list[int]] = {}  # calls and retries

    def called(self) -> None:
        """Count a call's first attempt."""
        self._second()[0] += 1

    def take(self) -> bool:
        """Count a retry if the budget allows one."""
        second = self._second()
        calls = sum(entry[0] for entry in self._seconds.values())
        retries = sum(entry[1] for entry in self._seconds.values())
        if retries + 1 > max(MIN_RETRIES, RETRY_SHARE * calls):
            return False
        second[1] += 1
        return True

    def _second(self) -> list[int]:
        now = int(self._clock())
        entry = self._seconds.get(now)
        if entry is None:
            for key in [k for k in self._seconds if k <= now - WINDOW_S]:
                del self._seconds[key]
            entry = self._seconds[now] = [0, 0]
        return entry


def may_retry(
    refusal: errors.Refusal,
    *,
    repeatable: bool,
    attempts: int,
    remaining_s: float,
) -> bool:
    """Tell whether a failed attempt may be repeated, budget aside.

    :param attempts: attempts that were made
    :param remaining_s: time until the deadline
    """
    if attempts >= MAX_ATTEMPTS or remaining_s < MIN_REMAINING_S:
        return False
    if refusal.run is errors.RunState.NOT_RUN:
        return refusal.code in _REFUSED_BY_WORKER
    return repeatable and refusal.code in (
        errors.CALL_UNKNOWN,
        errors.CALL_DEADLINE,
    )


def merged_run(
    known: errors.RunState, attempt: errors.RunState
) -> errors.RunState:
    """Return what several attempts together tell about the run.

    One attempt that may have run makes the whole request unknown.
    """
    if known is errors.RunState.NOT_RUN:
        return attempt
    return known
