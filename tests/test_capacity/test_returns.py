"""Returns of refused callers: Retry-After and what callers gain by it."""

from __future__ import annotations

import random

import pytest

from damaskpier.capacity import elapsed
from damaskpier.capacity import entry
from damaskpier.capacity import returns
from damaskpier import errors
from damaskpier.traffic import messages

from tests.test_capacity import simulation

CLS = returns.ReturnClass('s', 0)
FULL_LOAD = messages.Load(6, 6, 6)


def make_returns(served_per_s, until=10.0):
    """Return a schedule after some seconds in which requests were served."""
    state = returns.Returns()
    count = int(served_per_s * until)
    for number in range(count):
        at = until * number / count
        state.record_answer(CLS, FULL_LOAD, 0.5, at)
    return state


def test_callers_that_return_do_not_exceed_the_room():
    """Load: 40 callers are refused at once, 20 requests are served a second.

    Callers that all return after about 0.1 s are refused again.
    """
    state = make_returns(20.0)
    rng = random.Random(1)
    delays = sorted(
        state.delay_s(CLS, 20.0, 10.0, rng.random()) for _ in range(40)
    )
    # Half of the room is for returns, and the decaying rate is a bit lower.
    for begin in range(4):
        within = sum(begin <= delay < begin + 1 for delay in delays)
        assert within <= 14
    assert delays[-1] > 3.0


@pytest.mark.parametrize('remaining_s', [0.05, 0.3, 0.9, 4.0])
@pytest.mark.parametrize('served_per_s', [0.0, 1.0, 20.0])
def test_return_is_not_later_than_callers_honour(remaining_s, served_per_s):
    """A caller that is told to return later than that does not return."""
    state = make_returns(served_per_s)
    rng = random.Random(1)
    for _ in range(200):
        delay_s = state.delay_s(CLS, remaining_s, 10.0, rng.random())
        assert 0 <= delay_s <= returns.MAX_RETURN_RATIO * remaining_s


def test_single_refused_caller_returns_soon():
    """Without other callers that return, there is no reason to wait."""
    delay_s = make_returns(20.0).delay_s(CLS, 4.0, 10.0, 0.5)
    assert delay_s < 0.5


def test_urgent_callers_do_not_wait_behind_others():
    """Load: many callers of a less urgent class are told to return."""
    state = make_returns(20.0)
    other = CLS._replace(priority=1)
    for _ in range(50):
        state.delay_s(other, 20.0, 10.0, 0.5)
    assert state.delay_s(CLS, 20.0, 10.0, 0.5) < 0.5


def test_waited_time_is_that_of_callers_who_return():
    """Load: half of the requests are returns with less time left."""
    times = elapsed.RouteTimes()
    for number in range(20):
        times.elapsed_s(4.0, 0.1 * number)
        waited_s = times.elapsed_s(3.4, 0.1 * number)
    assert waited_s == pytest.approx(0.6)
    assert times.elapsed_s(4.0, 3.0) == 0.0


def test_callers_with_different_deadlines_are_not_taken_for_returns():
    """Callers may allow any time; a short one does not mean a return."""
    times = elapsed.RouteTimes()
    rng = random.Random(1)
    for number in range(500):
        left_s = rng.uniform(1.0, 4.0)
        if number >= elapsed.MIN_REQUESTS:
            assert times.elapsed_s(left_s, 0.05 * number) == 0.0


def test_longer_deadline_that_is_not_used_any_more_is_forgotten():
    """A new configuration may shorten the deadline of a route."""
    times = elapsed.RouteTimes()
    for number in range(100):
        times.elapsed_s(4.0, 0.1 * number)
    for number in range(300):
        elapsed_s = times.elapsed_s(2.0, 10.0 + 0.1 * number)
    assert elapsed_s == 0.0


def make_burst(impatient, **fields):
    return simulation.Traffic(
        'r',
        0.7,
        impatient=impatient,
        factor=lambda now: 2.0 / 0.7 if 2 <= now < 7 else 1.0,
        **fields,
    )


def run(cls, traffic, seed):
    setup = simulation.Setup(
        traffic,
        workers=4,
        nodes=4,
        returns_max=2,
        length_s=10.0,
        seed=seed,
    )
    records = cls(setup).run()
    return [record for record in records if record.first_at >= 2.0]


def run_seeds(cls, *traffic):
    return [*run(cls, traffic, 1), *run(cls, traffic, 2)]


def in_time_ratio(records):
    return sum(record.in_time for record in records) / len(records)


@pytest.mark.parametrize('impatient', [0.0, 0.3])
def test_more_requests_of_a_burst_are_in_time(impatient):
    """Load: 2 times the capacity for 5 s; all or 70% return as they are told.

    Returned callers took slots from those that could still be in time.
    """
    traffic = (make_burst(impatient),)
    before = run_seeds(simulation.Simulation, *traffic)
    after = run_seeds(simulation.ReturnsSimulation, *traffic)
    assert in_time_ratio(after) > in_time_ratio(before) + 0.05
    # The ratio of two runs differs by about 0.025 between seeds.
    assert (
        simulation.served_ratio(after) > simulation.served_ratio(before) - 0.05
    )


def test_caller_that_returns_at_once_is_refused_again():
    """Load: workers admit six of ten requests, and 30% return at once.

    Each of their requests would have the chance of a first one.
    """
    state = entry.AdaptiveThrottle()
    cls = entry.ThrottleClass('s', '', 'r', 0, is_return=True)
    full = errors.Refusal(errors.CALL_OVERLOADED, 'full')
    for number in range(20):
        served = messages.Answer(200, (), b'')
        state.record(cls, served if number % 5 < 3 else full, 4.0, 0.0)
    assert returns.is_too_soon(0.005, 3.995)
    assert not returns.is_too_soon(0.0, 4.0)
    assert not returns.is_too_soon(0.1, 3.9)
    # The earliest time that a caller with little time left is told.
    assert not returns.is_too_soon(0.016, 0.1)
    assert state.refusal(cls, 3.995, 0.0, 0.75) is None
    assert state.refusal(cls, 3.995, 0.0, entry.TOO_SOON_DRAW)


def test_callers_that_return_at_once_gain_nothing():
    """Load: as above; 30% of the callers return at once each time.

    Three tries in a few milliseconds must not serve them more often than
    those that wait.
    """
    patient = make_burst(0.0)._replace(load=0.49)
    impatient = make_burst(1.0)._replace(load=0.21)
    records = run_seeds(simulation.ReturnsSimulation, patient, impatient)
    at_once = [r for r in records if r.traffic.impatient]
    waiting = [r for r in records if not r.traffic.impatient]
    assert (
        simulation.served_ratio(at_once)
        <= simulation.served_ratio(waiting) + 0.02
    )
