"""Requests to nodes that can not be heard.

The tests guard against requests that are given up while their upstream runs
them, as in docs/incidents/cedarline-grown-lost.md, and against "not run" for
a request that runs later.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from damaskpier import errors
from damaskpier.fleet import attempts
from damaskpier.fleet import model
from damaskpier.fleet import peer_call
from damaskpier.fleet import peers
from damaskpier.http1 import client
from damaskpier.http1 import messages
from damaskpier.http1 import server
from damaskpier.traffic import messages as traffic_messages

from tests.test_fleet import conftest
from tests.test_fleet import relay as relay_module
from tests.test_fleet import virtual_time


@pytest.fixture
async def relay(monkeypatch) -> AsyncIterator[relay_module.Relay]:
    """Yield a relay; silence is noticed soon, after several messages."""
    monkeypatch.setattr(peer_call, 'SILENCE_TIMEOUT_S', 0.05)
    monkeypatch.setattr(peer_call, 'STALL_TIMEOUT_S', 0.1)
    monkeypatch.setattr(peer_call, 'QUESTION_TIMEOUT_S', 0.1)
    monkeypatch.setattr(peer_call, 'QUESTION_INTERVAL_S', 0.01)
    monkeypatch.setattr(peers, 'PROGRESS', server.Progress(0.005, 0.005))
    # The nodes of the tests have just started.
    monkeypatch.setattr(attempts, 'MAX_QUESTION_DELAY_S', 0.0)
    made = relay_module.Relay()
    yield made
    await made.stop()


def _pause_upstream(node: conftest.Node) -> asyncio.Event:
    """Make an upstream wait for the returned event before it answers."""
    resume = asyncio.Event()

    async def wait(request: messages.Request) -> messages.Response:
        await resume.wait()
        return node.upstream.signed(200, node.upstream.instance.encode())

    node.upstream.answer = wait
    return resume


@pytest.mark.parametrize('target', ['/read/1', '/write/1'])
async def test_silence_does_not_end_a_request_that_its_upstream_runs(
    fleet, relay, target
):
    """A request must get the answer of its upstream after any silence.

    All data between the nodes is held back while the upstream is at work, as
    on a link that is full.
    """
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    resume = _pause_upstream(other)
    task = asyncio.create_task(caller.request(target, 'POST'))
    await conftest.wait_until(lambda: other.upstream.ran)
    relay.silent = True
    relay.silence()
    opened = relay.opened
    await conftest.wait_until(lambda: relay.opened > opened + 1 or task.done())
    resume.set()
    relay.resume()
    assert (await task).body == b'i-1'
    assert len(other.upstream.ran) == 1


async def test_answer_arrives_over_another_connection(fleet, relay):
    """A connection that is silent for good must not cost the answer."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    resume = _pause_upstream(other)
    task = asyncio.create_task(caller.request('/write/1', 'POST'))
    await conftest.wait_until(lambda: other.upstream.ran)
    relay.silence()
    resume.set()
    assert (await task).body == b'i-1'
    assert len(other.upstream.ran) == 1


async def test_request_that_was_not_received_runs_on_another_worker(
    fleet, relay
):
    """A request that never arrived may run elsewhere, whatever its kind.

    It must not run when it arrives late.
    """
    caller = await fleet.add('pages', domain='a')
    other = await fleet.add('reads', domain='a')
    third = await fleet.add('reads', domain='b')
    await fleet.wait_converged()
    relay.silent = True
    await relay.insert(caller, other)
    task = asyncio.create_task(caller.request('/write/1', 'POST'))
    await conftest.wait_until(lambda: relay.opened)
    relay.silent = False
    assert (await task).body == b'i-2'
    relay.resume()
    # The late request has been read when a later one has been answered.
    assert (await caller.request('/write/2', 'POST')).status == 200
    assert all(item.target == '/write/2' for item in other.upstream.ran)
    assert third.upstream.ran[0].target == '/write/1'


async def test_late_request_is_refused_after_it_was_reported_as_not_received(
    fleet, relay
):
    """ "Not run" must stay true when the request arrives after all."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    relay.silent = True
    await relay.insert(caller, other)
    records = other.app.service('peer-server')._attempts
    refused = []
    run = records.run

    async def observe(token, request):
        reply = await run(token, request)
        refused.append(reply.result)
        return reply

    records.run = observe
    peers_service = caller.app.service('peers')
    held = peers_service.pool(caller.app.service('membership').get(other.name))
    task = asyncio.create_task(caller.request('/write/1', 'POST'))
    await conftest.wait_until(lambda: relay.opened)
    relay.silent = False
    response = await task
    assert response.status == 503
    # The request arrives on a connection that its sender has closed.
    relay.resume()
    held.close_idle()
    await conftest.wait_until(lambda: refused)
    assert not other.upstream.ran


async def test_repeatable_request_runs_elsewhere_while_its_node_is_silent(
    fleet, relay
):
    """A node without power must not hold a request that may run again."""
    caller = await fleet.add('pages', domain='a')
    other = await fleet.add('reads', domain='a')
    await fleet.add('reads', domain='b')
    await fleet.wait_converged()
    relay.silent = True
    await relay.insert(caller, other)
    assert (await caller.request('/read/1')).body == b'i-2'
    assert not other.upstream.ran


async def test_request_that_must_not_run_twice_waits_for_its_deadline(
    fleet, relay
):
    """Without an answer the caller learns that the request may have run."""
    caller = await fleet.add('pages', domain='a')
    other = await fleet.add('reads', domain='a')
    third = await fleet.add('reads', domain='b')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    _pause_upstream(other)
    task = asyncio.create_task(
        caller.request('/write/1', 'POST', deadline_ms=400)
    )
    await conftest.wait_until(lambda: other.upstream.ran)
    relay.silent = True
    relay.silence()
    assert (await task).status == 504
    assert not third.upstream.ran


async def test_failed_answer_is_not_held_back_for_a_silent_node(fleet, relay):
    """The answer of another worker is passed on although it is a failure.

    The deadline, an hour from now, does not end the wait.
    """
    fleet.store.put(
        conftest.make_configuration(
            2, (conftest.make_route(timeout_s=3600.0),)
        )
    )
    caller = await fleet.add('pages', domain='a')
    other = await fleet.add('reads', domain='a')
    third = await fleet.add('reads', domain='b')
    await fleet.wait_converged()

    async def fail(request):
        return third.upstream.signed(500, b'failed')

    third.upstream.answer = fail
    relay.silent = True
    await relay.insert(caller, other)
    response = await caller.request('/read/1', deadline_ms=3_600_000)
    assert (response.status, response.body) == (500, b'failed')


async def test_caller_that_leaves_during_a_silence_cancels_its_request(
    fleet, relay
):
    """The upstream must not work on for a caller that has left."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    _pause_upstream(other)
    task = asyncio.create_task(caller.request('/write/1', 'POST'))
    await conftest.wait_until(lambda: other.upstream.ran)
    opened = relay.opened
    relay.silence()
    # The attempt is asked for on another connection, and found.
    await conftest.wait_until(lambda: relay.opened > opened)
    task.cancel()
    relay.resume()
    await conftest.wait_until(lambda: other.upstream.cancelled == 1)


async def test_caller_that_leaves_cancels_a_request_on_a_lost_connection(
    fleet, relay
):
    """A connection that is silent for good does not carry its own end.

    The upstream would work on for a caller that has left, because the
    connection still counts as waiting for the attempt. The deadline, an hour
    from now, does not end the attempt.
    """
    route = conftest.make_route(
        'write', kind=model.RouteKind.NON_IDEMPOTENT, timeout_s=3600.0
    )
    fleet.store.put(conftest.make_configuration(2, (route,)))
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    _pause_upstream(other)
    task = asyncio.create_task(
        caller.request('/write/1', 'POST', deadline_ms=3_600_000)
    )
    await conftest.wait_until(lambda: other.upstream.ran)
    relay.silence()
    await _wait_until_found(other)
    task.cancel()
    await conftest.wait_until(lambda: other.upstream.cancelled == 1)


async def test_older_node_that_refuses_a_cancellation_ends_it(fleet, relay):
    """A node of the previous build must not be asked until the deadline."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    _pause_upstream(other)
    refused = []
    # The server keeps the handler that it had when it was made.
    handle = other.app.service('peer-server').server.handler

    async def refuse(request):
        if request.method != 'DELETE':
            return await handle(request)
        refused.append(request)
        return messages.Response(400)

    other.app.service('peer-server').server.handler = refuse
    peers_service = caller.app.service('peers')
    task = asyncio.create_task(caller.request('/write/1', 'POST'))
    await conftest.wait_until(lambda: other.upstream.ran)
    relay.silence()
    await _wait_until_found(other)
    task.cancel()
    await conftest.wait_until(lambda: refused)
    await conftest.wait_until(lambda: not peers_service._cancellations)
    assert len(refused) == 1


@pytest.mark.parametrize('method', ['GET', peers.CANCEL_METHOD])
async def test_message_for_an_attempt_needs_its_token(fleet, method):
    """All messages without one would be taken for the same attempt."""
    node = await fleet.add('reads')
    peer_server = node.app.service('peer-server')
    response = await peer_server.server.handler(
        messages.Request(method, peers.ATTEMPT_PATH, ((peers.AGE, '1'),), b'')
    )
    assert response.status == 400
    assert not peer_server._attempts._ended


async def test_older_node_that_refuses_the_question_ends_no_request(
    fleet, relay
):
    """The refusal of a node of an older build says "not run" wrongly.

    It does not know the question and refuses it as a request without route.
    """
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    resume = _pause_upstream(other)
    asked = asyncio.Event()

    async def refuse(request, token):
        asked.set()
        return messages.Response(
            503, (('Damaskpier-Result', '3003'), ('Damaskpier-Run', 'not-run'))
        )

    other.app.service('peer-server')._find_attempt = refuse
    task = asyncio.create_task(caller.request('/write/1', 'POST'))
    await conftest.wait_until(lambda: other.upstream.ran)
    relay.silence()
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        await asked.wait()
    resume.set()
    relay.resume()
    assert (await task).body == b'i-1'


async def test_failure_of_the_upstream_stays_one_over_another_connection(
    fleet, relay
):
    """A 503 of the upstream itself does not mean that nothing has run.

    The request must not run on another worker, and its caller must not be
    told that it has not run.
    """
    caller = await fleet.add('pages', domain='a')
    other = await fleet.add('reads', domain='a')
    third = await fleet.add('reads', domain='b')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    resume = asyncio.Event()

    async def fail(request: messages.Request) -> messages.Response:
        await resume.wait()
        return other.upstream.signed(503, b'failed')

    other.upstream.answer = fail
    records = other.app.service('peer-server')._attempts
    task = asyncio.create_task(caller.request('/write/1', 'POST'))
    await conftest.wait_until(lambda: other.upstream.ran)
    opened = relay.opened
    relay.silent = True
    relay.silence()
    resume.set()
    # The question arrives after the end of the attempt.
    await conftest.wait_until(lambda: records._ended)
    relay.silent = False
    response = await task
    assert relay.opened > opened
    assert (response.status, response.body) == (503, b'failed')
    assert not third.upstream.ran


async def _wait_until_found(other: conftest.Node) -> None:
    """Wait until a question waits for the attempt that a node runs."""
    records = other.app.service('peer-server')._attempts
    await conftest.wait_until(
        lambda: any(item.waiting > 1 for item in records._running.values())
    )


async def test_found_attempt_survives_the_loss_of_its_connection(
    fleet, relay, monkeypatch
):
    """The kernel closes a connection that is silent for good.

    The question hears that the attempt runs, for longer than a last answer
    is waited for.
    """
    monkeypatch.setattr(peer_call, 'LAST_QUESTION_S', 0.5)
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    resume = _pause_upstream(other)
    task = asyncio.create_task(caller.request('/write/1', 'POST'))
    await conftest.wait_until(lambda: other.upstream.ran)
    relay.silence()
    await _wait_until_found(other)
    relay.lose_first_connection()
    loop = asyncio.get_running_loop()
    resume_at = loop.time() + 1.5 * peer_call.LAST_QUESTION_S
    await conftest.wait_until(lambda: loop.time() > resume_at)
    resume.set()
    assert (await task).body == b'i-1'
    assert len(other.upstream.ran) == 1


async def test_lost_connection_does_not_hold_a_request_past_its_deadline(
    fleet, relay, monkeypatch
):
    """The wait for a last answer ends at the deadline."""
    monkeypatch.setattr(peer_call, 'LAST_QUESTION_S', 3600.0)
    asked = asyncio.Event()
    ask = peer_call.PeerCall._ask

    async def observe(call):
        asked.set()
        return await ask(call)

    monkeypatch.setattr(peer_call.PeerCall, '_ask', observe)
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    _pause_upstream(other)
    task = asyncio.create_task(
        caller.request('/write/1', 'POST', deadline_ms=1000)
    )
    await conftest.wait_until(lambda: other.upstream.ran)
    relay.silent = True
    relay.silence()
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        await asked.wait()
    relay.lose_first_connection()
    assert (await task).status == 502


async def test_request_without_record_ends_with_its_connection(
    fleet, relay, monkeypatch
):
    """There is nothing to wait for after "no record" and a lost connection.

    Neither the deadline nor the wait for a last answer ends the request.
    """
    monkeypatch.setattr(peer_call, 'LAST_QUESTION_S', 3600.0)
    route = conftest.make_route(
        'write', kind=model.RouteKind.NON_IDEMPOTENT, timeout_s=3600.0
    )
    fleet.store.put(conftest.make_configuration(2, (route,)))
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    _pause_upstream(other)
    asked = asyncio.Event()

    async def find(token, age_s):
        asked.set()

    other.app.service('peer-server')._attempts.find = find
    task = asyncio.create_task(
        caller.request('/write/1', 'POST', deadline_ms=3_600_000)
    )
    await conftest.wait_until(lambda: other.upstream.ran)
    relay.silence()
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        await asked.wait()
    relay.lose_first_connection()
    assert (await task).status == 502


async def test_refused_question_is_asked_again(fleet, relay):
    """A refusal of the question says nothing of the attempt.

    The node had no memory for the question, for example.
    """
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    await relay.insert(caller, other)
    resume = _pause_upstream(other)
    peer_server = other.app.service('peer-server')
    find = peer_server._find_attempt
    asked = []

    async def refuse_once(request, token):
        asked.append(token)
        if len(asked) == 1:
            return messages.Response(503, (), b'no memory')
        return await find(request, token)

    peer_server._find_attempt = refuse_once
    task = asyncio.create_task(caller.request('/write/1', 'POST'))
    await conftest.wait_until(lambda: other.upstream.ran)
    relay.silence()
    await conftest.wait_until(lambda: len(asked) > 1)
    resume.set()
    assert (await task).body == b'i-1'


async def test_request_that_is_being_received_is_not_refused(fleet, relay):
    """A body that takes longer than the silence timeout must arrive.

    No interim response is sent before the request is complete.
    """
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    relay.copy_delay_s = 0.03
    await relay.insert(caller, other)
    response = await caller.request('/write/1', 'POST', body=b'x' * 1_000_000)
    assert response.body == b'i-1'
    assert len(other.upstream.ran) == 1


async def test_answer_that_has_arrived_starts_no_other_attempt(fleet):
    """Two attempts end in one turn, the first one with a failure."""
    fleet.store.put(
        conftest.make_configuration(2, (conftest.make_route(max_attempts=3),))
    )
    caller = await fleet.add('pages', domain='a')
    for domain in 'abc':
        await fleet.add('reads', domain=domain)
    await fleet.wait_converged()
    calls = []
    end = asyncio.Event()

    async def call(record, request, observer=None):
        calls.append(record.node_id)
        if len(calls) == 1:
            observer.on_stall()
            await end.wait()
            return traffic_messages.Reply(
                traffic_messages.Answer(500, (), b'')
            )
        end.set()
        await asyncio.sleep(0)
        return traffic_messages.Reply(traffic_messages.Answer(200, (), b'ok'))

    caller.app.service('peers').call = call
    assert (await caller.request('/read/1')).body == b'ok'
    assert len(calls) == 2


@pytest.fixture
def slow_stalls(monkeypatch) -> None:
    """Make the limits that do not depend on the deadline exceed it."""
    monkeypatch.setattr(peer_call, 'STALL_TIMEOUT_S', 3600.0)
    monkeypatch.setattr(peer_call, 'SILENCE_TIMEOUT_S', 3600.0)


async def test_short_request_is_answered_when_many_nodes_lose_power(
    fleet, slow_stalls
):
    """Many nodes lose power at the same moment, here all in a domain.

    A call with a short deadline must not spend all of it on the first one.
    """
    caller = await fleet.add('pages', domain='a')
    lost = [await fleet.add('reads', domain='a') for _ in range(2)]
    await fleet.add('reads', domain='b')
    await fleet.wait_converged()
    relays = [relay_module.Relay() for _ in lost]
    try:
        for node, relay_ in zip(lost, relays, strict=True):
            relay_.silent = True
            await relay_.insert(caller, node)
        response = await caller.request('/read/1', deadline_ms=2000)
        assert response.body == b'i-3'
        assert not any(node.upstream.ran for node in lost)
    finally:
        for relay_ in relays:
            await relay_.stop()


async def test_short_request_that_must_not_run_twice_has_one_attempt(
    fleet, slow_stalls
):
    """An early stall proves nothing about a request that was sent."""
    caller = await fleet.add('pages', domain='a')
    other = await fleet.add('reads', domain='a')
    third = await fleet.add('reads', domain='b')
    await fleet.wait_converged()
    relay_ = relay_module.Relay()
    relay_.silent = True
    await relay_.insert(caller, other)
    try:
        response = await caller.request('/write/1', 'POST', deadline_ms=1000)
        assert response.status == 504
        assert not third.upstream.ran
    finally:
        await relay_.stop()


def test_connecting_uses_a_part_of_a_short_deadline(monkeypatch):
    """Connections to nodes without power hang until they are given up.

    A request that was not sent may go to another node. There must be time for
    two more attempts.
    """

    async def hang(loop, *args, **kwargs):
        await asyncio.sleep(3600.0)

    monkeypatch.setattr(asyncio.BaseEventLoop, 'create_connection', hang)

    async def call() -> tuple[traffic_messages.Reply, float]:
        loop = asyncio.get_running_loop()
        exchange = peer_call.Exchange(b'', lambda age_s: b'', b'', None, None)
        call = peer_call.PeerCall(
            client.Pool(conftest.HOST, 1), exchange, 'r1', loop.time() + 0.8
        )
        return await call.run(), loop.time()

    reply, ended_at = virtual_time.run(call())
    assert reply.result.code is errors.CALL_CONNECT
    assert reply.result.run is errors.RunState.NOT_RUN
    assert ended_at < 0.8 / 3
