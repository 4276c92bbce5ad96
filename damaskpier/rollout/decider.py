"""Service that decides on moves while this node holds the fleet lease."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier import registry
from damaskpier.rollout import controller
from damaskpier.rollout import model
from damaskpier.rollout import options
from damaskpier.store import audit
from damaskpier.store import moves
from damaskpier.store import signoff

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier.bundle import model as bundle_model

LOG = logging.getLogger(__name__)

FLEET_LEASE = 'fleet'
STEP_INTERVAL_S = 0.25
WRITE_RETRY_S = 1.0
# A move without a worker of the new version is taken back this long before
# its stated time, so that the last shares reach every node by then.
END_MARGIN_S = 1.0


class Decider(registry.Service):
    """Runs one controller per move of the active configuration.

    Decisions are sent down the tree at once, and are written to the platform
    as soon as it accepts them. A later holder of the lease starts from the
    stored state.

    :param clock: seconds since the epoch
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._app = app
        self._clock = clock
        self._controllers: dict[str, controller.MoveController] = {}
        self._epoch = 0
        # Moves whose new version has had a ready worker.
        self._moves_with_worker: set[str] = set()
        self._state_writer = _StateWriter(app, clock)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the tasks that decide and write while the lease is held."""
        # Writing has a task of its own, so that a slow platform does not
        # delay the decisions.
        self._tasks = [
            asyncio.create_task(_run_forever(self._run_round)),
            asyncio.create_task(_run_forever(self._write)),
        ]

    async def stop(self) -> None:
        """Stop the tasks; states already sent stay in force."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def evidence_summary(self, move: str) -> dict | None:
        """Return the evidence of a move; None if this node does not decide."""
        ctl = self._controllers.get(move)
        return ctl.evidence_summary() if ctl is not None else None

    async def _write(self) -> None:
        leases = self._app.service('leases')
        if leases.may_act(FLEET_LEASE):
            await self._state_writer.write_pending(leases.epoch(FLEET_LEASE))

    async def _run_round(self) -> None:
        leases = self._app.service('leases')
        if not leases.may_act(FLEET_LEASE):
            self._controllers.clear()
            return
        snapshot = self._app.service('configuration').current()
        if snapshot is None:
            return
        epoch = leases.epoch(FLEET_LEASE)
        if epoch != self._epoch:
            self._controllers.clear()
            self._epoch = epoch
        await self._add_controllers(snapshot, epoch)
        self._decide(snapshot)

    async def _add_controllers(
        self, snapshot: bundle_model.Snapshot, epoch: int
    ) -> None:
        moves = {move.move: move for move in snapshot.head.moves}
        for name in list(self._controllers):
            if name not in moves:
                del self._controllers[name]
                self._moves_with_worker.discard(name)
        for name, move in moves.items():
            if name in self._controllers:
                continue
            routes = tuple(
                route
                for route in snapshot.bundle.routes.values()
                if route.service == move.service
            )
            if not await self._load_state(name):
                continue
            ctl = controller.MoveController(
                move, routes, epoch, options.from_settings(self._app.cfg)
            )
            known = self._app.service('rollouts').state(name)
            if known is not None:
                ctl.resume(known)
            self._controllers[name] = ctl

    async def _load_state(self, name: str) -> bool:
        """Merge the stored state of a move.

        :returns: whether deciding may start; not if the state is unknown
            because the platform cannot be read
        """
        rollouts = self._app.service('rollouts')
        record = await moves.read_move(self._app.service('platform'), name)
        if not isinstance(record, errors.Refusal):
            rollouts.merge(record.state)
            return True
        # A state that arrived through the tree is at least as new as the
        # stored one, so an outage of the platform does not stop the move.
        return (
            record.code is errors.PLATFORM_NOT_FOUND
            or rollouts.state(name) is not None
        )

    def _has_worker(self, move: bundle_model.Move) -> bool:
        return any(
            record.routable and record.version == move.new
            for record in self._app.service('membership').workers(move.service)
        )

    def _step_controller(
        self,
        ctl: controller.MoveController,
        move: bundle_model.Move,
        known: model.MoveState | None,
        now: float,
    ) -> model.MoveState | None:
        """Decide on a move; it requires a ready worker of the new version.

        A move without one at the stated time is taken back: the phase
        ``done`` would claim that its traffic has moved. A move that is done
        keeps its verdict if the workers are removed later.
        """
        if self._has_worker(move):
            self._moves_with_worker.add(move.move)
        elif known is None or known.phase is not model.Phase.DONE:
            if now >= move.by - END_MARGIN_S:
                reason = f'no worker of {move.service} {move.new} is ready'
                ctl.take_back(reason, errors.ROLLOUT_LATE)
            elif move.move not in self._moves_with_worker:
                return None
        return ctl.step(now)

    def _decide(self, snapshot: bundle_model.Snapshot) -> None:
        now = self._clock()
        moves_by_name = {move.move: move for move in snapshot.head.moves}
        rollouts = self._app.service('rollouts')
        cells, trips = self._app.service('evidence').drain()
        for name, ctl in self._controllers.items():
            known = rollouts.state(name)
            if known is not None and known.phase is model.Phase.TAKEN_BACK:
                continue
            ctl.observe([cell for cell in cells if cell.move == name], now)
            for notice in trips:
                if notice.move == name:
                    ctl.observe_trip(notice, now)
            state = self._step_controller(ctl, moves_by_name[name], known, now)
            if state is None:
                continue
            rollouts.merge(state)
            self._state_writer.add(state, ctl.evidence_summary())


class _StateWriter:
    """Writes the latest state of each move to the platform."""

    def __init__(
        self, app: application.Application, clock: Callable[[], float]
    ) -> None:
        self._app = app
        self._clock = clock
        self._pending: dict[str, tuple[model.MoveState, dict]] = {}
        self._retry_at = 0.0
        self._audited: model.MoveState | None = None

    def add(self, state: model.MoveState, evidence: dict) -> None:
        """Queue a state; it replaces a queued one of the same move."""
        self._pending[state.move] = (state, evidence)

    async def write_pending(self, epoch: int) -> None:
        """Write the queued states; retry after WRITE_RETRY_S if refused.

        :param epoch: epoch of the fleet lease
        """
        if self._clock() < self._retry_at:
            return
        for move, (state, evidence) in list(self._pending.items()):
            refusal = await self._write(state, evidence, epoch)
            if refusal is not None:
                LOG.warning(
                    'rollout: cannot store the state of move %s, '
                    'will retry: %s',
                    move,
                    refusal,
                )
                self._retry_at = self._clock() + WRITE_RETRY_S
                return
            # A state queued in the meantime stays queued.
            if self._pending[move][0] is state:
                del self._pending[move]

    async def _write(
        self, state: model.MoveState, evidence: dict, epoch: int
    ) -> errors.Refusal | None:
        """Write a state, and take back its move in the head if needed.

        :returns: refusal after which the write has to be retried, or None
        """
        store = self._app.service('platform')
        node_id = self._app.cfg.text('node', 'id')
        now = self._clock()
        done = await moves.write_move_state(
            store, state, evidence, node_id, now
        )
        if isinstance(done, errors.Refusal):
            # The stored state is newer, or from a later holder of the lease.
            final_codes = (errors.LEASE_LOST, errors.PLATFORM_CONFLICT)
            return None if done.code in final_codes else done
        self._app.service('rollouts').merge(done.state)
        self._audit(state, evidence)
        if done.state.phase is not model.Phase.TAKEN_BACK:
            return None
        head = await signoff.take_back(
            store,
            state.move,
            node_id,
            state.reason,
            errors.code_by_number(state.result),
            epoch,
            now,
        )
        if not isinstance(head, errors.Refusal):
            return None
        final_codes = (errors.LEASE_LOST, errors.PLATFORM_NOT_FOUND)
        return None if head.code in final_codes else head

    def _audit(self, state: model.MoveState, evidence: dict) -> None:
        # A take-back is retried until the head has changed as well; its
        # entry is appended once.
        if state == self._audited:
            return
        self._audited = state
        self._app.service('audit').append(
            audit.make_entry(
                self._app.cfg.text('node', 'id'),
                state.phase.value,
                move=state.move,
                result=errors.code_by_number(state.result)
                if state.result
                else None,
                detail={
                    'reason': state.reason,
                    'shares': state.shares,
                    'evidence': evidence,
                },
                now=self._clock(),
            )
        )


async def _run_forever(work: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            await work()
        except Exception:
            LOG.exception(
                'rollout: error while deciding or storing move states'
            )
        await asyncio.sleep(STEP_INTERVAL_S)


def setup(app: application.Application) -> None:
    """Register the service ``decider``."""
    app.add_service(
        'decider',
        Decider(app),
        after=('platform', 'leases', 'configuration', 'rollouts', 'tree'),
    )
