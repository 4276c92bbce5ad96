"""Tests of the HTTP client of the local upstream."""

from __future__ import annotations

import asyncio

import pytest

from damaskpier.traffic import curl_client
from tests import streams
from tests.test_traffic import conftest

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


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
