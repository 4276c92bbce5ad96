"""Routes requests to workers, with retries; service ``router``.

A worker is an upstream that a node of the fleet has announced.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.fleet import distances
from damaskpier.fleet import entry_admission
from damaskpier.fleet import model
from damaskpier.fleet import peer_call
from damaskpier.fleet import region_check
from damaskpier.fleet import selector
from damaskpier import logs
from damaskpier import registry
from damaskpier.rollout import model as rollout_model
from damaskpier.traffic import messages
from damaskpier.traffic import retry

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from damaskpier import application
    from damaskpier import config
    from damaskpier.mesh import model as mesh_model
    from damaskpier.traffic.balancer import base

LOG = logs.get_logger(__name__)

# The workers of a service are read again from the membership after this time
# even without an event.
RECORDS_REFRESH_S = 1.0
# Attempts of one request, refused ones included.
MAX_ATTEMPTS = 4
# From this attempt on, a request waits for a slot until its deadline.
FULL_WAIT_ATTEMPT = 2
# Time until the deadline below which no further attempt starts.
MIN_REMAINING_S = 0.01
# Part of the latency objective that a request may wait for a slot of the first
# worker, because other workers may have a free one.
FIRST_WAIT_RATIO = 0.25
# Workers of which answers said that they leave, the latest ones.
MAX_LEFT_COUNT = 1024
# Size of a response that is assumed until the route has had one.
DEFAULT_RESPONSE_BYTES = 2000.0
RESPONSE_SIZE_WEIGHT = 0.1

# Stands for the result of an attempt whose node does not answer.
_STALL = errors.Refusal(
    errors.CALL_UNKNOWN,
    'the node does not answer',
    errors.RunState.UNKNOWN,
)
# Result of an attempt that is cancelled because its request has ended.
_GIVEN_UP = errors.Refusal(
    errors.CALL_UNKNOWN,
    'the attempt was given up while it ran',
    errors.RunState.UNKNOWN,
)


class Outcome(NamedTuple):
    """Result of a request.

    ``version`` is empty if any version may have served the request.
    ``attempts`` counts refused attempts too. ``worker`` is the node of the
    last attempt. ``return_s`` is the time in seconds after which a caller that
    was refused for lack of capacity should return; None for other results.
    """

    result: messages.Answer | errors.Refusal
    version: str = ''
    attempts: int = 0
    worker: str = ''
    return_s: float | None = None


class _Attempts:
    """Attempts of one request and their combined result.

    :param refusal: result if there is no worker for an attempt
    """

    def __init__(
        self, request: messages.Request, refusal: errors.Refusal
    ) -> None:
        self.request = request
        # Nodes of the attempts, those that are running included.
        self.tried: list[str] = []
        # Number of attempts that may have run, and whether one failed.
        self.runs = 0
        self.has_failed = False
        self.failed_worker = ''
        self._answer: messages.Answer | None = None
        self._refusal = refusal
        self._run_state = errors.RunState.NOT_RUN
        self._last_worker = ''

    def add_result(
        self, worker: str, result: messages.Answer | errors.Refusal
    ) -> None:
        """Record the result of an attempt."""
        self._last_worker = worker
        if isinstance(result, messages.Answer):
            self._answer = result
            self._run_state = errors.RunState.RUN
            has_failed = result.status >= 500
        else:
            self._run_state = retry.merge_run_states(
                self._run_state, result.run
            )
            self._refusal = result._replace(run=self._run_state)
            has_failed = result.run is not errors.RunState.NOT_RUN
        if has_failed and not self.has_failed:
            self.has_failed = True
            self.failed_worker = worker
        self.runs += _may_have_run(result)

    def responsible_worker(self) -> str:
        """Return the node of the worker that the outcome is of."""
        return self.failed_worker or self._last_worker

    def is_answered(self) -> bool:
        """Return whether an upstream has answered."""
        return self._answer is not None

    def is_answered_successfully(self) -> bool:
        """Return whether there is an answer that needs no retry."""
        return self._answer is not None and self._answer.status < 500

    def outcome(self) -> Outcome:
        """Return the caller's result; an answer takes precedence."""
        return Outcome(
            self._answer or self._refusal,
            self.request.version,
            len(self.tried),
            self._last_worker,
        )


class _RunningAttempt(NamedTuple):
    """Attempt that runs; ``stalled`` is done when its node does not answer."""

    worker: base.WorkerState
    task: asyncio.Task[messages.Answer | errors.Refusal]
    stalled: asyncio.Future[None]


class _SelectorEntry:
    """Selector for one version of a service, with its last refresh."""

    def __init__(self, selector_: selector.Selector) -> None:
        self.selector = selector_
        self.refreshed_at = float('-inf')


class Router(registry.Service):
    """Routes requests by the configuration in force.

    :param clock: returns the time in seconds
    :param rng: source of the choices among services and workers
    :param wall: returns the time in seconds since the epoch
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._app = app
        self._clock = clock
        self._wall = wall
        self._rng = rng or random.Random()
        self._selectors: dict[tuple[str, str], _SelectorEntry] = {}
        self._budgets: dict[str, retry.FleetRetryBudget] = {}
        self._response_bytes: dict[str, float] = {}
        self._entry = entry_admission.EntryAdmission(app, clock, self._rng)
        # Latest start of the workers of which an answer said that they leave,
        # by node and instance.
        self._left_started_ms: dict[tuple[str, str], int] = {}
        # Done when the running requests are to end without further waiting.
        self._abandoned: asyncio.Future[None] | None = None
        self._choices = distances.ChoiceCounts(app.service('metrics'), clock)
        app.events.connect('workers-changed', self._workers_changed)
        app.events.connect('settings-changed', self._settings_changed)

    async def start(self) -> None:
        """Start without requests to abandon."""
        self._abandoned = asyncio.get_running_loop().create_future()

    def mean_latency_s(self, service: str) -> float | None:
        """Return the mean latency of a service; None if unknown."""
        for key, entry in self._selectors.items():
            if key[0] == service and entry.selector.mean_latency_s:
                return entry.selector.mean_latency_s
        return None

    def abandon_requests(self) -> None:
        """End all requests with what is known of them."""
        if not self._abandoned.done():
            self._abandoned.set_result(None)

    async def route(
        self, route: model.Route, request: messages.Request
    ) -> Outcome:
        """Run a request on a worker of its route, with retries.

        :param request: request with empty service and version
        """
        service = self._choose_destination(route).service
        allowed = region_check.allowed_regions(self._app, request)
        rollouts = self._app.service('rollouts')
        version_choice = rollouts.choose_version(service, allowed)
        selector_ = self._selector(service, version_choice.version)
        request = request._replace(
            service=service, version=version_choice.version
        )
        began = self._clock()
        evacuations = self._app.service('evacuations')
        if not selector_ and evacuations.covers_service(service):
            return Outcome(evacuations.service_refusal(service))
        # The objective counts from the arrival at the ingress.
        arrival = self._entry.receive(
            request, request.objective - route.objective_s
        )
        attempts = _Attempts(
            arrival.request,
            region_check.refuse_without_worker(request, allowed),
        )
        if arrival.refusal is not None:
            attempts.add_result('', arrival.refusal)
        else:
            await self._run_attempts(route, selector_, attempts)
            self._entry.record(arrival, attempts.outcome().result)
        outcome = attempts.outcome()
        outcome = outcome._replace(
            return_s=self._entry.return_s(request, outcome.result)
        )
        self._record(route, service, version_choice, attempts, began)
        return outcome

    async def _run_attempts(
        self,
        route: model.Route,
        selector_: selector.Selector,
        attempts: _Attempts,
    ) -> None:
        """Make attempts until one is answered or no other one is allowed.

        An attempt whose node does not answer goes on while another one runs,
        because its worker may be at work; the first answer counts.
        """
        request = attempts.request
        self._budget(request.service).record_request()
        size = self._response_bytes.get(
            route.name, DEFAULT_RESPONSE_BYTES
        ) + len(request.body)
        running: list[_RunningAttempt] = []
        try:
            while True:
                allowed = region_check.allowed_regions(self._app, request)
                worker = selector_.pick(
                    size,
                    attempts.tried,
                    allowed,
                    route.objective_s,
                    self._preferred(attempts),
                )
                if worker is not None:
                    max_wait_s = self._max_wait_s(
                        route, selector_.count(allowed), attempts.tried
                    )
                    self._choices.record(
                        worker.tier, selector_.reason(worker, attempts.tried)
                    )
                    is_repeat = attempts.runs + len(running) > 0
                    attempts.tried.append(worker.key)
                    running.append(
                        self._start_attempt(
                            selector_,
                            worker,
                            request._replace(
                                max_wait_s=max_wait_s, is_repeat=is_repeat
                            ),
                        )
                    )
                if not await self._wait_for_repeat(route, attempts, running):
                    return
                self._app.service('metrics').increment('retries')
        finally:
            for attempt in running:
                attempt.task.cancel()
                if not attempts.is_answered():
                    attempts.add_result(attempt.worker.key, _GIVEN_UP)

    def _preferred(self, attempts: _Attempts) -> Collection[str]:
        """Return the workers to which the next attempt goes if possible."""
        if attempts.tried:
            return ()
        request = attempts.request
        rollouts = self._app.service('rollouts')
        return rollouts.canaries(request.service, request.version)

    def _start_attempt(
        self,
        selector_: selector.Selector,
        worker: base.WorkerState,
        request: messages.Request,
    ) -> _RunningAttempt:
        stalled = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(
            self._attempt(selector_, worker, request, stalled)
        )
        return _RunningAttempt(worker, task, stalled)

    async def _wait_for_repeat(
        self,
        route: model.Route,
        attempts: _Attempts,
        running: list[_RunningAttempt],
    ) -> bool:
        """Wait until another attempt is needed and allowed.

        :param running: attempts that run; ended ones are removed
        :returns: False if the request is answered or abandoned, or if no
            attempt runs and no other one is allowed
        """
        while running:
            if attempts.is_answered() and all(
                attempt.stalled.done() for attempt in running
            ):
                # A failure of an upstream is not held back for attempts that
                # may get no answer at all.
                return False
            # A stall calls for one other attempt, so that only that of the
            # latest attempt is waited for.
            newest = running[-1]
            waited = {attempt.task for attempt in running}
            waited.add(self._abandoned)
            if not newest.stalled.done():
                waited.add(newest.stalled)
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
            result = None
            for attempt in [item for item in running if item.task.done()]:
                running.remove(attempt)
                result = attempt.task.result()
                attempts.add_result(attempt.worker.key, result)
                if attempts.is_answered_successfully():
                    self._record_response_size(route, result)
                    return False
            if self._abandoned.done():
                return False
            if result is not None and self._may_start(
                route, attempts, len(running), result
            ):
                return True
            if (
                newest in running
                and newest.stalled.done()
                and self._may_start(route, attempts, len(running), _STALL)
            ):
                return True
        return False

    def _may_start(
        self,
        route: model.Route,
        attempts: _Attempts,
        running: int,
        result: messages.Answer | errors.Refusal,
    ) -> bool:
        """Return whether another attempt may start, and count it if so.

        :param running: number of attempts that run
        :param result: result of the attempt that calls for another one
        """
        remaining_s = attempts.request.deadline - self._clock()
        if not self._entry.may_try_again(
            attempts.request, len(attempts.tried), result
        ):
            return False
        if not _may_repeat(route, attempts, running, result, remaining_s):
            return False
        if not _reached_worker(result):
            return True
        return self._budget(attempts.request.service).try_acquire(
            is_repeat=_may_have_run(result)
        )

    def _max_wait_s(
        self,
        route: model.Route,
        worker_count: int,
        tried: list[str],
    ) -> float:
        """Return how long a request may wait for a slot, in seconds.

        :param worker_count: number of workers that may get the request
        """
        # One full worker does not mean that the others are full too. After a
        # second one, waiting is a better use of the remaining time than
        # another attempt (docs/measurements/overload.md).
        if len(tried) + 1 >= min(FULL_WAIT_ATTEMPT, worker_count):
            return float('inf')
        return FIRST_WAIT_RATIO * route.objective_s

    async def _attempt(
        self,
        selector_: selector.Selector,
        worker: base.WorkerState,
        request: messages.Request,
        stalled: asyncio.Future[None],
    ) -> messages.Answer | errors.Refusal:
        selector_.record_start(worker)
        began = self._clock()
        record = worker.record
        reply = None

        def on_silence() -> None:
            selector_.record_silence(worker)
            self._app.service('exchange').check_node(worker.record)

        try:
            reply = await self._app.service('peers').call(
                worker.record,
                request,
                peer_call.Observer(
                    on_silence, lambda: stalled.set_result(None)
                ),
            )
        finally:
            if reply is None:
                selector_.record_abandoned(worker, self._clock() - began)
        took_s = self._clock() - began
        selector_.record_outcome(worker, reply, took_s)
        self._entry.record_attempt(request, reply, took_s)
        if reply.leaving_started_ms is not None:
            self._record_left(record, reply.leaving_started_ms)
        if _is_unreachable(reply.result):
            self._app.service('exchange').check_node(worker.record)
        if isinstance(reply.result, errors.Refusal):
            self._log_refusal(request, worker, reply.result, began)
        return reply.result

    def _record_left(
        self, record: mesh_model.NodeRecord, started_ms: int
    ) -> None:
        """Send no more requests to a worker that said that it is leaving.

        The node beside it may be unable to announce that, or may have
        forgotten it in a restart.

        :param started_ms: start of the worker since the epoch; 0 if unknown
        """
        key = record.node_id, record.instance
        if not started_ms:
            # The start is unknown, but it is in the past.
            started_ms = record.started_ms or int(self._wall() * 1000)
        if self._left_started_ms.get(key, -1) >= started_ms:
            return
        LOG.info(
            'router: %s on %s says that it is leaving',
            record.instance,
            record.node_id,
        )
        self._left_started_ms[key] = started_ms
        if len(self._left_started_ms) > MAX_LEFT_COUNT:
            del self._left_started_ms[next(iter(self._left_started_ms))]
        self._workers_changed(record.service)

    def _has_left(self, record: mesh_model.NodeRecord) -> bool:
        left_ms = self._left_started_ms.get((record.node_id, record.instance))
        return left_ms is not None and record.started_ms <= left_ms

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
                    membership.local_record,
                    self._rng,
                    self._clock,
                    self._app.service('exchange').gets_few_replies,
                )
            )
        now = self._clock()
        if now - entry.refreshed_at >= RECORDS_REFRESH_S:
            entry.refreshed_at = now
            rollouts = self._app.service('rollouts')
            evacuations = self._app.service('evacuations')
            entry.selector.update(
                record
                for record in evacuations.without_evacuated(
                    membership.workers(service)
                )
                if rollouts.accepts_worker(service, version, record.version)
                and not self._has_left(record)
            )
        return entry.selector

    def _budget(self, service: str) -> retry.FleetRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = retry.FleetRetryBudget(
                self._retry_limit(),
                lambda: len(self._app.service('membership').nodes()),
                self._app.service('worker').recent_retry_ratio,
                self._clock,
            )
        return budget

    def _retry_limit(self) -> retry.FleetRetryLimit:
        cfg = self._app.cfg
        return retry.FleetRetryLimit(
            cfg.number('fleet', 'retry_ratio'),
            cfg.number('fleet', 'retry_slack'),
            cfg.number('fleet', 'retry_window'),
        )

    def _settings_changed(self, before: config.Settings) -> None:
        for budget in self._budgets.values():
            budget.limit = self._retry_limit()

    def _record_response_size(
        self, route: model.Route, answer: messages.Answer
    ) -> None:
        if answer.status >= 300:
            return
        size = float(len(answer.body))
        previous = self._response_bytes.get(route.name, size)
        self._response_bytes[route.name] = previous + RESPONSE_SIZE_WEIGHT * (
            size - previous
        )

    def _record(
        self,
        route: model.Route,
        service: str,
        version_choice: rollout_model.VersionChoice,
        attempts: _Attempts,
        began: float,
    ) -> None:
        # A request that no worker ran depends on the load, not on the version.
        if not 0 < version_choice.share < 1 or not attempts.runs:
            return
        self._app.service('rollouts').record(
            service,
            route.name,
            version_choice.version,
            attempts.has_failed,
            (self._clock() - began) * 1000,
            version_choice.share,
            attempts.responsible_worker(),
        )

    def _workers_changed(self, service: str) -> None:
        for key, entry in self._selectors.items():
            if key[0] == service:
                entry.refreshed_at = float('-inf')


def _may_repeat(
    route: model.Route,
    attempts: _Attempts,
    running: int,
    result: messages.Answer | errors.Refusal,
    remaining_s: float,
) -> bool:
    """Return whether another attempt is allowed, apart from the budget."""
    if len(attempts.tried) >= MAX_ATTEMPTS or remaining_s < MIN_REMAINING_S:
        return False
    if attempts.runs + running >= route.max_attempts:
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
    """Return whether the attempt counts as a request to the worker."""
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
