"""Requests that a node reads late, after a pause of its process.

Whoever sent them may have left meanwhile, and their time may be over.
"""

from __future__ import annotations

import asyncio
import socket

import pytest
import uvloop

from damaskpier.fleet import peers
from damaskpier.http1 import messages
from damaskpier.platform import headers

from tests import streams
from tests.test_fleet import conftest

# Iterations of the event loop, many more than a request takes to its upstream.
ITERATIONS = 200


@pytest.fixture(
    params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy]
)
def event_loop_policy(request):
    """Return the policy that makes the loops of this module."""
    return request.param()


def _send_and_leave(port: int, data: bytes) -> None:
    """Send a request and close the connection before the node reads it."""
    with socket.create_connection((conftest.HOST, port)) as sock:
        sock.sendall(data)


async def _assert_not_started(
    node: conftest.Node, port: int, data: bytes
) -> None:
    """Check that a request runs only if its sender stays."""
    _, writer = await asyncio.open_connection(conftest.HOST, port)
    writer.write(data)
    await conftest.wait_until(lambda: len(node.upstream.ran) == 1)
    await streams.abort(writer)
    for _ in range(5):
        _send_and_leave(port, data)
        for _ in range(ITERATIONS):
            await asyncio.sleep(0)
    # Whatever had begun reaches the upstream before this request.
    assert (await node.request('/read/last')).status == 200
    assert [request.path for request in node.upstream.ran][1:] == [
        '/read/last'
    ]


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_request_of_a_caller_that_left_is_not_started(fleet, method):
    """A paused node must not pass on what its callers gave up meanwhile."""
    node = await fleet.add()
    await fleet.wait_converged()
    target = '/read/1' if method == 'GET' else '/write/1'
    data = messages.encode_request(
        method,
        target,
        (('Host', 'h.example'), (headers.REQUEST_ID, 'r1')),
        b'',
    )
    port = node.app.service('ingress').server.port
    await _assert_not_started(node, port, data)


async def test_request_of_a_node_that_gave_up_is_not_started(fleet):
    """A node that sent a request before the pause has told its caller."""
    node = await fleet.add()
    await fleet.wait_converged()
    data = messages.encode_request(
        'POST',
        '/write/1',
        (
            ('Host', 'h.example'),
            (headers.REQUEST_ID, 'r1'),
            ('Damaskpier-Request-Id', 'r1'),
            (peers.SERVICE, 'reads'),
            (peers.ROUTE, 'write'),
            ('Damaskpier-Deadline-Ms', '5000'),
            (peers.ATTEMPT, 'token-1'),
        ),
        b'',
    )
    port = node.app.service('peer-server').server.port
    await _assert_not_started(node, port, data)
