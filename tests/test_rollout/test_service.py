"""Tests of the services that hold move states and evidence on a node."""

from __future__ import annotations

import pytest

from damaskpier import application
from damaskpier import config
from damaskpier.rollout import model
from damaskpier.rollout import service

SETTINGS = """\
[node]
id = n1
region = souss
failure_domain = souss-1
[platform]
address = 127.0.0.1:9
"""
NOW = 1000.0


@pytest.fixture
def app():
    """Return an application with the two services and a fixed clock."""
    app = application.Application(config.loads(SETTINGS))
    app.now = NOW
    app.add_service('evidence', service.Evidence(app, lambda: app.now))
    app.add_service('rollouts', service.Rollouts(app, None, lambda: NOW))
    return app


def state(seq, share, phase=model.Phase.RUNNING, epoch=1):
    """Return a state of the move m1."""
    return model.MoveState('m1', epoch, seq, phase, {'ledger.get': share})


def trip_route(app):
    """Record good answers of the old version, then failures of the new."""
    evidence = app.service('evidence')
    for _ in range(50):
        sample = model.Sample('m1', 'ledger.get', False, False, 5.0, 0.5)
        evidence.record(sample)
    for _ in range(50):
        sample = model.Sample('m1', 'ledger.get', True, True, 5.0, 0.5)
        evidence.record(sample)


def test_trip_is_emitted_at_once_and_sent_once(app):
    """A trip must emit its event at once, and be drained once.

    Otherwise the fleet would react only after the evidence interval.
    """
    events = []
    app.events.connect('trip-recorded', lambda: events.append(True))
    trip_route(app)
    assert events == [True]
    assert app.service('evidence').is_tripped('m1', 'ledger.get')
    assert len(app.service('evidence').drain_delta().trips) == 1
    assert app.service('evidence').drain_delta() is None


def test_reduced_share_of_the_fleet_ends_a_trip(app):
    """A state with a smaller share must end the trip of a node.

    A check reduces the share, and a tripped node would withhold its evidence
    from it.
    """
    rollouts = app.service('rollouts')
    rollouts.merge(state(1, 0.9))
    trip_route(app)
    rollouts.merge(state(2, 0.5))
    assert not app.service('evidence').is_tripped('m1', 'ledger.get')


def test_states_are_merged_by_their_order(app):
    """An older state must not replace a newer one, nor any a take-back."""
    rollouts = app.service('rollouts')
    assert rollouts.merge(state(2, 0.2))
    assert not rollouts.merge(state(1, 0.1))
    assert rollouts.merge(state(1, 0.3, epoch=2))
    assert rollouts.merge(state(1, 0.0, model.Phase.TAKEN_BACK))
    assert not rollouts.merge(state(9, 1.0, model.Phase.DONE, epoch=9))
    assert rollouts.state('m1').phase is model.Phase.TAKEN_BACK


def test_evidence_that_is_not_drained_is_bounded(app):
    """Memory must not grow while a region cannot send its evidence."""
    evidence = app.service('evidence')
    for second in range(600):
        app.now = NOW + second
        evidence.record(
            model.Sample('m1', 'ledger.get', True, False, 5.0, 0.5)
        )
    app.now += 10
    cells, _ = evidence.drain()
    assert sum(cell.new.requests for cell in cells) <= 100
