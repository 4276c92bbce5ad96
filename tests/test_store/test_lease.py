"""Tests of leases with a simulated clock."""

from __future__ import annotations

import pytest

from damaskpier import errors
from damaskpier import events
from damaskpier.store import lease
from damaskpier.store import memory

NAME = 'fleet'
HOLDER = {'node_id': 'n1', 'rpc_port': 7000}


class Clock:
    """Clock whose time the test sets."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    """Return a clock at 0."""
    return Clock()


@pytest.fixture
def make(driver, clock):
    """Return a function that makes the lease service of a new process.

    Its attribute ``lost`` lists the names of the lost leases.
    """

    def make():
        emitter = events.Events()
        leases = lease.Leases(driver.make_store(), emitter, clock)
        leases.lost = []
        emitter.connect(lease.LOST_EVENT, leases.lost.append)
        return leases

    return make


def run(driver, coroutine):
    """Return the result of a coroutine, with all calls answered."""
    task = driver.spawn(coroutine)
    driver.finish()
    return task.result()


def test_a_contender_acquires_a_lease_only_after_the_ttl(driver, clock, make):
    holder, contender = make(), make()
    assert run(driver, holder.acquire(NAME, HOLDER)) == (NAME, 1)
    assert (holder.held_names(), contender.held_names()) == ([NAME], [])
    record = run(driver, contender.read(NAME))
    assert record.holder == HOLDER
    refused = run(driver, contender.acquire(NAME, {}))
    assert refused.code is errors.LEASE_HELD
    assert contender.expires_in_s(NAME) == lease.LEASE_TTL_S
    clock.now = 2.0
    run(driver, holder.renew(NAME))
    clock.now = 4.5  # a TTL after the first read, but changed in between
    refused = run(driver, contender.acquire(NAME, {}))
    assert refused.code is errors.LEASE_HELD
    run(driver, contender.acquire(NAME, {}))
    clock.now = 8.5
    assert run(driver, contender.acquire(NAME, {})) == (NAME, 2)
    assert not holder.is_held(NAME)
    assert run(driver, holder.renew(NAME)).code is errors.LEASE_LOST
    assert holder.lost == [NAME]


def test_a_late_answer_counts_from_the_start_of_the_renewal(
    driver, clock, make
):
    """Guards against a holder that acts while a contender may acquire.

    A renewal takes effect, but its answer arrives a TTL later. The TTL
    counts from the start of the renewal, not from its answer.
    """
    holder = make()
    run(driver, holder.acquire(NAME, HOLDER))
    renewal = driver.spawn(holder.renew(NAME))
    driver.apply(0)
    clock.now = 3.5
    assert holder.is_held(NAME)
    clock.now = 4.0
    driver.answer(0)
    assert renewal.result() == (NAME, 1)
    assert not holder.is_held(NAME)


def test_a_pause_is_distinguished_from_an_outage(driver, clock, make):
    """Guards against decisions by a holder whose process was paused.

    During an outage a running holder may act beyond the TTL, because no
    other process can acquire the lease. During a pause longer than the TTL
    another one can, so the lease has to be confirmed first.
    """
    holder = make()
    run(driver, holder.acquire(NAME, HOLDER))
    driver.set_down(True)
    while clock.now < 60.0:  # the process runs, the platform is down
        clock.now += 1.0
        driver.spawn(holder.renew(NAME))
    assert not holder.is_confirmed(NAME)
    assert holder.may_act(NAME)
    clock.now += lease.LEASE_TTL_S + 0.1
    assert not holder.is_held(NAME)
    assert holder.status(NAME).paused_since_confirmed
    driver.spawn(holder.renew(NAME))
    assert not holder.may_act(NAME)
    driver.set_down(False)
    run(driver, holder.renew(NAME))
    assert holder.is_held(NAME)
    assert holder.may_act(NAME)


def test_a_released_lease_is_free_at_once(driver, make):
    holder, contender = make(), make()
    run(driver, holder.acquire(NAME, HOLDER))
    run(driver, contender.acquire(NAME, {}))
    assert run(driver, holder.release(NAME)) is None
    assert run(driver, contender.acquire(NAME, {})) == (NAME, 2)


def test_a_renewal_that_was_applied_without_an_answer_keeps_the_lease(
    driver, clock, make
):
    """Guards against a holder that loses its lease to its own renewal.

    A renewal takes effect but its answer is lost, so the next one conflicts
    with the version that the first one wrote.
    """
    holder = make()
    run(driver, holder.acquire(NAME, HOLDER))
    driver.spawn(holder.renew(NAME))
    driver.apply(0)
    driver.lose(0)
    driver.network.clear()
    refused = run(driver, holder.renew(NAME))
    assert refused.code is errors.PLATFORM_CONFLICT
    assert run(driver, holder.renew(NAME)) == (NAME, 1)
    assert holder.lost == []


async def test_a_started_service_renews_and_releases_by_itself():
    state = memory.StoreState()
    leases = lease.Leases(
        memory.MemoryObjectStore(state), events.Events(), renew_interval_s=0.01
    )
    await leases.start()
    await leases.acquire(NAME, HOLDER)
    first = state.revision
    while state.revision < first + 2:
        await state.wait()
    await leases.stop()
    record = lease.parse_lease(state.get('leases/fleet'))
    assert record.is_released
    assert record.epoch == 1
