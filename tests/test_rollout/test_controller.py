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


def make():
    return controller.MoveController(conftest.MOVE, conftest.ROUTES, 3)


def run(events):
    """Feed events to a new controller; return its states."""
    decider = make()
    now = conftest.MOVE.start
    states = []
    for gap, cells, tripped, operator in events:
        now += gap
        decider.observe(cells, now)
        if tripped:
            decider.observe_trip(
                model.TripNotice('m1', 'ledger.retire', tripped, ''), now
            )
        if operator and now > 300:
            decider.take_back('by hand', errors.ROLLOUT_OPERATOR)
        states.append(decider.step(now))
    return [state for state in states if state is not None]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(EVENTS)
def test_states_are_ordered_and_taken_back_is_final(events):
    """Guards against a bad version that comes back and against bad shares."""
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
def test_state_survives_the_message(events):
    for state in run(events):
        data = wire.state_to_message(state).SerializeToString()
        message = mesh_pb2.MoveState.FromString(data)
        assert wire.state_from_message(message) == state


def test_resumed_controller_keeps_a_verdict():
    """Guards against a new decider that starts a taken-back move again."""
    decider = make()
    decider.resume(
        model.MoveState('m1', 2, 9, model.Phase.TAKEN_BACK, {}, 'bad', 5002)
    )
    state = decider.step(150.0)
    assert state.phase is model.Phase.TAKEN_BACK
    assert (state.epoch, state.reason, state.result) == (3, 'bad', 5002)
    assert set(state.shares.values()) == {0.0}


def test_resumed_controller_goes_on_from_the_share():
    """Guards against a share that jumps when another node decides."""
    decider = make()
    shares = {route.name: 0.1 for route in conftest.ROUTES}
    decider.resume(model.MoveState('m1', 2, 9, model.Phase.RUNNING, shares))
    state = decider.step(300.0)
    assert 0.1 <= state.shares['ledger.balance'] <= 0.2


def test_resumed_controller_does_not_warm_up_again():
    """Guards against a bad version that gains time from a new decider."""
    decider = make()
    shares = {route.name: 0.5 for route in conftest.ROUTES}
    decider.resume(model.MoveState('m1', 2, 9, model.Phase.RUNNING, shares))
    for window in range(300, 312):
        decider.observe(
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
    state = decider.step(314.0)
    assert state.phase is model.Phase.TAKEN_BACK


def feed(requests):
    """Return the states for a fixed number of good answers each second."""
    decider = make()
    states = []
    for tick in range(1200):
        now = 100.0 + tick / 4
        if tick % 4 == 0:
            decider.observe(
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
        state = decider.step(now)
        if state is not None:
            states.append(state)
    return states


def test_move_without_requests_is_done_by_the_stated_time():
    """Guards against a move that waits forever for evidence."""
    decider = make()
    states = [decider.step(100.0 + tick / 4) for tick in range(1201)]
    last = [state for state in states if state is not None][-1]
    assert last.phase is model.Phase.DONE
    assert last.result == errors.ROLLOUT_NO_EVIDENCE.number
    assert 'ledger.retire' in last.reason


@pytest.mark.parametrize('requests', [1, 20])
def test_missing_requests_are_not_taken_for_failures(requests):
    """Guards against a good version taken back where nodes lack workers."""
    states = feed(requests)
    assert states[-1].phase is model.Phase.DONE


@pytest.mark.parametrize('requests', [1, 20])
def test_not_repeatable_route_has_the_smaller_share(requests):
    """Guards against requests that may not be repeated going first."""
    states = feed(requests)
    first = next(s.shares for s in states if s.shares['ledger.balance'])
    assert 0.0 < first['ledger.retire'] < first['ledger.balance']
    for state in states:
        assert state.shares['ledger.retire'] <= state.shares['ledger.balance']
