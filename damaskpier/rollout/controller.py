"""Decisions about a move from merged evidence and local trips.

The controller has no clock and no connections: the caller passes in the
time, the evidence and the trip notices, and distributes the states that
:meth:`MoveController.step` returns.
"""

from __future__ import annotations

from collections.abc import Iterable
import logging
import math
from typing import TYPE_CHECKING
from typing import TypedDict

from damaskpier import errors
from damaskpier.rollout import baseline
from damaskpier.rollout import equal_share_check
from damaskpier.rollout import model
from damaskpier.rollout import options as options_
from damaskpier.rollout import route as route_
from damaskpier.rollout import sequential_test
from damaskpier.rollout import shares

if TYPE_CHECKING:
    from damaskpier.bundle import model as bundle_model

LOG = logging.getLogger(__name__)

# The share changes by at least this factor, to save messages.
MIN_SHARE_FACTOR = 1.2
# Time with all requests on the new version before a move is done, as a part
# of the time of the move, and its upper bound.
TRIAL_RATIO = 0.04
TRIAL_MAX_S = 15.0
# A move finishes MARGIN_S before the stated time, or MARGIN_RATIO of its time
# if that is shorter, so that the last state reaches all nodes in time.
MARGIN_S = 0.5
MARGIN_RATIO = 0.02
# A version with a larger share than this has passed its warm-up.
WARM_SHARE = 0.1
# At the stated time, this capital against a version takes it back.
LATE_CAPITAL = 20.0
# Part of the capital for the comparison over all routes of the service.
SERVICE_CAPITAL_RATIO = 0.5


class RouteEvidence(TypedDict):
    """Evidence on a route, as it is stored and shown to operators."""

    route: str
    share: float
    old_requests: int
    old_failures: int
    new_requests: int
    new_failures: int
    capital: float
    statistic: str
    failure_domain: str
    state: str


class EvidenceSummary(TypedDict):
    """Evidence on a move, as it is stored and shown to operators."""

    move: str
    phase: str
    reason: str
    result: str
    capital: float
    limit: float
    routes: list[RouteEvidence]


class MoveController:
    """Decides about one move.

    :param move: the move
    :param routes: routes of the service
    :param epoch: epoch of the lease under which the controller decides
    :param options: options of the decisions; None for the defaults
    """

    def __init__(
        self,
        move: bundle_model.Move,
        routes: Iterable[bundle_model.RouteSpec],
        epoch: int,
        options: options_.Options | None = None,
    ) -> None:
        self._move = move
        self._options = options or options_.Options()
        self._routes = {
            spec.name: route_.RouteController(move, spec, self._options)
            for spec in sorted(routes)
        }
        self._epoch = epoch
        self._seq = 0
        self._state: model.MoveState | None = None
        self._phase = model.Phase.RUNNING
        self._reason = ''
        self._result = 0
        self._full_since: float | None = None
        self._first_new_window: int | None = None
        self._service_test = sequential_test.ShareBands(
            sequential_test.CapitalSchedule(move.start, move.by)
        )

    @property
    def limit(self) -> float:
        """Return the capital at which the version is taken back."""
        return 1.0 / self._options.error_rate

    @property
    def state(self) -> model.MoveState | None:
        """Return the last state that :meth:`step` returned."""
        return self._state

    def resume(self, state: model.MoveState) -> None:
        """Continue from a stored state under the epoch of this controller.

        Evidence is collected anew. If the epoch of the state is higher than
        that of the controller, the controller adopts it.
        """
        self._epoch = max(self._epoch, state.epoch)
        if state.epoch == self._epoch:
            self._seq = max(self._seq, state.seq)
        if self._phase is model.Phase.TAKEN_BACK:
            return
        self._phase = state.phase
        self._reason = state.reason
        self._result = state.result
        for name, control in self._routes.items():
            control.resume(state.shares.get(name, 0.0))
        if max(state.shares.values(), default=0.0) > WARM_SHARE:
            # The new version was in use before, so its warm-up is over.
            self._first_new_window = math.floor(
                self._move.start - route_.WARMUP_MAX_S
            )

    def observe(self, cells: Iterable[model.EvidenceCell], now: float) -> None:
        """Add evidence of this move; cells of other moves are ignored.

        :param now: time in s
        """
        for cell in cells:
            control = self._routes.get(cell.route)
            if cell.move != self._move.move or control is None:
                continue
            if cell.new.requests and (
                self._first_new_window is None
                or cell.window < self._first_new_window
            ):
                self._first_new_window = cell.window
            log_ratios = control.observe(cell, self._first_new_window, now)
            if log_ratios is not None:
                self._service_test.update(cell.window, cell.share, log_ratios)

    def observe_trip(self, notice: model.TripNotice, now: float) -> None:
        """Add the notice that a node tripped; ignored for other moves."""
        control = self._routes.get(notice.route)
        if notice.move == self._move.move and control is not None:
            control.observe_trip(notice, now)

    def take_back(self, reason: str, code: errors.ResultCode) -> None:
        """Take the move back; the next :meth:`step` returns the state."""
        if self._phase is model.Phase.TAKEN_BACK:
            return
        self._phase = model.Phase.TAKEN_BACK
        self._reason = reason
        self._result = code.number

    def step(self, now: float) -> model.MoveState | None:
        """Evaluate the evidence and plan the shares.

        :param now: time in s
        :returns: the new state if it changed, otherwise None
        """
        if self._phase is not model.Phase.TAKEN_BACK:
            self._evaluate(now)
        if self._phase is model.Phase.TAKEN_BACK:
            planned = dict.fromkeys(self._routes, 0.0)
        else:
            planned = self._plan_shares(now)
        return self._next_state(planned)

    def evidence_summary(self) -> EvidenceSummary:
        """Return the evidence for the audit trail and for operators."""
        return EvidenceSummary(
            move=self._move.move,
            phase=self._phase.value,
            reason=self._reason,
            result=f'DP-{self._result}' if self._result else '',
            capital=self._combined_result()[0],
            limit=self.limit,
            routes=[
                RouteEvidence(route=name, **control.summary())
                for name, control in self._routes.items()
            ],
        )

    def _evaluate(self, now: float) -> None:
        for name, control in self._routes.items():
            result = control.conclusive_result(self._options.error_rate)
            if result is not None:
                self._take_back_worse(name, result)
                return
        late = self._phase is model.Phase.RUNNING and self._is_finish_due(now)
        capital, name, result = self._combined_result()
        if capital < (LATE_CAPITAL if late else self.limit):
            return
        # If nodes have no worker of the new version, fewer requests than its
        # share go to it, and the capital grows without any failure.
        if result.statistic != baseline.FAILURE or self._has_more_failures(
            name
        ):
            self._take_back_worse(name, result)

    def _has_more_failures(self, route: str) -> bool:
        controls = self._controllers_of(route)
        return sum(c.new_failures for c in controls) * sum(
            c.old_requests for c in controls
        ) > sum(c.old_failures for c in controls) * sum(
            c.new_requests for c in controls
        )

    def _controllers_of(self, route: str) -> list[route_.RouteController]:
        """Return the controller of a route, or all for an empty name."""
        return [
            control
            for name, control in self._routes.items()
            if route in ('', name)
        ]

    def _combined_result(
        self,
    ) -> tuple[float, str, sequential_test.SequentialTestResult]:
        """Return the total capital, and where most of it is.

        :returns: total capital, name of the route with the strongest result
            (empty for all routes together), and that result
        """
        best = self._service_test.result()
        best = best._replace(capital=SERVICE_CAPITAL_RATIO * best.capital)
        total = best.capital
        where = ''
        part = (1.0 - SERVICE_CAPITAL_RATIO) / max(len(self._routes), 1)
        for name, control in self._routes.items():
            found = control.result()
            total += part * found.capital
            if part * found.capital > best.capital:
                best = found._replace(capital=part * found.capital)
                where = name
        return total, where, best

    def _take_back_worse(
        self, route: str, result: sequential_test.SequentialTestResult
    ) -> None:
        code = (
            errors.ROLLOUT_FAILURES
            if result.statistic == baseline.FAILURE
            else errors.ROLLOUT_SLOW
        )
        what = (
            'more failures'
            if result.statistic == baseline.FAILURE
            else f'slower answers ({result.statistic})'
        )
        controls = self._controllers_of(route)
        self.take_back(
            f'{what} of the new version on {route or "all routes"}'
            + (f' in {result.failure_domain}' if result.failure_domain else '')
            + f': {sum(c.new_failures for c in controls)} of '
            f'{sum(c.new_requests for c in controls)} failed, with the old '
            f'one {sum(c.old_failures for c in controls)} of '
            f'{sum(c.old_requests for c in controls)}',
            code,
        )

    def _plan_shares(self, now: float) -> dict[str, float]:
        total = sum(control.rate for control in self._routes.values())
        running = self._phase is model.Phase.RUNNING
        if running and self._is_finish_due(now):
            self._finish()
            running = False
        planned = {
            name: control.plan_share(
                now, shares.Rates(control.rate, total), finished=not running
            )
            for name, control in self._routes.items()
        }
        least = min(
            (
                planned[name]
                for name, control in self._routes.items()
                if control.repeatable
            ),
            default=1.0,
        )
        planned = {
            name: share if self._routes[name].repeatable else min(share, least)
            for name, share in planned.items()
        }
        if any(
            control.mode is route_.Mode.CHECKING
            for control in self._routes.values()
        ):
            # The other routes may have the same fault, and a fault can
            # depend on the share of the whole service.
            planned = {
                name: min(share, equal_share_check.SHARE)
                for name, share in planned.items()
            }
        if running and self._has_passed_trial(planned, now):
            self._finish()
            top = shares.round_to_ppm(1.0 - self._options.hold_back)
            planned = dict.fromkeys(planned, top)
        return planned

    def _is_finish_due(self, now: float) -> bool:
        length = self._move.by - self._move.start
        return now >= self._move.by - min(MARGIN_S, MARGIN_RATIO * length)

    def _has_passed_trial(self, planned: dict[str, float], now: float) -> bool:
        """Return whether all requests went to the new version long enough."""
        if any(share < 1.0 for share in planned.values()):
            self._full_since = None
            return False
        if self._full_since is None:
            self._full_since = now
        trial = TRIAL_RATIO * (self._move.by - self._move.start)
        return now >= self._full_since + min(trial, TRIAL_MAX_S)

    def _finish(self) -> None:
        self._phase = model.Phase.DONE
        uncompared = [
            name
            for name, control in self._routes.items()
            if not control.is_compared
        ]
        if uncompared:
            self._result = errors.ROLLOUT_NO_EVIDENCE.number
            self._reason = 'too few requests to compare on ' + ', '.join(
                uncompared
            )
        else:
            self._result = errors.ROLLOUT_DONE.number
            self._reason = 'no route is worse on the new version'

    def _next_state(self, planned: dict[str, float]) -> model.MoveState | None:
        known = self._state
        if (
            known is not None
            and known.phase is self._phase
            and not _shares_differ(known.shares, planned)
        ):
            return None
        for name, share in planned.items():
            self._routes[name].record_share(share)
        self._seq += 1
        self._state = model.MoveState(
            self._move.move,
            self._epoch,
            self._seq,
            self._phase,
            planned,
            self._reason,
            self._result,
        )
        return self._state


def _shares_differ(known: dict[str, float], planned: dict[str, float]) -> bool:
    for route, share in planned.items():
        before = known.get(route, 0.0)
        if share == before:
            continue
        if share in (0.0, 1.0) or before in (0.0, 1.0):
            return True
        if not 1.0 / MIN_SHARE_FACTOR < share / before < MIN_SHARE_FACTOR:
            return True
    return False
