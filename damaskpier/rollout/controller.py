"""Decides about a move from merged evidence and local trips.

The controller has no clock and no connections: the caller passes the time,
the evidence and the notices in, and distributes the states that
:meth:`MoveController.step` returns.
"""

from __future__ import annotations

from collections.abc import Iterable
import logging
from typing import TYPE_CHECKING
from typing import TypedDict

from damaskpier import errors
from damaskpier.rollout import judge
from damaskpier.rollout import model
from damaskpier.rollout import options as options_
from damaskpier.rollout import route as route_
from damaskpier.rollout import shares

if TYPE_CHECKING:
    from damaskpier.bundle import model as bundle_model

LOG = logging.getLogger(__name__)

# The share changes by at least this factor, to save messages.
SHARE_STEP = 1.2
# Largest factor of growth in CATCH_UP_S after a halt.
CATCH_UP = 1.5
CATCH_UP_S = 2.0
# Time with all requests on the new version before a move is done.
TRIAL_PART = 0.04
TRIAL_MAX_S = 15.0
# At the stated time, this capital against a version takes it back.
LATE_CAPITAL = 20.0
# A check that found nothing is repeated after this many vanished faults.
MAX_VANISHED = 2


class RouteEvidence(TypedDict):
    """Evidence on a route for operators."""

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
    """Evidence on a move for operators."""

    move: str
    phase: str
    reason: str
    result: str
    limit: float
    routes: list[RouteEvidence]


class MoveController:
    """Decides about one move.

    :param move: the move
    :param routes: routes of the service
    :param epoch: epoch of the lease under which the controller decides
    :param options: options of the decisions
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
            spec.name: route_.RouteControl(move, spec, self._options)
            for spec in sorted(routes)
        }
        self._epoch = epoch
        self._seq = 0
        self._state: model.MoveState | None = None
        self._phase = model.Phase.RUNNING
        self._reason = ''
        self._result = 0
        self._full_since: float | None = None
        self._first_new: int | None = None

    @property
    def limit(self) -> float:
        """Return the capital on a route that takes the version back."""
        return max(len(self._routes), 1) / self._options.error_rate

    @property
    def state(self) -> model.MoveState | None:
        """Return the last state that :meth:`step` returned."""
        return self._state

    def resume(self, state: model.MoveState) -> None:
        """Go on from a stored state under this controller's epoch.

        Evidence is collected anew. A state with a higher epoch than that
        of the controller is followed as well.
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

    def observe(self, cells: Iterable[model.EvidenceCell], now: float) -> None:
        """Take in evidence of this move; other cells are ignored."""
        for cell in cells:
            control = self._routes.get(cell.route)
            if cell.move != self._move.move or control is None:
                continue
            if cell.new.requests and (
                self._first_new is None or cell.window < self._first_new
            ):
                self._first_new = cell.window
            control.observe(cell, self._first_new, now)

    def observe_trip(self, notice: model.TripNotice, now: float) -> None:
        """Take in the notice that a node tripped."""
        control = self._routes.get(notice.route)
        if notice.move == self._move.move and control is not None:
            control.observe_trip(notice, now)

    def take_back(self, reason: str, code: errors.ResultCode) -> None:
        """Take the move back; :meth:`step` returns the state."""
        if self._phase is model.Phase.TAKEN_BACK:
            return
        self._phase = model.Phase.TAKEN_BACK
        self._reason = reason
        self._result = code.number

    def step(self, now: float) -> model.MoveState | None:
        """Decide; return the state if it changed."""
        if self._phase is not model.Phase.TAKEN_BACK:
            self._judge(now)
        if self._phase is model.Phase.TAKEN_BACK:
            planned = dict.fromkeys(self._routes, 0.0)
        else:
            planned = self._plan(now)
        return self._changed(planned)

    def evidence_summary(self) -> EvidenceSummary:
        """Return the evidence for the audit trail and for operators."""
        return EvidenceSummary(
            move=self._move.move,
            phase=self._phase.value,
            reason=self._reason,
            result=f'DP-{self._result}' if self._result else '',
            limit=self.limit,
            routes=[
                RouteEvidence(route=name, **control.summary())
                for name, control in self._routes.items()
            ],
        )

    def _judge(self, now: float) -> None:
        late = self._phase is model.Phase.RUNNING and now >= self._move.by
        limit = LATE_CAPITAL if late else self.limit
        for name, control in self._routes.items():
            finding = control.verdict(limit, now)
            if finding is None:
                continue
            code = (
                errors.ROLLOUT_FAILURES
                if finding.statistic == judge.FAILURE
                else errors.ROLLOUT_SLOW
            )
            self.take_back(_reason(name, finding, control), code)
            return

    def _plan(self, now: float) -> dict[str, float]:
        rates = {
            name: control.rate(now) for name, control in self._routes.items()
        }
        total = sum(rates.values())
        running = self._phase is model.Phase.RUNNING
        forced = now >= self._move.by
        planned = {
            name: control.plan(
                now,
                shares.Rates(rates[name], total),
                finished=not running,
                forced=forced,
            )
            for name, control in self._routes.items()
        }
        if running:
            self._finish(planned, now, forced)
            if self._phase is model.Phase.DONE:
                top = 1.0 - self._options.hold_back
                planned = dict.fromkeys(planned, shares.rounded(top))
        return planned

    def _finish(
        self, planned: dict[str, float], now: float, forced: bool
    ) -> None:
        if not forced:
            if any(share < 1.0 for share in planned.values()):
                self._full_since = None
                return
            if self._full_since is None:
                self._full_since = now
            trial = TRIAL_PART * (self._move.by - self._move.start)
            if now < self._full_since + min(trial, TRIAL_MAX_S):
                return
        self._phase = model.Phase.DONE
        few = [
            name
            for name, control in self._routes.items()
            if not control.compared
        ]
        if few:
            self._result = errors.ROLLOUT_NO_EVIDENCE.number
            self._reason = 'too few requests to compare on ' + ', '.join(few)
        else:
            self._result = errors.ROLLOUT_DONE.number
            self._reason = 'no route is worse on the new version'

    def _changed(self, planned: dict[str, float]) -> model.MoveState | None:
        known = self._state
        if (
            known is not None
            and known.phase is self._phase
            and not _differs(known.shares, planned)
        ):
            return None
        for name, share in planned.items():
            self._routes[name].applied(share)
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


def _differs(known: dict[str, float], planned: dict[str, float]) -> bool:
    for route, share in planned.items():
        before = known.get(route, 0.0)
        if share == before:
            continue
        if share in (0.0, 1.0) or before in (0.0, 1.0):
            return True
        if not 1.0 / SHARE_STEP < share / before < SHARE_STEP:
            return True
    return False


def _reason(
    name: str, finding: judge.Finding, control: route_.RouteControl
) -> str:
    where = finding.failure_domain or 'all failure domains'
    what = (
        'more failures'
        if finding.statistic == judge.FAILURE
        else f'slower answers ({finding.statistic})'
    )
    return (
        f'{what} on {name} in {where}: '
        f'{control.new_failures} of {control.new_requests} failed, '
        f'before {control.old_failures} of {control.old_requests}'
    )
