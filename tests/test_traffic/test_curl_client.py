"""Tests of the HTTP client of the local upstream."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from damaskpier.traffic import curl_client
from damaskpier.util import limited_curl
from damaskpier.util import memory
from tests import streams
from tests.test_traffic import conftest

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
MAX_HEADER_LINES = limited_curl.MAX_HEADER_LINES
# Most bytes that a server without end writes.
FLOOD_BYTES = 24 * 1024 * 1024


class Server:
    """Server that can close a connection in place of an answer.

    It closes after it has run the second request of a connection if
    ``close_later`` is set, and already after the first one if ``close_first``
    is.
    """

    def __init__(self):
        self.runs = 0
        self.connections = 0
        self.close_later = True
        self.close_first = False

    async def serve(self, reader, writer):
        self.connections += 1
        number = 0
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                number += 1
                self.runs += 1
                if self.close_first or (number > 1 and self.close_later):
                    break
                writer.write(OK)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


@pytest.fixture
async def server():
    """Return a running server."""
    server = Server()
    async with streams.serve(server.serve, '127.0.0.1') as port:
        server.url = f'http://127.0.0.1:{port}/'
        yield server


@pytest.fixture
async def listen():
    """Return a function that starts a server and returns its URL."""
    async with contextlib.AsyncExitStack() as servers:

        async def start(serve):
            port = await servers.enter_async_context(
                streams.serve(serve, '127.0.0.1')
            )
            return f'http://127.0.0.1:{port}/'

        yield start


@pytest.fixture
async def client():
    """Return a client with two connections."""
    client = curl_client.UpstreamClient(max_clients=2, force_instance=True)
    yield client
    client.close()


def request(url, *, fresh):
    """Return a request that must not run twice."""
    return curl_client.make_request(url, 'POST', (), b'x', 600, fresh=fresh)


async def test_reused_connection_runs_a_request_twice(server, client):
    """libcurl resends a request when a reused connection breaks.

    The behaviour is not wanted. It is the reason why requests that must not
    run twice get a new connection each.
    """
    await client.run(request(server.url, fresh=False))
    outcome = await client.run(request(server.url, fresh=False))
    assert outcome.code == 200
    assert server.runs == 3


async def test_fresh_connection_runs_a_request_once(server, client):
    """A request on a new connection is not resent by libcurl.

    The server closes the connection after it has run the request.
    """
    await client.run(request(server.url, fresh=False))
    server.close_first = True
    outcome = await client.run(request(server.url, fresh=True))
    assert outcome.sent
    assert server.runs == 2


async def test_refused_connection_is_not_sent(client):
    """A refused connection is reported as not sent.

    Nothing can have run, so the request may be retried even if it is not
    repeatable.
    """
    listener = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    listener.close()
    await listener.wait_closed()
    outcome = await client.run(
        request(f'http://127.0.0.1:{port}/', fresh=True)
    )
    assert isinstance(outcome, curl_client.Failure)
    assert not outcome.sent


async def test_timeout_after_sending_is_sent(client):
    """A timeout after the request was sent is reported as sent.

    The upstream may still run the request, so it must not count as not run.
    """

    async def serve(reader, writer):
        await asyncio.Event().wait()

    async with streams.serve(serve, '127.0.0.1') as port:
        outcome = await client.run(
            curl_client.make_request(
                f'http://127.0.0.1:{port}/', 'POST', (), b'x', 0.05, fresh=True
            )
        )
    assert outcome.sent
    assert outcome.timed_out


async def test_connections_stay_within_the_limit(server, client):
    """Concurrent requests open no more connections than the limit."""
    server.close_later = False
    outcomes = await asyncio.gather(
        *(client.run(request(server.url, fresh=False)) for _ in range(20))
    )
    assert {outcome.code for outcome in outcomes} == {200}
    assert server.connections <= 2


async def test_cancelled_transfer_closes_its_connection(client):
    """Cancelling a request closes its connection.

    If the connection were reused, the late answer could be taken for that of
    the next request.
    """
    closed = asyncio.Event()
    arrived = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        arrived.set()
        await reader.read()
        closed.set()
        writer.close()

    async with streams.serve(serve, '127.0.0.1') as port:
        task = asyncio.create_task(
            client.run(request(f'http://127.0.0.1:{port}/', fresh=False))
        )
        await arrived.wait()
        task.cancel()
        async with asyncio.timeout(30):
            await closed.wait()
        await conftest.until(task.cancelled)


async def test_too_large_answer_is_refused(client):
    """A response above the size limit ends the transfer.

    Otherwise a single response could use up the memory of the node.
    """

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n' + b'x' * (1 << 23))
        writer.close()

    async with streams.serve(serve, '127.0.0.1') as port:
        outcome = await client.run(
            request(f'http://127.0.0.1:{port}/', fresh=True)
        )
    assert outcome.too_large


async def test_stated_length_above_the_limit_fails_before_the_body(
    client, listen
):
    """A body whose stated length is above the limit is not read."""
    outcome = await _fetch(
        client,
        listen,
        'GET',
        b'HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n',
    )
    assert isinstance(outcome, curl_client.Failure)
    assert outcome.too_large


@pytest.mark.parametrize(
    'line',
    [b'Bad name: x', b'A: \x01', b': x', b' A: x'],
    ids=['name', 'value', 'no-name', 'folded'],
)
async def test_malformed_header_is_not_a_too_large_answer(
    client, listen, line
):
    """A response that is malformed does not count as one that is too large.

    Callers would be told that the request has run, and get status 413, which
    they do not send again, although nothing is known.
    """
    outcome = await _fetch(
        client,
        listen,
        'GET',
        b'HTTP/1.1 200 OK\r\n' + line + b'\r\nContent-Length: 2\r\n\r\nok',
    )
    assert isinstance(outcome, curl_client.Failure)
    assert outcome.sent
    assert not outcome.too_large
    assert not outcome.timed_out


@pytest.mark.parametrize(
    ('method', 'status'),
    [('HEAD', 200), ('GET', 304)],
    ids=['head', 'not-modified'],
)
async def test_stated_length_of_a_missing_body_is_no_failure(
    client, listen, method, status
):
    """The length of a body that is not sent may be above the limit."""
    head = f'HTTP/1.1 {status} X\r\nContent-Length: 99999999\r\n\r\n'
    outcome = await _fetch(client, listen, method, head.encode())
    assert outcome.code == status


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'', b'x'),
        (b'', b'\r\n'),
        (b'HTTP/1.1 200 ', b'x'),
        (b'HTTP/1.1 200 OK\r\nNa', b'm'),
        (b'HTTP/1.1 200 OK\r\nA: ', b'x'),
        (b'HTTP/1.1 200 OK\r\n', b'A: b\r\n'),
        (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        (CHUNKED, b'0'),
        (CHUNKED, b'10000\r\n' + b'x' * 65536 + b'\r\n'),
        (CHUNKED + b'1\r\nx\r\n0\r\n', b'A: b\r\n'),
        (CHUNKED + b'1\r\nx\r\n0\r\nA: ', b'x'),
        (b'HTTP/1.1 200 OK\r\n\r\n', b'x'),
    ],
    ids=[
        'no-http',
        'empty-lines',
        'status-line',
        'header-name',
        'header-line',
        'headers',
        'interim-responses',
        'chunk-size',
        'chunks',
        'trailers',
        'trailer-line',
        'ended-by-close',
    ],
)
async def test_response_without_end_closes_its_connection(
    client, listen, start, repeated
):
    """A response without end fails, and its connection is closed.

    The client would keep the bytes until the node runs out of memory.
    """
    cut = asyncio.Event()
    block = repeated * (1 + 65536 // len(repeated))

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(start)
        try:
            for _ in range(FLOOD_BYTES // len(block)):
                writer.write(block)
                await writer.drain()
        except ConnectionError:
            cut.set()

    url = await listen(serve)
    outcome = await client.run(request(url, fresh=True))
    assert isinstance(outcome, curl_client.Failure)
    assert outcome.sent
    assert not outcome.timed_out
    async with asyncio.timeout(30):
        await cut.wait()


@pytest.mark.parametrize('repeated', [b'x', OK], ids=['bytes', 'responses'])
async def test_bytes_without_end_behind_a_response_close_its_connection(
    client, listen, repeated
):
    """The response is whole, and no later request gets what follows it."""
    cut = asyncio.Event()
    block = repeated * (1 + 65536 // len(repeated))

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        # One write, so that the client finds these bytes with the response.
        writer.write(OK + block)
        try:
            for _ in range(FLOOD_BYTES // len(block)):
                writer.write(block)
                await writer.drain()
        except ConnectionError:
            cut.set()

    url = await listen(serve)
    outcome = await client.run(request(url, fresh=True))
    assert outcome.body == b'ok'
    async with asyncio.timeout(30):
        await cut.wait()


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'HTTP/1.1 200 OK\r\n', b'A: b\r\n'),
        (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        (CHUNKED, b'1\r\nx\r\n'),
        (CHUNKED + b'1;', b'x'),
        (b'HTTP/1.1 200 OK\r\n\r\n', b'x'),
    ],
    ids=['headers', 'interim', 'chunks', 'chunk-extension', 'close'],
)
async def test_slow_bytes_do_not_extend_the_deadline(
    client, listen, start, repeated
):
    """A response that arrives slowly and without end fails at the deadline.

    It would hold a connection and a slot for ever.
    """
    cut = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(start)
        with contextlib.suppress(ConnectionError):
            while not reader.at_eof():
                writer.write(repeated)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(), 0.01)
        cut.set()

    url = await listen(serve)
    outcome = await client.run(
        curl_client.make_request(url, 'GET', (), b'', 0.2, fresh=True)
    )
    assert isinstance(outcome, curl_client.Failure)
    assert outcome.sent
    assert outcome.timed_out
    async with asyncio.timeout(30):
        await cut.wait()


async def test_responses_of_all_transfers_share_a_limit(listen):
    """The responses that arrive at one time share a memory limit.

    Many responses that are each within their limit would still use up the
    memory of the node. The largest one fails first, so that others complete.
    """
    client = curl_client.UpstreamClient(
        max_clients=4,
        memory_limit=memory.MemoryLimit(1_000_000),
        force_instance=True,
    )
    small = asyncio.Event()

    async def serve(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n')
        if b'/large' in head:
            writer.write(b'x' * 800_000)
        else:
            writer.write(b'y' * 300_000)
            await small.wait()
            writer.write(b'y' * 600_000)
        await reader.read()

    url = await listen(serve)
    large = asyncio.create_task(client.run(request(url + 'large', fresh=True)))
    await conftest.until(lambda: client.memory.used_bytes == 800_000)
    other = asyncio.create_task(client.run(request(url, fresh=True)))
    async with asyncio.timeout(30):
        failure = await large
    assert isinstance(failure, curl_client.Failure)
    assert failure.sent
    assert not failure.too_large
    assert 'memory' in failure.reason
    small.set()
    response = await other
    assert response.body == b'y' * 900_000
    assert not client.memory.used_bytes
    client.close()


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'HTTP/1.1 200 OK\r\n', b'A: b\r\n'),
        (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        (CHUNKED + b'1\r\nx\r\n0\r\n', b'A: b\r\n'),
    ],
    ids=['headers', 'interim-responses', 'trailers'],
)
async def test_header_lines_are_limited(
    client, listen, monkeypatch, start, repeated
):
    """Header lines without end do not hold the event loop.

    libcurl passes on thousands of lines in one go, and other requests of the
    node wait meanwhile.
    """
    lines = 0
    add_line = client._curl_header_callback

    def count(*args):
        nonlocal lines
        lines += 1
        add_line(*args)

    monkeypatch.setattr(client, '_curl_header_callback', count)
    outcome = await _fetch(
        client, listen, 'GET', start + 8 * MAX_HEADER_LINES * repeated
    )
    assert isinstance(outcome, curl_client.Failure)
    assert outcome.sent
    assert not outcome.timed_out
    assert not outcome.too_large
    assert lines == MAX_HEADER_LINES


async def test_cancelled_transfer_is_not_counted(client, listen):
    """The body of a cancelled transfer no longer counts."""
    client.memory = memory.MemoryLimit(1_000_000)
    task = asyncio.create_task(
        _fetch(
            client,
            listen,
            'GET',
            b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf',
        )
    )
    await conftest.until(lambda: client.memory.used_bytes == 4)
    task.cancel()
    await conftest.until(lambda: not client.memory.used_bytes)


async def _fetch(client, listen, method, answer):
    """Send a request and return the outcome for an answer without end."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await reader.read()

    url = await listen(serve)
    return await client.run(
        curl_client.make_request(url, method, (), b'', 5, fresh=True)
    )


STAMPED = (
    b'HTTP/1.1 200 OK\r\nX-Server: s\r\n'
    b'Content-Length: 2\r\nX-Last: l\r\n\r\nok'
)
HEAD_END = STAMPED.index(b'\r\n\r\n') + 4


@pytest.mark.parametrize('length', range(HEAD_END))
async def test_head_that_is_cut_off_is_a_failure(client, listen, length):
    """libcurl takes it for a complete answer without a body.

    Callers got 200 with an empty body (issue 20).
    """

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(STAMPED[:length])
        writer.close()

    url = await listen(serve)
    outcome = await client.run(
        curl_client.make_request(url, 'GET', (), b'', 5.0, fresh=True)
    )
    assert isinstance(outcome, curl_client.Failure)
    assert outcome.sent


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\n\r\nok',
        b'HTTP/1.1 102 Processing\r\n\r\n' + OK,
        CHUNKED + b'2\r\nok\r\n0\r\nX-A: b\r\n\r\n',
    ],
    ids=['no-length', 'interim', 'trailers'],
)
async def test_head_that_has_ended_is_no_failure(client, listen, answer):
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        writer.close()

    url = await listen(serve)
    response = await client.run(
        curl_client.make_request(url, 'GET', (), b'', 5.0, fresh=True)
    )
    assert response.body == b'ok'


async def test_second_copy_of_an_answer_is_not_that_to_the_next_request(
    listen, client
):
    """An upstream writes an answer again when its connection is in use again.

    The next caller must not get it, and gets its own answer or a failure.
    """

    def answer(identifier):
        return (
            b'HTTP/1.1 200 OK\r\nDamaskpier-Request-Id: %s\r\n'
            b'Content-Length: %d\r\n\r\n%s'
        ) % (identifier, len(identifier), identifier)

    async def serve(reader, writer):
        earlier = b''
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            fields = head.lower().split(b'damaskpier-request-id: ')
            identifier = fields[1].split(b'\r\n')[0]
            writer.write(earlier + answer(identifier))
            earlier = answer(identifier)

    url = await listen(serve)
    bodies = []
    for number in range(6):
        identifier = f'r{number}'
        outcome = await client.run(
            curl_client.make_request(
                url,
                'GET',
                (('Damaskpier-Request-Id', identifier),),
                b'',
                5.0,
                fresh=False,
            )
        )
        if isinstance(outcome, curl_client.Failure):
            assert outcome.sent
        else:
            assert outcome.body == identifier.encode()
            bodies.append(outcome.body)
    assert bodies


@pytest.mark.parametrize('status', [0, 99, 600, 999])
async def test_answer_with_an_invalid_status_is_a_failure(
    listen, client, status
):
    """Guards against a faulty status that a caller gets as an answer."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 %03d X\r\nContent-Length: 2\r\n\r\nok' % status
        )
        await reader.read()

    req = request(await listen(serve), fresh=True)
    req.request_timeout = 2.0
    outcome = await client.run(req)
    assert isinstance(outcome, curl_client.Failure)
    assert outcome.sent


async def test_answer_599_of_an_upstream_has_run(listen, client):
    """Tornado uses this status for requests that were not sent."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nok')
        await reader.read()

    outcome = await client.run(request(await listen(serve), fresh=True))
    assert outcome.code == 599
    assert outcome.body == b'ok'
