"""Simulation of callers' nodes and workers in virtual time.

It runs the balancer, selector, ejection, admission and retry classes of the
node; only the network and the upstreams are modelled.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.mesh import model
from damaskpier.traffic import admission
from damaskpier.traffic import messages
from damaskpier.traffic import retry
from damaskpier.traffic import selector

if TYPE_CHECKING:
    from collections.abc import Callable

CALLERS_PER_DOMAIN = 2
WARM_UP_S = 1.0
DEADLINE_S = 2.0
QUEUE_LIMIT = 40
SERVICE_LOG_SIGMA = 0.7  # sigma of the logarithm of service times
CONNECT_TIMEOUT_S = 1.0
MEMBERSHIP_REMOVAL_S = 3.0  # until nodes remove a lost worker's record
UNRESPONSIVE_TIMEOUT_S = 2.5  # until calls on a dead connection fail


class Deployment(NamedTuple):
    """Sizes and delays of one of the two deployments."""

    name: str
    slots: int
    mean_service_s: float  # an assumption of this measurement
    domain_delay_s: float  # one-way delay between failure domains
    region_delay_s: float  # one-way delay between regions


DEPLOYMENTS = (
    Deployment('Benkirane', 20, 0.08, 0.001, 0.008),
    Deployment('Cedarline', 6, 0.03, 0.0015, 0.008),
)


class Condition(NamedTuple):
    """Fault of the first worker; the other workers have none."""

    name: str
    service_factor: float = 1.0  # service time relative to the others
    reports_idle: bool = False  # load reports are always zero
    cold_period_s: float = 0.0  # five times slower for this time
    shed_ratio: float = 0.0  # of requests refused by the upstream itself
    failed_ratio: float = 0.0  # of requests answered at once with status 500
    # Ratio of requests whose connection closes after they have run, before
    # the answer arrives.
    lost_ratio: float = 0.0


CONDITIONS = (
    Condition('healthy'),
    Condition('slow', service_factor=4.0),
    Condition('misleading', service_factor=4.0, reports_idle=True),
    Condition('cold', cold_period_s=3.0),
    Condition('shedding', shed_ratio=0.5),
    Condition('failing', failed_ratio=0.6),
    Condition('losing', lost_ratio=0.6),
)
TRAFFIC = {'steady': 0.6, 'overload': 1.5}  # share of the total capacity


class Run(NamedTuple):
    """Parameters of one run of the measurement."""

    deployment: Deployment
    condition: Condition
    load: float  # requests relative to the total capacity
    policy: str
    seconds: float
    seed: int
    # Start and end, in s, of the time without one failure domain.
    lost: tuple[float, float] | None = None


class Figures(NamedTuple):
    """Results of one run; latencies in milliseconds."""

    p50: float
    p99: float
    p999: float
    goodput: float  # good answers as a share of the requests
    busiest_ratio: float  # busy time of the busiest worker over the mean
    attempts: float  # attempts per request
    far: float  # ratio of the attempts that go to another region
    series: tuple[tuple[int, int, int], ...]  # by second, see count()


class Simulator:
    """Calls functions in the order of virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def clock(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def after(self, delay_s: float, func: Callable[[], None]) -> None:
        """Call a function after a delay."""
        event = (self.now + delay_s, next(self._order), func)
        heapq.heappush(self._events, event)

    def run(self, end_s: float) -> None:
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= end_s:
            self.now, _, func = heapq.heappop(self._events)
            func()


class Worker:
    """Node with an upstream whose service times are random."""

    def __init__(self, fleet: FleetModel, index: int) -> None:
        self.index = index
        self.region = index // 2
        self.lost = False
        self.busy_s = 0.0
        self.condition = (
            fleet.run.condition if index == 0 else Condition('healthy')
        )
        self.record = model.NodeRecord(
            node_id=f'w{index}',
            incarnation=1,
            seq=1,
            region=f'r{self.region}',
            failure_domain=f'd{index}',
            host='',
            rpc_port=0,
            http_port=0,
            service='s',
            version='v1',
            slots=fleet.run.deployment.slots,
            ready=True,
        )
        self._fleet = fleet
        self._admission = admission.Admission(fleet.sim.clock)
        self._admission.configure(fleet.run.deployment.slots, QUEUE_LIMIT)

    def submit(
        self, deadline: float, done: Callable[[messages.Reply], None]
    ) -> None:
        """Admit and run a request.

        :param deadline: in seconds of virtual time
        :param done: called once with the reply
        """
        tickets: list[admission.Ticket] = []

        def on_decision(refusal: errors.Refusal | None) -> None:
            if refusal is not None:
                done(self._reply(refusal))
            else:
                # Delayed, because a ticket granted at once is appended only
                # after submit() has returned.
                self._fleet.sim.after(0, lambda: self._serve(tickets, done))

        tickets.append(self._admission.submit(deadline, on_decision, 'route'))

    def _serve(
        self,
        tickets: list[admission.Ticket],
        done: Callable[[messages.Reply], None],
    ) -> None:
        fleet, condition, rng = self._fleet, self.condition, self._fleet.rng
        ticket = tickets[0]
        result: messages.Answer | errors.Refusal
        result = messages.Answer(200, (), b'')
        mean_service_s = (
            fleet.run.deployment.mean_service_s * condition.service_factor
        )
        if fleet.sim.now < condition.cold_period_s:
            mean_service_s *= 5
        service_s = rng.lognormvariate(
            math.log(mean_service_s) - SERVICE_LOG_SIGMA**2 / 2,
            SERVICE_LOG_SIGMA,
        )
        if rng.random() < condition.shed_ratio:
            result = errors.Refusal(errors.CALL_UPSTREAM_REFUSED, 'shed')
            service_s = 0.0005
        elif rng.random() < condition.failed_ratio:
            result = messages.Answer(500, (), b'')
            service_s = 0.001
        elif rng.random() < condition.lost_ratio:
            result = errors.Refusal(
                errors.CALL_UNKNOWN, 'closed', errors.RunState.UNKNOWN
            )
        if fleet.sim.now + service_s > ticket.deadline:
            service_s = max(0.0, ticket.deadline - fleet.sim.now)
            result = errors.Refusal(
                errors.CALL_DEADLINE, 'late', errors.RunState.UNKNOWN
            )
        self.busy_s += service_s

        def finish() -> None:
            self._admission.release(
                ticket,
                finished=isinstance(result, messages.Answer)
                or result.code is errors.CALL_DEADLINE,
            )
            done(self._reply(result))

        fleet.sim.after(service_s, finish)

    def _reply(
        self, result: messages.Answer | errors.Refusal
    ) -> messages.Reply:
        load = self._admission.load
        if self.condition.reports_idle:
            load = load._replace(in_use=0, queued=0)
        return messages.Reply(result, load)


class Caller:
    """Node that sends the requests of callers to workers."""

    def __init__(self, fleet: FleetModel, domain: int, number: int) -> None:
        self.domain = domain
        self._fleet = fleet
        run = fleet.run
        local = model.NodeRecord(
            f'c{domain}-{number}', 1, 1, f'r{domain // 2}', f'd{domain}',
            '', 0, 0,
        )  # fmt: skip
        self._selector = selector.Selector(
            local, run.policy, fleet.rng, fleet.sim.clock
        )
        self._budget = retry.RetryBudget(fleet.sim.clock)
        self.refresh()

    def refresh(self) -> None:
        """Update the selector with the records that are not removed."""
        self._selector.update(
            worker.record
            for worker in self._fleet.workers
            if worker.index not in self._fleet.removed
        )

    def request(self) -> None:
        """Send one request with its retries."""
        fleet = self._fleet
        began = fleet.sim.now
        deadline = began + DEADLINE_S
        second = int(began)
        fleet.count(second, 0)
        self._budget.record_request()
        tried: list[str] = []

        def attempt() -> None:
            chosen = self._selector.pick(tried)
            if chosen is None:
                return
            tried.append(chosen.key)
            fleet.count(second, 2)
            sent = fleet.sim.now
            self._selector.record_start(chosen)

            def on_reply(reply: messages.Reply) -> None:
                self._selector.record_outcome(
                    chosen, reply, fleet.sim.now - sent
                )
                result = reply.result
                if isinstance(result, messages.Answer):
                    if result.status < 500:
                        fleet.record_answer(second, began)
                    return
                if retry.may_retry(
                    result,
                    repeatable=True,
                    attempts=len(tried),
                    remaining_s=deadline - fleet.sim.now,
                ):
                    if self._budget.try_acquire():
                        attempt()

            fleet.send(self.domain, chosen.key, deadline, on_reply)

        attempt()


class FleetModel:
    """Six failure domains in three regions, each domain with one worker.

    A failure domain has CALLERS_PER_DOMAIN callers' nodes too.
    """

    def __init__(self, run: Run) -> None:
        self.run = run
        self.sim = Simulator()
        self.rng = random.Random(run.seed)
        self.removed: set[int] = set()
        self.latencies_s: list[float] = []
        self.other_region_count = 0
        self.series: dict[int, list[int]] = {}
        self.workers = [Worker(self, index) for index in range(6)]
        self.callers = [
            Caller(self, domain, number)
            for domain in range(6)
            for number in range(CALLERS_PER_DOMAIN)
        ]

    def count(self, second: int, column: int) -> None:
        """Add 1 to a column of the series by second.

        :param second: second in which the request arrived
        :param column: 0 for requests, 1 for good answers, 2 for attempts
        """
        self.series.setdefault(second, [0, 0, 0])[column] += 1

    def record_answer(self, second: int, began: float) -> None:
        """Record a good answer and its latency.

        :param second: second in which the request arrived
        :param began: time at which the request arrived, in s
        """
        self.count(second, 1)
        if began >= WARM_UP_S:
            self.latencies_s.append(self.sim.now - began)

    def send(
        self,
        domain: int,
        key: str,
        deadline: float,
        on_reply: Callable[[messages.Reply], None],
    ) -> None:
        """Send a request to a worker and its reply back, with network delays.

        :param domain: index of the caller's failure domain
        :param key: key of the worker in the selector
        :param on_reply: called with the reply, or with a refusal if the
            worker is unreachable
        """
        worker = self.workers[int(key[1:])]
        self.other_region_count += domain // 2 != worker.region
        if worker.lost:
            refusal = errors.Refusal(errors.CALL_CONNECT, 'unreachable')
            self.sim.after(
                CONNECT_TIMEOUT_S, lambda: on_reply(messages.Reply(refusal))
            )
            return
        delay_s = self._delay_s(domain, worker.index)

        def forward_reply(reply: messages.Reply) -> None:
            if worker.lost:
                refusal = errors.Refusal(
                    errors.CALL_UNKNOWN, 'silent', errors.RunState.UNKNOWN
                )
                self.sim.after(
                    UNRESPONSIVE_TIMEOUT_S,
                    lambda: on_reply(messages.Reply(refusal)),
                )
                return
            self.sim.after(delay_s, lambda: on_reply(reply))

        self.sim.after(delay_s, lambda: worker.submit(deadline, forward_reply))

    def simulate(self) -> Figures:
        """Generate the traffic of the run and return the figures."""
        run = self.run
        capacity = 6 * run.deployment.slots / run.deployment.mean_service_s
        mean_gap_s = 1 / (capacity * run.load)

        def arrive() -> None:
            caller = self.rng.choice(self.callers)
            if not self.workers[caller.domain].lost:
                caller.request()
            if self.sim.now < run.seconds:
                self.sim.after(self.rng.expovariate(1 / mean_gap_s), arrive)

        self.sim.after(0, arrive)
        if run.lost is not None:
            self._schedule_loss(*run.lost)
        self.sim.run(run.seconds + 2 * DEADLINE_S + UNRESPONSIVE_TIMEOUT_S)
        return self._figures()

    def _schedule_loss(self, begin_s: float, end_s: float) -> None:
        index = 5

        def update_membership(gone: bool) -> None:
            self.removed = {index} if gone else set()
            for caller in self.callers:
                caller.refresh()

        def lose() -> None:
            self.workers[index].lost = True

        def restore() -> None:
            self.workers[index].lost = False
            update_membership(False)

        self.sim.after(begin_s, lose)
        self.sim.after(
            begin_s + MEMBERSHIP_REMOVAL_S, lambda: update_membership(True)
        )
        self.sim.after(end_s, restore)

    def _delay_s(self, domain: int, worker: int) -> float:
        if domain == worker:
            return 0.0001
        if domain // 2 == worker // 2:
            return self.run.deployment.domain_delay_s
        return self.run.deployment.region_delay_s

    def _figures(self) -> Figures:
        latencies_s = sorted(self.latencies_s) or [float('nan')]
        rows = [
            row
            for second, row in self.series.items()
            if WARM_UP_S <= second < self.run.seconds
        ]
        asked, good, attempts = (
            sum(column) for column in zip(*rows, strict=True)
        )
        busy = [worker.busy_s for worker in self.workers]

        def quantile(share: float) -> float:
            return (
                1e3
                * latencies_s[
                    min(len(latencies_s) - 1, int(share * len(latencies_s)))
                ]
            )

        return Figures(
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            good / asked,
            max(busy) / (sum(busy) / len(busy)),
            attempts / asked,
            self.other_region_count
            / max(1, sum(row[2] for row in self.series.values())),
            tuple(tuple(self.series[key]) for key in sorted(self.series)),
        )


def simulate(run: Run) -> Figures:
    """Return the figures of one run."""
    return FleetModel(run).simulate()
