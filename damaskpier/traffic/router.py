"""Routing of requests to workers, with retries."""

from __future__ import annotations

import random
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.rollout import model as rollout_model
from damaskpier.traffic import balancer
from damaskpier.traffic import messages
from damaskpier.traffic import retry
from damaskpier.traffic import routes
from damaskpier.traffic import selector

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier.bundle import model

# The records of the workers are read again after this time, even without a
# ``workers-changed`` event.
WORKERS_REFRESH_S = 1.0


class Outcome(NamedTuple):
    """Result of a request and the upstream version that it was sent to."""

    result: messages.Answer | errors.Refusal
    version: str = ''
    attempts: int = 0


class _VersionWorkers:
    """Selector of the workers of one version of a service."""

    def __init__(self, worker_selector: selector.Selector) -> None:
        self.worker_selector = worker_selector
        self.refreshed_at = float('-inf')


class Router:
    """Routes requests by the active snapshot.

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
        self._table: routes.RouteTable | None = None
        self._workers: dict[tuple[str, str], _VersionWorkers] = {}
        self._budgets: dict[str, retry.RetryBudget] = {}
        app.events.connect('workers-changed', self._expire_workers)

    def table(self) -> routes.RouteTable | None:
        """Return the routes of the active snapshot."""
        snapshot = self._app.service('configuration').current()
        if snapshot is None:
            return None
        if self._table is None or self._table.snapshot is not snapshot:
            self._table = routes.RouteTable(snapshot)
            self._drop_unused(snapshot)
        return self._table

    async def route(
        self,
        snapshot: model.Snapshot,
        route: model.RouteSpec,
        request: messages.Request,
    ) -> Outcome:
        """Run a request on a worker of its route's service.

        :param snapshot: configuration at the start of the request
        :param request: request whose version is still empty
        """
        choice = self._app.service('rollouts').choose_version(snapshot, route)
        choice = self._mark_forced_choice(snapshot, route, choice)
        picked = choice.version
        version, worker_selector = self._version_with_workers(
            snapshot, route, picked
        )
        if worker_selector is None:
            return Outcome(
                errors.Refusal(
                    errors.CALL_NO_WORKER,
                    f'no worker of {route.service} {picked} is ready',
                ),
                picked,
            )
        began = self._clock()
        outcome, lost = await self._attempt_with_retries(
            worker_selector, request._replace(version=version)
        )
        if version == picked:
            self._record_sample(snapshot, route, choice, outcome, lost, began)
        return outcome

    async def _attempt_with_retries(
        self, worker_selector: selector.Selector, request: messages.Request
    ) -> tuple[Outcome, bool]:
        budget = self._budgets.get(request.service)
        if budget is None:
            budget = retry.RetryBudget(self._clock)
            self._budgets[request.service] = budget
        budget.record_request()
        tried: list[str] = []
        run = errors.RunState.NOT_RUN
        lost = False
        while True:
            worker = worker_selector.pick(tried)
            if worker is None:
                refusal = errors.Refusal(
                    errors.CALL_NO_WORKER, 'every worker is leaving', run
                )
                break
            tried.append(worker.key)
            result = await self._attempt(worker_selector, worker, request)
            if isinstance(result, messages.Answer):
                return Outcome(result, request.version, len(tried)), lost
            lost = lost or result.run is errors.RunState.UNKNOWN
            run = retry.merge_run_states(run, result.run)
            refusal = result._replace(run=run)
            if not retry.may_retry(
                result,
                repeatable=request.repeatable,
                attempts=len(tried),
                remaining_s=request.deadline - self._clock(),
            ):
                break
            if not budget.try_acquire():
                break
            self._app.service('metrics').increment('retries')
        return Outcome(refusal, request.version, len(tried)), lost

    async def _attempt(
        self,
        worker_selector: selector.Selector,
        worker: balancer.base.WorkerState,
        request: messages.Request,
    ) -> messages.Answer | errors.Refusal:
        worker_selector.record_start(worker)
        began = self._clock()
        reply = None
        try:
            reply = await self._app.service('peers').call(
                worker.record, request
            )
        finally:
            if reply is None:
                worker_selector.record_inconclusive(worker)
        worker_selector.record_outcome(worker, reply, self._clock() - began)
        return reply.result

    def _mark_forced_choice(
        self,
        snapshot: model.Snapshot,
        route: model.RouteSpec,
        choice: rollout_model.VersionChoice,
    ) -> rollout_model.VersionChoice:
        """Set the share to 0 or 1 where only one version has workers.

        The evidence compares the versions by the share with which they were
        chosen. Requests that a version without workers could not get would
        count against the other version.
        """
        move = snapshot.move_for(route.service)
        if move is None or not 0 < choice.share < 1:
            return choice
        is_new = choice.version == move.new
        other = move.old if is_new else move.new
        if len(self._selector(snapshot, route.service, other)):
            return choice
        return choice._replace(share=float(is_new))

    def _version_with_workers(
        self,
        snapshot: model.Snapshot,
        route: model.RouteSpec,
        picked: str,
    ) -> tuple[str, selector.Selector | None]:
        worker_selector = self._selector(snapshot, route.service, picked)
        if len(worker_selector):
            return picked, worker_selector
        other = self._other_version(snapshot, route, picked)
        if other is not None:
            worker_selector = self._selector(snapshot, route.service, other)
            if len(worker_selector):
                return other, worker_selector
        return picked, None

    def _other_version(
        self,
        snapshot: model.Snapshot,
        route: model.RouteSpec,
        picked: str,
    ) -> str | None:
        """Return the version to use if the chosen one has no workers.

        :returns: None if no other version may be used
        """
        move = snapshot.move_for(route.service)
        if move is None:
            return None
        if picked == move.new:
            return move.old
        if picked != move.old:
            return None
        # The share is also 0 for a version that was taken back. A version
        # that only this node has stopped using is recorded by the evidence
        # service.
        share = self._app.service('rollouts').share(route.service, route.name)
        tripped = self._app.has_service('evidence') and self._app.service(
            'evidence'
        ).is_tripped(move.move, route.name)
        return move.new if share > 0 and not tripped else None

    def _selector(
        self, snapshot: model.Snapshot, service: str, version: str
    ) -> selector.Selector:
        policy = balancer.DEFAULT_POLICY
        spec = snapshot.bundle.services.get(service)
        if spec is not None and spec.policy in balancer.POLICIES:
            policy = spec.policy
        entry = self._workers.get((service, version))
        membership = self._app.service('membership')
        if entry is None or entry.worker_selector.policy != policy:
            entry = _VersionWorkers(
                selector.Selector(
                    membership.local_record(), policy, self._rng, self._clock
                )
            )
            self._workers[service, version] = entry
        now = self._clock()
        if now - entry.refreshed_at >= WORKERS_REFRESH_S:
            entry.refreshed_at = now
            entry.worker_selector.update(
                record
                for record in membership.workers(service)
                if record.version == version and record.routable
            )
        return entry.worker_selector

    def _record_sample(
        self,
        snapshot: model.Snapshot,
        route: model.RouteSpec,
        choice: rollout_model.VersionChoice,
        outcome: Outcome,
        lost: bool,
        began: float,
    ) -> None:
        move = snapshot.move_for(route.service)
        if move is None or outcome.version not in (move.old, move.new):
            return
        if isinstance(outcome.result, messages.Answer):
            failed = outcome.result.status >= 500
        else:
            failed = True
        self._app.service('rollouts').record(
            rollout_model.Sample(
                move=move.move,
                route=route.name,
                is_new=outcome.version == move.new,
                # A successful retry must not hide an earlier lost answer.
                failed=failed or lost,
                ms=(self._clock() - began) * 1000,
                share=choice.share,
            )
        )

    def _expire_workers(self, service: str) -> None:
        for key, entry in self._workers.items():
            if key[0] == service:
                entry.refreshed_at = float('-inf')

    def _drop_unused(self, snapshot: model.Snapshot) -> None:
        services = snapshot.bundle.services
        for key in [k for k in self._workers if k[0] not in services]:
            del self._workers[key]
        for name in [k for k in self._budgets if k not in services]:
            del self._budgets[name]
