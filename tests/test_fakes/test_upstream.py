"""Tests of the fake upstream."""

from __future__ import annotations

import asyncio
import json

import pytest
from tornado import httpclient

from damaskpier.fakes import upstream
from damaskpier.traffic import headers
from tests import loop_time


@pytest.fixture
async def fake():
    """Return a running fake with two slots and three connections."""
    fake = upstream.FakeUpstream(
        upstream.Options('ledger', slots=2, connections=3, drain_s=20)
    )
    await fake.start()
    yield fake
    fake.set_fault(upstream.Fault())
    await fake.stop()


@pytest.fixture
async def fetch(fake):
    """Return a function that calls the fake upstream over HTTP."""
    client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=50)

    async def fetch(path, **kwargs):
        return await client.fetch(
            f'http://127.0.0.1:{fake.port}{path}', raise_error=False, **kwargs
        )

    yield fetch
    client.close()


async def until(condition):
    """Wait until a condition holds.

    :raises TimeoutError: if it does not hold in time
    """
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.002)


async def test_slow_announcement_does_not_delay_the_next_one(monkeypatch):
    """An announcement that takes an interval is followed by another at once.

    With a whole interval after one that times out, the node hears nothing
    for 3 s and removes the worker from routing.
    """
    interval_s = 3600.0
    monkeypatch.setattr(upstream, 'ANNOUNCE_INTERVAL_S', interval_s)
    time = loop_time.LoopTime(monkeypatch)
    fake = upstream.FakeUpstream(
        upstream.Options('ledger', node_admin='127.0.0.1:9')
    )
    announcements = []

    async def announce():
        if not announcements:
            await time.advance(interval_s)
        announcements.append(time.time())
        return False

    monkeypatch.setattr(fake, 'announce', announce)
    await fake.start()
    while not announcements:
        await asyncio.sleep(0)
    await until(lambda: len(announcements) > 1)
    await fake.stop()


async def test_answer_names_the_service_and_runs_are_counted(fake, fetch):
    response = await fetch('/any/path', headers={headers.REQUEST_ID: 'r1'})
    content = json.loads(response.body)
    assert content['service'] == 'ledger'
    assert content['request_id'] == 'r1'
    state = json.loads((await fetch('/_fake/state')).body)
    assert state['runs'] == {'r1': 1}


async def test_requests_above_the_slots_are_shed_and_drain_waits(fake, fetch):
    """A request above the slots is refused and never runs.

    Like a real upstream, the fake must not run more requests than it has
    slots, and a stop must wait for those that run.
    """
    await fetch(
        '/_fake/fault', method='POST', body='{"path": "*", "freeze": true}'
    )
    running = [asyncio.create_task(fetch('/a')) for _ in range(2)]
    await until(lambda: fake.running == 2)
    fake.options = fake.options._replace(connections=10)
    refused = await fetch('/b', headers={headers.REQUEST_ID: 'b'})
    assert refused.headers[headers.RUN] == 'not-run'
    assert fake.runs['b'] == 0
    stop = asyncio.create_task(fake.stop())
    await asyncio.sleep(0)
    assert not stop.done()
    fake.set_fault(upstream.Fault())
    assert [(await task).code for task in running] == [200, 200]
    await stop


async def test_faults_by_route(fake, fetch):
    fake.set_fault(upstream.Fault('/bad', failure_rate=1.0))
    fake.set_fault(upstream.Fault('/late', failure_rate=1.0, after_s=9e9))
    fake.set_fault(upstream.Fault('/busy', failure_rate=1.0, above=1))
    codes = [(await fetch(p)).code for p in ('/bad', '/late', '/busy', '/x')]
    assert codes == [500, 200, 200, 200]


async def test_health_and_load_can_be_overridden(fake, fetch):
    body = '{"lie_healthy": false, "lie_load": 7}'
    await fetch('/_fake/behaviour', method='POST', body=body)
    assert (await fetch('/healthz')).code == 503
    assert json.loads((await fetch('/load')).body)['in_use'] == 7
    bad = await fetch('/_fake/fault', method='POST', body='{"slow": 1}')
    assert bad.code == 400


async def test_connections_above_the_limit_are_closed(fake):
    """Connections above the limit are closed, as a real upstream does.

    Without the limit, tests would not notice a node that opens too many.
    """
    streams = [
        await asyncio.open_connection('127.0.0.1', fake.port) for _ in range(5)
    ]
    await until(lambda: fake.connections_refused == 2)
    assert fake.connections == 3
    for _, writer in streams:
        writer.close()
    await until(lambda: fake.connections == 0)
