"""Metrics and log lines of distances, by which an operator sees their cost."""

from __future__ import annotations

import logging

import pytest

from damaskpier.fleet import distances
from damaskpier.http1 import messages
from damaskpier.mesh import model
from damaskpier import metrics
from damaskpier.platform import headers
from damaskpier.rpc import mesh_pb2

LOCAL = model.NodeRecord('n', 1, 1, 'r', 'd', 'host', 1, 2)
OTHER_REGION = LOCAL._replace(
    node_id='o', region='r2', failure_domain='d2', host='other'
)


@pytest.fixture
def counters() -> metrics.Metrics:
    """Return counters without a value."""
    return metrics.Metrics()


def _value(counters: metrics.Metrics, distance: str, purpose: str) -> float:
    return counters.counter_value(
        'peer_bytes', distance=distance, purpose=purpose
    )


@pytest.mark.parametrize(
    ('record', 'expected'),
    [
        (LOCAL, 'domain'),
        (LOCAL._replace(failure_domain='e'), 'region'),
        (OTHER_REGION, 'other_region'),
    ],
)
def test_bytes_are_counted_by_distance(counters, record, expected):
    counts = distances.ByteCounts(counters, lambda: LOCAL)
    counts.add(record, 'requests', 700)
    counts.add(record, 'requests', 50)
    assert _value(counters, expected, 'requests') == 750


def test_configuration_in_gossip_is_counted_apart(counters):
    """It is sent to each node, and gossip hides it otherwise."""
    counts = distances.ByteCounts(counters, lambda: LOCAL)
    reply = mesh_pb2.Gossip(config=b'x' * 5000).SerializeToString()
    counts.add_gossip(
        OTHER_REGION, 300, mesh_pb2.Gossip(config=b'y' * 100), 5200, reply
    )
    assert _value(counters, 'other_region', 'configuration') == 5100
    assert _value(counters, 'other_region', 'gossip') == 400


def test_reply_that_can_not_be_read_counts_as_gossip(counters):
    counts = distances.ByteCounts(counters, lambda: LOCAL)
    reply = b'\xff' * 2000
    counts.add_gossip(OTHER_REGION, 300, mesh_pb2.Gossip(), 2100, reply)
    assert _value(counters, 'other_region', 'gossip') == 2400


def test_log_tells_why_requests_leave_their_domain(counters, caplog):
    now = [0.0]
    counts = distances.ChoiceCounts(counters, lambda: now[0])
    with caplog.at_level(logging.INFO):
        for _ in range(5):
            counts.record(0, 'near')
        counts.record(2, 'full')
        now[0] = distances.LOG_INTERVAL_S
        counts.record(1, 'slower')
        now[0] *= 2
        counts.record(0, 'near')
    assert [record.getMessage() for record in caplog.records] == [
        'router: of 7 attempts in 10 s, these left the failure domain: '
        '1 to region (slower), 1 to other_region (full)'
    ]
    value = counters.counter_value(
        'worker_choices', distance='other_region', reason='full'
    )
    assert value == 1


async def test_request_and_answer_are_counted_once_in_the_fleet(fleet):
    """Bytes between failure domains and regions are billed."""
    caller = await fleet.add('pages', domain='a')
    other = await fleet.add('reads', domain='b')
    await fleet.wait_converged()

    async def answer(request: messages.Request) -> messages.Response:
        return other.upstream.signed(200, b'x' * 3000)

    other.upstream.answer = answer
    response = await caller.request(body=b'y' * 2000, method='GET')
    assert response.status == 200
    counters = [node.app.service('metrics') for node in (caller, other)]
    sent = sum(_value(item, 'region', 'requests') for item in counters)
    received = sum(_value(item, 'region', 'answers') for item in counters)
    assert 2000 < sent < 3000
    assert 3000 < received < 4000
    assert sum(_value(item, 'region', 'gossip') for item in counters) > 0
    value = counters[0].counter_value(
        'worker_choices', distance='region', reason='missing'
    )
    assert value == 1


async def test_refusal_is_counted_apart_from_answers(fleet):
    """A refused request costs the bytes of its body for nothing."""
    caller = await fleet.add('pages', domain='a')
    other = await fleet.add('reads', domain='b')
    await fleet.wait_converged()

    async def refuse(request: messages.Request) -> messages.Response:
        return messages.Response(503, ((headers.NOT_RUN, '1'),))

    other.upstream.answer = refuse
    assert (await caller.request()).status == 503
    counters = caller.app.service('metrics')
    assert _value(counters, 'region', 'refusals') > 0
    assert _value(counters, 'region', 'answers') == 0
