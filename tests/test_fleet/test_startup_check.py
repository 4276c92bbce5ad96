"""Health check of an upstream that runs when its node starts.

The tests guard against a node that ignores a running upstream until the next
heartbeat, or that uses one of which it must not.
"""

from __future__ import annotations

from damaskpier.fleet import model

from tests.test_fleet import conftest


def _with_health() -> model.Configuration:
    cfg = conftest.make_configuration(2)
    spec = model.ServiceSpec('reads', 0, conftest.HEALTH_PATH)
    return cfg._replace(services={'reads': spec})


async def test_upstream_serves_before_its_first_heartbeat(fleet):
    """The next heartbeat may be a whole interval away."""
    fleet.store.put(_with_health())
    node = await fleet.add(announces=False)
    await conftest.wait_until(lambda: node.app.service('worker').announcement)
    assert (await node.request()).body == b'i-0'
    assert node.app.service('worker').admission.slots == node.upstream.slots


async def test_heartbeat_replaces_the_result_of_the_health_check(fleet):
    fleet.store.put(_with_health())
    node = await fleet.add(announces=False)
    service = node.app.service('worker')
    await conftest.wait_until(lambda: service.announcement)
    node.upstream.slots = 9
    assert node.announce()
    assert service.announcement.version == 'v1'
    assert service.admission.slots == 9


async def test_health_check_does_not_restore_a_leaving_upstream(fleet):
    fleet.store.put(_with_health())
    node = await fleet.add(announces=False, is_healthy=False)
    startup_check = node.app.service('startup-check')
    await conftest.wait_until(
        lambda: startup_check._task is not None and startup_check._task.done()
    )
    service = node.app.service('worker')
    assert service.announcement is None
    # The leave notice may also arrive during the health check.
    service.left('i-0')
    service.apply_health(model.Health('i-0', 4))
    assert service.announcement is None


async def test_upstream_of_unknown_version_gets_nothing_during_a_move(fleet):
    """The upstream may have the new version, which gets only its share."""
    fleet.store.put(_with_health())
    node = await fleet.add(announces=False)
    old = await fleet.add()
    await fleet.wait_converged()
    fleet.store.order(
        model.Order('reads', 1, 'v2', 60.0, model.Phase.RUNNING, 1)
    )
    rollouts = old.app.service('rollouts')
    await conftest.wait_until(lambda: rollouts.states())
    for number in range(10):
        response = await old.request(request_id=f'r{number}')
        assert response.body == b'i-1'
    assert not node.upstream.ran


async def test_upstream_of_unknown_version_serves_after_a_finished_move(
    fleet,
):
    """The old workers have stopped, so waiting for a heartbeat is useless."""
    fleet.store.put(_with_health())
    done = model.Order('reads', 1, 'v2', 60.0, model.Phase.DONE, 1)
    fleet.store.order(done)
    node = await fleet.add(announces=False)
    rollouts = node.app.service('rollouts')
    await conftest.wait_until(lambda: rollouts.states())
    await conftest.wait_until(lambda: node.app.service('worker').announcement)
    assert (await node.request()).body == b'i-0'
