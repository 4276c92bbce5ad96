"""Keys of callers, from the entry node to the worker.

The tests guard against requests that run without a valid key or for another
team than the one that holds the key, and against keys that leave the entry.
"""

from __future__ import annotations

import logging

import pytest

from damaskpier import errors
from damaskpier.fleet import configuration
from damaskpier.fleet import model
from damaskpier.fleet import peers
from damaskpier.http1 import messages
from damaskpier.platform import headers
from damaskpier.teams import keys
from damaskpier.traffic import messages as traffic_messages

from tests.test_fleet import conftest

KEY = 'key-of-bozi'
DIGEST = keys.digest_of_key(KEY.encode())
TEAM = model.Team('bozi', (DIGEST,))
KEY_FIELD = ((headers.API_KEY, KEY),)


def _configuration(
    version: int = 2, teams: tuple[model.Team, ...] = (TEAM,), **route_fields
) -> model.Configuration:
    return conftest.make_configuration(
        version, (conftest.make_route(**route_fields),), teams
    )


async def _start(
    fleet: conftest.Fleet, cfg: model.Configuration
) -> tuple[conftest.Node, conftest.Node]:
    """Return an entry node and the node beside the only worker."""
    fleet.store.put(cfg)
    entry = await fleet.add('pages')
    worker = await fleet.add('reads')
    await fleet.wait_converged()
    return entry, worker


def _credentials(request: messages.Request) -> list[tuple[str, str]]:
    names = ('x-api-key', 'x-tenant')
    return [field for field in request.headers if field[0].lower() in names]


async def test_request_with_a_key_runs_for_its_team(fleet):
    entry, worker = await _start(fleet, _configuration())
    forged = (('x-tenant', 'noba'), ('X-TENANT', 'sona'))
    response = await entry.request(fields=(*forged, ('x-API-key', KEY)))
    assert response.status == 200
    assert _credentials(worker.upstream.ran[0]) == [('X-Tenant', 'bozi')]
    counted = entry.app.service('metrics').counter_value(
        'authenticated_requests', team='bozi'
    )
    assert counted == 1


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ((), 'missing'),
        (((headers.API_KEY, ''),), 'missing'),
        (((headers.TENANT, 'bozi'),), 'missing'),
        (((headers.API_KEY, 'unknown'),), 'unknown'),
        (((headers.API_KEY, f'{KEY}, {KEY}'),), 'unknown'),
        (KEY_FIELD * 2, 'repeated'),
        ((*KEY_FIELD, ('x-api-key', 'unknown')), 'repeated'),
    ],
)
async def test_request_without_a_valid_key_is_refused(
    fleet, caplog, fields, reason
):
    """Guards against a run without a key, and a refusal that invites retries.

    The key is not in the log either, not even an unknown one.
    """
    entry, worker = await _start(fleet, _configuration())
    with caplog.at_level(logging.INFO):
        response = await entry.request(fields=fields)
    assert response.status == 401
    assert not response.header('retry-after')
    assert response.body.startswith(str(errors.CALL_KEY).encode())
    assert worker.upstream.ran == []
    metrics = entry.app.service('metrics')
    counted = metrics.counter_value('unauthenticated_requests', reason=reason)
    assert counted == 1
    for text in (caplog.text, metrics.render(), response.body.decode()):
        assert KEY not in text
        assert DIGEST.hex() not in text


async def test_refused_keys_cost_neither_attempts_nor_messages(
    fleet, monkeypatch
):
    """Guards against callers with a wrong key that load other nodes."""
    entry, worker = await _start(fleet, _configuration())
    called = []
    monkeypatch.setattr(
        entry.app.service('router'), 'route', lambda *args: called.append(args)
    )
    for number in range(50):
        fields = ((headers.API_KEY, f'guess-{number}'),)
        assert (await entry.request(fields=fields)).status == 401
    assert called == []
    assert worker.upstream.ran == []


async def test_public_route_needs_no_key_and_passes_none_on(fleet):
    entry, worker = await _start(fleet, _configuration(is_public=True))
    response = await entry.request(
        fields=(*KEY_FIELD, (headers.TENANT, 'noba'))
    )
    assert response.status == 200
    assert _credentials(worker.upstream.ran[0]) == []


async def test_both_headers_are_forwarded_without_teams(fleet):
    entry, worker = await _start(fleet, _configuration(teams=()))
    fields = (*KEY_FIELD, (headers.TENANT, 'noba'))
    response = await entry.request(fields=fields)
    assert response.status == 200
    assert _credentials(worker.upstream.ran[0]) == list(fields)


async def test_key_from_an_older_entry_node_does_not_reach_the_worker(fleet):
    """Guards against a key passed on by a node that knows no teams yet."""
    entry, worker = await _start(fleet, _configuration(teams=()))
    worker.app.service('configuration').apply(_configuration(3))
    fields = (*KEY_FIELD, (headers.TENANT, 'noba'))
    assert (await entry.request(fields=fields)).status == 200
    assert _credentials(worker.upstream.ran[0]) == []


async def test_older_node_of_the_worker_passes_the_team_on(fleet):
    """Guards against a lost name while a configuration spreads."""
    entry, worker = await _start(fleet, _configuration(teams=()))
    entry.app.service('configuration').apply(_configuration(3))
    assert (await entry.request(fields=KEY_FIELD)).status == 200
    assert _credentials(worker.upstream.ran[0]) == [('X-Tenant', 'bozi')]


async def test_change_of_the_teams_is_logged_without_keys(fleet, caplog):
    entry, _ = await _start(fleet, _configuration())
    with caplog.at_level(logging.INFO):
        entry.app.service('configuration').apply(_configuration(3))
        assert 'teams (' not in caplog.text
        entry.app.service('configuration').apply(_configuration(4, ()))
    assert (
        'config: version 4 has 0 teams (0 added, 1 removed) '
        'with 0 keys (0 added, 1 removed)'
    ) in caplog.text
    assert DIGEST.hex() not in caplog.text


async def test_key_is_not_sent_to_another_node(fleet, monkeypatch):
    """Guards against a key that the node beside the worker would remove."""
    entry, worker = await _start(fleet, _configuration())
    received = []
    decode = peers._decode_request

    def record(request: messages.Request, now: float):
        received.append(request)
        return decode(request, now)

    monkeypatch.setattr(peers, '_decode_request', record)
    await entry.request(fields=KEY_FIELD)
    assert len(received) == len(worker.upstream.ran) == 1
    assert received[0].header(peers.TEAM.lower()) == 'bozi'
    assert KEY not in repr(received[0])


async def test_node_without_a_configuration_refuses_no_key(fleet):
    """Guards against callers that give up at a node that just starts."""
    fleet.store.is_down = True
    node = await fleet.add()
    response = await node.request(fields=KEY_FIELD)
    assert response.status == 503
    assert response.header('retry-after')


@pytest.mark.parametrize(
    ('team_priority', 'expected'), [(None, 3), (0, 0), (5, 5)]
)
async def test_priority_of_a_team_goes_first(
    fleet, monkeypatch, team_priority, expected
):
    team = TEAM._replace(priority=team_priority)
    entry, worker = await _start(
        fleet, _configuration(teams=(team,), priority=3)
    )
    seen = []
    call = worker.app.service('worker').call

    async def record(request):
        seen.append((request.priority, request.team))
        return await call(request)

    monkeypatch.setattr(worker.app.service('worker'), 'call', record)
    await entry.request(fields=KEY_FIELD)
    assert seen == [(expected, 'bozi')]


async def test_removed_key_is_refused_and_added_one_accepted(fleet):
    """Guards against keys of an earlier configuration that stay valid."""
    entry, worker = await _start(fleet, _configuration())
    added = keys.digest_of_key(b'added')
    fleet.store.put(_configuration(3, (TEAM._replace(key_digests=(added,)),)))
    await fleet.wait_converged()
    assert (await entry.request(fields=KEY_FIELD)).status == 401
    fields = ((headers.API_KEY, 'added'),)
    assert (await entry.request(fields=fields)).status == 200
    assert len(worker.upstream.ran) == 1


@pytest.mark.parametrize(
    'teams',
    [
        (TEAM, model.Team('noba', (DIGEST,))),
        (TEAM, model.Team('bozi')),
        (model.Team('bozi\r\nX-Forged: 1'),),
        (model.Team(' bozi'),),
    ],
)
def test_configuration_with_ambiguous_teams_is_refused(teams):
    """Guards against a key that stands for two teams.

    The refusal is logged, so that it must not contain the key's digest.
    """
    refusal = configuration.validate(_configuration(teams=teams))
    assert refusal is not None
    assert repr(DIGEST)[2:-1] not in str(refusal)
    assert DIGEST.hex() not in str(refusal)
    assert configuration.validate(_configuration()) is None


@pytest.mark.parametrize('name', ['bozi', 'équipe', '隊'])
def test_name_of_a_team_reaches_the_worker_whole(name):
    """Guards against a request that fails because of its team's name."""
    request = _peer_request(name)
    fields = peers._encode_headers(request, 0.0)
    encoded = messages.encode_request('GET', '/', fields, b'')
    assert encoded
    received = messages.Request('GET', '/', fields, b'')
    assert peers._decode_request(received, 0.0).team == name


def _peer_request(team: str) -> traffic_messages.Request:
    return traffic_messages.Request(
        request_id='r',
        route='read',
        service='reads',
        version='',
        method='GET',
        target='/',
        headers=(),
        body=b'',
        deadline=1.0,
        depth=0,
        repeatable=True,
        team=team,
    )
