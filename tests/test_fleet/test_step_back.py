"""Decision at a small share about failures at a large one.

The tests guard against a version that is taken back for a fault of both, and
against one that goes on to fail because too few requests compare it.
"""

from __future__ import annotations

import pytest

from damaskpier.fleet import step_back
from damaskpier.rollout import model


ENDS_BY_S = 12.0
NEW = model.VersionCounts(60, 18)


@pytest.fixture
def begun():
    decision = step_back.StepBack()
    assert decision.begin(
        'bad', model.VersionCounts(3, 0), NEW, 10.0, ENDS_BY_S
    )
    assert decision.is_active
    return decision


def test_version_fails_alone(begun):
    begun.record(model.VersionCounts(10, 0))
    assert begun.verdict(NEW, 10.3) == ''
    begun.record(model.VersionCounts(20, 0))
    assert begun.verdict(NEW, 10.5).startswith('bad')


def test_both_versions_fail(begun):
    begun.record(model.VersionCounts(30, 9))
    assert begun.verdict(NEW, 10.5) == ''
    assert not begun.is_active
    # The failures at the large share are still known, and are no news.
    assert begun.begin('bad', model.VersionCounts(3, 0), NEW, 10.6, ENDS_BY_S)
    assert not begun.is_active


def test_version_fails_more_than_the_old_one(begun):
    begun.record(model.VersionCounts(30, 9))
    begun.verdict(NEW, 10.5)
    worse = model.VersionCounts(60, 45)
    assert begun.begin(
        'worse', model.VersionCounts(3, 1), worse, 11.0, ENDS_BY_S
    )
    assert begun.is_active


def test_old_version_with_enough_requests_decides_at_once():
    decision = step_back.StepBack()
    assert not decision.begin(
        'bad',
        model.VersionCounts(60, 0),
        model.VersionCounts(600, 180),
        10.0,
        ENDS_BY_S,
    )
    assert not decision.is_active


def test_step_back_ends_without_a_decision(begun):
    """A service without requests would stay at the small share."""
    begun.record(model.VersionCounts(3, 0))
    assert begun.verdict(NEW, 11.6) == ''
    assert not begun.is_active


def test_step_back_ends_in_time_for_a_good_version():
    late = step_back.StepBack()
    assert late.begin('bad', model.VersionCounts(3, 0), NEW, 11.0, ENDS_BY_S)
    assert late.verdict(NEW, 11.9) == ''
    assert late.is_active
    late.verdict(NEW, ENDS_BY_S)
    assert not late.is_active
