"""Compare ways to serve more requests than there are slots.

Drives the admission of several workers on a virtual clock. A caller's node
chooses a worker, goes on to another one where it is refused, and refuses the
caller in the end, who comes back once. Writes
``docs/measurements/overload.md``.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import multiprocessing
import pathlib
import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier.traffic import admission

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import errors

OUTPUT = pathlib.Path('docs/measurements/overload.md')

SLOTS = 18
QUEUE_PER_SLOT = 3
MEAN_SERVICE_S = 0.115
# Standard deviation of the logarithm of the service time.
SERVICE_LOG_SIGMA = 0.5
OBJECTIVE_S = 0.3
DEADLINE_S = 0.8
ROUND_TRIP_S = 0.004
# Service times of the workers relative to the mean, repeated.
SERVICE_TIME_FACTORS = (0.6, 1.0, 1.4)
CANDIDATE_COUNT = 3  # workers of which a node chooses the least loaded
MEAN_RETRY_DELAY_S = 0.1  # of a refused caller
LOAD_RATIOS = (0.85, 1.0, 1.15, 1.4)


class Policy(NamedTuple):
    """Rules for queues and tries that the measurement compares.

    :param name: name in the table
    :param by_objective: whether workers queue by the objective; otherwise by
        the deadline only
    :param tries: workers that a request is sent to
    :param max_wait_ratio: longest wait at a worker other than the last, as
        a part of the objective
    """

    name: str
    by_objective: bool = True
    tries: int = 2
    max_wait_ratio: float = 0.25


POLICIES = (
    Policy('deadlines, 4 tries', by_objective=False, tries=4),
    Policy('deadlines, 2 tries', by_objective=False),
    Policy('objective, 4 tries', tries=4),
    Policy('objective, 2 tries'),
    Policy('objective, 2 tries, less patience', max_wait_ratio=0.1),
)


class Setup(NamedTuple):
    """Parameters of one run.

    :param load: requests as a multiple of what the slots can serve
    :param returns: retries of a refused caller
    """

    load: float
    policy: Policy = Policy('')
    workers: int = 6
    returns: int = 1
    length_s: float = 15.0
    seed: int = 1


class Outcome(NamedTuple):
    """Result of one run.

    The first three fields are the parts of the callers whose request ended
    within the objective, ended after it, or was refused. ``tries`` is the mean
    number of tries per caller.
    """

    in_time: float
    late: float
    refused: float
    tries: float


class _Request:
    def __init__(self, first_at: float, now: float, returns: int) -> None:
        self.first_at = first_at
        self.objective = now + OBJECTIVE_S
        self.deadline = first_at + DEADLINE_S
        self.returns = returns
        self.tried: list[int] = []


class _Simulation:
    def __init__(self, setup: Setup) -> None:
        self._setup = setup
        self._now = 0.0
        self._rng = random.Random(setup.seed)
        self._order = itertools.count()
        self._events: list = []
        self._try_count = 0
        self._counts = dict.fromkeys(('in_time', 'late', 'refused'), 0)
        self._service_time_factors = [
            factor
            for factor, _ in zip(
                itertools.cycle(
                    SERVICE_TIME_FACTORS if setup.workers > 1 else (1.0,)
                ),
                range(setup.workers),
                strict=False,
            )
        ]
        self._workers = [
            admission.Admission(lambda: self._now)
            for _ in self._service_time_factors
        ]
        for worker in self._workers:
            worker.configure(SLOTS, QUEUE_PER_SLOT * SLOTS)

    def run(self) -> Outcome:
        capacity_per_s = sum(
            SLOTS / (MEAN_SERVICE_S * factor)
            for factor in self._service_time_factors
        )
        at = 0.0
        while at < self._setup.length_s:
            at += self._rng.expovariate(self._setup.load * capacity_per_s)
            self._schedule(at, self._arrive, at, self._setup.returns)
        while self._events:
            self._now, _, event, args = heapq.heappop(self._events)
            event(*args)
        total = sum(self._counts.values())
        parts = {name: n / total for name, n in self._counts.items()}
        return Outcome(**parts, tries=self._try_count / total)

    def _schedule(
        self, at: float, event: Callable[..., None], *args: object
    ) -> None:
        heapq.heappush(self._events, (at, next(self._order), event, args))

    def _arrive(self, first_at: float, returns: int) -> None:
        self._send(_Request(first_at, self._now, returns))

    def _send(self, request: _Request) -> None:
        left = [
            i for i in range(self._setup.workers) if i not in request.tried
        ]
        candidates = self._rng.sample(left, min(CANDIDATE_COUNT, len(left)))
        chosen = min(candidates, key=self._relative_delay)
        request.tried.append(chosen)
        self._try_count += 1
        self._schedule(
            self._now + ROUND_TRIP_S / 2, self._submit, request, chosen
        )

    def _relative_delay(self, index: int) -> float:
        load = self._workers[index].load
        return (load.in_use + load.queued + 1) * self._service_time_factors[
            index
        ]

    def _submit(self, request: _Request, index: int) -> None:
        worker = self._workers[index]
        policy = self._setup.policy
        max_wait_s = math.inf
        if len(request.tried) < min(policy.tries, self._setup.workers):
            max_wait_s = policy.max_wait_ratio * OBJECTIVE_S
        tickets: list[admission.Ticket] = []

        def done(refusal: errors.Refusal | None) -> None:
            if refusal is not None:
                at = self._now + ROUND_TRIP_S / 2
                self._schedule(at, self._on_refusal, request)
                return
            log_mean = math.log(MEAN_SERVICE_S) - SERVICE_LOG_SIGMA**2 / 2
            service_s = self._rng.lognormvariate(log_mean, SERVICE_LOG_SIGMA)
            end = self._now + service_s * self._service_time_factors[index]
            end = min(end, request.deadline)
            self._schedule(end, self._finish, request, worker, tickets)

        ticket = worker.submit(
            request.deadline,
            done,
            'r',
            max_wait_s=max_wait_s,
            objective=request.objective if policy.by_objective else math.inf,
        )
        tickets.append(ticket)
        if max_wait_s < math.inf:
            at = self._now + max_wait_s
            self._schedule(at, worker.refuse_past_max_wait, ticket)
        self._schedule(request.deadline, worker.refuse_past_deadline, ticket)

    def _on_refusal(self, request: _Request) -> None:
        tries = min(self._setup.policy.tries, self._setup.workers)
        if len(request.tried) < tries and self._now < request.deadline:
            self._send(request)
        elif (
            request.returns
            and self._now + MEAN_RETRY_DELAY_S < request.deadline
        ):
            at = self._now + MEAN_RETRY_DELAY_S * self._rng.uniform(0.5, 1.5)
            self._schedule(
                at, self._arrive, request.first_at, request.returns - 1
            )
        else:
            self._counts['refused'] += 1

    def _finish(
        self,
        request: _Request,
        worker: admission.Admission,
        tickets: list[admission.Ticket],
    ) -> None:
        elapsed_s = self._now - request.first_at
        name = 'in_time' if elapsed_s <= OBJECTIVE_S else 'late'
        self._counts[name] += 1
        worker.release(tickets[0])


def simulate(setup: Setup) -> Outcome:
    """Simulate one run; deterministic for a seed."""
    return _Simulation(setup).run()


def _page(setups: list[Setup], outcomes: list[Outcome]) -> str:
    lines = [
        '# Overload',
        '',
        'Made by `python -m tools.overload`, in virtual time with the',
        'admission class of the node: 6 workers of 18 slots with different',
        f'speeds, a mean service time of {MEAN_SERVICE_S * 1000:.0f} ms, an',
        f'objective of {OBJECTIVE_S * 1000:.0f} ms and a deadline of',
        f'{DEADLINE_S * 1000:.0f} ms. A refused caller comes back once after',
        'about 100 ms; its time counts from its first request. *load*:',
        'requests as a multiple of what the slots can serve. *tries*: workers',
        'asked for each caller. *deadlines*: the queue is in the order of',
        'the deadlines; *objective*: requests that can still meet the',
        'objective go first. Parts of the callers, one seed.',
        '',
        '| load | policy | in time | late | refused | tries |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    for setup, outcome in zip(setups, outcomes, strict=True):
        lines.append(
            f'| {setup.load:g} | {setup.policy.name} '
            f'| {outcome.in_time:.3f} | {outcome.late:.3f} '
            f'| {outcome.refused:.3f} | {outcome.tries:.2f} |'
        )
    return '\n'.join(lines) + '\n'


def main() -> None:
    """Simulate all runs and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--processes', type=int, default=2)
    options = parser.parse_args()
    setups = [
        Setup(load, policy) for load in LOAD_RATIOS for policy in POLICIES
    ]
    with multiprocessing.Pool(options.processes) as pool:
        outcomes = pool.map(simulate, setups)
    OUTPUT.write_text(_page(setups, outcomes), encoding='utf-8')


if __name__ == '__main__':
    main()
