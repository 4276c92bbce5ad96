"""Carries a request from its route to a worker; service ``router``."""

from __future__ import annotations

import logging
import random
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.fleet import selector
from damaskpier import registry
from damaskpier.rollout import model as rollout_model
from damaskpier.traffic import messages
from damaskpier.traffic import retry

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier.traffic.balancer import base

LOG = logging.getLogger(__name__)

# Records are looked up again after this time even without an event.
REFRESH_S = 1.0
# Attempts of one request, refused ones included.
MAX_TRIES = 4
# Attempt from which on a request waits for a slot as long as it can.
PATIENT_TRY = 2
# Time that another attempt has to have left to be worth starting.
MIN_REMAINING_S = 0.01
# Part of the latency objective that a request may wait for a slot of the
# first worker while others may have a free one.
FIRST_PATIENCE = 0.25
# Bytes of a request and its response that are assumed until responses of
# the route have shown theirs.
UNKNOWN_BYTES = 2000.0
BYTES_WEIGHT = 0.1


class Outcome(NamedTuple):
    """Result of a request."""

    result: messages.Answer | errors.Refusal
    version: str = ''
    attempts: int = 0
    worker: str = ''


class _Course:
    """Attempts of one request and what they together tell."""

    def __init__(self, request: messages.Request) -> None:
        self.request = request
        self.tried: list[str] = []
        # Attempts that may have run, and whether one of them failed.
        self.runs = 0
        self.has_failed = False
        self._answer: messages.Answer | None = None
        self._refusal = errors.Refusal(
            errors.CALL_NO_WORKER,
            f'no worker of {request.service} {request.version} is ready',
        )
        self._run = errors.RunState.NOT_RUN

    def add(
        self, worker: str, result: messages.Answer | errors.Refusal
    ) -> None:
        """Note the result of an attempt."""
        self.tried.append(worker)
        if isinstance(result, messages.Answer):
            self._answer = result
            self._run = errors.RunState.RUN
            self.has_failed |= result.status >= 500
        else:
            self._run = retry.merge_run_states(self._run, result.run)
            self._refusal = result._replace(run=self._run)
            self.has_failed |= result.run is not errors.RunState.NOT_RUN
        self.runs += _may_have_run(result)

    def is_answered(self) -> bool:
        """Tell whether there is an answer that no repeat would better."""
        return self._answer is not None and self._answer.status < 500

    def outcome(self) -> Outcome:
        """Return what the caller gets; an answer goes before a refusal."""
        return Outcome(
            self._answer or self._refusal,
            self.request.version,
            len(self.tried),
            self.tried[-1] if self.tried else '',
        )


class _Workers:
    def __init__(self, selector_: selector.Selector) -> None:
        self.selector_ = selector_
        self.refreshed = float('-inf')


class Router(registry.Service):
    """Routes requests by the configuration in force.

    :param clock: returns the time in seconds
    :param rng: source of all random choices
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._app = app
        self._clock = clock
        self._rng = rng or random.Random()
        self._workers: dict[tuple[str, str], _Workers] = {}
        self._budgets: dict[str, retry.FleetRetryBudget] = {}
        self._bytes: dict[str, float] = {}
        app.events.connect('workers-changed', self._changed)

    async def route(
        self, route: model.Route, request: messages.Request
    ) -> Outcome:
        """Run a request on a worker of its route.

        :param request: request with its service and version left empty
        """
        service = self._choose_part(route).service
        picked = self._app.service('rollouts').choose_version(service)
        selector_ = self._chooser(service, picked.version)
        request = request._replace(service=service, version=picked.version)
        began = self._clock()
        course = _Course(request)
        await self._attempts(route, selector_, course)
        outcome = course.outcome()
        self._record(route, service, picked, course, began)
        return outcome

    async def _attempts(
        self, route: model.Route, selector_: selector.Selector, course: _Course
    ) -> None:
        request = course.request
        budget = self._budget(request.service)
        budget.record_request()
        size = self._bytes.get(route.name, UNKNOWN_BYTES) + len(request.body)
        while True:
            worker = selector_.pick(size, course.tried)
            if worker is None:
                return
            patient = request._replace(
                max_wait_s=self._patience_s(route, selector_, course.tried),
                is_repeat=course.runs > 0,
            )
            result = await self._attempt(selector_, worker, patient)
            course.add(worker.key, result)
            if course.is_answered():
                self._note_size(route, result)
                return
            remaining_s = request.deadline - self._clock()
            if not _may_repeat(route, course, result, remaining_s):
                return
            if _reached_worker(result) and not budget.try_acquire(
                is_repeat=_may_have_run(result)
            ):
                return
            self._app.service('metrics').increment('retries')

    def _patience_s(
        self,
        route: model.Route,
        selector_: selector.Selector,
        tried: list[str],
    ) -> float:
        """Return how long a request may wait for a slot of a worker."""
        # One full worker tells little; after a second one, going on costs
        # time that waiting would use better (docs/measurements/overload.md).
        if len(tried) + 1 >= min(PATIENT_TRY, len(selector_)):
            return float('inf')
        return FIRST_PATIENCE * route.objective_s

    async def _attempt(
        self,
        selector_: selector.Selector,
        worker: base.WorkerState,
        request: messages.Request,
    ) -> messages.Answer | errors.Refusal:
        selector_.record_start(worker)
        began = self._clock()
        reply = None
        try:
            reply = await self._app.service('peers').call(
                worker.record, request
            )
        finally:
            if reply is None:
                selector_.record_inconclusive(worker)
        took_s = self._clock() - began
        selector_.record_outcome(worker, reply, took_s)
        if _is_unreachable(reply.result):
            self._app.service('exchange').suspect(worker.record)
        if isinstance(reply.result, errors.Refusal):
            self._log_refusal(request, worker, reply.result, began)
        return reply.result

    def _log_refusal(
        self,
        request: messages.Request,
        worker: base.WorkerState,
        refusal: errors.Refusal,
        began: float,
    ) -> None:
        now = self._clock()
        load = worker.load
        LOG.info(
            'router: %s of %s: %s on %s failed: %s; run %s; after %d ms, %d '
            'ms left; worker tier %d, %d own requests there, load %s',
            request.request_id,
            request.route,
            'repeat' if request.is_repeat else 'try',
            worker.key,
            refusal,
            errors.RUN_STATE_NAMES[refusal.run],
            (now - began) * 1000,
            (request.deadline - now) * 1000,
            worker.tier,
            worker.outstanding,
            'unknown'
            if load is None
            else f'{load.in_use}+{load.queued}/{load.slots}, '
            f'{(now - worker.load_at) * 1000:.0f} ms old',
        )

    def _choose_part(self, route: model.Route) -> model.WeightedService:
        if len(route.parts) == 1:
            return route.parts[0]
        weights = [part.weight for part in route.parts]
        return self._rng.choices(route.parts, weights)[0]

    def _chooser(self, service: str, version: str) -> selector.Selector:
        entry = self._workers.get((service, version))
        membership = self._app.service('membership')
        if entry is None:
            entry = self._workers[service, version] = _Workers(
                selector.Selector(
                    membership.local_record, self._rng, self._clock
                )
            )
        now = self._clock()
        if now - entry.refreshed >= REFRESH_S:
            entry.refreshed = now
            rollouts = self._app.service('rollouts')
            entry.selector_.update(
                record
                for record in membership.workers(service)
                if rollouts.accepts(service, version, record.version)
            )
        return entry.selector_

    def _budget(self, service: str) -> retry.FleetRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            cfg = self._app.cfg
            budget = self._budgets[service] = retry.FleetRetryBudget(
                retry.FleetRetryLimit(
                    cfg.number('fleet', 'retry_ratio'),
                    cfg.number('fleet', 'retry_slack'),
                    cfg.number('fleet', 'retry_window'),
                ),
                lambda: len(self._app.service('membership').nodes()),
                self._app.service('worker').repeated_part,
                self._clock,
            )
        return budget

    def _note_size(self, route: model.Route, answer: messages.Answer) -> None:
        if answer.status >= 300:
            return
        size = float(len(answer.body))
        known = self._bytes.get(route.name, size)
        self._bytes[route.name] = known + BYTES_WEIGHT * (size - known)

    def _record(
        self,
        route: model.Route,
        service: str,
        picked: rollout_model.VersionChoice,
        course: _Course,
        began: float,
    ) -> None:
        # A request that ran nowhere tells of the load and not of the version.
        if not 0 < picked.share < 1 or not course.runs:
            return
        self._app.service('rollouts').record(
            service,
            route.name,
            picked.version,
            course.has_failed,
            (self._clock() - began) * 1000,
            picked.share,
        )

    def _changed(self, service: str) -> None:
        for key, entry in self._workers.items():
            if key[0] == service:
                entry.refreshed = float('-inf')


def _may_repeat(
    route: model.Route,
    course: _Course,
    result: messages.Answer | errors.Refusal,
    remaining_s: float,
) -> bool:
    """Tell whether another attempt is allowed, the budget aside."""
    if len(course.tried) >= MAX_TRIES or remaining_s < MIN_REMAINING_S:
        return False
    if course.runs >= route.max_attempts:
        return False
    if _may_have_run(result):
        return route.repeatable
    return result.code in retry.RETRYABLE_REFUSALS


def _may_have_run(result: messages.Answer | errors.Refusal) -> bool:
    return (
        isinstance(result, messages.Answer)
        or result.run is not errors.RunState.NOT_RUN
    )


def _reached_worker(result: messages.Answer | errors.Refusal) -> bool:
    """Tell whether the attempt counts as a request of the worker."""
    return _may_have_run(result) or result.code is errors.CALL_UPSTREAM_REFUSED


def _is_unreachable(result: messages.Answer | errors.Refusal) -> bool:
    return isinstance(result, errors.Refusal) and result.code in (
        errors.CALL_CONNECT,
        errors.CALL_UNKNOWN,
    )


def setup(app: application.Application) -> None:
    """Register the service ``router``."""
    app.add_service(
        'router',
        Router(app),
        after=('metrics', 'membership', 'peers', 'rollouts', 'configuration'),
    )
