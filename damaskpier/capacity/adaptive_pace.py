"""Pace of a worker that has started or recovered, from how it answers.

The number of running requests begins low. It doubles with each round of
answers that take about the usual time, grows by one a round while they take
longer, and halves on a sign of overload. After a crash it grows by one a round
up to half of what the worker had then, which it keeps for some time. The limit
ends when the worker has answered twice as many requests in a row as it has
slots, with all slots allowed at the end.
"""

from __future__ import annotations

from damaskpier.capacity import pace

# Requests that run at the same time at the beginning. With one, a worker whose
# answers take 0.4 s would get two or three requests in the first second.
START_COUNT = 2.0
# An answer within this multiple of the usual time doubles the number in a
# round. Work takes twice as long in a cold worker, so that up to
# OVERLOAD_RATIO it still counts as good.
FAST_RATIO = 1.5
OVERLOAD_RATIO = 3.0
# A start this soon after the last one shows that the worker has crashed. It is
# above the time in which a cold worker becomes warm (3 s) with the time of a
# restart.
CRASH_MEMORY_S = 15.0
# After a crash, the worker gets at most half of what it had, for this multiple
# of the time from its last start to this one. A worker that is cold for some
# seconds would crash again in each of them otherwise.
CRASH_HOLD_RATIO = 2.0
# Starts in the usual time of a request, per request that may run. Answers that
# come at once, such as refusals, must not let the rate grow without bound.
STARTS_PER_RUN = 2
# Weights of a new time in the usual time. It rises slowly, so that a worker
# that is slow for some seconds does not change it much.
FALL_WEIGHT = 0.1
RISE_WEIGHT = 0.01
MAX_ROUTE_COUNT = 1024
MIN_TIME_S = 0.02


class UsualTimes:
    """Usual times of the answers of a worker by route, in seconds."""

    def __init__(self) -> None:
        self._times_s: dict[str, float] = {}

    def record(self, route: str, took_s: float) -> None:
        """Record a good answer of a worker without a limit."""
        known_s = self._times_s.get(route)
        if known_s is None:
            if len(self._times_s) >= MAX_ROUTE_COUNT:
                self._times_s.clear()
            self._times_s[route] = took_s
            return
        weight = FALL_WEIGHT if took_s < known_s else RISE_WEIGHT
        self._times_s[route] = known_s + weight * (took_s - known_s)

    def get(self, route: str) -> float | None:
        """Return the usual time of a route; None if unknown."""
        return self._times_s.get(route)


class AdaptivePace:
    """Limits the requests of a worker until it has shown what it can do.

    ``count`` is the number of requests that may run at the same time while
    ``is_active``.
    """

    def __init__(self) -> None:
        self.is_active = False
        self.count = START_COUNT
        self._slots = 0
        self._good_in_a_row = 0
        # Number below which the number doubles in a round of answers.
        self._slow_from = float('inf')
        self._cap = float('inf')
        self._capped_until = float('-inf')
        self._began_at = float('-inf')
        self._halved_at = float('-inf')
        # Shortest times since the beginning, for routes without a usual one.
        self._shortest_s: dict[str, float] = {}
        self._log = pace.StartLog()
        self._usual_s = MIN_TIME_S

    def begin(
        self, now: float, slots: int, *, is_new_start: bool = True
    ) -> None:
        """Begin for a worker that has started or recovered.

        :param slots: number of its slots
        :param is_new_start: False for a worker that has recovered, which has
            not crashed
        """
        self._slow_from = float('inf')
        lived_s = now - self._began_at
        if is_new_start and lived_s < CRASH_MEMORY_S:
            self._slow_from = self._cap = max(1.0, self.count / 2)
            self._capped_until = now + CRASH_HOLD_RATIO * lived_s
        self.count = min(START_COUNT, self._slow_from)
        self._slots = slots
        self._good_in_a_row = 0
        self._began_at = now
        self._halved_at = now
        self._shortest_s.clear()
        self.is_active = True

    def record_start(self, now: float) -> None:
        """Record the start of a request."""
        if self.is_active:
            self._log.add(now)
            self._log.trim(STARTS_PER_RUN * max(1, self._slots))

    def record_answer(
        self,
        now: float,
        route: str,
        took_s: float,
        usual_s: float | None,
        is_bad: bool = False,
    ) -> None:
        """Record the end of a request.

        :param usual_s: time that it is expected to take; None if unknown
        :param is_bad: whether the worker refused the request or broke it off
        """
        if not self.is_active or now - took_s < self._began_at:
            return
        if usual_s is None:
            usual_s = min(took_s, self._shortest_s.get(route, took_s))
            self._shortest_s[route] = usual_s
        usual_s = self._usual_s = max(usual_s, MIN_TIME_S)
        if is_bad or took_s > OVERLOAD_RATIO * usual_s:
            self._halve(now, now - took_s)
            return
        self._good_in_a_row += 1
        if took_s <= FAST_RATIO * usual_s and self.count < self._slow_from:
            self.count += 1.0
        else:
            self.count += 1.0 / self.count
        if now < self._capped_until:
            self.count = min(self.count, self._cap)
        if self.count >= self._slots:
            self.count = float(self._slots)
            # The answers in a row are those of requests that ran together.
            self.is_active = self._good_in_a_row < 2 * self._slots

    def wait_s(
        self, now: float, running: int, ahead: int, service_s: float
    ) -> float:
        """Return the expected time until another request may start.

        :param running: number of requests that run
        :param ahead: number of requests that start before it
        :param service_s: expected service time in seconds
        """
        if not self.is_active:
            return 0.0
        allowed = max(1, int(self.count))
        beyond = max(0, running + ahead + 1 - allowed)
        slot_wait_s = beyond * max(service_s, MIN_TIME_S) / allowed
        return max(
            slot_wait_s,
            self._log.wait_s(
                now, ahead, STARTS_PER_RUN * allowed, self._usual_s
            ),
        )

    def _halve(self, now: float, started: float) -> None:
        """Halve the number, once for the requests that ran together."""
        self._good_in_a_row = 0
        if started < self._halved_at:
            return
        self._halved_at = now
        self._slow_from = max(1.0, self.count / 2)
        self.count = self._slow_from
