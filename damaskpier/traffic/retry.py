"""Rules for retries, and the budgets that limit their number."""

from __future__ import annotations

import collections
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW_S = 10
MAX_RETRY_RATIO = 0.2
MIN_RETRY_COUNT = 3  # per window, however few requests there are
MAX_ATTEMPTS = 3
# Another attempt is not started with less time than this until the deadline.
MIN_REMAINING_S = 0.005
# Part of the fleet-wide limit that the nodes use for retries of their own.
# The rest is for the calls that retried runs of other services repeat here,
# and for periods in which the nodes disagree about how many they are.
RETRY_PART_OF_LIMIT = 0.55
# Part of the limit for retries of requests that may have run: each one
# repeats all calls of its run, which count at the services that are called.
REPEAT_PART_OF_LIMIT = 0.35
# Part of the limit for retries and repeated calls together.
TOTAL_PART_OF_LIMIT = 0.85

# A request that one worker has refused with one of these codes may be
# accepted by another worker.
RETRYABLE_REFUSALS = frozenset(
    (
        errors.CALL_OVERLOADED,
        errors.CALL_DRAINING,
        errors.CALL_EVACUATED,
        errors.CALL_CONNECT,
        errors.CALL_NO_WORKER,
        errors.CALL_UPSTREAM_REFUSED,
        errors.CALL_DEADLINE,
        errors.CALL_REGION,
    )
)


class RetryBudget:
    """Limits the retries of one service to a ratio of its requests.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._counts_by_second: dict[int, list[int]] = {}  # calls, retries

    def record_request(self) -> None:
        """Count the first attempt of a request."""
        self._current_counts()[0] += 1

    def try_acquire(self) -> bool:
        """Count a retry if the budget allows one.

        :returns: whether the retry may be made
        """
        counts = self._current_counts()
        calls = sum(entry[0] for entry in self._counts_by_second.values())
        retries = sum(entry[1] for entry in self._counts_by_second.values())
        if retries + 1 > max(MIN_RETRY_COUNT, MAX_RETRY_RATIO * calls):
            return False
        counts[1] += 1
        return True

    def _current_counts(self) -> list[int]:
        now = int(self._clock())
        entry = self._counts_by_second.get(now)
        if entry is None:
            for key in [
                k for k in self._counts_by_second if k <= now - WINDOW_S
            ]:
                del self._counts_by_second[key]
            entry = self._counts_by_second[now] = [0, 0]
        return entry


class FleetRetryLimit(NamedTuple):
    """Limit on the retries of a service by all nodes together.

    In each window of ``window_s`` seconds there may be as many retries as
    ``ratio`` times the requests, plus ``slack``.
    """

    ratio: float
    slack: float
    window_s: float


class FleetRetryBudget:
    """This node's part of a retry limit that all nodes share.

    Each node applies the ratio to its own requests and an equal part of the
    slack, so that the nodes do not have to coordinate.

    Requests that the local worker sends while it runs a retry count as
    retries too, because the retry of a request repeats all calls below it.

    :param limit: limit for all nodes together
    :param nodes: returns the number of nodes
    :param repeat_ratio: returns the ratio of retries among the runs of the
        local worker
    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        limit: FleetRetryLimit,
        nodes: Callable[[], int],
        repeat_ratio: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limit = limit
        self._nodes = nodes
        self._repeat_ratio = repeat_ratio
        self._clock = clock
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def record_request(self) -> None:
        """Count the first attempt of a request."""
        now = self._clock()
        self._requests.append(now)
        self._drop_expired(now)

    def try_acquire(self, is_repeat: bool = False) -> bool:
        """Count a retry if the budget allows one.

        :param is_repeat: whether an earlier attempt may have run
        :returns: whether the retry may be made
        """
        now = self._clock()
        self._drop_expired(now)
        allowed = self.limit.ratio * len(
            self._requests
        ) + self.limit.slack / max(1, self._nodes())
        repeated = self._repeat_ratio() * len(self._requests)
        max_retries = min(
            RETRY_PART_OF_LIMIT * allowed,
            TOTAL_PART_OF_LIMIT * allowed - repeated,
        )
        if len(self._retries) + 1 > max_retries:
            return False
        if is_repeat:
            if len(self._repeats) + 1 > REPEAT_PART_OF_LIMIT * allowed:
                return False
            self._repeats.append(now)
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        oldest = now - self.limit.window_s
        for times in (self._requests, self._retries, self._repeats):
            while times and times[0] < oldest:
                times.popleft()


def may_retry(
    refusal: errors.Refusal,
    *,
    repeatable: bool,
    attempts: int,
    remaining_s: float,
) -> bool:
    """Return whether a failed attempt may be retried, regardless of budgets.

    :param refusal: outcome of the last attempt
    :param repeatable: whether the request may run more than once
    :param attempts: number of attempts so far
    :param remaining_s: seconds until the deadline
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
    """Merge the run state of an attempt into that of its request.

    One attempt that may have run makes the state of the request unknown.

    :param known: state of the request after the earlier attempts
    """
    if known is errors.RunState.NOT_RUN:
        return attempt
    return known
