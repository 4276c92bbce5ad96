"""Refusal at the entry node of requests that no worker would admit.

The entry node sees the outcome of its own requests. While most requests of a
class are refused by the workers, it sends on only somewhat more requests of
that class than are served, and refuses the others without an attempt
(adaptive throttling, Beyer et al., "Site Reliability Engineering", chapter
21).
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors

if TYPE_CHECKING:
    from damaskpier.traffic import messages

# Time constant with which outcomes lose their weight. It bounds the time for
# which requests are refused without new evidence.
RECENT_S = 2.0
# Requests that are sent on for each one that is served. The surplus lets the
# workers choose by priority and team, and shows the entry node that there is
# more room.
TRIED_PER_SERVED = 1.5
# Part of the requests that is sent on although nothing was served.
MIN_TRIED_RATIO = 0.05
# Requests of a team are sent on at least at this part of the rate at which all
# requests of the service are served. The worker's node serves each team at a
# part of the rate of all (capacity/order.py), which holds only if enough of
# its requests arrive there.
TEAM_TRIED_RATIO = 1.0
# Draw of a caller that returns before it was told to: it is sent on only if
# all requests of its class are.
TOO_SOON_DRAW = 1.0
# No request is refused before this many recent ones were refused by workers.
MIN_REFUSED = 3.0
# A request that has more time left than any refused one by this ratio is sent
# on: it may wait for longer.
LONGER_RATIO = 1.25
# Attempts of a request while workers refuse most attempts. The second one
# waits for a slot until its deadline, and further ones are refused like the
# first (docs/measurements/overload.md).
OVERLOAD_ATTEMPTS = 2
# Classes whose outcomes are kept, the latest ones.
MAX_CLASS_COUNT = 4096

_CAPACITY_CODES = frozenset((errors.CALL_OVERLOADED, errors.CALL_DEADLINE))


class ThrottleClass(NamedTuple):
    """Requests that have the same chance to be admitted.

    Routes of one service differ in the time that their requests take and
    have. ``team`` is empty if the requests have none. ``is_return`` is set if
    the caller was refused before: workers admit these requests after those
    that can still meet their objective.
    """

    service: str
    version: str
    route: str
    priority: int
    team: str = ''
    is_return: bool = False


class _Outcomes:
    """Recent outcomes of a class; each count decays."""

    __slots__ = ('requests', 'served', 'refused', 'longest_s', '_at')

    def __init__(self, now: float) -> None:
        self.requests = 0.0
        self.served = 0.0
        self.refused = 0.0
        # Longest time that a refused request had left.
        self.longest_s = 0.0
        self._at = now

    def decay(self, now: float) -> None:
        """Reduce the counts for the time that has passed."""
        ratio = math.exp(-max(0.0, now - self._at) / RECENT_S)
        self._at = now
        self.requests *= ratio
        self.served *= ratio
        self.refused *= ratio
        if self.refused < 1.0:
            self.longest_s = 0.0

    @property
    def served_ratio(self) -> float:
        """Return the part of the requests that was served."""
        return self.served / self.requests if self.requests else 1.0


class AdaptiveThrottle:
    """Decides at the entry node which requests are sent to workers.

    A class has state only after one of its requests was refused, so that the
    other requests cost one look-up.
    """

    def __init__(self) -> None:
        self._requests: collections.OrderedDict[ThrottleClass, _Outcomes] = (
            collections.OrderedDict()
        )
        self._attempts: collections.OrderedDict[ThrottleClass, _Outcomes] = (
            collections.OrderedDict()
        )

    def refusal(
        self, cls: ThrottleClass, remaining_s: float, now: float, draw: float
    ) -> errors.Refusal | None:
        """Return the refusal of a request that no worker would admit.

        :param remaining_s: time until the deadline in seconds
        :param draw: random number from 0 to 1 that decides whether the
            request is among those that are sent on
        """
        outcomes = self._requests.get(cls)
        if outcomes is None:
            return None
        outcomes.decay(now)
        if outcomes.refused < MIN_REFUSED:
            return None
        if remaining_s > LONGER_RATIO * outcomes.longest_s:
            return None
        if draw < self._tried_ratio(cls, outcomes, now):
            return None
        outcomes.requests += 1.0
        everyone = self._requests.get(_all_of_service(cls))
        if everyone is not None:
            everyone.decay(now)
            everyone.requests += 1.0
        return errors.Refusal(
            errors.CALL_OVERLOADED,
            f'workers admitted {100 * outcomes.served_ratio:.0f}% of the '
            f'recent requests of priority {cls.priority}',
        )

    def record(
        self,
        cls: ThrottleClass,
        result: messages.Answer | errors.Refusal,
        remaining_s: float,
        now: float,
    ) -> None:
        """Record the result of a request that was sent to workers.

        :param remaining_s: time that the request had at its arrival
        """
        is_refused = is_capacity_refusal(result)
        if not is_refused and isinstance(result, errors.Refusal):
            return
        for key in (cls, _all_of_service(cls)):
            _record(self._requests, key, is_refused, remaining_s, now)

    def record_attempt(
        self, cls: ThrottleClass, reply: messages.Reply, now: float
    ) -> None:
        """Record one attempt on a worker.

        An answer of a worker with a free slot ends the refusals: there is room
        for every class.
        """
        is_refused = is_capacity_refusal(reply.result)
        if not is_refused and isinstance(reply.result, errors.Refusal):
            return
        _record(self._attempts, _for_attempts(cls), is_refused, 0.0, now)
        if not is_refused and self._requests and _has_room(reply.load):
            for known in [c for c in self._requests if c[:2] == cls[:2]]:
                del self._requests[known]

    def attempts_max(self, cls: ThrottleClass, usual: int, now: float) -> int:
        """Return to how many workers a request may be sent.

        :param usual: the number without overload
        """
        outcomes = self._attempts.get(_for_attempts(cls))
        if outcomes is None:
            return usual
        outcomes.decay(now)
        if outcomes.refused < MIN_REFUSED or outcomes.served_ratio > 0.5:
            return usual
        return min(usual, OVERLOAD_ATTEMPTS)

    def _tried_ratio(
        self, cls: ThrottleClass, outcomes: _Outcomes, now: float
    ) -> float:
        """Return the part of the requests of a class that is sent on."""
        ratio = max(MIN_TRIED_RATIO, TRIED_PER_SERVED * outcomes.served_ratio)
        everyone = self._requests.get(_all_of_service(cls))
        if not cls.team or everyone is None:
            return ratio
        everyone.decay(now)
        return max(ratio, TEAM_TRIED_RATIO * everyone.served_ratio)


def is_capacity_refusal(result: messages.Answer | errors.Refusal) -> bool:
    """Return whether a request did not run for lack of capacity."""
    return (
        isinstance(result, errors.Refusal)
        and result.run is errors.RunState.NOT_RUN
        and result.code in _CAPACITY_CODES
    )


def _all_of_service(cls: ThrottleClass) -> ThrottleClass:
    return ThrottleClass(cls.service, cls.version, '', -1)


def _for_attempts(cls: ThrottleClass) -> ThrottleClass:
    return cls._replace(team='', is_return=False)


def _has_room(load: messages.Load | None) -> bool:
    return (
        load is not None
        and load.in_use < load.slots
        and not load.queued
        and not load.wait_s
    )


def _record(
    by_class: collections.OrderedDict[ThrottleClass, _Outcomes],
    cls: ThrottleClass,
    is_refused: bool,
    remaining_s: float,
    now: float,
) -> None:
    outcomes = by_class.get(cls)
    if outcomes is None:
        if not is_refused:
            return
        if len(by_class) >= MAX_CLASS_COUNT:
            by_class.popitem(last=False)
        outcomes = by_class[cls] = _Outcomes(now)
    outcomes.decay(now)
    outcomes.requests += 1.0
    if is_refused:
        by_class.move_to_end(cls)
        outcomes.refused += 1.0
        outcomes.longest_s = max(outcomes.longest_s, remaining_s)
    else:
        outcomes.served += 1.0
