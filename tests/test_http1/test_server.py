"""Tests that the server answers each client with responses to its requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import socket

import pytest

from damaskpier.http1 import byte_counter
from damaskpier.http1 import messages
from damaskpier.http1 import pacing
from damaskpier.http1 import server
from damaskpier.http1 import unsent
from damaskpier.util import memory

from tests.test_http1 import conftest

GET_A = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
GET_B = b'GET /b HTTP/1.1\r\nHost: h\r\n\r\n'
CHUNKED = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
# Most bytes that asyncio passes to a connection at a time.
MAX_READ_BYTES = 256 * 1024
# Most bytes that a client without end sends.
FLOOD_BYTES = 24 * 1024 * 1024


async def _echo(request: messages.Request) -> messages.Response:
    return messages.Response(200, (), request.target.encode() + request.body)


async def test_pipelined_requests_run_concurrently_and_answer_in_order(
    serve, connect
):
    """Pipelined requests run concurrently; the responses keep their order.

    The second request ends first here; its response must not be taken for that
    of the first one.
    """
    both = asyncio.Barrier(2)
    second_ran = asyncio.Event()

    async def handler(request):
        await both.wait()
        if request.target == '/a':
            await second_ran.wait()
        second_ran.set()
        return messages.Response(200, (), request.target.encode())

    started = await serve(handler)
    raw = await connect(started.port)
    raw.send(GET_A + GET_B)
    assert (await raw.read_until(b'/a')).startswith(b'HTTP/1.1 200')
    assert (await raw.read_until(b'/b')).startswith(b'HTTP/1.1 200')


async def test_stop_waits_until_the_responses_are_sent(serve, connect):
    """The process ends after the stop, and unsent data is lost with it."""
    # More than the socket buffers hold.
    body = bytes(64 * 1024 * 1024)

    async def handler(request):
        return messages.Response(200, (), body)

    started = await serve(
        handler, unsent_limit=unsent.UnsentLimit(2 * len(body))
    )
    raw = await connect(started.port)
    raw.send(GET_A)
    await raw.read_until(b'\r\n\r\n')
    stopping = asyncio.create_task(started.stop(20.0))
    # Runs everything that does not wait for the client.
    for _ in range(100):
        await asyncio.sleep(0)
    assert not started.running
    assert not stopping.done()
    assert await raw.read_to_end() == body
    assert await stopping


async def test_client_that_closes_cancels_its_request(serve, connect):
    """A client that closes its connection cancels its request."""
    running = asyncio.Event()
    cancelled = asyncio.Event()

    async def handler(request):
        running.set()
        try:
            await asyncio.Event().wait()
        finally:
            cancelled.set()

    started = await serve(handler)
    raw = await connect(started.port)
    raw.send(GET_A)
    await running.wait()
    raw.writer.close()
    async with asyncio.timeout(20):
        await cancelled.wait()


async def test_close_cancels_a_request_behind_a_response_that_is_not_sent(
    serve, connect_slow
):
    """The end of a connection must be noticed while a full link delays data.

    The handler would go on until the unsent response has been read.
    """
    # More than the socket buffers hold, and less than stops further requests.
    body = bytes(unsent.MAX_CONNECTION_BYTES // 2)
    running = asyncio.Event()
    cancelled = asyncio.Event()

    async def handler(request):
        if request.target == '/a':
            return messages.Response(200, (), body)
        running.set()
        try:
            await asyncio.Event().wait()
        finally:
            cancelled.set()

    started = await serve(handler)
    raw = await connect_slow(started)
    raw.send(GET_A)
    await raw.read_until(b'\r\n\r\n')
    raw.send(GET_B)
    async with asyncio.timeout(conftest.TIMEOUT_S):
        await running.wait()
        raw.writer.write_eof()
        await cancelled.wait()


@pytest.mark.parametrize(
    'data',
    [
        b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na',
        b'GET / HTTP/1.1\r\nHost : a\r\n\r\n',
    ],
    ids=['length-and-chunked', 'two-lengths', 'space-before-colon'],
)
async def test_ambiguous_request_is_refused_and_not_run(serve, connect, data):
    """A request whose framing is ambiguous is refused without a run.

    Another server could take the end of the request elsewhere, which allows
    request smuggling.
    """
    ran = []

    async def handler(request):
        ran.append(request)
        return messages.Response(200)

    started = await serve(handler)
    raw = await connect(started.port)
    raw.send(data)
    assert (await raw.read_to_end()).startswith(b'HTTP/1.1 400')
    assert not ran


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'GET / HTTP/1.1\r\nA: ' + b'x' * 300, b'431'),
        (b'POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n', b'413'),
        (
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'65\r\n' + b'x' * 101 + b'\r\n0\r\n\r\n',
            b'413',
        ),
        (CHUNKED + b'1\r\nx\r\n0\r\n' + b'A: b\r\n' * 200, b'431'),
        (b'GET /' + b'x' * 300, b'431'),
        (b'GET / HTTP/1.1\r\n' + b'A: b\r\n' * 200 + b'\r\n', b'431'),
    ],
    ids=[
        'headers',
        'length',
        'chunks',
        'trailers',
        'target',
        'complete-head',
    ],
)
async def test_request_over_the_limits_is_refused(
    serve, connect, data, status
):
    """A request above the limits of headers or body is refused."""
    started = await serve(_echo, limits=lambda: server.Limits(200, 100))
    raw = await connect(started.port)
    raw.send(data)
    assert (await raw.read_to_end()).startswith(b'HTTP/1.1 ' + status)


async def test_chunked_body_arrives_whole(serve, connect):
    """A chunked body is passed to the handler as a whole."""
    started = await serve(_echo)
    raw = await connect(started.port)
    raw.send(
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    )
    assert (await raw.read_until(b'abcde')).startswith(b'HTTP/1.1 200')


async def test_response_of_a_draining_server_closes_the_connection(
    serve, connect
):
    """A draining server closes each connection after its next response."""
    started = await serve(_echo)
    raw = await connect(started.port)
    started.start_draining()
    raw.send(GET_A)
    answer = await raw.read_to_end()
    assert b'Connection: close' in answer
    assert answer.endswith(b'/a')


async def test_stop_waits_for_the_running_request(serve, connect):
    """A stop waits until the running request has been answered."""
    go_on = asyncio.Event()
    running = asyncio.Event()

    async def handler(request):
        running.set()
        await go_on.wait()
        return messages.Response(200, (), b'whole')

    started = await serve(handler)
    raw = await connect(started.port)
    raw.send(GET_A)
    await running.wait()
    stopping = asyncio.create_task(started.stop(20.0))
    await asyncio.sleep(0)
    go_on.set()
    assert (await raw.read_to_end()).endswith(b'whole')
    await stopping


async def test_idle_connection_closes_and_late_headers_are_refused(
    serve, connect
):
    """Late headers get a 408 response; an idle connection is closed."""
    now = [0.0]
    limits = server.Limits(header_timeout_s=3.0, idle_timeout_s=10.0)
    started = await serve(_echo, limits=lambda: limits, clock=lambda: now[0])
    idle = await connect(started.port)
    slow = await connect(started.port)
    idle.send(GET_A)
    await idle.read_until(b'/a')
    slow.send(b'GET / HTTP/1.1\r\n')
    while not any(conn._is_in_message for conn in started._connections):
        await asyncio.sleep(0)
    now[0] = 4.0
    assert (await slow.read_to_end()).startswith(b'HTTP/1.1 408')
    now[0] = 11.0
    assert await idle.read_to_end() == b''


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'GET /', b'x'),
        (b'GET / HTTP/1.1\r\n', b'A: b\r\n'),
        (b'POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n', b'x'),
        (CHUNKED, b'1\r\nx\r\n'),
        (CHUNKED + b'1\r\nx\r\n0\r\n', b'A: b\r\n'),
    ],
    ids=['target', 'headers', 'length', 'chunks', 'trailers'],
)
async def test_slow_bytes_do_not_extend_the_time_of_a_request(
    serve, connect, start, repeated
):
    """A request that arrives slowly and without end is refused as late.

    It would keep its connection and its memory for ever.
    """
    now = [0.0]
    limits = server.Limits(header_timeout_s=3.5, idle_timeout_s=2.0)
    started = await serve(_echo, limits=lambda: limits, clock=lambda: now[0])
    raw = await connect(started.port)
    raw.send(start)
    received = byte_counter.RECEIVED.total + len(start)
    for _ in range(4):
        raw.send(repeated)
        received += len(repeated)
        await _until(lambda: byte_counter.RECEIVED.total == received)
        for conn in list(started._connections):
            conn.check_timeouts(now[0])
        assert started._connections
        now[0] += 1.0
    assert (await raw.read_to_end()).startswith(b'HTTP/1.1 408')


async def test_interim_responses_are_sent_while_a_request_runs(serve, connect):
    """Interim responses are sent until the request is answered."""
    go_on = asyncio.Event()

    async def handler(request):
        await go_on.wait()
        return messages.Response(200)

    started = await serve(handler, progress=server.Progress(0.01, 0.01))
    raw = await connect(started.port)
    raw.send(GET_A)
    await raw.read_until(b'102 Processing\r\n\r\n')
    await raw.read_until(b'102 Processing\r\n\r\n')
    go_on.set()
    await raw.read_until(b'200 OK\r\n')


async def test_draining_server_answers_all_requests_that_it_has_read(
    serve, connect
):
    """A draining server closes only after the last request that it has read.

    A pipelined request that was already running would otherwise be cancelled.
    """
    go_on = asyncio.Event()
    running = asyncio.Barrier(3)

    async def handler(request):
        await running.wait()
        await go_on.wait()
        return messages.Response(200, (), request.target.encode())

    started = await serve(handler)
    raw = await connect(started.port)
    raw.send(GET_A + GET_B)
    await running.wait()
    started.start_draining()
    go_on.set()
    answers = await raw.read_to_end()
    assert answers.index(b'/a') < answers.index(b'Connection: close')
    assert answers.endswith(b'/b')


async def test_idle_timeout_follows_the_limits_while_connections_are_open(
    serve, connect
):
    """A change of the idle timeout applies to open connections.

    Otherwise connections would be closed by the timeout with which they
    opened.
    """
    now = [0.0]
    limits = [server.Limits(idle_timeout_s=1.0)]
    started = await serve(
        _echo, limits=lambda: limits[0], clock=lambda: now[0]
    )
    raw = await connect(started.port)
    raw.send(GET_A)
    await raw.read_until(b'/a')
    limits[0] = server.Limits(idle_timeout_s=100.0)
    now[0] = 50.0
    for conn in started._connections:
        conn.check_timeouts(now[0])
    raw.send(GET_B)
    await raw.read_until(b'/b')


async def test_head_gets_no_body(serve, connect):
    """The response to a HEAD request has no body.

    A body would be taken for the start of the next response.
    """
    started = await serve(_echo)
    raw = await connect(started.port)
    raw.send(b'HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n' + GET_B)
    answers = await raw.read_until(b'/b')
    assert b'/a' not in answers


async def test_pipelined_requests_without_end_are_not_all_run(serve, connect):
    """Of the requests that arrive in one read, a limited number runs.

    A read can contain thousands of short requests, and each of them takes far
    more memory while it runs than its bytes.
    """
    go_on = asyncio.Event()
    ran = []

    async def handler(request):
        ran.append(request.target)
        await go_on.wait()
        return messages.Response(200, (), request.target.encode())

    started = await serve(handler)
    raw = await connect(started.port)
    count = 1000
    raw.send(
        b''.join(b'GET /%d HTTP/1.1\r\n\r\n' % n for n in range(count))
        + b'GET /last HTTP/1.1\r\nConnection: close\r\n\r\n'
    )
    await _until(lambda: len(ran) >= server.MAX_PIPELINED_COUNT)
    # Runs everything that does not wait for the handlers.
    for _ in range(100):
        await asyncio.sleep(0)
    parsed_at_once = server.PARSED_BYTES // len(b'GET /0 HTTP/1.1\r\n\r\n')
    assert len(ran) <= server.MAX_PIPELINED_COUNT + parsed_at_once
    go_on.set()
    answers = await raw.read_to_end()
    assert answers.count(b'HTTP/1.1 200') == count + 1
    assert ran == [f'/{n}' for n in range(count)] + ['/last']
    assert answers.endswith(b'/last')


async def test_rejected_request_behind_a_running_one_is_not_run(
    serve, connect
):
    """A request whose body is too large is not run with a part of its body.

    Its rejection waits for the response to the request before it, and the end
    of its body arrives in the meantime.
    """
    go_on = asyncio.Event()
    ran = []

    async def handler(request):
        ran.append((request.target, request.body))
        await go_on.wait()
        return messages.Response(200)

    started = await serve(handler, limits=lambda: server.Limits(200, 100))
    raw = await connect(started.port)
    raw.send(
        GET_A
        + b'POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        + b'20\r\n'
        + b'x' * 32
        + b'\r\n65\r\n'
        + b'y' * 101
        + b'\r\n0\r\n\r\n'
    )
    await _until(
        lambda: any(len(c._exchanges) > 1 for c in started._connections)
    )
    go_on.set()
    answers = await raw.read_to_end()
    assert ran == [('/a', b'')]
    assert b'HTTP/1.1 413' in answers


async def test_too_many_headers_are_refused(serve, connect):
    """A request with too many headers is refused.

    The objects of short headers take far more memory than their bytes.
    """
    started = await serve(_echo)
    raw = await connect(started.port)
    count = server.MAX_HEADER_COUNT + 1
    raw.send(b'GET / HTTP/1.1\r\n' + b'A: b\r\n' * count + b'\r\n')
    assert (await raw.read_to_end()).startswith(b'HTTP/1.1 431')


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'', b'\r\n'),
        (b'GET /', b'x'),
        (b'GET / HTTP/1.1\r\nNa', b'm'),
        (b'GET / HTTP/1.1\r\nA: ', b'x'),
        (b'GET / HTTP/1.1\r\n', b'A: b\r\n'),
        (CHUNKED, b'0'),
        (CHUNKED + b'1;', b'x'),
        (CHUNKED + b'1\r\nx\r\n0\r\n', b'A: b\r\n'),
        (CHUNKED + b'1\r\nx\r\n0\r\nA: ', b'x'),
    ],
    ids=[
        'empty-lines',
        'target',
        'header-name',
        'header-line',
        'headers',
        'chunk-size',
        'chunk-extension',
        'trailers',
        'trailer-line',
    ],
)
async def test_request_head_without_end_is_not_kept(
    serve, connect, monkeypatch, start, repeated
):
    """A head or trailers without end close the connection.

    The server would keep the bytes until the node runs out of memory.
    """
    received = []
    receive = server.Connection.data_received

    def data_received(conn, data):
        received.append(len(data))
        receive(conn, data)

    monkeypatch.setattr(server.Connection, 'data_received', data_received)
    started = await serve(_echo)
    raw = await connect(started.port)
    raw.send(start)
    block = repeated * (1 + 65536 // len(repeated))
    # The number of bytes is limited, so that a server without limits does not
    # use up the memory of the machine.
    with pytest.raises(ConnectionError):
        for _ in range(FLOOD_BYTES // len(block)):
            raw.send(block)
            await raw.writer.drain()
    assert sum(received) <= server.Limits().header_bytes + 2 * MAX_READ_BYTES


async def test_requests_that_arrive_share_a_memory_limit(serve, connect):
    """The largest request is refused when the memory limit is exceeded.

    Many bodies that are each within their limit would still use up the memory
    of the node. The refused request can be retried, because it has not run.
    """
    limit = memory.MemoryLimit(1000)
    started = await serve(_echo, memory_limit=limit)
    large = await connect(started.port)
    small = await connect(started.port)
    large.send(_start_post(700, b'x' * 600))
    await _until(lambda: limit.used_bytes >= 600)
    small.send(_start_post(500, b'y' * 499))
    refusal = await large.read_to_end()
    assert refusal.startswith(b'HTTP/1.1 503')
    assert b'Retry-After: ' in refusal
    assert limit.used_bytes <= 1000
    small.send(b'y')
    await small.read_until(b'y' * 500)
    assert not limit.used_bytes


@pytest.mark.parametrize(
    'part',
    [b'A: ' + b'x' * 60_000, b'A: b\r\n' * 300, b'x' * 60_000],
    ids=['header-line', 'headers', 'header-name'],
)
async def test_heads_that_arrive_share_the_memory_limit(serve, connect, part):
    """Heads that are not complete count towards the memory limit.

    Many clients with a head without end would use up the memory of the node,
    although each one is within the limit of a head.
    """
    limit = memory.MemoryLimit(200_000)
    started = await serve(_echo, memory_limit=limit)
    clients = [await connect(started.port) for _ in range(6)]
    for raw in clients:
        raw.send(b'GET / HTTP/1.1\r\n' + part)
    refusals = [asyncio.create_task(raw.read_to_end()) for raw in clients]
    done, waiting = await asyncio.wait(
        refusals, return_when=asyncio.FIRST_COMPLETED
    )
    assert done.pop().result().startswith(b'HTTP/1.1 503')
    assert 60_000 < limit.used_bytes <= 200_000
    other = await connect(started.port)
    other.send(_start_post(1, b'y'))
    assert (await other.read_until(b'\r\n')).startswith(b'HTTP/1.1 200')
    for raw in clients:
        raw.writer.transport.abort()
    await _until(lambda: not limit.used_bytes)
    await asyncio.wait(refusals)
    for task in refusals:
        task.exception()


async def test_running_requests_count_towards_the_memory_limit(serve, connect):
    """The bodies of running requests count until the handlers end.

    Up to 32 of them run at a time on each connection.
    """
    limit = memory.MemoryLimit(1000)
    go_on = asyncio.Event()
    ran = []

    async def handler(request):
        ran.append(request.target)
        await go_on.wait()
        return messages.Response(200)

    started = await serve(handler, memory_limit=limit)
    first = await connect(started.port)
    first.send(_start_post(450, b'x' * 450) * 2)
    await _until(lambda: len(ran) == 2)
    second = await connect(started.port)
    second.send(_start_post(300, b'y' * 300))
    assert (await second.read_to_end()).startswith(b'HTTP/1.1 503')
    assert len(ran) == 2
    go_on.set()
    await first.read_until(b'200 OK\r\n')
    await first.read_until(b'200 OK\r\n')
    assert not limit.used_bytes


async def test_closed_connection_releases_the_memory_of_its_requests(
    serve, connect
):
    """Requests that end with their connection are no longer counted."""
    limit = memory.MemoryLimit(1000)

    async def handler(request):
        await asyncio.Event().wait()

    started = await serve(handler, memory_limit=limit)
    raw = await connect(started.port)
    raw.send(_start_post(300, b'x' * 300) + _start_post(300, b'y' * 200))
    await _until(lambda: limit.used_bytes >= 500)
    raw.writer.close()
    await _until(lambda: not limit.used_bytes)


@pytest.mark.parametrize('status', [b'413', b'503', b'408'])
@pytest.mark.parametrize('is_chunked', [False, True])
async def test_refusal_reaches_a_client_that_still_sends_its_body(
    serve, connect, status, is_chunked
):
    """A client that sends its whole body before it reads gets the refusal.

    Data that arrives after the close resets the connection. The client loses
    the refusal then, and does not learn that its request has not run.
    """
    now = [0.0]
    ran = []

    async def handler(request):
        ran.append(request)
        return messages.Response(200)

    limits = server.Limits(
        body_bytes=2000 if status == b'413' else 2 * FLOOD_BYTES,
        header_timeout_s=3.0,
    )
    limit = memory.MemoryLimit(FLOOD_BYTES)
    started = await serve(
        handler,
        limits=lambda: limits,
        clock=lambda: now[0],
        memory_limit=limit,
    )
    if status == b'503':
        # Requests that run leave 2000 bytes.
        limit.used_bytes = FLOOD_BYTES - 2000
    raw = await connect(started.port)
    raw.writer.transport.pause_reading()
    size = 8 * 1024 * 1024
    if is_chunked:
        raw.send(CHUNKED + b'%x\r\n' % size + b'x' * 1000)
    else:
        raw.send(_start_post(size, b'x' * 1000))
    await _until(lambda: bool(started._connections))
    (conn,) = started._connections
    if status == b'408':
        await _until(lambda: conn._is_in_message)
        now[0] = 4.0
        conn.check_timeouts(now[0])
    for _ in range(size // MAX_READ_BYTES):
        raw.send(b'x' * MAX_READ_BYTES)
        await raw.writer.drain()
    raw.writer.transport.resume_reading()
    assert (await raw.read_to_end()).startswith(b'HTTP/1.1 ' + status)
    assert not ran
    # A client that does not close is not waited for.
    now[0] += 4.0
    for conn in list(started._connections):
        conn.check_timeouts(now[0])
    await _until(lambda: not started._connections)


async def test_body_above_the_memory_limit_is_too_large(serve, connect):
    """A body that never fits into the memory limit is refused for good.

    A refusal that allows a retry would be repeated without end.
    """
    limit = memory.MemoryLimit(1000)
    started = await serve(_echo, memory_limit=limit)
    raw = await connect(started.port)
    raw.send(_start_post(1001, b''))
    assert (await raw.read_to_end()).startswith(b'HTTP/1.1 413')


LARGE = 1_000_000


def _kept_bytes(started: server.Server) -> list[int]:
    return [
        conn._transport.get_write_buffer_size()
        for conn in started._connections
    ]


async def _large(request: messages.Request) -> messages.Response:
    return messages.Response(200, (), request.target[-1].encode() * LARGE)


@pytest.fixture
async def connect_slow(connect):
    """Return a function that opens a connection with small socket buffers.

    The server keeps almost all of a response that the client does not read.
    """

    async def open_(started: server.Server) -> conftest.RawConnection:
        known = set(started._connections)
        raw = await connect(started.port, 16 * 1024)
        await _until(lambda: len(started._connections) > len(known))
        (conn,) = started._connections - known
        sock = conn._transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16 * 1024)
        return raw

    return open_


async def test_requests_behind_unread_responses_are_not_run(
    serve, connect_slow
):
    """A client that does not read its responses gets no more requests run.

    Its responses would fill the memory of the node. They are all delivered
    when the client reads.
    """
    ran = []
    size = LARGE // 10

    async def handler(request):
        ran.append(request.target)
        return messages.Response(200, (), request.target[-1].encode() * size)

    started = await serve(handler)
    raw = await connect_slow(started)
    padding = b'A: %s\r\n' % (b'x' * server.PARSED_BYTES)
    count = 60
    for number in range(count):
        raw.send(b'GET /%d HTTP/1.1\r\n%s\r\n' % (number % 10, padding))
    await _until(lambda: len(ran) >= 2)
    (conn,) = started._connections
    await _until(lambda: not conn._is_reading and not conn._exchanges)
    # Runs everything that does not wait for the client.
    for _ in range(100):
        await asyncio.sleep(0)
    assert len(ran) <= server.MAX_PIPELINED_COUNT
    raw.send(b'GET /a HTTP/1.1\r\nConnection: close\r\n\r\n')
    answers = await raw.read_to_end()
    assert len(ran) == count + 1
    assert answers.count(b'HTTP/1.1 200') == count + 1
    for digit in b'0123456789':
        assert answers.count(digit) >= count // 10 * size
    assert answers.endswith(b'a' * size)
    # The client has not closed its side yet.
    conn.check_timeouts(started.clock())
    assert not started.unsent.used_bytes


async def test_unread_responses_of_all_connections_share_a_limit(
    serve, connect_slow
):
    """The largest unread responses are dropped when all exceed the limit.

    Those of many connections would fill the memory of the node. The others
    are still delivered.
    """
    limit = unsent.UnsentLimit(5 * LARGE // 2)
    started = await serve(_large, unsent_limit=limit)
    first = await connect_slow(started)
    first.send(GET_A * 2)
    await _until(lambda: limit.used_bytes > 1.8 * LARGE)
    second = await connect_slow(started)
    second.send(GET_B)
    assert len(await first.read_to_end()) < LARGE
    await _until(lambda: limit.used_bytes < LARGE)
    await second.read_until(b'\r\n\r\n')
    async with asyncio.timeout(conftest.TIMEOUT_S):
        assert await second.reader.readexactly(LARGE) == b'b' * LARGE
    await _until(lambda: not limit.used_bytes)


async def test_stalled_client_loses_its_responses_before_a_slow_one(
    serve, connect_slow, monkeypatch
):
    """A client that takes its responses slowly is not taken for stalled.

    Links of 5 Mbit/s are common, and a large response takes long over them.
    """
    # Both clients have the bytes that they get without reading at once.
    monkeypatch.setattr(pacing, 'STALL_TIMEOUT_S', 0.0)
    now = [0.0]
    limit = unsent.UnsentLimit(16 * LARGE // 5)
    started = await serve(_large, unsent_limit=limit, clock=lambda: now[0])
    slow = await connect_slow(started)
    slow.send(GET_A * 2)
    stalled = await connect_slow(started)
    stalled.send(GET_A)
    await _until(lambda: limit.used_bytes > 2.8 * LARGE)
    await _until(conftest.is_stable(lambda: _kept_bytes(started)))
    # The streams have read ahead, and the socket buffers are full.
    await _until(lambda: slow.reader._paused and stalled.reader._paused)
    for _ in range(100):
        await asyncio.sleep(0)
    for conn in started._connections:
        conn.check_timeouts(now[0])
    now[0] = 2 * unsent.STALL_S
    async with asyncio.timeout(conftest.TIMEOUT_S):
        await slow.reader.readexactly(LARGE // 3)
    third = await connect_slow(started)
    third.send(GET_B)
    assert len(await stalled.read_to_end()) < LARGE
    async with asyncio.timeout(conftest.TIMEOUT_S):
        await slow.reader.readexactly(3 * LARGE // 2)
        await third.reader.readexactly(LARGE)


async def test_responses_that_wait_for_an_earlier_one_count(
    serve, connect_slow
):
    """Responses that are ready before an earlier one count as unread."""
    limit = unsent.UnsentLimit(5 * LARGE // 2)
    cancelled = asyncio.Event()

    async def handler(request):
        if request.target == '/a':
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()
        return await _large(request)

    started = await serve(handler, unsent_limit=limit)
    raw = await connect_slow(started)
    raw.send(GET_A + GET_B * 3)
    assert len(await raw.read_to_end()) < LARGE
    await _until(cancelled.is_set)
    assert not limit.used_bytes


async def test_client_that_takes_no_response_is_closed(
    serve, connect_slow, monkeypatch
):
    """A client that takes nothing for the idle timeout loses its connection.

    Its response would be kept for as long as the client stays connected, also
    if the server has already closed its side.
    """
    monkeypatch.setattr(pacing, 'STALL_TIMEOUT_S', 0.01)
    now = [0.0]
    limits = server.Limits(idle_timeout_s=10.0)
    started = await serve(_large, limits=lambda: limits, clock=lambda: now[0])
    kept = await connect_slow(started)
    kept.send(GET_A)
    last = await connect_slow(started)
    last.send(b'GET /a HTTP/1.1\r\nConnection: close\r\n\r\n')
    await _until(lambda: started.unsent.used_bytes > 1.7 * LARGE)
    # What the kernel takes counts as taken by the client.
    await _until(
        conftest.is_stable(
            lambda: sum(
                conn._transport.get_write_buffer_size()
                for conn in started._connections
            )
        )
    )
    slow = await connect_slow(started)
    slow.send(GET_B)
    await _until(lambda: started.unsent.used_bytes > 2.5 * LARGE)
    async with asyncio.timeout(conftest.TIMEOUT_S):
        await slow.read_until(b'\r\n\r\n')
        for _ in range(4):
            now[0] += 4.0
            await slow.reader.readexactly(LARGE // 4)
            for conn in list(started._connections):
                conn.check_timeouts(now[0])
    slow.send(GET_B)
    await slow.read_until(b'\r\n\r\n')
    assert len(await kept.read_to_end()) < LARGE
    assert len(await last.read_to_end()) < LARGE
    await _until(lambda: len(started._connections) == 1)
    assert started.unsent.used_bytes < LARGE


def _start_post(length: int, body: bytes) -> bytes:
    return b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s' % (
        length,
        body,
    )


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(conftest.TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


class _Arrivals:
    """Counts the requests whose bodies are still to arrive."""

    def __init__(self) -> None:
        self.count = 0

    def observe(self, fields: messages.Headers) -> Callable[[], None]:
        """Count a request until the returned function is called."""
        self.count += 1
        return self._end

    def _end(self) -> None:
        self.count -= 1


async def test_request_behind_the_last_response_is_not_waited_for(
    serve, connect
):
    """A node that is stopped would wait for a body that it discards.

    The client keeps its side of the connection open.
    """
    answered = asyncio.Event()

    async def handler(request):
        await answered.wait()
        return messages.Response(200)

    arrivals = _Arrivals()
    started = await serve(handler, observe_arrival=arrivals.observe)
    raw = await connect(started.port)
    raw.send(GET_A + _start_post(10, b'part'))
    await _until(lambda: started.running and arrivals.count)
    started.start_draining()
    answered.set()
    assert b'Connection: close' in await raw.read_to_end()
    assert arrivals.count == 0


async def test_request_without_memory_is_not_waited_for(serve, connect):
    """A node that is stopped would wait for a body that it discards.

    The request is refused while its headers are read, and the client keeps
    its side of the connection open.
    """

    async def handler(request):
        return messages.Response(200)

    arrivals = _Arrivals()
    started = await serve(
        handler,
        observe_arrival=arrivals.observe,
        memory_limit=memory.MemoryLimit(1),
    )
    raw = await connect(started.port)
    raw.send(_start_post(1, b'b'))
    assert b' 503 ' in await raw.read_to_end()
    assert arrivals.count == 0
