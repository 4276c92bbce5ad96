"""Changes of the settings while a node runs.

The tests guard against parts of a node that go on with old settings. Case 9 of
the review: the address of an upstream went to one of another service, and
requests went on under the name of the old one.
"""

from __future__ import annotations

import asyncio
import math

import pytest

from damaskpier import config
from damaskpier import errors
from damaskpier.http1 import client
from damaskpier.http1 import messages
from damaskpier.platform import headers
from damaskpier.traffic import messages as traffic_messages

from tests.test_fleet import conftest


def _change(node: conftest.Node, **values) -> None:
    """Change settings; a name is that of the section and of the value."""
    cfg = node.app.cfg
    changed = {
        tuple(name.split('__')): value for name, value in values.items()
    }
    assert set(changed) <= set(cfg._values)
    node.app.apply_settings(config.Settings({**cfg._values, **changed}))


def _replace_upstream(
    node: conftest.Node, service: str, instance: str
) -> None:
    """Let the address of a node's upstream go to one of another service."""
    node.upstream.instance = instance
    node.upstream.service = service
    node.upstream.sequence = 0


def _callers(node: conftest.Node) -> list[str]:
    return [
        request.header(headers.CALLER.lower()) for request in node.upstream.ran
    ]


@pytest.fixture
async def nodes(fleet) -> list[conftest.Node]:
    """Return a node beside ``pages`` and one beside ``reads``."""
    routes = (conftest.make_route(), conftest.make_route('page', 'pages'))
    fleet.store.put(conftest.make_configuration(2, routes))
    made = [await fleet.add('pages'), await fleet.add('reads')]
    await fleet.wait_converged()
    return made


async def test_requests_have_the_service_of_the_changed_settings(nodes):
    """Also those on a connection that was opened before."""
    node, other = nodes
    port = node.app.service('ingress').server.port
    pool = client.Pool(conftest.HOST, port)

    async def ask(request_id: str) -> None:
        data = messages.encode_request(
            'GET',
            '/read/1',
            (('Host', 'h.example'), (headers.REQUEST_ID, request_id)),
            b'',
        )
        now = asyncio.get_running_loop().time()
        response = await pool.request(data, client.Options(now + 5.0))
        assert response.status == 200

    await ask('r1')
    _change(node, node__service='images')
    await ask('r2')
    assert pool.opened_count == 1
    assert _callers(other) == ['pages', 'images']


async def test_running_request_keeps_the_service_of_its_begin(nodes):
    node, other = nodes
    gate = asyncio.Event()

    async def wait(request: messages.Request) -> messages.Response:
        await gate.wait()
        return other.upstream.signed(200)

    other.upstream.answer = wait
    asking = asyncio.create_task(node.request())
    await conftest.wait_until(lambda: other.upstream.ran)
    _change(node, node__service='images')
    gate.set()
    assert (await asking).status == 200
    assert _callers(other) == ['pages']


async def test_old_upstream_leaves_routing_with_its_service(fleet, nodes):
    """Requests of the old service reached the upstream at its address."""
    other, node = nodes
    _change(node, node__service='images')
    worker = node.app.service('worker')
    assert worker.announcement is None
    for member in nodes:
        membership = member.app.service('membership')
        await conftest.wait_until(lambda m=membership: not m.workers('reads'))
    reply = await worker.call(
        traffic_messages.Request(
            request_id='r1',
            route='read',
            service='reads',
            version='',
            method='GET',
            target='/read/1',
            headers=(),
            body=b'',
            deadline=math.inf,
            depth=0,
            repeatable=True,
        )
    )
    assert reply.result.code is errors.CALL_NO_WORKER
    assert (await other.request()).status == 503
    assert node.upstream.ran == []


async def test_late_announcement_of_the_old_upstream_is_ignored(nodes):
    """A heartbeat may arrive seconds late."""
    _, node = nodes
    _change(node, node__service='pages')
    assert not node.announce()
    assert node.app.service('worker').announcement is None
    assert node.app.service('worker').service.name == 'pages'


@pytest.mark.parametrize('is_settings_first', [True, False])
async def test_new_upstream_of_another_service_is_used(
    fleet, nodes, is_settings_first
):
    """Its announcement and the settings arrive in any order."""
    other, node = nodes
    worker = node.app.service('worker')
    worker.admission.service_s = 7.0
    _replace_upstream(node, 'pages', 'i-new')
    later_ms = int(worker._wall() * 1000) + 60_000
    if is_settings_first:
        _change(node, node__service='pages')
    assert node.announce(started_ms=later_ms)
    assert worker.service.name == 'pages'
    if not is_settings_first:
        _change(node, node__service='pages')
    assert worker.service.name == 'pages'
    assert worker.announcement.instance == 'i-new'
    assert worker.admission.service_s == 0.0
    membership = other.app.service('membership')
    await conftest.wait_until(
        lambda: (
            {w.instance for w in membership.workers('pages')}
            == {'i-0', 'i-new'}
        )
    )
    assert not membership.workers('reads')


async def test_announcement_of_an_unknown_service_names_no_caller(nodes):
    """A report may come from another writer."""
    node, other = nodes
    node.upstream.service = 'nonsense'
    node.announce(started_ms=2)
    await node.request()
    assert _callers(other) == ['pages']


async def test_startup_check_of_the_old_service_is_dropped(fleet):
    """Its result would be taken for an upstream of the new service."""
    routes = (conftest.make_route(), conftest.make_route('page', 'pages'))
    cfg = conftest.make_configuration(2, routes)
    for spec in tuple(cfg.services):
        cfg.services[spec] = cfg.services[spec]._replace(
            health_path=conftest.HEALTH_PATH
        )
    node = await fleet.add('reads', announces=False)
    check = node.app.service('startup-check')
    answered = asyncio.Event()
    handle = node.upstream.server.handler

    async def wait(request: messages.Request) -> messages.Response:
        await answered.wait()
        return await handle(request)

    node.upstream.server.handler = wait
    fleet.store.put(cfg)
    await conftest.wait_until(lambda: check._task is not None)
    _change(node, node__service='pages')
    answered.set()
    await check._task
    assert node.app.service('worker').announcement is None


async def test_times_and_limits_of_the_settings_are_used_at_once(nodes):
    node, _ = nodes
    await node.request()
    _change(
        node,
        fleet__grace=7.5,
        fleet__heartbeat=0.25,
        fleet__retry_ratio=0.5,
        fleet__retry_slack=3.0,
        fleet__retry_window=2.0,
        fleet__revoke=9.0,
        fleet__allowance_window=4.0,
        fleet__allowance_slack=2.0,
    )
    service = node.app.service
    assert service('ingress')._grace_s == 7.5
    assert service('ingress')._heartbeat_s == 0.25
    assert service('worker')._heartbeat_s == 0.25
    assert service('router')._budget('reads').limit == (0.5, 3.0, 2.0)
    assert service('store-contact')._contact.limit_s == 9.0
    assert service('allowances')._bounds.window_s == 4.0
    assert service('allowances')._bounds.slack == 2.0
    assert service('allowances')._owner.window_s == 4.0


async def test_shorter_heartbeat_holds_for_the_upstream_that_is_known(nodes):
    """The silent upstream would have stayed in routing for 180 s."""
    _, node = nodes
    _change(node, fleet__heartbeat=0.05)
    worker = node.app.service('worker')
    await conftest.wait_until(lambda: worker.announcement is None)


async def test_features_can_be_switched_while_a_node_runs(fleet, nodes):
    node, _ = nodes
    evacuations = node.app.service('evacuations')
    contact = node.app.service('store-contact')
    pace = node.app.service('worker')._local_pace
    _change(
        node,
        fleet__evacuations=True,
        fleet__strict_revoke=True,
        fleet__adaptive_pace=True,
    )
    fleet.store.evacuate('a')
    await conftest.wait_until(lambda: evacuations.local_refusal() is not None)
    assert pace._is_enabled
    contact._contact._as_of = -math.inf
    assert not contact.accepts_keys()
    _change(
        node,
        fleet__evacuations=False,
        fleet__strict_revoke=False,
        fleet__adaptive_pace=False,
    )
    assert evacuations.local_refusal() is None
    assert contact.accepts_keys()
    assert not pace._is_enabled
