"""Refusals at the entry node of a fleet whose workers are full."""

from __future__ import annotations

import asyncio
import math

import pytest

from damaskpier.capacity import entry
from damaskpier.fleet import model
from damaskpier.platform import headers
from damaskpier.teams import keys
from damaskpier.traffic import messages

from tests.test_fleet import conftest

REQUEST_COUNT = 40
KEY = 'key-of-team-a'
KEY_FIELDS = ((headers.API_KEY, KEY),)


def configure_team(fleet):
    """Put a configuration with one team in force."""
    team = model.Team('team-a', (keys.digest_of_key(KEY.encode()),))
    cfg = conftest.make_configuration(2)
    fleet.store.put(cfg._replace(teams=(team,)))


def fill(node):
    """Fill the only slot of a worker and return the ticket."""
    adm = node.app.service('worker').admission
    adm.configure(1, 0)
    return adm.submit(math.inf, lambda refusal: None)


def count_calls(nodes):
    """Return a list that grows with each attempt at one of the workers."""
    calls = []
    for node in nodes:
        service = node.app.service('worker')

        async def call(request, run=service.call):
            calls.append(request.request_id)
            return await run(request)

        service.call = call
    return calls


async def make_full_fleet(fleet, pace=1.0):
    """Return the entry node, the attempts and the workers' tickets.

    :param pace: pace that the workers report; None if they report none
    """
    nodes = [await fleet.add(domain=name) for name in 'abcd']
    await fleet.wait_converged()
    for node in nodes:
        node.app.service('router')._rng.seed(1)
        node.app.service('worker').pace._pace = pace
    return nodes, count_calls(nodes), [fill(node) for node in nodes]


async def test_refused_requests_make_few_attempts(fleet):
    """Load: all workers are full, and callers go on.

    Each refused request made an attempt at four workers: 34,883 refusals in
    23 s were some 140,000 messages to workers.
    """
    nodes, calls, _ = await make_full_fleet(fleet)
    for _ in range(REQUEST_COUNT):
        response = await nodes[0].request()
        assert response.status == 503
        assert float(response.header('retry-after')) > 0
    assert len(calls) < REQUEST_COUNT
    metrics = nodes[0].app.service('metrics')
    at_entry, at_workers = (
        metrics.counter_value('capacity_refusals', place=place, priority='0')
        for place in ('entry', 'workers')
    )
    assert at_entry + at_workers == REQUEST_COUNT
    assert at_entry > at_workers


async def test_workers_without_a_pace_are_asked_as_before(fleet):
    """Guards against a change for deployments that do not call for it."""
    nodes, calls, _ = await make_full_fleet(fleet, pace=None)
    for _ in range(REQUEST_COUNT):
        assert (await nodes[0].request()).status == 503
    assert len(calls) == 4 * REQUEST_COUNT


async def test_first_request_after_the_load_is_served_soon(fleet):
    """Load: the workers have room again after all were full.

    Some of the requests are still tried, and one that is served ends the
    refusals at once.
    """
    nodes, _, tickets = await make_full_fleet(fleet)
    for _ in range(REQUEST_COUNT):
        await nodes[0].request()
    for node, ticket in zip(nodes, tickets, strict=True):
        node.app.service('worker').admission.release(ticket)
    count = 1
    while (await nodes[0].request()).status != 200:
        count += 1
    assert count < 5 / entry.MIN_TRIED_RATIO
    for _ in range(10):
        assert (await nodes[0].request()).status == 200


async def test_objective_of_a_return_counts_from_the_first_request(fleet):
    """Load: callers return after a refusal.

    With an objective that begins anew, they would take the slots of requests
    that can still meet theirs.
    """
    configure_team(fleet)
    node = await fleet.add()
    await fleet.wait_converged()
    requests = []
    service = node.app.service('worker')

    async def call(request, run=service.call):
        left_s = request.deadline - request.objective
        requests.append(left_s)
        return await run(request)

    service.call = call
    for _ in range(20):
        await node.request(deadline_ms=4000, fields=KEY_FIELDS)
    await node.request(deadline_ms=3400, fields=KEY_FIELDS)
    first_s, *_, returned_s = requests
    assert first_s == pytest.approx(3.0)
    # The objective of the route is 1 s.
    assert returned_s == pytest.approx(3.4 - (1.0 - 0.6), abs=0.01)


async def test_call_with_little_time_is_not_taken_for_a_return(fleet):
    """Load: workers call others with what is left of their own time.

    With an objective that has passed, such a call would come last, and the
    work of the request that made it would be lost.
    """
    configuration = conftest.make_configuration(
        2, (conftest.make_route('read', is_public=True),)
    )
    fleet.store.put(configuration._replace(teams=(model.Team('a'),)))
    node = await fleet.add()
    await fleet.wait_converged()
    requests = []
    service = node.app.service('worker')

    async def call(request, run=service.call):
        requests.append(request.deadline - request.objective)
        return await run(request)

    service.call = call
    for _ in range(20):
        await node.request(deadline_ms=4000)
    await node.request(deadline_ms=3400)
    assert requests[-1] == pytest.approx(3.4 - 1.0, abs=0.01)


async def test_wait_for_an_allowance_makes_no_return(fleet, monkeypatch):
    """A first request that had waited 20 ms was refused as a hasty return."""
    configure_team(fleet)
    node = await fleet.add()
    await fleet.wait_converged()
    admission = node.app.service('router')._entry
    arrivals = []

    def receive(request, began, receive=admission.receive):
        arrivals.append(receive(request, began))
        return arrivals[-1]

    monkeypatch.setattr(admission, 'receive', receive)
    for _ in range(20):
        await node.request(deadline_ms=4000, fields=KEY_FIELDS)
    allowances = node.app.service('allowances')

    async def admit(team, admit=allowances.admit):
        await asyncio.sleep(0.02)
        return await admit(team)

    monkeypatch.setattr(allowances, 'admit', admit)
    await node.request(deadline_ms=4000, fields=KEY_FIELDS)
    assert not arrivals[-1].cls.is_return


async def test_request_without_a_team_is_no_return(fleet):
    """Load: calls of workers, which have what is left of another request.

    They were taken for returns and served last where there are no teams.
    """
    node = await fleet.add()
    await fleet.wait_converged()
    node.app.service('worker').pace._pace = 1.0
    for _ in range(20):
        await node.request(deadline_ms=4000)
    admission = node.app.service('router')._entry
    now = admission._clock()
    request = messages.Request(
        *('r', 'reads', 'reads', '', 'GET', '/read/1', (), b''),
        deadline=now + 1.0,
        depth=0,
        repeatable=True,
        objective=now + 0.5,
    )
    assert not admission.receive(request, now).cls.is_return


async def test_callers_of_full_workers_return_spread(fleet):
    """Load: callers are refused together while nothing is served.

    Callers that return together are refused together again.
    """
    nodes, _, _ = await make_full_fleet(fleet)
    delays = []
    for _ in range(12):
        response = await nodes[0].request(deadline_ms=10_000)
        delays.append(float(response.header('retry-after')))
    assert max(delays) - min(delays) > 1.0
    assert max(delays) <= 0.3 * 10
