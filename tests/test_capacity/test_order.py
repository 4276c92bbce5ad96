"""Order of the waiting requests of a worker, by priority and by team."""

from __future__ import annotations

import pytest

from damaskpier.capacity import order
from damaskpier.traffic import admission

from tests.test_capacity import simulation


def make_team(name, load, **fields):
    return simulation.Traffic(name, load, team=name, **fields)


def run(*traffic, **fields):
    setup = simulation.Setup(traffic, **fields)
    return simulation.Simulation(setup).run()


@pytest.mark.parametrize('seed', [1, 2])
def test_hot_team_does_not_displace_small_teams(seed):
    """Load: one of 13 teams sends 6 times its usual load, 1.6 of capacity.

    In the order of objectives alone, all teams are served equally seldom, and
    small ones lose a quarter to half of their requests.
    """
    small = [make_team(f'small-{i}', 0.05) for i in range(12)]
    records = run(make_team('hot', 1.0), *small, seed=seed)
    for team in small:
        assert simulation.served_ratio(records, team.name) > 0.9


@pytest.mark.parametrize('seed', [1, 2])
def test_no_team_is_served_less_than_a_quarter_as_often(seed):
    """Load: a hot team with two thirds of 3 times the capacity.

    By shares alone it would be served a sixth as often as all requests.
    """
    small = [make_team(f'small-{i}', 1 / 12) for i in range(12)]
    records = run(make_team('hot', 2.0), *small, seed=seed, length_s=60.0)
    floor = simulation.served_ratio(records) / 4
    assert simulation.served_ratio(records, 'hot') >= floor
    for team in small:
        assert simulation.served_ratio(records, team.name) >= floor


def test_large_teams_share_what_the_small_ones_leave():
    """Load: two teams of 1.0 and 0.6 of the capacity and one of 0.1.

    Max-min: the small team is served whole, the large ones get alike.
    """
    records = run(
        make_team('a', 1.0),
        make_team('b', 0.6),
        make_team('c', 0.1),
        length_s=60.0,
    )
    served = {
        name: sum(r.served for r in records if r.traffic.name == name)
        for name in 'abc'
    }
    assert simulation.served_ratio(records, 'c') > 0.9
    assert 0.8 < served['b'] / served['a'] <= 1.05


def test_team_of_a_low_priority_is_not_starved():
    """Load: teams of priority 0 send 1.5 times the capacity.

    By priority alone, the team of priority 2 would get nothing.
    """
    records = run(
        make_team('a', 0.75),
        make_team('b', 0.75),
        make_team('low', 0.1, priority=2),
        length_s=60.0,
    )
    floor = simulation.served_ratio(records) / 4
    assert simulation.served_ratio(records, 'low') >= floor


def test_calls_of_workers_go_before_teams_of_the_same_priority():
    """Load: teams send 1.6 times the capacity, calls on public routes 0.2.

    The work of the request that made a call is lost if the call is refused.
    """
    calls = simulation.Traffic('call', 0.2, objective_s=0.4, deadline_s=0.8)
    teams = [make_team(f'team-{i}', 0.2) for i in range(8)]
    records = run(calls, *teams)
    assert simulation.served_ratio(records, 'call') > 0.95


def test_flood_of_requests_without_a_team_leaves_half_to_the_teams():
    """Load: 2 times the capacity on public routes, teams within theirs.

    A precedence without a bound would shut out all teams.
    """
    public = simulation.Traffic('public', 2.0)
    teams = [make_team(f'team-{i}', 0.05) for i in range(8)]
    records = run(public, *teams)
    for team in teams:
        assert simulation.served_ratio(records, team.name) > 0.85


def make_ticket(number, **fields):
    return admission.Ticket(
        fields.pop('deadline', 10.0),
        lambda refusal: None,
        'r',
        number=number,
        **fields,
    )


def test_order_without_teams_ignores_past_service():
    """A deployment without teams is ordered as before, whatever has run."""
    state = order.Order()
    for number in range(50):
        ticket = make_ticket(number)
        state.record_arrival(ticket, 0.1 * number)
        state.record_start(ticket, 0.1 * number, 0.2)
    rank = state.ranking(5.0, {'r': 0.2})
    soon = make_ticket(100, objective=6.0)
    late = make_ticket(101, objective=5.1, deadline=7.0)
    urgent = make_ticket(103, objective=9.0, priority=0)
    other = make_ticket(102, objective=5.5, priority=1)
    waiting = sorted([late, other, soon, urgent], key=rank)
    assert waiting == [soon, urgent, late, other]
