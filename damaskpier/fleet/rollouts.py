"""Moves of services to new versions; service ``rollouts``.

No node is in charge of a move. Every node raises the share by the same
schedule and sends its counts to a few nodes, the judges of the move, which
the names of the move and of the living nodes determine. Each judge reaches
its verdict by itself and tells all nodes; a conditional update in the store
lets one verdict win.
"""

from __future__ import annotations

import asyncio
import collections
import hashlib
import logging
import math
import random
import time
from typing import Any
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.fleet import moves
from damaskpier import registry
from damaskpier.rollout import model as rollout_model
from damaskpier.util import tasks

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from damaskpier import application

LOG = logging.getLogger(__name__)

# Counts are sent and judged this often while a move runs.
TICK_S = 0.25
# Nodes that judge a move. One is enough; the others have the evidence when
# it is lost.
JUDGES = 3
# The verdict that the move is done comes at this part of its time, and when
# the last requests of the old version have had time to end.
DONE_AT = 0.86
# Time between the nodes that may write a verdict, by rank.
WRITE_STAGGER_S = 0.4
MAX_WRITE_RANK = 8
# The same for the status that a move is running, which is not urgent: the
# watch of the next node has brought the first one's write by then.
SHOW_STAGGER_S = 2.0
NO_VERSION = 'none'
# Revision of an order that is known from other nodes only: until the store
# tells its time, this node sends nothing to the new version.
NO_REVISION = 0
# Difference between the starts of a move on two nodes that is left alone.
CLOCK_SLACK_S = 0.3


class Rollouts(registry.Service):
    """Chooses versions and gives the verdicts on moves.

    :param clock: returns the time in seconds
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
        self._picks: collections.Counter[str] = collections.Counter()
        self._rates: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._writes: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Follow the orders in the store."""
        self._tasks = [
            tasks.keep_running('orders', self._follow),
            tasks.keep_running('moves', self._tick_forever),
        ]

    async def stop(self) -> None:
        """Stop following."""
        for task in (*self._tasks, *self._writes):
            task.cancel()

    def choose_version(self, service: str) -> rollout_model.VersionChoice:
        """Choose the version that the next request of a service goes to.

        The version is empty where any will do.
        """
        move = self._moves.get(service)
        if move is None:
            return rollout_model.VersionChoice('', 0.0)
        self._picks[service] += 1
        target = move.order.version
        if move.phase is model.Phase.DONE:
            return rollout_model.VersionChoice(target, 1.0)
        old = self._old_version(service, target)
        if move.phase is model.Phase.TAKEN_BACK:
            return rollout_model.VersionChoice(old or NO_VERSION, 0.0)
        share = self._shares.get(service, 0.0)
        if not old:
            return rollout_model.VersionChoice(target, 1.0)
        if not self._has_workers(service, target):
            return rollout_model.VersionChoice(old, 0.0)
        if share >= 1 or self._rng.random() < share:
            return rollout_model.VersionChoice(target, share)
        return rollout_model.VersionChoice(old, share)

    def accepts(self, service: str, version: str, known: str) -> bool:
        """Tell whether a worker may get requests of a version.

        A worker whose version is not known yet is of the target version if
        the move is done: the old workers have stopped.

        :param version: version that was chosen; empty where any will do
        :param known: version of the worker; empty where it is not known
        """
        if not version or known == version:
            return True
        move = self._moves.get(service)
        return (
            not known
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
    ) -> None:
        """Count the outcome of a request that had a choice of version."""
        move = self._moves.get(service)
        if move is None or move.phase is not model.Phase.RUNNING:
            return
        is_new = version == move.order.version
        move.record(route, is_new, failed, ms, share)

    def observe(self, cells: list[rollout_model.EvidenceCell]) -> None:
        """Take in counts of another node."""
        by_id = {move.move_id: move for move in self._moves.values()}
        for cell in cells:
            move = by_id.get(cell.move)
            if move is not None:
                move.add(cell)

    def states(self) -> list[rollout_model.MoveState]:
        """Return the moves as this node knows them."""
        now = self._clock()
        return [_state_of(move, now) for move in self._moves.values()]

    def merge(self, state: rollout_model.MoveState) -> None:
        """Take over what another node knows of a move.

        A node that has just started goes on where the others are, and one
        that the store does not reach learns of the order.
        """
        order = _order_of(state)
        if order is None:
            return
        now = self._clock()
        move = self._moves.get(order.service)
        if move is None:
            LOG.info('rollout: %s is known from another node', state.move)
            move = self._moves[order.service] = moves.Move(order, now)
        if move.move_id != state.move:
            return
        if move.phase is not model.Phase.RUNNING:
            return
        if order.phase is not model.Phase.RUNNING:
            self._conclude(
                move, order.phase, f'another node says so: {state.reason}'
            )
            return
        began = now - state.seq / 1000
        if began < move.began - CLOCK_SLACK_S:
            move.began = began

    async def _follow(self) -> None:
        is_lost = False
        async for found in self._app.service('store').orders():
            if isinstance(found, errors.Refusal):
                if not is_lost:
                    LOG.warning('rollout: lost the store: %s', found)
                is_lost = True
                continue
            is_lost = False
            for order in found:
                self._take_order(order)

    def _take_order(self, order: model.Order) -> None:
        known = self._moves.get(order.service)
        if known is not None and known.move_id == moves.move_id(order):
            known.order = order
            if order.phase is not model.Phase.RUNNING:
                self._conclude(known, order.phase, 'the store says so')
            return
        LOG.info(
            'rollout: order to move %s to %s within %.1f s, state %s',
            order.service,
            order.version,
            order.duration_s,
            order.phase.value,
        )
        self._moves[order.service] = moves.Move(order, self._clock())
        self._shares.pop(order.service, None)

    def _conclude(
        self, move: moves.Move, phase: model.Phase, reason: str
    ) -> None:
        if move.phase is phase:
            return
        move.phase = phase
        move.reason = reason
        LOG.info('rollout: %s is %s: %s', move.move_id, phase.value, reason)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for move in list(self._moves.values()):
                try:
                    self._tick(move)
                except Exception:
                    # One move must not end the judgement of all of them.
                    LOG.exception('rollout: %s is not judged', move.move_id)

    def _tick(self, move: moves.Move) -> None:
        now = self._clock()
        service = move.order.service
        if move.order.revision == NO_REVISION:
            return
        if move.phase is not model.Phase.RUNNING:
            if move.order.phase is model.Phase.RUNNING:
                self._write_later(move)
            return
        if not move.order.is_shown:
            self._show_later(move)
        self._measure_rate(service)
        judges = self._judges(move)
        cells = move.take(self._domain(), now)
        if cells:
            self._app.service('exchange').share_evidence(cells, judges)
        is_judge = self._own_id() in judges
        if is_judge:
            for cell in cells:
                move.add(cell)
            fault = move.judge(now)
            if fault:
                self._decide(move, model.Phase.TAKEN_BACK, fault)
                return
        self._advance(move, now, is_judge)

    def _advance(self, move: moves.Move, now: float, is_judge: bool) -> None:
        service = move.order.service
        if not self._has_workers(service, move.order.version):
            self._shares[service] = 0.0
            move.full_since = None
            return
        share = move.share(now, self._rates.get(service, 0.0))
        if share != self._shares.get(service):
            LOG.info(
                'rollout: share of %s is %.2f, at %.1f s of %.1f s',
                move.move_id,
                share,
                now - move.began,
                move.order.duration_s,
            )
        self._shares[service] = share
        if share < 1:
            move.full_since = None
            return
        if move.full_since is None:
            move.full_since = now
        elapsed = now - move.began
        if (
            is_judge
            and elapsed >= DONE_AT * move.order.duration_s
            and now - move.full_since >= self._longest_s()
        ):
            self._decide(move, model.Phase.DONE, 'all traffic has moved')

    def _decide(
        self, move: moves.Move, phase: model.Phase, reason: str
    ) -> None:
        self._conclude(move, phase, reason)
        self._app.service('exchange').share_state(
            _state_of(move, self._clock())
        )
        self._write_later(move)

    def _write_later(self, move: moves.Move) -> None:
        if move.writing:
            return
        move.writing = True
        delay_s = WRITE_STAGGER_S * min(
            self._rank(move.move_id), MAX_WRITE_RANK
        )
        self._start_write(self._write(move, delay_s))

    def _start_write(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    async def _write(self, move: moves.Move, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        try:
            if move.order.phase is not model.Phase.RUNNING:
                return
            written = await self._app.service('store').conclude(
                move.order, move.phase
            )
            if isinstance(written, errors.Refusal):
                LOG.warning(
                    'rollout: the verdict on %s is not written yet: %s',
                    move.move_id,
                    written,
                )
                return
            self._take_order(written)
        finally:
            move.writing = False

    def _show_later(self, move: moves.Move) -> None:
        """Show operators that a move is running."""
        if move.showing:
            return
        move.showing = True
        rank = min(self._rank(move.move_id), MAX_WRITE_RANK)
        self._start_write(self._show(move, SHOW_STAGGER_S * rank))

    async def _show(self, move: moves.Move, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        try:
            if move.order.is_shown or move.phase is not model.Phase.RUNNING:
                return
            written = await self._app.service('store').conclude(
                move.order, model.Phase.RUNNING
            )
            if isinstance(written, errors.Refusal):
                LOG.warning(
                    'rollout: %s is not shown as running yet: %s',
                    move.move_id,
                    written,
                )
                # A store in trouble is not asked again at once.
                await asyncio.sleep(SHOW_STAGGER_S)
                return
            self._take_order(written)
        finally:
            move.showing = False

    def _ranked(self, name: str) -> list[str]:
        """Return the living nodes in the order in which they take part."""
        nodes = self._app.service('membership').nodes()
        return sorted(
            (node.node_id for node in nodes),
            key=lambda node_id: _hash(name, node_id),
        )

    def _judges(self, move: moves.Move) -> list[str]:
        return self._ranked(move.move_id)[:JUDGES]

    def _rank(self, name: str) -> int:
        """Return this node's place among those that may write a verdict."""
        return self._ranked(name).index(self._own_id())

    def _own_id(self) -> str:
        return self._app.cfg.text('node', 'id')

    def _measure_rate(self, service: str) -> None:
        nodes = len(self._app.service('membership').nodes())
        per_s = self._picks.pop(service, 0) / TICK_S * nodes
        known = self._rates.get(service, per_s)
        self._rates[service] = known + 0.3 * (per_s - known)

    def _longest_s(self) -> float:
        cfg = self._app.service('configuration').current()
        if cfg is None:
            return 0.0
        return max((route.timeout_s for route in cfg.routes), default=0.0)

    def _old_version(self, service: str, target: str) -> str:
        versions = collections.Counter(
            worker.version
            for worker in self._app.service('membership').workers(service)
            # Nodes that have just started do not know their worker's version.
            if worker.version not in ('', target)
        )
        return versions.most_common(1)[0][0] if versions else ''

    def _has_workers(self, service: str, version: str) -> bool:
        return any(
            worker.version == version
            for worker in self._app.service('membership').workers(service)
        )

    def _domain(self) -> str:
        return self._app.cfg.text('node', 'failure_domain')


def _order_of(state: rollout_model.MoveState) -> model.Order | None:
    service, _, rest = state.move.partition('/')
    version, _, order_id = rest.rpartition('/')
    if not (service and version and order_id.isdigit()):
        LOG.warning('rollout: %r is not the name of a move', state.move)
        return None
    return model.Order(
        service,
        int(order_id),
        version,
        math.inf,
        model.Phase(state.phase.value),
        NO_REVISION,
    )


def _state_of(move: moves.Move, now: float) -> rollout_model.MoveState:
    # The sequence number is the time since the order in milliseconds.
    return rollout_model.MoveState(
        move.move_id,
        0,
        max(0, int((now - move.began) * 1000)),
        rollout_model.Phase(move.phase.value),
        {},
        move.reason,
    )


def _hash(name: str, node_id: str) -> bytes:
    return hashlib.blake2b(
        f'{name}\0{node_id}'.encode(), digest_size=8
    ).digest()


def setup(app: application.Application) -> None:
    """Register the service ``rollouts``."""
    app.add_service(
        'rollouts',
        Rollouts(app),
        after=('metrics', 'store', 'membership', 'configuration'),
    )
