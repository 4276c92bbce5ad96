"""Tests of balancers, ejection, selector and retry budget."""

from __future__ import annotations

import collections
import random

import pytest

from damaskpier import errors
from damaskpier.mesh import model
from damaskpier.traffic import balancer
from damaskpier.traffic.balancer import base
from damaskpier.traffic import ejection
from damaskpier.traffic import messages
from damaskpier.traffic import retry
from damaskpier.traffic import selector
from tests.test_traffic import test_admission

GOOD = messages.Reply(messages.Answer(200, (), b''))
LOST = messages.Reply(
    errors.Refusal(errors.CALL_UNKNOWN, '', errors.RunState.UNKNOWN)
)
DRAINING = messages.Reply(errors.Refusal(errors.CALL_DRAINING, ''))


def record(name, region='r1', domain='d1', **fields):
    """Return the record of a ready worker."""
    fields = {'service': 's', 'version': 'v1', 'slots': 4, **fields}
    return model.NodeRecord(
        name, 1, 1, region, domain, 'h', 1, 1, ready=True, **fields
    )


@pytest.fixture
def clock():
    """Return a clock that only the test moves."""
    return test_admission.Clock()


def make_selector(clock, records, policy='two_choices', name='c'):
    """Return a selector of a node in region r1, domain d1."""
    local = model.NodeRecord(name, 1, 1, 'r1', 'd1', 'h', 1, 1)
    chooser = selector.Selector(local, policy, random.Random(3), clock)
    chooser.update(records)
    return chooser


def call(chooser, reply_of, latency_s=0.01, exclude=()):
    """Make one attempt and return the worker that it went to."""
    worker = chooser.pick(exclude)
    chooser.record_start(worker)
    chooser.record_outcome(worker, reply_of(worker.key), latency_s)
    return worker.key


@pytest.mark.parametrize('policy', sorted(balancer.POLICIES))
def test_every_policy_uses_all_workers(clock, policy):
    """Every balancing policy sends requests to each of four equal workers."""
    chooser = make_selector(clock, [record(f'w{i}') for i in range(4)], policy)
    used = collections.Counter(
        call(chooser, lambda key: GOOD) for _ in range(400)
    )
    assert min(used.values()) > 50


def test_two_choices_prefers_fast_and_reliable_workers(clock):
    """The policy prefers a good worker to an unreliable and a slow one.

    All three still get requests, so that their scores are measured again.
    """
    rng = random.Random(1)
    policy = balancer.make_balancer('two_choices', rng, clock)
    workers = [base.WorkerState(record(f'w{i}'), 0.0) for i in range(3)]
    used = collections.Counter()
    for _ in range(600):
        worker = policy.pick(workers)
        used[worker.key] += 1
        policy.record_start(worker)
        slow = 0.2 if worker.key == 'w0' else 0.01
        failed = worker.key == 'w1' and rng.random() < 0.5
        policy.record_outcome(worker, base.AttemptOutcome(slow, failed=failed))
    assert used['w2'] > used['w1'] > used['w0'] > 0


def test_reported_load_expires(clock):
    """A worker that reported a full queue is used again after the TTL.

    Otherwise an old load report would exclude a worker that is idle by now.
    """
    worker = base.WorkerState(record('w'), 0.0)
    worker.load, worker.load_at = messages.Load(4, 4, 3), clock.now
    assert worker.is_full(clock.now)
    assert not worker.is_full(clock.now + base.LOAD_TTL_S)


def test_near_workers_are_used_until_they_are_full(clock):
    """Workers of other regions are used only when the near ones are full.

    Traffic between regions is billed, so it must not occur while near workers
    have free slots.
    """
    chooser = make_selector(
        clock, [record('near', slots=2), record('far', 'r2', 'd3')]
    )
    keys = []
    for _ in range(4):
        worker = chooser.pick()
        chooser.record_start(worker)
        keys.append(worker.key)
    assert keys == ['near', 'near', 'far', 'far']


def test_far_worker_is_used_if_near_one_is_much_slower(clock):
    """A much faster worker of another region is preferred.

    The near worker has free slots, but is slower by more than the ratio that
    outweighs the cost of traffic between regions.
    """
    chooser = make_selector(clock, [record('near'), record('far', 'r2')])
    for _ in range(30):
        call(chooser, lambda key: GOOD, 0.02, exclude=('near',))
        call(chooser, lambda key: GOOD, 0.5, exclude=('far',))
    assert chooser.pick().key == 'far'


def test_subset_is_bounded_and_even_over_callers(clock):
    """Each caller uses a limited subset, and the subsets are spread evenly.

    If all callers chose the same subset, its workers would be overloaded while
    the others are idle.
    """
    records = [record(f'w{i}') for i in range(24)]
    used = collections.Counter()
    for number in range(120):
        chooser = make_selector(clock, records, name=f'c{number}')
        used.update({call(chooser, lambda key: GOOD) for _ in range(60)})
    assert sum(used.values()) <= 120 * selector.MAX_NEAR_COUNT
    assert max(used.values()) < 2 * min(used.values())


def test_worker_is_not_tried_twice_while_another_exists(clock):
    """A worker that was tried is returned again only if there is no other."""
    chooser = make_selector(clock, [record('a'), record('b')])
    assert {call(chooser, lambda k: GOOD, exclude=('a',)) for _ in '12'} == {
        'b'
    }
    assert chooser.pick(('a', 'b')) is not None


def test_draining_worker_is_skipped_for_a_limited_time(clock):
    """A worker that refuses because it drains is skipped for a limited time.

    Its record may still be routable, so without the skip it would get and
    refuse many more requests. Without the limit it would never be used again
    if it has announced itself anew in the meantime.
    """
    records = [record('a'), record('b')]
    chooser = make_selector(clock, records)
    while call(chooser, lambda k: DRAINING if k == 'a' else GOOD) != 'a':
        pass
    chooser.update(records)
    assert {call(chooser, lambda k: GOOD) for _ in range(20)} == {'b'}
    clock.now += selector.LEAVING_SKIP_S
    chooser.update(records)
    assert {call(chooser, lambda k: GOOD) for _ in range(20)} == {'a', 'b'}


def test_unresponsive_worker_is_ejected_and_returns_gradually(clock):
    """A worker that never answers is ejected and returns with a low weight.

    Otherwise a dead worker would keep its part of the traffic, or get all of
    it back at once.
    """
    records = [record(f'w{i}') for i in range(4)]
    chooser = make_selector(clock, records, 'random')
    for _ in range(100):
        call(chooser, lambda k: LOST if k == 'w0' else GOOD)
    used = [call(chooser, lambda k: GOOD) for _ in range(100)]
    assert 'w0' not in used
    clock.now += ejection.FIRST_EJECTION_S + 0.01
    ejector = chooser._ejector
    assert ejector.weight('w0') == pytest.approx(0.1, abs=0.01)
    clock.now += ejection.RAMP_UP_S
    assert ejector.weight('w0') == 1.0


def test_short_deadlines_eject_no_worker(clock):
    """Deadlines that are shorter than the usual latency eject no worker.

    They are a fault of the caller. Timeouts that took far longer than usual
    still eject the worker.
    """
    late = messages.Reply(
        errors.Refusal(errors.CALL_DEADLINE, '', errors.RunState.UNKNOWN)
    )
    chooser = make_selector(clock, [record('a'), record('b')], 'random')
    for _ in range(20):
        call(chooser, lambda k: GOOD, 0.08)
    for _ in range(40):
        call(chooser, lambda k: late, 0.02)
    assert {call(chooser, lambda k: GOOD, 0.08) for _ in range(40)} == {
        'a',
        'b',
    }
    for _ in range(40):
        call(chooser, lambda k: late if k == 'a' else GOOD, 0.5)
    assert chooser._ejector.weight('a') == 0


def test_no_more_than_half_is_ejected(clock):
    """At least half of the workers stays in use when all of them fail.

    Otherwise a service that fails as a whole would be left without workers.
    """
    ejector = ejection.Ejector(clock)
    keys = {f'w{i}' for i in range(5)}
    ejector.set_workers(keys)
    for _ in range(20):
        for key in sorted(keys):
            ejector.record_no_answer(key)
    assert sum(ejector.weight(key) == 0 for key in keys) == 2


def test_common_failures_eject_no_worker(clock):
    """A worker is ejected only if it fails more often than the others.

    Failures that all workers have in common are a fault of the version, which
    the ejection of workers does not cure.
    """
    ejector = ejection.Ejector(clock)
    ejector.set_workers({'a', 'b', 'c'})
    for _ in range(50):
        for key in 'abc':
            ejector.record_answer(key, failed=True)
    assert all(ejector.weight(key) == 1 for key in 'abc')
    ejector.set_workers({'d', 'e', 'f'})
    for _ in range(50):
        for key in 'def':
            ejector.record_answer(key, failed=key == 'd')
    assert ejector.weight('d') == 0


def test_budget_limits_retries(clock):
    """The budget allows a minimum, and beyond it a ratio of the requests.

    Unlimited retries would multiply the load of a service that fails because
    of load.
    """
    budget = retry.RetryBudget(clock)
    assert [budget.try_acquire() for _ in range(5)] == [True] * 3 + [False] * 2
    for _ in range(100):
        budget.record_request()
    assert sum(budget.try_acquire() for _ in range(50)) == 17
    clock.now += retry.WINDOW_S + 1
    assert budget.try_acquire()


@pytest.mark.parametrize(
    ('code', 'run', 'repeatable', 'expected'),
    [
        (errors.CALL_OVERLOADED, errors.RunState.NOT_RUN, False, True),
        (errors.CALL_UNKNOWN, errors.RunState.UNKNOWN, False, False),
        (errors.CALL_UNKNOWN, errors.RunState.UNKNOWN, True, True),
        (errors.CALL_TOO_LARGE, errors.RunState.RUN, True, False),
        (errors.CALL_DEADLINE, errors.RunState.UNKNOWN, False, False),
    ],
)
def test_only_safe_retries_are_made(code, run, repeatable, expected):
    """A request is retried only if it did not run or may run twice."""
    assert expected == retry.may_retry(
        errors.Refusal(code, '', run),
        repeatable=repeatable,
        attempts=1,
        remaining_s=1.0,
    )


def test_one_unknown_attempt_makes_the_request_unknown():
    """A request counts as not run only if none of its attempts may have run.

    The last attempt alone may be known not to have run, although an earlier
    one did.
    """
    run = errors.RunState.NOT_RUN
    for attempt in (errors.RunState.UNKNOWN, errors.RunState.NOT_RUN):
        run = retry.merge_run_states(run, attempt)
    assert run is errors.RunState.UNKNOWN
