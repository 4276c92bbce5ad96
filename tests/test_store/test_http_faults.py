"""Tests of the HTTP client under faults of the platform."""

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

# Ends a test that hangs; no test depends on it otherwise.
LIMIT_S = 60


class PatientStore(http.HttpObjectStore):
    """Client whose time limit is short until it reads back."""

    async def _read_back(self, key):
        self._timeout_s = LIMIT_S
        return await super()._read_back(key)


@pytest.fixture
async def make_store(running):
    """Return a function that makes clients of the stand-in."""
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
    """Guards against a write that is reported refused but took effect."""
    store = make_store(PatientStore, timeout_s=1.0)
    running.platform.set_faults(fake.Faults(lose_next=1, lose_mode=mode))
    stored = await store.put('config/head', b'{"write_id":"a"}', 0)
    assert stored == running.platform.state.get('config/head')
    assert running.platform.state.revision == 1


async def test_a_write_that_lost_is_a_conflict_after_a_lost_answer(
    running, make_store
):
    """Guards against taking another writer's value for the own one."""
    store = make_store(PatientStore, timeout_s=1.0)
    running.platform.set_faults(fake.Faults(down='hang'))
    writing = asyncio.ensure_future(
        store.put('config/head', b'{"write_id":"a"}', 0)
    )
    while not running.platform.counters['put']:
        await asyncio.sleep(0.01)
    running.platform.state.put('config/head', b'{"write_id":"b"}', 0)
    running.platform.set_faults(fake.Faults())
    refused = await asyncio.wait_for(writing, LIMIT_S)
    assert refused.code is errors.PLATFORM_CONFLICT
    assert refused.run is errors.RunState.UNKNOWN


async def test_a_write_that_takes_effect_after_the_read_back_counts(
    running, make_store
):
    """Guards against "not applied" for a write that was only slow."""
    value = b'{"write_id":"a"}'
    platform = running.platform

    class LateStore(PatientStore):
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
    """Guards against "not applied" where nobody can tell."""
    store = make_store(timeout_s=0.2)
    running.platform.set_faults(fake.Faults(down='hang'))
    refused = await store.put('config/head', b'{"write_id":"a"}', 0)
    assert refused.code is errors.PLATFORM_UNKNOWN
    assert refused.run is errors.RunState.UNKNOWN


async def test_a_refusing_platform_certainly_wrote_nothing(
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
    """Guards against a client that takes 429 for success."""
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
    """Guards against the use of another connection that is silent too."""
    store = make_store(timeout_s=LIMIT_S)
    await store.put('a/1', b'{}', 0)
    running.platform.set_faults(fake.Faults(slow_ms=50))
    await asyncio.gather(*(store.get('a/1') for _ in range(4)))
    running.platform.set_faults(fake.Faults())
    running.platform.silence_open_connections()
    store._timeout_s = 0.2
    refused = await store.get('a/1')
    assert refused.code is errors.PLATFORM_UNAVAILABLE
    store._timeout_s = LIMIT_S
    assert (await store.get('a/1')).value == b'{}'
    assert store.counters['reconnects'] == 1


async def test_a_watch_leaves_a_silent_connection(running, make_store):
    """Guards against a watch that learns of nothing any more."""
    # Without the limit of silence, the watch ends only after the test.
    store = make_store(silence_s=2, watch_wait_s=10 * LIMIT_S)
    watch = store.watch('config/', 0)
    waiting = asyncio.ensure_future(anext(watch))
    while not running.platform.counters['watch']:
        await asyncio.sleep(0.01)
    running.platform.silence_open_connections()
    running.platform.state.put('config/head', b'{}', 0)
    first = await asyncio.wait_for(waiting, LIMIT_S)
    assert isinstance(first, errors.Refusal)
    changes = first
    while isinstance(changes, errors.Refusal):
        changes = await asyncio.wait_for(anext(watch), LIMIT_S)
    assert [change.key for change in changes] == ['config/head']


async def test_a_watch_goes_on_after_an_outage(running, make_store):
    """Guards against changes that are missed during an outage."""
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


async def test_a_stopped_client_leaves_no_caller_waiting(running, make_store):
    """Guards against a process that does not end during an outage."""
    store = make_store(timeout_s=LIMIT_S)
    running.platform.set_faults(fake.Faults(down='hang'))
    reading = asyncio.ensure_future(store.get('config/head'))
    watching = asyncio.ensure_future(_all_of(store.watch('config/', 0)))
    while not running.platform.counters['watch']:
        await asyncio.sleep(0.01)
    await store.stop()
    assert (await reading).code is errors.PLATFORM_UNAVAILABLE
    (refusal,) = await watching
    assert refusal.code is errors.PLATFORM_UNAVAILABLE


async def _all_of(watch):
    return [item async for item in watch]


async def test_racing_operators_with_lost_answers_have_one_winner_each(
    running, make_store, bundle
):
    """Guards against an accepted sign-off that is not in force."""
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
    stores = [make_store(timeout_s=LIMIT_S) for _ in names]
    await asyncio.gather(*map(operate, names, stores))
    head = await signoff.read_head(stores[0])
    assert len(accepted) >= 10
    assert sorted(item[0] for item in accepted) == [
        *range(1, head.head.version + 1)
    ]
    for item in head.recent:
        assert (item['version'], item['write_id']) in accepted
    assert running.platform.counters['lost'] > 0


async def test_a_waiting_watch_survives_longer_than_the_silence_limit(
    running, make_store
):
    """Guards against watches that end although the platform is well."""
    store = make_store(silence_s=2, watch_wait_s=4)
    found = await store._watch_once('config/', 0)
    assert not isinstance(found, errors.Refusal)
    assert found.changes == []


async def test_a_watch_shows_life_while_other_keys_change(
    store, running, monkeypatch
):
    """Guards against a watch that looks dead because other keys change.

    The client gives a watch up that shows no sign of life for a few
    seconds, and every renewal of a lease had put the next sign off.
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
