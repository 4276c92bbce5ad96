"""Tests of whole calls through one or two nodes."""

from __future__ import annotations

import asyncio
import json

import pytest

from damaskpier.fakes import upstream as fake_upstream
from damaskpier.traffic import admin
from damaskpier.traffic import frontend
from damaskpier.traffic import headers
from tests import streams
from tests.test_traffic import conftest
from tools import bench


async def test_call_crosses_two_nodes(start_node, http):
    """A call reaches the upstream of another node with its ID and path."""
    first = await start_node('n1')
    second = await start_node('n2', service='ledger')
    response = await http(
        first.url + '/ledger/get?id=7', headers={headers.REQUEST_ID: 'r1'}
    )
    assert response.code == 200, response.body
    assert json.loads(response.body)['worker'] == 'n2'
    assert response.headers[headers.VERSION] == 'v1'
    assert response.headers[headers.RUN] == 'run'
    assert second.fake.runs == {'r1': 1}


async def test_unknown_path_is_refused_as_not_run(start_node, http):
    """A request that matches no route is answered with 404 and as not run."""
    node = await start_node('n1')
    response = await http(node.url + '/nothing')
    assert response.code == 404
    assert response.headers[headers.RESULT] == 'DP-3001'
    assert response.headers[headers.RUN] == 'not-run'


async def test_limits_refuse_with_an_answer(start_node, http):
    """A request above the size limits gets an answer with the reason.

    The HTTP library would only close the connection, and the caller could not
    know that the request did not run.
    """
    node = await start_node('n1', limits='max_body = 2048\nmax_headers = 1024')
    big = await http(
        node.url + '/ledger/retire', method='POST', body='x' * 9000
    )
    assert big.code == 413
    assert big.headers[headers.RESULT] == 'DP-3007'
    long = await http(node.url + '/ledger/get', headers={'X-Long': 'x' * 1500})
    assert long.code == 413
    assert long.headers[headers.RUN] == 'not-run'


@pytest.mark.parametrize(
    ('name', 'value', 'status', 'code'),
    [
        (headers.DEPTH, '8', 508, 'DP-3008'),
        (headers.DEPTH, 'deep', 400, 'DP-3011'),
        (headers.DEADLINE, '-5', 400, 'DP-3011'),
        (headers.DEADLINE, '0', 504, 'DP-3004'),
        (headers.REQUEST_ID, 'x' * 200, 400, 'DP-3011'),
    ],
)
async def test_bad_headers_are_refused(
    start_node, http, name, value, status, code
):
    """Invalid values of the headers of damaskpier are refused as not run."""
    node = await start_node('n1', service='ledger')
    response = await http(node.url + '/ledger/get', headers={name: value})
    assert (response.code, response.headers[headers.RESULT]) == (status, code)
    assert response.headers[headers.RUN] == 'not-run'
    assert node.fake.sequence == 0


async def test_requests_beyond_the_limit_are_shed(start_node, http):
    """A node refuses requests beyond its limit of concurrent requests.

    The upstream is frozen, so that requests would pile up in the node.
    """
    node = await start_node('n1', limits='max_requests = 3', service='ledger')
    node.fake.set_fault(fake_upstream.Fault(freeze=True))
    running = [
        asyncio.create_task(http(node.url + '/ledger/get')) for _ in range(3)
    ]
    await conftest.until(lambda: node.fake.running == 3)
    response = await http(node.url + '/ledger/get')
    assert response.headers[headers.RESULT] == 'DP-3003'
    node.fake.set_fault(fake_upstream.Fault())
    responses = await asyncio.gather(*running)
    assert [answer.code for answer in responses] == [200] * 3


async def test_calls_nest_up_to_the_depth_limit(start_node, http):
    """Nested calls end at the depth limit.

    The upstream calls its own route for each request, which would never end.
    """
    node = await start_node('n1', service='ledger', calls=('/ledger/get',))
    response = await http(node.url + '/ledger/get')
    assert response.code == 200
    assert node.fake.sequence == headers.MAX_DEPTH + 1


async def test_hop_by_hop_headers_are_not_forwarded(start_node, http):
    """Headers that belong to one connection are removed.

    Among them are those that the ``Connection`` header names.
    """
    node = await start_node('n1', service='ledger')
    response = await http(
        node.url + '/ledger/get',
        headers={'Connection': 'X-Hop', 'X-Hop': '1', 'X-End': '2'},
    )
    assert response.code == 200
    assert headers.end_to_end(
        [('Connection', 'X-Hop'), ('x-hop', '1'), ('X-End', '2')]
    ) == (('X-End', '2'),)


async def test_large_body_is_forwarded_whole(start_node, http):
    """A body that is larger than the buffers reaches the upstream whole."""
    first = await start_node('n1')
    await start_node('n2', service='ledger')
    response = await http(
        first.url + '/ledger/retire', method='POST', body=b'x' * 4_000_000
    )
    assert json.loads(response.body)['body_bytes'] == 4_000_000


async def test_admin_port_serves_status_and_metrics(start_node, http):
    """The admin port serves status and metrics; bad announcements get 400."""
    node = await start_node('n1', service='ledger')
    await http(node.url + '/ledger/get')
    admin = f'http://127.0.0.1:{node.app.service("admin").port}'
    status = json.loads((await http(admin + '/status')).body)
    assert status['upstream']['service'] == 'ledger'
    assert status['workers']['ledger'][0]['routable']
    text = (await http(admin + '/metrics')).body.decode()
    assert 'damaskpier_requests_total{code="answered"} 1\n' in text
    assert 'damaskpier_added_seconds{quantile="0.99"}' in text
    bad = await http(admin + '/announce', method='POST', body='{"port": 1}')
    assert bad.code == 400


@pytest.mark.parametrize(
    ('start', 'piece'),
    [
        (b'', b'A: b\r\n'),
        (b'Content-Length: 9999\r\n\r\n', b' '),
        (b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\n \r\n'),
    ],
    ids=['head', 'body', 'chunks'],
)
async def test_slow_request_does_not_hold_the_admin_port(
    start_node, monkeypatch, start, piece
):
    """A request that arrives slowly and without end ends its connection.

    Each one would hold a connection of the node for ever.
    """
    monkeypatch.setattr(admin, 'IDLE_TIMEOUT_S', 0.2)
    monkeypatch.setattr(admin, 'BODY_TIMEOUT_S', 0.2)
    node = await start_node('n1')
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', node.app.service('admin').port
    )
    try:
        writer.write(b'POST /announce HTTP/1.1\r\nHost: a\r\n' + start)
        closed = asyncio.ensure_future(reader.read())
        # Far more time than the limits, so that a slow machine is no failure.
        for _ in range(1000):
            if (await asyncio.wait((closed,), timeout=0.01))[0]:
                break
            writer.write(piece)
        assert closed.done()
    finally:
        closed.cancel()
        await streams.abort(writer)


async def test_connections_stay_below_the_announced_limit(start_node, http):
    """The node stays below the connection limit that the upstream announced.

    Requests that are not repeatable open a connection each. If the node used
    the limit up, the upstream would see a new connection before the end of the
    one that it replaces, and would close it.
    """
    node = await start_node('n1', service='ledger', slots=4, connections=12)
    for _ in range(40):
        response = await http(
            node.url + '/ledger/retire', method='POST', body='{}'
        )
        assert response.code == 200
    assert node.fake.connections <= 6
    assert node.fake.connections_refused == 0


@pytest.mark.parametrize('path', ['/ledger/archive/../get', '//ledger/get'])
async def test_path_reaches_the_upstream_unchanged(start_node, path):
    """The upstream gets the path that the route was matched with.

    libcurl would resolve dot segments, which leads to another path.
    """
    node = await start_node('n1', service='ledger')
    caller = bench.Caller(node.app.service('frontend').port)
    status = await caller.call('GET', path)
    caller.close()
    if path.startswith('//'):
        assert status == 404
    else:
        assert status == 200
        assert node.fake.paths[-1] == path


async def test_head_keeps_the_length(start_node, http, fleet):
    """The answer to a HEAD request states the length of the body.

    The node has no body to take the length from and would state 0.
    """
    fleet.snapshot = conftest.make_snapshot(
        routes=(('head', 'HEAD', '/ledger/get', True, 60000),)
    )
    node = await start_node('n1', service='ledger')
    response = await http(node.url + '/ledger/get', method='HEAD')
    assert response.code == 200
    assert int(response.headers['Content-Length']) > 0


async def test_slow_body_and_idle_connection_are_closed(
    start_node, monkeypatch
):
    """A request whose body does not arrive, and an idle connection, time out.

    Otherwise callers that send nothing would use up the limit of requests.
    """
    monkeypatch.setattr(frontend, 'BODY_TIMEOUT_S', 0.05)
    monkeypatch.setattr(frontend, 'IDLE_TIMEOUT_S', 0.05)
    node = await start_node('n1', service='ledger')
    front = node.app.service('frontend')
    head = (
        b'POST /ledger/retire HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
    )
    for sent in (head, b''):
        reader, writer = await asyncio.open_connection('127.0.0.1', front.port)
        writer.write(sent)
        async with asyncio.timeout(30):
            assert await reader.read() == b''
        writer.close()
    await conftest.until(lambda: front.running == 0)
    assert node.fake.sequence == 0


async def test_caller_that_disconnects_within_the_body_is_not_counted(
    start_node,
):
    """A request whose caller disconnects within the body no longer counts.

    It has been counted as running since its headers arrived. If it were never
    uncounted, the node would refuse requests and its stop would not end.
    """
    node = await start_node('n1', service='ledger')
    front = node.app.service('frontend')
    _, writer = await asyncio.open_connection('127.0.0.1', front.port)
    writer.write(
        b'POST /ledger/retire HTTP/1.1\r\nHost: x\r\n'
        b'Content-Length: 9\r\n\r\nx'
    )
    await conftest.until(lambda: front.running == 1)
    writer.close()
    await conftest.until(lambda: front.running == 0)
    assert node.fake.sequence == 0
