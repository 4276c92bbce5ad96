"""Tests of the HTTP client with faults of the fake platform."""

from __future__ import annotations

import asyncio
import random

import pytest
from tornado import simple_httpclient

from damaskpier import config
from damaskpier import errors
from damaskpier.fakes import platform as fake
from damaskpier.store import http
from damaskpier.store import signoff

# Ends a test that hangs; no result depends on it.
TEST_TIMEOUT_S = 60


class LongReadBackStore(http.HttpObjectStore):
    """Client with a short timeout of writes and a long one of reads back."""

    async def _read_back(self, key):
        self._timeout_s = TEST_TIMEOUT_S
        return await super()._read_back(key)


@pytest.fixture
async def make_store(running):
    """Return a function that makes clients of the fake platform."""
    stores = []

    def make(kind=http.HttpObjectStore, **kwargs):
        address = config.Address('127.0.0.1', running.port)
        store = kind(address, rng=random.Random(1), **kwargs)
        stores.append(store)
        return store

    yield make
    for store in stores:
        await store.stop()


@pytest.mark.parametrize('mode', ['close', 'hang'])
async def test_a_lost_answer_is_resolved_by_the_write_id(
    running, make_store, mode
):
    """Guards against a write that is reported as refused but took effect.

    The platform writes the object, then closes the connection or never
    answers. The client reads the object and finds its own ``write_id``.
    """
    store = make_store(LongReadBackStore, timeout_s=1.0)
    running.platform.set_faults(fake.Faults(lose_next=1, lose_mode=mode))
    stored = await store.put('config/head', b'{"write_id":"a"}', 0)
    assert stored == running.platform.state.get('config/head')
    assert running.platform.state.revision == 1


async def test_another_write_is_a_conflict_after_a_lost_answer(
    running, make_store
):
    """Guards against taking the write of another client for one's own.

    The platform does not answer the write, and another client creates the
    object before it is read back.
    """
    store = make_store(LongReadBackStore, timeout_s=1.0)
    running.platform.set_faults(fake.Faults(down='hang'))
    writing = asyncio.ensure_future(
        store.put('config/head', b'{"write_id":"a"}', 0)
    )
    while not running.platform.counters['put']:
        await asyncio.sleep(0.01)
    running.platform.state.put('config/head', b'{"write_id":"b"}', 0)
    running.platform.set_faults(fake.Faults())
    refused = await asyncio.wait_for(writing, TEST_TIMEOUT_S)
    assert refused.code is errors.PLATFORM_CONFLICT
    assert refused.run is errors.RunState.UNKNOWN


async def test_a_write_that_takes_effect_after_the_read_back_counts(
    running, make_store
):
    """Guards against "not applied" for a write that was only slow.

    The write takes effect after the object was read back, so the second
    attempt conflicts with the first one.
    """
    value = b'{"write_id":"a"}'
    platform = running.platform

    class LateStore(LongReadBackStore):
        async def _read_back(self, key):
            platform.set_faults(fake.Faults())
            stored = await super()._read_back(key)
            platform.state.put(key, value, 0)
            return stored

    store = make_store(LateStore, timeout_s=0.2)
    platform.set_faults(fake.Faults(down='hang'))
    stored = await store.put('config/head', value, 0)
    assert stored == platform.state.get('config/head')
    assert platform.state.revision == 1


async def test_an_answer_that_can_not_be_verified_is_unknown(
    running, make_store
):
    """Guards against "not applied" if the outcome can not be known.

    The platform answers neither the write nor the read that verifies it.
    """
    store = make_store(timeout_s=0.2)
    running.platform.set_faults(fake.Faults(down='hang'))
    refused = await store.put('config/head', b'{"write_id":"a"}', 0)
    assert refused.code is errors.PLATFORM_UNKNOWN
    assert refused.run is errors.RunState.UNKNOWN


async def test_a_write_that_the_platform_refuses_is_not_run(
    running, make_store
):
    store = make_store()
    running.platform.set_faults(fake.Faults(down='refuse'))
    refused = await store.put('config/head', b'{}', 0)
    assert refused.code is errors.PLATFORM_UNAVAILABLE
    assert refused.run is errors.RunState.NOT_RUN
    await running.stop()
    refused = await store.put('config/head', b'{}', 0)
    assert refused.code is errors.PLATFORM_UNAVAILABLE
    assert running.platform.state.revision == 0


async def test_calls_over_the_rate_limit_are_refused_and_counted():
    """Guards against a client that takes a status of 429 for success."""
    platform = fake.Platform(max_writes=2, max_reads=2, clock=lambda: 0.0)
    running = fake.start_platform(platform)
    store = http.HttpObjectStore(config.Address('127.0.0.1', running.port))
    outcomes = [await store.put(f'a/{n}', b'{}', 0) for n in range(3)]
    assert outcomes[2].code is errors.PLATFORM_LIMITED
    assert not isinstance(outcomes[1], errors.Refusal)
    reads = [await store.get('a/0') for _ in range(3)]
    assert reads[2].code is errors.PLATFORM_LIMITED
    assert platform.counters['put'] == platform.counters['get'] == 3
    assert platform.counters['limited'] == 2
    await store.stop()
    await running.stop()


async def test_the_call_after_a_timeout_uses_a_new_connection(
    running, make_store
):
    """Guards against the use of another broken connection after a timeout.

    Four calls at a time leave several open connections, none of which gets
    an answer any more. One timeout has to replace all of them.
    """
    store = make_store(timeout_s=TEST_TIMEOUT_S)
    await store.put('a/1', b'{}', 0)
    running.platform.set_faults(fake.Faults(slow_ms=50))
    await asyncio.gather(*(store.get('a/1') for _ in range(4)))
    running.platform.set_faults(fake.Faults())
    running.platform.silence_open_connections()
    store._timeout_s = 0.2
    refused = await store.get('a/1')
    assert refused.code is errors.PLATFORM_UNAVAILABLE
    store._timeout_s = TEST_TIMEOUT_S
    assert (await store.get('a/1')).value == b'{}'
    assert store.counters['reconnects'] == 1


async def test_a_watch_reconnects_after_the_idle_timeout(running, make_store):
    """Guards against a watch that receives no more changes.

    Its connection stays open, but no byte arrives on it, as after the loss
    of a network path.
    """
    # Without the idle timeout, the watch ends only after the test.
    store = make_store(idle_timeout_s=2, watch_wait_s=10 * TEST_TIMEOUT_S)
    watch = store.watch('config/', 0)
    waiting = asyncio.ensure_future(anext(watch))
    while not running.platform.counters['watch']:
        await asyncio.sleep(0.01)
    running.platform.silence_open_connections()
    running.platform.state.put('config/head', b'{}', 0)
    first = await asyncio.wait_for(waiting, TEST_TIMEOUT_S)
    assert isinstance(first, errors.Refusal)
    changes = first
    while isinstance(changes, errors.Refusal):
        changes = await asyncio.wait_for(anext(watch), TEST_TIMEOUT_S)
    assert [change.key for change in changes] == ['config/head']


async def test_a_watch_continues_after_an_outage(running, make_store):
    """Guards against changes that are missed during an outage.

    The object changes while the platform refuses all calls. The watch has
    to retry with a backoff and to continue at the last version it received.
    """
    delays = []

    async def sleep(delay):
        delays.append(delay)
        if len(delays) == 8:
            running.platform.set_faults(fake.Faults())

    store = make_store(sleep=sleep)
    running.platform.set_faults(fake.Faults(down='refuse'))
    running.platform.state.put('config/head', b'{}', 0)
    seen = []
    async for change in store.watch('config/', 0):
        seen.append(change)
        if not isinstance(change, errors.Refusal):
            break
    assert [refusal.code for refusal in seen[:-1]] == (
        [errors.PLATFORM_UNAVAILABLE] * 8
    )
    assert seen[-1][0].version == 1
    assert http.BACKOFF_MAX_S / 2 <= delays[-1] <= http.BACKOFF_MAX_S


async def test_stop_ends_waiting_calls(running, make_store):
    """Guards against a process that does not end during an outage.

    The client is stopped while a read and a watch wait for answers that
    never arrive.
    """
    store = make_store(timeout_s=TEST_TIMEOUT_S)
    running.platform.set_faults(fake.Faults(down='hang'))
    reading = asyncio.ensure_future(store.get('config/head'))
    watching = asyncio.ensure_future(_collect(store.watch('config/', 0)))
    while not running.platform.counters['watch']:
        await asyncio.sleep(0.01)
    await store.stop()
    assert (await reading).code is errors.PLATFORM_UNAVAILABLE
    (refusal,) = await watching
    assert refusal.code is errors.PLATFORM_UNAVAILABLE


async def _collect(watch):
    return [item async for item in watch]


async def test_concurrent_sign_offs_with_lost_answers_are_accepted_once(
    running, make_store, bundle
):
    """Guards against an accepted sign-off that is not in force.

    Three operators race, and the platform loses answers. Each has to find
    out from the head which write has the version.
    """
    running.platform.set_faults(fake.Faults(lose_fraction=0.3, seed=3))
    accepted = []

    async def operate(name, store):
        for _ in range(10):
            head = await signoff.sign_off(
                store, bundle, None, name, None, '', 100.0
            )
            if not isinstance(head, errors.Refusal):
                accepted.append((head.version, head.write_id))
            else:
                assert head.code is errors.PLATFORM_CONFLICT

    names = ('ana', 'ben', 'eve')
    stores = [make_store(timeout_s=TEST_TIMEOUT_S) for _ in names]
    await asyncio.gather(*map(operate, names, stores))
    head = await signoff.read_head(stores[0])
    assert len(accepted) >= 10
    assert sorted(item[0] for item in accepted) == [
        *range(1, head.head.version + 1)
    ]
    for item in head.recent:
        assert (item['version'], item['write_id']) in accepted
    assert running.platform.counters['lost'] > 0


async def test_a_waiting_watch_outlasts_the_idle_timeout(running, make_store):
    """Guards against a watch that ends although the platform works.

    No key changes for longer than the idle timeout, but the platform sends
    spaces meanwhile.
    """
    store = make_store(idle_timeout_s=2, watch_wait_s=4)
    found = await store._watch_once('config/', 0)
    assert not isinstance(found, errors.Refusal)
    assert found.changes == []


async def test_a_watch_gets_keepalives_while_other_keys_change(
    store, running, monkeypatch
):
    """Guards against a watch that gets no keepalive while other keys change.

    The client closes a watch on which no byte arrives for a few seconds.
    Each renewal of a lease had postponed the next keepalive.
    """
    monkeypatch.setattr(fake, 'KEEPALIVE_INTERVAL_S', 0.05)
    chunks = []
    watching = asyncio.ensure_future(
        simple_httpclient.SimpleAsyncHTTPClient(force_instance=True).fetch(
            f'http://127.0.0.1:{running.port}/v1/watch?prefix=config/&after=0',
            streaming_callback=chunks.append,
        )
    )
    for number in range(2000):
        await store.put('leases/fleet', b'{"number":%d}' % number, None)
        if chunks:
            break
    await store.put('config/head', b'{}', None)
    await watching
    assert chunks[0] == fake.KEEPALIVE
