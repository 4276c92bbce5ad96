"""Retries, their budgets and the admission of queued requests.

The tests guard against requests that run twice although their route forbids
it, and against retries that overload a service.
"""

from __future__ import annotations

import asyncio
import collections
import random

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.http1 import messages
from damaskpier.platform import headers
from damaskpier.traffic import admission
from damaskpier.traffic import retry

from tests.test_fleet import conftest


async def _reset(request: messages.Request) -> messages.Response:
    raise ConnectionError('the worker broke off')


def _break_connections(node: conftest.Node) -> None:
    """Make the upstream run requests but close the connections."""

    async def lose(request):
        for conn in list(node.upstream.server._connections):
            conn._transport.abort()
        return messages.Response(200)

    node.upstream.answer = lose


async def test_idempotent_request_with_a_lost_answer_runs_again(fleet):
    first = await fleet.add(domain='a')
    second = await fleet.add(domain='b')
    await fleet.wait_converged()
    _break_connections(first)
    response = await first.request()
    assert response.body == b'i-1'
    assert len(first.upstream.ran) == len(second.upstream.ran) == 1


async def test_non_idempotent_request_with_a_lost_answer_is_not_retried(fleet):
    first = await fleet.add(domain='a')
    second = await fleet.add(domain='b')
    await fleet.wait_converged()
    _break_connections(first)
    response = await first.request('/write/1', 'POST', body=b'x')
    assert response.status == 502
    assert len(first.upstream.ran) == 1
    assert not second.upstream.ran


async def test_request_runs_on_no_more_workers_than_its_route_allows(fleet):
    fleet.store.put(
        conftest.make_configuration(
            2, (conftest.make_route('read', max_attempts=2),)
        )
    )
    nodes = [await fleet.add(domain=name) for name in 'abc']
    await fleet.wait_converged()
    for node in nodes:
        _break_connections(node)
    response = await nodes[0].request()
    assert response.status == 502
    assert sum(len(node.upstream.ran) for node in nodes) == 2


async def test_answer_is_not_dropped_when_the_repeat_finds_no_worker(fleet):
    node = await fleet.add()
    await fleet.wait_converged()

    async def fail(request):
        return node.upstream.signed(500, b'first')

    node.upstream.answer = fail
    response = await node.request()
    assert (response.status, response.body) == (500, b'first')


def test_budget_of_all_nodes_stays_below_the_bound_of_the_fleet():
    """The nodes' shares of the budget must add up to less than the bound.

    24 nodes each get a 24th of 600 requests/s and try to retry all of them.
    """
    now = [0.0]
    limit = retry.FleetRetryLimit(0.2, 58.0, 10.0)
    budgets = [
        retry.FleetRetryBudget(limit, lambda: 24, clock=lambda: now[0])
        for _ in range(24)
    ]
    taken = []
    for tick in range(2000):
        now[0] = tick * 0.01
        for budget in budgets:
            if tick % 4 == 0:
                budget.record_request()
                if budget.try_acquire():
                    taken.append(now[0])
    for start in range(10):
        within = sum(start <= at < start + 10 for at in taken)
        assert within <= 0.2 * 6000 + 58
    assert len(taken) > 1000


def test_retries_on_two_levels_stay_below_the_bound_together():
    """Retries of two services in a call chain must not multiply.

    Each run of the upper service makes 1.4 calls, half of which are shed. A
    failed call fails the run, which is retried and repeats its calls.
    """
    rng = random.Random(7)
    now = [0.0]
    limit = retry.FleetRetryLimit(0.2, 58.0, 10.0)
    upper = retry.FleetRetryBudget(limit, lambda: 1, clock=lambda: now[0])
    runs = collections.deque(maxlen=900)
    lower = retry.FleetRetryBudget(
        limit,
        lambda: 1,
        lambda: sum(runs) / len(runs) if runs else 0.0,
        lambda: now[0],
    )
    requests, repeats = [], []

    def run(is_repeat):
        runs.append(is_repeat)
        failed = False
        for _ in range(1 + (rng.random() < 0.4)):
            (repeats if is_repeat else requests).append(now[0])
            lower.record_request()
            while rng.random() < 0.5:
                if not lower.try_acquire():
                    failed = True
                    break
                repeats.append(now[0])
        return not failed

    for tick in range(30 * 180):
        now[0] = tick / 180
        upper.record_request()
        ok = run(False)
        while not ok and upper.try_acquire(is_repeat=True):
            ok = run(True)
    for start in range(20):
        asked = sum(start <= at < start + 10 for at in requests)
        again = sum(start <= at < start + 10 for at in repeats)
        assert again <= 0.2 * asked + 58


def test_retries_of_the_calling_service_reduce_the_budget():
    """Calls of a retried run count as retries.

    Half of the worker's runs are retries, and so are half of its calls.
    """
    now = [0.0]
    limit = retry.FleetRetryLimit(0.2, 0.0, 10.0)
    budget = retry.FleetRetryBudget(
        limit, lambda: 1, lambda: 0.5, lambda: now[0]
    )
    for _ in range(1000):
        budget.record_request()
    assert not budget.try_acquire()


def test_urgent_request_is_admitted_before_queued_ones():
    now = [0.0]
    adm = admission.Admission(lambda: now[0])
    adm.configure(1, 10)
    order = []
    running = adm.submit(9.0, lambda refusal: None, 'r')
    for name, priority in (('low', 2), ('high', 0)):
        adm.submit(
            9.0,
            lambda refusal, name=name: order.append((name, refusal)),
            'r',
            priority,
        )
    now[0] = 1.0
    adm.release(running)
    assert order == [('high', None)]


def test_request_that_would_exceed_its_max_wait_is_refused_at_once():
    now = [0.0]
    adm = admission.Admission(lambda: now[0])
    adm.configure(1, 10)
    ticket = adm.submit(9.0, lambda refusal: None, 'r')
    now[0] = 1.0
    adm.release(ticket)
    adm.submit(9.0, lambda refusal: None, 'r')
    outcome = []
    adm.submit(9.0, outcome.append, 'r', 0, 0.5)
    assert outcome[0].code is errors.CALL_OVERLOADED
    assert outcome[0].run is errors.RunState.NOT_RUN


def test_request_delayed_past_its_deadline_by_urgent_ones_is_refused():
    now = [0.0]
    adm = admission.Admission(lambda: now[0])
    adm.configure(1, 10)
    ticket = adm.submit(99.0, lambda refusal: None, 'r')
    now[0] = 1.0
    adm.release(ticket)
    adm.submit(99.0, lambda refusal: None, 'r')
    low = []
    adm.submit(4.5, low.append, 'r', 2)
    assert not low
    for _ in range(2):
        adm.submit(99.0, lambda refusal: None, 'r', 0)
    assert low[0].run is errors.RunState.NOT_RUN


async def test_full_worker_passes_requests_on_and_then_refuses(fleet):
    fleet.store.put(
        conftest.make_configuration(
            2,
            (
                conftest.make_route(
                    'read',
                    kind=model.RouteKind.NON_IDEMPOTENT,
                    objective_s=0.2,
                    timeout_s=1.0,
                ),
            ),
        )
    )
    nodes = [await fleet.add(domain=name) for name in 'ab']
    await fleet.wait_converged()
    resume = asyncio.Event()

    for node in nodes:
        node.upstream.slots = 1
        node.announce(started_ms=2)
        node.upstream.instance += 'x'
        node.announce(started_ms=3)

        async def wait(request, node=node):
            await resume.wait()
            return await node.upstream.ok(request)

        node.upstream.answer = wait
    tasks = [
        asyncio.create_task(nodes[0].request(request_id=f'r{number}'))
        for number in range(2)
    ]
    await conftest.wait_until(
        lambda: all(len(node.upstream.ran) == 1 for node in nodes)
    )
    resume.set()
    bodies = {(await task).body for task in tasks}
    assert bodies == {b'i-0x', b'i-1x'}


async def test_refused_request_comes_back_on_another_connection(
    fleet, monkeypatch
):
    """A faulty worker may write the refusal again while it runs the request.

    The caller of a request that may run once at most was told that it had not
    run (issue 20, REFUSED).
    """
    node = await fleet.add()
    await fleet.wait_converged()
    opened = []
    add_connection = node.upstream.server.add_connection

    def count_connection(conn):
        opened.append(conn)
        add_connection(conn)

    monkeypatch.setattr(
        node.upstream.server, 'add_connection', count_connection
    )

    async def refuse(request: messages.Request) -> messages.Response:
        return messages.Response(503, ((headers.NOT_RUN, '1'),))

    node.upstream.answer = refuse
    assert (await node.request('/write/1', 'POST')).status == 503
    node.upstream.answer = node.upstream.ok
    assert (await node.request('/write/1', 'POST')).status == 200
    assert len(opened) == 2
    assert (
        await node.request('/write/1', 'POST', request_id='r2')
    ).status == 200
    assert len(opened) == 2
