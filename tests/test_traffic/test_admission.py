"""Tests of the admission control."""

from __future__ import annotations

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from damaskpier import errors
from damaskpier.traffic import admission
from damaskpier.traffic import start_limits


class Clock:
    """Clock that the test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    """Return a clock that only the test moves."""
    return Clock()


def make(clock, slots, queue):
    """Return an admission, its decisions by name and a submit function."""
    adm = admission.Admission(clock)
    adm.configure(slots, queue)
    outcomes = {}

    def submit(name, deadline_s=10.0):
        return adm.submit(
            clock.now + deadline_s,
            lambda refusal: outcomes.setdefault(name, refusal),
            'route',
        )

    return adm, outcomes, submit


def test_queue_is_ordered_by_deadline(clock):
    """The queued request with the earliest deadline gets the next slot.

    In order of arrival, urgent requests would expire behind later ones.
    """
    adm, outcomes, submit = make(clock, 1, 5)
    running = submit('a')
    submit('late', 9)
    submit('soon', 2)
    adm.release(running)
    assert list(outcomes) == ['a', 'soon']


def test_full_queue_refuses_before_the_run(clock):
    """A request beyond the queue limit is refused as not run.

    Otherwise the queue would grow without limit under overload.
    """
    adm, outcomes, submit = make(clock, 1, 1)
    submit('a')
    submit('b')
    submit('c')
    assert outcomes['c'].code is errors.CALL_OVERLOADED
    assert outcomes['c'].run is errors.RunState.NOT_RUN
    assert 'b' not in outcomes


def test_request_that_would_be_late_is_refused(clock):
    """A request that can not finish by its deadline is refused at once.

    Otherwise the upstream would work for callers that have already timed out.
    """
    adm, outcomes, submit = make(clock, 1, 10)
    first = submit('first')
    clock.now += 0.5
    adm.release(first)
    submit('a')
    submit('hopeless', 0.8)
    submit('possible', 1.5)
    assert outcomes['hopeless'].code is errors.CALL_DEADLINE
    assert 'possible' not in outcomes


def test_queued_request_that_became_late_is_refused(clock):
    """A queued request is refused when its deadline can no longer be met.

    The running request takes longer than expected, so that the deadline of a
    queued one passes before the slot is free.
    """
    adm, outcomes, submit = make(clock, 1, 10)
    running = submit('a')
    submit('b', 1.0)
    submit('c', 5.0)
    clock.now += 2.0
    adm.release(running)
    assert outcomes['b'].code is errors.CALL_DEADLINE
    assert outcomes['c'] is None


def test_idle_worker_accepts_a_request_after_slow_ones(clock):
    """An idle worker accepts a request that is expected to be late.

    After one slow request, the expected service time exceeds all deadlines. If
    the worker refused everything for that reason, no new sample would ever
    correct the estimate.
    """
    adm, outcomes, submit = make(clock, 1, 10)
    slow = submit('slow', 60)
    clock.now += 30
    adm.release(slow)
    submit('next', 1.0)
    assert outcomes['next'] is None


class CountingLimit(start_limits.StartLimit):
    """Limit that holds nothing back and counts how often it is asked."""

    def __init__(self):
        self.calls = 0

    def delay_s(self, ticket, ahead, service_s):
        """Return that a request may start now."""
        return 0.0

    def transfer_s(self, route):
        """Return that the response is transferred at once."""
        self.calls += 1
        return 0.0


def test_work_for_a_request_does_not_grow_with_the_queue(clock):
    """A worker under overload has a long queue of requests of few routes.

    If the expected time of each one were computed whenever a request arrives
    or ends, the node would be late with all requests.
    """
    calls = []
    for queued in (10, 80):
        adm, _, submit = make(clock, 4, 100)
        limit = CountingLimit()
        adm.limits = (limit,)
        running = [submit(f'running {number}') for number in range(4)]
        for number in range(queued):
            submit(f'waiting {number}')
        limit.calls = 0
        submit('last')
        adm.release(running[0])
        calls.append(limit.calls)
    assert calls[0] == calls[1] <= 6


async def test_frozen_upstream_does_not_block_the_queue():
    """A waiting request is refused at its deadline while no slot becomes free.

    The queue is checked when a slot is released, which never happens while the
    upstream is frozen, so the deadline needs a timer of its own.
    """
    loop = asyncio.get_running_loop()
    adm = admission.Admission(loop.time)
    adm.configure(1, 10)
    held = await admission.acquire(adm, loop.time() + 60, 60, 'r')
    late = await admission.acquire(adm, loop.time() + 0.02, 0.02, 'r')
    assert late.code is errors.CALL_DEADLINE
    assert adm.load.queued == 0
    adm.release(held)


async def test_cancelled_wait_releases_its_slot():
    """A wait that is cancelled after the slot was granted releases the slot.

    Both happen in one iteration of the event loop, so the waiting task sees
    only the cancellation and the slot would be lost.
    """
    loop = asyncio.get_running_loop()
    adm = admission.Admission(loop.time)
    adm.configure(1, 10)
    held = await admission.acquire(adm, loop.time() + 60, 60, 'r')
    waiting = asyncio.create_task(
        admission.acquire(adm, loop.time() + 60, 60, 'r')
    )
    await asyncio.sleep(0)
    # The slot is granted and the wait cancelled in one loop iteration.
    adm.release(held)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert adm.in_use == 0


def test_adaptive_limit_follows_the_latency():
    """The adaptive limit grows at low latency and shrinks at high latency.

    A limit that does not shrink would overload an upstream of unknown size.
    """
    limit = admission.AdaptiveLimit()
    for _ in range(300):
        limit.record_service_time(0.01, int(limit.limit))
    grown = limit.limit
    assert grown > 20
    for _ in range(300):
        limit.record_service_time(0.2, int(limit.limit))
    assert limit.limit < grown / 2


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Random submits, releases, cancellations and passing of time.

    The load that the admission reports has to equal the number of granted and
    waiting requests after each step.
    """

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.adm = admission.Admission(self.clock)
        self.adm.configure(3, 4)
        self.waiting = {}
        self.granted = {}

    @stateful.rule(deadline=strategies.floats(0.01, 5))
    def submit(self, deadline):
        outcome = []
        ticket = self.adm.submit(self.clock.now + deadline, outcome.append)
        if not outcome:
            self.waiting[ticket] = outcome
        elif outcome[0] is None:
            self.granted[ticket] = outcome

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule(data=strategies.data(), finished=strategies.booleans())
    def release(self, data, finished):
        ticket = data.draw(strategies.sampled_from(list(self.granted)))
        del self.granted[ticket]
        self.adm.release(ticket, finished=finished)

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        ticket = data.draw(strategies.sampled_from(list(self.waiting)))
        del self.waiting[ticket]
        self.adm.release(ticket)

    @stateful.rule(seconds=strategies.floats(0, 1))
    def wait(self, seconds):
        self.clock.now += seconds

    @stateful.invariant()
    def counts_are_exact(self):
        for ticket, outcome in list(self.waiting.items()):
            if outcome:
                del self.waiting[ticket]
                if outcome[0] is None:
                    self.granted[ticket] = outcome
        load = self.adm.load
        assert load.in_use == len(self.granted) <= 3
        assert load.queued == len(self.waiting) <= 4
        assert not self.waiting or load.in_use == 3


AdmissionMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None
)
test_admission_machine = AdmissionMachine.TestCase
