"""Evacuation of failure domains by whole nodes.

The tests guard against requests that reach workers of an evacuated domain, and
against running requests that are lost to it.
"""

from __future__ import annotations

import asyncio
import logging

import pytest

from damaskpier import errors
from damaskpier.fleet import evacuations
from damaskpier.http1 import messages

from tests.test_fleet import conftest


@pytest.fixture
async def nodes(fleet) -> list[conftest.Node]:
    """Return nodes with workers in two domains that follow evacuations."""
    fleet.settings = 'evacuations = true\nadaptive_pace = true\n'
    made = [await fleet.add(domain=name) for name in 'ab']
    await fleet.wait_converged()
    for node in made:
        service = node.app.service('evacuations')
        await conftest.wait_until(lambda s=service: not s.local_refusal())
    return made


def _known(node: conftest.Node) -> set[str] | None:
    state = node.app.service('evacuations')._known.state
    return None if state is None else set(state.domains)


async def _wait_known(nodes: list[conftest.Node], *domains: str) -> None:
    await conftest.wait_until(
        lambda: all(_known(node) == set(domains) for node in nodes)
    )


async def test_nothing_more_is_sent_to_an_evacuated_domain(fleet, nodes):
    """Requests of callers inside the domain go elsewhere, too."""
    fleet.store.evacuate('a')
    await _wait_known(nodes, 'a')
    for node in nodes:
        for _ in range(5):
            assert (await node.request()).body == b'i-1'
    assert not nodes[0].upstream.ran
    fleet.store.evacuate()
    await _wait_known(nodes)
    assert (await nodes[0].request()).body == b'i-0'


async def test_running_requests_finish_and_the_queue_is_refused(fleet, nodes):
    """Waiting requests are served elsewhere without running here."""
    gate = asyncio.Event()

    async def answer(request: messages.Request) -> messages.Response:
        await gate.wait()
        return await nodes[0].upstream.ok(request)

    nodes[0].upstream.answer = answer
    sending = [
        asyncio.ensure_future(
            nodes[0].request(target='/write/1', method='POST')
        )
        for _ in range(8)
    ]
    worker = nodes[0].app.service('worker')
    await conftest.wait_until(lambda: worker.load.queued >= 2)
    slots = nodes[0].upstream.slots
    await conftest.wait_until(lambda: len(nodes[0].upstream.ran) == slots)
    running = slots
    fleet.store.evacuate('a')
    await _wait_known(nodes, 'a')
    assert worker.load.queued == 0
    gate.set()
    bodies = [(await fut).body for fut in sending]
    assert bodies.count(b'i-0') == running == len(nodes[0].upstream.ran)
    assert bodies.count(b'i-1') == 8 - running


async def test_node_of_the_worker_refuses_what_others_still_send(fleet, nodes):
    """A node that has not heard of the evacuation sends requests there."""
    caller = nodes[1].app.service('evacuations')
    caller._is_enabled = False
    caller._known.merge = lambda state: False
    # Its own worker is gone, so that it has only the other one.
    nodes[1].app.service('worker')._remove_instance('is silent')
    fleet.store.evacuate('a')
    await _wait_known(nodes[:1], 'a')
    response = await nodes[1].request()
    assert response.status == 503
    assert not nodes[0].upstream.ran


async def test_all_domains_evacuated_is_refused_at_once(fleet, nodes, caplog):
    """Waiting until the deadline would not bring a worker back."""
    caplog.set_level(logging.INFO)
    fleet.store.evacuate('a', 'b')
    await _wait_known(nodes, 'a', 'b')
    response = await nodes[0].request()
    assert response.status == 503
    assert response.header('retry-after')
    assert 'DP-3030' in caplog.text
    service = nodes[0].app.service('evacuations')
    assert service.covers_service('reads')
    refusal = service.service_refusal('reads')
    assert refusal.code is errors.CALL_EVACUATED
    assert refusal.run is errors.RunState.NOT_RUN
    assert 'a, b' in refusal.reason


async def test_node_without_the_store_hears_from_others(fleet, nodes):
    nodes[0].store.is_cut = True
    fleet.store.evacuate('a')
    await _wait_known(nodes, 'a')
    fleet.store.evacuate()
    await _wait_known(nodes)


async def test_node_that_starts_in_the_middle_sends_nothing(fleet, nodes):
    """It is asked before it has heard of the evacuation."""
    fleet.store.evacuate('a')
    await _wait_known(nodes, 'a')
    fleet.store.is_down = True
    restarted = await fleet.restart(nodes[0])
    worker = restarted.app.service('worker')
    assert worker._app.service('evacuations').local_refusal()
    restarted.app.service('exchange').start_sync(
        nodes[1].app.service('membership').local_record()
    )
    await _wait_known([restarted], 'a')
    assert not restarted.upstream.ran


async def test_workers_come_back_at_the_pace_of_started_ones(fleet, nodes):
    """They may have become cold meanwhile."""
    limits = nodes[0].app.service('worker').admission.limits[2:]
    assert not any(limit.wait_s(3, 0.1) for limit in limits)
    fleet.store.evacuate('a')
    await _wait_known(nodes, 'a')
    fleet.store.evacuate()
    await _wait_known(nodes)
    assert any(limit.wait_s(3, 0.1) for limit in limits)


async def test_other_deployments_make_no_call_and_send_no_state(fleet):
    node = await fleet.add()
    service: evacuations.Evacuations = node.app.service('evacuations')
    assert service._task is None
    assert service.local_refusal() is None
