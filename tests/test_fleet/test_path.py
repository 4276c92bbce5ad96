"""Path of a request from the caller to a worker and back.

The tests guard against lost, changed or misrouted requests and answers.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.fleet import peers
from damaskpier.http1 import messages
from damaskpier.platform import headers
from damaskpier.traffic import messages as traffic_messages
from damaskpier.util import memory

from tests.test_fleet import conftest


async def test_request_reaches_a_worker_of_another_node(fleet):
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    response = await caller.request('/read/7?x=1', request_id='abc')
    assert (response.status, response.body) == (200, b'i-1')
    assert response.header(headers.SIGNATURE.lower()) == 's'
    ran = other.upstream.ran[0]
    assert (ran.method, ran.target) == ('GET', '/read/7?x=1')
    assert ran.header('host') == 'h.example'
    assert ran.header(headers.REQUEST_ID.lower()) == 'abc'
    assert ran.header(headers.CALLER.lower()) == 'pages'
    assert 0 < int(ran.header(headers.DEADLINE_MS.lower())) <= 10_000
    assert not [
        name for name, _ in ran.headers if name.startswith('Damaskpier')
    ]


async def test_caller_header_of_a_client_is_replaced(fleet):
    """A client must not be able to claim another service as its origin."""
    node = await fleet.add()
    await fleet.wait_converged()
    codec = headers.PlatformHeaderCodec()
    fields = ((headers.CALLER, 'forged'), (headers.DEADLINE_MS, '1'))
    metadata = conftest.worker.header_codec.UpstreamMetadata('i', 'reads', 2.0)
    sent = codec.encode_upstream_headers(fields, metadata)
    assert (headers.CALLER, 'reads') in sent
    assert (headers.CALLER, 'forged') not in sent
    assert (headers.DEADLINE_MS, '2000') in sent
    assert node.upstream.ran == []


async def test_path_without_route_is_not_found(fleet):
    node = await fleet.add()
    await fleet.wait_converged()
    response = await node.request('/unknown/1')
    assert response.status == 404


async def test_node_without_configuration_refuses_as_not_run(fleet):
    fleet.store.is_down = True
    node = await fleet.add()
    response = await node.request()
    assert response.status == 503
    assert float(response.header('retry-after')) > 0


async def test_retry_after_is_jittered_and_within_the_deadline(fleet):
    fleet.store.is_down = True
    node = await fleet.add()
    delays = [
        float((await node.request(deadline_ms=300)).header('retry-after'))
        for _ in range(20)
    ]
    assert len(set(delays)) > 1
    assert all(0.0 < delay <= 0.1 for delay in delays)


async def test_retry_after_of_a_recovering_node_is_not_too_short(fleet):
    """A short Retry-After uses up a caller's retries before the recovery.

    The workers are back only with the next heartbeat.
    """
    fleet.store.is_down = True
    node = await fleet.add()
    delays = [
        float((await node.request(deadline_ms=10_000)).header('retry-after'))
        for _ in range(5)
    ]
    assert all(0.9 < delay <= 3.0 for delay in delays)


@pytest.mark.parametrize(('lag_s', 'status'), [(0.5, 503), (0.3, 200)])
async def test_node_that_is_late_refuses_at_once(fleet, lag_s, status):
    """A node with more requests than processor time is late with all of them.

    The objective of the route is 1 s. A request that has used up much of it
    before it is read would be late, and delay the others.
    """
    node = await fleet.add()
    await fleet.wait_converged()
    ingress = node.app.service('ingress')
    ingress._lag.stop()
    ingress._lag.seconds = lag_s
    response = await node.request()
    assert response.status == status
    assert len(node.upstream.ran) == (status == 200)
    if status == 503:
        # The caller must not come back while the node is as late as now.
        delay_s = float(response.header(headers.RETRY_AFTER.lower()))
        assert delay_s >= lag_s


async def test_longest_prefix_of_the_host_wins(fleet):
    fleet.store.put(
        conftest.make_configuration(
            2,
            (
                conftest.make_route('a', prefix='/a/'),
                conftest.make_route('ab', 'others', prefix='/a/b/'),
            ),
        )
    )
    reads = await fleet.add('reads')
    others = await fleet.add('others')
    await fleet.wait_converged()
    assert (await reads.request('/a/x')).body == b'i-0'
    assert (await reads.request('/a/b/x')).body == b'i-1'
    assert (await reads.request('/a/bc')).body == b'i-0'
    assert len(others.upstream.ran) == 1


async def test_split_follows_the_weights(fleet):
    destinations = (
        model.WeightedService('reads', 90.0),
        model.WeightedService('others', 10.0),
    )
    fleet.store.put(
        conftest.make_configuration(
            2, (conftest.make_route('read', destinations=destinations),)
        )
    )
    reads = await fleet.add('reads')
    others = await fleet.add('others')
    await fleet.wait_converged()
    await asyncio.gather(*(reads.request() for _ in range(3)))
    for _ in range(297):
        await reads.request()
    share = len(others.upstream.ran) / 300
    assert 0.04 <= share <= 0.18
    assert len(reads.upstream.ran) + len(others.upstream.ran) == 300


async def test_failed_answer_of_a_worker_is_passed_on_unchanged(fleet):
    node = await fleet.add()
    await fleet.wait_converged()

    async def fail(request):
        return node.upstream.signed(500, b'broken')

    node.upstream.answer = fail
    response = await node.request('/write/1', 'POST', body=b'x')
    assert (response.status, response.body) == (500, b'broken')
    assert response.header(headers.SIGNATURE.lower()) == 's'
    assert len(node.upstream.ran) == 1


async def test_answer_without_signature_is_not_passed_on(fleet):
    node = await fleet.add()
    await fleet.wait_converged()

    async def unsigned(request):
        return messages.Response(200, (), b'not of the worker')

    node.upstream.answer = unsigned
    response = await node.request('/write/1', 'POST')
    assert response.status == 502
    assert b'not of the worker' not in response.body


@pytest.mark.parametrize('status', [429, 503])
async def test_request_that_a_worker_did_not_run_is_retried_elsewhere(
    fleet, status
):
    first = await fleet.add(domain='a')
    second = await fleet.add(domain='b')
    await fleet.wait_converged()

    async def shed(request):
        return messages.Response(status, ((headers.NOT_RUN, '1'),))

    first.upstream.answer = shed
    response = await first.request('/write/1', 'POST')
    assert response.body == b'i-1'
    assert len(second.upstream.ran) == 1


async def test_disconnected_client_cancels_the_run(fleet):
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    running = asyncio.Event()

    async def hang(request):
        running.set()
        await asyncio.Event().wait()

    other.upstream.answer = hang
    task = asyncio.create_task(caller.request())
    await running.wait()
    task.cancel()
    await conftest.wait_until(lambda: other.upstream.cancelled == 1)
    assert len(other.upstream.ran) == 1


async def test_request_ends_at_the_timeout_of_its_route(fleet):
    fleet.store.put(
        conftest.make_configuration(
            2, (conftest.make_route('read', timeout_s=0.1),)
        )
    )
    node = await fleet.add()
    await fleet.wait_converged()

    async def hang(request):
        await asyncio.Event().wait()

    node.upstream.answer = hang
    response = await node.request()
    assert response.status == 504


async def test_reply_tells_for_how_long_the_link_is_taken(fleet, monkeypatch):
    """Without it, callers choose nodes whose links are full."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    link = other.app.service('worker')._link
    monkeypatch.setattr(link, 'busy_s', lambda queued: 1.25)
    record = other.app.service('membership').local_record()
    reply = await caller.app.service('peers').call(
        record, _traffic_request(b'')
    )
    assert reply.load.link_busy_s == 1.25


def test_time_of_the_link_is_optional_between_builds():
    """Nodes of earlier builds neither send it nor accept a longer load."""
    reply = traffic_messages.Reply(
        traffic_messages.Answer(200, (), b'a'),
        traffic_messages.Load(6, 2, 1, 0.75),
    )
    response = peers._encode_reply(reply)
    assert peers._decode_reply(response) == reply
    assert response.header(peers.LOAD.lower()) == '2,1,6'
    older = response._replace(
        headers=tuple(
            field for field in response.headers if field[0] != peers.LINK_BUSY
        )
    )
    assert peers._decode_reply(older).load == traffic_messages.Load(6, 2, 1)


def test_pace_is_optional_between_builds():
    """Nodes of earlier builds neither send it nor accept a longer load."""
    load = traffic_messages.Load(
        6, 2, 1, pace=1.5, pace_age_s=0.04, mean_pace=1.25
    )
    reply = traffic_messages.Reply(
        traffic_messages.Answer(200, (), b'a'), load
    )
    response = peers._encode_reply(reply)
    assert peers._decode_reply(response) == reply
    assert response.header(peers.LOAD.lower()) == '2,1,6'


@pytest.mark.parametrize('started_ms', [None, 0, 1700000000123])
@pytest.mark.parametrize(
    'result',
    [
        traffic_messages.Answer(200, (), b'a'),
        errors.Refusal(errors.CALL_UPSTREAM_REFUSED, 'full'),
    ],
)
def test_reply_tells_that_the_worker_leaves(result, started_ms):
    """The callers' nodes must not depend on the record of its node."""
    reply = traffic_messages.Reply(
        result, traffic_messages.Load(6, 2, 1, wait_s=0.25), started_ms
    )
    assert peers._decode_reply(peers._encode_reply(reply)) == reply


async def test_refusal_by_the_server_of_a_node_is_no_answer(fleet):
    """A node without memory for a request refuses it before it runs.

    Its HTTP server answers by itself. That must not pass for an answer of the
    worker, which would count as a failure of the worker's version.
    """
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    server = other.app.service('peer-server').server
    server.memory = memory.MemoryLimit(10_000)
    server.memory.used_bytes = 9500
    record = other.app.service('membership').local_record()
    reply = await caller.app.service('peers').call(
        record, _traffic_request(b'x' * 1000)
    )
    assert isinstance(reply.result, errors.Refusal)
    assert reply.result.code is errors.CALL_OVERLOADED
    assert reply.result.run is errors.RunState.NOT_RUN
    assert not other.upstream.ran


def _traffic_request(body):
    return traffic_messages.Request(
        request_id='r2',
        route='reads',
        service='reads',
        version='',
        method='POST',
        target='/write/1',
        headers=(('Host', 'h.example'),),
        body=body,
        deadline=time.monotonic() + conftest.TEST_TIMEOUT_S,
        depth=0,
        repeatable=False,
    )


@pytest.mark.parametrize('status', [600, 999])
async def test_invalid_status_of_an_upstream_is_not_passed_on(fleet, status):
    """A caller got the status of an upstream in trouble as an answer."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()

    async def answer(request):
        return other.upstream.signed(status, b'x')

    other.upstream.answer = answer
    response = await caller.request('/write/1', method='POST')
    assert response.status == 502
    assert not response.header(headers.SIGNATURE.lower())
    assert len(other.upstream.ran) == 1
