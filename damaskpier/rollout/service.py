"""Services that hold the move states and the evidence of a node."""

from __future__ import annotations

import logging
import random
import time
from typing import TYPE_CHECKING

from damaskpier import registry
from damaskpier.rollout import evidence
from damaskpier.rollout import model
from damaskpier.rollout import options
from damaskpier.rollout import trip
from damaskpier.rollout import wire
from damaskpier.rpc import mesh_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier.bundle import model as bundle_model

LOG = logging.getLogger(__name__)

# States of moves that are no longer in the configuration are kept for
# requests in progress and for nodes that reattach with an old configuration.
MAX_STATES = 256
# A region that is cut off cannot send its evidence. Older evidence is removed
# for both versions alike, so that the comparison stays valid.
MAX_EVIDENCE_AGE_S = 60.0


class Rollouts(registry.Service):
    """Move states on this node, and the choice of a version from them.

    :param rng: source of the choice of a version per request
    :param clock: seconds since the epoch; windows of evidence of different
        nodes are merged by it
    """

    def __init__(
        self,
        app: application.Application,
        rng: random.Random,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._app = app
        self._rng = rng
        self._clock = clock
        self._states: dict[str, model.MoveState] = {}

    async def start(self) -> None:
        """Subscribe to configurations, to remove the states of old moves."""
        self._app.events.connect('config-applied', self._on_config_applied)

    def states(self) -> list[model.MoveState]:
        """Return the known state of each move."""
        return list(self._states.values())

    def state(self, move: str) -> model.MoveState | None:
        """Return the known state of a move."""
        return self._states.get(move)

    def merge(self, state: model.MoveState) -> bool:
        """Store a state if it is newer than the known one of the move.

        :returns: whether the state was newer; the event ``rollout-changed``
            is emitted then
        """
        known = self._states.get(state.move)
        if known is not None and known.order >= state.order:
            return False
        self._states[state.move] = state
        if known is None or known.phase is not state.phase:
            LOG.info(
                'rollout: move %s entered phase %s',
                state.move,
                state.phase.value,
            )
        self._app.service('evidence').apply_state(state)
        self._app.events.emit('rollout-changed', state)
        return True

    def share(self, service: str, route: str) -> float:
        """Return the share of a route that goes to the new version, 0..1."""
        snapshot = self._app.service('configuration').current()
        move = snapshot.move_for(service) if snapshot else None
        state = self._states.get(move.move) if move else None
        return _share_of(state, route)

    def choose_version(
        self,
        snapshot: bundle_model.Snapshot,
        route: bundle_model.RouteSpec,
    ) -> model.VersionChoice:
        """Choose the version for the next request of a route."""
        move = snapshot.move_for(route.service)
        if move is None:
            version = snapshot.bundle.services[route.service].version
            return model.VersionChoice(version, 0.0)
        share = _share_of(self._states.get(move.move), route.name)
        if share <= 0 or self._is_tripped(move.move, route.name):
            return model.VersionChoice(move.old, 0.0)
        if share >= 1 or self._rng.random() < share:
            return model.VersionChoice(move.new, share)
        return model.VersionChoice(move.old, share)

    def record(self, sample: model.Sample) -> None:
        """Record the outcome of a request of a route with a running move."""
        self._app.service('evidence').record(sample)

    def _is_tripped(self, move: str, route: str) -> bool:
        return self._app.service('evidence').is_tripped(move, route)

    def _on_config_applied(self, snapshot: bundle_model.Snapshot) -> None:
        current = {move.move for move in snapshot.head.moves}
        old = [move for move in self._states if move not in current]
        for move in old[: max(0, len(self._states) - MAX_STATES)]:
            del self._states[move]


class Evidence(registry.Service):
    """Counts of this node and of the nodes below it, not yet drained.

    :param clock: seconds since the epoch
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.time,
    ) -> None:
        cfg = app.cfg
        self._app = app
        self._clock = clock
        chosen = options.from_settings(cfg)
        self._store = evidence.EvidenceStore(
            cfg.text('node', 'failure_domain'), chosen.quiet_interval
        )
        self._trip = trip.LocalTrip(cfg.text('node', 'id'), chosen.trip_hold)
        self._expire_at = 0.0
        self._trips: dict[tuple[str, str, str], model.TripNotice] = {}

    def record(self, sample: model.Sample) -> None:
        """Record an outcome, and the local trip that it may cause."""
        now = self._clock()
        self._expire(now)
        self._store.record(sample, now)
        notice = self._trip.record(sample, sample.share, now)
        if notice is not None:
            LOG.warning(
                'rollout: local trip, route %s is sent to the old version of '
                'move %s only: %s',
                notice.route,
                notice.move,
                notice.reason,
            )
            self._add_trip(notice)

    def apply_state(self, state: model.MoveState) -> None:
        """Apply a new state of a move; a smaller share ends a trip."""
        self._trip.apply_state(state, self._clock())

    def is_tripped(self, move: str, route: str) -> bool:
        """Return whether this node sends a route to the old version only."""
        return self._trip.is_tripped(move, route, self._clock())

    def merge(self, delta: mesh_pb2.EvidenceDelta) -> None:
        """Merge the counts and trip notices that a child sent."""
        self._expire(self._clock())
        self._store.merge(
            [wire.cell_from_message(cell) for cell in delta.cells]
        )
        for message in delta.trips:
            self._add_trip(wire.trip_from_message(message))

    def drain_delta(self) -> mesh_pb2.EvidenceDelta | None:
        """Return and remove the evidence for the parent; None if empty."""
        cells, trips = self.drain()
        if not cells and not trips:
            return None
        return wire.delta_to_message(cells, trips)

    def drain(
        self,
    ) -> tuple[list[model.EvidenceCell], list[model.TripNotice]]:
        """Return and remove the counts of closed windows and the trips."""
        trips = list(self._trips.values())
        self._trips.clear()
        return self._store.drain(self._clock()), trips

    def _expire(self, now: float) -> None:
        if now < self._expire_at:
            return
        self._expire_at = now + MAX_EVIDENCE_AGE_S / 2
        self._store.expire(int(now - MAX_EVIDENCE_AGE_S))

    def _add_trip(self, notice: model.TripNotice) -> None:
        key = (notice.move, notice.route, notice.node_id)
        self._trips.setdefault(key, notice)
        # A trip is sent at once, not with the next evidence message.
        self._app.events.emit('trip-recorded')


def _share_of(state: model.MoveState | None, route: str) -> float:
    if state is None or state.phase is model.Phase.TAKEN_BACK:
        return 0.0
    return state.shares.get(route, 0.0)


def setup(app: application.Application) -> None:
    """Register the services ``rollouts`` and ``evidence``."""
    app.add_service('evidence', Evidence(app))
    app.add_service(
        'rollouts',
        Rollouts(app, random.Random()),
        after=('configuration', 'evidence'),
    )
