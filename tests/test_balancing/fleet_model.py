"""Simulation of nodes that choose among the workers of one service.

It runs the selector and the admission of the nodes in virtual time; only the
network, the callers and the upstreams are modelled.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.fleet import reported_load
from damaskpier.fleet import router
from damaskpier.fleet import selector
from damaskpier.http1 import messages as http_messages
from damaskpier.mesh import model
from damaskpier.platform import headers
from damaskpier.traffic import admission
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Callable

# Before this time, the nodes have learned nothing yet.
WARM_UP_S = 4.0
REQUEST_BYTES = 1500
REFUSAL_BYTES = 400
# Mean time between two changes of the pace of a worker, and the range of the
# factor that changes.
PACE_CHANGE_S = 0.25
PACE_RANGE = (0.6, 1.5)


class Domain(NamedTuple):
    """Failure domain with its demand in requests per second."""

    region: str
    workers: int = 0
    callers: int = 0
    per_s: float = 0.0


class Site(NamedTuple):
    """Deployment and its demand.

    ``slow`` are the ratio of slow workers and the range of their factor.
    ``delays_s`` are the one-way latencies by tier.
    """

    domains: tuple[Domain, ...]
    slots: int
    work_s: tuple[float, float]
    objective_s: float
    deadline_s: float
    answer_bytes: int = 3000
    delays_s: tuple[float, ...] = (0.0001, 0.0014, 0.008)
    slow: tuple[float, float, float] = (0.0, 1.0, 1.0)
    pace_range: tuple[float, float] = PACE_RANGE
    reports_pace: bool = True
    duration_s: float = 12.0
    seed: int = 7


class Result(NamedTuple):
    """Completion times, the share in the objective, and bytes by distance.

    ``first_by_tier`` are the ratios of first attempts by tier.
    """

    count: int
    mean_s: float
    p99_s: float
    in_objective: float
    domain_bytes: int
    region_bytes: int
    attempts: float
    first_by_tier: tuple[float, ...]


class _Worker:
    def __init__(
        self, clock: Callable[[], float], slots: int, factor: float
    ) -> None:
        self.admission = admission.Admission(clock)
        self.admission.configure(slots, 3 * slots)
        self.factor = factor
        self.pace = factor
        self.pace_report = reported_load.ReportedPace(
            headers.PlatformHeaderCodec(), clock
        )

    def report_pace(self) -> None:
        """Report the pace to the worker's node, as an answer does."""
        text = f'0,0,0,{self.pace * 100:.0f}'
        response = http_messages.Response(200, ((headers.LOAD, text),))
        self.pace_report.record(response)


class FleetModel:
    """Fleet of nodes beside workers, with callers at each node."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._rng = random.Random(site.seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._workers: dict[str, _Worker] = {}
        records = []
        numbers = range(sum(domain.workers for domain in site.domains))
        slow = set(
            self._rng.sample(numbers, round(site.slow[0] * len(numbers)))
        )
        for index, domain in enumerate(site.domains):
            for number in range(domain.workers):
                record = make_record(f'worker-{index}-{number}', index, domain)
                factor = 1.0
                if len(records) in slow:
                    factor = self._rng.uniform(*site.slow[1:])
                record = record._replace(slots=site.slots)
                records.append(record)
                worker = _Worker(self._clock, site.slots, factor)
                self._workers[record.node_id] = worker
                self._change_pace(worker)
        self._callers = [
            [
                self._selector(index, number, domain, records)
                for number in range(domain.callers)
            ]
            for index, domain in enumerate(site.domains)
        ]
        self._took_s: list[float] = []
        self._bytes = [0, 0, 0]
        self._attempt_count = 0
        self._first_tiers = [0, 0, 0]

    def run(self) -> Result:
        """Run all requests to their end."""
        for index, domain in enumerate(self._site.domains):
            at = self._rng.expovariate(domain.per_s)
            while at < self._site.duration_s:
                self._at(at, lambda index=index: self._arrive(index))
                at += self._rng.expovariate(domain.per_s)
        while self._events:
            self._now, _, call = heapq.heappop(self._events)
            call()
        took = sorted(self._took_s)
        objective_s = self._site.objective_s
        return Result(
            len(took),
            sum(took) / len(took),
            took[int(0.99 * len(took))],
            sum(item <= objective_s for item in took) / len(took),
            self._bytes[1],
            self._bytes[2],
            self._attempt_count / len(took),
            tuple(count / len(took) for count in self._first_tiers),
        )

    def _clock(self) -> float:
        return self._now

    def _at(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), call))

    def _change_pace(self, worker: _Worker) -> None:
        worker.pace = worker.factor * self._rng.uniform(*self._site.pace_range)
        if self._now < self._site.duration_s:
            at = self._now + self._rng.expovariate(1 / PACE_CHANGE_S)
            self._at(at, lambda: self._change_pace(worker))

    def _selector(
        self,
        index: int,
        number: int,
        domain: Domain,
        records: list[model.NodeRecord],
    ) -> selector.Selector:
        local = make_record(f'caller-{index}-{number}', index, domain)
        made = selector.Selector(
            lambda: local,
            random.Random(1000 * index + number + self._site.seed),
            self._clock,
        )
        made.update(records)
        return made

    def _arrive(self, index: int) -> None:
        _Request(self, self._rng.choice(self._callers[index])).attempt()

    def _end(self, request: _Request, took_s: float) -> None:
        if request.arrived_at >= WARM_UP_S:
            self._took_s.append(took_s)
            self._attempt_count += len(request.tried)


def make_record(node_id: str, index: int, domain: Domain) -> model.NodeRecord:
    """Return the record of a node in a failure domain."""
    return model.NodeRecord(
        node_id,
        1,
        1,
        domain.region,
        f'domain-{index}',
        'host',
        1,
        2,
        ready=True,
    )


class _Request:
    """Request of a caller with its attempts, as the router makes them."""

    def __init__(self, fleet: FleetModel, caller: selector.Selector) -> None:
        self.arrived_at = fleet._now
        self.tried: list[str] = []
        self._fleet = fleet
        self._caller = caller

    def attempt(self) -> None:
        """Send the request to the next worker."""
        fleet, site = self._fleet, self._fleet._site
        deadline = self.arrived_at + site.deadline_s
        if len(self.tried) >= router.MAX_ATTEMPTS or fleet._now >= deadline:
            fleet._end(self, site.deadline_s)
            return
        state = self._caller.pick(
            REQUEST_BYTES + site.answer_bytes,
            self.tried,
            objective_s=site.objective_s,
        )
        self._caller.record_start(state)
        if not self.tried and self.arrived_at >= WARM_UP_S:
            fleet._first_tiers[state.tier] += 1
        self.tried.append(state.key)
        self._count(state, REQUEST_BYTES)
        began = fleet._now
        delay_s = site.delays_s[state.tier]
        max_wait_s = router.FIRST_WAIT_RATIO * site.objective_s
        if len(self.tried) >= router.FULL_WAIT_ATTEMPT:
            max_wait_s = float('inf')
        worker = fleet._workers[state.key]

        def reply(result: messages.Answer | errors.Refusal) -> None:
            load = worker.pace_report.add_to(worker.admission.load)
            fleet._at(fleet._now + delay_s, lambda: receive(result, load))

        def receive(
            result: messages.Answer | errors.Refusal, load: messages.Load
        ) -> None:
            self._caller.record_outcome(
                state, messages.Reply(result, load), fleet._now - began
            )
            if isinstance(result, errors.Refusal):
                self._count(state, REFUSAL_BYTES)
                self.attempt()
                return
            self._count(state, site.answer_bytes)
            fleet._end(self, fleet._now - self.arrived_at)

        def decided(refusal: errors.Refusal | None) -> None:
            if refusal is not None:
                reply(refusal)
                return
            run_s = fleet._rng.uniform(*site.work_s) * worker.pace
            fleet._at(fleet._now + run_s, finish)

        def finish() -> None:
            tickets[0].release_ticket()
            if site.reports_pace:
                worker.report_pace()
            reply(messages.Answer(200, (), b'', 0.0))

        tickets: list[_Ticket] = []

        def arrive() -> None:
            ticket = worker.admission.submit(
                deadline,
                lambda refusal: fleet._at(
                    fleet._now, lambda: decided(refusal)
                ),
                'route',
                0,
                max_wait_s,
                self.arrived_at + site.objective_s,
            )
            tickets.append(_Ticket(worker.admission, ticket))
            fleet._at(
                fleet._now + min(max_wait_s, site.deadline_s),
                lambda: worker.admission.refuse_past_max_wait(ticket),
            )

        fleet._at(fleet._now + delay_s, arrive)

    def _count(self, state: selector.WorkerState, size: int) -> None:
        if self.arrived_at >= WARM_UP_S:
            self._fleet._bytes[state.tier] += size


class _Ticket(NamedTuple):
    admission: admission.Admission
    ticket: admission.Ticket

    def release_ticket(self) -> None:
        self.admission.release(self.ticket)
