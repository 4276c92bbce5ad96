"""Decision whether an attempt may be repeated."""

from __future__ import annotations

import collections
import time
from typing import NamedTuple
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
# Part of a bound of the whole fleet that its nodes use. The rest is for the
# calls that retried runs of other services repeat here, and for nodes that
# count each other wrongly for a while.
SAFE_PART = 0.55
# Part of the bound for retries of requests that may have run: each repeats
# all the calls of its run, which count at the services called.
RERUN_PART = 0.35
# Part of the bound for retries and repeated calls together.
TOTAL_PART = 0.85

# Another worker may accept what one has refused with these codes.
RETRYABLE_REFUSALS = frozenset(
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

    def record_request(self) -> None:
        """Count a call's first attempt."""
        self._second()[0] += 1

    def try_acquire(self) -> bool:
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


class FleetRetryLimit(NamedTuple):
    """Bound on the retries of a service over all nodes together.

    In each window of ``window_s`` the retries may be ``ratio`` of the
    requests and ``slack`` more.
    """

    ratio: float
    slack: float
    window_s: float


class FleetRetryBudget:
    """This node's part of a bound that all nodes share.

    The ratio holds for the requests of each node by itself, and the slack
    is divided among the nodes, so that no node has to ask another.

    Requests that the local worker sends count as retries where its own run
    is one: the retry of a request repeats all the calls below it.

    :param nodes: returns the number of nodes
    :param repeated: returns the part of the worker's runs that are retries
    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        limit: FleetRetryLimit,
        nodes: Callable[[], int],
        repeated: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limit = limit
        self._nodes = nodes
        self._repeated = repeated
        self._clock = clock
        self._calls: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()
        self._reruns: collections.deque[float] = collections.deque()

    def record_request(self) -> None:
        """Count a request's first attempt."""
        now = self._clock()
        self._calls.append(now)
        self._forget(now)

    def try_acquire(self, is_repeat: bool = False) -> bool:
        """Count a retry if the budget allows one.

        :param is_repeat: whether an earlier attempt may have run
        """
        now = self._clock()
        self._forget(now)
        bound = self._limit.ratio * len(self._calls) + self._limit.slack / max(
            1, self._nodes()
        )
        repeated = self._repeated() * len(self._calls)
        allowed = min(SAFE_PART * bound, TOTAL_PART * bound - repeated)
        if len(self._retries) + 1 > allowed:
            return False
        if is_repeat:
            if len(self._reruns) + 1 > RERUN_PART * bound:
                return False
            self._reruns.append(now)
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self._limit.window_s
        for times in (self._calls, self._retries, self._reruns):
            while times and times[0] < oldest:
                times.popleft()


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
        return refusal.code in RETRYABLE_REFUSALS
    return repeatable and refusal.code in (
        errors.CALL_UNKNOWN,
        errors.CALL_DEADLINE,
    )


def merge_run_states(
    known: errors.RunState, attempt: errors.RunState
) -> errors.RunState:
    """Return what several attempts together tell about the run.

    One attempt that may have run makes the whole request unknown.
    """
    if known is errors.RunState.NOT_RUN:
        return attempt
    return known
