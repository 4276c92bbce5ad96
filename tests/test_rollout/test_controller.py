"""Tests of the controller of a move."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from damaskpier import errors
from damaskpier.rollout import controller
from damaskpier.rollout import model
from damaskpier.rollout import wire
from damaskpier.rpc import mesh_pb2
from tests.test_rollout import conftest

PHASES = (model.Phase.RUNNING, model.Phase.DONE, model.Phase.TAKEN_BACK)

EVENTS = st.lists(
    st.tuples(
        st.floats(0, 20),
        st.lists(conftest.cells(), max_size=3),
        st.sampled_from(['', 'n1', 'n2', 'n3']),
        st.booleans(),
    ),
    max_size=40,
)


def make_controller():
    return controller.MoveController(conftest.MOVE, conftest.ROUTES, 3)


def run(events):
    """Pass events to a new controller; return its states.

    An event has the time since the one before, cells, the node that trips,
    and whether an operator takes the move back.
    """
    ctl = make_controller()
    now = conftest.MOVE.start
    states = []
    for gap, cells, tripped, operator in events:
        now += gap
        ctl.observe(cells, now)
        if tripped:
            ctl.observe_trip(
                model.TripNotice('m1', 'ledger.retire', tripped, ''), now
            )
        if operator and now > 300:
            ctl.take_back('by hand', errors.ROLLOUT_OPERATOR)
        states.append(ctl.step(now))
    return [state for state in states if state is not None]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(EVENTS)
def test_states_are_ordered_and_taken_back_is_final(events):
    """A taken-back move must never resume, and shares must be valid.

    Random evidence, trips and operators' take-backs must give states in
    ascending order, shares in 0..1 and, for equal events, equal states.
    """
    states = run(events)
    for before, after in zip(states, states[1:], strict=False):
        assert before.order < after.order
        assert PHASES.index(before.phase) <= PHASES.index(after.phase)
    for state in states:
        assert state.epoch == 3
        assert all(0.0 <= share <= 1.0 for share in state.shares.values())
        if state.phase is model.Phase.TAKEN_BACK:
            assert set(state.shares.values()) == {0.0}
            assert state.result
            errors.code_by_number(state.result)
    assert run(events) == states


@settings(derandomize=True, max_examples=40, deadline=None)
@given(EVENTS)
def test_state_is_unchanged_by_encoding(events):
    """A field that is missing in the message is lost at every other node."""
    for state in run(events):
        data = wire.state_to_message(state).SerializeToString()
        message = mesh_pb2.MoveState.FromString(data)
        assert wire.state_from_message(message) == state


def test_resumed_controller_keeps_a_verdict():
    """A new holder of the lease must not restart a taken-back move.

    Its controller has no evidence, only the stored state.
    """
    ctl = make_controller()
    ctl.resume(
        model.MoveState('m1', 2, 9, model.Phase.TAKEN_BACK, {}, 'bad', 5002)
    )
    state = ctl.step(150.0)
    assert state.phase is model.Phase.TAKEN_BACK
    assert (state.epoch, state.reason, state.result) == (3, 'bad', 5002)
    assert set(state.shares.values()) == {0.0}


def test_resumed_controller_continues_from_the_share():
    """The share must not jump when another node takes over the lease.

    It would if the new controller went to the planned share in one step.
    """
    ctl = make_controller()
    shares = {route.name: 0.1 for route in conftest.ROUTES}
    ctl.resume(model.MoveState('m1', 2, 9, model.Phase.RUNNING, shares))
    state = ctl.step(300.0)
    assert 0.1 <= state.shares['ledger.balance'] <= 0.2


def test_resumed_controller_does_not_warm_up_again():
    """A new holder of the lease must not start another warm-up.

    A bad version would then keep its share for that time: failures below
    WARMUP_FAILURE_RATE are ignored in the warm-up.
    """
    ctl = make_controller()
    shares = {route.name: 0.5 for route in conftest.ROUTES}
    ctl.resume(model.MoveState('m1', 2, 9, model.Phase.RUNNING, shares))
    for window in range(300, 312):
        ctl.observe(
            [
                model.EvidenceCell(
                    'm1',
                    'ledger.balance',
                    'rif-1',
                    window,
                    model.VersionCounts(20, 0, {25: 20}),
                    model.VersionCounts(20, 6, {25: 20}),
                    0.5,
                )
            ],
            window + 2.0,
        )
    state = ctl.step(314.0)
    assert state.phase is model.Phase.TAKEN_BACK


def states_with_requests(requests):
    """Return the states with a fixed number of good answers per second.

    The old version gets ``requests`` on each route, the new version one.
    """
    ctl = make_controller()
    states = []
    for tick in range(1200):
        now = 100.0 + tick / 4
        if tick % 4 == 0:
            ctl.observe(
                [
                    model.EvidenceCell(
                        'm1',
                        route.name,
                        'rif-1',
                        int(now) - 1,
                        model.VersionCounts(requests, 0, {25: requests}),
                        model.VersionCounts(1, 0, {25: 1}),
                        states[-1].shares[route.name] if states else 0.0,
                    )
                    for route in conftest.ROUTES
                ],
                now,
            )
        state = ctl.step(now)
        if state is not None:
            states.append(state)
    return states


def test_move_without_requests_is_done_by_the_stated_time():
    """A move without evidence must end at the stated time."""
    ctl = make_controller()
    states = [ctl.step(100.0 + tick / 4) for tick in range(1201)]
    last = [state for state in states if state is not None][-1]
    assert last.phase is model.Phase.DONE
    assert last.result == errors.ROLLOUT_NO_EVIDENCE.number
    assert 'ledger.retire' in last.reason


@pytest.mark.parametrize('requests', [1, 20])
def test_missing_requests_do_not_count_as_failures(requests):
    """A good version must not be taken back where nodes lack its workers.

    Fewer requests than the share then go to the new version, and the capital
    grows without a failure.
    """
    states = states_with_requests(requests)
    assert states[-1].phase is model.Phase.DONE


@pytest.mark.parametrize('requests', [1, 20])
def test_not_repeatable_route_has_the_smaller_share(requests):
    """Requests that may be repeated must meet the new version first.

    A failure of the others cannot be hidden from the caller by a retry.
    """
    states = states_with_requests(requests)
    first = next(s.shares for s in states if s.shares['ledger.balance'])
    assert 0.0 < first['ledger.retire'] < first['ledger.balance']
    for state in states:
        assert state.shares['ledger.retire'] <= state.shares['ledger.balance']
