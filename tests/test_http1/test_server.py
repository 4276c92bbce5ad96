"""Tests that the server answers each client with responses to its requests."""

from __future__ import annotations

import asyncio

import pytest

from damaskpier.http1 import messages
from damaskpier.http1 import server

GET_A = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
GET_B = b'GET /b HTTP/1.1\r\nHost: h\r\n\r\n'


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

    started = await serve(handler)
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
    ],
    ids=['headers', 'length', 'chunks'],
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
