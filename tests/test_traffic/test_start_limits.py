"""Limits that hold requests back while a worker has free slots."""

from __future__ import annotations

import asyncio
import random

import pytest

from damaskpier import errors
from damaskpier.traffic import admission
from damaskpier.traffic import start_limits

from tests.test_fleet import virtual_time

LONG_BYTES = 90_000
LINK_BYTES_PER_S = 1e6
SERVICE_S = 0.25
DEADLINE_S = 2.5
OBJECTIVE_S = 1.0
SLOTS = 9


class _Worker:
    """Worker whose responses leave over a link, one after the other.

    ``answered_s`` holds the time from the arrival to the end of each response
    that came by the deadline, ``wasted`` counts the later ones, ``refused``
    the requests that did not run.
    """

    def __init__(self, limited: bool = True) -> None:
        self.loop = asyncio.get_running_loop()
        self.admission = admission.Admission(self.loop.time)
        self.admission.configure(SLOTS, 3 * SLOTS)
        self.link = start_limits.LinkLimit(
            lambda: int(self.backlog_s * LINK_BYTES_PER_S),
            lambda: LINK_BYTES_PER_S,
        )
        if limited:
            self.admission.limits = (self.link,)
        self.admission.on_delay = self._start_later
        self.answered_s: list[float] = []
        self.wasted = 0
        self.refusals: list[errors.Refusal] = []
        self.rng = random.Random(5)
        self._free_at = 0.0
        self._is_scheduled = False

    @property
    def backlog_s(self) -> float:
        """Return how long the link is taken by responses."""
        return max(0.0, self._free_at - self.loop.time())

    def request(self, route: str = 'long', size: int = LONG_BYTES) -> None:
        """Submit a request."""
        arrived = self.loop.time()
        tickets = []

        def decide(refusal: errors.Refusal | None) -> None:
            if refusal is not None:
                self.refusals.append(refusal)
                return
            service_s = SERVICE_S * self.rng.uniform(0.5, 1.5)
            self.loop.call_later(service_s, end)

        def end() -> None:
            self.admission.release(tickets[0])
            self.link.record_response(route, size)
            begins = max(self.loop.time(), self._free_at)
            self._free_at = begins + size / LINK_BYTES_PER_S
            took_s = self._free_at - arrived
            if took_s <= DEADLINE_S:
                self.answered_s.append(took_s)
            else:
                self.wasted += 1

        tickets.append(
            self.admission.submit(
                arrived + DEADLINE_S,
                decide,
                route,
                objective=arrived + OBJECTIVE_S,
            )
        )

    def _start_later(self, delay_s: float) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self.loop.call_later(max(delay_s, 0.005), self._start)

    def _start(self) -> None:
        self._is_scheduled = False
        self.admission.start_waiting()


async def _overload(
    per_s: float, seconds: float, limited: bool = True
) -> _Worker:
    """Send requests for long responses at a constant rate."""
    worker = _Worker(limited)
    for _ in range(int(per_s * seconds)):
        worker.request()
        await asyncio.sleep(1 / per_s)
    await asyncio.sleep(2 * DEADLINE_S)
    return worker


def test_overloaded_link_carries_responses_that_are_not_late():
    """Slots alone admit more than the link carries, and all would be late.

    Downloads on benkirane-registre-grown failed while their workers had free
    slots (issue 20, SHORT).
    """
    seconds = 30.0
    capacity = LINK_BYTES_PER_S / LONG_BYTES
    worker = virtual_time.run(_overload(1.4 * capacity, seconds))
    in_time = [took for took in worker.answered_s if took <= OBJECTIVE_S]
    assert len(in_time) >= 0.8 * capacity * seconds
    assert worker.wasted <= 0.02 * len(worker.answered_s)
    assert {refusal.run for refusal in worker.refusals} == {
        errors.RunState.NOT_RUN
    }


def test_link_limit_costs_nothing_below_the_capacity():
    capacity = LINK_BYTES_PER_S / LONG_BYTES
    worker = virtual_time.run(_overload(0.8 * capacity, 30.0))
    assert not worker.refusals
    assert not worker.wasted
    assert max(worker.answered_s) <= OBJECTIVE_S


def test_short_responses_do_not_wait_for_the_link():
    """They are sent at once, also while long ones wait."""

    async def run() -> _Worker:
        worker = _Worker()
        worker.link.record_response('long', LONG_BYTES)
        worker.link.record_response('short', 1000)
        for _ in range(2 * SLOTS):
            worker.request()
        assert worker.admission.in_use < SLOTS
        running = worker.admission.in_use
        worker.request('short', 1000)
        assert worker.admission.in_use == running + 1
        return worker

    virtual_time.run(run())


def test_full_link_refuses_what_waits_too_long_for_it():
    """Another worker may have room, so that the refusal comes at once."""

    async def run() -> None:
        worker = _Worker()
        worker.link.record_response('long', LONG_BYTES)
        for _ in range(SLOTS):
            worker.request()
        outcomes = []
        worker.admission.submit(
            DEADLINE_S, outcomes.append, 'long', max_wait_s=0.1
        )
        assert outcomes[0].code is errors.CALL_OVERLOADED

    virtual_time.run(run())


def test_hopeless_request_is_refused_before_it_waits_for_the_link():
    async def run() -> None:
        worker = _Worker()
        worker.link.record_response('long', LONG_BYTES)
        for _ in range(2 * SLOTS):
            worker.request()
        outcomes = []
        worker.admission.submit(1.1 * OBJECTIVE_S, outcomes.append, 'long')
        assert outcomes[0].code is errors.CALL_DEADLINE

    virtual_time.run(run())


def test_unknown_rate_holds_nothing_back():
    limit = start_limits.LinkLimit(lambda: 10**9, lambda: 0.0)
    limit.record_response('long', LONG_BYTES)
    ticket = admission.Ticket(1.0, print, 'long')
    limit.record_start(admission.Ticket(1.0, print, 'long'))
    assert limit.delay_s(ticket, (), 0.0) == 0.0
    assert limit.transfer_s(ticket.route) == 0.0


def test_rate_that_is_too_low_is_measured_again():
    """Without any request, no measurement would correct it."""
    limit = start_limits.LinkLimit(lambda: 10**6, lambda: 1.0)
    limit.record_response('long', LONG_BYTES)
    ticket = admission.Ticket(1.0, print, 'long')
    assert limit.delay_s(ticket, (), 0.0) == 0.0
    limit.record_start(ticket)
    other = admission.Ticket(1.0, print, 'long')
    assert limit.delay_s(other, (), 0.0) > 0
    limit.record_end(ticket)
    assert limit.delay_s(other, (), 0.0) == 0.0


def test_slots_alone_admit_more_than_the_link_carries():
    """Shows that the load of these tests needs the limit."""
    seconds = 30.0
    capacity = LINK_BYTES_PER_S / LONG_BYTES
    worker = virtual_time.run(
        _overload(1.4 * capacity, seconds, limited=False)
    )
    in_time = [took for took in worker.answered_s if took <= OBJECTIVE_S]
    assert len(in_time) <= 0.2 * capacity * seconds


class _Steps:
    """Clock that a test moves."""

    def __init__(self) -> None:
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


def _starts(limit: start_limits.RateLimit, clock: _Steps, end: float) -> list:
    """Start requests as early as a limit allows, and return the times."""
    starts = []
    ticket = admission.Ticket(1e9, print, 'r')
    while clock.now < end:
        if limit.delay_s(ticket, (), 0.1) == 0:
            starts.append(clock.now)
            limit.record_start(ticket)
            limit.record_end(ticket)
        else:
            clock.now += 0.005
    return starts


@pytest.mark.parametrize('per_s', [0.5, 3.0, 48.1, 400.0])
def test_starts_keep_the_rate_in_each_window(per_s):
    """An upstream gets no burst after a pause that exceeds its limit."""
    clock = _Steps()
    limit = start_limits.RateLimit(clock)
    limit.set(per_s)
    starts = _starts(limit, clock, 70.0)
    clock.now = 90.0
    starts += _starts(limit, clock, 110.0)
    for window_s in (0.5, 1.0, 4.0):
        for start in starts:
            count = sum(start <= at < start + window_s for at in starts)
            assert count <= per_s * (window_s + 0.25) + 1
    assert len(starts) >= 0.9 * per_s * 40


def test_rate_follows_a_limit_that_changes():
    clock = _Steps()
    limit = start_limits.RateLimit(clock)
    limit.set(100.0)
    clock.now += 5
    limit.set(2.0)
    assert len(_starts(limit, clock, clock.now + 10)) <= 22
    limit.set(100.0)
    assert len(_starts(limit, clock, clock.now + 1)) >= 90
    limit.set(None)
    ticket = admission.Ticket(1e9, print, 'r')
    assert limit.delay_s(ticket, [ticket] * 1000, 0.1) == 0


def test_few_requests_run_until_the_first_answer():
    limit = start_limits.RateLimit(_Steps())
    limit.expect_answer()
    ticket = admission.Ticket(1e9, print, 'r')
    for _ in range(start_limits.FIRST_REQUEST_COUNT):
        assert limit.delay_s(ticket, (), 0.0) == 0
        limit.record_start(ticket)
    assert limit.delay_s(ticket, (), 0.0) > 0
    limit.record_end(ticket)
    assert limit.delay_s(ticket, (), 0.0) == 0
    limit.record_start(ticket)
    limit.set(None)
    assert limit.delay_s(ticket, (), 0.0) == 0
