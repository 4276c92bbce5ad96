"""Pace of workers for which no bound is named.

The tests guard against workers that are flooded or left idle after a start.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from damaskpier.capacity import adaptive_pace
from damaskpier.traffic import admission
from damaskpier.traffic import pace_limits

from tests.test_capacity import conftest
from tests.test_fleet import virtual_time

USUAL_S = conftest.SERVICE_S + conftest.ARRIVAL_SPREAD_S / 2
# Requests a second that a warm worker with all its slots answers.
CAPACITY_PER_S = conftest.SLOTS / USUAL_S


class _Node:
    """Node beside a worker whose starts it learns."""

    def __init__(self, worker: conftest.Worker, is_limited: bool = True):
        self.loop = asyncio.get_running_loop()
        self.worker = worker
        self.pace = adaptive_pace.AdaptivePace()
        self.usual_s: float | None = USUAL_S
        self.queue = conftest.Queue(
            worker, (pace_limits.AdaptivePaceLimit(self.pace, self.loop.time),)
        )
        self.queue.ended = self._ended
        if is_limited:
            worker.on_start = self._begin

    def _begin(self) -> None:
        self.pace.begin(self.loop.time(), conftest.SLOTS)

    def _ended(
        self, ticket: admission.Ticket, took_s: float, answered: bool
    ) -> None:
        self.pace.record_answer(
            self.loop.time(), 'r', took_s, self.usual_s, not answered
        )


async def _load(nodes: list[_Node], per_s: float, seconds: float) -> None:
    rng = random.Random(7)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        rng.choice(nodes).queue.request()
        await asyncio.sleep(rng.expovariate(per_s))


@pytest.mark.parametrize('usual_s', [USUAL_S, None])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_worker_that_is_slow_while_cold_comes_up(seed, usual_s):
    """It works twice as slowly at first, which is no overload."""

    async def run() -> _Node:
        node = _Node(conftest.Worker(seed, crash_count=0))
        node.usual_s = usual_s
        node.worker.start()
        await _load([node], 2 * CAPACITY_PER_S, 8.0)
        return node

    node = virtual_time.run(run())
    first = [at for at in node.worker.answers if at < 1.0]
    # Neither idle nor flooded in the first second.
    assert len(first) >= 4
    late = [at for at in node.worker.answers if 5.0 <= at < 8.0]
    assert len(late) >= 0.85 * 3.0 * CAPACITY_PER_S
    assert not node.pace.is_active


def test_start_is_lower_than_the_slots():
    """A burst that waits for the start must not arrive together."""
    pace = adaptive_pace.AdaptivePace()
    pace.begin(0.0, conftest.SLOTS)
    running = 0
    while not pace.wait_s(0.0, running, 0, USUAL_S):
        pace.record_start(0.0)
        running += 1
    assert 1 < running < conftest.SLOTS / 2


@pytest.mark.parametrize('is_limited', [True, False])
def test_worker_that_crashes_under_the_load_settles(is_limited):
    """Workers that crash in turn under the load of all never take it.

    Without the limit they do, so that this load needs it.
    """

    async def run() -> list[_Node]:
        nodes = [
            _Node(conftest.Worker(seed, crash_count=20), is_limited)
            for seed in range(6)
        ]
        for node in nodes:
            node.worker.start()
        await _load(nodes, 6 * 2 * CAPACITY_PER_S, 30.0)
        return nodes

    nodes = virtual_time.run(run())
    answers = sum(at >= 20.0 for node in nodes for at in node.worker.answers)
    crashes = [node.worker.crashes for node in nodes]
    assert (answers >= 0.85 * 6 * 10.0 * CAPACITY_PER_S) == is_limited
    assert (max(crashes) <= 3) == is_limited


def test_worker_alone_is_not_starved_by_bad_answers():
    """There is no other worker to take what the limit refuses."""

    async def run() -> _Node:
        node = _Node(conftest.Worker(3, crash_count=0))
        node.worker.slowness = 8.0
        node.worker.start()
        await _load([node], CAPACITY_PER_S, 10.0)
        node.worker.slowness = 1.0
        await _load([node], 2 * CAPACITY_PER_S, 10.0)
        return node

    node = virtual_time.run(run())
    slow = [at for at in node.worker.answers if at < 10.0]
    assert len(slow) >= 8
    late = [at for at in node.worker.answers if 16.0 <= at < 20.0]
    assert len(late) >= 0.85 * 4.0 * CAPACITY_PER_S


def test_signs_of_overload_halve_the_pace_once_a_round():
    """Requests that ran together see the same overload."""
    pace = adaptive_pace.AdaptivePace()
    pace.begin(0.0, 16)
    for number in range(10):
        pace.record_answer(1.0 + number, 'r', 0.1, 0.1)
    before = pace.count
    pace.record_answer(20.0, 'r', 0.4, 0.1)
    assert pace.count == before / 2
    pace.record_answer(20.1, 'r', 0.4, 0.1)
    assert pace.count == before / 2
    pace.record_answer(20.9, 'r', 0.01, 0.1, is_bad=True)
    assert pace.count == before / 4
    for number in range(100):
        pace.record_answer(30.0 + number, 'r', 0.01, 0.1, is_bad=True)
    assert pace.count == 1.0
    assert pace.wait_s(200.0, 0, 0, 0.1) == 0


def test_limit_lasts_without_evidence():
    """A worker that got no requests has shown nothing."""
    pace = adaptive_pace.AdaptivePace()
    pace.begin(0.0, 7)
    assert pace.wait_s(1000.0, 2, 0, 0.1) > 0
    # Answers of the start before do not count.
    for _ in range(40):
        pace.record_answer(0.05, 'r', 0.1, 0.1)
    assert pace.wait_s(1000.0, 2, 0, 0.1) > 0
    # All slots are allowed before the limit ends, as a crash may follow.
    for _ in range(6):
        pace.record_answer(1000.0, 'r', 0.1, 0.1)
    assert pace.count == 7
    assert pace.is_active
    for number in range(40):
        pace.record_answer(1000.0 + number, 'r', 0.1, 0.1)
    assert pace.wait_s(2000.0, 2, 0, 0.1) == 0


def test_pace_after_a_crash_is_lower():
    pace = adaptive_pace.AdaptivePace()
    pace.begin(0.0, 16)
    for _ in range(6):
        pace.record_answer(1.0, 'r', 0.1, 0.1)
    crashed_at = pace.count
    pace.begin(2.0, 16)
    for _ in range(20):
        pace.record_answer(3.0, 'r', 0.1, 0.1)
    assert pace.count == crashed_at / 2
    # It has lived for longer than the last time.
    pace.record_answer(10.0, 'r', 0.1, 0.1)
    assert crashed_at / 2 < pace.count < crashed_at / 2 + 1


def test_usual_time_does_not_follow_a_slow_worker():
    times = adaptive_pace.UsualTimes()
    assert times.get('r') is None
    for _ in range(50):
        times.record('r', 0.1)
    for _ in range(20):
        times.record('r', 0.8)
    assert times.get('r') < 0.25


def test_recovery_is_no_crash():
    """A worker that became cold again was held at half for 20 s."""
    made = adaptive_pace.AdaptivePace()
    made.begin(0.0, 6)
    while made.is_active:
        made.record_answer(10.0, 'route', 0.1, 0.1)
    made.begin(10.0, 6, is_new_start=False)
    for _ in range(100):
        made.record_answer(11.0, 'route', 0.1, 0.1)
    assert not made.is_active
