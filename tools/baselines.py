"""Simpler ways to decide about a move, for comparison."""

from __future__ import annotations

from collections.abc import Iterable

from damaskpier.bundle import model as bundle_model
from damaskpier import errors
from damaskpier.rollout import model
from damaskpier.rollout import options as options_

RAMP = (0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0)
# The ramp is taken back when this part of at least as many requests of the
# new version failed in the last windows.
ERROR_RATE = 0.05
LEAST_REQUESTS = 20
MEMORY_S = 30


class FixedRamp:
    """Raises the share by time and takes back by an error rate.

    :param steps: shares, each for an equal part of the time
    :param error_rate: rate that takes back; None for never
    """

    steps: tuple[float, ...] = RAMP
    error_rate: float | None = ERROR_RATE

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
        self._windows: dict[int, list[int]] = {}
        self._failed = False

    def observe(self, cells: Iterable[model.EvidenceCell], now: float) -> None:
        """Count the requests and failures of the new version."""
        for cell in cells:
            counts = self._windows.setdefault(cell.window, [0, 0])
            counts[0] += cell.new.requests
            counts[1] += cell.new.failures
        for window in [w for w in self._windows if w < now - MEMORY_S]:
            del self._windows[window]
        requests = sum(counts[0] for counts in self._windows.values())
        failures = sum(counts[1] for counts in self._windows.values())
        if (
            self.error_rate is not None
            and requests >= LEAST_REQUESTS
            and failures > self.error_rate * requests
        ):
            self._failed = True

    def observe_trip(self, notice: model.TripNotice, now: float) -> None:
        """Ignore local trips."""

    def step(self, now: float) -> model.MoveState | None:
        """Return the state if it changed."""
        length = self._move.by - self._move.start
        part = (now - self._move.start) / length
        index = min(int(part * len(self.steps)), len(self.steps) - 1)
        share, phase = self.steps[index], model.Phase.RUNNING
        code = 0
        if share >= 1.0:
            phase, code = model.Phase.DONE, errors.ROLLOUT_DONE.number
        if self._failed:
            share, phase = 0.0, model.Phase.TAKEN_BACK
            code = errors.ROLLOUT_FAILURES.number
        known = self._state
        if (
            known is not None
            and known.phase is phase
            and known.shares == dict.fromkeys(self._routes, share)
        ):
            return None
        self._state = model.MoveState(
            self._move.move,
            self._epoch,
            known.seq + 1 if known else 1,
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
