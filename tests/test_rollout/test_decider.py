"""Tests of the service that decides on moves."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from damaskpier import application
from damaskpier.bundle import model as bundle_model
from damaskpier import config
from damaskpier import errors
from damaskpier.mesh import model as mesh_model
from damaskpier import registry
from damaskpier.rollout import decider
from damaskpier.rollout import model
from damaskpier.rollout import service
from damaskpier.store import memory
from tests.test_rollout import test_service

MOVE = bundle_model.Move('m1', 'ledger', 'v1', 'v2', 1000.0, 1100.0)
ROUTE = bundle_model.RouteSpec('get', 'ledger', 'GET', '/get', True)
SNAPSHOT = bundle_model.Snapshot(
    bundle_model.Head(2, '', (MOVE,), 'test', 1000.0, 'w1'),
    bundle_model.Bundle(
        {'ledger': bundle_model.ServiceSpec('ledger', 'v2')}, {'get': ROUTE}
    ),
)


class Stub(registry.Service, SimpleNamespace):
    """Stub of a service with the given attributes."""


class Fleet:
    """A decider with a lease, workers and a clock that the test sets."""

    def __init__(self):
        self.now = 1000.0
        self.holds = True
        self.workers = ()
        app = application.Application(config.loads(test_service.SETTINGS))
        stubs = {
            'leases': Stub(
                may_act=lambda name: self.holds, epoch=lambda name: 1
            ),
            'configuration': Stub(current=lambda: SNAPSHOT),
            'membership': Stub(workers=lambda service: self.workers),
            'platform': memory.MemoryObjectStore(),
            'evidence': service.Evidence(app, lambda: self.now),
            'rollouts': service.Rollouts(app, None, lambda: self.now),
        }
        for name, stub in stubs.items():
            app.add_service(name, stub)
        self.rollouts = stubs['rollouts']
        self.decider = decider.Decider(app, lambda: self.now)

    async def at(self, now):
        """Run a round at the time ``now``; return the state of the move."""
        self.now = now
        await self.decider._run_round()
        return self.rollouts.state('m1')


@pytest.fixture
def fleet():
    """Return a decider that holds the lease; no worker is ready."""
    return Fleet()


def worker(version, ready=True):
    """Return the record of a worker."""
    return mesh_model.NodeRecord(
        *('n1', 1, 1, 'souss', 'souss-1', '127.0.0.1', 1, 1, False),
        *('ledger', version, 20, ready),
    )


async def test_move_without_workers_is_taken_back_in_the_end(fleet):
    """A move without a ready worker of the new version must not be done.

    Without requests there is no evidence against the version, so that its
    controller alone would finish the move.
    """
    fleet.workers = (worker('v1'), worker('v2', ready=False))
    assert await fleet.at(1001.0) is None
    assert await fleet.at(1050.0) is None
    state = await fleet.at(1099.5)
    assert state.phase is model.Phase.TAKEN_BACK
    assert state.result == errors.ROLLOUT_LATE.number


async def test_move_with_workers_is_done_by_the_stated_time(fleet):
    """A move with a ready worker must not be taken back as late."""
    fleet.workers = (worker('v1'), worker('v2'))
    state = await fleet.at(1001.0)
    assert state.phase is model.Phase.RUNNING
    state = await fleet.at(1099.9)
    assert state.phase is model.Phase.DONE


async def test_verdict_stays_when_workers_are_removed_after_the_move(fleet):
    """A move that is done must not be taken back without evidence.

    The workers of the new version can all fail at once, long after the move.
    """
    fleet.workers = (worker('v1'), worker('v2'))
    await fleet.at(1001.0)
    await fleet.at(1099.9)
    fleet.workers = (worker('v1'),)
    state = await fleet.at(1200.0)
    assert state.phase is model.Phase.DONE


async def test_nothing_is_decided_without_the_lease(fleet):
    """A node without the lease must not decide; another node does."""
    fleet.workers = (worker('v2'),)
    fleet.holds = False
    assert await fleet.at(1050.0) is None
