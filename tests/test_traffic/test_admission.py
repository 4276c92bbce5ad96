"""Tests of the admission to slots."""

from __future__ import annotations

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from damaskpier import errors
from damaskpier.traffic import admission


class Clock:
    """Clock that the test moves."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    """Return a clock that stands still."""
    return Clock()


def make(clock, slots, queue):
    """Return an admission and a list of the outcomes by name."""
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
    """Guards against late requests that overtake urgent ones."""
    adm, outcomes, submit = make(clock, 1, 5)
    running = submit('a')
    submit('late', 9)
    submit('soon', 2)
    adm.release(running)
    assert list(outcomes) == ['a', 'soon']


def test_full_queue_refuses_before_the_run(clock):
    """Guards against an unbounded queue."""
    adm, outcomes, submit = make(clock, 1, 1)
    submit('a')
    submit('b')
    submit('c')
    assert outcomes['c'].code is errors.CALL_OVERLOADED
    assert outcomes['c'].run is errors.RunState.NOT_RUN
    assert 'b' not in outcomes


def test_request_that_would_be_late_is_refused(clock):
    """Guards against work whose answer nobody waits for."""
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
    adm, outcomes, submit = make(clock, 1, 10)
    running = submit('a')
    submit('b', 1.0)
    submit('c', 5.0)
    clock.now += 2.0
    adm.release(running)
    assert outcomes['b'].code is errors.CALL_DEADLINE
    assert outcomes['c'] is None


def test_idle_worker_takes_a_request_after_slow_ones(clock):
    """Guards against an estimate that refuses everything for ever."""
    adm, outcomes, submit = make(clock, 1, 10)
    slow = submit('slow', 60)
    clock.now += 30
    adm.release(slow)
    submit('next', 1.0)
    assert outcomes['next'] is None


async def test_frozen_upstream_does_not_hold_the_queue():
    """Guards against waiting requests that outlive their deadline."""
    loop = asyncio.get_running_loop()
    adm = admission.Admission(loop.time)
    adm.configure(1, 10)
    held = await admission.acquire(adm, loop.time() + 60, 60, 'r')
    late = await admission.acquire(adm, loop.time() + 0.02, 0.02, 'r')
    assert late.code is errors.CALL_DEADLINE
    assert adm.load.queued == 0
    adm.release(held)


async def test_cancelled_wait_gives_its_place_back():
    """Guards against slots that cancelled callers keep."""
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
    """Guards against a limit that overloads an upstream of unknown size."""
    limit = admission.AdaptiveLimit()
    for _ in range(300):
        limit.finished(0.01, int(limit.limit))
    grown = limit.limit
    assert grown > 20
    for _ in range(300):
        limit.finished(0.2, int(limit.limit))
    assert limit.limit < grown / 2


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Random submits, releases and cancellations."""

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
