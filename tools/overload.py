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
SERVICE_S = 0.115
# Spread of the logarithm of the service time.
SPREAD = 0.5
OBJECTIVE_S = 0.3
DEADLINE_S = 0.8
ROUND_TRIP_S = 0.004
# Relative service times of the workers, repeated.
SPEEDS = (0.6, 1.0, 1.4)
COMPARED = 3
RETURN_S = 0.1
LOADS = (0.85, 1.0, 1.15, 1.4)


class Policy(NamedTuple):
    """What is compared.

    :param name: name in the table
    :param by_objective: whether workers know the objective
    :param tries: workers that a request is sent to
    :param patience: part of the objective that a request waits at a worker
        other than the last
    """

    name: str
    by_objective: bool = True
    tries: int = 2
    patience: float = 0.25


POLICIES = (
    Policy('deadlines, 4 tries', by_objective=False, tries=4),
    Policy('deadlines, 2 tries', by_objective=False),
    Policy('objective, 4 tries', tries=4),
    Policy('objective, 2 tries'),
    Policy('objective, 2 tries, less patience', patience=0.1),
)


class Setup(NamedTuple):
    """One run.

    :param load: requests as a multiple of what the slots can serve
    :param returns: times that a refused caller comes back
    """

    load: float
    policy: Policy = Policy('')
    workers: int = 6
    returns: int = 1
    length_s: float = 15.0
    seed: int = 1


class Outcome(NamedTuple):
    """Parts of the callers by what became of them, and tries of each."""

    in_time: float
    late: float
    refused: float
    tries: float


class _Request:
    def __init__(self, first: float, now: float, returns: int) -> None:
        self.first = first
        self.objective = now + OBJECTIVE_S
        self.deadline = first + DEADLINE_S
        self.returns = returns
        self.tried: list[int] = []


class _Simulation:
    def __init__(self, setup: Setup) -> None:
        self._setup = setup
        self._now = 0.0
        self._rng = random.Random(setup.seed)
        self._order = itertools.count()
        self._events: list = []
        self._tries = 0
        self._counts = dict.fromkeys(('in_time', 'late', 'refused'), 0)
        self._speeds = [
            speed
            for speed, _ in zip(
                itertools.cycle(SPEEDS if setup.workers > 1 else (1.0,)),
                range(setup.workers),
                strict=False,
            )
        ]
        self._workers = [
            admission.Admission(lambda: self._now) for _ in self._speeds
        ]
        for worker in self._workers:
            worker.configure(SLOTS, QUEUE_PER_SLOT * SLOTS)

    def run(self) -> Outcome:
        per_s = sum(SLOTS / (SERVICE_S * speed) for speed in self._speeds)
        at = 0.0
        while at < self._setup.length_s:
            at += self._rng.expovariate(self._setup.load * per_s)
            self._later(at, self._arrive, at, self._setup.returns)
        while self._events:
            self._now, _, event, args = heapq.heappop(self._events)
            event(*args)
        total = sum(self._counts.values())
        parts = {name: n / total for name, n in self._counts.items()}
        return Outcome(**parts, tries=self._tries / total)

    def _later(
        self, at: float, event: Callable[..., None], *args: object
    ) -> None:
        heapq.heappush(self._events, (at, next(self._order), event, args))

    def _arrive(self, first: float, returns: int) -> None:
        self._try(_Request(first, self._now, returns))

    def _try(self, request: _Request) -> None:
        left = [
            i for i in range(self._setup.workers) if i not in request.tried
        ]
        compared = self._rng.sample(left, min(COMPARED, len(left)))
        chosen = min(compared, key=self._expected)
        request.tried.append(chosen)
        self._tries += 1
        self._later(
            self._now + ROUND_TRIP_S / 2, self._submit, request, chosen
        )

    def _expected(self, index: int) -> float:
        load = self._workers[index].load
        return (load.in_use + load.queued + 1) * self._speeds[index]

    def _submit(self, request: _Request, index: int) -> None:
        worker = self._workers[index]
        policy = self._setup.policy
        max_wait_s = math.inf
        if len(request.tried) < min(policy.tries, self._setup.workers):
            max_wait_s = policy.patience * OBJECTIVE_S
        tickets: list[admission.Ticket] = []

        def done(refusal: errors.Refusal | None) -> None:
            if refusal is not None:
                at = self._now + ROUND_TRIP_S / 2
                self._later(at, self._refused, request)
                return
            usual = math.log(SERVICE_S) - SPREAD**2 / 2
            took_s = self._rng.lognormvariate(usual, SPREAD)
            end = self._now + took_s * self._speeds[index]
            end = min(end, request.deadline)
            self._later(end, self._finish, request, worker, tickets)

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
            self._later(at, worker.refuse_past_max_wait, ticket)
        self._later(request.deadline, worker.refuse_past_deadline, ticket)

    def _refused(self, request: _Request) -> None:
        tries = min(self._setup.policy.tries, self._setup.workers)
        if len(request.tried) < tries and self._now < request.deadline:
            self._try(request)
        elif request.returns and self._now + RETURN_S < request.deadline:
            at = self._now + RETURN_S * self._rng.uniform(0.5, 1.5)
            self._later(at, self._arrive, request.first, request.returns - 1)
        else:
            self._counts['refused'] += 1

    def _finish(
        self,
        request: _Request,
        worker: admission.Admission,
        tickets: list[admission.Ticket],
    ) -> None:
        took_s = self._now - request.first
        name = 'in_time' if took_s <= OBJECTIVE_S else 'late'
        self._counts[name] += 1
        worker.release(tickets[0])


def simulate(setup: Setup) -> Outcome:
    """Play one run."""
    return _Simulation(setup).run()


def _page(setups: list[Setup], outcomes: list[Outcome]) -> str:
    lines = [
        '# Overload',
        '',
        'Made by `python -m tools.overload`, in virtual time with the',
        'admission class of the node: 6 workers of 18 slots with different',
        f'speeds, a mean service time of {SERVICE_S * 1000:.0f} ms, an',
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
    """Play all runs and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--processes', type=int, default=2)
    options = parser.parse_args()
    setups = [Setup(load, policy) for load in LOADS for policy in POLICIES]
    with multiprocessing.Pool(options.processes) as pool:
        outcomes = pool.map(simulate, setups)
    OUTPUT.write_text(_page(setups, outcomes), encoding='utf-8')


if __name__ == '__main__':
    main()
