"""Load above the capacity that begins in a collapsed state.

Requests of one service call another one while they hold their slots. All
queues are full of requests whose deadlines are near, and all callers return
at once. The capacity is what the same fleet serves of callers that wait.
"""

from __future__ import annotations

import pytest

from tests.test_capacity import simulation

CALL = simulation.Traffic(
    'call', 0.0, objective_s=0.307, deadline_s=0.818, service=1
)
# Time in which all queues have been full before the run.
QUEUES_FULL = 3
RECOVERY_S = 4.0
LENGTH_S = 10.0


def run(traffic, *, is_collapsed, services=2):
    setup = simulation.Setup(
        traffic,
        services=services,
        workers=3,
        nodes=4,
        returns_max=2,
        length_s=LENGTH_S,
    )
    sim = simulation.ReturnsSimulation(setup)
    if is_collapsed:
        collapse(sim)
    return sim.run()


def collapse(sim):
    """Send more than all slots and queues hold, with little time left."""
    setup = sim.setup
    count = QUEUES_FULL * setup.workers * 4 * setup.slots
    for number in range(count):
        for traffic in setup.traffic:
            record = simulation.Record(traffic, 0.0, number % setup.nodes)
            record.deadline = 0.3 + 0.5 * number / count
            sim.schedule(0.0, sim.arrive, record)


def served_per_s(records, name):
    """Return how many requests of a kind were served after the recovery."""
    counted = [r for r in records if r.traffic.name == name]
    return simulation.served_per_s(counted, RECOVERY_S, LENGTH_S)


@pytest.mark.parametrize('load', [0.45, 1.5, 3.0])
def test_service_is_back_soon_after_a_collapse(load):
    """Load: 0.9 to 6 times what the slots serve beside their calls.

    Slots that wait for calls, requests that run for callers that have left,
    and repeats at once must not keep the service below its capacity.
    """
    up = simulation.Traffic('up', load, call=CALL)
    calm = run((up,), is_collapsed=False)
    at_once = up._replace(impatient=1.0)
    collapsed = run((at_once,), is_collapsed=True)
    assert served_per_s(collapsed, 'up') > 0.9 * served_per_s(calm, 'up')


def test_service_that_calls_itself_settles_at_its_capacity():
    """Load: 3 times the capacity; calls need slots that their callers hold.

    With all slots held by requests that wait for calls, nothing would end.
    """
    up = simulation.Traffic('up', 1.5, call=CALL._replace(service=0))
    calm = run((up._replace(load=0.4),), is_collapsed=False, services=1)
    at_once = up._replace(impatient=1.0)
    collapsed = run((at_once,), is_collapsed=True, services=1)
    assert served_per_s(collapsed, 'up') > 0.9 * served_per_s(calm, 'up')


def test_calls_of_workers_come_before_teams_after_a_collapse():
    """Load: teams send the called service 0.8 of its capacity, calls 0.5.

    Each call that is refused loses the work of the request that made it. A
    call that comes first still waits until a slot is free, and its caller
    holds a slot meanwhile, so that the bound is lower than without other load.
    """
    up = simulation.Traffic('up', 1.5, team='a', call=CALL)
    direct = simulation.Traffic('direct', 0.8, team='b', service=1)
    calm = run((up,), is_collapsed=False)
    traffic = up._replace(impatient=1.0), direct._replace(impatient=1.0)
    collapsed = run(traffic, is_collapsed=True)
    assert served_per_s(collapsed, 'up') > 0.8 * served_per_s(calm, 'up')
