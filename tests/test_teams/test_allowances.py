"""Allowances of teams over 88 entry nodes.

The tests guard against teams that get more than their bound, whatever fails,
and against requests within an allowance that are refused.
"""

from __future__ import annotations

import pytest

from tests.test_teams import fleet as fleets

LIMITS = {
    # Without a burst, only the tolerance of the bound is left for errors.
    'large': fleets.Limit(200, 0),
    'middle': fleets.Limit(30, 6),
    'small': fleets.Limit(1.5, 1.5),
}
HOT_AT_S = 8.0
HOT_RATIO = 7.0
FAULT_AT_S = 13.0
END_S = 22.0
CUT_NODES = frozenset(range(62, 88))
MAX_REFUSED_PART = 1 / 200


def _hot(team, at):
    return HOT_RATIO if at >= HOT_AT_S else 1.0


def _cut(first, second, at):
    """Cut 30% of the nodes off for 8 s."""
    return FAULT_AT_S <= at < FAULT_AT_S + 8 and (first in CUT_NODES) != (
        second in CUT_NODES
    )


def _owner_behind_the_cut(node, at):
    """Return another owner for the nodes that have lost the first one.

    They find out at different times.
    """
    delay_s = 1.4 + node % 7 * 0.1
    is_lost = FAULT_AT_S + delay_s <= at < FAULT_AT_S + 8 + delay_s
    return 62 if node in CUT_NODES and is_lost else 0


def _two_owners(node, at):
    return node % 2 if FAULT_AT_S <= at < FAULT_AT_S + 6 else 0


def _alternating_owners(node, at):
    return int(at) % 2 if at >= FAULT_AT_S else 0


def _partition(fleet):
    fleet.is_cut = _cut
    fleet.owner_of = _owner_behind_the_cut


def _partition_without_owner(fleet):
    fleet.is_cut = _cut


def _loss_of_the_owner(fleet):
    fleet.is_cut = lambda first, second, at: (
        at >= FAULT_AT_S
        and 0
        in (
            first,
            second,
        )
    )
    fleet.owner_of = lambda node, at: int(at >= FAULT_AT_S + 1.5 + node % 5)


def _two(fleet):
    fleet.owner_of = _two_owners


def _alternation(fleet):
    fleet.owner_of = _alternating_owners


def _restart_of_the_owner(fleet):
    fleet.at(FAULT_AT_S, fleet.restart, 0)
    fleet.at(FAULT_AT_S + 2, fleet.restart, 0)


def _restart_of_all(fleet):
    for node in range(fleet.node_count):
        fleet.at(FAULT_AT_S, fleet.restart, node)


def _loss_of_messages(fleet):
    fleet.loss = 0.1


def _one_way_loss(fleet):
    """Let nodes hear nothing of the owner that hears them."""
    fleet.is_cut = lambda first, second, at: FAULT_AT_S <= at and first == 0


SCENARIOS = [
    lambda fleet: None,
    _partition,
    _partition_without_owner,
    _loss_of_the_owner,
    _two,
    _alternation,
    _restart_of_the_owner,
    _restart_of_all,
    _loss_of_messages,
    _one_way_loss,
]


def _assert_bound(fleet, start=0.0):
    for name, limit in fleet.limits.items():
        most = fleet.counts[name].most_in_a_window(
            fleets.BOUNDS.window_s, start
        )
        bound = fleets.BOUNDS.max_requests(limit.rate_per_s, limit.burst)
        assert most <= bound, name


@pytest.mark.parametrize(
    'disturb, hot_at_s',
    [
        *((scenario, HOT_AT_S) for scenario in SCENARIOS),
        (_partition, FAULT_AT_S + 0.5),
        (_partition, FAULT_AT_S + 2.5),
        (_restart_of_all, FAULT_AT_S + 0.5),
        # The nodes have not learned yet that the teams are limited.
        (_loss_of_the_owner, FAULT_AT_S - 0.1),
        (_one_way_loss, FAULT_AT_S - 0.1),
        (_partition_without_owner, FAULT_AT_S - 0.1),
    ],
)
def test_bound_holds_with_hot_teams(disturb, hot_at_s):
    """Seven times the usual load meets each kind of failure."""
    fleet = fleets.Fleet(
        LIMITS,
        demand=lambda team, at: HOT_RATIO if at >= hot_at_s else 1.0,
        peak=HOT_RATIO,
    )
    disturb(fleet)
    fleet.run(END_S)
    _assert_bound(fleet)


def test_lowered_limit_binds_after_one_window():
    """A bucket that keeps its level would let the former burst through."""
    fleet = fleets.Fleet(
        {'team': fleets.Limit(100, 100)}, demand=_hot, peak=HOT_RATIO
    )
    fleet.run(FAULT_AT_S)
    fleet.limits['team'] = fleets.Limit(20, 5)
    fleet.terms['team'] = fleet.limits['team'].terms()
    fleet.run(END_S)
    _assert_bound(fleet, FAULT_AT_S + fleets.BOUNDS.window_s)


def test_usual_demand_is_not_refused():
    """At most one request in 200 is refused, also of small teams."""
    limits = LIMITS | {
        f'tiny-{number}': fleets.Limit(0.5 + 0.1 * number, 1.0)
        for number in range(40)
    }
    fleet = fleets.Fleet(limits, peak=1.0, loss=0.005)
    start, end = 15.0, 45.0
    fleet.run(end)
    groups = ['large'], ['middle'], ['small', *(k for k in limits if '-' in k)]
    for group in groups:
        sent = refused = 0
        for name in group:
            counts = fleet.counts[name]
            sent += sum(start <= at for at in counts.sent)
            refused += sum(start <= at for at in counts.refused)
        assert refused <= MAX_REFUSED_PART * sent, group


def test_hot_team_uses_its_allowance():
    """Tokens that idle nodes hold must not be lost to the busy ones."""
    fleet = fleets.Fleet(LIMITS, demand=_hot, peak=HOT_RATIO, loss=0.005)
    fleet.run(END_S)
    for name, limit in LIMITS.items():
        used = sum(at >= END_S - 10 for at in fleet.counts[name].arrived)
        assert used >= 0.9 * 10 * limit.rate_per_s, name


def test_service_recovers_after_a_restart_of_all_nodes():
    """An owner that grants nothing for a window would stop all teams."""
    fleet = fleets.Fleet(LIMITS, peak=1.0)
    _restart_of_all(fleet)
    fleet.run(END_S)
    for name in ('large', 'middle'):
        counts = fleet.counts[name]
        assert counts.refused_part(FAULT_AT_S + 1.5, END_S) <= 0.01, name
        assert max(counts.retry_s) <= 1.0, name


def test_requests_that_did_not_run_are_given_back():
    """Two thirds of the requests are refused behind the entry node.

    The team still gets its whole allowance, and no more than that when the
    workers take all requests again.
    """
    fleet = fleets.Fleet(LIMITS, demand=_hot, peak=HOT_RATIO)
    fleet.did_not_run = lambda team, at: at < 16 and fleet.rng.random() < 0.25
    fleet.run(END_S)
    _assert_bound(fleet)
    used = sum(11 <= at < 16 for at in fleet.counts['large'].arrived)
    assert used >= 0.9 * 5 * LIMITS['large'].rate_per_s


def test_full_workers_leave_no_credit_behind():
    """All requests are refused as not run, then all run.

    If each of them were given back, they would all arrive within a window
    in addition to the rate.
    """
    fleet = fleets.Fleet(LIMITS, demand=_hot, peak=HOT_RATIO)
    fleet.did_not_run = lambda team, at: at < 16
    fleet.run(END_S)
    _assert_bound(fleet)


def _many_teams(count, total):
    """Return the limits of four large teams and of many small ones."""
    limits = {
        f'large-{n}': fleets.Limit(0.15 * total / 0.6, 30) for n in range(4)
    }
    weights = [1 / (n + 3) for n in range(count - len(limits))]
    scale = 0.4 * total / sum(weights)
    for n, weight in enumerate(weights):
        usual = scale * weight
        limits[f'team-{n}'] = fleets.Limit(usual / 0.6, max(1.0, usual / 2))
    return limits


@pytest.mark.parametrize(
    'team_count, node_count, owner_count, max_bytes',
    [(86, 88, 1, 250), (2000, 88, 1, 3000), (86, 660, 3, 250)],
)
def test_messages_do_not_grow(team_count, node_count, owner_count, max_bytes):
    """A node sends about two messages a second, however many teams there are.

    The bytes are those of the messages and their answers without HTTP, soon
    after a restart of all nodes, when more teams are limited than later.
    """
    total = 914 if node_count == fleets.NODE_COUNT else 500
    fleet = fleets.Fleet(
        _many_teams(team_count, total), node_count=node_count, peak=1.0
    )
    fleet.owner_of = lambda node, at: node % owner_count
    start, end = 7.0, 8.5
    fleet.run(start)
    before = fleet.sent_messages, fleet.sent_bytes
    fleet.run(end)
    scale = 1 / (node_count * (end - start))
    assert (fleet.sent_messages - before[0]) * scale <= 2.3
    assert (fleet.sent_bytes - before[1]) * scale <= max_bytes


def test_nodes_without_an_owner_do_not_save_up():
    """One saved request of each of 88 nodes is too much for a small team."""
    fleet = fleets.Fleet(
        {'small': fleets.Limit(1.5, 1.5)},
        demand=lambda team, at: 0.1 if at < 80 else 60.0,
        peak=60.0,
    )
    fleet.is_cut = lambda first, second, at: at >= HOT_AT_S
    fleet.run(100.0)
    _assert_bound(fleet)
