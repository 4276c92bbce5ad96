"""Records of the attempts that other nodes may ask for.

The tests guard against "not received" for an attempt that has run, and
against records that grow without bound.
"""

from __future__ import annotations

import asyncio

import pytest

from damaskpier import errors
from damaskpier.fleet import attempts
from damaskpier.fleet import peer_call
from damaskpier.fleet import peers
from damaskpier.http1 import client
from damaskpier.traffic import messages

from tests.test_fleet import conftest

REQUEST = messages.Request(
    'r1', 'read', 'reads', '', 'GET', '/read/1', (), b'', 0.0, 0, True
)


class Worker:
    """Local worker that answers when the test allows it."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.started = 0
        self.cancelled = 0
        self.body = b'ok'
        self.may_answer = asyncio.Event()

    async def call(self, request: messages.Request) -> messages.Reply:
        """Run a request."""
        self.started += 1
        try:
            await self.may_answer.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return messages.Reply(messages.Answer(200, (), self.body))


@pytest.fixture
async def worker() -> Worker:
    """Return a worker."""
    return Worker()


@pytest.fixture
async def records(worker) -> attempts.Attempts:
    """Return the records of a node that has run for a long time."""
    made = attempts.Attempts(worker.call, lambda: worker.now)
    worker.now += 1000.0
    return made


async def _start(records: attempts.Attempts, token: str) -> asyncio.Task:
    task = asyncio.create_task(records.run(token, REQUEST))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return task


async def test_running_attempt_survives_the_loss_of_its_connection(
    records, worker
):
    """An attempt goes on while any connection waits for it."""
    first = await _start(records, 't1')
    second = asyncio.create_task(records.find('t1', 0.5))
    await asyncio.sleep(0)
    first.cancel()
    await asyncio.wait((first,))
    worker.may_answer.set()
    assert (await second).result.body == b'ok'
    assert (worker.started, worker.cancelled) == (1, 0)


async def test_attempt_that_no_connection_waits_for_is_cancelled(
    records, worker
):
    """It is not reported as not received afterwards, because it has run."""
    task = await _start(records, 't1')
    task.cancel()
    await asyncio.wait((task,))
    await asyncio.sleep(0)
    assert worker.cancelled == 1
    assert await records.find('t1', 0.5) is None


async def test_reply_is_kept_after_the_attempt(records, worker):
    """The reply may have been lost with its connection."""
    worker.may_answer.set()
    await records.run('t1', REQUEST)
    assert (await records.find('t1', 0.5)).result.body == b'ok'
    assert worker.started == 1


async def test_attempt_that_was_not_received_never_runs(records, worker):
    """An attempt that arrives after the question for it is refused."""
    worker.may_answer.set()
    found = (await records.find('t1', 0.5)).result
    assert found.code is errors.CALL_CONNECT
    assert found.run is errors.RunState.NOT_RUN
    late = (await records.run('t1', REQUEST)).result
    assert late.run is errors.RunState.NOT_RUN
    assert not worker.started


async def test_attempt_from_before_the_start_of_the_node_is_not_known(worker):
    """The earlier process of a restarted node may have run the attempt."""
    records = attempts.Attempts(worker.call, lambda: worker.now)
    worker.now += 10.0
    assert await records.find('t1', 11.0) is None
    # The question may have been under way for a while: a node has two
    # timeouts for it.
    slowest_s = 2 * peer_call.QUESTION_TIMEOUT_S
    assert await records.find('t1', 10.0 - slowest_s) is None
    assert await records.find('t1', 1.0) is not None


async def test_dropped_records_are_not_taken_for_missing_attempts(
    records, worker, monkeypatch
):
    """With a full table, an unknown attempt may have run."""
    monkeypatch.setattr(attempts, 'MAX_ENDED_COUNT', 3)
    worker.may_answer.set()
    for number in range(5):
        await records.run(f't{number}', REQUEST)
    assert len(records._ended) == 3
    assert await records.find('t0', 0.5) is None
    assert await records.find('other', 0.5) is None
    worker.now += attempts.MAX_QUESTION_DELAY_S + 1.0
    assert await records.find('other', 0.5) is not None


async def test_records_expire(records, worker):
    """Ended attempts are dropped when no caller waits for them any more."""
    worker.may_answer.set()
    await records.run('t1', REQUEST)
    worker.now += attempts.KEEP_S + 1.0
    await records.run('t2', REQUEST)
    assert list(records._ended) == ['t2']
    assert await records.find('t1', attempts.KEEP_S + 1.0) is None


async def test_bodies_of_kept_replies_are_bounded(
    records, worker, monkeypatch
):
    """The oldest bodies are dropped; their attempts stay recorded."""
    monkeypatch.setattr(attempts, 'MAX_BYTES', 250)
    worker.body = b'x' * 100
    worker.may_answer.set()
    for number in range(4):
        await records.run(f't{number}', REQUEST)
    assert await records.find('t0', 0.5) is None
    assert (await records.find('t3', 0.5)).result.body == worker.body
    assert records._ended_bytes <= attempts.MAX_BYTES


async def test_reply_that_is_ready_survives_the_loss_of_its_connection(
    records, worker
):
    """The upstream has answered when the connection is lost."""
    task = await _start(records, 't1')
    inner = records._running['t1'].task
    worker.may_answer.set()
    while not inner.done():
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait((task,))
    assert (await records.find('t1', 0.5)).result.body == b'ok'


async def test_cancelled_attempt_ends_although_a_connection_waits(
    records, worker
):
    """The connection gets a result, so that its server does not keep it."""
    task = await _start(records, 't1')
    records.cancel('t1')
    assert (await task).result.run is errors.RunState.UNKNOWN
    assert worker.cancelled == 1
    assert await records.find('t1', 0.5) is None


async def test_attempt_that_arrives_after_its_cancellation_never_runs(
    records, worker
):
    """The cancellation may overtake the request."""
    records.cancel('t1')
    late = (await records.run('t1', REQUEST)).result
    assert late.run is errors.RunState.NOT_RUN
    assert not worker.started


async def test_cancellation_of_an_ended_attempt_keeps_its_reply(
    records, worker
):
    """The attempt has run, so that it must not count as not received."""
    worker.may_answer.set()
    await records.run('t1', REQUEST)
    records.cancel('t1')
    assert (await records.find('t1', 0.5)).result.body == b'ok'


async def test_answer_404_is_told_from_an_unknown_attempt(fleet):
    """An answer 404 on another connection was taken for a lost attempt."""
    node = await fleet.add()
    await fleet.wait_converged()
    peer_server = node.app.service('peer-server')
    port = peer_server.server.port
    answer = messages.Answer(404, (('X-Server-Stamp', 's'),), b'no book')

    async def call(request: messages.Request) -> messages.Reply:
        return messages.Reply(answer)

    peer_server._attempts._call = call
    await peer_server._attempts.run('t-1', None)
    found = {}
    for token in ('t-1', 't-2'):
        exchange = peers._make_exchange(REQUEST, conftest.HOST, token, 0.0)
        response = await client.Pool(conftest.HOST, port).request(
            exchange.question(60.0),
            client.Options(asyncio.get_running_loop().time() + 5.0),
        )
        found[token] = exchange.decode_found(response)
    assert found['t-1'].reply.result == answer
    assert found['t-2'].reply is None
