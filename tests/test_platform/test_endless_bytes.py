"""Bytes without end at every reader of a node.

The tests guard against a faulty worker, requester, node or store whose bytes
fill the memory of a node, which ends the requests of all its clients.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

import msgspec
import pytest

from damaskpier.fleet import model
from damaskpier.http1 import client as http_client
from damaskpier.http1 import messages
from damaskpier.http1 import server as http_server
from damaskpier.platform import endpoints
from damaskpier.platform import entry_lists
from damaskpier.platform import objects
from damaskpier.util import memory

from tests.test_platform import conftest

HOST = conftest.HOST
# Most bytes that are sent, which keeps a reader without limits from filling
# the memory of the machine.
FLOOD_BYTES = 4 * http_client.MAX_RESPONSE_BYTES
# Most bytes of one read.
MAX_READ_BYTES = 256 * 1024
BLOCK = b'x' * 65536
CHUNK = b'10000\r\n' + BLOCK + b'\r\n'
RESPONSES = [
    pytest.param(b'HTTP/1.1 200 OK\r\nName: ', BLOCK, id='head'),
    pytest.param(b'HTTP/1.1 200 OK\r\n\r\n', BLOCK, id='body'),
    pytest.param(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        CHUNK,
        id='chunks',
    ),
    pytest.param(b'', BLOCK, id='no-http'),
]


class Flood(NamedTuple):
    """Server that answers each request with bytes without end.

    ``cut`` is set when a client has closed its connection before all
    :data:`FLOOD_BYTES` were sent.
    """

    port: int
    requests: list[bytes]
    cut: asyncio.Event


async def _write_without_end(writer, repeated: bytes) -> bool:
    """Return whether the other side has closed the connection."""
    try:
        for _ in range(FLOOD_BYTES // len(repeated)):
            writer.write(repeated)
            await writer.drain()
    except ConnectionError:
        return True
    return False


@pytest.fixture
async def listen_flood():
    """Return a function that starts a :class:`Flood`."""
    servers = []

    async def listen(start: bytes, repeated: bytes) -> Flood:
        async def answer(reader, writer) -> None:
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError
            ):
                flood.requests.append(await reader.readuntil(b'\r\n\r\n'))
                writer.write(start)
                if await _write_without_end(writer, repeated):
                    flood.cut.set()
            writer.close()

        server = await asyncio.start_server(answer, HOST, 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        flood = Flood(port, [], asyncio.Event())
        return flood

    yield listen
    for server in servers:
        server.close()


@pytest.fixture
def peak(monkeypatch):
    """Return a list with the most bytes that were kept at one time."""
    largest = [0]
    add = memory.MemoryLimit.add

    def add_and_record(limit, receiver, size):
        largest[0] = max(largest[0], limit.used_bytes + size)
        add(limit, receiver, size)

    monkeypatch.setattr(memory.MemoryLimit, 'add', add_and_record)
    return largest


async def _wait_cut(flood: Flood) -> None:
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        await flood.cut.wait()


async def _is_alive(fleet: conftest.Fleet) -> bool:
    port = fleet.app.service('endpoints')._metrics_server.port
    now = asyncio.get_running_loop().time()
    response = await http_client.Pool(HOST, port).request(
        messages.encode_request(
            'GET', endpoints.METRICS_PATH, (('Host', HOST),), b''
        ),
        http_client.Options(now + conftest.TEST_TIMEOUT_S),
    )
    return response.status == 200


@pytest.mark.parametrize(('start', 'repeated'), RESPONSES)
async def test_health_check_and_answers_of_a_worker(
    fake, operator_config, listen_flood, peak, start, repeated
):
    """The worker that was called may be faulty in all that it sends."""
    fake.put('config', 'main', operator_config())
    flood = await listen_flood(start, repeated)
    fleet = conftest.Fleet([], fake)
    await fleet.start(flood.port)
    try:
        await fleet.wait_registered()
        await _wait_cut(flood)
        assert flood.requests[0].startswith(b'GET /healthz ')
        flood.cut.clear()
        assert await fleet.report('ready', address_port=flood.port) == 200
        worker = fleet.app.service('worker')
        assert worker.announcement is not None
        fields = ('Host', 'h.example'), ('X-Request-Id', 'r1')
        response = await http_client.Pool(
            HOST, fleet.app.service('ingress').server.port
        ).request(
            messages.encode_request('POST', '/a/1', fields, b''),
            http_client.Options(
                asyncio.get_running_loop().time() + conftest.TEST_TIMEOUT_S
            ),
        )
        assert response.status in (502, 504)
        await _wait_cut(flood)
        assert flood.requests[-1].startswith(b'POST /a/1 ')
        assert peak[0] <= http_client.MAX_RESPONSE_BYTES + MAX_READ_BYTES
        assert await _is_alive(fleet)
    finally:
        await fleet.stop()


@pytest.mark.parametrize(('start', 'repeated'), RESPONSES)
async def test_answers_of_another_node(
    fake, operator_config, listen_flood, peak, start, repeated
):
    """A starting node asks the others that the directory lists."""
    fake.put('config', 'main', operator_config())
    flood = await listen_flood(start, repeated)
    entry = model.NodeAddress('other', HOST, flood.port, 'r', 'd')
    fake.put(objects.NODE_KIND, 'other', objects.spec_from_node(entry))
    fleet = conftest.Fleet([], fake)
    await fleet.start()
    try:
        await fleet.wait_registered()
        await _wait_cut(flood)
        assert flood.requests[0].startswith(b'POST ')
        assert peak[0] <= 2 * http_client.MAX_RESPONSE_BYTES + MAX_READ_BYTES
        assert await _is_alive(fleet)
    finally:
        await fleet.stop()


@pytest.mark.parametrize(('start', 'repeated'), RESPONSES)
async def test_answers_of_the_store(listen_flood, peak, start, repeated):
    """A node reads several answers of the store at a time."""
    flood = await listen_flood(start, repeated)
    client = conftest.make_app(flood.port).service('store')
    for _ in range(2):
        found = await client.directory()
        assert isinstance(found.reason, str)
    await _wait_cut(flood)
    assert peak[0] <= http_client.MAX_RESPONSE_BYTES + MAX_READ_BYTES


async def test_short_values_of_the_store_are_not_decoded(fake, client):
    """Millions of values take far more memory than their bytes."""
    count = http_client.MAX_RESPONSE_BYTES // 3 - 100
    body = b'{"currentRev":9,"items":[' + b'{},' * count + b'{}]}'
    with pytest.raises(msgspec.DecodeError):
        entry_lists.decode_response(body)
    few = b'{"currentRev":9,"items":[' + b'{},' * 1000 + b'{}]}'
    assert len(entry_lists.decode_response(few)['items']) == 1001


REQUESTS = [
    pytest.param(b'GET /', BLOCK, 431, id='target'),
    pytest.param(b'GET / HTTP/1.1\r\nName: ', BLOCK, 431, id='head'),
    pytest.param(
        b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
        CHUNK,
        413,
        id='chunks',
    ),
    pytest.param(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999\r\n\r\n',
        BLOCK,
        413,
        id='length',
    ),
]
# Server of each port of a node, and the limit of a body there.
PORTS = {
    'control': (
        lambda app: app.service('endpoints')._heartbeat_server,
        endpoints.MAX_BODY_BYTES,
    ),
    'readiness': (
        lambda app: app.service('endpoints')._readiness_server,
        endpoints.MAX_BODY_BYTES,
    ),
    'metrics': (
        lambda app: app.service('endpoints')._metrics_server,
        endpoints.MAX_BODY_BYTES,
    ),
    'requesters': (
        lambda app: app.service('ingress').server,
        http_server.MAX_REQUEST_BYTES,
    ),
    'other nodes': (
        lambda app: app.service('peer-server').server,
        http_server.MAX_REQUEST_BYTES,
    ),
}


@pytest.mark.parametrize('name', PORTS)
@pytest.mark.parametrize(('start', 'repeated', 'status'), REQUESTS)
async def test_requests_without_end(
    fleet, peak, name, start, repeated, status
):
    """Each port of a node refuses them while they are small."""
    find_server, limit_bytes = PORTS[name]
    port = find_server(fleet.app).port
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(start)
    sending = asyncio.create_task(_write_without_end(writer, repeated))
    try:
        async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
            answer = await reader.readuntil(b'\r\n')
        refused = answer.startswith(b'HTTP/1.1 %d ' % status)
        # The limit of all requests may be reached first.
        assert refused or (
            name == 'other nodes' and answer.startswith(b'HTTP/1.1 503 ')
        )
    except ConnectionError:
        # A close with unread bytes resets the connection.
        assert status == 431
    finally:
        sending.cancel()
        writer.transport.abort()
    assert peak[0] <= limit_bytes + MAX_READ_BYTES
    assert await _is_alive(fleet)


@pytest.mark.parametrize('call', ['instances.heartbeat', 'instances.leave'])
async def test_long_report_of_a_worker_is_not_decoded(fleet, call):
    """Its values would take 25 times the memory of its bytes.

    A heartbeat of 24 MB took 530 MB, and ended the node.
    """
    count = http_server.MAX_REQUEST_BYTES // 3 - 100
    body = b'{"born":[' + b'[],' * count + b'[]]}'
    assert await fleet.call_control(call, body) == 413
