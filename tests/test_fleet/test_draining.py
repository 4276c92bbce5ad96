"""Draining of workers and nodes, planned and after failures.

The tests guard against requests that are sent to a draining worker or are
interrupted by a stopping node.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import pytest

from damaskpier import errors
from damaskpier.fleet import ingress as ingress_module
from damaskpier.fleet import model
from damaskpier.fleet import peers
from damaskpier.fleet import worker
from damaskpier.http1 import client
from damaskpier.http1 import messages
from damaskpier.platform import headers
from damaskpier.traffic import messages as traffic_messages

from tests import streams
from tests.test_fleet import conftest


class PausedUpstream(NamedTuple):
    """Events of a paused upstream.

    ``running`` is set when a request runs; the test sets ``resume`` to let the
    upstream answer.
    """

    running: asyncio.Event
    resume: asyncio.Event


def _pause_upstream(node: conftest.Node) -> PausedUpstream:
    """Make the upstream of a node wait for ``resume`` before it answers."""
    paused = PausedUpstream(asyncio.Event(), asyncio.Event())
    answer = node.upstream.answer

    async def wait(request: messages.Request) -> messages.Response:
        paused.running.set()
        await paused.resume.wait()
        return await answer(request)

    node.upstream.answer = wait
    return paused


def _make_request(deadline: float) -> traffic_messages.Request:
    return traffic_messages.Request(
        request_id='r2',
        route='write',
        service='reads',
        version='',
        method='POST',
        target='/write/2',
        headers=(('Host', 'h.example'), (headers.REQUEST_ID, 'r2')),
        body=b'',
        deadline=deadline,
        depth=0,
        repeatable=False,
    )


@pytest.fixture
def stop_until_left(monkeypatch):
    """Return a function that stops a node without callers.

    The function returns a task that stops the node, after the worker has been
    announced as draining.
    """
    monkeypatch.setattr(peers, 'DRAIN_NOTICE_S', 0.0)

    async def stop(node: conftest.Node) -> asyncio.Task[None]:
        ingress = node.app.service('ingress')
        ingress._grace_s = 10 * conftest.TEST_TIMEOUT_S
        stopping = asyncio.create_task(ingress.stop())
        await conftest.wait_until(lambda: ingress.server.draining)
        for _ in range(2):
            assert not ingress.check_readiness()
        peer_server = node.app.service('peer-server')
        await conftest.wait_until(lambda: peer_server.server.draining)
        # Runs everything that does not wait for running requests.
        for _ in range(100):
            await asyncio.sleep(0)
        return stopping

    return stop


async def test_draining_worker_gets_no_request_after_the_notice(
    fleet, monkeypatch
):
    monkeypatch.setattr(worker, 'LEAVING_ADMIT_S', 0.01)
    first = await fleet.add(domain='a')
    second = await fleet.add(domain='b')
    await fleet.wait_converged()
    first.announce(draining=True)
    await conftest.wait_until(
        lambda: first.app.service('worker').admission.draining
    )
    for _ in range(20):
        assert (await first.request()).body == b'i-1'
    assert not first.upstream.ran
    assert len(second.upstream.ran) == 20


async def test_other_nodes_learn_of_a_draining_worker_at_once(fleet):
    first = await fleet.add()
    second = await fleet.add()
    await fleet.wait_converged()
    first.announce(draining=True)
    await conftest.wait_until(
        lambda: (
            [
                record.instance
                for record in second.app.service('membership').workers('reads')
            ]
            == ['i-1']
        )
    )


async def test_stale_heartbeat_does_not_restore_a_worker_that_left(
    fleet,
):
    node = await fleet.add()
    service = node.app.service('worker')
    service.left('i-0')
    assert not node.announce()
    assert service.announcement.draining
    # The same instance with a later start is a new process.
    assert node.announce(started_ms=2)
    assert not service.announcement.draining


async def test_leave_notice_before_the_first_heartbeat_is_kept(fleet):
    """A restarted node has heard no heartbeat when its worker leaves.

    A delayed heartbeat must not restore the worker afterwards.
    """
    node = await fleet.add(announces=False)
    service = node.app.service('worker')
    service._wall = lambda: 100.0
    service.left('i-0')
    assert not node.announce(started_ms=100_000)
    assert service.announcement is None
    # The same instance with a later start is a new process.
    assert node.announce(started_ms=100_001)


async def test_leave_notice_after_the_health_check_is_kept(fleet):
    """The result of the health check does not contain the start."""
    node = await fleet.add(announces=False)
    service = node.app.service('worker')
    service._wall = lambda: 100.0
    service.apply_health(model.Health('i-0', 4))
    service.left('i-0')
    assert not node.announce(started_ms=100_000)
    assert service.announcement.draining


async def test_delayed_heartbeat_does_not_restore_a_removed_worker(fleet):
    """A draining worker may be removed from routing before it ends.

    A heartbeat that it sent before it was draining may arrive after that.
    """
    node = await fleet.add()
    service = node.app.service('worker')
    node.announce(draining=True)
    service._handle_failure(
        messages.Failure('timed out', True, unacknowledged=True)
    )
    node.upstream.sequence = 0
    assert not node.announce()
    assert service.announcement is None
    assert node.announce(started_ms=2)


@pytest.mark.parametrize('notice', ['draining', 'left'])
async def test_restarted_node_learns_that_its_worker_has_left(fleet, notice):
    """A node keeps nothing on disk, but it has acknowledged the notice.

    A delayed heartbeat must not restore the worker after the restart.
    """
    node = await fleet.add(announces=False)
    other = await fleet.add(domain='b')
    node.announce(started_ms=50)
    await fleet.wait_converged()
    if notice == 'draining':
        node.announce(draining=True, started_ms=50)
    else:
        node.app.service('worker').left('i-0')
    membership = other.app.service('membership')
    await conftest.wait_until(lambda: membership.get(node.name).draining)
    # Only the other node still knows of it.
    fleet.store.entries.clear()
    node = await fleet.restart(node)
    exchange = node.app.service('exchange')
    await conftest.wait_until(lambda: exchange.is_registered)
    node.upstream.sequence = 0
    assert not node.announce(started_ms=50)
    assert node.announce(started_ms=51)


async def test_restarted_node_stops_using_a_worker_that_has_left(fleet):
    """The delayed heartbeat may come before the first contact to others.

    It is used if the health check is passed, as by a faulty worker.
    """
    node = await fleet.add(announces=False)
    other = await fleet.add(domain='b')
    node.announce(started_ms=50)
    await fleet.wait_converged()
    node.app.service('worker').left('i-0')
    membership = other.app.service('membership')
    await conftest.wait_until(lambda: membership.get(node.name).draining)
    fleet.store.is_down = True
    node = await fleet.restart(node)
    service = node.app.service('worker')
    node.upstream.sequence = 0
    service.apply_health(model.Health('i-0', 4))
    assert node.announce(started_ms=50)
    fleet.store.is_down = False
    await conftest.wait_until(lambda: service.announcement.draining)


async def test_leave_notice_of_an_earlier_start_is_ignored(fleet):
    """A worker may start again with the instance that it had."""
    node = await fleet.add(announces=False)
    service = node.app.service('worker')
    assert node.announce(started_ms=50)
    service.left('i-0', started_ms=40)
    assert not service.announcement.draining
    assert node.announce(started_ms=50)
    service.left('i-0', started_ms=50)
    assert service.announcement.draining


async def test_worker_that_starts_again_with_its_instance_serves(
    fleet, monkeypatch
):
    """The node stops admission for good when an instance leaves.

    A later start of the instance is admitted again.
    """
    monkeypatch.setattr(worker, 'LEAVING_ADMIT_S', 0.0)
    node = await fleet.add()
    service = node.app.service('worker')
    service.left('i-0')
    await conftest.wait_until(lambda: service.admission.draining)
    assert node.announce(started_ms=2)
    assert (await node.request()).body == b'i-0'


async def test_heartbeat_of_an_earlier_worker_is_ignored(fleet):
    node = await fleet.add()
    node.announce(started_ms=50)
    node.upstream.instance = 'earlier'
    assert not node.announce(started_ms=40)
    known = node.app.service('worker').announcement
    assert known.instance == 'i-0'


async def test_worker_at_a_reused_address_runs_nothing(fleet):
    node = await fleet.add()
    await fleet.wait_converged()
    node.upstream.instance = 'other'
    response = await node.request('/write/1', 'POST')
    assert response.status == 503
    assert not node.upstream.ran
    assert node.app.service('worker').announcement is None


async def test_crashed_worker_is_removed_from_routing(fleet):
    first = await fleet.add(domain='a')
    await fleet.add(domain='b')
    await fleet.wait_converged()
    await first.upstream.server.stop(0.0)
    for _ in range(5):
        assert (await first.request('/write/1', 'POST')).body == b'i-1'
    assert first.app.service('worker').announcement is None


async def test_worker_that_acknowledges_nothing_is_removed_from_routing(fleet):
    """A worker that loses power closes no connection.

    The kernel reports the missing acknowledgements.
    """
    node = await fleet.add()
    service = node.app.service('worker')
    refusal = service._handle_failure(
        messages.Failure('timed out', True, unacknowledged=True)
    )
    assert refusal.run is errors.RunState.UNKNOWN
    assert service.announcement is None
    assert node.announce()


async def test_stop_of_a_node_finishes_its_requests(fleet):
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    paused = _pause_upstream(other)
    task = asyncio.create_task(caller.request())
    await paused.running.wait()
    ingress = caller.app.service('ingress')
    stopping = asyncio.create_task(ingress.stop())
    await asyncio.sleep(0)
    paused.resume.set()
    assert (await task).body == b'i-1'
    await stopping


async def test_worker_of_a_stopping_node_serves_until_callers_stop_sending(
    fleet,
):
    """Nodes that restart in sequence must not remove their slots too early.

    Otherwise the slots would be missing for the whole time of each stop.
    """
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    ingress = other.app.service('ingress')
    now = [ingress._clock()]
    ingress._clock = lambda: now[0]
    ingress._grace_s = conftest.TEST_TIMEOUT_S
    stopping = asyncio.create_task(ingress.stop())
    await conftest.wait_until(lambda: ingress.server.draining)
    membership = other.app.service('membership')
    assert not membership.local_record().draining
    assert (await caller.request()).body == b'i-1'
    for _ in range(2):
        assert not ingress.check_readiness()
    # The callers are idle for this time, and the time to serve has not passed.
    now[0] += ingress_module.CALLERS_IDLE_S
    await stopping
    await conftest.wait_until(
        lambda: not caller.app.service('membership').workers('reads')
    )


class StopWithoutTime:
    """Stop of a node in which time passes only by hand.

    :param node: node to stop, with all intervals between checks set to 0
    :param grace_s: grace period in seconds
    """

    def __init__(self, node: conftest.Node, grace_s: float = 1000.0) -> None:
        self._ingress = node.app.service('ingress')
        self._now = self._ingress._clock()
        self._clock_reads = 0
        self._ingress._clock = self._read_clock
        self._ingress._grace_s = grace_s
        self.task = asyncio.create_task(self._ingress.stop())

    async def fail_probes(self) -> None:
        """Fail as many readiness probes as take the callers away."""
        await conftest.wait_until(lambda: self._ingress.server.draining)
        for _ in range(ingress_module.UNREADY_PROBE_COUNT):
            assert not self._ingress.check_readiness()

    def advance(self, duration_s: float) -> None:
        """Let time pass."""
        self._now += duration_s

    async def settle(self) -> None:
        """Wait until the stop has checked many times or closed the port."""
        enough = self._clock_reads + 100
        port = self._ingress.server._server
        await conftest.wait_until(
            lambda: (
                self._clock_reads > enough
                or not port.is_serving()
                or self.task.done()
            )
        )

    def _read_clock(self) -> float:
        self._clock_reads += 1
        return self._now


@pytest.fixture
def no_stop_intervals(monkeypatch) -> None:
    """Let the stop of a node check its conditions without pauses."""
    monkeypatch.setattr(peers, 'DRAIN_NOTICE_S', 0.0)
    monkeypatch.setattr(ingress_module, 'DRAIN_POLL_S', 0.0)


async def test_stop_waits_for_callers_that_were_asked_to_come_back(
    fleet, no_stop_intervals
):
    """A refusal states when the caller may retry.

    The caller sends nothing until then, and would find the port closed.
    """
    node = await fleet.add('pages')
    await fleet.wait_converged()
    stop = StopWithoutTime(node)
    # No worker of the route has announced itself.
    refused = await node.request()
    await stop.fail_probes()
    retry_after_s = float(refused.header(headers.RETRY_AFTER.lower()))
    assert retry_after_s > 2 * ingress_module.CALLERS_IDLE_S
    stop.advance(retry_after_s)
    await stop.settle()
    retried = await node.request()
    assert isinstance(retried, messages.Response)
    stop.advance(float(retried.header(headers.RETRY_AFTER.lower())))
    stop.advance(2 * ingress_module.CALLERS_IDLE_S)
    await stop.task


async def test_stop_waits_for_a_request_whose_body_is_arriving(
    fleet, no_stop_intervals
):
    """A body takes longer than the pause that shows the end of the callers.

    The request would be cut, and its caller would find the port closed.
    """
    node = await fleet.add('reads')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    port = node.app.service('ingress').server.port
    reader, writer = await asyncio.open_connection(conftest.HOST, port)
    try:
        # The end of the first request shows that all of this was read.
        fields = (('Host', 'h.example'), (headers.REQUEST_ID, 'r1'))
        head = messages.encode_request('GET', '/read/1', fields, b'')
        late = messages.encode_request('POST', '/write/1', fields, b'12345')
        writer.write(head + late[:-1])
        await conftest.wait_until(
            lambda: node.upstream.ran or other.upstream.ran
        )
        stop = StopWithoutTime(node)
        await stop.fail_probes()
        stop.advance(2 * ingress_module.CALLERS_IDLE_S)
        await stop.settle()
        writer.write(late[-1:])
        await conftest.wait_until(
            lambda: (
                len(node.upstream.ran) + len(other.upstream.ran) == 2
                or stop.task.done()
            )
        )
        stop.advance(2 * ingress_module.CALLERS_IDLE_S)
        received = await reader.read()
        assert received.count(b'HTTP/1.1 200') == 2
        await stop.task
    finally:
        await streams.abort(writer)


async def test_request_on_an_open_connection_is_answered_during_a_stop(fleet):
    """The stop waits for a request after the port for callers has closed.

    Another one may arrive then on a connection that has been idle.
    """
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    idle = client.Pool(
        conftest.HOST, caller.app.service('ingress').server.port
    )
    options = client.Options(
        asyncio.get_running_loop().time() + conftest.TEST_TIMEOUT_S
    )

    async def send(number: int):
        fields = (('Host', 'h.example'), (headers.REQUEST_ID, f'r{number}'))
        return await idle.request(
            messages.encode_request('GET', '/read/1', fields, b''), options
        )

    assert (await send(1)).body == b'i-1'
    paused = _pause_upstream(other)
    running = asyncio.create_task(caller.request(request_id='r2'))
    await paused.running.wait()
    ingress = caller.app.service('ingress')
    ingress._grace_s = conftest.TEST_TIMEOUT_S
    stopping = asyncio.create_task(ingress.server.stop(ingress._grace_s))
    await conftest.wait_until(lambda: not ingress.server._server.is_serving())
    late = asyncio.create_task(send(3))
    await conftest.wait_until(lambda: len(other.upstream.ran) == 3)
    paused.resume.set()
    assert (await late).body == b'i-1'
    assert (await running).body == b'i-1'
    assert idle.opened_count == 1
    await stopping


class KeptConnection:
    """Connection of a caller that stays open during a stop.

    :param node: node that the caller uses
    """

    def __init__(self, node: conftest.Node) -> None:
        port = node.app.service('ingress').server.port
        self._pool = client.Pool(conftest.HOST, port)

    async def send(
        self, method: str, target: str
    ) -> messages.Response | messages.Failure:
        """Send a request that may take 10 s."""
        fields = (
            ('Host', 'h.example'),
            (headers.REQUEST_ID, f'{method}-{target}'),
            (headers.DEADLINE_MS, '10000'),
        )
        return await self._pool.request(
            messages.encode_request(method, target, fields, b''),
            client.Options(
                asyncio.get_running_loop().time() + conftest.TEST_TIMEOUT_S
            ),
        )


class LateStop:
    """Stop of a node that waits for one running request.

    :param node: node that stops
    :param other: node beside the only upstream
    """

    def __init__(self, node: conftest.Node, other: conftest.Node) -> None:
        self.upstream = other.upstream
        self.kept = KeptConnection(node)
        self._node = node
        self._answer = other.upstream.answer
        self._resume = asyncio.Event()
        self._is_held = asyncio.Event()
        other.upstream.answer = self._hold_first

    async def begin(self, after_s: float, grace_s: float = 1000.0) -> None:
        """Begin the stop with an open connection and let time pass."""
        assert (await self.kept.send('GET', '/read/0')).status == 200
        self._held = asyncio.create_task(
            self._node.request('/read/hold', request_id='hold')
        )
        await self._is_held.wait()
        stop = StopWithoutTime(self._node, grace_s)
        ingress = self._node.app.service('ingress')
        await conftest.wait_until(lambda: ingress.server.draining)
        stop.advance(after_s)
        await stop.settle()
        self._stop, self._grace_s = stop, grace_s

    async def end(self) -> None:
        """Let the running request and the stop end."""
        self._resume.set()
        assert (await self._held).status == 200
        self._stop.advance(self._grace_s)
        await asyncio.wait_for(self._stop.task, conftest.TEST_TIMEOUT_S)

    async def _hold_first(self, request: messages.Request):
        if request.path == '/read/hold':
            self._is_held.set()
            await self._resume.wait()
        return await self._answer(request)


@pytest.fixture
async def late_stop(fleet, no_stop_intervals) -> LateStop:
    """Return a stop that has not begun, of a node without an upstream."""
    node = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    return LateStop(node, other)


@pytest.mark.parametrize('tenth', range(9))
async def test_request_that_fits_into_the_grace_is_served(late_stop, tenth):
    """A stop must not refuse what can end before it.

    It ends after 870 s, and the request may take 10 s.
    """
    await late_stop.begin(100.0 * tenth + 50.0)
    assert (await late_stop.kept.send('POST', '/write/1')).body == b'i-1'
    await late_stop.end()


async def test_late_request_that_may_outlast_the_stop_has_not_run(late_stop):
    """A request late in the grace must not be cut while it runs.

    Its caller would not know whether it ran, and must not repeat it.
    """
    await late_stop.begin(865.0)
    ran = len(late_stop.upstream.ran)
    late = await late_stop.kept.send('POST', '/write/1')
    assert late.status == 503
    assert late.header(headers.RETRY_AFTER.lower())
    assert len(late_stop.upstream.ran) == ran
    await late_stop.end()


async def test_late_repeatable_request_has_to_end_before_the_stop(late_stop):
    """A call of the local upstream must not be refused for its time limit.

    The upstream that runs it answers before the end of the grace.
    """
    await late_stop.begin(865.0)
    assert (await late_stop.kept.send('GET', '/read/1')).body == b'i-1'
    limit_ms = late_stop.upstream.ran[-1].header(headers.DEADLINE_MS.lower())
    # Time has passed for the ingress only.
    assert 4.0 < int(limit_ms) / 1000 - 865.0 < 5.0
    await late_stop.end()


async def test_early_request_in_a_short_grace_is_served(late_stop):
    """Few requests take as long as their time limit allows.

    All requests of the first seconds of a stop would be refused otherwise.
    """
    await late_stop.begin(2.0, grace_s=6.0)
    assert (await late_stop.kept.send('POST', '/write/1')).body == b'i-1'
    await late_stop.end()


async def test_request_that_outlasts_the_stop_gets_a_failure(fleet):
    """A node must not close a connection without an answer when it stops.

    The upstream still runs the request at the end of the grace period.
    """
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    paused = _pause_upstream(other)
    task = asyncio.create_task(caller.request('/write/1', 'POST'))
    await paused.running.wait()
    await caller.app.service('ingress').stop()
    response = await task
    assert isinstance(response, messages.Response)
    assert response.status == 502
    await conftest.wait_until(lambda: other.upstream.cancelled == 1)


async def test_stop_of_a_node_finishes_requests_of_other_nodes(
    fleet, stop_until_left
):
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    paused = _pause_upstream(other)
    task = asyncio.create_task(caller.request('/write/1', 'POST'))
    await paused.running.wait()
    stopping = await stop_until_left(other)
    assert not stopping.done()
    paused.resume.set()
    assert (await task).body == b'i-1'
    await stopping


async def test_late_request_of_another_node_is_refused_and_not_interrupted(
    fleet, stop_until_left
):
    """Another node may learn late that this one is draining.

    Its request would be interrupted on the upstream if it started just
    before the server closes.
    """
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    record = other.app.service('membership').local_record()
    paused = _pause_upstream(other)
    first = asyncio.create_task(caller.request('/write/1', 'POST'))
    await paused.running.wait()
    stopping = await stop_until_left(other)
    loop = asyncio.get_running_loop()
    late = asyncio.create_task(
        caller.app.service('peers').call(
            record, _make_request(loop.time() + conftest.TEST_TIMEOUT_S)
        )
    )
    await conftest.wait_until(
        lambda: late.done() or len(other.upstream.ran) > 1
    )
    paused.resume.set()
    assert (await first).body == b'i-1'
    refusal = (await late).result
    assert len(other.upstream.ran) == 1
    assert refusal.code is errors.CALL_DRAINING
    assert refusal.run is errors.RunState.NOT_RUN
    await stopping


async def test_last_requests_of_a_worker_make_their_calls(
    fleet, stop_until_left
):
    """A node must not close its port while its worker's requests run.

    The worker makes its calls through its own node.
    """
    fleet.store.put(
        conftest.make_configuration(
            2,
            (conftest.make_route(), conftest.make_route('count', 'counts')),
        )
    )
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.add('counts')
    await fleet.wait_converged()

    async def call(request):
        called = await other.request('/count/1', request_id='inner')
        return other.upstream.signed(called.status, called.body)

    other.upstream.answer = call
    paused = _pause_upstream(other)
    task = asyncio.create_task(caller.request())
    await paused.running.wait()
    stopping = await stop_until_left(other)
    paused.resume.set()
    assert (await task).body == b'i-2'
    await stopping


async def test_unreachable_node_is_removed_from_routing(fleet):
    caller = await fleet.add('pages')
    lost = await fleet.add('reads')
    kept = await fleet.add('reads')
    await fleet.wait_converged()
    lost.app.service('ingress')._grace_s = 0.0
    for name in ('exchange', 'peer-server'):
        await asyncio.wait_for(lost.app.service(name).stop(), 2.0)
    for number in range(10):
        response = await caller.request(request_id=f'r{number}')
        assert response.body == b'i-2'
    await conftest.wait_until(
        lambda: caller.app.service('membership').get(lost.name).gone
    )
    assert kept.upstream.ran


async def test_readiness_requires_a_configuration_and_a_registration(fleet):
    fleet.store.is_down = True
    node = await fleet.add()
    ingress = node.app.service('ingress')
    assert not ingress.check_readiness()
    # With a configuration but neither the store nor another node, the node
    # would find only its own worker.
    node.app.service('configuration').apply(conftest.make_configuration())
    assert not ingress.check_readiness()
    node.app.service('exchange').is_registered = True
    assert ingress.check_readiness()
    ingress.server.start_draining()
    assert not ingress.check_readiness()
