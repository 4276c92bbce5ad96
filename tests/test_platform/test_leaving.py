"""Acknowledged leaving of a worker, across restarts of all nodes.

The tests guard against a worker that is used again after its node has
acknowledged that it leaves, because all processes that knew it were killed.
"""

from __future__ import annotations

import pytest

from damaskpier.fleet import model
from damaskpier.platform import endpoints
from damaskpier.platform import objects

from tests.test_platform import conftest


@pytest.mark.parametrize('notice', ['draining', 'left'])
async def test_late_report_after_all_nodes_restarted_is_ignored(fleet, notice):
    """The acknowledgement was kept in memory only (review/1)."""
    assert await fleet.report('ready', 1) == 200
    assert fleet.uses_worker()
    assert await fleet.report(notice, 3) == 200
    for _ in range(2):
        await fleet.restart()
        assert await fleet.report('ready', 2) == 200
        assert not fleet.uses_worker()


async def test_later_start_of_a_worker_that_left_is_used(fleet):
    """A worker may start again with its id while its node restarts."""
    assert await fleet.report('left') == 200
    await fleet.restart()
    assert await fleet.report('ready', 1, conftest.BORN_MS + 1) == 200
    assert fleet.uses_worker()


@pytest.mark.parametrize('notice', ['draining', 'left'])
async def test_leaving_is_not_acknowledged_before_it_is_stored(
    fleet, monkeypatch, notice
):
    """What only this process knows ends with it."""
    monkeypatch.setattr(endpoints, 'STORE_TIMEOUT_S', 0.05)
    assert await fleet.report('ready', 1) == 200
    fleet.store.refusals = [503] * 1000
    assert await fleet.report(notice, 2) == 503
    # A repeated report, and one that is stale by now, are not either.
    assert await fleet.report(notice, 2) == 503
    assert not fleet.uses_worker()
    fleet.store.refusals.clear()
    monkeypatch.setattr(endpoints, 'STORE_TIMEOUT_S', conftest.TEST_TIMEOUT_S)
    assert await fleet.report(notice, 2) == 200
    await fleet.restart()
    assert await fleet.report('ready', 1) == 200
    assert not fleet.uses_worker()


async def test_lost_answer_of_the_store_does_not_prevent_the_acknowledgement(
    fleet,
):
    """The store has the departure; the next write shows that."""
    fleet.store.lost = 1
    assert await fleet.report('left') == 200
    status = fleet.store.objects[objects.NODE_KIND]['n']['status']
    assert status == {
        'departures': [
            {'instance': conftest.INSTANCE, 'started_ms': conftest.BORN_MS}
        ]
    }


async def test_departure_is_written_once(fleet):
    """A draining worker repeats its report with each heartbeat."""
    for sequence in range(1, 5):
        assert await fleet.report('draining', sequence) == 200
    assert await fleet.report('left') == 200
    writes = [call for call in fleet.store.calls if call[0] == 'PUT']
    assert len(writes) == 1


async def test_departures_of_other_workers_are_kept(fleet):
    """A repeated notice of an earlier worker must not replace a later one."""
    departures = fleet.app.service('departures')
    for number in range(5):
        assert await departures.store(model.Departure(f'i-{number}', 5), 9.0)
    assert await fleet.report('left') == 200
    await fleet.restart()
    known = fleet.app.service('departures')._left
    assert list(known) == ['i-2', 'i-3', 'i-4', conftest.INSTANCE]
