"""Order in which the waiting requests of a worker get its slots."""

from __future__ import annotations

import math
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier.capacity import decay

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from damaskpier.traffic import admission

# A request counts as able to meet its objective if this multiple of its mean
# service time fits. With the mean itself, half of the requests that are
# served last would miss it (tests/test_traffic/test_overload.py).
OBJECTIVE_MARGIN_RATIO = 1.6
# Time constant of the recent service of teams. A worker of 6 slots starts
# about 100 requests in it.
RECENT_S = 5.0
# Time constant of the counts of arrivals and starts. It is longer, so that a
# class of which few requests arrive is due for at least one start in it.
FLOOR_RECENT_S = 20.0
# Teams above their share whose service differs by less than this ratio are
# equal, so that the objective decides between their requests.
LEVEL_RATIO = 1.25
# A team is raised when it is served less than this part as often as all
# requests of the worker. The requirement is a quarter; the margin makes up
# for callers whose requests the entry node refuses.
TEAM_FLOOR_RATIO = 0.5
# The same for the requests of one priority, so that none starves. The entry
# nodes send on as few as 5% of them (capacity/entry.py).
PRIORITY_FLOOR_RATIO = 0.2
# Requests without a team go before those of teams of the same priority until
# they have taken this part of the recent service. They are calls of workers,
# without which the work of a request that already runs is lost.
CALL_MAX_SHARE = 0.5


class Rank(NamedTuple):
    """Sort key of a waiting request; the lowest key gets the next slot.

    ``is_above_floor`` is False for the requests of a team or priority that is
    raised because it is served far less often than all.
    """

    is_above_floor: bool
    priority: int
    is_caller: bool
    team_level: int
    misses_objective: bool
    by: float
    number: int


class _Standing(NamedTuple):
    """What a decision needs to know of one team."""

    is_above_floor: bool
    is_caller: bool
    level: int


# What is known of teams and priorities is used for this time, in which a
# worker of 6 slots starts one or two requests.
STANDING_S = 0.05

_NO_TEAM = _Standing(is_above_floor=True, is_caller=True, level=0)


class Order:
    """Recent service of teams and priorities at one worker, and the order.

    Without teams, the order is by priority and time alone.
    """

    def __init__(self) -> None:
        self._service_s: decay.DecayingSums[str] = decay.DecayingSums(RECENT_S)
        # By team and by priority.
        self._arrivals: decay.DecayingSums[str] = decay.DecayingSums(
            FLOOR_RECENT_S
        )
        self._starts: decay.DecayingSums[str] = decay.DecayingSums(
            FLOOR_RECENT_S
        )
        self._priority_arrivals: decay.DecayingSums[int] = decay.DecayingSums(
            FLOOR_RECENT_S
        )
        self._priority_starts: decay.DecayingSums[int] = decay.DecayingSums(
            FLOOR_RECENT_S
        )
        self._has_teams = False
        # Standing of teams and priorities since a time.
        self._teams: dict[str, _Standing] = {}
        self._priorities: dict[int, bool] = {}
        self._known_at = -math.inf

    def record_arrival(self, ticket: admission.Ticket, now: float) -> None:
        """Record a request that asks for a slot."""
        if ticket.team:
            self._has_teams = True
        if self._has_teams:
            self._priority_arrivals.add(ticket.priority, 1.0, now)
            self._arrivals.add(ticket.team, 1.0, now)

    def record_start(
        self, ticket: admission.Ticket, now: float, service_s: float
    ) -> None:
        """Record a request that got a slot.

        :param service_s: expected time in the slot, in seconds
        """
        self._priorities.pop(ticket.priority, None)
        self._teams.pop(ticket.team, None)
        if self._has_teams:
            self._priority_starts.add(ticket.priority, 1.0, now)
            self._starts.add(ticket.team, 1.0, now)
            self._service_s.add(ticket.team, service_s, now)

    def ranking(
        self, now: float, run_s: Mapping[str, float]
    ) -> Callable[[admission.Ticket], Rank]:
        """Return the sort key for one decision.

        What is known of a team and a priority is computed once for all of
        their requests, and again after each of their starts.

        :param run_s: expected times of routes from start to end, in seconds
        """
        if now - self._known_at > STANDING_S:
            self._teams.clear()
            self._priorities.clear()
            self._known_at = now
        teams = self._teams
        priorities = self._priorities

        def rank(ticket: admission.Ticket) -> Rank:
            standing = teams.get(ticket.team)
            if standing is None:
                standing = teams[ticket.team] = self._standing(
                    ticket.team, now
                )
            is_above_floor = priorities.get(ticket.priority)
            if is_above_floor is None:
                is_above_floor = priorities[ticket.priority] = (
                    self._is_priority_above_floor(ticket.priority, now)
                )
            needed_s = OBJECTIVE_MARGIN_RATIO * run_s[ticket.route]
            misses = now + needed_s > ticket.objective
            return Rank(
                is_above_floor and standing.is_above_floor,
                ticket.priority,
                standing.is_caller,
                standing.level,
                misses,
                ticket.deadline if misses else ticket.objective,
                ticket.number,
            )

        return rank

    def _is_priority_above_floor(self, priority: int, now: float) -> bool:
        return not self._has_teams or _is_above_floor(
            self._priority_arrivals,
            self._priority_starts,
            priority,
            PRIORITY_FLOOR_RATIO,
            now,
        )

    def _standing(self, team: str, now: float) -> _Standing:
        if not self._has_teams:
            return _NO_TEAM
        total_s = self._service_s.total(now)
        service_s = self._service_s.get(team, now)
        is_caller = bool(team) or service_s > CALL_MAX_SHARE * total_s
        return _Standing(
            _is_above_floor(
                self._arrivals, self._starts, team, TEAM_FLOOR_RATIO, now
            ),
            is_caller,
            _level(service_s, total_s / max(1, len(self._service_s))),
        )


def _is_above_floor(
    arrivals: decay.DecayingSums,
    starts: decay.DecayingSums,
    key: str | int,
    floor_ratio: float,
    now: float,
) -> bool:
    """Return whether a key is served at least at its floor.

    :param floor_ratio: lowest ratio of the rate at which requests of the key
        are served to that of all requests
    """
    all_arrivals = arrivals.total(now)
    if not all_arrivals:
        return True
    served_ratio = starts.total(now) / all_arrivals
    # The request that is ranked has not been served yet.
    due = floor_ratio * served_ratio * arrivals.get(key, now)
    return due < 1.0 or starts.get(key, now) >= due


def _level(service_s: float, share_s: float) -> int:
    """Return 0 for up to the share, and more the further it is exceeded."""
    if service_s <= share_s:
        return 0
    return 1 + int(math.log(service_s / share_s, LEVEL_RATIO))
