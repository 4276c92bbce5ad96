"""Acknowledged leaving of a worker, across restarts of all nodes.

The tests guard against a worker that is used again after its node has
acknowledged that it leaves, because all processes that knew it were killed.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

import msgspec
import pytest

from damaskpier import application
from damaskpier import config
from damaskpier.fleet import model
from damaskpier.http1 import client as http_client
from damaskpier.http1 import messages
from damaskpier.platform import endpoints
from damaskpier.platform import node as platform_node
from damaskpier.platform import objects

from tests.test_platform import conftest

HOST = conftest.HOST
INSTANCE = 'i-7'
BORN_MS = 1_000


class Fleet(NamedTuple):
    """Fleet of a single node, whose processes are all killed together."""

    apps: list[application.Application]
    store: conftest.FakeStore

    @property
    def app(self) -> application.Application:
        """Return the running node."""
        return self.apps[-1]

    async def start(self) -> None:
        """Start the node and wait until it is registered."""
        app = platform_node.make_node(
            config.loads(
                '[node]\nid = n\nregion = r\nfailure_domain = d\n'
                f'service = s1\nhost = {HOST}\nhttp_port = 0\nrpc_port = 0\n'
                'admin_port = 0\nhealth_port = 0\nmetrics_port = 0\n'
                f'[platform]\naddress = {HOST}:{self.store.server.port}\n'
                f'[upstream]\naddress = {HOST}:1\n'
                '[fleet]\ngrace = 0.5\nheartbeat = 60\n'
            )
        )
        self.apps.append(app)
        await app.start()

    async def wait_registered(self) -> None:
        """Wait until the node has read its entry in the directory."""
        async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
            while not self.app.service('exchange').is_registered:
                await asyncio.sleep(0.005)

    async def stop(self) -> None:
        """End the node, which keeps nothing."""
        self.app.service('ingress')._grace_s = 0.0
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.app.stop(), 2.0)

    async def restart(self) -> None:
        """End the node and start it again beside the same worker."""
        await self.stop()
        await self.start()
        await self.wait_registered()

    async def report(
        self, state: str, sequence: int = 1, born_ms: int = BORN_MS
    ) -> int:
        """Send a report of the worker; returns the status of the response.

        :param state: ``ready``, ``draining`` or ``left``
        """
        call = endpoints.HEARTBEAT_CALL
        content = {
            'address': f'{HOST}:1',
            'born': born_ms,
            'info': {'service': 's1', 'version': 'v1', 'slots': 4},
            'status': {'state': state, 'sequence': sequence},
        }
        if state == 'left':
            call = endpoints.LEAVE_CALL
            content = {'born': born_ms}
        port = self.app.service('endpoints')._heartbeat_server.port
        response = await http_client.Pool(HOST, port).request(
            messages.encode_request(
                'POST',
                f'/rpc?call={call}&of={INSTANCE}',
                (('Host', HOST),),
                msgspec.json.encode(content),
            ),
            http_client.Options(
                asyncio.get_running_loop().time() + conftest.TEST_TIMEOUT_S
            ),
        )
        return response.status

    def uses_worker(self) -> bool:
        """Return whether the node sends requests to the worker."""
        return bool(self.app.service('membership').workers('s1'))


@pytest.fixture
async def fleet(fake, operator_config):
    """Yield a fleet with a registered node and a configuration."""
    fake.put('config', 'main', operator_config())
    made = Fleet([], fake)
    await made.start()
    await made.wait_registered()
    yield made
    await made.stop()


@pytest.mark.parametrize('notice', ['draining', 'left'])
async def test_late_report_after_all_nodes_restarted_is_ignored(fleet, notice):
    """The acknowledgement was kept in memory only (review/1)."""
    assert await fleet.report('ready', 1) == 200
    assert fleet.uses_worker()
    assert await fleet.report(notice, 3) == 200
    for _ in range(2):
        await fleet.restart()
        assert await fleet.report('ready', 2) == 200
        assert not fleet.uses_worker()


async def test_later_start_of_a_worker_that_left_is_used(fleet):
    """A worker may start again with its id while its node restarts."""
    assert await fleet.report('left') == 200
    await fleet.restart()
    assert await fleet.report('ready', 1, BORN_MS + 1) == 200
    assert fleet.uses_worker()


@pytest.mark.parametrize('notice', ['draining', 'left'])
async def test_leaving_is_not_acknowledged_before_it_is_stored(
    fleet, monkeypatch, notice
):
    """What only this process knows ends with it."""
    monkeypatch.setattr(endpoints, 'STORE_TIMEOUT_S', 0.05)
    assert await fleet.report('ready', 1) == 200
    fleet.store.refusals = [503] * 1000
    assert await fleet.report(notice, 2) == 503
    # A repeated report, and one that is stale by now, are not either.
    assert await fleet.report(notice, 2) == 503
    assert not fleet.uses_worker()
    fleet.store.refusals.clear()
    monkeypatch.setattr(endpoints, 'STORE_TIMEOUT_S', conftest.TEST_TIMEOUT_S)
    assert await fleet.report(notice, 2) == 200
    await fleet.restart()
    assert await fleet.report('ready', 1) == 200
    assert not fleet.uses_worker()


async def test_lost_answer_of_the_store_does_not_prevent_the_acknowledgement(
    fleet,
):
    """The store has the departure; the next write shows that."""
    fleet.store.lost = 1
    assert await fleet.report('left') == 200
    status = fleet.store.objects[objects.NODE_KIND]['n']['status']
    assert status == {
        'departures': [{'instance': INSTANCE, 'started_ms': BORN_MS}]
    }


async def test_departure_is_written_once(fleet):
    """A draining worker repeats its report with each heartbeat."""
    for sequence in range(1, 5):
        assert await fleet.report('draining', sequence) == 200
    assert await fleet.report('left') == 200
    writes = [call for call in fleet.store.calls if call[0] == 'PUT']
    assert len(writes) == 1


async def test_departures_of_other_workers_are_kept(fleet):
    """A repeated notice of an earlier worker must not replace a later one."""
    departures = fleet.app.service('departures')
    for number in range(5):
        assert await departures.store(model.Departure(f'i-{number}', 5), 9.0)
    assert await fleet.report('left') == 200
    await fleet.restart()
    known = fleet.app.service('departures')._left
    assert list(known) == ['i-2', 'i-3', 'i-4', INSTANCE]
