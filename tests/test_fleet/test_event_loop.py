"""The path of a request on the event loop of the platform's nodes.

The other tests run on the loop of asyncio, whose transports differ in when
they write, and in what they report of a connection that ends.
"""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from damaskpier.fleet import ingress as ingress_module

from tests import streams
from tests.test_fleet import conftest

LONG_BODY = b'0123456789abcdef' * 2**17


@pytest.fixture
def event_loop_policy():
    """Return the policy that makes the loops of this module."""
    return uvloop.EventLoopPolicy()


async def test_long_bodies_arrive_whole(fleet):
    """Long requests and responses are written in parts."""
    assert isinstance(asyncio.get_running_loop(), uvloop.Loop)
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()

    async def echo(request):
        return other.upstream.signed(200, request.body)

    other.upstream.answer = echo
    response = await caller.request('/write/1', 'POST', body=LONG_BODY)
    assert response.body == LONG_BODY


async def test_caller_that_leaves_ends_the_run(fleet):
    """The close of the caller's connection has to reach the upstream."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    running = asyncio.Event()

    async def hang(request):
        running.set()
        await asyncio.Event().wait()

    other.upstream.answer = hang
    port = caller.app.service('ingress').server.port
    _, writer = await asyncio.open_connection(conftest.HOST, port)
    writer.write(
        b'GET /read/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n\r\n'
    )
    await running.wait()
    await streams.abort(writer)
    await conftest.wait_until(lambda: other.upstream.cancelled == 1)


async def test_request_on_a_connection_that_was_closed_has_not_run(fleet):
    """A kept connection may end at any time before the next request."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    for number in range(20):
        response = await caller.request('/write/1', 'POST')
        assert response.body == b'i-1'
        peer_server = other.app.service('peer-server').server
        for conn in list(peer_server._connections):
            conn.close()
        assert len(other.upstream.ran) == number + 1


async def test_planned_stop_finishes_running_requests(fleet, monkeypatch):
    """The responses have to be sent before the process ends."""
    monkeypatch.setattr(ingress_module, 'CALLERS_IDLE_S', 0.01)
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    running, resume = asyncio.Event(), asyncio.Event()

    async def wait(request):
        running.set()
        await resume.wait()
        return other.upstream.signed(200, LONG_BODY)

    other.upstream.answer = wait
    task = asyncio.create_task(caller.request())
    await running.wait()
    stopping = asyncio.create_task(caller.app.service('ingress').stop())
    await asyncio.sleep(0)
    resume.set()
    assert (await task).body == LONG_BODY
    await stopping
