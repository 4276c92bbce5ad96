"""Checks of nodes that may be unreachable, and the records in messages.

The tests guard against a running node that is marked as gone, because that
removes its worker from routing on all nodes, and against a lost node that
stays in routing for long.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from damaskpier.fleet import check_timing
from damaskpier.fleet import exchange
from damaskpier.mesh import wire
from damaskpier.rpc import mesh_pb2
from damaskpier.traffic import ejection

from tests.test_fleet import conftest

# Time within which a lost node was found before the messages of a check were
# given the whole time of the check.
DETECTION_LIMIT_S = 1.4


@pytest.fixture(autouse=True)
def no_anti_entropy(monkeypatch):
    """Leave the messages between nodes to the tests."""
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 1000.0)


async def _make_quiet_nodes(fleet, count=2):
    """Return nodes that have sent all their messages to each other."""
    nodes = [await fleet.add() for _ in range(count)]
    await fleet.wait_converged()
    await _wait_quiet(nodes)
    return nodes


async def _wait_quiet(nodes):
    services = [node.app.service('exchange') for node in nodes]
    await conftest.wait_until(
        lambda: all(
            service.is_registered
            and service._batch_timer is None
            and not service._tasks
            for service in services
        )
    )


def _record(first, second):
    return first.app.service('membership').get(second.name)


async def _check(first, record):
    """Run a check of a node to its end."""
    service = first.app.service('exchange')
    service.check_node(record)
    await conftest.wait_until(lambda: not service._checks)


def _answer_with(node, answer):
    """Let a node answer messages only when a coroutine function returns.

    Until then, the node sends nothing.

    :param answer: called with the number of the message
    """
    server = node.app.service('peer-server').server
    # Interim responses would show that the node is alive.
    server.progress = None
    handle = server.handler
    count = 0

    async def wait_and_handle(request):
        nonlocal count
        count += 1
        await answer(count)
        return await handle(request)

    server.handler = wait_and_handle


async def test_answer_after_the_second_message_is_accepted(fleet):
    """Answers over a link that is full take longer than usual.

    A check that gives up its first message before it sends the second one
    would need an answer in the shorter time.
    """
    first, second = await _make_quiet_nodes(fleet)
    second_arrived = asyncio.Event()

    async def answer_first_after_second(number):
        if number > 1:
            second_arrived.set()
            await asyncio.Event().wait()
        await second_arrived.wait()

    _answer_with(second, answer_first_after_second)
    await _check(first, _record(first, second))
    assert second_arrived.is_set()
    assert not _record(first, second).gone


async def test_node_that_sends_a_message_is_not_marked_as_gone(fleet):
    """A message of the node during the check shows that it is running."""
    first, second = await _make_quiet_nodes(fleet)

    async def send_but_never_answer(number):
        second.app.service('membership').republish_local()
        await asyncio.Event().wait()

    _answer_with(second, send_but_never_answer)
    await _check(first, _record(first, second))
    assert not _record(first, second).gone


@contextlib.contextmanager
def _silent_port(accepts):
    """Yield a port at which nothing answers.

    :param accepts: whether the kernel still accepts connections there; if
        not, connecting hangs as it does to a node without power
    """
    with contextlib.ExitStack() as stack:
        sock = stack.enter_context(socket.socket())
        sock.bind((conftest.HOST, 0))
        sock.listen(100 if accepts else 0)
        port = sock.getsockname()[1]
        if not accepts:
            # Fills the queue of connections.
            stack.enter_context(
                socket.create_connection((conftest.HOST, port))
            )
        yield port


@pytest.mark.parametrize('accepts', [True, False])
async def test_lost_node_is_marked_as_gone_in_time(fleet, accepts):
    """A node without power must not stay in routing for longer."""
    first, second = await _make_quiet_nodes(fleet)
    with _silent_port(accepts) as port:
        record = _record(first, second)._replace(rpc_port=port)
        timing = first.app.service('exchange')._check_timing
        assert timing.duration_s(record.node_id) <= DETECTION_LIMIT_S
        await _check(first, record)
    assert _record(first, second).gone


def _answer_late(node, delay_ratio):
    """Let a node answer after this multiple of the time of a check."""
    delay_s = delay_ratio * check_timing.CHECK_DURATION_S

    async def wait(number):
        await asyncio.sleep(delay_s)

    _answer_with(node, wait)


async def test_node_that_refuted_a_tombstone_gets_more_time(fleet):
    """A node behind a full link is silent again soon after its refutation."""
    first, second = await _make_quiet_nodes(fleet)
    membership = first.app.service('membership')
    membership.mark_gone([second.name])
    await conftest.wait_until(lambda: not _record(first, second).gone)
    await _wait_quiet([first, second])
    _answer_late(second, 1.5)
    await _check(first, _record(first, second))
    assert not _record(first, second).gone


async def test_restarted_node_gets_the_usual_time(fleet):
    """The start of a lost node says nothing about its link."""
    first, second = await _make_quiet_nodes(fleet)
    membership = first.app.service('membership')
    record = _record(first, second)
    membership.mark_gone([second.name])
    membership.merge([record._replace(incarnation=record.incarnation + 1)])
    _answer_late(second, 1.5)
    await _check(first, record)
    assert _record(first, second).gone


async def test_time_after_a_refutation_is_limited(fleet, monkeypatch):
    """A node that refuted long ago must be found as fast as others."""
    first, second = await _make_quiet_nodes(fleet)
    monkeypatch.setattr(check_timing, 'REFUTATION_MEMORY_S', 0.0)
    membership = first.app.service('membership')
    membership.mark_gone([second.name])
    await conftest.wait_until(lambda: not _record(first, second).gone)
    await _wait_quiet([first, second])
    _answer_late(second, 1.5)
    await _check(first, _record(first, second))
    assert _record(first, second).gone


async def test_node_that_gets_few_answers_waits_longer(fleet):
    """A node behind a full link must not blame the others.

    All of them seem silent to it, while they hear each other.
    """
    first, second, third = await _make_quiet_nodes(fleet, 3)
    service = first.app.service('exchange')
    _answer_late(second, 1.5)
    _answer_late(third, 1.5)
    answered = await asyncio.gather(
        *(service._sync(_record(first, third)) for _ in range(5))
    )
    assert not any(answered)
    await _check(first, _record(first, second))
    assert not _record(first, second).gone


async def test_lost_nodes_do_not_extend_checks(fleet):
    """After a failure of many nodes, all of them must be found in time.

    Messages to nodes that are being checked or are marked as gone say nothing
    about the link of this node.
    """
    first, second, third = await _make_quiet_nodes(fleet, 3)
    service = first.app.service('exchange')
    _answer_late(second, 1.5)
    _answer_late(third, 1.5)
    membership = first.app.service('membership')
    membership.merge([_record(first, third)._replace(gone=True)], object())
    await asyncio.gather(
        *(service._sync(_record(first, third)) for _ in range(5))
    )
    await _check(first, _record(first, second))
    assert _record(first, second).gone


async def test_node_that_gets_few_answers_ejects_no_other(fleet):
    """Attempts that are silent behind the own full link prove nothing.

    The router must ask for what is known of the messages to all nodes.
    """
    first, second, third = await _make_quiet_nodes(fleet, 3)
    service = first.app.service('exchange')
    _answer_late(second, 1.5)
    _answer_late(third, 1.5)
    await asyncio.gather(
        *(service._sync(_record(first, third)) for _ in range(5))
    )
    selector = first.app.service('router')._selector('reads', '')
    selector.update([_record(first, second), _record(first, third)])
    worker = selector.pick(0.0)
    for _ in range(ejection.MAX_UNANSWERED_COUNT):
        selector.record_silence(worker)
    assert selector._ejector.weight(worker.key) == 1.0


def _log_conversions(monkeypatch):
    """Return the identifiers of the nodes whose records are converted."""
    converted = []
    convert = wire.record_from_pb

    def convert_and_log(msg):
        converted.append(msg.node_id)
        return convert(msg)

    monkeypatch.setattr(wire, 'record_from_pb', convert_and_log)
    return converted


async def test_known_records_of_a_message_are_not_converted(
    fleet, monkeypatch
):
    """Every node answers one that starts with the records of all nodes.

    Converting all of them from each answer takes time that grows with the
    square of the fleet.
    """
    first, second = await _make_quiet_nodes(fleet)
    known = first.app.service('membership').all_records()
    assert len(known) == 2
    unknown = known[0]._replace(node_id='node-unknown')
    newer = known[0]._replace(seq=known[0].seq + 1)
    converted = _log_conversions(monkeypatch)
    receiver = second.app.service('exchange')
    for records, expected in (
        # A node always looks at its own record.
        (known, [second.name]),
        ([unknown, *known], [unknown.node_id, second.name]),
        ([unknown], []),
        ([newer], [newer.node_id]),
        ([newer._replace(gone=True)], [newer.node_id]),
        ([newer], []),
    ):
        converted.clear()
        gossip = mesh_pb2.Gossip(membership=wire.delta_to_pb(records))
        receiver.received(gossip.SerializeToString())
        assert sorted(converted) == sorted(expected)
    membership = second.app.service('membership')
    assert membership.get(unknown.node_id) == unknown
    assert membership.get(newer.node_id) == newer._replace(gone=True)


async def test_reply_with_a_new_record_is_converted_once(fleet, monkeypatch):
    """The records of a reply are also compared with those of the node.

    Converting them again for that doubles the time.
    """
    first, second = await _make_quiet_nodes(fleet)
    record = _record(first, second)
    second.app.service('membership').merge(
        [record._replace(node_id='node-new')], 'another node'
    )
    converted = _log_conversions(monkeypatch)
    assert await first.app.service('exchange')._sync(record)
    assert converted.count('node-new') == 1
