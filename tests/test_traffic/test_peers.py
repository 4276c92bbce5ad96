"""Tests of the connections between nodes."""

from __future__ import annotations

import asyncio
import random
import time

from grpclib import client as grpc_client
from grpclib import server as grpc_server
import pytest

from damaskpier import errors
from damaskpier.mesh import model
from damaskpier.rpc import mesh_grpc
from damaskpier.rpc import mesh_pb2
from damaskpier.traffic import messages
from damaskpier.traffic import peers
from tests import streams
from tests.test_traffic import conftest


class Relay:
    """Forwards TCP connections; can drop the data of those that are open."""

    def __init__(self, target_port):
        self.open = []
        self._target = target_port

    def silence(self):
        for flag in self.open:
            flag.clear()

    async def serve(self, reader, writer):
        flag = asyncio.Event()
        flag.set()
        self.open.append(flag)
        there = await asyncio.open_connection('127.0.0.1', self._target)
        try:
            await asyncio.gather(
                self._copy(flag, reader, there[1]),
                self._copy(flag, there[0], writer),
            )
        finally:
            await streams.abort(there[1])

    async def _copy(self, flag, reader, writer):
        while data := await reader.read(65536):
            if flag.is_set():
                writer.write(data)
        writer.close()


class Handler(mesh_grpc.CallsBase, mesh_grpc.MeshBase):
    """Handler that answers each call when the test sets its event."""

    def __init__(self):
        self.release = {}
        self.cancelled = []
        self.arrived = []

    def __mapping__(self):
        return {
            **mesh_grpc.CallsBase.__mapping__(self),
            **mesh_grpc.MeshBase.__mapping__(self),
        }

    async def Call(self, stream):  # noqa: N802
        message = await stream.recv_message()
        event = self.release.setdefault(message.request_id, asyncio.Event())
        self.arrived.append(message.request_id)
        try:
            await event.wait()
        except asyncio.CancelledError:
            self.cancelled.append(message.request_id)
            raise
        body = message.request_id.encode() * 3000
        await stream.send_message(mesh_pb2.CallReply(status=200, body=body))

    async def Attach(self, stream):  # noqa: N802
        raise NotImplementedError

    async def Ping(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(mesh_pb2.PingReply())


@pytest.fixture
async def peer():
    """Return a handler behind a relay, the relay and a channel to it."""
    handler = Handler()
    server = grpc_server.Server([handler])
    await server.start('127.0.0.1', 0)
    relay = Relay(server._server.sockets[0].getsockname()[1])
    async with streams.serve(relay.serve, '127.0.0.1') as relay.port:
        record = model.NodeRecord(
            'n2', 1, 1, 'souss', 'souss-1', '127.0.0.1', relay.port, 0
        )
        channel = peers.Channel(record)
        yield handler, relay, channel
        channel.close()
    server.close()
    await server.wait_closed()


def request(request_id, seconds=30.0):
    """Return a request whose deadline is in some seconds."""
    return messages.Request(
        request_id,
        'get',
        'ledger',
        'v1',
        'GET',
        '/',
        (),
        b'',
        time.monotonic() + seconds,
        0,
        True,
    )


async def test_crossed_answers_reach_their_own_requests(peer):
    """Each call gets its own answer, whatever their order.

    The calls share one connection. They are answered in random order and a
    third of them is cancelled.
    """
    handler, _, channel = peer
    ids = [f'r{number:02}' for number in range(60)]
    calls = {
        name: asyncio.create_task(channel.call(request(name), 'n1'))
        for name in ids
    }
    await conftest.until(lambda: len(handler.arrived) == len(ids))
    random.Random(7).shuffle(ids)
    for number, name in enumerate(ids):
        if number % 3 == 0:
            calls[name].cancel()
        handler.release[name].set()
    for number, name in enumerate(ids):
        if number % 3 == 0:
            continue
        reply = await calls[name]
        assert reply.result.body == name.encode() * 3000


async def test_answer_of_a_cancelled_call_is_dropped(peer):
    """The late answer to a cancelled call is not given to the next call."""
    handler, _, channel = peer
    first = asyncio.create_task(channel.call(request('late'), 'n1'))
    await conftest.until(lambda: handler.arrived == ['late'])
    first.cancel()
    await conftest.until(lambda: handler.cancelled == ['late'])
    second = asyncio.create_task(channel.call(request('next'), 'n1'))
    await conftest.until(lambda: 'next' in handler.arrived)
    handler.release['late'].set()
    handler.release['next'].set()
    assert (await second).result.body == b'next' * 3000
    assert channel.outstanding == 0


async def test_silent_connection_is_closed_and_opened_again(peer, monkeypatch):
    """A connection whose peer answers neither calls nor pings is closed.

    The relay drops all data but keeps the connection open, so that calls would
    wait until their deadline. A new channel connects again.
    """
    monkeypatch.setattr(peers, 'SILENCE_TIMEOUT_S', 0.05)
    monkeypatch.setattr(peers, 'PING_TIMEOUT_S', 0.2)
    monkeypatch.setattr(peers, 'CHECK_INTERVAL_S', 0.01)
    handler, relay, channel = peer
    stuck = asyncio.create_task(channel.call(request('stuck'), 'n1'))
    await conftest.until(lambda: handler.arrived == ['stuck'])
    relay.silence()
    handler.release['stuck'].set()
    refusal = (await stuck).result
    assert refusal.code is errors.CALL_UNKNOWN
    assert refusal.run is errors.RunState.UNKNOWN
    assert channel.closed
    record = model.NodeRecord(
        'n2', 1, 1, 'souss', 'souss-1', '127.0.0.1', relay.port, 0
    )
    again = peers.Channel(record)
    handler.release['again'] = asyncio.Event()
    handler.release['again'].set()
    assert (await again.call(request('again'), 'n1')).result.status == 200
    again.close()


async def test_slow_answer_keeps_a_connection_that_pings(peer, monkeypatch):
    """A connection whose peer answers pings is kept while a call is slow."""
    monkeypatch.setattr(peers, 'SILENCE_TIMEOUT_S', 0.02)
    monkeypatch.setattr(peers, 'CHECK_INTERVAL_S', 0.005)
    handler, _, channel = peer
    pings = []
    original = channel._ping

    async def ping():
        pings.append(await original())
        return pings[-1]

    channel._ping = ping
    slow = asyncio.create_task(channel.call(request('slow'), 'n1'))
    await conftest.until(lambda: len(pings) >= 3)
    handler.release['slow'].set()
    assert (await slow).result.status == 200
    assert all(pings)


async def test_refused_connection_is_not_run(peer):
    """A call whose connection is refused is reported as not run.

    Nothing was sent, so the request may be retried even if it is not
    repeatable.
    """
    _, _, channel = peer
    record = model.NodeRecord(
        'n3', 1, 1, 'souss', 'souss-1', '127.0.0.1', 1, 0
    )
    refusal = (await peers.Channel(record).call(request('r'), 'n1')).result
    assert refusal.code is errors.CALL_CONNECT
    assert refusal.run is errors.RunState.NOT_RUN


async def test_deadline_after_sending_is_unknown(peer):
    """A call that times out after it was sent is reported as unknown.

    The peer has the request and may run it.
    """
    _, _, channel = peer
    refusal = (await channel.call(request('slow', 0.05), 'n1')).result
    assert refusal.code is errors.CALL_DEADLINE
    assert refusal.run is errors.RunState.UNKNOWN


async def test_unused_connection_is_closed(peer, monkeypatch):
    """A connection without calls is closed after the idle timeout.

    Otherwise connections to former peers would accumulate.
    """
    monkeypatch.setattr(peers, 'IDLE_TIMEOUT_S', 0.02)
    monkeypatch.setattr(peers, 'CHECK_INTERVAL_S', 0.005)
    handler, _, channel = peer
    handler.release['r'] = asyncio.Event()
    handler.release['r'].set()
    await channel.call(request('r'), 'n1')
    await conftest.until(lambda: channel.closed)


@pytest.mark.parametrize(
    ('step', 'run'),
    [
        ('send_request', errors.RunState.NOT_RUN),
        ('send_message', errors.RunState.UNKNOWN),
    ],
)
async def test_unexpected_error_reports_the_run_state(
    peer, monkeypatch, step, run
):
    """An unexpected error of the HTTP/2 library ends the call as a refusal.

    The run state depends on whether the message may have been sent.
    """
    _, _, channel = peer

    async def fail(self, *args, **kwargs):
        raise RuntimeError('stream closed')

    monkeypatch.setattr(grpc_client.Stream, step, fail)
    refusal = (await channel.call(request('r'), 'n1')).result
    assert refusal.run is run
    assert channel.outstanding == 0


@pytest.mark.parametrize('status', [0, 99, 199, 600, 999])
def test_invalid_status_from_a_node_is_no_answer(status):
    """Guards against a faulty status that another node passes on."""
    reply = peers._decode_reply(mesh_pb2.CallReply(status=status))
    assert reply.result.code is errors.CALL_UNKNOWN
    assert reply.result.run is errors.RunState.UNKNOWN
