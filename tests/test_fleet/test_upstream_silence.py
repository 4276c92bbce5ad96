"""Upstreams whose heartbeats are late.

The tests guard against a running upstream that leaves routing because its
heartbeats do not arrive, and against one that has ended and stays.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import errno
import functools
import socket

import pytest

from damaskpier import application
from damaskpier import config
from damaskpier.fleet import configuration
from damaskpier.fleet import departures
from damaskpier.fleet import evacuations
from damaskpier.fleet import model
from damaskpier.fleet import worker
from damaskpier.http1 import client
from damaskpier.http1 import messages
from damaskpier.mesh import membership
from damaskpier.mesh import timing
from damaskpier import metrics
from damaskpier.platform import headers
from damaskpier.traffic import messages as traffic_messages

from tests import streams
from tests.test_fleet import conftest
from tests.test_fleet import virtual_time

HEARTBEAT_S = 1.5
MAX_SILENCE_S = worker.MAX_MISSED_ANNOUNCEMENTS * HEARTBEAT_S
SIGNED = messages.Response(200, ((headers.SIGNATURE, 's'),))
# Longer than the buffers of a connection.
LONG_BODY = bytes(16 * 1024 * 1024)


class FakePool:
    """Pool of an upstream that gives the same answer to each request."""

    def __init__(self, outcome: messages.Response | messages.Failure) -> None:
        self.outcome = outcome

    async def request(self, data, options):
        """Return the answer."""
        return self.outcome

    def close_idle(self) -> None:
        """Close nothing."""


def _make_worker() -> worker.LocalWorker:
    """Return a worker without a node, on the clock of the loop."""
    cfg = config.loads(
        '[node]\nid = n\nregion = r\nfailure_domain = a\nservice = reads\n'
        '[platform]\naddress = 127.0.0.1:1\n'
        f'[fleet]\ngrace = 0.5\nheartbeat = {HEARTBEAT_S}\n'
        '[upstream]\naddress = 127.0.0.1:2\n'
    )
    app = application.make_application(
        cfg,
        (
            metrics.setup,
            lambda app: app.add_service('store', conftest.MemoryStore(None)),
            departures.setup,
            functools.partial(
                membership.setup,
                timing=timing.Timing(announce_expiry_s=1e9),
            ),
            configuration.setup,
            evacuations.setup,
        ),
    )
    app.service('departures').entry_read(
        model.DirectoryEntry(
            model.NodeAddress('n', '127.0.0.1', 1, 'r', 'a'), 1
        )
    )
    return worker.LocalWorker(
        app,
        headers.PlatformHeaderCodec(),
        asyncio.get_running_loop().time,
    )


def _request() -> traffic_messages.Request:
    return traffic_messages.Request(
        request_id='r1',
        route='read',
        service='reads',
        version='',
        method='GET',
        target='/read/1',
        headers=(),
        body=b'',
        deadline=float('inf'),
        depth=0,
        repeatable=True,
    )


def _announcement(instance: str = 'i') -> model.Announcement:
    return model.Announcement(
        instance, 'reads', 'v1', '127.0.0.1', 2, 4, False, 1, 1
    )


async def _serve_without_heartbeats(
    outcome: messages.Response | messages.Failure,
) -> worker.LocalWorker:
    """Send requests for twice the longest silence after one heartbeat."""
    service = _make_worker()
    loop = asyncio.get_running_loop()
    service.apply_announcement(_announcement())
    service._pool = FakePool(outcome)
    request = _request()._replace(deadline=3 * MAX_SILENCE_S)
    while loop.time() < 2 * MAX_SILENCE_S:
        await service.call(request)
        await asyncio.sleep(HEARTBEAT_S / 3)
    return service


def test_upstream_that_answers_stays_in_routing_without_heartbeats():
    """Its answers show that the upstream runs, late heartbeats nothing."""

    async def check():
        service = await _serve_without_heartbeats(SIGNED)
        assert service.announcement is not None
        # A crash ends the answers.
        await asyncio.sleep(1.1 * MAX_SILENCE_S)
        assert service.announcement is None

    virtual_time.run(check())


@pytest.mark.parametrize(
    'outcome',
    [
        messages.Response(200),
        messages.Response(421, SIGNED.headers),
        messages.Failure('reset', True),
    ],
)
def test_responses_of_others_do_not_keep_an_upstream_in_routing(outcome):
    """Another service may use the address of an upstream that has ended."""

    async def check():
        service = await _serve_without_heartbeats(outcome)
        assert service.announcement is None

    virtual_time.run(check())


def test_late_answer_of_an_earlier_instance_keeps_no_other_in_routing():
    """A request may outlast the instance that runs it."""

    async def check():
        service = _make_worker()
        service.apply_announcement(_announcement())
        service._pool = FakePool(SIGNED)
        known = service.announcement
        service.apply_announcement(
            _announcement('next')._replace(started_ms=2)
        )
        await asyncio.sleep(0.9 * MAX_SILENCE_S)
        service._record_answer(known)
        await asyncio.sleep(0.2 * MAX_SILENCE_S)
        assert service.announcement is None

    virtual_time.run(check())


async def _start_idle(fleet: conftest.Fleet) -> tuple[conftest.Node, list]:
    """Start a node whose upstream gets no requests.

    :returns: the node, and a list of the health checks of the upstream
    """
    cfg = conftest.make_configuration(2)
    spec = model.ServiceSpec('reads', 0, conftest.HEALTH_PATH)
    fleet.store.put(cfg._replace(services={'reads': spec}))
    node = await fleet.add(announces=False)
    await fleet.wait_converged()
    startup_check = node.app.service('startup-check')
    await conftest.wait_until(
        lambda: startup_check._task is not None and startup_check._task.done()
    )
    checks = []
    handle = node.upstream.server.handler

    async def record(request):
        checks.append(request)
        return await handle(request)

    node.upstream.server.handler = record
    node.app.service('worker')._heartbeat_s = 0.01
    assert node.announce()
    return node, checks


async def test_idle_upstream_is_asked_before_it_leaves_routing(fleet):
    """An upstream without requests can only be heard by asking it.

    After a crash, the check fails and the upstream is removed.
    """
    node, checks = await _start_idle(fleet)
    service = node.app.service('worker')
    await conftest.wait_until(
        lambda: len(checks) >= 3 or service.announcement is None
    )
    assert service.announcement is not None
    await node.upstream.server.stop(0.0)
    await conftest.wait_until(lambda: service.announcement is None)


@pytest.mark.parametrize('fault', ['another instance', 'failing'])
async def test_upstream_that_fails_the_health_check_is_removed(fleet, fault):
    """Only the upstream itself can show that it may get requests."""
    node, checks = await _start_idle(fleet)
    if fault == 'failing':
        node.upstream.is_healthy = False
    else:
        node.upstream.instance = 'next'
    service = node.app.service('worker')
    await conftest.wait_until(lambda: service.announcement is None)
    assert checks


async def test_draining_upstream_is_removed_without_a_health_check(fleet):
    """It gets no requests any more, whatever it would answer."""
    node, checks = await _start_idle(fleet)
    service = node.app.service('worker')
    node.announce(draining=True)
    seen = len(checks)
    await conftest.wait_until(lambda: service.announcement is None)
    assert len(checks) == seen


async def _wait_for_user_timeout(timeout_ms: int) -> None:
    """Wait until the kernel closes a connection whose peer does not read."""
    with socket.create_server((conftest.HOST, 0)) as listener:
        with socket.create_connection(listener.getsockname()) as sock:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    sock.send(LONG_BODY)
            await conftest.wait_until(
                lambda: (
                    sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                    == errno.ETIMEDOUT
                )
            )


async def test_upstream_that_reads_a_long_body_late_is_not_lost(monkeypatch):
    """A full receive buffer does not show that the upstream has ended.

    Its request would be cut while it runs, and the upstream would leave
    routing. The upstream reads when the kernel has closed another connection,
    to which a longer user timeout applies, for that reason.
    """
    monkeypatch.setattr(worker, 'USER_TIMEOUT_MS', 100)
    has_begun = asyncio.Event()
    may_read = asyncio.Event()

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        has_begun.set()
        await may_read.wait()
        await reader.readexactly(len(LONG_BODY))
        writer.write(messages.encode_response(SIGNED))

    async with streams.serve(run, conftest.HOST) as port:
        service = _make_worker()
        service.apply_announcement(_announcement()._replace(port=port))
        deadline = asyncio.get_running_loop().time() + conftest.TEST_TIMEOUT_S
        task = asyncio.create_task(
            service.call(
                _request()._replace(
                    method='POST', body=LONG_BODY, deadline=deadline
                )
            )
        )
        async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
            await has_begun.wait()
        await _wait_for_user_timeout(10 * worker.USER_TIMEOUT_MS)
        may_read.set()
        reply = await task
    assert isinstance(reply.result, traffic_messages.Answer), reply.result
    assert service.announcement is not None
    (conn,) = service._pool._idle
    sock = conn._transport.get_extra_info('socket')
    assert worker.USER_TIMEOUT_MS == sock.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
    )
    await service.stop()


async def test_request_does_not_follow_a_body_that_is_not_read(monkeypatch):
    """An upstream may answer before it has read the body.

    A request behind the rest of the body would end with that connection, for
    want of room, although the upstream runs.
    """
    monkeypatch.setattr(worker, 'USER_TIMEOUT_MS', 100)
    set_socket_options = client.set_socket_options

    def set_options(sock: socket.socket, user_timeout_ms: int) -> None:
        set_socket_options(sock, user_timeout_ms)
        # The kernel takes all of the body.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, len(body))

    monkeypatch.setattr(client, 'set_socket_options', set_options)
    body = LONG_BODY[: 200 * 1024]
    opened = []

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opened.append(writer)
        await reader.readuntil(b'\r\n\r\n')
        writer.transport.pause_reading()
        writer.write(messages.encode_response(SIGNED))

    async with _serve_with_small_buffer(run) as port:
        service = _make_worker()
        service.apply_announcement(_announcement()._replace(port=port))
        deadline = asyncio.get_running_loop().time() + conftest.TEST_TIMEOUT_S
        request = _request()._replace(deadline=deadline)
        for content in (body, b''):
            reply = await service.call(
                request._replace(method='POST', body=content)
            )
            assert isinstance(reply.result, traffic_messages.Answer)
        assert len(opened) == 2
        assert service.announcement is not None
    await service.stop()


async def test_connection_ends_after_an_answer_without_its_body(monkeypatch):
    """An upstream may answer a long request and never read its body.

    The connection and the rest of the body would be kept until the deadline
    of a request that has ended.
    """
    monkeypatch.setattr(worker, 'USER_TIMEOUT_MS', 100)
    has_ended = asyncio.Event()
    connection_lost = client.Connection.connection_lost

    def record_end(conn: client.Connection, exc: Exception | None) -> None:
        connection_lost(conn, exc)
        has_ended.set()

    monkeypatch.setattr(client.Connection, 'connection_lost', record_end)

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.transport.pause_reading()
        writer.write(messages.encode_response(SIGNED))

    async with _serve_with_small_buffer(run) as port:
        service = _make_worker()
        service.apply_announcement(_announcement()._replace(port=port))
        now = asyncio.get_running_loop().time()
        request = _request()._replace(
            method='POST',
            body=LONG_BODY,
            deadline=now + 10 * conftest.TEST_TIMEOUT_S,
        )
        reply = await service.call(request)
        assert isinstance(reply.result, traffic_messages.Answer)
        async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
            await has_ended.wait()
    await service.stop()


@contextlib.asynccontextmanager
async def _serve_with_small_buffer(
    handler: streams.Handler,
) -> AsyncIterator[int]:
    """Serve connections that take few bytes before the handler reads."""
    listener = socket.create_server((conftest.HOST, 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    tasks = set()
    writers = []

    def start(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.append(writer)
        tasks.add(asyncio.create_task(handler(reader, writer)))

    server = await asyncio.start_server(start, sock=listener, limit=1024)
    yield listener.getsockname()[1]
    server.close()
    await asyncio.wait(tasks)
    for writer in writers:
        await streams.abort(writer)
