"""Times at which refused callers return, for the value of Retry-After."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier.capacity import decay

if TYPE_CHECKING:
    from damaskpier.traffic import messages

# Earliest return, about as long as a request occupies a slot.
MIN_RETURN_S = 0.1
# Time constant of the rate at which requests are served.
RECENT_S = 2.0
# Part of this rate that returning callers may take up. The rest is for first
# attempts, which can still meet their objective.
RETURNS_RATIO = 0.5
# Longest distance of two returns, also where nothing was served.
MAX_INTERVAL_S = 1.0
# Latest return as a part of the time that the caller has left. Callers honour
# up to a third and would not return after a longer time.
MAX_RETURN_RATIO = 0.3
# Callers for which there is no room before their latest return are spread
# over this last part of it.
LATE_SPREAD_RATIO = 0.5
# Jitter of a return, as a part of its delay.
JITTER_RATIO = 0.25
WAIT_WEIGHT = 0.1


class ReturnClass(NamedTuple):
    """Requests that share the room for returns."""

    service: str
    priority: int


class Returns:
    """Schedules the returns of the callers that one entry node refuses.

    Each return takes the next free place in a sequence whose rate is a part
    of the rate at which this node's requests of the class are served.
    """

    def __init__(self) -> None:
        self._served: decay.DecayingSums[ReturnClass] = decay.DecayingSums(
            RECENT_S
        )
        self._next_at: dict[ReturnClass, float] = {}
        self._wait_s: dict[str, float] = {}

    def record_answer(
        self,
        cls: ReturnClass,
        load: messages.Load | None,
        took_s: float,
        now: float,
    ) -> None:
        """Record a request that was served.

        :param load: load of the worker after it
        :param took_s: duration of the attempt in seconds
        """
        self._served.add(cls, 1.0, now)
        if load is None or not load.slots:
            return
        # The request waited for about as long as the queue is now.
        queue_ratio = load.queued / load.slots
        wait_s = took_s * queue_ratio / (1.0 + queue_ratio)
        known_s = self._wait_s.get(cls.service, wait_s)
        self._wait_s[cls.service] = known_s + WAIT_WEIGHT * (wait_s - known_s)

    def delay_s(
        self, cls: ReturnClass, remaining_s: float, now: float, draw: float
    ) -> float:
        """Return after which time a refused caller should return, in seconds.

        :param remaining_s: time that the caller has left
        :param draw: random number from 0 to 1
        """
        latest_s = max(0.0, MAX_RETURN_RATIO * remaining_s)
        room_s = max(MIN_RETURN_S, self._wait_s.get(cls.service, 0.0))
        at = max(now + room_s, self._next_at.get(cls, 0.0))
        delay_s = (at - now) * (1.0 + JITTER_RATIO * (2.0 * draw - 1.0))
        if delay_s > latest_s:
            return latest_s * (1.0 - LATE_SPREAD_RATIO * draw)
        self._next_at[cls] = at + self._interval_s(cls, now)
        return delay_s

    def _interval_s(self, cls: ReturnClass, now: float) -> float:
        returns = RETURNS_RATIO * self._served.get(cls, now)
        return min(MAX_INTERVAL_S, RECENT_S / max(returns, 1e-9))


def is_too_soon(elapsed_s: float, left_s: float) -> bool:
    """Return whether a caller returns before it was told to.

    :param elapsed_s: time since the caller's first request in seconds; 0 for
        a first request
    :param left_s: time until the deadline in seconds
    """
    earliest_s = min(
        MIN_RETURN_S * (1.0 - JITTER_RATIO),
        MAX_RETURN_RATIO * (1.0 - LATE_SPREAD_RATIO) * left_s,
    )
    return 0.0 < elapsed_s < earliest_s
