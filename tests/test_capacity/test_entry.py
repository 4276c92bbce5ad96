"""Refusals at the entry node, before a request is sent to a worker."""

from __future__ import annotations

import pytest

from damaskpier.capacity import entry
from damaskpier import errors
from damaskpier.traffic import messages

from tests.test_capacity import simulation

CLS = entry.ThrottleClass('s', '', 'r', 1, 'a')
FULL = errors.Refusal(errors.CALL_OVERLOADED, 'full')
ANSWER = messages.Answer(200, (), b'')
SENT_ON = entry.MIN_TRIED_RATIO / 2


def refused_entry(cls=CLS, left_s=4.0):
    """Return an entry node at time 0 after ten refusals of a class."""
    state = entry.AdaptiveThrottle()
    for _ in range(10):
        state.record(cls, FULL, left_s, 0.0)
    return state


def is_refused(state, cls=CLS, left_s=4.0, now=0.1, draw=0.9):
    return state.refusal(cls, left_s, now, draw) is not None


def test_request_that_workers_refuse_gets_no_attempt():
    """Load: workers refuse all requests of a class for some time."""
    refusal = refused_entry().refusal(CLS, 4.0, 0.1, 0.9)
    assert refusal.code is errors.CALL_OVERLOADED
    assert refusal.run is errors.RunState.NOT_RUN


def test_some_requests_are_sent_on():
    """Without them, the entry node would not notice that there is room."""
    assert not is_refused(refused_entry(), draw=SENT_ON)


def test_refusals_end_without_new_evidence():
    """A worker may have room again while no request is sent to it."""
    state = refused_entry()
    assert is_refused(state, now=1.0)
    assert not is_refused(state, now=4.0)


def test_few_refusals_are_no_evidence():
    """A request that one full worker refused says little of the others."""
    state = entry.AdaptiveThrottle()
    for _ in range(2):
        state.record(CLS, FULL, 4.0, 0.0)
    assert not is_refused(state)


@pytest.mark.parametrize(
    'other',
    [
        CLS._replace(service='t'),
        CLS._replace(version='v2'),
        CLS._replace(route='q'),
        CLS._replace(priority=0),
        CLS._replace(team='b'),
    ],
)
def test_other_classes_are_sent_on(other):
    """A request that may still be admitted must be tried.

    Workers refuse by priority and team, so that the refusals of one class say
    nothing of another one.
    """
    assert not is_refused(refused_entry(), other)


def test_request_with_more_time_is_sent_on():
    """A request that can wait for longer than the refused ones may be served.

    Callers that return have less time left than others.
    """
    state = refused_entry(left_s=0.3)
    assert is_refused(state, left_s=0.3)
    assert not is_refused(state, left_s=4.0)


def test_failures_are_not_taken_for_lack_of_capacity():
    """An unreachable worker or a lost connection says nothing of the load."""
    state = entry.AdaptiveThrottle()
    unknown = errors.RunState.UNKNOWN
    for _ in range(10):
        state.record(CLS, errors.Refusal(errors.CALL_CONNECT, ''), 4.0, 0.0)
        state.record(
            CLS, errors.Refusal(errors.CALL_DEADLINE, '', unknown), 4.0, 0.0
        )
    assert not is_refused(state)


def test_answer_of_a_worker_with_room_ends_the_refusals():
    """Load: a burst ends, or killed workers are back."""
    state = refused_entry()
    busy = messages.Load(6, 6, 3)
    state.record_attempt(CLS, messages.Reply(ANSWER, busy), 0.1)
    assert is_refused(state)
    held_back = messages.Load(6, 2, 0, wait_s=0.4)
    state.record_attempt(CLS, messages.Reply(ANSWER, held_back), 0.1)
    assert is_refused(state)
    idle = messages.Load(6, 2, 0)
    state.record_attempt(CLS, messages.Reply(ANSWER, idle), 0.1)
    assert not is_refused(state)


def test_class_is_tried_as_often_as_all_are_served():
    """Load: one team gets nothing while the others are served.

    A worker can serve each team at a part of the rate of all only if its
    requests arrive there.
    """
    state = refused_entry()
    for _ in range(10):
        state.record(CLS._replace(team='b'), ANSWER, 4.0, 0.0)
    assert not is_refused(state, draw=0.45)
    assert is_refused(state, draw=0.55)


def test_number_of_classes_is_bounded():
    """2,000 teams and 41 services must not fill the memory of a node."""
    state = entry.AdaptiveThrottle()
    for number in range(2 * entry.MAX_CLASS_COUNT):
        state.record(CLS._replace(team=str(number)), FULL, 4.0, 0.0)
    assert len(state._requests) <= entry.MAX_CLASS_COUNT


def make_setup(traffic, fields):
    fields = {
        'workers': 5,
        'nodes': 4,
        'returns_max': 2,
        'length_s': 8.0,
    } | fields
    return simulation.Setup(traffic, **fields)


def run_entry(*traffic, **fields):
    """Return the requests of a run with the refusals."""
    return simulation.EntrySimulation(make_setup(traffic, fields)).run()


def run_both(*traffic, **fields):
    """Return the requests of a run without and with the refusals."""
    before = simulation.Simulation(make_setup(traffic, fields)).run()
    return before, run_entry(*traffic, **fields)


def attempts_per_refusal(records):
    """Return the attempts of a refused caller for each of its refusals."""
    refused = [record for record in records if not record.served]
    attempts = sum(record.attempts for record in refused)
    return attempts / sum(record.returns + 1 for record in refused)


@pytest.mark.parametrize('load', [1.6, 2.3])
def test_refusals_are_cheap_and_cost_no_service(load):
    """Load: 1.6 and 2.3 times the capacity for 8 s, refused callers return.

    A refusal cost up to 4 messages to workers.
    """
    before, after = run_both(simulation.Traffic('r', load))
    assert attempts_per_refusal(before) > 2.5
    assert attempts_per_refusal(after) < 1.0
    served = [simulation.served_per_s(run, 2, 8) for run in (before, after)]
    # The random service times of about 700 requests add up to 1.5% more or
    # less.
    assert served[1] > 0.97 * served[0]


def test_burst_leaves_no_refusals_behind():
    """Load: 2.3 times the load of 0.8 for 5 s; then as before.

    Refusals after the burst would be lost service.
    """
    traffic = simulation.Traffic(
        'r', 0.8, factor=lambda now: 2.3 if 5 <= now < 10 else 1.0
    )
    after = run_entry(traffic, length_s=16.0)
    late = [record for record in after if record.first_at > 12.0]
    assert simulation.served_ratio(late) > 0.995


def test_teams_are_served_fairly_behind_entry_nodes():
    """Load: a hot team with two thirds of 3 times the capacity.

    The entry nodes must neither refuse the small teams for the refusals of the
    hot one, nor keep from the workers what the hot one is due.
    """
    teams = [
        simulation.Traffic(f'small-{i}', 1 / 12, f'small-{i}')
        for i in range(12)
    ]
    hot = simulation.Traffic('hot', 2.0, 'hot')
    after = run_entry(hot, *teams, workers=2, length_s=15.0)
    floor = simulation.served_ratio(after) / 4
    for team in (hot, *teams):
        assert simulation.served_ratio(after, team.name) >= floor
