"""Tests of failures on the request path, with several nodes in one process."""

from __future__ import annotations

import asyncio
import collections

import pytest

from damaskpier.bundle import model as bundle_model
from damaskpier.fakes import upstream as fake_upstream
from damaskpier.mesh import model as mesh_model
from damaskpier.traffic import frontend
from damaskpier.traffic import headers
from damaskpier.traffic import retry
from damaskpier.traffic import upstream as upstream_module
from tests import loop_time
from tests.test_traffic import conftest

NOT_RUN = 'not-run'


async def retire(http, node, request_id, **kwargs):
    """Send a request that must not be repeated."""
    return await http(
        node.url + '/ledger/retire',
        method='POST',
        body='{}',
        headers={headers.REQUEST_ID: request_id},
        **kwargs,
    )


async def test_request_with_a_lost_answer_runs_once(start_node, http):
    """A request that is not repeatable is not retried after a lost answer.

    The upstreams close the connection after they have run the request.
    """
    first = await start_node('n1')
    second = await start_node('n2', service='ledger')
    third = await start_node('n3', service='ledger')
    # Open connections that a later request could reuse.
    for number in range(4):
        await http(first.url + '/ledger/get')
    for node in (second, third):
        node.fake.set_fault(fake_upstream.Fault(close_after_run=True))
    ids = [f'r{number}' for number in range(10)]
    for request_id in ids:
        response = await retire(http, first, request_id)
        assert response.code == 502
        assert response.headers[headers.RUN] == 'unknown'
        assert response.headers[headers.RESULT] == 'DP-3005'
    runs = second.fake.runs + third.fake.runs
    assert [runs[request_id] for request_id in ids] == [1] * 10


async def test_not_run_is_true_under_shedding_draining_and_dead_peers(
    start_node, http, fleet
):
    """No request that is reported as not run has run.

    Upstreams that shed, drain or close the connection after the run, and a
    peer that can not be reached, fail requests at different stages.
    """
    first = await start_node('n1')
    workers = [
        await start_node(f'w{number}', service='ledger', slots=2, service_ms=3)
        for number in range(4)
    ]
    # Nothing listens at the address of this record, so connecting fails.
    fleet.records['dead'] = fleet.records['w0']._replace(
        node_id='dead', rpc_port=1
    )
    # With more announced slots than real ones, the upstream sheds requests.
    workers[1].fake.options = workers[1].fake.options._replace(slots=1)
    workers[2].fake.set_fault(
        fake_upstream.Fault(close_after_run=True, above=1)
    )

    async def drain():
        await conftest.until(lambda: workers[3].fake.sequence > 5)
        workers[3].fake.draining = True
        await workers[3].fake.announce()

    ids = [f'r{number}' for number in range(300)]
    responses = await asyncio.gather(
        *(retire(http, first, request_id) for request_id in ids), drain()
    )
    runs = sum((w.fake.runs for w in workers), start=collections.Counter())
    answered = refused = 0
    for request_id, response in zip(ids, responses[:-1], strict=True):
        run = response.headers[headers.RUN]
        assert runs[request_id] <= 1
        if run == NOT_RUN:
            refused += 1
            assert runs[request_id] == 0, response.body
        elif response.code == 200:
            answered += 1
            assert runs[request_id] == 1
    assert answered
    assert refused


async def test_draining_upstream_gets_no_work(start_node, http):
    """An upstream that has announced that it drains gets no new requests."""
    first = await start_node('n1')
    second = await start_node('n2', service='ledger')
    third = await start_node('n3', service='ledger')
    await asyncio.gather(*(http(first.url + '/ledger/get') for _ in range(20)))
    assert second.fake.sequence
    second.fake.draining = True
    await second.fake.announce()
    before = second.fake.sequence, second.fake.shed
    responses = await asyncio.gather(
        *(http(first.url + '/ledger/get') for _ in range(50))
    )
    assert {response.code for response in responses} == {200}
    assert (second.fake.sequence, second.fake.shed) == before
    assert third.fake.sequence >= 50


async def test_pause_of_a_node_keeps_its_worker(
    start_node, fleet, monkeypatch
):
    """A node that was paused does not withdraw its worker.

    The announcements that arrived during the pause are still to be read, and
    without the worker callers get 503 if it is the only one of its version.
    """
    time = loop_time.LoopTime(monkeypatch)
    node = await start_node('n1', service='ledger')
    published = []
    node.app.events.connect(
        'workers-changed',
        lambda _: published.append(fleet.records['n1'].service),
    )
    await time.advance(2 * upstream_module.ANNOUNCEMENT_TTL_S)
    await conftest.until(lambda: len(published) > 1)
    assert set(published) == {'ledger'}


async def test_silent_upstream_of_a_running_node_expires(
    start_node, fleet, monkeypatch
):
    """A worker whose upstream no longer announces itself is withdrawn.

    Otherwise requests are sent to an upstream that may have stopped.
    """
    time = loop_time.LoopTime(monkeypatch)
    node = await start_node('n1')
    node.app.service('upstream').apply_announcement(
        mesh_model.Announcement('ledger', 'v1', '127.0.0.1', 9)
    )
    began = time.time()
    while fleet.records['n1'].service:
        await time.advance(upstream_module.ANNOUNCEMENT_TTL_S / 30)
    assert time.time() - began >= upstream_module.ANNOUNCEMENT_TTL_S


async def test_queued_requests_of_a_draining_upstream_are_refused(
    start_node, http
):
    """Requests that wait for a slot are refused when the upstream drains.

    Otherwise they would start on the upstream after the drain has begun.
    """
    first = await start_node('n1')
    second = await start_node('n2', service='ledger', slots=1)
    second.fake.set_fault(fake_upstream.Fault(freeze=True))
    calls = [
        asyncio.create_task(retire(http, first, f'r{number}'))
        for number in range(4)
    ]
    admission = second.app.service('upstream').admission
    await conftest.until(lambda: admission.load.queued == 3)
    await conftest.until(lambda: second.fake.running == 1)
    second.fake.draining = True
    await second.fake.announce()
    second.fake.set_fault(fake_upstream.Fault())
    responses = await asyncio.gather(*calls)
    assert sorted(r.code for r in responses) == [200, 503, 503, 503]
    assert second.fake.runs.total() == 1


async def test_stop_of_a_node_interrupts_no_request(start_node, http):
    """A planned stop waits for running requests and admits no more."""
    first = await start_node('n1')
    second = await start_node('n2', service='ledger', slots=4)
    second.fake.set_fault(fake_upstream.Fault(freeze=True))
    calls = [
        asyncio.create_task(retire(http, first, f'r{number}'))
        for number in range(4)
    ]
    await conftest.until(lambda: second.fake.running == 4)
    stop = asyncio.create_task(second.app.stop())
    upstream = second.app.service('upstream')
    await conftest.until(lambda: upstream.admission.draining)
    late = await retire(http, first, 'late')
    assert late.headers[headers.RUN] == NOT_RUN
    second.fake.set_fault(fake_upstream.Fault())
    responses = await asyncio.gather(*calls)
    assert [response.code for response in responses] == [200] * 4
    await stop
    assert second.fake.runs['late'] == 0


async def test_stop_announces_before_it_refuses(start_node, http, fleet):
    """A stopping node announces that it drains before it refuses requests.

    Other nodes still send requests until they have received the record.
    """
    node = await start_node('n1', service='ledger')
    front = node.app.service('frontend')
    seen = []

    async def notice(seconds):
        if seen:
            assert seconds == frontend.CLOSE_DELAY_S
            return
        assert seconds == frontend.DRAIN_NOTICE_S
        seen.append(fleet.records['n1'].draining)
        health = await http(
            f'http://127.0.0.1:{node.app.service("admin").port}/healthz'
        )
        seen.append(health.code)
        # A node that has not received the record yet sends a request.
        fleet.records['n1'] = fleet.records['n1']._replace(draining=False)
        seen.append((await http(node.url + '/ledger/get')).code)

    front._sleep = notice
    await node.app.stop()
    assert seen == [True, 503, 200]


async def test_connection_opened_before_the_stop_is_answered(start_node):
    """A request on a connection opened before the stop gets an answer.

    The request arrives after the drain; if the connection were closed unread,
    the caller could not know that the request did not run.
    """
    node = await start_node('n1', service='ledger')
    front = node.app.service('frontend')
    reader, writer = await asyncio.open_connection('127.0.0.1', front.port)
    answers = []

    async def wait(seconds):
        if seconds == frontend.CLOSE_DELAY_S:
            writer.write(b'GET /ledger/get HTTP/1.1\r\nHost: n1\r\n\r\n')
            answers.append(await reader.readuntil(b'\r\n\r\n'))

    front._sleep = wait
    await node.app.stop()
    writer.close()
    assert b'503' in answers[0].splitlines()[0]
    assert b'Damaskpier-Run: not-run' in answers[0]


async def test_cancellation_reaches_the_upstream(start_node, http):
    """A caller that disconnects cancels its request on the upstream.

    Otherwise the upstream would work for nobody, and the slot of the worker
    would stay in use.
    """
    first = await start_node('n1')
    second = await start_node('n2', service='ledger', slots=2)
    second.fake.set_fault(fake_upstream.Fault(freeze=True))
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', first.app.service('frontend').port
    )
    writer.write(
        b'GET /ledger/get HTTP/1.1\r\nHost: x\r\n'
        b'Damaskpier-Request-Id: gone\r\n'
        b'Damaskpier-Deadline-Ms: 600000\r\n\r\n'
    )
    await conftest.until(lambda: second.fake.running == 1)
    writer.close()
    await conftest.until(lambda: second.fake.cancelled['gone'] == 1)
    assert second.fake.running == 0
    await conftest.until(
        lambda: second.app.service('upstream').admission.in_use == 0
    )
    assert first.app.service('frontend').running == 0


async def test_deadline_ends_a_request_of_a_frozen_upstream(start_node, http):
    """The deadline ends a request that a frozen upstream does not answer."""
    first = await start_node('n1')
    second = await start_node('n2', service='ledger', slots=2)
    second.fake.set_fault(fake_upstream.Fault(freeze=True))
    response = await http(
        first.url + '/ledger/get', headers={headers.DEADLINE: '150'}
    )
    assert response.code == 504
    assert response.headers[headers.RUN] == 'unknown'
    await conftest.until(lambda: second.fake.running == 0)


async def test_lost_workers_cause_no_retry_storm(start_node, http, fleet):
    """The retry budget limits the load on a service whose workers all fail."""
    first = await start_node('n1')
    second = await start_node('n2', service='ledger')
    second.fake.set_fault(fake_upstream.Fault(close_after_run=True))
    fleet.records['dead'] = fleet.records['n2']._replace(
        node_id='dead', rpc_port=1
    )
    calls = 200
    responses = await asyncio.gather(
        *(http(first.url + '/ledger/get') for _ in range(calls))
    )
    assert {response.code for response in responses} <= {502, 503}
    retries = first.app.service('metrics').counter_value('retries')
    assert 0 < retries <= retry.MAX_RETRY_RATIO * calls
    assert second.fake.sequence <= calls * (1 + retry.MAX_RETRY_RATIO)


async def test_make_before_break_uses_the_other_version(
    start_node, http, fleet
):
    """A request goes to the old version if the new one has no workers yet.

    Its outcome is not recorded as a sample, because it would count for a
    version that was not chosen.
    """
    first = await start_node('n1')
    await start_node('n2', service='ledger')
    move = bundle_model.Move('m1', 'ledger', 'v1', 'v2', 0.0, 1.0)
    fleet.snapshot = conftest.make_snapshot(2, (move,))
    fleet.picked = 'v2'
    response = await http(first.url + '/ledger/get')
    assert response.headers[headers.VERSION] == 'v1'
    assert fleet.samples == []


@pytest.mark.parametrize(
    ('versions', 'picked', 'share'),
    [
        (('v1',), 'v1', 0.0),
        (('v2',), 'v2', 1.0),
        (('v1', 'v2'), 'v1', 0.25),
        (('v1', 'v2'), 'v2', 0.25),
    ],
)
async def test_share_counts_only_where_there_was_a_choice(
    start_node, http, fleet, versions, picked, share
):
    """Samples have a share of 0 or 1 where only one version has workers.

    Otherwise outcomes of the only version would count as if the other one
    could have had them.
    """
    first = await start_node('n1')
    for number, version in enumerate(versions, 2):
        await start_node(f'n{number}', service='ledger', version=version)
    move = bundle_model.Move('m1', 'ledger', 'v1', 'v2', 0.0, 1.0)
    fleet.snapshot = conftest.make_snapshot(2, (move,))
    fleet.picked = picked
    fleet.shares['get'] = 0.25
    await http(first.url + '/ledger/get')
    assert [sample.share for sample in fleet.samples] == [share]


@pytest.mark.parametrize(('share', 'code'), [(0.1, 200), (0.0, 503)])
async def test_taken_back_version_gets_no_traffic(
    start_node, http, fleet, share, code
):
    """Requests do not fall back to a version that was taken back.

    The version has a share of 0, but is the only one that has workers.
    """
    first = await start_node('n1')
    await start_node('n2', service='ledger', version='v2')
    move = bundle_model.Move('m1', 'ledger', 'v1', 'v2', 0.0, 1.0)
    fleet.snapshot = conftest.make_snapshot(2, (move,))
    fleet.shares['get'] = share
    response = await http(first.url + '/ledger/get')
    assert response.code == code


async def test_new_version_outcomes_are_recorded(start_node, http, fleet):
    """Failed answers and lost answers of the new version are recorded.

    Evidence without them would show a failing version as good.
    """
    first = await start_node('n1')
    second = await start_node('n2', service='ledger', version='v2')
    move = bundle_model.Move('m1', 'ledger', 'v1', 'v2', 0.0, 1.0)
    fleet.snapshot = conftest.make_snapshot(2, (move,))
    fleet.picked = 'v2'
    await http(first.url + '/ledger/get')
    second.fake.set_fault(fake_upstream.Fault(failure_rate=1.0))
    await http(first.url + '/ledger/get')
    second.fake.set_fault(fake_upstream.Fault(close_after_run=True))
    await retire(http, first, 'r1')
    assert [(s.route, s.is_new, s.failed) for s in fleet.samples] == [
        ('get', True, False),
        ('get', True, True),
        ('retire', True, True),
    ]
