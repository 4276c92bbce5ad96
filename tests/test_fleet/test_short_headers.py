"""Short names of the headers between nodes, also beside earlier builds."""

from __future__ import annotations

import pytest

from damaskpier import errors
from damaskpier.fleet import peers
from damaskpier.fleet import short_headers
from damaskpier.http1 import messages as http_messages
from damaskpier.traffic import messages

HOST = '10.0.0.1'
TOKEN = '0123456789abcdef-1234'
LOAD = messages.Load(6, 5, 2, pace=1.5, pace_age_s=0.05, mean_pace=1.25)
REQUEST = messages.Request(
    request_id='r-1234567890ab',
    route='checkout-read',
    service='checkout',
    version='v1',
    method='GET',
    target='/checkout/item/1234',
    headers=(('Host', 'shop.example'), ('X-Request-Id', 'r-1234567890ab')),
    body=b'',
    deadline=12.5,
    depth=0,
    repeatable=True,
    priority=1,
    caller='web',
    max_wait_s=0.15,
    is_repeat=True,
    objective=10.5,
    team='team-12',
)
ANSWER = messages.Answer(200, (('X-Server-Stamp', 's'),), b'')
REFUSAL = errors.Refusal(errors.CALL_OVERLOADED, '6 run and 12 wait')


def _encode(result, is_short: bool) -> http_messages.Response:
    response = peers._encode_reply(messages.Reply(result, LOAD, 17))
    if is_short:
        fields = short_headers.shorten(response.headers)
        response = response._replace(headers=fields)
    return response


def test_bytes_of_a_request_and_its_replies():
    """Names took up to half of the head of each request between regions."""
    sizes = [
        len(peers._make_exchange(REQUEST, HOST, TOKEN, 10.0, is_short).request)
        for is_short in (False, True)
    ]
    assert sizes[1] < 0.62 * sizes[0]
    for result, ratio in ((ANSWER, 0.85), (REFUSAL, 0.8)):
        long, short = (
            len(http_messages.encode_response(_encode(result, is_short)))
            for is_short in (False, True)
        )
        assert short < ratio * long


def test_short_request_is_read_as_the_long_one():
    fields = (*peers._encode_headers(REQUEST, 10.0), (peers.ATTEMPT, TOKEN))
    short = short_headers.shorten(fields)
    assert short_headers.is_short(short)
    assert short_headers.expand(short) == fields


@pytest.mark.parametrize('result', [ANSWER, REFUSAL])
def test_short_reply_is_read_as_the_long_one(result):
    replies = [
        peers._decode_reply(_encode(result, is_short))
        for is_short in (False, True)
    ]
    assert replies[0] == replies[1] == messages.Reply(result, LOAD, 17)


@pytest.mark.parametrize('name', ['Dp-S', 'dp-t', 'DP-L'])
def test_headers_of_others_are_not_taken_for_those_of_nodes(name):
    """A caller could name a team, or an upstream a load."""
    request = REQUEST._replace(headers=((name, 'x'),))
    exchange = peers._make_exchange(request, HOST, TOKEN, 10.0, True)
    assert b'Damaskpier-Service: checkout' in exchange.request
    fields = peers._encode_headers(request, 10.0)
    assert short_headers.expand(fields) == fields
    answer = ANSWER._replace(headers=((name, 'x'),))
    response = peers._encode_reply(messages.Reply(answer, LOAD))
    assert short_headers.shorten(response.headers) is None
    assert peers._decode_reply(response) == messages.Reply(answer, LOAD)
    # The answer to a question has no load.
    response = peers._encode_reply(messages.Reply(answer))
    fields = (*response.headers, (peers.ATTEMPT, TOKEN))
    decoded = peers._decode_reply(response._replace(headers=fields))
    assert decoded == messages.Reply(answer)


async def test_nodes_of_this_build_use_short_names(fleet):
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    server = other.app.service('peer-server').server
    received = []
    handler = server.handler

    async def record(
        request: http_messages.Request,
    ) -> http_messages.Response:
        if request.path != peers.EXCHANGE_PATH:
            received.append(short_headers.is_short(request.headers))
        return await handler(request)

    server.handler = record
    for _ in range(3):
        assert (await caller.request()).status == 200
    assert received == [False, True, True]
    for request in other.upstream.ran:
        names = {name.lower() for name, _ in request.headers}
        assert not any(
            name.startswith(('dp-', 'damaskpier-')) for name in names
        )


async def test_node_of_an_earlier_build_gets_long_names(fleet):
    """It refuses short names, after a restart without notice too."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    assert (await caller.request()).status == 200
    readers = caller.app.service('peers')._short_readers
    assert other.name in readers
    server = other.app.service('peer-server')
    server.server.handler = server._handle_expanded
    for _ in range(2):
        assert (await caller.request()).status == 200
        assert other.name not in readers
    assert len(other.upstream.ran) == 3
