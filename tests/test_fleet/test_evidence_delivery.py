"""Counts of requests on their way to the evaluators of a move.

The tests guard against counts that are lost with one message, so that a bad
version is found late, and against counts that enter the comparison twice.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import pytest

from damaskpier.fleet import batch_log
from damaskpier.fleet import exchange
from damaskpier.http1 import messages
from damaskpier.rollout import model as rollout_model

from tests.test_fleet import conftest

CELL = rollout_model.EvidenceCell(
    'reads/v2/1',
    'read',
    'a',
    1,
    rollout_model.VersionCounts(3, 0, {1: 3}),
    rollout_model.VersionCounts(2, 1, {1: 2}),
    0.5,
)
Handler = Callable[[messages.Request], Awaitable[messages.Response]]


class Nodes(NamedTuple):
    """Sender of counts and their evaluator.

    ``received`` lists the counts that enter the evaluator's comparison,
    ``sent`` the messages to it that carry counts.
    """

    sender: conftest.Node
    evaluator: conftest.Node
    received: list[rollout_model.EvidenceCell]
    sent: list[messages.Request]

    async def deliver(self) -> None:
        """Send counts and wait until no message is on its way."""
        service = self.sender.app.service('exchange')
        service.send_evidence([CELL], [self.evaluator.name])
        await conftest.wait_until(lambda: not service._tasks)

    def answer_with(
        self,
        answer: Callable[[int, Handler, messages.Request], Awaitable],
    ) -> None:
        """Set how the evaluator answers the next messages with counts.

        :param answer: called with the number of the message, from 1, with the
            usual handler and with the message
        """
        server = self.evaluator.app.service('peer-server').server
        server.progress = None
        handle = server.handler

        async def record_and_answer(request):
            gossip = exchange.mesh_pb2.Gossip.FromString(request.body)
            if not gossip.evidence.cells:
                return await handle(request)
            self.sent.append(request)
            return await answer(len(self.sent), handle, request)

        server.handler = record_and_answer


@pytest.fixture
async def nodes(fleet, monkeypatch) -> Nodes:
    """Return two nodes that have sent all their other messages."""
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 1000.0)
    # A node that is marked as gone would soon refute that.
    monkeypatch.setattr(exchange, 'RECOVERY_CHECK_INTERVAL_S', 1000.0)
    monkeypatch.setattr(exchange, 'EVIDENCE_RETRY_PAUSE_S', 0.0)
    sender = await fleet.add()
    evaluator = await fleet.add()
    await fleet.wait_converged()
    services = [node.app.service('exchange') for node in fleet.nodes]
    await conftest.wait_until(
        lambda: all(
            service.is_registered
            and service._batch_timer is None
            and not service._tasks
            for service in services
        )
    )
    monkeypatch.setattr(exchange, 'MESSAGE_TIMEOUT_S', 0.2)
    received: list[rollout_model.EvidenceCell] = []
    evaluator.app.service('rollouts').merge_evidence = received.extend
    return Nodes(sender, evaluator, received, [])


async def _never() -> None:
    await asyncio.Event().wait()


@pytest.mark.parametrize('lost', ['message', 'reply'])
async def test_counts_without_a_reply_are_sent_again_and_count_once(
    nodes, lost
):
    """The sender can not tell a lost message from a lost reply."""

    async def lose_first(number, handle, request):
        if number == 1 and lost == 'message':
            await _never()
        response = await handle(request)
        if number == 1:
            await _never()
        return response

    nodes.answer_with(lose_first)
    await nodes.deliver()
    assert nodes.received == [CELL]
    assert len(nodes.sent) > 1


async def test_later_counts_do_not_wait_for_lost_ones(nodes, monkeypatch):
    """A fault of the new version must not be found later than before."""
    monkeypatch.setattr(exchange, 'MESSAGE_TIMEOUT_S', 1.0)

    async def lose_first(number, handle, request):
        if number == 1:
            await _never()
        return await handle(request)

    nodes.answer_with(lose_first)
    nodes.sender.app.service('exchange').send_evidence(
        [CELL], [nodes.evaluator.name]
    )
    await conftest.wait_until(lambda: nodes.sent)
    later = CELL._replace(window=2)
    nodes.sender.app.service('exchange').send_evidence(
        [later], [nodes.evaluator.name]
    )
    await conftest.wait_until(lambda: len(nodes.received) == 2)
    assert nodes.received == [later, CELL]


async def test_counts_are_not_sent_again_to_a_node_of_an_earlier_build(nodes):
    """It would count them twice if only the reply was lost."""

    async def lose_reply(number, handle, request):
        await handle(request)
        await _never()

    nodes.answer_with(lose_reply)
    nodes.sender.app.service('exchange')._recognizing_nodes.clear()
    await nodes.deliver()
    assert nodes.received == [CELL]
    assert len(nodes.sent) == 1


async def test_node_that_restarts_with_an_earlier_build_is_noticed(nodes):
    """What is known of a node ends with its incarnation."""

    async def lose_reply(number, handle, request):
        await _never()

    nodes.answer_with(lose_reply)
    membership = nodes.sender.app.service('membership')
    record = membership.get(nodes.evaluator.name)
    membership.merge(
        [record._replace(incarnation=record.incarnation + 1)], object()
    )
    await nodes.deliver()
    assert len(nodes.sent) == 1


async def test_number_of_messages_to_a_silent_evaluator_is_bounded(
    nodes, monkeypatch
):
    """Messages to a node that is not heard add to the load of a full link."""
    monkeypatch.setattr(exchange, 'MESSAGE_TIMEOUT_S', 0.01)

    async def lose(number, handle, request):
        await _never()

    nodes.answer_with(lose)
    await nodes.deliver()
    assert len(nodes.sent) <= exchange.EVIDENCE_SEND_COUNT


async def test_lost_evaluator_gets_no_further_messages(nodes):
    """Another node takes the place of an evaluator that is gone."""
    membership = nodes.sender.app.service('membership')

    async def lose(number, handle, request):
        membership.merge(
            [membership.get(nodes.evaluator.name)._replace(gone=True)],
            object(),
        )
        await _never()

    nodes.answer_with(lose)
    await nodes.deliver()
    assert len(nodes.sent) == 1


async def test_counts_of_an_earlier_build_all_count(nodes):
    """A node of an earlier build sends each message once, without a name."""
    gossip = exchange.mesh_pb2.Gossip()
    gossip.evidence.CopyFrom(exchange.rollout_wire.delta_to_message([CELL]))
    service = nodes.evaluator.app.service('exchange')
    for _ in range(2):
        service.received(gossip.SerializeToString())
    assert nodes.received == [CELL, CELL]


def test_batches_are_forgotten_after_their_last_message():
    """A node that evaluates for days must not keep all names."""
    now = [0.0]
    log = batch_log.BatchLog(lambda: now[0])
    assert log.add('a')
    now[0] = batch_log.KEEP_S - 1
    assert log.add('b')
    assert not log.add('a')
    now[0] += 1
    assert log.add('c')
    assert list(log._arrived_at) == ['b', 'c']


def test_batches_are_kept_while_they_are_sent():
    """The last message of a batch must find the record of the first one."""
    assert batch_log.KEEP_S > exchange.EVIDENCE_SEND_COUNT * (
        exchange.MAX_MESSAGE_S + exchange.EVIDENCE_RETRY_PAUSE_S
    )
