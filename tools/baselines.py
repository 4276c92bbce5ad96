"""Simpler controllers of a move, for comparison.

They have the methods of :class:`damaskpier.rollout.controller.MoveController`
that a simulation calls.
"""

from __future__ import annotations

from collections.abc import Iterable

from damaskpier.bundle import model as bundle_model
from damaskpier import errors
from damaskpier.rollout import model
from damaskpier.rollout import options as options_

RAMP_SHARES = (0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0)
# The version is taken back when more than MAX_ERROR_RATE of its requests in
# the last ERROR_RATE_PERIOD_S failed, if there were at least
# MIN_REQUEST_COUNT.
MAX_ERROR_RATE = 0.05
MIN_REQUEST_COUNT = 20
ERROR_RATE_PERIOD_S = 30


class FixedRamp:
    """Raises the share by time and takes back at a limit of the error rate.

    :cvar steps: shares, each for an equal part of the time of the move
    :cvar error_rate: error rate above which the version is taken back; None
        to never take it back
    """

    steps: tuple[float, ...] = RAMP_SHARES
    error_rate: float | None = MAX_ERROR_RATE

    def __init__(
        self,
        move: bundle_model.Move,
        routes: Iterable[bundle_model.RouteSpec],
        epoch: int,
        options: options_.Options,
    ) -> None:
        self._move = move
        self._routes = [route.name for route in routes]
        self._epoch = epoch
        self._state: model.MoveState | None = None
        self._counts_by_window: dict[int, list[int]] = {}
        self._failed = False

    def observe(self, cells: Iterable[model.EvidenceCell], now: float) -> None:
        """Count the requests and failures of the new version."""
        for cell in cells:
            counts = self._counts_by_window.setdefault(cell.window, [0, 0])
            counts[0] += cell.new.requests
            counts[1] += cell.new.failures
        for window in [
            w for w in self._counts_by_window if w < now - ERROR_RATE_PERIOD_S
        ]:
            del self._counts_by_window[window]
        requests = sum(counts[0] for counts in self._counts_by_window.values())
        failures = sum(counts[1] for counts in self._counts_by_window.values())
        if (
            self.error_rate is not None
            and requests >= MIN_REQUEST_COUNT
            and failures > self.error_rate * requests
        ):
            self._failed = True

    def observe_trip(self, notice: model.TripNotice, now: float) -> None:
        """Ignore a local trip; the ramp depends on time and failures only."""

    def step(self, now: float) -> model.MoveState | None:
        """Return the new state of the move; None if it has not changed."""
        duration_s = self._move.by - self._move.start
        elapsed_ratio = (now - self._move.start) / duration_s
        index = min(int(elapsed_ratio * len(self.steps)), len(self.steps) - 1)
        share, phase = self.steps[index], model.Phase.RUNNING
        code = 0
        if share >= 1.0:
            phase, code = model.Phase.DONE, errors.ROLLOUT_DONE.number
        if self._failed:
            share, phase = 0.0, model.Phase.TAKEN_BACK
            code = errors.ROLLOUT_FAILURES.number
        previous = self._state
        if (
            previous is not None
            and previous.phase is phase
            and previous.shares == dict.fromkeys(self._routes, share)
        ):
            return None
        self._state = model.MoveState(
            self._move.move,
            self._epoch,
            previous.seq + 1 if previous else 1,
            phase,
            dict.fromkeys(self._routes, share),
            '',
            code,
        )
        return self._state


class AllAtOnce(FixedRamp):
    """Moves all traffic at once and never takes back."""

    steps = (1.0,)
    error_rate = None
