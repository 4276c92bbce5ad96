"""Uneven demand in a large fleet, on virtual time and without a network.

The pattern: the callers of one failure domain ask for more than the workers of
that domain can do, while those of the others have free slots. Each node sends
so little to a worker that its last reply says nothing about it any more.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import NamedTuple

import pytest

from damaskpier import errors
from damaskpier.fleet import router
from damaskpier.fleet import selector
from damaskpier.mesh import model
from damaskpier.traffic import admission
from damaskpier.traffic import messages

SERVICE_S = 0.38
OBJECTIVE_S = 1.07
DEADLINE_S = 6.4
SLOTS = 9
WORKERS_PER_DOMAIN = 10
CALLERS_PER_DOMAIN = 200
DURATION_S = 16.0
# Before this time the nodes have learned nothing yet.
WARM_UP_S = 8.0
BYTES = 2_000.0


class Result(NamedTuple):
    """Part of the requests of a domain that were late, and that left it."""

    late: float
    remote: float


class Simulation:
    """Nodes that call the workers of one service in three regions.

    :param demand: requests of each domain as a part of what its workers do
    """

    def __init__(self, demand: tuple[float, ...]) -> None:
        self._rng = random.Random(7)
        self._now = 0.0
        self._events: list[tuple[float, int, object]] = []
        self._numbers = itertools.count()
        self._demand = demand
        records = [
            self._record(domain, number)
            for domain in range(len(demand))
            for number in range(WORKERS_PER_DOMAIN)
        ]
        self._admissions = {}
        for record in records:
            made = admission.Admission(self._clock)
            made.configure(SLOTS, 3 * SLOTS)
            self._admissions[record.node_id] = made
        self._callers = {}
        for domain in range(len(demand)):
            self._callers[domain] = [
                self._selector(domain, number, records)
                for number in range(CALLERS_PER_DOMAIN)
            ]
        self._outcomes: dict[int, list[tuple[float, bool]]] = {
            domain: [] for domain in range(len(demand))
        }

    def run(self) -> dict[int, Result]:
        """Run the requests and return the result of each domain."""
        for domain, demand in enumerate(self._demand):
            per_s = demand * WORKERS_PER_DOMAIN * SLOTS / SERVICE_S
            at = 0.0
            while at < DURATION_S:
                at += self._rng.expovariate(per_s)
                self._at(at, lambda domain=domain: self._arrive(domain))
        while self._events:
            self._now, _, call = heapq.heappop(self._events)
            call()
        return {
            domain: Result(
                sum(took_s > OBJECTIVE_S for took_s, _ in found) / len(found),
                sum(is_remote for _, is_remote in found) / len(found),
            )
            for domain, found in self._outcomes.items()
        }

    def _clock(self) -> float:
        return self._now

    def _at(self, at: float, call: object) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), call))

    def _record(self, domain: int, number: int) -> model.NodeRecord:
        return model.NodeRecord(
            f'worker-{domain}-{number}',
            1,
            1,
            f'region-{domain}',
            f'domain-{domain}',
            'host',
            1,
            2,
            slots=SLOTS,
            ready=True,
        )

    def _selector(
        self, domain: int, number: int, records: list[model.NodeRecord]
    ) -> selector.Selector:
        local = self._record(domain, number)._replace(node_id='caller')
        made = selector.Selector(
            lambda: local, random.Random(100 * domain + number), self._clock
        )
        made.update(records)
        return made

    def _arrive(self, domain: int) -> None:
        caller = self._rng.choice(self._callers[domain])
        self._attempt(domain, caller, self._now, [])

    def _attempt(
        self,
        domain: int,
        caller: selector.Selector,
        arrived_at: float,
        tried: list[str],
    ) -> None:
        deadline = arrived_at + DEADLINE_S
        if len(tried) >= router.MAX_ATTEMPTS or self._now >= deadline:
            self._end(domain, arrived_at, DEADLINE_S, is_remote=False)
            return
        worker = caller.pick(BYTES, tried)
        caller.record_start(worker)
        tried.append(worker.key)
        made = self._admissions[worker.key]
        began = self._now
        max_wait_s = router.FIRST_WAIT_RATIO * OBJECTIVE_S
        if len(tried) >= router.FULL_WAIT_ATTEMPT:
            max_wait_s = float('inf')

        def reply(result: messages.Answer | errors.Refusal) -> None:
            caller.record_outcome(
                worker, messages.Reply(result, made.load), self._now - began
            )

        def decided(refusal: errors.Refusal | None) -> None:
            if refusal is not None:
                reply(refusal)
                self._attempt(domain, caller, arrived_at, tried)
                return
            run_s = SERVICE_S * self._rng.uniform(0.5, 1.5)
            self._at(self._now + run_s, finish)

        def finish() -> None:
            made.release(ticket)
            reply(messages.Answer(200, (), b'', 0.0))
            is_remote = worker.record.failure_domain != f'domain-{domain}'
            took_s = self._now - arrived_at
            self._end(domain, arrived_at, took_s, is_remote=is_remote)

        ticket = made.submit(
            deadline,
            lambda refusal: self._at(self._now, lambda: decided(refusal)),
            'route',
            0,
            max_wait_s,
            arrived_at + OBJECTIVE_S,
        )
        self._at(
            self._now + min(max_wait_s, DEADLINE_S),
            lambda: made.refuse_past_max_wait(ticket),
        )

    def _end(
        self, domain: int, arrived_at: float, took_s: float, *, is_remote: bool
    ) -> None:
        if arrived_at >= WARM_UP_S:
            self._outcomes[domain].append((took_s, is_remote))


@pytest.mark.parametrize('demand', [1.2, 1.5])
def test_full_domain_uses_the_free_workers_of_others(demand):
    """Callers of a full domain must not wait beside free workers.

    There are as many slots as needed in all domains together.
    """
    results = Simulation((demand, 0.5, 0.5)).run()
    assert results[0].late < 0.05
    assert results[1].late < 0.05


def test_domain_with_free_workers_keeps_its_requests():
    """Bytes between failure domains are billed."""
    results = Simulation((0.7, 0.7, 0.7)).run()
    for result in results.values():
        assert result.late < 0.05
        assert result.remote < 0.2
