"""Requests of callers to the paths that nodes use among themselves.

The tests guard against a caller's request that is taken for a message of a
node: the caller was told of success, and no worker ran the request.
"""

from __future__ import annotations

import pytest

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.fleet import peers
from damaskpier.http1 import client
from damaskpier.http1 import messages
from damaskpier.platform import headers
from damaskpier.rpc import mesh_pb2

from tests.test_fleet import conftest

PATHS = (peers.EXCHANGE_PATH, peers.ALLOWANCE_PATH, peers.ATTEMPT_PATH)
# Headers of the nodes, in the long and in the short form.
FORGED = (
    (),
    ((peers.ATTEMPT, 't-1'), (peers.AGE, '10')),
    ((peers.SERVICE, 'others'), ('Connection', peers.SERVICE)),
    (('Dp-A', 't-1'), ('Dp-S', 'others')),
)


@pytest.fixture
async def caller(fleet):
    """Return a node whose callers' requests all go to another node."""
    route = conftest.make_route(
        prefix='/', kind=model.RouteKind.NON_IDEMPOTENT
    )
    fleet.store.put(conftest.make_configuration(2, (route,)))
    node = await fleet.add('pages')
    await fleet.add('reads')
    await fleet.wait_converged()
    return node


@pytest.mark.parametrize('fields', FORGED)
@pytest.mark.parametrize('method', ['POST', 'GET', 'DELETE'])
@pytest.mark.parametrize('path', PATHS)
async def test_request_to_a_path_of_the_nodes_is_run_by_a_worker(
    fleet, caller, path, method, fields
):
    """Only the path told gossip from requests that nodes pass on."""
    upstream = fleet.nodes[1].upstream
    # The second request has the short names of headers.
    for number in range(2):
        response = await caller.request(
            f'{path}?n={number}', method, body=b'work', fields=fields
        )
        assert response.status == 200
        assert response.header(headers.SIGNATURE.lower()) == 's'
        ran = upstream.ran[number]
        assert (ran.method, ran.target) == (method, f'{path}?n={number}')
        assert ran.body == b'work'
    assert len(upstream.ran) == 2


async def test_caller_can_not_write_gossip(fleet, caller):
    """A caller could change the records of a node beside another worker."""
    record = fleet.nodes[1].app.service('membership').local_record()
    gossip = mesh_pb2.Gossip()
    gossip.sender.node_id = 'forged'
    gossip.sender.incarnation = record.incarnation
    gossip.sender.failure_domain = record.failure_domain
    body = gossip.SerializeToString()
    response = await caller.request(peers.EXCHANGE_PATH, 'POST', body=body)
    assert response.header(headers.SIGNATURE.lower()) == 's'
    for node in fleet.nodes:
        assert node.app.service('membership').get('forged') is None


@pytest.mark.parametrize(
    ('status', 'code', 'run'),
    [
        (200, errors.CALL_UNKNOWN, errors.RunState.UNKNOWN),
        (404, errors.CALL_UNKNOWN, errors.RunState.UNKNOWN),
        (500, errors.CALL_UNKNOWN, errors.RunState.UNKNOWN),
        (431, errors.CALL_TOO_LARGE, errors.RunState.NOT_RUN),
        (503, errors.CALL_OVERLOADED, errors.RunState.NOT_RUN),
    ],
)
def test_response_without_a_reply_of_a_node_is_no_answer(status, code, run):
    """A bare 200 of another node was taken for the answer of its worker."""
    reply = peers._decode_reply(messages.Response(status))
    assert isinstance(reply.result, errors.Refusal)
    assert (reply.result.code, reply.result.run) == (code, run)


async def test_gossip_that_is_refused_counts_as_unanswered(fleet):
    """Counts of a move were taken for delivered if a node had no memory."""
    node = await fleet.add()
    other = await fleet.add()
    await fleet.wait_converged()

    async def refuse(request: messages.Request) -> messages.Response:
        return messages.Response(503)

    other.app.service('peer-server').server.handler = refuse
    record = other.app.service('membership').local_record()
    exchange = node.app.service('exchange')
    assert await exchange._send(record, mesh_pb2.Gossip()) is None


async def test_node_message_needs_no_header_of_a_request(fleet):
    """Nodes of earlier builds send gossip with a path and a body only."""
    node = await fleet.add()
    await fleet.wait_converged()
    port = node.app.service('peer-server').server.port
    response = await client.Pool(conftest.HOST, port).request(
        messages.encode_request(
            'POST',
            peers.EXCHANGE_PATH,
            (('Host', conftest.HOST),),
            mesh_pb2.Gossip(
                digests=[mesh_pb2.MembershipDigest()]
            ).SerializeToString(),
        ),
        client.Options(conftest.asyncio.get_running_loop().time() + 5.0),
    )
    assert response.status == 200
    reply = mesh_pb2.Gossip.FromString(response.body)
    assert reply.sender.node_id == node.name
