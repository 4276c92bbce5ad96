"""Moves of services to new upstream versions; service ``rollouts``.

No node coordinates a move. Every node raises the share by the same schedule
and sends its counts to a few nodes, the evaluators of the move, which are
derived from the identifiers of the move and of the reachable nodes. Each
evaluator decides by itself and broadcasts its decision to all nodes; a
conditional update in the store makes one decision final.
"""

from __future__ import annotations

import asyncio
import collections
import logging
import math
import random
import time
from typing import Any
from typing import TYPE_CHECKING

from damaskpier.balancing import regions
from damaskpier import errors
from damaskpier.fleet import canaries
from damaskpier.fleet import model
from damaskpier.fleet import moves
from damaskpier.fleet import restored_orders
from damaskpier import registry
from damaskpier.rollout import model as rollout_model
from damaskpier.util import rendezvous
from damaskpier.util import tasks

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Coroutine

    from damaskpier import application
    from damaskpier.mesh import model as mesh_model

LOG = logging.getLogger(__name__)

# Interval at which counts are sent and evaluated while a move runs.
TICK_INTERVAL_S = 0.25
# Nodes that evaluate a move. One is enough; the others hold the evidence in
# case it is lost.
EVALUATOR_COUNT = 3
# A move is done no earlier than at this part of its duration, and only when
# the last requests of the old version have had time to end.
MIN_DONE_TIME_RATIO = 0.86
# A node delays its write of a decision by this time per rank, so that mostly
# a single node writes.
DECISION_STAGGER_S = 0.4
MAX_WRITE_RANK = 8
# The same for the status "running", which is not urgent: within this time the
# watch of the next node delivers the first node's write.
STATUS_STAGGER_S = 2.0
NO_VERSION = 'none'
# Revision of an order that this node has only from other nodes. It sends
# nothing to the new version until the store has supplied the duration.
UNKNOWN_REVISION = 0
# Key of a limit of the share in the state of a move.
ALL_ROUTES = ''
# A difference between the start times of a move on two nodes up to this is
# ignored.
START_TOLERANCE_S = 0.3


class Rollouts(registry.Service):
    """Chooses the version of each request and decides on moves.

    :param clock: returns the time in seconds
    :param rng: source of the random choices between versions
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
        self._moves: dict[str, moves.Move] = {}
        self._shares: dict[str, float] = {}
        self._canaries: dict[str, frozenset[str]] = {}
        self._request_counts: collections.Counter[str] = collections.Counter()
        self._recent_requests_per_s: dict[str, float] = {}
        self._requests_per_s: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._write_tasks: set[asyncio.Task[None]] = set()
        self._order_matcher = restored_orders.OrderMatcher()
        app.events.connect('store-restored', self._store_restored)

    async def start(self) -> None:
        """Start to watch the orders in the store and to evaluate moves."""
        self._tasks = [
            tasks.keep_running('orders', self._follow_orders),
            tasks.keep_running('moves', self._run_ticks),
        ]

    async def stop(self) -> None:
        """Cancel the watch, the evaluation and all pending writes."""
        for task in (*self._tasks, *self._write_tasks):
            task.cancel()

    def choose_version(
        self, service: str, allowed: regions.Allowed = None
    ) -> rollout_model.VersionChoice:
        """Choose the version for the next request of a service.

        :param allowed: regions that the request may go to; a version without
            workers there is not chosen while another one has some
        :returns: the version, empty if any version may serve the request,
            and the share of the new version used to choose it
        """
        move = self._moves.get(service)
        if move is None:
            return rollout_model.VersionChoice('', 0.0)
        self._request_counts[service] += 1
        target = move.order.version
        choice = self._choose(move, allowed)
        # The ends of other requests are not recorded.
        is_compared = 0.0 < choice.share < 1.0
        move.record_choice(is_compared and choice.version == target)
        return choice

    def _choose(
        self, move: moves.Move, allowed: regions.Allowed
    ) -> rollout_model.VersionChoice:
        service = move.order.service
        target = move.order.version
        if move.phase is model.Phase.DONE:
            return rollout_model.VersionChoice(target, 1.0)
        old = self._old_version(move.order, allowed)
        if move.phase is model.Phase.TAKEN_BACK:
            return rollout_model.VersionChoice(old or NO_VERSION, 0.0)
        share = self._shares.get(service, 0.0)
        if not old:
            return rollout_model.VersionChoice(target, 1.0)
        if not self._has_workers(service, target, allowed):
            return rollout_model.VersionChoice(old, 0.0)
        if share >= 1 or self._rng.random() < share:
            return rollout_model.VersionChoice(target, share)
        return rollout_model.VersionChoice(old, share)

    def canaries(self, service: str, version: str) -> Collection[str]:
        """Return the workers that are to get the requests of a version.

        :returns: their nodes; empty if any worker of the version may
        """
        move = self._moves.get(service)
        if (
            move is None
            or move.phase is not model.Phase.RUNNING
            or version != move.order.version
        ):
            return ()
        return self._canaries.get(service, ())

    def accepts_worker(
        self, service: str, version: str, worker_version: str
    ) -> bool:
        """Return whether a worker may get requests of a version.

        A worker of unknown version is taken to have the target version if
        the move is done, because the old workers have stopped.

        :param version: version that was chosen; empty if any may serve
        :param worker_version: version of the worker; empty if unknown
        """
        if not version or worker_version == version:
            return True
        move = self._moves.get(service)
        return (
            not worker_version
            and move is not None
            and move.order.phase is model.Phase.DONE
            and version == move.order.version
        )

    def record(
        self,
        service: str,
        route: str,
        version: str,
        failed: bool,
        ms: float,
        share: float,
        worker: str = '',
    ) -> None:
        """Record the outcome of a request that had a choice of version.

        :param ms: time to the answer in milliseconds
        :param share: share of the new version used to choose the version
        :param worker: node of the worker that the outcome is of
        """
        move = self._moves.get(service)
        if move is None or move.phase is not model.Phase.RUNNING:
            return
        is_new = version == move.order.version
        move.record(route, is_new, failed, ms, share, worker)

    def merge_evidence(self, cells: list[rollout_model.EvidenceCell]) -> None:
        """Merge counts of another node into the moves that they belong to."""
        by_id = {move.move_id: move for move in self._moves.values()}
        for cell in cells:
            move = by_id.get(cell.move)
            if move is not None:
                move.merge_cell(cell)

    def states(self) -> list[rollout_model.MoveState]:
        """Return this node's state of each move."""
        now = self._clock()
        return [_state_from_move(move, now) for move in self._moves.values()]

    def merge(self, state: rollout_model.MoveState) -> None:
        """Merge another node's state of a move.

        A node that has just started thus continues with the share of the
        others, and one that cannot reach the store learns of the order.
        """
        order = _order_from_state(state)
        if order is None:
            return
        now = self._clock()
        move = self._moves.get(order.service)
        if move is None:
            LOG.info('rollout: received move %s from another node', state.move)
            move = self._moves[order.service] = moves.Move(order, now)
        if move.move_id != state.move:
            return
        move.order = _with_history(move.order, order.history)
        if move.phase is not model.Phase.RUNNING:
            return
        if order.phase is not model.Phase.RUNNING:
            self._set_phase(
                move, order.phase, f'another node says so: {state.reason}'
            )
            return
        limit = state.shares.get(ALL_ROUTES)
        if limit is not None:
            move.limit_share(limit, now)
        started_at = now - state.seq / 1000
        if started_at < move.started_at - START_TOLERANCE_S:
            move.started_at = started_at

    async def _follow_orders(self) -> None:
        is_store_lost = False
        async for update in self._app.service('store').orders():
            if isinstance(update, errors.Refusal):
                if not is_store_lost:
                    LOG.warning('rollout: can not reach the store: %s', update)
                is_store_lost = True
                continue
            is_store_lost = False
            for order in update:
                self._apply_order(order)

    def _store_restored(self) -> None:
        """Write all verdicts again, which the store may have lost."""
        self._order_matcher.store_restored(self._moves)
        for move in self._moves.values():
            move.order = move.order._replace(
                phase=model.Phase.RUNNING, has_status=False
            )

    def _apply_order(self, order: model.Order) -> None:
        current = self._moves.get(order.service)
        if current is not None:
            found = self._order_matcher.compare(order, current.order)
            if found is restored_orders.Found.SUPERSEDED:
                LOG.info(
                    'rollout: ignored the order to move %s to %s, which %s '
                    'replaced before the store lost it',
                    order.service,
                    order.version,
                    current.move_id,
                )
                return
            if found is not restored_orders.Found.NEW:
                current.order = _with_history(order, current.order.history)
                if order.phase is not model.Phase.RUNNING:
                    self._set_phase(current, order.phase, 'the store says so')
                return
            before = current.order
            self._order_matcher.record_superseded(before)
            order = _with_history(
                order, before.history.after(before.version, before.phase)
            )
        LOG.info(
            'rollout: order to move %s to %s within %.1f s, state %s, from '
            '%s, not to %s',
            order.service,
            order.version,
            order.duration_s,
            order.phase.value,
            order.history.in_force or 'the version with the most workers',
            ', '.join(order.history.rejected) or 'none',
        )
        self._moves[order.service] = moves.Move(order, self._clock())
        self._shares.pop(order.service, None)
        self._canaries.pop(order.service, None)

    def _set_phase(
        self, move: moves.Move, phase: model.Phase, reason: str
    ) -> None:
        if move.phase is phase:
            return
        move.phase = phase
        move.reason = reason
        LOG.info('rollout: %s is %s: %s', move.move_id, phase.value, reason)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            for move in list(self._moves.values()):
                try:
                    self._tick(move)
                except Exception:
                    # An error in one move must not stop the others.
                    LOG.exception(
                        'rollout: evaluation of %s failed', move.move_id
                    )

    def _tick(self, move: moves.Move) -> None:
        now = self._clock()
        service = move.order.service
        if move.order.revision == UNKNOWN_REVISION:
            return
        if move.phase is not model.Phase.RUNNING:
            if move.order.phase is model.Phase.RUNNING:
                self._schedule_decision_write(move)
            return
        if not move.order.has_status:
            self._schedule_status_write(move)
        self._update_request_rate(service, move.mean_requests_per_s(now))
        evaluators = self._evaluators(move)
        cells = move.drain_cells(self._failure_domain(), now)
        is_evaluator = self._local_node_id() in evaluators
        if cells:
            if not is_evaluator:
                move.evidence.record_counts_sent(now)
            self._app.service('exchange').send_evidence(
                cells, evaluators, move.evidence.record_counts_received
            )
        if is_evaluator:
            for cell in cells:
                move.merge_cell(cell)
            regression = move.evaluate(now)
            if regression:
                self._decide(move, model.Phase.TAKEN_BACK, regression)
                return
            self._limit_share(move, now)
        self._advance_share(move, now, is_evaluator)

    def _limit_share(self, move: moves.Move, now: float) -> None:
        """Limit the share on all nodes if the evidence calls for it."""
        limit = move.share_limit(now)
        if limit >= 1.0:
            return
        move.limit_share(limit, now)
        if now >= move.limit_sent_at + moves.LIMIT_DURATION_S:
            LOG.info(
                'rollout: share of %s is limited to %.2f, as it is in doubt '
                'whether the version is good',
                move.move_id,
                limit,
            )
        move.limit_sent_at = now
        state = _state_from_move(move, now)
        self._app.service('exchange').broadcast_state(
            state._replace(shares={ALL_ROUTES: limit})
        )

    def _share_and_canaries(
        self, move: moves.Move, now: float
    ) -> tuple[float, frozenset[str]]:
        """Return the share of a move and the workers for its requests."""
        service = move.order.service
        workers = [
            canaries.Worker(record.node_id, record.slots)
            for record in self._workers(service, None)
            if record.version == move.order.version
        ]
        requests_per_s = self._requests_per_s.get(service, 0.0)
        mean_s = self._app.service('router').mean_latency_s(service) or 0.0
        in_progress = requests_per_s * mean_s
        share = move.share(
            now,
            requests_per_s,
            canaries.loaded_share(workers, in_progress),
        )
        if share > canaries.MAX_SHARE:
            return share, frozenset()
        return share, canaries.choose(
            move.move_id,
            workers,
            now - move.started_at,
            share,
            in_progress,
        )

    def _advance_share(
        self, move: moves.Move, now: float, is_evaluator: bool
    ) -> None:
        service = move.order.service
        if not self._has_workers(service, move.order.version):
            self._shares[service] = 0.0
            move.full_share_since = None
            return
        share, self._canaries[service] = self._share_and_canaries(move, now)
        if share != self._shares.get(service):
            LOG.info(
                'rollout: share of %s is %.2f, at %.1f s of %.1f s',
                move.move_id,
                share,
                now - move.started_at,
                move.order.duration_s,
            )
        self._shares[service] = share
        if share < 1:
            move.full_share_since = None
            return
        if move.full_share_since is None:
            move.full_share_since = now
        elapsed_s = now - move.started_at
        if (
            is_evaluator
            and elapsed_s >= MIN_DONE_TIME_RATIO * move.order.duration_s
            and now - move.full_share_since >= self._max_timeout_s()
        ):
            self._decide(move, model.Phase.DONE, 'all traffic has moved')

    def _decide(
        self, move: moves.Move, phase: model.Phase, reason: str
    ) -> None:
        self._set_phase(move, phase, reason)
        self._app.service('exchange').broadcast_state(
            _state_from_move(move, self._clock())
        )
        self._schedule_decision_write(move)

    def _schedule_decision_write(self, move: moves.Move) -> None:
        if move.is_writing_decision:
            return
        move.is_writing_decision = True
        delay_s = DECISION_STAGGER_S * min(
            self._rank(move.move_id), MAX_WRITE_RANK
        )
        self._spawn_write(self._write_decision(move, delay_s))

    def _spawn_write(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)

    async def _write_decision(self, move: moves.Move, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        try:
            if move.order.phase is not model.Phase.RUNNING:
                return
            written = await self._app.service('store').write_phase(
                self._order_to_write(move), move.phase
            )
            if isinstance(written, errors.Refusal):
                LOG.warning(
                    'rollout: can not write the verdict on %s yet: %s',
                    move.move_id,
                    written,
                )
                return
            self._apply_order(written)
        finally:
            move.is_writing_decision = False

    def _schedule_status_write(self, move: moves.Move) -> None:
        """Write the status "running" for operators, delayed by rank."""
        if move.is_writing_status:
            return
        move.is_writing_status = True
        rank = min(self._rank(move.move_id), MAX_WRITE_RANK)
        self._spawn_write(self._write_status(move, STATUS_STAGGER_S * rank))

    async def _write_status(self, move: moves.Move, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        try:
            if move.order.has_status or move.phase is not model.Phase.RUNNING:
                return
            written = await self._app.service('store').write_phase(
                self._order_to_write(move), model.Phase.RUNNING
            )
            if isinstance(written, errors.Refusal):
                LOG.warning(
                    'rollout: can not write the status of %s yet: %s',
                    move.move_id,
                    written,
                )
                # Limits the retries while the store is failing.
                await asyncio.sleep(STATUS_STAGGER_S)
                return
            self._apply_order(written)
        finally:
            move.is_writing_status = False

    def _order_to_write(self, move: moves.Move) -> model.Order:
        """Return the order with the version in force, if it is known now.

        Before the first order of a service, no store holds it.
        """
        old = self._old_version(move.order)
        return _with_history(move.order, model.VersionHistory(old))

    def _ranked_nodes(self, name: str) -> list[str]:
        """Return the reachable nodes, ordered by a hash for this name.

        All nodes with the same view compute the same order.
        """
        nodes = self._app.service('membership').nodes()
        return sorted(
            (node.node_id for node in nodes),
            key=lambda node_id: rendezvous.score(name, node_id),
        )

    def _evaluators(self, move: moves.Move) -> list[str]:
        return self._ranked_nodes(move.move_id)[:EVALUATOR_COUNT]

    def _rank(self, name: str) -> int:
        """Return this node's position in the order for a name."""
        return self._ranked_nodes(name).index(self._local_node_id())

    def _local_node_id(self) -> str:
        return self._app.cfg.text('node', 'id')

    def _update_request_rate(self, service: str, mean_per_s: float) -> None:
        """Estimate the requests of a service in the whole fleet.

        :param mean_per_s: mean on this node since it learned of the move
        """
        nodes = len(self._app.service('membership').nodes())
        requests_per_s = (
            self._request_counts.pop(service, 0) / TICK_INTERVAL_S * nodes
        )
        previous = self._recent_requests_per_s.get(service, requests_per_s)
        recent = previous + 0.3 * (requests_per_s - previous)
        self._recent_requests_per_s[service] = recent
        # A pause of the requests on this node does not mean that there are
        # few in the fleet.
        self._requests_per_s[service] = max(recent, mean_per_s * nodes)

    def _max_timeout_s(self) -> float:
        cfg = self._app.service('configuration').current()
        if cfg is None:
            return 0.0
        return max((route.timeout_s for route in cfg.routes), default=0.0)

    def _old_version(
        self, order: model.Order, allowed: regions.Allowed = None
    ) -> str:
        """Return the version for requests that do not get the order's one.

        :returns: the version in force or, without workers of it, the one with
            the most workers that no order has rejected; empty if there is none
        """
        in_force, rejected = order.history
        if in_force not in ('', order.version) and self._has_workers(
            order.service, in_force, allowed
        ):
            return in_force
        # The version is empty until a started node has its worker's first
        # announcement.
        excluded = {'', order.version, *rejected}
        versions = collections.Counter(
            worker.version
            for worker in self._workers(order.service, allowed)
            if worker.version not in excluded
        )
        return versions.most_common(1)[0][0] if versions else ''

    def _has_workers(
        self, service: str, version: str, allowed: regions.Allowed = None
    ) -> bool:
        return any(
            worker.version == version
            for worker in self._workers(service, allowed)
        )

    def _workers(
        self, service: str, allowed: regions.Allowed
    ) -> list[mesh_model.NodeRecord]:
        workers = self._app.service('membership').workers(service)
        return [
            worker
            for worker in workers
            if regions.is_allowed(worker.region, allowed)
        ]

    def _failure_domain(self) -> str:
        return self._app.cfg.text('node', 'failure_domain')


def _order_from_state(state: rollout_model.MoveState) -> model.Order | None:
    service, _, rest = state.move.partition('/')
    version, _, order_id = rest.rpartition('/')
    if not (service and version and order_id.isdigit()):
        LOG.warning('rollout: invalid identifier of a move: %r', state.move)
        return None
    return model.Order(
        service,
        int(order_id),
        version,
        math.inf,
        model.Phase(state.phase.value),
        UNKNOWN_REVISION,
        history=model.VersionHistory(state.in_force, state.rejected),
    )


def _with_history(
    order: model.Order, history: model.VersionHistory
) -> model.Order:
    """Return an order with what only another history contains."""
    return order._replace(history=order.history.merged(history))


def _state_from_move(move: moves.Move, now: float) -> rollout_model.MoveState:
    # The sequence number is the time since the start of the move in
    # milliseconds.
    return rollout_model.MoveState(
        move.move_id,
        0,
        max(0, int((now - move.started_at) * 1000)),
        rollout_model.Phase(move.phase.value),
        {},
        move.reason,
        in_force=move.order.history.in_force,
        rejected=move.order.history.rejected,
    )


def setup(app: application.Application) -> None:
    """Register the service ``rollouts``."""
    app.add_service(
        'rollouts',
        Rollouts(app),
        after=('metrics', 'store', 'membership', 'configuration'),
    )
