"""Refusals at the entry node, with their metrics and log lines."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from damaskpier.capacity import entry
from damaskpier import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from damaskpier import application
    from damaskpier import errors
    from damaskpier.fleet import model
    from damaskpier.traffic import messages

LOG = logs.get_logger(__name__)

# Refusals are logged by class in one line of each class at this interval.
LOG_INTERVAL_S = 1.0


class EntryAdmission:
    """Applies :class:`entry.EntryAdmission` to the requests of the router.

    It has an effect only where the configuration has teams or a worker reports
    its pace, because the other deployments are served as before.

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
        self._state = entry.EntryAdmission()
        self._has_teams = False
        self._has_paced_workers = False
        app.events.connect('config-applied', self._config_applied)
        self._refused: collections.Counter[entry.Class] = collections.Counter()
        self._logged_at = -math.inf

    def _config_applied(self, cfg: model.Configuration) -> None:
        self._has_teams = bool(cfg.teams)

    @property
    def _is_active(self) -> bool:
        return self._has_teams or self._has_paced_workers

    def refusal(self, request: messages.Request) -> errors.Refusal | None:
        """Return the refusal of a request that no worker would admit."""
        if not self._is_active:
            return None
        now = self._clock()
        cls = _class(request)
        refusal = self._state.refusal(
            cls, request.deadline - now, now, self._rng.random()
        )
        if refusal is not None:
            self._count('entry', request)
            self._log(cls, refusal, now)
        return refusal

    def record(
        self,
        request: messages.Request,
        result: messages.Answer | errors.Refusal,
        began: float,
    ) -> None:
        """Record the result of a request that was sent to workers.

        :param began: arrival of the request
        """
        if entry.is_capacity_refusal(result):
            self._count('workers', request)
        if not self._is_active:
            return
        self._state.record(
            _class(request), result, request.deadline - began, self._clock()
        )

    def record_attempt(
        self, request: messages.Request, reply: messages.Reply
    ) -> None:
        """Record one attempt on a worker."""
        if reply.load is not None and reply.load.pace is not None:
            self._has_paced_workers = True
        if self._is_active:
            self._state.record_attempt(_class(request), reply, self._clock())

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

    def _count(self, place: str, request: messages.Request) -> None:
        self._app.service('metrics').increment(
            'capacity_refusals', place=place, priority=str(request.priority)
        )

    def _log(
        self, cls: entry.Class, refusal: errors.Refusal, now: float
    ) -> None:
        self._refused[cls] += 1
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        for known, count in self._refused.most_common():
            LOG.info(
                'entry: refused %d requests of %s, priority %d, team %s '
                'without an attempt; last: %s',
                count,
                known.route,
                known.priority,
                known.team or '-',
                refusal.reason,
            )
        self._refused.clear()


def _class(request: messages.Request) -> entry.Class:
    return entry.Class(
        request.service,
        request.version,
        request.route,
        request.priority,
        request.team,
    )
