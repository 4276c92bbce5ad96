"""Tests of the service that decides moves."""

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
    """Service with the given attributes."""


class Fleet:
    """A decider whose lease, workers and time a test sets."""

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
        """Run a round at a time; return the state of the move."""
        self.now = now
        await self.decider._round()
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
    """Guards against a move that is called done though nothing moved."""
    fleet.workers = (worker('v1'), worker('v2', ready=False))
    assert await fleet.at(1001.0) is None
    assert await fleet.at(1050.0) is None
    state = await fleet.at(1099.5)
    assert state.phase is model.Phase.TAKEN_BACK
    assert state.result == errors.ROLLOUT_LATE.number


async def test_move_with_workers_is_done_by_the_stated_time(fleet):
    fleet.workers = (worker('v1'), worker('v2'))
    state = await fleet.at(1001.0)
    assert state.phase is model.Phase.RUNNING
    state = await fleet.at(1099.9)
    assert state.phase is model.Phase.DONE


async def test_workers_that_go_after_the_move_leave_the_verdict(fleet):
    """Guards against a take-back without evidence after a herd's death."""
    fleet.workers = (worker('v1'), worker('v2'))
    await fleet.at(1001.0)
    await fleet.at(1099.9)
    fleet.workers = (worker('v1'),)
    state = await fleet.at(1200.0)
    assert state.phase is model.Phase.DONE


async def test_nothing_is_decided_without_the_lease(fleet):
    """Guards against two deciders."""
    fleet.workers = (worker('v2'),)
    fleet.holds = False
    assert await fleet.at(1050.0) is None
