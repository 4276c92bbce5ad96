"""Workers and nodes that leave get no new work and cut no request."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import pytest

from damaskpier import errors
from damaskpier.fleet import ingress as ingress_module
from damaskpier.fleet import peers
from damaskpier.fleet import worker
from damaskpier.http1 import messages

from tests.test_fleet import conftest


class PausedUpstream(NamedTuple):
    """Tells when an upstream runs a request, and lets it answer."""

    running: asyncio.Event
    resume: asyncio.Event


def _pause_upstream(node: conftest.Node) -> PausedUpstream:
    """Let the upstream of a node answer only when the test says so."""
    paused = PausedUpstream(asyncio.Event(), asyncio.Event())
    answer = node.upstream.answer

    async def wait(request: messages.Request) -> messages.Response:
        paused.running.set()
        await paused.resume.wait()
        return await answer(request)

    node.upstream.answer = wait
    return paused


@pytest.fixture
def stop_until_left(monkeypatch):
    """Return a function that stops a node whose callers are gone.

    It returns when the worker has left and other nodes had their notice.
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
        # Whatever does not wait for the requests that run happens now.
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


async def test_worker_that_left_is_not_brought_back_by_a_late_heartbeat(
    fleet,
):
    node = await fleet.add()
    service = node.app.service('worker')
    service.left('i-0')
    assert not node.announce()
    assert service.announcement.draining
    # The same name with a later start is a new run of the worker.
    assert node.announce(started_ms=2)
    assert not service.announcement.draining


async def test_late_heartbeat_of_an_earlier_worker_is_ignored(fleet):
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


async def test_crashed_worker_is_out_of_routing(fleet):
    first = await fleet.add(domain='a')
    await fleet.add(domain='b')
    await fleet.wait_converged()
    await first.upstream.server.stop(0.0)
    for _ in range(5):
        assert (await first.request('/write/1', 'POST')).body == b'i-1'
    assert first.app.service('worker').announcement is None


async def test_worker_that_acknowledges_nothing_is_out_of_routing(fleet):
    # A worker without power closes no connection; the kernel notices.
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


async def test_worker_of_a_stopping_node_serves_until_callers_have_gone(
    fleet,
):
    # Nodes that restart one after the other must not take their workers'
    # slots away for the whole time that they need to stop.
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
    # Callers are quiet for this long, and the time to serve is not up.
    now[0] += ingress_module.CALLERS_IDLE_S
    await stopping
    await conftest.wait_until(
        lambda: not caller.app.service('membership').workers('reads')
    )


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


async def test_last_requests_of_a_worker_make_their_calls(
    fleet, stop_until_left
):
    # A worker calls through its own node, which must not close its port to
    # callers before the worker's requests have ended.
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


async def test_lost_node_is_taken_out_of_routing_by_the_others(fleet):
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


async def test_callers_may_come_to_a_node_that_can_serve_them(fleet):
    fleet.store.is_down = True
    node = await fleet.add()
    ingress = node.app.service('ingress')
    assert not ingress.check_readiness()
    # With a configuration but neither the store nor another node it would
    # find no worker but its own.
    node.app.service('configuration').apply(conftest.make_configuration())
    assert not ingress.check_readiness()
    node.app.service('exchange').is_registered = True
    assert ingress.check_readiness()
    ingress.server.start_draining()
    assert not ingress.check_readiness()
