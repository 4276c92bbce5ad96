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
RECORDS_REFRESH_S = 1.0
# Attempts of one request, refused ones included.
MAX_ATTEMPTS = 4
# Attempt from which on a request waits for a slot as long as it can.
FULL_WAIT_ATTEMPT = 2
# Time that another attempt has to have left to be worth starting.
MIN_REMAINING_S = 0.01
# Part of the latency objective that a request may wait for a slot of the
# first worker while others may have a free one.
FIRST_WAIT_RATIO = 0.25
# Bytes of a request and its response that are assumed until responses of
# the route have shown theirs.
DEFAULT_RESPONSE_BYTES = 2000.0
RESPONSE_SIZE_WEIGHT = 0.1


class Outcome(NamedTuple):
    """Result of a request."""

    result: messages.Answer | errors.Refusal
    version: str = ''
    attempts: int = 0
    worker: str = ''


class _Attempts:
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
        self._run_state = errors.RunState.NOT_RUN

    def add_result(
        self, worker: str, result: messages.Answer | errors.Refusal
    ) -> None:
        """Note the result of an attempt."""
        self.tried.append(worker)
        if isinstance(result, messages.Answer):
            self._answer = result
            self._run_state = errors.RunState.RUN
            self.has_failed |= result.status >= 500
        else:
            self._run_state = retry.merge_run_states(
                self._run_state, result.run
            )
            self._refusal = result._replace(run=self._run_state)
            self.has_failed |= result.run is not errors.RunState.NOT_RUN
        self.runs += _may_have_run(result)

    def is_answered_successfully(self) -> bool:
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


class _SelectorEntry:
    def __init__(self, selector_: selector.Selector) -> None:
        self.selector_ = selector_
        self.refreshed_at = float('-inf')


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
        self._selectors: dict[tuple[str, str], _SelectorEntry] = {}
        self._budgets: dict[str, retry.FleetRetryBudget] = {}
        self._response_bytes: dict[str, float] = {}
        app.events.connect('workers-changed', self._workers_changed)

    async def route(
        self, route: model.Route, request: messages.Request
    ) -> Outcome:
        """Run a request on a worker of its route.

        :param request: request with its service and version left empty
        """
        service = self._choose_destination(route).service
        version_choice = self._app.service('rollouts').choose_version(service)
        selector_ = self._selector(service, version_choice.version)
        request = request._replace(
            service=service, version=version_choice.version
        )
        began = self._clock()
        attempts = _Attempts(request)
        await self._run_attempts(route, selector_, attempts)
        outcome = attempts.outcome()
        self._record(route, service, version_choice, attempts, began)
        return outcome

    async def _run_attempts(
        self,
        route: model.Route,
        selector_: selector.Selector,
        attempts: _Attempts,
    ) -> None:
        request = attempts.request
        budget = self._budget(request.service)
        budget.record_request()
        size = self._response_bytes.get(
            route.name, DEFAULT_RESPONSE_BYTES
        ) + len(request.body)
        while True:
            worker = selector_.pick(size, attempts.tried)
            if worker is None:
                return
            attempt_request = request._replace(
                max_wait_s=self._max_wait_s(route, selector_, attempts.tried),
                is_repeat=attempts.runs > 0,
            )
            result = await self._attempt(selector_, worker, attempt_request)
            attempts.add_result(worker.key, result)
            if attempts.is_answered_successfully():
                self._record_response_size(route, result)
                return
            remaining_s = request.deadline - self._clock()
            if not _may_repeat(route, attempts, result, remaining_s):
                return
            if _reached_worker(result) and not budget.try_acquire(
                is_repeat=_may_have_run(result)
            ):
                return
            self._app.service('metrics').increment('retries')

    def _max_wait_s(
        self,
        route: model.Route,
        selector_: selector.Selector,
        tried: list[str],
    ) -> float:
        """Return how long a request may wait for a slot of a worker."""
        # One full worker tells little; after a second one, going on costs
        # time that waiting would use better (docs/measurements/overload.md).
        if len(tried) + 1 >= min(FULL_WAIT_ATTEMPT, len(selector_)):
            return float('inf')
        return FIRST_WAIT_RATIO * route.objective_s

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
            self._app.service('exchange').check_node(worker.record)
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

    def _choose_destination(self, route: model.Route) -> model.WeightedService:
        if len(route.destinations) == 1:
            return route.destinations[0]
        weights = [destination.weight for destination in route.destinations]
        return self._rng.choices(route.destinations, weights)[0]

    def _selector(self, service: str, version: str) -> selector.Selector:
        entry = self._selectors.get((service, version))
        membership = self._app.service('membership')
        if entry is None:
            entry = self._selectors[service, version] = _SelectorEntry(
                selector.Selector(
                    membership.local_record, self._rng, self._clock
                )
            )
        now = self._clock()
        if now - entry.refreshed_at >= RECORDS_REFRESH_S:
            entry.refreshed_at = now
            rollouts = self._app.service('rollouts')
            entry.selector_.update(
                record
                for record in membership.workers(service)
                if rollouts.accepts_worker(service, version, record.version)
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
                self._app.service('worker').recent_retry_ratio,
                self._clock,
            )
        return budget

    def _record_response_size(
        self, route: model.Route, answer: messages.Answer
    ) -> None:
        if answer.status >= 300:
            return
        size = float(len(answer.body))
        known = self._response_bytes.get(route.name, size)
        self._response_bytes[route.name] = known + RESPONSE_SIZE_WEIGHT * (
            size - known
        )

    def _record(
        self,
        route: model.Route,
        service: str,
        version_choice: rollout_model.VersionChoice,
        attempts: _Attempts,
        began: float,
    ) -> None:
        # A request that ran nowhere tells of the load and not of the version.
        if not 0 < version_choice.share < 1 or not attempts.runs:
            return
        self._app.service('rollouts').record(
            service,
            route.name,
            version_choice.version,
            attempts.has_failed,
            (self._clock() - began) * 1000,
            version_choice.share,
        )

    def _workers_changed(self, service: str) -> None:
        for key, entry in self._selectors.items():
            if key[0] == service:
                entry.refreshed_at = float('-inf')


def _may_repeat(
    route: model.Route,
    attempts: _Attempts,
    result: messages.Answer | errors.Refusal,
    remaining_s: float,
) -> bool:
    """Tell whether another attempt is allowed, the budget aside."""
    if len(attempts.tried) >= MAX_ATTEMPTS or remaining_s < MIN_REMAINING_S:
        return False
    if attempts.runs >= route.max_attempts:
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
