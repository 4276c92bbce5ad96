"""Admission under more load than the slots can serve.

The pattern: requests with a latency objective well before their deadline
come faster than the worker serves them, for seconds. A queue in the order of
the deadlines settles at a wait near the deadline, so that nearly every
answer comes, and comes late.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from typing import NamedTuple

import pytest

from damaskpier.traffic import admission

SLOTS = 18
SERVICE_S = 0.115
# Spread of the logarithm of the service time.
SPREAD = 0.5
OBJECTIVE_S = 0.3
DEADLINE_S = 0.8
LENGTH_S = 20.0


class Outcome(NamedTuple):
    """Parts of the requests by what became of them."""

    in_time: float
    late: float
    refused: float


class World:
    """Runs one worker's admission on a virtual clock."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.counts = {'in_time': 0, 'late': 0, 'refused': 0}
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._events: list = []
        self._admission = admission.Admission(lambda: self.now)
        self._admission.configure(SLOTS, 3 * SLOTS)

    def run(self, load: float) -> Outcome:
        """Play requests at a multiple of what the slots can serve."""
        at = 0.0
        while at < LENGTH_S:
            at += self._rng.expovariate(load * SLOTS / SERVICE_S)
            self._later(at, self._arrive)
        while self._events:
            self.now, _, event, args = heapq.heappop(self._events)
            event(*args)
        total = sum(self.counts.values())
        return Outcome(**{k: v / total for k, v in self.counts.items()})

    def _later(self, at: float, event, *args: object) -> None:
        heapq.heappush(self._events, (at, next(self._order), event, args))

    def _arrive(self) -> None:
        at = self.now
        tickets: list[admission.Ticket] = []

        def done(refusal) -> None:
            if refusal is not None:
                self.counts['refused'] += 1
                return
            usual = math.log(SERVICE_S) - SPREAD**2 / 2
            end = self.now + self._rng.lognormvariate(usual, SPREAD)
            end = min(end, at + DEADLINE_S)
            self._later(end, self._finish, at, tickets)

        tickets.append(
            self._admission.submit(
                at + DEADLINE_S, done, 'r', objective=at + OBJECTIVE_S
            )
        )
        self._later(at + DEADLINE_S, self._admission.refuse_late, tickets[0])

    def _finish(self, at: float, tickets: list[admission.Ticket]) -> None:
        in_time = self.now - at <= OBJECTIVE_S
        self.counts['in_time' if in_time else 'late'] += 1
        self._admission.release(tickets[0])


@pytest.mark.parametrize('load', [1.1, 1.25, 1.6])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_most_of_what_the_slots_can_serve_is_in_time(load, seed):
    # Target: nine tenths of what the slots can serve at all.
    outcome = World(seed).run(load)
    assert outcome.in_time >= 0.9 / load


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_without_overload_next_to_nothing_is_refused(seed):
    outcome = World(seed).run(0.8)
    assert outcome.refused < 0.01
    assert outcome.in_time >= 0.95
