"""Use of a worker by a node that does not know yet whether it has left.

The tests guard against a node that uses a worker that has left, and against
one that leaves a worker unused without need, while the store is unreachable.
"""

from __future__ import annotations

import pytest

from damaskpier.fleet import model

from tests.test_fleet import conftest


def _with_health() -> model.Configuration:
    cfg = conftest.make_configuration(2)
    spec = model.ServiceSpec('reads', 0, conftest.HEALTH_PATH)
    return cfg._replace(services={'reads': spec})


async def _restart_without_store(
    fleet: conftest.Fleet, node: conftest.Node
) -> conftest.Node:
    """Restart a node that gets the configuration as if from another one."""
    fleet.store.is_down = True
    node = await fleet.restart(node)
    assert node.app.service('configuration').apply(_with_health())
    return node


@pytest.fixture
async def node(fleet) -> conftest.Node:
    """Return a node beside a worker with a health check."""
    fleet.store.put(_with_health())
    made = await fleet.add()
    await fleet.wait_converged()
    return made


def _uses_worker(node: conftest.Node) -> bool:
    local = node.app.service('membership').local_record()
    return local.routable


async def test_worker_that_fails_the_check_is_not_used_without_the_store(
    fleet, node
):
    """Its late report must not bring it back, and no second kill."""
    assert await node.app.service('departures').store(
        node.app.service('worker').left('i-0'), conftest.TEST_TIMEOUT_S
    )
    node.upstream.is_healthy = False
    for _ in range(2):
        node = await _restart_without_store(fleet, node)
        assert not node.announce()
        check = node.app.service('startup-check')
        await conftest.wait_until(lambda: check._task and check._task.done())
        assert not _uses_worker(node)
    fleet.store.is_down = False
    departures = node.app.service('departures')
    await conftest.wait_until(lambda: departures.are_known)
    assert not _uses_worker(node)
    assert not node.announce()
    assert node.announce(started_ms=2)
    assert _uses_worker(node)


async def test_worker_that_passes_the_check_is_used_without_the_store(
    fleet, node
):
    """The store may be unreachable for long."""
    node = await _restart_without_store(fleet, node)
    node.announce()
    await conftest.wait_until(lambda: _uses_worker(node))
    announcement = node.app.service('worker').announcement
    assert announcement.version == 'v1'
    assert node.announce()


async def test_worker_is_checked_again_with_each_heartbeat(fleet, node):
    """A worker may fail one check because it is full."""
    node.upstream.is_healthy = False
    node = await _restart_without_store(fleet, node)
    assert not node.announce()
    check = node.app.service('startup-check')
    await conftest.wait_until(lambda: check._task and check._task.done())
    assert not _uses_worker(node)
    node.upstream.is_healthy = True
    node.announce()
    await conftest.wait_until(lambda: _uses_worker(node))


async def test_worker_without_a_check_is_used_when_the_store_is_back(fleet):
    """It must not wait for the next heartbeat after that."""
    node = await fleet.add()
    fleet.store.is_down = True
    node = await fleet.restart(node)
    assert not node.announce()
    assert not _uses_worker(node)
    fleet.store.is_down = False
    await conftest.wait_until(lambda: _uses_worker(node))


async def test_departure_learned_after_the_check_spares_a_later_start(
    fleet, node
):
    """The check does not tell the start, and the worker has started again."""
    assert await node.app.service('departures').store(
        node.app.service('worker').left('i-0', 1), conftest.TEST_TIMEOUT_S
    )
    node = await _restart_without_store(fleet, node)
    await conftest.wait_until(lambda: _uses_worker(node))
    fleet.store.is_down = False
    departures = node.app.service('departures')
    await conftest.wait_until(lambda: departures.are_known)
    assert _uses_worker(node)
    assert not node.announce(started_ms=1)
    assert node.announce(started_ms=2)
    assert _uses_worker(node)
