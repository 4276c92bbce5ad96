"""Pace of upstreams that are cold, in whole nodes.

The tests guard against requests beyond the bound of a cold upstream, which
crashes, and against upstreams that get nothing though they are warm.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from damaskpier.capacity import pace
from damaskpier.fleet import model
from damaskpier.http1 import messages
from damaskpier.http1 import server
from damaskpier.platform import headers

from tests.test_fleet import conftest

COLD_RATE_PER_S = 8.5
# With the default settings.
BOUND = 20


def _with_cold_rate(version: int = 2) -> model.Configuration:
    spec = model.ServiceSpec(
        'reads', 0, conftest.HEALTH_PATH, 3.0, COLD_RATE_PER_S
    )
    cfg = conftest.make_configuration(version)
    return cfg._replace(services={'reads': spec})


def _record_arrivals(node: conftest.Node) -> list[float]:
    """Return a list that gets the time of each arriving request."""
    arrivals: list[float] = []

    async def answer(request: messages.Request) -> messages.Response:
        arrivals.append(time.monotonic())
        return node.upstream.signed(200)

    node.upstream.answer = answer
    return arrivals


async def _wait(request: messages.Request) -> messages.Response:
    """Never answer."""
    await asyncio.get_running_loop().create_future()
    raise AssertionError('unreachable')


async def _send(
    node: conftest.Node, count: int, deadline_ms: int
) -> list[int]:
    responses = await asyncio.gather(
        *(
            node.request(request_id=f'r{number}', deadline_ms=deadline_ms)
            for number in range(count)
        )
    )
    return [response.status for response in responses]


async def _send_for(node: conftest.Node, seconds: float) -> list[int]:
    """Send more requests than a cold upstream may get."""
    statuses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        statuses += await _send(node, 20, 500)
    return statuses


def _most_in_a_second(times: list[float]) -> int:
    return max(
        sum(start <= at < start + 1.0 for at in times) for start in times
    )


@pytest.fixture
async def cold(fleet) -> conftest.Node:
    """Return a node beside an upstream for which a bound is named."""
    fleet.store.put(_with_cold_rate())
    node = await fleet.add()
    node.upstream.slots = 12
    assert node.announce(warmup_s=60.0)
    return node


async def test_cold_upstream_gets_its_bound(cold):
    """Slots alone would let through all that arrives in the same second."""
    arrivals = _record_arrivals(cold)
    worker = cold.app.service('worker')
    await conftest.wait_until(lambda: not worker.load.wait_s)
    statuses = await _send_for(cold, 1.5)
    assert BOUND <= statuses.count(200) == len(arrivals)
    assert _most_in_a_second(arrivals) <= BOUND
    assert set(statuses) == {200, 503}


async def test_load_names_the_wait_for_a_cold_upstream(fleet, cold):
    """Other nodes would choose the cold worker again and again."""
    worker = cold.app.service('worker')
    await conftest.wait_until(lambda: not worker.load.wait_s)
    await _send(cold, 20, 300)
    assert worker.load.wait_s > 0.05
    other = await fleet.add()
    await fleet.wait_converged()
    count = len(cold.upstream.ran)
    for _ in range(20):
        assert (await other.request()).status == 200
    assert len(cold.upstream.ran) - count <= 3
    assert cold.announce(warmup_s=0.0)
    assert not worker.load.wait_s


async def test_waiting_requests_start_when_the_upstream_is_warm(cold):
    """They would go on waiting for the bound of an upstream that was cold."""
    worker = cold.app.service('worker')
    await conftest.wait_until(lambda: not worker.load.wait_s)
    # Until the first answer, few requests run in any case.
    assert (await cold.request()).status == 200
    sending = asyncio.ensure_future(_send(cold, 20, 5000))
    await conftest.wait_until(lambda: worker.load.queued)
    cold.announce(warmup_s=0.0)
    assert worker.load.in_use == worker.load.slots
    assert set(await sending) == {200}


async def test_restarted_node_does_not_send_the_bound_again(fleet, cold):
    arrivals = _record_arrivals(cold)
    worker = cold.app.service('worker')
    await conftest.wait_until(lambda: not worker.load.wait_s)
    await _send(cold, 20, 300)
    restarted = await fleet.restart(cold)
    await conftest.wait_until(
        lambda: restarted.app.service('worker').announcement
    )
    known = restarted.app.service('configuration')
    await conftest.wait_until(lambda: known.current())
    began = time.monotonic()
    assert set(await _send(restarted, 20, 500)) == {503}
    assert (await restarted.request(deadline_ms=5000)).status == 200
    assert time.monotonic() - began >= pace.WINDOW_S - 0.3
    assert _most_in_a_second(arrivals) <= BOUND


@pytest.mark.parametrize('by', ['heartbeat', 'health check'])
async def test_warm_upstream_gets_requests_at_once_after_a_restart(
    fleet, cold, by
):
    """A node that restarts beside a warm upstream must not stop serving."""
    cold.announce(warmup_s=0.0)
    if by == 'health check':
        cold.upstream.health_headers = ((headers.COLD_MS, '0'),)
    restarted = await fleet.restart(cold)
    service = restarted.app.service('worker')
    await conftest.wait_until(lambda: service.announcement)
    known = restarted.app.service('configuration')
    await conftest.wait_until(lambda: known.current())
    if by == 'heartbeat':
        restarted.announce(warmup_s=0.0)
    assert (await _send(restarted, 30, 700)).count(200) == 30


async def test_upstream_that_breaks_connections_counts_as_cold(cold):
    """It may have crashed and run again before its next heartbeat."""
    cold.announce(warmup_s=0.0)
    worker = cold.app.service('worker')
    await conftest.wait_until(lambda: not worker.load.wait_s)
    assert set(await _send(cold, 30, 700)) == {200}
    cold.upstream.answer = _wait
    running = asyncio.ensure_future(
        cold.request(method='POST', target='/write/1')
    )
    await conftest.wait_until(lambda: len(cold.upstream.ran) == 31)
    port = cold.upstream.server.port
    await cold.upstream.server.stop(0.0)
    cold.upstream.server = server.Server(cold.upstream._handle)
    await cold.upstream.server.listen(conftest.HOST, port)
    assert (await running).status == 502
    arrivals = _record_arrivals(cold)
    await _send_for(cold, 1.5)
    assert arrivals
    assert _most_in_a_second(arrivals) <= BOUND


def _later_ms() -> int:
    """Return a start of an upstream after that of its node."""
    return int(time.time() * 1000) + 1000


def _is_limited(node: conftest.Node) -> bool:
    """Return whether a burst would wait though slots are free."""
    limits = node.app.service('worker').admission.limits
    # The first two limits are those of the link and of the named rate.
    ahead = node.app.service('worker').admission.slots - 1
    return any(limit.wait_s(ahead, 0.1) > 0 for limit in limits[2:])


@pytest.fixture
async def adaptive(fleet) -> conftest.Node:
    """Return a node with the setting whose upstream runs and has answered."""
    fleet.settings = 'adaptive_pace = true\n'
    node = await fleet.add()
    await fleet.wait_converged()
    node.upstream.slots = 12
    node.announce()
    assert (await node.request()).status == 200
    return node


async def test_upstream_that_ran_before_its_node_is_not_held_back(adaptive):
    """Deployments whose workers start before traffic must not lose service."""
    assert not _is_limited(adaptive)


async def test_started_upstream_that_is_warm_is_not_held_back(adaptive):
    """Load: the first requests of a fleet, after all workers have started.

    All of them were held at two requests, which were answered late.
    """
    adaptive.announce(started_ms=_later_ms(), warmup_s=0.0)
    assert not _is_limited(adaptive)


@pytest.mark.parametrize('how', ['started', 'cold', 'back'])
async def test_started_upstream_begins_low_and_ends_on_answers(adaptive, how):
    worker = adaptive.app.service('worker')
    if how == 'started':
        adaptive.announce(started_ms=_later_ms(), warmup_s=2.0)
    elif how == 'cold':
        adaptive.announce(warmup_s=2.0)
    else:
        worker._remove_instance('is silent')
        adaptive.announce()
    assert _is_limited(adaptive)
    assert worker.load.wait_s == 0
    statuses = []
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        while _is_limited(adaptive):
            statuses += await _send(adaptive, 4, 5000)
    assert set(statuses) == {200}
    assert len(statuses) >= 12
    # The next heartbeat is of the same start, and does not begin again.
    adaptive.announce(started_ms=worker.announcement.started_ms)
    assert not _is_limited(adaptive)


async def test_pace_follows_the_configuration_of_the_deployment(fleet):
    """Workers of earlier deployments report that they are cold, too.

    Those of deployments for hard load report a pace in their answers.
    """
    node = await fleet.add()
    await fleet.wait_converged()
    assert (await node.request()).status == 200
    node.announce(started_ms=_later_ms(), warmup_s=2.0)
    assert (await node.request()).status == 200
    assert not _is_limited(node)

    async def answer(request: messages.Request) -> messages.Response:
        response = node.upstream.signed(200)
        fields = (*response.headers, (headers.LOAD, '1,0,4,100'))
        return response._replace(headers=fields)

    node.upstream.answer = answer
    assert (await node.request()).status == 200
    node.announce(started_ms=_later_ms() + 1000, warmup_s=2.0)
    assert _is_limited(node)


async def test_error_of_a_caller_is_no_time_of_work(adaptive, monkeypatch):
    """One answer in 1 ms made all later ones count as an overload."""
    # Nothing is known of the other workers, as after a restart of the node.
    router = adaptive.app.service('router')
    monkeypatch.setattr(router, 'mean_latency_s', lambda service: None)
    adaptive.announce(started_ms=_later_ms(), warmup_s=2.0)
    pace = adaptive.app.service('worker')._local_pace
    # Requests that began before the pace do not count.
    pace._adaptive._began_at = float('-inf')
    not_found = messages.Response(404, ((headers.SIGNATURE, 's'),))
    pace.record_outcome('other', not_found, 0.001)
    before = pace._adaptive.count
    found = messages.Response(200, ((headers.SIGNATURE, 's'),))
    for _ in range(3):
        pace.record_outcome('other', found, 0.24)
    assert pace._adaptive.count > before


async def test_first_heartbeat_after_a_health_check_is_no_new_start(adaptive):
    """The second begin of one start counted as a crash."""
    pace = adaptive.app.service('worker')._local_pace
    announcement = adaptive.app.service('worker').announcement
    pace._known = None
    pace.announced(announcement._replace(started_ms=0, warmup_s=2.0))
    assert _is_limited(adaptive)
    began_at = pace._adaptive._began_at
    later = announcement._replace(started_ms=_later_ms(), warmup_s=1.5)
    pace.announced(later)
    assert pace._adaptive._began_at == began_at
