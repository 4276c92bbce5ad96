"""Simulation of a fleet that decides on the moves of a trace.

The decision code of the nodes runs in virtual time, over the requests of the
trace.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import heapq
import itertools
import random
from typing import Any

from damaskpier.bundle import model as bundle_model
from damaskpier import errors
from damaskpier.replay import trace as trace_
from damaskpier.replay import tree as tree_
from damaskpier.rollout import controller as controller_
from damaskpier.rollout import evidence
from damaskpier.rollout import model
from damaskpier.rollout import options as options_
from damaskpier.rollout import shares
from damaskpier.rollout import trip
from damaskpier.rollout import wire
from damaskpier.rpc import mesh_pb2

STEP_S = 0.25
# Nodes send their evidence this much after the nodes one level below them.
LEVEL_OFFSET_S = 0.04
# The share of a service depends on the weights of its routes and on tripped
# nodes too. Without a new state it is reported from this relative change on.
SHARE_CHANGE_RATIO = 0.05
EPOCH = 1
# Each request adds 1 to the weight of its route; when a weight exceeds this
# value, the weights of all routes are halved.
MAX_ROUTE_WEIGHT = 2000.0
FAILED_STATUS = 500


class _Node:
    """State of one node: its evidence, its trips and the known states."""

    def __init__(
        self, node: int, domain: str, options: options_.Options
    ) -> None:
        self.store = evidence.EvidenceStore(domain, options.quiet_interval)
        self.trip = trip.LocalTrip(f'node-{node}', options.trip_hold)
        # State of the latest move by service.
        self.states: dict[str, model.MoveState] = {}


class SimulatedMove:
    """A move of the trace with its controller and its totals.

    :param line: line of the trace that starts the move
    :param routes: names of the routes of the service
    :param controller: controller of the move
    """

    def __init__(
        self,
        line: trace_.MoveLine,
        routes: list[str],
        controller: controller_.MoveController,
    ) -> None:
        self.line = line
        self.routes = routes
        self.controller = controller
        self.state: model.MoveState | None = None
        self.share = 0.0
        self.max_share = 0.0
        self.share_history: list[tuple[float, float]] = []  # time, share
        self.verdict = ''
        self.verdict_t: float | None = None
        self.requests = {line.old: 0, line.new: 0}
        self.worse = 0
        self.last_new: float | None = None
        self.control_bytes = 0


class Simulation:
    """Replay of one trace.

    :param trace: validated trace
    :param options: options of the decisions
    :param seed: seed of the random choices of versions
    :param make_controller: returns the controller of a move
    """

    def __init__(
        self,
        trace: trace_.Trace,
        options: options_.Options,
        seed: int,
        make_controller: Callable[
            ..., controller_.MoveController
        ] = controller_.MoveController,
    ) -> None:
        self._trace = trace
        self._options = options
        self._make_controller = make_controller
        self._rng = random.Random(seed)
        header = trace.header
        self._domains = header.failure_domains
        self._tree = tree_.make_tree(header.nodes, len(self._domains))
        self._nodes = [
            _Node(node, self._domains[node % len(self._domains)], options)
            for node in range(header.nodes)
        ]
        self._service_of = {r.route: r.service for r in header.routes}
        self._repeatable = {r.route: r.repeatable for r in header.routes}
        self._weights = dict.fromkeys(self._service_of, 0.0)
        self._service_weight = dict.fromkeys(self._service_of.values(), 0.0)
        self._versions: dict[str, str] = {}
        for line in trace.moves:
            self._versions.setdefault(line.service, line.old)
        self.moves: dict[str, SimulatedMove] = {}
        self._current: dict[str, SimulatedMove] = {}
        self._tripped: dict[tuple[str, str], dict[int, float]] = {}
        self._scheduled: list[
            tuple[float, int, Callable[..., None], tuple]
        ] = []
        self._order = itertools.count()
        self._now = 0.0
        self._output: list[dict[str, Any]] = []
        self._is_ticking = False

    def events(self) -> Iterator[dict[str, Any]]:
        """Run the simulation and yield the output records."""
        heap = self._scheduled
        for event in self._trace.events:
            now = event[0] if type(event) is trace_.Request else event.t
            while heap and heap[0][0] <= now:
                at, _, func, args = heapq.heappop(heap)
                self._now = at
                func(at, *args)
            self._now = now
            if type(event) is trace_.Request:
                self._replay_request(event)
            else:
                self._start_move(event)
            if self._output:
                yield from self._output
                self._output.clear()
        end = self._trace.end
        while heap and heap[0][0] <= end:
            at, _, func, args = heapq.heappop(heap)
            self._now = at
            func(at, *args)
        self._now = end
        for move in self.moves.values():
            if not move.verdict:
                self._report_verdict(
                    move,
                    'open',
                    'the trace ended before a verdict',
                    errors.ROLLOUT_RUNNING,
                )
        for move in self.moves.values():
            self._output.append(_summary(move))
        yield from self._output

    def _schedule(
        self, when: float, func: Callable[..., None], *args: Any
    ) -> None:
        heapq.heappush(self._scheduled, (when, next(self._order), func, args))

    # Moves and their states

    def _start_move(self, line: trace_.MoveLine) -> None:
        routes = [
            name
            for name, service in self._service_of.items()
            if service == line.service
        ]
        controller = self._make_controller(
            bundle_model.Move(
                line.move, line.service, line.old, line.new, line.t, line.by
            ),
            tuple(
                bundle_model.RouteSpec(
                    name, line.service, '', '', self._repeatable[name]
                )
                for name in routes
            ),
            EPOCH,
            self._options,
        )
        move = SimulatedMove(line, routes, controller)
        self.moves[line.move] = move
        self._current[line.service] = move
        self._step_move(self._now, move)
        if not self._is_ticking:
            self._is_ticking = True
            deepest = max(self._tree.depth)
            for node, depth in enumerate(self._tree.depth):
                offset = (deepest - depth) * LEVEL_OFFSET_S
                self._schedule(
                    self._now + self._options.evidence_interval + offset,
                    self._send_evidence,
                    node,
                )
            self._schedule(self._now + STEP_S, self._tick)

    def _tick(self, now: float) -> None:
        for move in self._current.values():
            self._step_move(now, move)
            self._update_share(move)
        self._schedule(now + STEP_S, self._tick)

    def _step_move(self, now: float, move: SimulatedMove) -> None:
        state = move.controller.step(now)
        if state is None:
            return
        move.state = state
        verdict = (
            '' if state.phase is model.Phase.RUNNING else (state.phase.value)
        )
        self._update_share(move, always=True)
        if verdict != move.verdict:
            self._report_verdict(
                move,
                verdict,
                state.reason,
                errors.code_by_number(state.result),
            )
        self._apply_state(now, 0, state, move)

    def _apply_state(
        self,
        now: float,
        node: int,
        state: model.MoveState,
        move: SimulatedMove,
    ) -> None:
        """Apply a state at a node and send it to the nodes below it."""
        known = self._nodes[node]
        before = known.states.get(move.line.service)
        if before is None or before.move != state.move:
            if self._current[move.line.service] is not move:
                return
        elif state.order <= before.order:
            return
        known.states[move.line.service] = state
        known.trip.apply_state(state, now)
        if self._tripped:
            for route in move.routes:
                if not known.trip.is_tripped(state.move, route, now):
                    self._tripped.get((state.move, route), {}).pop(node, 0)
        children = self._tree.children[node]
        if not children:
            return
        message = mesh_pb2.Down(move=wire.state_to_message(state))
        data = message.SerializeToString()
        for child in children:
            move.control_bytes += len(data)
            delay = tree_.delay_s(node, child, len(self._domains))
            self._schedule(now + delay, self._apply_state, child, state, move)

    def _update_share(self, move: SimulatedMove, always: bool = False) -> None:
        if move.state is None:
            return
        total = share = 0.0
        for route in move.routes:
            weight = self._weights[route] + 1e-6
            tripped = self._tripped.get((move.line.move, route), {})
            stopped = sum(until > self._now for until in tripped.values())
            total += weight
            share += (
                weight
                * move.state.shares[route]
                * (1.0 - stopped / len(self._nodes))
            )
        share = round(share / total, 6)
        if abs(share - move.share) <= SHARE_CHANGE_RATIO * move.share and not (
            always and share != move.share
        ):
            return
        move.share = share
        move.max_share = max(move.max_share, share)
        move.share_history.append((self._now, share))
        self._output.append(
            {
                'ev': 'share',
                't': round(self._now, 3),
                'move': move.line.move,
                'share': share,
            }
        )

    def _report_verdict(
        self,
        move: SimulatedMove,
        verdict: str,
        reason: str,
        code: errors.ResultCode,
    ) -> None:
        move.verdict = verdict
        move.verdict_t = self._now
        self._output.append(
            {
                'ev': 'verdict',
                't': round(self._now, 3),
                'move': move.line.move,
                'verdict': verdict,
                'reason': reason,
                'result': str(code),
            }
        )

    # Requests

    def _replay_request(self, request: trace_.Request) -> None:
        _, route, number, outcome = request
        self._add_route_weight(route)
        service = self._service_of[route]
        move = self._current.get(service)
        node = self._nodes[number]
        state = node.states.get(service)
        if move is None or state is None:
            if move is not None:
                move.requests[self._versions[service]] += 1
            return
        # A node that has not received the state of the newest move continues
        # with the move before it.
        applied = (
            move if state.move == move.line.move else self.moves[state.move]
        )
        share = state.shares[route]
        if share and node.trip.is_tripped(state.move, route, self._now):
            share = 0.0
        is_new = shares.choose_new(share, self._rng)
        line = applied.line
        answer = trace_.answer_at(
            outcome[line.new if is_new else line.old], applied.share
        )
        applied.requests[line.new if is_new else line.old] += 1
        if is_new:
            applied.last_new = self._now
            other = trace_.answer_at(outcome[line.old], applied.share)
            applied.worse += _is_worse(answer, other)
        if state.phase is not model.Phase.TAKEN_BACK:
            sample = model.Sample(
                state.move,
                route,
                is_new,
                answer.status >= FAILED_STATUS,
                answer.ms,
                share,
            )
            self._schedule(
                self._now + answer.ms / 1000.0,
                self._record_answer,
                number,
                sample,
            )

    def _add_route_weight(self, route: str) -> None:
        self._weights[route] += 1.0
        if self._weights[route] > MAX_ROUTE_WEIGHT:
            for name in self._weights:
                self._weights[name] *= 0.5

    def _record_answer(
        self, now: float, number: int, sample: model.Sample
    ) -> None:
        node = self._nodes[number]
        move = self.moves[sample.move]
        state = node.states[move.line.service]
        if state.move != sample.move:
            return
        if state.phase is model.Phase.TAKEN_BACK:
            return
        node.store.record(sample, now)
        notice = node.trip.record(sample, sample.share, now)
        if notice is None:
            return
        tripped = self._tripped.setdefault((sample.move, sample.route), {})
        tripped[number] = now + self._options.trip_hold
        self._update_share(move)
        self._send_trip(now, number, notice)

    # Messages up the tree

    def _send_trip(
        self, now: float, number: int, notice: model.TripNotice
    ) -> None:
        move = self.moves[notice.move]
        if number == 0:
            move.controller.observe_trip(notice, now)
            if self._current[move.line.service] is move:
                self._step_move(now, move)
            return
        message = mesh_pb2.Up(evidence=wire.delta_to_message([], [notice]))
        move.control_bytes += message.ByteSize()
        parent = self._tree.parent[number]
        delay = tree_.delay_s(number, parent, len(self._domains))
        self._schedule(now + delay, self._send_trip, parent, notice)

    def _send_evidence(self, now: float, number: int) -> None:
        self._schedule(
            now + self._options.evidence_interval, self._send_evidence, number
        )
        cells = self._nodes[number].store.drain(now)
        if not cells:
            return
        for name, group in itertools.groupby(cells, lambda cell: cell.move):
            move = self.moves[name]
            if number == 0:
                if self._current[move.line.service] is move:
                    move.controller.observe(group, now)
                    self._step_move(now, move)
                continue
            message = mesh_pb2.Up(evidence=wire.delta_to_message(group))
            data = message.SerializeToString()
            move.control_bytes += len(data)
            parent = self._tree.parent[number]
            delay = tree_.delay_s(number, parent, len(self._domains))
            self._schedule(now + delay, self._merge_evidence, parent, data)

    def _merge_evidence(self, now: float, number: int, data: bytes) -> None:
        message = mesh_pb2.Up.FromString(data)
        self._nodes[number].store.merge(
            wire.cell_from_message(cell) for cell in message.evidence.cells
        )


def _is_worse(new: trace_.Answer, old: trace_.Answer) -> bool:
    if new.status >= FAILED_STATUS:
        return old.status < FAILED_STATUS
    return new.ms > 2.0 * old.ms and new.ms > old.ms + 10.0


def _summary(move: SimulatedMove) -> dict[str, Any]:
    def rounded(value: float | None) -> float | None:
        return None if value is None else round(value, 3)

    return {
        'ev': 'summary',
        'move': move.line.move,
        'verdict': move.verdict,
        't': rounded(move.verdict_t),
        'requests': move.requests,
        'worse': move.worse,
        'last_new': rounded(move.last_new),
        'max_share': move.max_share,
        'control_bytes': move.control_bytes,
    }
