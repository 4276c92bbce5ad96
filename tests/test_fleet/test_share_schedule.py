"""Schedule of the share, and what holds it.

The tests guard against a share that rises while nothing is known of the new
version, and against one that a good version does not reach in time.
"""

from __future__ import annotations

import pytest

from damaskpier.fleet import model
from damaskpier.fleet import moves
from damaskpier.fleet import share_schedule
from damaskpier.rollout import model as rollout_model

DURATION_S = 15.0
ORDER = model.Order('s', 1, 'v2', DURATION_S, model.Phase.RUNNING, 1)
# Bound on the requests of a bad version: a part of all requests, and some.
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
CANARY_S = share_schedule.CANARY_SINCE_RATIO * DURATION_S
FIRST_STEP_S = share_schedule.STEPS[0].since_ratio * DURATION_S
CANARY_SHARE = share_schedule.canary_share(DURATION_S, 84.0)


def _cell(old: int, new: int) -> rollout_model.EvidenceCell:
    return rollout_model.EvidenceCell(
        's/v2/1',
        'r',
        'a',
        1,
        rollout_model.VersionCounts(old, 0, {60: old}),
        rollout_model.VersionCounts(new, 0, {60: new}),
        0.08,
    )


@pytest.mark.parametrize('per_s', [1.0, 5.0, 12.0, 25.0, 84.0, 600.0])
def test_share_rises_to_all_requests_in_time(per_s):
    shares = [
        share_schedule.share_at(tick / 4, DURATION_S, per_s)
        for tick in range(61)
    ]
    assert shares == sorted(shares)
    assert shares[0] > 0
    # The rest of the time is for the last requests of the old version.
    assert shares[int(4 * 0.72 * DURATION_S) + 1] == 1.0


@pytest.mark.parametrize('per_s', [1.0, 5.0, 12.0, 20.0, 28.0, 84.0, 600.0])
def test_first_requests_are_compared_within_the_bound(per_s):
    """With too small a share, too few are compared before the first step."""
    ticks = [
        tick / 4
        for tick in range(60)
        if tick / 4 < share_schedule.STEPS[0].since_ratio * DURATION_S
    ]
    shares = [share_schedule.share_at(at, DURATION_S, per_s) for at in ticks]
    requests = sum(share * per_s / 4 for share in shares)
    assert requests <= 0.6 * (EXPOSE_SHARE * per_s * DURATION_S + EXPOSE_SLACK)
    assert shares[-1] == share_schedule.MAX_CANARY_SHARE or requests >= 25


def test_share_is_held_while_no_request_to_the_new_version_ends():
    """All of them may hang until a long deadline."""
    move = moves.Move(ORDER, 0.0)
    first = move.share(0.0, 84.0)
    for _ in range(3):
        move.record_choice(True)
    assert move.share(FIRST_STEP_S, 84.0) == first
    move.record('r', True, False, 900.0, first)
    assert move.share(FIRST_STEP_S, 84.0) == 0.95


def test_share_is_held_while_only_the_old_version_answers_anywhere():
    move = moves.Move(ORDER, 0.0)
    first = move.share(0.0, 84.0)
    move.merge_cell(_cell(100, 0))
    assert move.share(FIRST_STEP_S, 84.0) == first
    move.merge_cell(_cell(10, 1))
    assert move.share(FIRST_STEP_S, 84.0) == 0.95


def test_share_is_held_while_counts_are_not_received():
    move = moves.Move(ORDER, 0.0)
    first = move.share(0.0, 84.0)
    move.record('r', True, False, 90.0, first)
    move.evidence.record_counts_sent(CANARY_S - 1.0)
    move.evidence.record_counts_sent(CANARY_S)
    assert move.share(CANARY_S + 0.1, 84.0) == CANARY_SHARE
    assert move.share(FIRST_STEP_S, 84.0) == CANARY_SHARE
    move.evidence.record_counts_received()
    assert move.share(FIRST_STEP_S, 84.0) == 0.95


def test_requests_without_a_comparison_hold_nothing():
    """Their ends are not recorded, for example where only v2 may serve."""
    move = moves.Move(ORDER, 0.0)
    move.share(0.0, 84.0)
    for _ in range(100):
        move.record_choice(False)
    assert move.share(FIRST_STEP_S, 84.0) == 0.95


def test_limit_of_the_share_ends_unless_it_is_stated_again():
    """A lost node would hold the share of a good version for good."""
    move = moves.Move(ORDER, 0.0)
    move.share(0.0, 84.0)
    move.limit_share(0.1, FIRST_STEP_S)
    assert move.share(FIRST_STEP_S + 0.7, 84.0) == 0.1
    assert move.share(FIRST_STEP_S + 0.8, 84.0) == 0.95


def test_bursts_load_a_canary_with_as_many_requests():
    """Spread over time, a small share leaves the canary idle as well."""
    ticks = [CANARY_S + tick / 100 for tick in range(240)]
    shares = [
        share_schedule.share_at(at, DURATION_S, 84.0, 2.0 * CANARY_SHARE)
        for at in ticks
    ]
    assert max(shares) == 2.0 * CANARY_SHARE
    assert min(shares) == share_schedule.MIN_SHARE
    mean = sum(shares) / len(shares)
    assert mean == pytest.approx(CANARY_SHARE, rel=0.1)


def test_canary_that_is_loaded_gets_no_bursts():
    share = share_schedule.share_at(CANARY_S, DURATION_S, 84.0, 0.1)
    assert share == CANARY_SHARE


def test_pause_on_one_node_does_not_mean_few_requests():
    move = moves.Move(ORDER, 0.0)
    for _ in range(20):
        move.record_choice(False)
    assert move.mean_requests_per_s(5.0) == pytest.approx(4.2)
    assert move.mean_requests_per_s(6.0) == pytest.approx(3.5)
    # Before a node has had any request, the estimate falls with time.
    idle = moves.Move(ORDER, 0.0)
    assert idle.mean_requests_per_s(0.1) == 1.0
    assert idle.mean_requests_per_s(10.0) == 0.1
