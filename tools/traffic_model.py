"""Virtual-time model of callers' nodes and workers.

Drives the balancer, selector, ejection, admission and retry classes of the
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
QUEUE = 40
SPREAD = 0.7  # sigma of the logarithm of service times
CONNECT_TIMEOUT_S = 1.0
MEMBERSHIP_S = 3.0  # until a lost worker leaves the records
SILENT_S = 2.5  # until calls on a silent connection end


class Deployment(NamedTuple):
    """Sizes and delays of one of the two deployments."""

    name: str
    slots: int
    mean_s: float  # mean service time, an assumption of this measurement
    domain_s: float  # one-way delay between failure domains
    region_s: float  # one-way delay between regions


DEPLOYMENTS = (
    Deployment('Benkirane', 20, 0.08, 0.001, 0.008),
    Deployment('Cedarline', 6, 0.03, 0.0015, 0.008),
)


class Condition(NamedTuple):
    """What is wrong with the first worker."""

    name: str
    slower: float = 1.0  # multiple of the service time
    tells_idle: bool = False  # its load report is always zero
    cold_s: float = 0.0  # time during which it is five times slower
    sheds: float = 0.0  # share refused by the upstream itself
    fails: float = 0.0  # share answered at once with status 500
    loses: float = 0.0  # share whose connection closes after the run


CONDITIONS = (
    Condition('healthy'),
    Condition('slow', slower=4.0),
    Condition('misleading', slower=4.0, tells_idle=True),
    Condition('cold', cold_s=3.0),
    Condition('shedding', sheds=0.5),
    Condition('failing', fails=0.6),
    Condition('losing', loses=0.6),
)
TRAFFIC = {'steady': 0.6, 'overload': 1.5}  # share of the total capacity


class Run(NamedTuple):
    """One run of the measurement."""

    deployment: Deployment
    condition: Condition
    load: float
    policy: str
    seconds: float
    seed: int
    lost: tuple[float, float] | None = None  # time without one domain


class Figures(NamedTuple):
    """Outcome of one run; times in milliseconds."""

    p50: float
    p99: float
    p999: float
    goodput: float  # good answers as a share of the requests
    uneven: float  # busiest worker's share of time over the mean
    attempts: float  # attempts per request
    far: float  # share of the attempts that go to another region
    series: tuple[tuple[int, int, int], ...]  # per s: asked, good, attempts


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
    """Node with an upstream: admission and service in virtual time."""

    def __init__(self, world: World, index: int) -> None:
        self.index = index
        self.region = index // 2
        self.lost = False
        self.busy_s = 0.0
        self.condition = (
            world.run.condition if index == 0 else Condition('healthy')
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
            slots=world.run.deployment.slots,
            ready=True,
        )
        self._world = world
        self._admission = admission.Admission(world.sim.clock)
        self._admission.configure(world.run.deployment.slots, QUEUE)

    def submit(
        self, deadline: float, done: Callable[[messages.Reply], None]
    ) -> None:
        """Run a request; ``done`` gets the reply."""
        tickets: list[admission.Ticket] = []

        def decided(refusal: errors.Refusal | None) -> None:
            if refusal is not None:
                done(self._reply(refusal))
            else:
                # The ticket is known after submit has returned.
                self._world.sim.after(0, lambda: self._serve(tickets, done))

        tickets.append(self._admission.submit(deadline, decided, 'route'))

    def _serve(
        self,
        tickets: list[admission.Ticket],
        done: Callable[[messages.Reply], None],
    ) -> None:
        world, condition, rng = self._world, self.condition, self._world.rng
        ticket = tickets[0]
        result: messages.Answer | errors.Refusal
        result = messages.Answer(200, (), b'')
        mean_s = world.run.deployment.mean_s * condition.slower
        if world.sim.now < condition.cold_s:
            mean_s *= 5
        time_s = rng.lognormvariate(math.log(mean_s) - SPREAD**2 / 2, SPREAD)
        if rng.random() < condition.sheds:
            result = errors.Refusal(errors.CALL_UPSTREAM_REFUSED, 'shed')
            time_s = 0.0005
        elif rng.random() < condition.fails:
            result = messages.Answer(500, (), b'')
            time_s = 0.001
        elif rng.random() < condition.loses:
            result = errors.Refusal(
                errors.CALL_UNKNOWN, 'closed', errors.RunState.UNKNOWN
            )
        if world.sim.now + time_s > ticket.deadline:
            time_s = max(0.0, ticket.deadline - world.sim.now)
            result = errors.Refusal(
                errors.CALL_DEADLINE, 'late', errors.RunState.UNKNOWN
            )
        self.busy_s += time_s

        def finished() -> None:
            self._admission.release(
                ticket,
                finished=isinstance(result, messages.Answer)
                or result.code is errors.CALL_DEADLINE,
            )
            done(self._reply(result))

        world.sim.after(time_s, finished)

    def _reply(
        self, result: messages.Answer | errors.Refusal
    ) -> messages.Reply:
        load = self._admission.load
        if self.condition.tells_idle:
            load = load._replace(in_use=0, queued=0)
        return messages.Reply(result, load)


class Caller:
    """Node that routes requests of callers, without the network code."""

    def __init__(self, world: World, domain: int, number: int) -> None:
        self.domain = domain
        self._world = world
        run = world.run
        local = model.NodeRecord(
            f'c{domain}-{number}', 1, 1, f'r{domain // 2}', f'd{domain}',
            '', 0, 0,
        )  # fmt: skip
        self._selector = selector.Selector(
            local, run.policy, world.rng, world.sim.clock
        )
        self._budget = retry.RetryBudget(world.sim.clock)
        self.refresh()

    def refresh(self) -> None:
        """Take over the records of the workers that are known."""
        self._selector.update(
            worker.record
            for worker in self._world.workers
            if worker.index not in self._world.removed
        )

    def request(self) -> None:
        """Send one request with its retries."""
        world = self._world
        began = world.sim.now
        deadline = began + DEADLINE_S
        second = int(began)
        world.count(second, 0)
        self._budget.record_request()
        tried: list[str] = []

        def attempt() -> None:
            chosen = self._selector.pick(tried)
            if chosen is None:
                return
            tried.append(chosen.key)
            world.count(second, 2)
            sent = world.sim.now
            self._selector.record_start(chosen)

            def replied(reply: messages.Reply) -> None:
                self._selector.record_outcome(
                    chosen, reply, world.sim.now - sent
                )
                result = reply.result
                if isinstance(result, messages.Answer):
                    if result.status < 500:
                        world.answered(second, began)
                    return
                if retry.may_retry(
                    result,
                    repeatable=True,
                    attempts=len(tried),
                    remaining_s=deadline - world.sim.now,
                ):
                    if self._budget.try_acquire():
                        attempt()

            world.send(self.domain, chosen.key, deadline, replied)

        attempt()


class World:
    """Six failure domains in three regions with a worker in each."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.sim = Simulator()
        self.rng = random.Random(run.seed)
        self.removed: set[int] = set()
        self.times: list[float] = []
        self.far = 0
        self.series: dict[int, list[int]] = {}
        self.workers = [Worker(self, index) for index in range(6)]
        self.callers = [
            Caller(self, domain, number)
            for domain in range(6)
            for number in range(CALLERS_PER_DOMAIN)
        ]

    def count(self, second: int, column: int) -> None:
        """Count in the series by second."""
        self.series.setdefault(second, [0, 0, 0])[column] += 1

    def answered(self, second: int, began: float) -> None:
        """Note a good answer."""
        self.count(second, 1)
        if began >= WARM_UP_S:
            self.times.append(self.sim.now - began)

    def send(
        self,
        domain: int,
        key: str,
        deadline: float,
        replied: Callable[[messages.Reply], None],
    ) -> None:
        """Carry a request to a worker and its reply back."""
        worker = self.workers[int(key[1:])]
        self.far += domain // 2 != worker.region
        if worker.lost:
            refusal = errors.Refusal(errors.CALL_CONNECT, 'unreachable')
            self.sim.after(
                CONNECT_TIMEOUT_S, lambda: replied(messages.Reply(refusal))
            )
            return
        delay_s = self._delay_s(domain, worker.index)

        def returned(reply: messages.Reply) -> None:
            if worker.lost:
                refusal = errors.Refusal(
                    errors.CALL_UNKNOWN, 'silent', errors.RunState.UNKNOWN
                )
                self.sim.after(
                    SILENT_S, lambda: replied(messages.Reply(refusal))
                )
                return
            self.sim.after(delay_s, lambda: replied(reply))

        self.sim.after(delay_s, lambda: worker.submit(deadline, returned))

    def play(self) -> Figures:
        """Run the traffic and return the figures."""
        run = self.run
        capacity = 6 * run.deployment.slots / run.deployment.mean_s
        mean_gap_s = 1 / (capacity * run.load)

        def arrive() -> None:
            caller = self.rng.choice(self.callers)
            if not self.workers[caller.domain].lost:
                caller.request()
            if self.sim.now < run.seconds:
                self.sim.after(self.rng.expovariate(1 / mean_gap_s), arrive)

        self.sim.after(0, arrive)
        if run.lost is not None:
            self._plan_loss(*run.lost)
        self.sim.run(run.seconds + 2 * DEADLINE_S + SILENT_S)
        return self._figures()

    def _plan_loss(self, begin_s: float, end_s: float) -> None:
        index = 5

        def known(gone: bool) -> None:
            self.removed = {index} if gone else set()
            for caller in self.callers:
                caller.refresh()

        def lose() -> None:
            self.workers[index].lost = True

        def come_back() -> None:
            self.workers[index].lost = False
            known(False)

        self.sim.after(begin_s, lose)
        self.sim.after(begin_s + MEMBERSHIP_S, lambda: known(True))
        self.sim.after(end_s, come_back)

    def _delay_s(self, domain: int, worker: int) -> float:
        if domain == worker:
            return 0.0001
        if domain // 2 == worker // 2:
            return self.run.deployment.domain_s
        return self.run.deployment.region_s

    def _figures(self) -> Figures:
        times = sorted(self.times) or [float('nan')]
        counted = [
            row
            for second, row in self.series.items()
            if WARM_UP_S <= second < self.run.seconds
        ]
        asked, good, attempts = (
            sum(column) for column in zip(*counted, strict=True)
        )
        busy = [worker.busy_s for worker in self.workers]

        def quantile(share: float) -> float:
            return 1e3 * times[min(len(times) - 1, int(share * len(times)))]

        return Figures(
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            good / asked,
            max(busy) / (sum(busy) / len(busy)),
            attempts / asked,
            self.far / max(1, sum(row[2] for row in self.series.values())),
            tuple(tuple(self.series[key]) for key in sorted(self.series)),
        )


def play(run: Run) -> Figures:
    """Return the figures of one run."""
    return World(run).play()
