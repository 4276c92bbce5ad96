"""Evacuations in the platform's store.

The tests guard against evacuations that a node does not hear of, and against
those that outlast their object.
"""

from __future__ import annotations

import asyncio

import pytest

from damaskpier import errors
from damaskpier.fleet import store_watch

from tests.test_platform import conftest


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    """Shorten the pauses."""
    monkeypatch.setattr(store_watch, 'INITIAL_BACKOFF_S', 0.01)
    monkeypatch.setattr(store_watch, 'MAX_BACKOFF_S', 0.02)


async def _next_state(found):
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        while True:
            state = await anext(found)
            if not isinstance(state, errors.Refusal):
                return state


async def test_evacuations_are_listed_and_watched(fake, client):
    fake.put('evacuations', 'a', {})
    found = client.evacuations()
    first = await _next_state(found)
    assert first.domains == {'a'}
    fake.put('config', 'main', {})
    fake.put('evacuations', 'b', {})
    second = await _next_state(found)
    assert second.domains == {'a', 'b'}
    fake.remove('evacuations', 'a')
    third = await _next_state(found)
    assert third.domains == {'b'}
    assert first[:2] < second[:2] < third[:2]
    # One list; the rest are watches, which wait.
    lists = [target for _, target in fake.calls if 'watch' not in target]
    assert lists == ['/objects/evacuations']
    assert len(fake.calls) <= 4


async def test_removal_while_the_store_is_away_is_seen(fake, client):
    """No event reports it afterwards if the history is lost."""
    fake.put('evacuations', 'a', {})
    found = client.evacuations()
    assert (await _next_state(found)).domains == {'a'}
    fake.refusals = [503] * 3
    fake.remove('evacuations', 'a')
    fake.first_kept = fake.revision + 1
    fake.put('evacuations', 'b', {})
    while (state := await _next_state(found)).domains != {'b'}:
        assert state.domains <= {'a', 'b'}


async def test_copy_of_the_store_is_read_anew(fake, client):
    """An older copy assigns the revisions again, and the watch goes on."""
    fake.era = 1
    fake.put('evacuations', 'a', {})
    fake.put('evacuations', 'b', {})
    found = client.evacuations()
    state = await _next_state(found)
    assert state.domains == {'a', 'b'}
    fake.revision -= 1
    del fake.objects['evacuations']['b']
    fake.era = 2
    fake.put('config', 'main', {})
    fake.put('evacuations', 'c', {})
    later = await _next_state(found)
    assert later.domains == {'a', 'c'}
    assert later[:2] > state[:2]
