"""Bound on the requests of cold workers.

The worker of these tests crashes if more than 20 requests arrive within a
second while it is cold; 8.5 a second are named for it.
"""

from __future__ import annotations

import asyncio
import copy
import itertools
import math
import random

import pytest

from damaskpier.capacity import pace
from damaskpier.traffic import admission
from damaskpier.traffic import pace_limits

from tests.test_capacity import conftest
from tests.test_fleet import virtual_time

BOUND_PER_S = 8.5 * 1.5 + 8
MOST_IN_A_SECOND = math.floor(BOUND_PER_S)
HEARTBEAT_S = 1.0


class _Node:
    """Node beside a worker that hears of it by heartbeats."""

    def __init__(
        self, worker: conftest.Worker, bound_per_s: float | None = BOUND_PER_S
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.worker = worker
        self.cold = pace.ColdPace()
        self.cold.set_bound(self.loop.time(), bound_per_s)
        self.queue = conftest.Queue(
            worker, (pace_limits.ColdPaceLimit(self.cold, self.loop.time),)
        )
        self.queue.failed = self._forget
        worker.on_start = self.hear
        self._beat()

    def hear(self) -> None:
        """Apply a heartbeat of the worker."""
        if self.worker.is_up and not self.queue.is_stopped:
            self.cold.learn(self.loop.time(), self.worker.cold_s)
            self.queue.admission.start_waiting()

    def _forget(self) -> None:
        self.cold.learn(self.loop.time(), math.inf)

    def _beat(self) -> None:
        self.hear()
        if not self.queue.is_stopped:
            self.loop.call_later(HEARTBEAT_S, self._beat)


async def _load(nodes: list[_Node], per_s: float, seconds: float) -> None:
    """Send requests at random times, each to any of the nodes."""
    rng = random.Random(7)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        rng.choice(nodes).queue.request()
        await asyncio.sleep(rng.expovariate(per_s))


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_cold_worker_gets_most_of_its_bound_and_no_more(seed):
    """A cold worker must neither crash nor idle under a waiting load."""

    async def run() -> conftest.Worker:
        worker = conftest.Worker(seed)
        node = _Node(worker)
        await asyncio.sleep(2.0)
        worker.start()
        for _ in range(30):
            node.queue.request()
        await _load([node], 60.0, 8.0)
        return worker

    worker = virtual_time.run(run())
    assert worker.crashes == 0
    assert conftest.most_in_a_second(worker.arrivals) <= MOST_IN_A_SECOND
    cold = [at for at in worker.arrivals if at < worker.cold_until]
    assert len(cold) >= 0.7 * BOUND_PER_S * conftest.COLD_S
    # Requests that wait for a second miss their objective.
    gaps_s = [second - first for first, second in itertools.pairwise(cold)]
    assert max(gaps_s) < 0.5
    warm = [at for at in worker.answers if at > worker.cold_until + 0.5]
    assert len(warm) >= 100


def test_worker_without_the_bound_crashes_again_and_again():
    """Shows that the load of these tests needs the bound."""

    async def run() -> conftest.Worker:
        worker = conftest.Worker(1)
        node = _Node(worker, None)
        await asyncio.sleep(2.0)
        worker.start()
        await _load([node], 60.0, 8.0)
        return worker

    assert virtual_time.run(run()).crashes >= 2


@pytest.mark.parametrize('at_s', [0.05, 0.3, 0.7, 1.3, 2.2])
def test_node_that_restarts_does_not_send_the_bound_twice(at_s):
    """The new process does not know what the one before it has sent."""

    async def run() -> conftest.Worker:
        worker = conftest.Worker(4)
        node = _Node(worker)
        await asyncio.sleep(2.0)
        worker.start()
        for _ in range(30):
            node.queue.request()
        await _load([node], 60.0, at_s)
        node.queue.stop()
        node = _Node(worker)
        for _ in range(30):
            node.queue.request()
        await _load([node], 60.0, 4.0)
        return worker

    worker = virtual_time.run(run())
    assert worker.crashes == 0
    assert conftest.most_in_a_second(worker.arrivals) <= MOST_IN_A_SECOND


def test_node_that_restarts_again_and_again_keeps_the_bound():
    """Each process would send its first requests together."""

    async def run() -> conftest.Worker:
        worker = conftest.Worker(4)
        worker.start()
        for _ in range(10):
            node = _Node(worker)
            await _load([node], 60.0, 0.25)
            node.queue.stop()
        return worker

    assert virtual_time.run(run()).crashes == 0


def test_bound_that_is_named_later_counts_what_came_before():
    """A new configuration may name a bound while the worker is cold."""
    cold = pace.ColdPace()
    cold.set_bound(0.0, None)
    cold.record_start(50.0)
    cold.set_bound(50.0, BOUND_PER_S)
    assert cold.wait_s(50.0, 0) >= 1.0


def test_warm_worker_that_becomes_cold_keeps_the_bound():
    """What was sent just before counts: it may arrive just after."""

    async def run() -> conftest.Worker:
        worker = conftest.Worker(5)
        node = _Node(worker)
        worker.start()
        await asyncio.sleep(5.0)
        for _ in range(4):
            await _load([node], 60.0, 1.5)
            worker.cool()
        await _load([node], 60.0, 4.0)
        return worker

    worker = virtual_time.run(run())
    assert worker.crashes == 0
    assert conftest.most_in_a_second(worker.arrivals) <= MOST_IN_A_SECOND


def test_worker_that_crashes_on_the_way_is_taken_to_be_cold():
    """It may run again before its first heartbeat."""

    async def run() -> conftest.Worker:
        worker = conftest.Worker(6)
        node = _Node(worker)
        worker.start()
        await asyncio.sleep(3.5)
        node.hear()
        await _load([node], 40.0, 1.0)
        worker.on_start = None
        for _ in range(3):
            # It starts again at once and does not say so before the next
            # heartbeat.
            worker.start()
            await _load([node], 60.0, 3.3)
        return worker

    worker = virtual_time.run(run())
    assert worker.crashes == 0


def test_all_workers_that_start_together_under_the_whole_load_come_up():
    """Workers that crash in turn would never take the load."""

    async def run() -> list[_Node]:
        nodes = [_Node(conftest.Worker(seed)) for seed in range(6)]
        for node in nodes:
            node.worker.start()
        await _load(nodes, 6 * 40.0, 10.0)
        return nodes

    nodes = virtual_time.run(run())
    for node in nodes:
        assert node.worker.crashes == 0
        recent = sum(at > 6.0 for at in node.worker.answers)
        assert recent >= 0.8 * 4.0 * 40.0 * 0.85


def test_unknown_worker_gets_nothing_until_the_window_has_passed():
    """The process before this one may have sent the whole bound."""
    cold = pace.ColdPace()
    cold.set_bound(10.0, BOUND_PER_S)
    assert cold.wait_s(10.0, 0) >= 1.0
    assert cold.wait_s(10.0 + pace.START_WINDOW_S, 0) == 0
    # A worker that is known to be warm gets its requests at once.
    cold.learn(10.0, 0.0)
    assert cold.wait_s(10.0, 100) == 0
    cold.learn(10.0, math.inf)
    assert cold.is_cold(1000.0)


@pytest.mark.parametrize('per_s', [0.4, 1.0, 2.0, 3.7, 9.0, 20.75, 400.0])
def test_expected_wait_is_that_of_the_start(per_s):
    """Requests are refused or sent elsewhere by the expected wait."""
    cold = pace.ColdPace()
    cold.set_bound(0.0, per_s)
    now = 10.0
    for number in range(60):
        expected = [cold.wait_s(now, ahead) for ahead in range(8)]
        future = copy.deepcopy(cold)
        at = now
        for ahead in range(8):
            wait_s = future.wait_s(at, 0)
            at += wait_s + 1e-9
            if not ahead:
                assert expected[0] == pytest.approx(wait_s, abs=1e-6)
            assert expected[ahead] == pytest.approx(
                at - now, rel=0.25, abs=1e-6
            )
            future.record_start(at)
        if number % 3 == 0:
            now += 0.05
        now += cold.wait_s(now, 0) + 1e-9
        cold.record_start(now)


def test_health_checks_count():
    """A health check is a request to the worker, and is not held back."""
    cold = pace.ColdPace()
    cold.set_bound(0.0, BOUND_PER_S)
    ticket = admission.Ticket(1e9, print, 'r')
    now = 5.0
    limit = pace_limits.ColdPaceLimit(cold, lambda: now)
    times = []
    while now < 15.0:
        if round(now * 100) % 130 == 0:
            cold.record_start(now)
            times.append(now)
        if limit.delay_s(ticket, (), 0.1) == 0:
            limit.record_start(ticket)
            times.append(now)
        now += 0.01
    # The starts of a second may arrive over the longer window.
    most = conftest.most_in_a_second(times, pace.START_WINDOW_S - 0.005)
    assert most <= MOST_IN_A_SECOND
