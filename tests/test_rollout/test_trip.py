"""Tests of the local trip (circuit breaker) of a node."""

from __future__ import annotations

from damaskpier.rollout import model
from damaskpier.rollout import trip


def make_trip(old_failures=0):
    """Return a local trip with 50 recorded answers of the old version."""
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
    """Five failures must trip a route, and only for the hold time.

    The node would otherwise keep sending requests to a broken version, or
    never again after a short fault.
    """
    watched = make_trip()
    assert len(record_many(watched, 5)) == 1
    assert watched.is_tripped('m1', 'r', 110.9)
    assert not watched.is_tripped('m1', 'r', 111.1)
    assert not watched.is_tripped('m1', 'other', 105.0)


def test_slow_answers_trip():
    """Answers that are slow but successful must trip a route as well."""
    assert record_many(make_trip(), 8, failed=False, ms=900.0)


def test_failures_of_both_versions_do_not_trip():
    """A fault common to both versions must not trip a route."""
    assert not record_many(make_trip(old_failures=40), 30)


def test_trip_ends_when_the_old_version_fails_too():
    """A trip must end when the old version turns out to have the fault."""
    watched = make_trip()
    record_many(watched, 5)
    for _ in range(3):
        watched.record(sample(False, True), 0.0, 102.0)
    assert not watched.is_tripped('m1', 'r', 102.0)


def test_single_failures_do_not_trip():
    """Failures of one answer in 21 must not trip a route."""
    watched = make_trip()
    for _ in range(200):
        assert not record_many(watched, 1)
        assert not record_many(watched, 20, failed=False)


def test_reduced_share_ends_the_trip():
    """A reduced share must end the trip.

    A check reduces the share, and a tripped node would withhold its evidence
    from it.
    """
    watched = make_trip()
    state = model.MoveState('m1', 1, 1, model.Phase.RUNNING, {'r': 0.9})
    watched.apply_state(state, 100.5)
    record_many(watched, 5)
    assert watched.is_tripped('m1', 'r', 102.0)
    watched.apply_state(state._replace(seq=2, shares={'r': 0.5}), 102.0)
    assert not watched.is_tripped('m1', 'r', 102.0)
