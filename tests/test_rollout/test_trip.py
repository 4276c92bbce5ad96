"""Tests of the local trip."""

from __future__ import annotations

from damaskpier.rollout import model
from damaskpier.rollout import trip


def make(old_failures=0):
    """Return a trip that has seen the old version for a while."""
    watched = trip.LocalTrip('n1', hold_s=10.0)
    for index in range(50):
        watched.record(sample(False, index < old_failures), 0.5, 100.0)
    return watched


def sample(is_new, failed, ms=8.0):
    return model.Sample('m1', 'r', is_new, failed, ms, 0.5)


def record_many(watched, number, failed=True, ms=8.0, now=101.0):
    """Record answers of the new version; return the notices."""
    notices = [
        watched.record(sample(True, failed, ms), 0.5, now)
        for _ in range(number)
    ]
    return [notice for notice in notices if notice is not None]


def test_run_of_failures_trips_at_once_and_ends():
    """Guards against a node that goes on, and against an endless trip."""
    watched = make()
    assert len(record_many(watched, 5)) == 1
    assert watched.is_tripped('m1', 'r', 110.9)
    assert not watched.is_tripped('m1', 'r', 111.1)
    assert not watched.is_tripped('m1', 'other', 105.0)


def test_slow_answers_trip():
    assert record_many(make(), 8, failed=False, ms=900.0)


def test_failures_of_both_versions_do_not_trip():
    """Guards against trips on trouble common to both versions."""
    assert not record_many(make(old_failures=40), 30)


def test_trip_ends_when_the_old_version_fails_too():
    watched = make()
    record_many(watched, 5)
    for _ in range(3):
        watched.record(sample(False, True), 0.0, 102.0)
    assert not watched.is_tripped('m1', 'r', 102.0)


def test_single_failures_do_not_trip():
    """Guards against trips on noise."""
    watched = make()
    for _ in range(200):
        assert not record_many(watched, 1)
        assert not record_many(watched, 20, failed=False)


def test_reduced_share_ends_the_trip():
    """Guards against tripped nodes that withhold evidence from a check."""
    watched = make()
    state = model.MoveState('m1', 1, 1, model.Phase.RUNNING, {'r': 0.9})
    watched.follow(state, 100.5)
    record_many(watched, 5)
    assert watched.is_tripped('m1', 'r', 102.0)
    watched.follow(state._replace(seq=2, shares={'r': 0.5}), 102.0)
    assert not watched.is_tripped('m1', 'r', 102.0)
