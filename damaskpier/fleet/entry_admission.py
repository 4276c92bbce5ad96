"""Refusals at the entry node, with their metrics and log lines."""

from __future__ import annotations

import collections
import math
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier.capacity import elapsed
from damaskpier.capacity import entry
from damaskpier.capacity import returns
from damaskpier import logs
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from damaskpier import application
    from damaskpier import errors
    from damaskpier.fleet import model

LOG = logs.get_logger(__name__)

# Refusals are logged by class in one line of each class at this interval.
LOG_INTERVAL_S = 1.0
# Routes whose callers' times are kept. The limit bounds the memory when
# configurations rename their routes often.
MAX_ROUTE_COUNT = 1024


class Arrival(NamedTuple):
    """Request that has arrived, with its refusal if it has one.

    The objective of ``request`` counts from the caller's first request.
    """

    request: messages.Request
    cls: entry.ThrottleClass
    at: float
    refusal: errors.Refusal | None


class EntryAdmission:
    """Applies :class:`entry.AdaptiveThrottle` to the requests of the router.

    It has an effect only where the configuration has teams or names the rate
    of cold workers, or where a worker reports its pace. The other deployments
    are served as before.

    :param clock: returns the time in seconds
    :param rng: chooses the requests that are sent on during refusals
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._app = app
        self._clock = clock
        self._rng = rng
        self._state = entry.AdaptiveThrottle()
        self._is_configured = False
        self._has_paced_workers = False
        app.events.connect('config-applied', self._config_applied)
        self._returns = returns.Returns()
        self._times: dict[str, elapsed.RouteTimes] = {}
        self._refused: collections.Counter[entry.ThrottleClass] = (
            collections.Counter()
        )
        self._logged_at = -math.inf

    def _config_applied(self, cfg: model.Configuration) -> None:
        self._is_configured = bool(cfg.teams) or any(
            spec.cold_rate_per_s for spec in cfg.services.values()
        )

    @property
    def _is_active(self) -> bool:
        return self._is_configured or self._has_paced_workers

    def receive(self, request: messages.Request, began: float) -> Arrival:
        """Decide whether a request is sent to workers.

        :param began: arrival of the request at this node. What it has waited
            there since, for the allowance of its team, does not make it the
            return of a refused caller.
        """
        if not self._is_active:
            return Arrival(request, _class(request), self._clock(), None)
        now = self._clock()
        left_s = request.deadline - now
        elapsed_s = 0.0
        if not self._may_be_call(request):
            times = self._route_times(request.route)
            elapsed_s = times.elapsed_s(
                request.deadline - min(began, now), now
            )
        request = request._replace(objective=request.objective - elapsed_s)
        cls = _class(request)._replace(is_return=elapsed_s > 0)
        draw = self._rng.random()
        if returns.is_too_soon(elapsed_s, left_s):
            draw = entry.TOO_SOON_DRAW
        refusal = self._state.refusal(cls, left_s, now, draw)
        if refusal is not None:
            self._count('entry', request)
            self._log(cls, refusal, now)
        return Arrival(request, cls, now, refusal)

    def record(
        self, arrival: Arrival, result: messages.Answer | errors.Refusal
    ) -> None:
        """Record the result of a request that was sent to workers."""
        request = arrival.request
        if entry.is_capacity_refusal(result):
            self._count('workers', request)
        if not self._is_active:
            return
        self._state.record(
            arrival.cls, result, request.deadline - arrival.at, self._clock()
        )

    def record_attempt(
        self, request: messages.Request, reply: messages.Reply, took_s: float
    ) -> None:
        """Record one attempt on a worker.

        :param took_s: duration of the attempt in seconds
        """
        if reply.load is not None and reply.load.pace is not None:
            self._has_paced_workers = True
        if not self._is_active:
            return
        now = self._clock()
        self._state.record_attempt(_class(request), reply, now)
        if isinstance(reply.result, messages.Answer):
            self._returns.record_answer(
                _return_class(request), reply.load, took_s, now
            )

    def return_s(
        self,
        request: messages.Request,
        result: messages.Answer | errors.Refusal,
    ) -> float | None:
        """Return after which time a refused caller should return, in seconds.

        :returns: None if the request was not refused for lack of capacity
        """
        if not self._is_active or not entry.is_capacity_refusal(result):
            return None
        now = self._clock()
        return self._returns.delay_s(
            _return_class(request),
            request.deadline - now,
            now,
            self._rng.random(),
        )

    def may_try_again(
        self,
        request: messages.Request,
        tried: int,
        result: messages.Answer | errors.Refusal,
    ) -> bool:
        """Return whether the load allows an attempt on another worker.

        :param tried: number of attempts so far
        :param result: result of the latest attempt
        """
        if not self._is_active or not entry.is_capacity_refusal(result):
            return True
        return tried < self._state.attempts_max(
            _class(request), tried + 1, self._clock()
        )

    def _may_be_call(self, request: messages.Request) -> bool:
        """Return whether a worker may make it while it runs another request.

        Such a request ends with the one that made it, so that a short time
        does not mean that it was refused before. In a configuration without
        teams, any request may be one: the work that is lost with a call costs
        more than the order of returns gains.
        """
        return not request.team

    def _route_times(self, route: str) -> elapsed.RouteTimes:
        times = self._times.get(route)
        if times is None:
            if len(self._times) >= MAX_ROUTE_COUNT:
                self._times.clear()
            times = self._times[route] = elapsed.RouteTimes()
        return times

    def _count(self, place: str, request: messages.Request) -> None:
        self._app.service('metrics').increment(
            'capacity_refusals', place=place, priority=str(request.priority)
        )

    def _log(
        self, cls: entry.ThrottleClass, refusal: errors.Refusal, now: float
    ) -> None:
        self._refused[cls] += 1
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        for known, count in self._refused.most_common():
            LOG.info(
                'entry: refused %d requests of %s, priority %d, team %s%s '
                'without an attempt; last: %s',
                count,
                known.route,
                known.priority,
                known.team or '-',
                ', returned' if known.is_return else '',
                refusal.reason,
            )
        self._refused.clear()


def _class(request: messages.Request) -> entry.ThrottleClass:
    return entry.ThrottleClass(
        request.service,
        request.version,
        request.route,
        request.priority,
        request.team,
    )


def _return_class(request: messages.Request) -> returns.ReturnClass:
    return returns.ReturnClass(request.service, request.priority)
