"""Cost of the workers of a service, and shares by cost.

The tests guard against requests that wait at a worker while another one that
is known has a free slot, against bytes between regions for a small gain, and
against the choice of one worker by all nodes.
"""

from __future__ import annotations

import random

import pytest

from damaskpier.balancing import cost
from damaskpier.mesh import model
from damaskpier.traffic import messages

SLOTS = 6
LATENCY_S = 0.25
SIZE = 3000.0
RECORD = model.NodeRecord(
    'n', 1, 1, 'region', 'domain', 'host', 1, 2, slots=SLOTS, ready=True
)


def _worker(
    costs: cost.CostModel,
    tier: int = 0,
    pace: float | None = 1.0,
    now: float = 0.0,
    latency_s: float = LATENCY_S,
    **load: float,
) -> cost.WorkerState:
    """Return a worker after one reply."""
    worker = cost.WorkerState(RECORD, 0.0, tier)
    fields = {'in_use': 0, 'queued': 0, 'mean_pace': pace or 1.0, **load}
    reported = messages.Load(SLOTS, pace=pace, **fields)
    costs.record_load(worker, reported, now)
    costs.record_latency(worker, latency_s * (pace or 1.0), now)
    return worker


@pytest.fixture
def costs() -> cost.CostModel:
    """Return the costs of a service of which nothing is known."""
    return cost.CostModel()


def _share(
    costs: cost.CostModel,
    worker: cost.WorkerState,
    others: list[cost.WorkerState],
    now: float = 0.0,
    objective_s: float = 0.0,
) -> float:
    rng = random.Random(5)
    chosen = [
        costs.choose([worker, *others], SIZE, now, rng.random, objective_s)
        for _ in range(2000)
    ]
    return chosen.count(worker) / len(chosen)


def test_request_does_not_wait_beside_a_free_worker_of_the_region(costs):
    """It waited for up to a quarter of the objective at the first worker."""
    full = _worker(costs, in_use=SLOTS, queued=SLOTS)
    free = _worker(costs, tier=1)
    assert _share(costs, free, [full]) > 0.9


def test_request_does_not_leave_its_domain_for_a_gain_within_the_objective(
    costs,
):
    """Guards against bytes between failure domains in calm times.

    A sixth of the requests left for a worker with a quicker pace.
    """
    own = _worker(costs, pace=1.5)
    far = [_worker(costs, tier=1, pace=1.0) for _ in range(3)]
    assert _share(costs, own, far) < 0.1
    assert _share(costs, own, far, objective_s=1.0) == 1.0
    assert _share(costs, own, far, objective_s=0.6) < 0.1


def test_request_stays_in_its_domain_while_there_are_free_slots(costs):
    """Bytes between failure domains cost."""
    own = _worker(costs, in_use=SLOTS - 1)
    other = _worker(costs, tier=1)
    assert _share(costs, own, [other]) > 0.8


def test_request_does_not_cross_regions_for_a_few_milliseconds(costs):
    own = _worker(costs, in_use=SLOTS - 1, pace=1.1)
    other = _worker(costs, tier=2)
    assert _share(costs, own, [other]) > 0.99


def test_bytes_between_regions_cost_four_times_as_much(costs):
    tiers = [_worker(costs, tier=tier) for tier in range(3)]
    small, large = (
        [costs.cost_s(worker, size, 0.0) for worker in tiers]
        for size in (0.0, 10_000.0)
    )
    added = [after - before for before, after in zip(small, large)]
    assert added[0] == 0
    assert added[2] == pytest.approx(4 * added[1])


def test_workers_of_equal_cost_get_equal_shares(costs):
    first, second = _worker(costs), _worker(costs)
    assert _share(costs, first, [second]) == pytest.approx(0.5, abs=0.05)


def test_small_difference_of_cost_shifts_a_small_share(costs):
    """All requests of all nodes went to the worker that was 1% better."""
    better = _worker(costs, pace=0.99, mean_pace=0.99)
    others = [_worker(costs)]
    assert 0.5 < _share(costs, better, others) < 0.7


def test_slow_worker_is_avoided_after_its_first_report(costs):
    """Its latency counted only a tenth for each answer."""
    slow = _worker(costs, pace=3.0)
    assert _share(costs, slow, [_worker(costs)]) < 0.01


def test_weight_of_a_pace_follows_its_age(costs):
    """A pace changes several times a second."""
    worker = _worker(costs, pace=3.0, mean_pace=1.5)
    _worker(costs, pace=1.0)
    assert worker.expected_pace(0.0, 1.0) == pytest.approx(3.0)
    ages_s = (0.1, 0.3, 1.0, 5.0, 100.0)
    paces = [worker.expected_pace(age_s, 1.0) for age_s in ages_s]
    assert paces == sorted(paces, reverse=True)
    assert paces[2] == pytest.approx(1.5, abs=0.1)
    assert paces[4] == pytest.approx(1.0, abs=0.01)


def test_latency_on_a_slow_worker_is_that_of_a_usual_one(costs):
    """A worker that gets quick again is expected to be quick at once."""
    worker = _worker(costs, pace=3.0)
    load = messages.Load(SLOTS, 0, 0, pace=1.0)
    costs.record_load(worker, load, 1.0)
    assert costs.expected_latency_s(worker, 1.0) == pytest.approx(
        LATENCY_S, rel=0.05
    )


def test_slow_workers_count_as_much_as_others_for_the_usual_pace(costs):
    """Few requests reach them, so that their replies are rare."""
    fast = _worker(costs)
    slow = _worker(costs, pace=3.0)
    for number in range(50):
        costs.record_load(
            fast, messages.Load(SLOTS, 0, 0, pace=1.0), number * 0.1
        )
    assert costs.usual_pace == pytest.approx(2.0)
    costs.set_workers([slow])
    assert costs.usual_pace == pytest.approx(3.0)


def test_requests_since_the_report_count(costs):
    """A node that hears nothing would send all requests of a burst to one."""
    worker = _worker(costs, in_use=SLOTS - 1)
    before = costs.cost_s(worker, SIZE, 0.01)
    worker.outstanding = worker.sent = 3
    after = costs.cost_s(worker, SIZE, 0.01)
    assert after - before == pytest.approx(LATENCY_S * 3 / SLOTS, rel=0.1)


def test_wait_for_a_limit_and_failures_add_to_the_cost(costs):
    free = _worker(costs)
    limited = _worker(costs, wait_s=0.3)
    failing = _worker(costs)
    failing.reliability = 0.5
    expected = costs.cost_s(free, SIZE, 0.0)
    assert costs.cost_s(limited, SIZE, 0.0) == pytest.approx(expected + 0.3)
    assert costs.cost_s(failing, SIZE, 0.0) > 3 * expected


def test_workers_without_a_pace_are_chosen_by_the_least_cost(costs):
    """Deployments without paces are served as before."""
    better = _worker(costs, pace=None, latency_s=0.249)
    others = [_worker(costs, pace=None, latency_s=0.251) for _ in range(5)]
    assert not costs.has_paces
    assert _share(costs, better, others) == 1.0
