"""Rate at which requests start at a worker that is cold.

A cold worker crashes well above the rate that the configuration names. The
bound holds for each sliding second, however the requests arrive at the node.
"""

from __future__ import annotations

import collections
import math

# Window of the bound.
WINDOW_S = 1.0
# Requests that start within this time longer than the window may arrive at the
# worker within it, because a late one waits for a connection or for the event
# loop of the node.
ARRIVAL_SPREAD_S = 0.2
START_WINDOW_S = WINDOW_S + ARRIVAL_SPREAD_S
# Requests of each window that are left for health checks, which are sent
# without asking for a start.
CHECK_RESERVE = 1
# Part of the requests of a window that may start together. The whole part at
# once would let the next requests wait for a second, longer than most
# objectives.
BURST_RATIO = 0.25
# A worker counts as cold for this time longer than it says, because its word
# is older than its arrival here and its clock may differ.
COLD_MARGIN_S = 0.1
MIN_BOUND_PER_S = 0.1
# Starts that are kept for a configuration that raises the bound.
LOG_COUNT = 64


class StartLog:
    """Times of the latest starts, against which windows are checked."""

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Record a start."""
        self._times.append(now)

    def trim(self, count: int) -> None:
        """Keep only the latest starts.

        :param count: number of starts to keep
        """
        while len(self._times) > count:
            self._times.popleft()

    def wait_s(
        self, now: float, ahead: int, count: int, span_s: float
    ) -> float:
        """Return the time until another start keeps a window, in seconds.

        :param ahead: number of starts before it, each as early as possible
        :param count: starts that each window may contain
        :param span_s: length of the window in seconds
        """
        # Each start waits for the one ``count`` starts before it, which is
        # recorded or is itself one of those ahead.
        windows, position = divmod(ahead, count)
        number = len(self._times) + position - count
        free_at = now
        if number >= 0:
            free_at = max(now, self._times[number] + span_s)
        return free_at + windows * span_s - now


class ColdPace:
    """Starts requests at a cold worker within a bound for each second.

    The worker counts as cold until it is known not to be. Starts are counted
    while it is warm, too, because it may become cold at any moment.

    ``bound_per_s`` is the bound; None if there is none.
    """

    def __init__(self) -> None:
        self._log = StartLog()
        self.bound_per_s: float | None = None
        self._quiet_until = -math.inf
        self._warm_from = math.inf
        self._count = 0
        self._span_s = 0.0

    def set_bound(self, now: float, per_s: float | None) -> None:
        """Set the bound.

        :param per_s: requests that may arrive in each second; None for any
            number
        """
        known, self.bound_per_s = self.bound_per_s, per_s
        if per_s is None:
            return
        if known is None:
            # The starts until now were not recorded. After a restart of this
            # node, the process before it may have sent the whole bound.
            self._quiet_until = now + START_WINDOW_S
        self._count = max(1, math.floor(per_s) - CHECK_RESERVE)
        self._span_s = START_WINDOW_S
        if per_s < 1:
            # No whole request fits into a second. None at all would leave the
            # worker without one for as long as it says that it is cold.
            self._span_s /= max(per_s, MIN_BOUND_PER_S)

    def learn(self, now: float, cold_s: float) -> None:
        """Record what is known of the worker.

        :param cold_s: time for which it stays cold, in seconds; infinite if
            unknown
        """
        margin_s = COLD_MARGIN_S if cold_s > 0 else 0.0
        self._warm_from = now + cold_s + margin_s

    def is_cold(self, now: float) -> bool:
        """Return whether the bound applies now."""
        return self.bound_per_s is not None and now < self._warm_from

    def wait_s(self, now: float, ahead: int) -> float:
        """Return the time until another request may start, in seconds.

        :param ahead: number of requests that start before it
        """
        if not self.is_cold(now):
            return 0.0
        burst = math.ceil(BURST_RATIO * self._count)
        burst_span_s = self._span_s * burst / self._count
        wait_s = max(
            self._log.wait_s(now, ahead, self._count, self._span_s),
            self._log.wait_s(now, ahead, burst, burst_span_s),
            # What starts before it can not start earlier than that either.
            max(0.0, self._quiet_until - now) + ahead // burst * burst_span_s,
        )
        return min(wait_s, self._warm_from - now)

    def record_start(self, now: float) -> None:
        """Record a request or a health check that is sent to the worker."""
        if self.bound_per_s is not None:
            self._log.add(now)
            self._log.trim(max(self._count, LOG_COUNT))
