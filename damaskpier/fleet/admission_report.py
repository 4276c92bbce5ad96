"""Who is admitted at the local worker: metrics and a regular log line."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from damaskpier.capacity import entry
from damaskpier import errors
from damaskpier import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import metrics
    from damaskpier.traffic import admission
    from damaskpier.traffic import messages

LOG = logs.get_logger(__name__)

# One line at this interval while requests are refused for lack of capacity.
INTERVAL_S = 5.0
# Priorities with a gauge of their own; less urgent ones count as the last.
GAUGE_PRIORITIES = range(4)
# Teams that a line names, those with most refusals.
MAX_LOGGED_TEAMS = 3
MAX_LOGGED_ROUTES = 3


class AdmissionReport:
    """Counts requests at the worker by priority, team and route.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._admitted: collections.Counter[int] = collections.Counter()
        self._refused: collections.Counter[int] = collections.Counter()
        self._refused_teams: collections.Counter[str] = collections.Counter()
        self._admitted_routes: collections.Counter[str] = collections.Counter()
        self._refused_routes: collections.Counter[str] = collections.Counter()
        self._logged_at = -math.inf

    def record(
        self,
        request: messages.Request,
        result: messages.Answer | errors.Refusal,
    ) -> None:
        """Count a request and log the counts when it is time."""
        if entry.is_capacity_refusal(result):
            self._refused[request.priority] += 1
            self._refused_teams[request.team] += 1
            self._refused_routes[request.route] += 1
        elif not isinstance(result, errors.Refusal):
            self._admitted[request.priority] += 1
            self._admitted_routes[request.route] += 1
        now = self._clock()
        if now - self._logged_at < INTERVAL_S:
            return
        if self._refused:
            self._log()
        self._logged_at = now
        self._admitted.clear()
        self._refused.clear()
        self._refused_teams.clear()
        self._admitted_routes.clear()
        self._refused_routes.clear()

    def _log(self) -> None:
        priorities = sorted(self._admitted.keys() | self._refused.keys())
        teams = self._refused_teams.most_common(MAX_LOGGED_TEAMS)
        routes = self._refused_routes.most_common(MAX_LOGGED_ROUTES)
        LOG.info(
            'worker: requests admitted and refused by priority: %s; most '
            'refused teams: %s; by route: %s',
            ', '.join(
                f'{priority}: {self._admitted[priority]} and '
                f'{self._refused[priority]}'
                for priority in priorities
            ),
            ', '.join(f'{team or "-"}: {count}' for team, count in teams),
            ', '.join(
                f'{route}: {self._admitted_routes[route]} and {count}'
                for route, count in routes
            ),
        )


def register_gauges(
    metrics_service: metrics.Metrics, adm: admission.Admission
) -> None:
    """Register the gauges of the queue by priority."""
    last = GAUGE_PRIORITIES[-1]

    def count(priority: int) -> int:
        return sum(
            min(ticket.priority, last) == priority for ticket in adm.waiting
        )

    for priority in GAUGE_PRIORITIES:
        metrics_service.register_gauge(
            'upstream_queued_by_priority',
            lambda priority=priority: count(priority),
            priority=str(priority),
        )
