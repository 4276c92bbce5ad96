"""Completion and bytes with uneven workers and demand, without a network.

The tests compare the choice by reported paces with the one of workers that
report none, which is the choice before there were reports.
"""

from __future__ import annotations

import collections
import random

import pytest

from damaskpier.fleet import selector
from damaskpier.traffic import messages

from tests.test_balancing import fleet_model

# Half of the workers of the large site take this many times as long.
SLOW_RANGE = (2.0, 4.0)
MEAN_SLOW_RATE = 0.36
MEAN_WORK_S = 0.25
SLOTS = 6
NODES = 88
# Demand of a domain as a part of what its workers can take.
HOT = 1.5
OTHERS = 0.59


def _large_site(*, reports_pace: bool) -> fleet_model.Site:
    """Return a site of 68 workers and 88 nodes that choose among them."""
    rate = SLOTS / MEAN_WORK_S * (1 + MEAN_SLOW_RATE) / 2
    sizes = ((12, 15), (11, 15), (11, 15), (11, 15), (12, 14), (11, 14))
    domains = tuple(
        fleet_model.Domain(
            'aabbcc'[index],
            workers,
            callers,
            (OTHERS if index else HOT) * workers * rate,
        )
        for index, (workers, callers) in enumerate(sizes)
    )
    return fleet_model.Site(
        domains,
        SLOTS,
        work_s=(0.18, 0.32),
        objective_s=0.614,
        deadline_s=2.558,
        slow=(0.5, *SLOW_RANGE),
        reports_pace=reports_pace,
        duration_s=8.0,
    )


def _small_site(load: float, *, reports_pace: bool) -> fleet_model.Site:
    """Return a site of 24 nodes with one worker of 8 slots in each domain."""
    domains = tuple(
        fleet_model.Domain(region, 1, 4, load * 80) for region in 'aabbcc'
    )
    return fleet_model.Site(
        domains,
        slots=8,
        work_s=(0.05, 0.15),
        objective_s=0.4,
        deadline_s=2.0,
        pace_range=(1.0, 1.0),
        reports_pace=reports_pace,
    )


@pytest.fixture(scope='module')
def before() -> fleet_model.Result:
    """Return the result of the large site without paces."""
    return fleet_model.FleetModel(_large_site(reports_pace=False)).run()


@pytest.fixture(scope='module')
def after() -> fleet_model.Result:
    """Return the result of the large site with paces."""
    return fleet_model.FleetModel(_large_site(reports_pace=True)).run()


def test_requests_avoid_slow_workers(before, after):
    """Slow workers got as many requests as others until they were full."""
    assert after.mean_s < 0.85 * before.mean_s
    assert after.p99_s < 0.85 * before.p99_s
    assert 1 - after.in_objective < 0.65 * (1 - before.in_objective)


def test_fewer_requests_are_refused_at_first(before, after):
    """A request that met a full worker waited for part of its objective."""
    assert after.attempts - 1 < 0.7 * (before.attempts - 1)


def test_fewer_bytes_leave_their_domain_and_region(before, after):
    assert after.domain_bytes < 0.85 * before.domain_bytes
    assert after.region_bytes < 0.5 * before.region_bytes


def test_full_domain_spills_over_by_share(after):
    """A fifth of the demand of all is beyond what the hot domain can take."""
    own, region, others = after.first_by_tier
    assert own > region > others > 0


def _choose_at_once(pace: float | None) -> int:
    """Let all nodes choose one of 12 workers of which one is idle.

    :param pace: pace that all workers report
    :returns: number of nodes that chose the same worker
    """
    chosen: collections.Counter[str] = collections.Counter()
    rng = random.Random(3)
    for number in range(NODES):
        now = [0.0]
        node = fleet_model.make_record('node', 0, fleet_model.Domain('a'))
        made = selector.Selector(
            lambda node=node: node,
            random.Random(number),
            lambda now=now: now[0],
        )
        names = [f'worker-{index}' for index in range(12)]
        made.update(node._replace(node_id=name, slots=SLOTS) for name in names)
        reported_at = sorted((-rng.uniform(0.2, 2.0), name) for name in names)
        for at, name in reported_at:
            now[0] = at
            worker = made._workers[name]
            load = messages.Load(
                SLOTS, 0 if name == names[5] else SLOTS, 0, pace=pace
            )
            made.record_start(worker)
            made.record_outcome(
                worker,
                messages.Reply(messages.Answer(200, (), b''), load),
                MEAN_WORK_S,
            )
        now[0] = 0.0
        chosen[made.pick(3000.0).key] += 1
    return max(chosen.values())


def test_nodes_do_not_choose_one_idle_worker_together():
    """Reports are 0.2 to 2 s old, and all nodes know of the idle worker."""
    assert _choose_at_once(None) > NODES / 2
    assert _choose_at_once(1.0) < NODES / 4


@pytest.mark.parametrize('load', [0.6, 0.8])
def test_small_site_is_served_as_well_as_before(load):
    """There is one worker in each domain, and nodes hear of it often."""
    before, after = (
        fleet_model.FleetModel(
            _small_site(load, reports_pace=reports_pace)
        ).run()
        for reports_pace in (False, True)
    )
    # Figures of the selector before the reports, docs/design/balancing.md.
    assert before.in_objective > 0.999
    assert before.first_by_tier[0] > 0.94
    assert after.in_objective > 0.999
    assert after.mean_s < 1.02 * before.mean_s
    assert after.p99_s < 1.05 * before.p99_s
    assert after.region_bytes <= before.region_bytes
