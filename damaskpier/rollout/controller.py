"""Decides about a move from merged evidence and local trips.

The controller has no clock and no connections: the caller passes the time,
the evidence and the notices in, and distributes the states that
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
from damaskpier.rollout import check
from damaskpier.rollout import model
from damaskpier.rollout import options as options_
from damaskpier.rollout import route as route_
from damaskpier.rollout import sequential_test
from damaskpier.rollout import shares

if TYPE_CHECKING:
    from damaskpier.bundle import model as bundle_model

LOG = logging.getLogger(__name__)

# The share changes by at least this factor, to save messages.
SHARE_STEP = 1.2
# Time with all requests on the new version before a move is done.
TRIAL_PART = 0.04
TRIAL_MAX_S = 15.0
# A move finishes this much before the stated time, at most this part of
# its time, so that the last state reaches all nodes in time.
MARGIN_S = 0.5
MARGIN_PART = 0.02
# A version with a larger share than this is warm.
WARM_SHARE = 0.1
# At the stated time, this capital against a version takes it back.
LATE_CAPITAL = 20.0
# Part of the capital for the comparison over all routes of the service.
SERVICE_PART = 0.5


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
    capital: float
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
        self._service = sequential_test.Bands(
            sequential_test.CapitalSchedule(move.start, move.by)
        )

    @property
    def limit(self) -> float:
        """Return the capital that takes the version back."""
        return 1.0 / self._options.error_rate

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
        if max(state.shares.values(), default=0.0) > WARM_SHARE:
            # The new version has been in use: it is not cold any more.
            self._first_new = math.floor(self._move.start - route_.WARM_MAX_S)

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
            gains = control.observe(cell, self._first_new, now)
            if gains is not None:
                self._service.update(cell.window, cell.share, gains)

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
            capital=self._capital()[0],
            limit=self.limit,
            routes=[
                RouteEvidence(route=name, **control.summary())
                for name, control in self._routes.items()
            ],
        )

    def _judge(self, now: float) -> None:
        for name, control in self._routes.items():
            finding = control.certain(self._options.error_rate)
            if finding is not None:
                self._convict(name, finding)
                return
        late = self._phase is model.Phase.RUNNING and self._is_due(now)
        capital, name, finding = self._capital()
        if capital < (LATE_CAPITAL if late else self.limit):
            return
        # Requests that miss on the new version, because nodes knew no
        # worker of it, win bets as well; they are not failures.
        if finding.statistic != baseline.FAILURE or self._fails_more(name):
            self._convict(name, finding)

    def _fails_more(self, route: str) -> bool:
        controls = self._controls(route)
        return sum(c.new_failures for c in controls) * sum(
            c.old_requests for c in controls
        ) > sum(c.old_failures for c in controls) * sum(
            c.new_requests for c in controls
        )

    def _controls(self, route: str) -> list[route_.RouteControl]:
        """Return the controls of a route, or of all for an empty name."""
        return [
            control
            for name, control in self._routes.items()
            if route in ('', name)
        ]

    def _capital(self) -> tuple[float, str, sequential_test.Finding]:
        """Return the capital of all bets, and what won most."""
        best = self._service.result()
        best = best._replace(capital=SERVICE_PART * best.capital)
        total = best.capital
        where = ''
        part = (1.0 - SERVICE_PART) / max(len(self._routes), 1)
        for name, control in self._routes.items():
            found = control.result()
            total += part * found.capital
            if part * found.capital > best.capital:
                best = found._replace(capital=part * found.capital)
                where = name
        return total, where, best

    def _convict(self, route: str, finding: sequential_test.Finding) -> None:
        code = (
            errors.ROLLOUT_FAILURES
            if finding.statistic == baseline.FAILURE
            else errors.ROLLOUT_SLOW
        )
        what = (
            'more failures'
            if finding.statistic == baseline.FAILURE
            else f'slower answers ({finding.statistic})'
        )
        controls = self._controls(route)
        self.take_back(
            f'{what} of the new version on {route or "all routes"}'
            + (
                f' in {finding.failure_domain}'
                if finding.failure_domain
                else ''
            )
            + f': {sum(c.new_failures for c in controls)} of '
            f'{sum(c.new_requests for c in controls)} failed, with the old '
            f'one {sum(c.old_failures for c in controls)} of '
            f'{sum(c.old_requests for c in controls)}',
            code,
        )

    def _plan(self, now: float) -> dict[str, float]:
        total = sum(control.rate for control in self._routes.values())
        running = self._phase is model.Phase.RUNNING
        if running and self._is_due(now):
            self._finish()
            running = False
        planned = {
            name: control.plan(
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
            # The other routes may have the same fault, and a share of the
            # whole service is what a fault can depend on.
            planned = {
                name: min(share, check.SHARE)
                for name, share in planned.items()
            }
        if running and self._tried(planned, now):
            self._finish()
            top = shares.rounded(1.0 - self._options.hold_back)
            planned = dict.fromkeys(planned, top)
        return planned

    def _is_due(self, now: float) -> bool:
        length = self._move.by - self._move.start
        return now >= self._move.by - min(MARGIN_S, MARGIN_PART * length)

    def _tried(self, planned: dict[str, float], now: float) -> bool:
        """Tell whether all requests went to the new version long enough."""
        if any(share < 1.0 for share in planned.values()):
            self._full_since = None
            return False
        if self._full_since is None:
            self._full_since = now
        trial = TRIAL_PART * (self._move.by - self._move.start)
        return now >= self._full_since + min(trial, TRIAL_MAX_S)

    def _finish(self) -> None:
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
