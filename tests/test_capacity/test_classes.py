"""Service of more and less urgent requests of one service."""

from __future__ import annotations

import pytest

from tests.test_capacity import simulation

# Credit of a late answer; that of one within the objective is 1.
LATE_CREDIT = 0.5


def run(*traffic, **fields):
    setup = simulation.Setup(
        traffic, workers=2, nodes=2, returns_max=2, **fields
    )
    return simulation.EntrySimulation(setup).run()


def credit_ratio(records, name):
    """Return the part of the credit that the requests of a class earned."""
    counted = [record for record in records if record.traffic.name == name]
    earned = sum(
        1.0 if record.in_time else LATE_CREDIT * record.served
        for record in counted
    )
    return earned / len(counted)


def make_urgent(load):
    """Return requests that have little time, as calls of workers have."""
    return simulation.Traffic('urgent', load, objective_s=0.4, deadline_s=0.9)


def make_other(load):
    return simulation.Traffic(
        'other', load, priority=1, objective_s=2.0, deadline_s=6.0
    )


@pytest.mark.parametrize(
    ('urgent', 'other'), [(0.3, 1.0), (0.6, 1.2), (1.0, 1.0), (1.5, 0.3)]
)
def test_less_urgent_requests_are_not_served_better(urgent, other):
    """Load: 1.3 to 2 times the capacity of two classes.

    The less urgent class has more time to wait for a slot and to return.
    """
    records = run(make_urgent(urgent), make_other(other), length_s=10.0)
    served = {
        name: simulation.served_ratio(records, name)
        for name in ('urgent', 'other')
    }
    assert served['other'] <= served['urgent'] + 0.05
    assert (
        credit_ratio(records, 'other')
        <= credit_ratio(records, 'urgent') + 0.15
    )


def test_no_class_starves():
    """Load: the urgent class alone sends 1.5 times the capacity.

    By priority alone, nothing of the other class would be served.
    """
    records = run(
        simulation.Traffic('urgent', 1.5),
        simulation.Traffic('other', 0.5, priority=2),
        length_s=25.0,
    )
    late = [record for record in records if record.first_at > 5.0]
    assert simulation.served_ratio(late, 'other') > 0.02
    assert simulation.served_ratio(late, 'urgent') > 0.6
