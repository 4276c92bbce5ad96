"""Store that comes back from an older copy.

What the system wrote after the copy was made is lost, and the revisions after
it are assigned again. The operator and the workers write again what they
wrote, the system has to do the same.
"""

from __future__ import annotations

import asyncio

import pytest

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.fleet import rollouts
from damaskpier.fleet import store_restore
from damaskpier.fleet import store_watch
from damaskpier.platform import objects
from damaskpier.platform import store

from tests.test_platform import conftest

ORDER = {'service': 's1', 'targetVersion': 'v2', 'duration': '12s'}
EARLIER_ORDER = {**ORDER, 'targetVersion': 'v1'}
NODE = model.NodeAddress('n', '10.0.0.1', 7, 'r', 'd')


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    """Shorten the pauses."""
    monkeypatch.setattr(store_watch, 'INITIAL_BACKOFF_S', 0.01)
    monkeypatch.setattr(store_watch, 'MAX_BACKOFF_S', 0.02)
    monkeypatch.setattr(store_restore, 'REGISTER_SPREAD_S', 0.01)
    monkeypatch.setattr(rollouts, 'DECISION_STAGGER_S', 0.01)
    monkeypatch.setattr(rollouts, 'STATUS_STAGGER_S', 0.01)
    monkeypatch.setattr(rollouts, 'TICK_INTERVAL_S', 0.02)


@pytest.fixture
def fake(fake):
    """Return a store that states its generation."""
    fake.era = 1
    return fake


async def _next(found):
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        while isinstance(value := await anext(found), errors.Refusal):
            pass
        return value


async def _wait_until(condition):
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


def _move(fleet):
    return fleet.app.service('rollouts')._moves['s1']


def _status(fleet):
    return fleet.store.objects['rollouts']['s1']['status']


async def _notice_restore(fleet):
    """Make a call of which the response states the generation."""
    await fleet.app.service('store').register(NODE)


async def test_change_at_a_revision_assigned_again_is_seen(
    fake, client, operator_config
):
    """A watch goes on after the change, because its revision is not newer."""
    fake.put('config', 'main', operator_config('00000001'))
    restore = fake.copy()
    found = client.configurations()
    assert (await _next(found)).version == 1
    fake.put('config', 'main', operator_config('00000002'))
    assert (await _next(found)).version == 2
    restore()
    fake.put('config', 'main', operator_config('00000003'))
    assert (await _next(found)).version == 3


async def test_read_of_a_burst_compares_no_revisions_of_other_generations(
    fake, client, operator_config
):
    """A later version has a lower revision after the restore."""
    restore = fake.copy()
    for version in ('00000001', '00000002', '00000003'):
        fake.put('config', 'main', operator_config(version))
    reader = store._KindReader(client, 'config')
    before = await reader.read()
    restore()
    fake.put('config', 'main', operator_config('00000004'))
    found = await reader.read(changed_after=before.revision)
    assert [obj['spec']['version'] for obj in found.items] == ['00000004']


async def test_waiting_watch_ends_when_another_call_notices_the_restore(
    fake, client, operator_config
):
    """A watch that waits at a revision of the earlier generation hangs."""
    fake.put('config', 'main', operator_config('00000001'))
    restore = fake.copy()
    found = client.configurations()
    await _next(found)
    # Further revisions, which the operator's version does not reach again.
    for _ in range(5):
        fake.put('other', 'x', {})
    fake.put('config', 'main', operator_config('00000002'))
    assert (await _next(found)).version == 2
    later = asyncio.ensure_future(_next(found))
    calls = len(fake.calls)
    await _wait_until(lambda: len(fake.calls) > calls)
    restore()
    # The event of this write does not end the watch, whose revision is later.
    fake.put('config', 'main', operator_config('00000003'))
    await client.register(NODE)
    assert (await later).version == 3


async def test_list_across_a_restore_is_read_again(fake, client):
    """Pages of two generations are no state that the store ever had."""
    fake.page = 1
    fake.put('nodes', 'a', objects.spec_from_node(NODE))
    fake.put('nodes', 'b', objects.spec_from_node(NODE))
    restore = fake.copy()
    original = fake._list

    def list_and_restore(kind, after):
        page = original(kind, after)
        if after:
            restore()
        return page

    fake._list = list_and_restore
    found = await client.list_objects('nodes')
    assert isinstance(found, errors.Refusal)
    assert found.code is errors.PLATFORM_HISTORY_LOST


async def test_answer_from_before_the_restore_is_not_believed(fake, client):
    """A write that the earlier generation acknowledged may be lost."""
    fake.era = 2
    assert not isinstance(await client.register(NODE), errors.Refusal)
    fake.era = 1
    found = await client.register(NODE)
    assert found.code is errors.PLATFORM_UNKNOWN


@pytest.mark.parametrize('value', ['', 'one', '-1', '1.5', '9' * 400])
async def test_unreadable_generation_is_ignored(
    fake, client, monkeypatch, value
):
    monkeypatch.setattr(
        fake,
        '_with_era',
        lambda response: response._replace(headers=(('Store-Era', value),)),
    )
    assert not isinstance(await client.register(NODE), errors.Refusal)


async def test_older_configuration_of_the_copy_is_not_put_in_force(
    fleet, operator_config
):
    """Guards against a fleet that goes back to an older version."""
    restore = fleet.store.copy()
    fleet.store.put('config', 'main', operator_config('0000000d'))
    cfg = fleet.app.service('configuration')
    await _wait_until(lambda: cfg.version() == 13)
    restore()
    await _notice_restore(fleet)
    calls = len(fleet.store.calls)
    await _wait_until(lambda: len(fleet.store.calls) > calls + 2)
    assert cfg.version() == 13
    fleet.store.put('config', 'main', operator_config('0000000e'))
    await _wait_until(lambda: cfg.version() == 14)


async def test_departure_that_the_store_lost_is_written_again(fleet):
    """The acknowledgement binds also if all nodes are killed afterwards."""
    assert await fleet.report('ready', 1) == 200
    restore = fleet.store.copy()
    assert await fleet.report('left') == 200
    restore()
    assert not fleet.store.objects['nodes']['n']['status']
    await _notice_restore(fleet)
    await _wait_until(lambda: fleet.store.objects['nodes']['n']['status'])
    await fleet.restart()
    assert await fleet.report('ready', 2) == 200
    assert not fleet.uses_worker()


async def test_directory_entry_that_the_store_lost_is_written_again(fleet):
    """A node that starts later would not find this one."""
    restore_empty = fleet.store.copy()
    fleet.store.objects['nodes'].clear()
    restore = fleet.store.copy()
    restore_empty()
    fleet.store.era = 1
    restore()
    await fleet.app.service('store').directory()
    await _wait_until(lambda: 'n' in fleet.store.objects['nodes'])


async def test_verdict_that_the_store_lost_is_written_again(fleet):
    """The operator's old workers would wait for the verdict for ever."""
    fleet.store.put('rollouts', 's1', ORDER)
    await _wait_until(lambda: 's1' in fleet.app.service('rollouts')._moves)
    restore = fleet.store.copy()
    fleet.app.service('rollouts')._decide(
        _move(fleet), model.Phase.TAKEN_BACK, 'test'
    )
    await _wait_until(
        lambda: (_status(fleet) or {}).get('state') == 'rolled_back'
    )
    restore()
    await _notice_restore(fleet)
    await _wait_until(
        lambda: (_status(fleet) or {}).get('state') == 'rolled_back'
    )


async def test_order_that_is_created_again_keeps_its_verdict(fleet):
    """A bad version would get requests once more, as of a new order."""
    restore = fleet.store.copy()
    fleet.store.put('rollouts', 's1', ORDER)
    await _wait_until(lambda: 's1' in fleet.app.service('rollouts')._moves)
    fleet.app.service('rollouts')._decide(
        _move(fleet), model.Phase.TAKEN_BACK, 'test'
    )
    await _wait_until(
        lambda: (_status(fleet) or {}).get('state') == 'rolled_back'
    )
    first_id = _move(fleet).move_id
    restore()
    fleet.store.put('other', 'x', {})
    fleet.store.put('rollouts', 's1', ORDER)
    await _notice_restore(fleet)
    await _wait_until(lambda: _move(fleet).move_id != first_id)
    assert _move(fleet).phase is model.Phase.TAKEN_BACK
    await _wait_until(
        lambda: (_status(fleet) or {}).get('state') == 'rolled_back'
    )


async def test_earlier_order_of_the_copy_does_not_start_again(fleet):
    """The copy holds the order that the current one has replaced."""
    fleet.store.put('rollouts', 's1', EARLIER_ORDER)
    await _wait_until(lambda: 's1' in fleet.app.service('rollouts')._moves)
    restore = fleet.store.copy()
    fleet.store.put('rollouts', 's1', ORDER)
    await _wait_until(lambda: _move(fleet).order.version == 'v2')
    restore()
    await _notice_restore(fleet)
    calls = len(fleet.store.calls)
    await _wait_until(lambda: len(fleet.store.calls) > calls + 2)
    assert _move(fleet).order.version == 'v2'
    fleet.store.put('rollouts', 's1', ORDER)
    await _wait_until(
        lambda: (_status(fleet) or {}).get('targetVersion') == 'v2'
    )
    # Later, the operator may return to the earlier version.
    fleet.store.put('rollouts', 's1', EARLIER_ORDER)
    await _wait_until(lambda: _move(fleet).order.version == 'v1')


async def test_restore_of_a_store_that_counts_from_0_is_noticed(
    fake, client, monkeypatch
):
    """The first generation was taken for an unknown one."""
    restored = []
    client._app.events.connect('store-restored', lambda: restored.append(1))
    for era in (0, 1):
        monkeypatch.setattr(
            fake,
            '_with_era',
            lambda response, era=era: response._replace(
                headers=(('Store-Era', str(era)),)
            ),
        )
        await client.register(NODE)
    assert len(restored) == 1


async def test_change_between_two_pages_of_a_list_is_watched(fake, client):
    """The watch began after the last page, and the change was lost."""
    fake.page = 1
    fake.put('nodes', 'a', objects.spec_from_node(NODE))
    fake.put('nodes', 'b', objects.spec_from_node(NODE))
    original = fake._list

    def list_and_change(kind, after):
        page = original(kind, after)
        if not after:
            fake.put('nodes', 'a', {'changed': True})
        return page

    fake._list = list_and_change
    page = await client.list_objects('nodes')
    fake._list = original
    changed = await client.watch_objects('nodes', page.revision)
    assert [obj['spec'] for obj in changed.items] == [{'changed': True}]
