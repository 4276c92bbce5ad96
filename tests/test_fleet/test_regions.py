"""Regions of routes and teams, from the entry node to the worker.

The tests guard against a request or its body in a region that its route or
team excludes, and against a refusal that is late or names another reason.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.fleet import selector
from damaskpier.http1 import messages
from damaskpier.mesh import model as mesh_model
from damaskpier.platform import headers
from damaskpier.teams import keys
from damaskpier.traffic import messages as traffic_messages

from tests.test_fleet import conftest

KEY_FIELD = ((headers.API_KEY, 'key-1'),)
ORDER = model.Order('reads', 7, 'v2', 60.0, model.Phase.RUNNING, 1)


def _configuration(
    version: int = 2,
    route: tuple[str, ...] = (),
    team: tuple[str, ...] | None = None,
    **fields,
) -> model.Configuration:
    """Return a configuration with regions.

    :param team: regions of the only team; None for no teams
    """
    teams = ()
    if team is not None:
        digest = keys.digest_of_key(b'key-1')
        teams = (model.Team('bozi', (digest,), allowed_regions=team),)
    read = conftest.make_route(allowed_regions=route, **fields)
    return conftest.make_configuration(version, (read,), teams)


async def _add(
    fleet: conftest.Fleet, region: str, service: str = 'reads', **fields
) -> conftest.Node:
    fleet.region = region
    return await fleet.add(service, domain=f'{region}-1', **fields)


async def _start(
    fleet: conftest.Fleet, cfg: model.Configuration
) -> list[conftest.Node]:
    """Return an entry node in region r and workers in r, s and t."""
    fleet.store.put(cfg)
    nodes = [await _add(fleet, 'r', 'pages')]
    nodes += [await _add(fleet, region) for region in ('r', 's', 't')]
    await fleet.wait_converged()
    return nodes


def _record_calls(nodes: list[conftest.Node]) -> list[str]:
    """Return a list that gets the region of each node with a request.

    It includes requests that the node refuses.
    """
    called = []
    for node in nodes:
        worker = node.app.service('worker')
        region = node.app.cfg.text('node', 'region')

        async def call(request, region=region, call=worker.call):
            called.append(region)
            return await call(request)

        worker.call = call
    return called


def _counts(nodes: list[conftest.Node]) -> list[int]:
    return [len(node.upstream.ran) for node in nodes]


@pytest.mark.parametrize(
    ('route', 'team', 'region'),
    [
        (('s',), None, 's'),
        ((), ('t',), 't'),
        (('s', 't'), ('r', 't'), 't'),
    ],
)
async def test_request_goes_to_the_regions_of_route_and_team(
    fleet, route, team, region
):
    """Guards against the nearest worker, which is in region r."""
    nodes = await _start(fleet, _configuration(route=route, team=team))
    called = _record_calls(nodes)
    for number in range(12):
        response = await nodes[0].request(
            request_id=f'q{number}', fields=KEY_FIELD
        )
        assert response.status == 200
    assert called == [region] * 12
    assert sum(_counts(nodes)) == 12


async def test_retries_stay_in_the_regions(fleet):
    """Guards against a second attempt at a worker of another region."""
    nodes = await _start(fleet, _configuration(route=('s',)))

    async def fail(request: messages.Request) -> messages.Response:
        return nodes[2].upstream.signed(500)

    nodes[2].upstream.answer = fail
    called = _record_calls(nodes)
    response = await nodes[0].request()
    assert response.status == 500
    assert called == ['s']


async def test_refused_attempt_is_repeated_in_the_regions_only(fleet):
    """Guards against a body at a node of another region."""
    nodes = await _start(fleet, _configuration(route=('s', 't')))
    for node in nodes[2:]:
        node.app.service('worker').admission.draining = True
    called = _record_calls(nodes)
    response = await nodes[0].request(body=b'secret', method='POST')
    assert response.status == 503
    assert f'{errors.CALL_DRAINING}'.encode() in response.body
    assert sorted(called) == ['s', 't']


@pytest.mark.parametrize(
    ('route', 'team', 'reason'),
    [
        (('x',), None, 'no worker of reads is ready in x'),
        (('s',), ('x',), 'the route and the team bozi have no region in'),
    ],
)
async def test_request_without_a_worker_is_refused_at_once(
    fleet, route, team, reason
):
    """Guards against a wait for the deadline, which is 100 s here."""
    nodes = await _start(
        fleet, _configuration(route=route, team=team, timeout_s=100.0)
    )
    response = await nodes[0].request(deadline_ms=100_000, fields=KEY_FIELD)
    assert response.status == 503
    # Workers come back with a heartbeat, of which there is one in 60 s here.
    assert float(response.header('retry-after')) > 1.0
    assert response.body.decode().startswith(f'{errors.CALL_REGION}: {reason}')
    assert sum(_counts(nodes)) == 0


async def test_requests_are_served_again_when_a_worker_is_back(fleet):
    fleet.store.put(_configuration(route=('s',)))
    entry = await _add(fleet, 'r')
    worker = await _add(fleet, 's', announces=False)
    await fleet.wait_converged()
    assert (await entry.request()).status == 503
    worker.announce()
    await fleet.wait_converged()
    assert (await entry.request()).status == 200
    assert entry.upstream.ran == []


async def test_worker_is_checked_again_at_its_node(fleet):
    """Guards against an entry node with an older configuration."""
    nodes = await _start(fleet, _configuration(route=('r',)))
    nodes[1].app.service('configuration').apply(
        _configuration(3, route=('s',))
    )
    response = await nodes[0].request()
    assert response.status == 503
    assert response.body.decode().startswith(
        f'{errors.CALL_REGION}: the worker is in r, the request is '
        'restricted to s'
    )
    assert sum(_counts(nodes)) == 0


async def test_team_is_checked_again_at_the_workers_node(fleet):
    nodes = await _start(fleet, _configuration(route=('r',), team=()))
    nodes[1].app.service('configuration').apply(
        _configuration(3, route=('r',), team=('s', 't'))
    )
    response = await nodes[0].request(fields=KEY_FIELD)
    assert response.status == 503
    assert sum(_counts(nodes)) == 0


async def test_request_that_waited_for_a_slot_is_checked_again(fleet):
    """Guards against a run after the regions have changed meanwhile."""
    fleet.store.put(_configuration(route=('r',)))
    node = await _add(fleet, 'r')
    await fleet.wait_converged()
    done = asyncio.Event()

    async def wait(request: messages.Request) -> messages.Response:
        await done.wait()
        return node.upstream.signed(200)

    node.upstream.answer = wait
    load = node.app.service('worker').admission
    requests = [
        asyncio.ensure_future(node.request(request_id=f'q{number}'))
        for number in range(5)
    ]
    await conftest.wait_until(lambda: load.load.queued == 1)
    node.app.service('configuration').apply(_configuration(3, route=('s',)))
    done.set()
    statuses = sorted([(await task).status for task in requests])
    assert statuses == [200, 200, 200, 200, 503]
    assert len(node.upstream.ran) == 4


async def test_worker_that_refused_for_its_region_is_used_by_others(fleet):
    """Guards against a sound worker that is taken for a failing one."""
    nodes = await _start(fleet, _configuration(route=('r',)))
    nodes[1].app.service('configuration').apply(
        _configuration(3, route=('s',))
    )
    for number in range(5):
        await nodes[0].request(request_id=f'q{number}')
    entry = nodes[0].app.service('router')._selectors['reads', ''].selector
    worker = entry._workers[nodes[1].name]
    assert worker.reliability == 1.0


async def test_only_worker_of_the_regions_is_waited_for(fleet):
    """Guards against a refusal after a quarter of the objective.

    Such a short wait is meant for a request that other workers may take.
    """
    nodes = await _start(fleet, _configuration(route=('s',), objective_s=0.01))
    seen = []
    call = nodes[2].app.service('worker').call

    async def record(request: traffic_messages.Request):
        seen.append(request.max_wait_s)
        return await call(request)

    nodes[2].app.service('worker').call = record
    await nodes[0].request()
    assert seen == [float('inf')]


@pytest.mark.parametrize('versions', [('v1', 'v2'), ('v2', 'v1')])
async def test_version_with_a_worker_in_the_regions_is_chosen(
    fleet, monkeypatch, versions
):
    """Guards against refusals in a region that one version has not reached."""
    fleet.store.put(_configuration(route=('s',)))
    fleet.store.order(ORDER)
    entry = await _add(fleet, 'r', version=versions[1])
    worker = await _add(fleet, 's', version=versions[0])
    await fleet.wait_converged()
    rollouts = entry.app.service('rollouts')
    await conftest.wait_until(rollouts.states)
    rollouts._shares['reads'] = float(versions[1] == 'v2')
    assert (await entry.request()).status == 200
    assert len(worker.upstream.ran) == 1


def _record(name: str, region: str) -> mesh_model.NodeRecord:
    return mesh_model.NodeRecord(
        name, 1, 1, region, f'{region}-1', '10.0.0.1', 7, 8, service='reads'
    )


def test_all_workers_of_a_restricted_region_are_found():
    """Guards against a sample of remote workers that leaves out all allowed.

    Of the workers in other regions, only a few are compared.
    """
    local = _record('local', 'r')
    selector_ = selector.Selector(
        lambda: local, random.Random(3), lambda: 100.0
    )
    far = [_record(f's-{number}', 's') for number in range(60)]
    selector_.update([local, *far, _record('t-1', 't')])
    for _ in range(50):
        worker = selector_.pick(2000.0, (), frozenset('t'))
        assert worker.record.node_id == 't-1'
    assert selector_.pick(2000.0, ('t-1',), frozenset('t')) is None
    assert selector_.pick(2000.0, (), frozenset()) is None
    assert selector_.count(frozenset('st')) == 61
    assert selector_.count(None) == 62
