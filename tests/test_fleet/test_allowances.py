"""Allowances of teams on complete nodes."""

from __future__ import annotations

import asyncio


from damaskpier import errors
from damaskpier.fleet import allowance_exchange
from damaskpier.fleet import model
from damaskpier.fleet import router
from damaskpier.platform import headers
from damaskpier.teams import keys

from tests.test_fleet import conftest

TEAM = 'team-a'
KEY = 'key-of-team-a'
KEY_FIELDS = ((headers.API_KEY, KEY),)


def _configure(fleet, rate_per_s, burst=0.0, version=2):
    cfg = conftest.make_configuration(version)
    team = model.Team(
        TEAM,
        (keys.digest_of_key(KEY.encode()),),
        rate_per_s=rate_per_s,
        burst=burst,
    )
    fleet.store.put(cfg._replace(teams=(team,)))


async def _add_nodes(fleet, count):
    nodes = [await fleet.add() for _ in range(count)]
    await fleet.wait_converged()
    await conftest.wait_until(
        lambda: all(
            node.app.service('exchange').is_registered for node in nodes
        )
    )
    return nodes


async def _settle(nodes):
    """Wait until all nodes have had an answer of the same owner."""
    services = [node.app.service('allowances') for node in nodes]
    await conftest.wait_until(
        lambda: (
            all(service._entry._owner_contact_at > 0 for service in services)
            and len({service._owner_id for service in services}) == 1
        )
    )


async def _request_many(nodes, count):
    return await asyncio.gather(
        *(
            nodes[number % len(nodes)].request(
                request_id=f'r{number}', fields=KEY_FIELDS
            )
            for number in range(count)
        )
    )


async def test_requests_beyond_the_allowance_get_429(fleet):
    """All nodes together serve no more than the bound of the team."""
    _configure(fleet, 1.0)
    nodes = await _add_nodes(fleet, 3)
    await _settle(nodes)
    responses = []
    for _ in range(10):
        responses += await _request_many(nodes, 30)
    statuses = {response.status for response in responses}
    assert statuses == {200, 429}
    ran = sum(len(node.upstream.ran) for node in nodes)
    assert ran == sum(response.status == 200 for response in responses)
    assert 3 <= ran <= (1.0 * 5) * 1.1 + 20
    refused = [r for r in responses if r.status == 429]
    assert all(float(r.header('retry-after')) > 0 for r in refused)
    assert all(errors.CALL_ALLOWANCE.meaning in str(r.body) for r in refused)
    counted = sum(
        node.app.service('metrics').counter_value(
            'allowance_refusals', team=TEAM
        )
        for node in nodes
    )
    assert counted == len(refused)


async def test_team_without_limit_is_served_without_messages(fleet):
    """A deployment without limits is served as before."""
    _configure(fleet, 0.0)
    nodes = await _add_nodes(fleet, 2)
    responses = await _request_many(nodes, 20)
    assert {response.status for response in responses} == {200}
    for node in nodes:
        assert node.app.service('allowances')._timer is None


async def test_limit_that_is_added_later_is_enforced_without_a_gap(fleet):
    """A node must not take the time without limits for a lost owner."""
    nodes = await _add_nodes(fleet, 2)
    for node in nodes:
        entry = node.app.service('allowances')._entry
        entry._contact_at = entry._owner_contact_at = -1000.0
    _configure(fleet, 1000.0, 1000.0)
    await fleet.wait_converged()
    responses = await _request_many(nodes, 4)
    assert {response.status for response in responses} == {200}


async def test_allowance_of_a_request_that_did_not_run_is_given_back(
    fleet, monkeypatch
):
    """A refusal behind the entry node would cost the team twice."""
    _configure(fleet, 1.0)
    nodes = await _add_nodes(fleet, 1)
    given = []
    monkeypatch.setattr(
        nodes[0].app.service('allowances'),
        'give_back',
        lambda team, admitted_at: given.append(team),
    )

    async def refuse(route, request):
        return router.Outcome(errors.Refusal(errors.CALL_OVERLOADED, 'full'))

    async def fail(route, request):
        return router.Outcome(
            errors.Refusal(
                errors.CALL_UNKNOWN, 'lost', errors.RunState.UNKNOWN
            )
        )

    for route, expected in ((refuse, 1), (fail, 1)):
        monkeypatch.setattr(nodes[0].app.service('router'), 'route', route)
        await nodes[0].request(fields=KEY_FIELDS)
        assert len(given) == expected


async def test_owner_that_is_lost_is_replaced(fleet):
    """Another node becomes the owner, and grants what it may."""
    _configure(fleet, 100.0, 100.0)
    nodes = await _add_nodes(fleet, 3)
    await _settle(nodes)
    owner_id = nodes[0].app.service('allowances')._owner_id
    (owner,) = (node for node in nodes if node.name == owner_id)
    others = [node for node in nodes if node is not owner]
    await owner.app.service('peer-server').server.stop(0.0)
    await conftest.wait_until(
        lambda: all(
            node.app.service('allowances')._owner_id != owner_id
            for node in others
        )
    )
    # The new owner begins with few tokens.
    for node in others:
        async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
            while (await node.request(fields=KEY_FIELDS)).status != 200:
                await asyncio.sleep(0.05)


async def test_node_that_does_not_know_the_fleet_admits_nothing(fleet):
    """It would take itself for all nodes, and use the whole limit."""
    fleet.store.is_down = True
    node = await fleet.add(announces=False)
    service = node.app.service('allowances')
    service._config_applied(
        conftest.make_configuration()._replace(
            teams=(model.Team(TEAM, rate_per_s=100.0),)
        )
    )
    assert await service.admit(TEAM) is not None


async def test_node_that_was_stopped_by_plan_does_not_count(fleet):
    """The owner would grant only the part of the nodes that are left."""
    _configure(fleet, 100.0, 100.0)
    nodes = await _add_nodes(fleet, 3)
    await _settle(nodes)
    service = nodes[0].app.service('allowances')
    assert service._node_count == 3
    await nodes[2].app.stop()

    def has_left():
        service._refresh_view()
        return service._node_count == 2

    await conftest.wait_until(has_left)


async def test_invalid_message_is_refused(fleet):
    """Bytes of another program must not end the service."""
    (node,) = await _add_nodes(fleet, 1)
    assert node.app.service('allowances').received(b'\xc1').status == 400


async def test_counter_of_refusals_has_a_bounded_number_of_teams(fleet):
    """A label for each of many teams would fill the memory."""
    (node,) = await _add_nodes(fleet, 1)
    service = node.app.service('allowances')
    for number in range(allowance_exchange.MAX_TEAM_LABELS + 10):
        service._count_refusal(f'team-{number}')
    metrics = node.app.service('metrics')
    assert (
        metrics.counter_value(
            'allowance_refusals', team=allowance_exchange.OTHER_TEAMS
        )
        == 10
    )
