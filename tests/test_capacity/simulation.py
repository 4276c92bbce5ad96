"""Load on the workers of one service, on a virtual clock without a network.

Callers send requests to entry nodes, which choose a worker, go on to another
one where a request is refused, and refuse the caller in the end, who returns.
The workers have the admission of the product.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier.capacity import elapsed
from damaskpier.capacity import entry
from damaskpier.capacity import returns
from damaskpier import errors
from damaskpier.traffic import admission
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

SERVICE_LOG_SIGMA = 0.4
HALF_ROUND_TRIP_S = 0.002
# From the refusal of a caller to its next request on a new connection.
CALLER_ROUND_TRIP_S = 0.003
CANDIDATE_COUNT = 3
# As in fleet/router.py.
MAX_ATTEMPTS = 4
FULL_WAIT_ATTEMPT = 2
FIRST_WAIT_RATIO = 0.25
MAX_RETURNS = 2
# Callers honour a Retry-After of up to this part of the time that they have.
HONOURED_RATIO = 1 / 3


class Traffic(NamedTuple):
    """Requests of one kind.

    ``load`` is a multiple of what all slots can serve, ``factor`` changes it
    over time. ``impatient`` is the part of the callers that return at once
    after a refusal, ``call`` the request that a worker makes for each one.
    """

    name: str
    load: float
    team: str = ''
    priority: int = 0
    objective_s: float = 0.8
    deadline_s: float = 4.0
    impatient: float = 0.0
    factor: Callable[[float], float] = lambda now: 1.0
    service: int = 0
    call: Traffic | None = None


class Setup(NamedTuple):
    """Parameters of a run; ``returns_max`` is the number of returns.

    ``workers`` is the number of workers of each service.
    """

    traffic: tuple[Traffic, ...]
    services: int = 1
    workers: int = 1
    slots: int = 6
    service_s: float = 0.25
    nodes: int = 1
    returns_max: int = 0
    length_s: float = 20.0
    seed: int = 1

    @property
    def capacity_per_s(self) -> float:
        """Return how many requests all slots can serve in a second."""
        return self.workers * self.slots / self.service_s


class Record:
    """One request of a caller, with all its returns."""

    __slots__ = (
        'traffic',
        'first_at',
        'deadline',
        'ended_at',
        'served',
        'attempts',
        'returns',
        'tried',
        'sent_at',
        'objective_at',
        'node',
        'on_end',
    )

    def __init__(self, traffic: Traffic, first_at: float, node: int) -> None:
        self.traffic = traffic
        self.first_at = first_at
        self.deadline = first_at + traffic.deadline_s
        self.ended_at = math.inf
        self.served = False
        self.attempts = 0
        self.returns = 0
        self.tried: list[int] = []
        self.sent_at = first_at
        self.objective_at = first_at + traffic.objective_s
        self.node = node
        self.on_end: Callable[[], None] = lambda: None

    @property
    def in_time(self) -> bool:
        """Return whether the request was served within its objective."""
        limit_s = self.traffic.objective_s
        return self.served and self.ended_at - self.first_at <= limit_s


class Simulation:
    """One run; subclasses of the tests change single steps."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.now = 0.0
        self.rng = random.Random(setup.seed)
        self.records: list[Record] = []
        self._numbers = itertools.count()
        self._events: list = []
        self.workers = []
        for _ in range(setup.services * setup.workers):
            worker = admission.Admission(lambda: self.now)
            worker.configure(setup.slots, 3 * setup.slots)
            self.workers.append(worker)

    def run(self) -> Sequence[Record]:
        """Run to the end and return all requests."""
        for traffic in self.setup.traffic:
            self.schedule(0.0, self._next_arrival, traffic)
        self.advance(math.inf)
        return self.records

    def advance(self, until: float) -> None:
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event, args = heapq.heappop(self._events)
            event(*args)

    def schedule(
        self, at: float, event: Callable[..., None], *args: object
    ) -> None:
        """Let an event happen at a time."""
        heapq.heappush(self._events, (at, next(self._numbers), event, args))

    def _next_arrival(self, traffic: Traffic) -> None:
        if self.now >= self.setup.length_s:
            return
        rate_per_s = (
            traffic.load * traffic.factor(self.now) * self.setup.capacity_per_s
        )
        if self.now > 0:
            node = self.rng.randrange(self.setup.nodes)
            record = Record(traffic, self.now, node)
            self.records.append(record)
            self.arrive(record)
        self.schedule(
            self.now + self.rng.expovariate(rate_per_s),
            self._next_arrival,
            traffic,
        )

    def arrive(self, record: Record) -> None:
        """Let a request arrive at its entry node."""
        record.tried = []
        record.sent_at = self.now
        record.objective_at = self.objective_at(record)
        self.send_on(record)

    def objective_at(self, record: Record) -> float:
        """Return the objective that the entry node assumes."""
        return self.now + record.traffic.objective_s

    def send_on(self, record: Record) -> None:
        """Make the first attempt of a request that has arrived."""
        self.attempt(record)

    def attempt(self, record: Record) -> None:
        """Send a request to a worker that it was not sent to yet."""
        first = record.traffic.service * self.setup.workers
        every = range(first, first + self.setup.workers)
        left = [i for i in every if i not in record.tried]
        candidates = self.rng.sample(left, min(CANDIDATE_COUNT, len(left)))
        chosen = min(candidates, key=self._use)
        record.tried.append(chosen)
        record.attempts += 1
        self.schedule(
            self.now + HALF_ROUND_TRIP_S, self._submit, record, chosen
        )

    def _use(self, index: int) -> float:
        load = self.workers[index].load
        return (load.in_use + load.queued) / load.slots

    def _submit(self, record: Record, index: int) -> None:
        worker = self.workers[index]
        traffic = record.traffic
        max_wait_s = math.inf
        if len(record.tried) < min(FULL_WAIT_ATTEMPT, self.setup.workers):
            max_wait_s = FIRST_WAIT_RATIO * traffic.objective_s
        tickets: list[admission.Ticket] = []

        def done(refusal: errors.Refusal | None) -> None:
            at = self.now + HALF_ROUND_TRIP_S
            if refusal is not None:
                self.schedule(at, self.on_refusal, record, refusal, index)
                return
            finish = (self._finish, record, worker, tickets, index)
            if traffic.call is None:
                self._run(record, self.service_time_s(), *finish)
            else:
                half_s = self.service_time_s() / 2
                self._run(record, half_s, self._call, half_s, *finish)

        ticket = worker.submit(
            record.deadline,
            done,
            traffic.name,
            traffic.priority,
            max_wait_s,
            record.objective_at,
            traffic.team,
        )
        tickets.append(ticket)
        if max_wait_s < math.inf:
            self.schedule(
                self.now + max_wait_s, worker.refuse_past_max_wait, ticket
            )
        self.schedule(record.deadline, worker.refuse_past_deadline, ticket)

    def _run(
        self,
        record: Record,
        length_s: float,
        event: Callable[..., None],
        *args: object,
    ) -> None:
        """Run a request for a time, but not beyond its deadline."""
        end = min(self.now + length_s, record.deadline)
        self.schedule(end, event, *args)

    def _call(
        self,
        rest_s: float,
        finish: Callable[..., None],
        record: Record,
        *args: object,
    ) -> None:
        """Make the call of a running request, which keeps its slot.

        Without an answer, the request fails and its work is lost.
        """
        call = Record(record.traffic.call, self.now, record.node)
        call.deadline = min(call.deadline, record.deadline)

        def go_on() -> None:
            if call.served:
                self._run(record, rest_s, finish, record, *args)
            else:
                record.deadline = self.now
                finish(record, *args)

        call.on_end = go_on
        self.records.append(call)
        self.arrive(call)

    def service_time_s(self) -> float:
        """Return how long a request runs in a slot."""
        log_mean = math.log(self.setup.service_s) - SERVICE_LOG_SIGMA**2 / 2
        return self.rng.lognormvariate(log_mean, SERVICE_LOG_SIGMA)

    def _finish(
        self,
        record: Record,
        worker: admission.Admission,
        tickets: list[admission.Ticket],
        index: int,
    ) -> None:
        worker.release(tickets[0])
        record.ended_at = self.now
        record.served = self.now < record.deadline
        self.on_served(record, index)
        record.on_end()

    def on_served(self, record: Record, index: int) -> None:
        """Handle the answer of a worker at the entry node."""

    def attempts_max(self, record: Record) -> int:
        """Return how many workers a request is sent to."""
        return min(MAX_ATTEMPTS, self.setup.workers)

    def on_refusal(
        self, record: Record, refusal: errors.Refusal, index: int
    ) -> None:
        """Handle the refusal of a worker at the entry node."""
        if (
            len(record.tried) < self.attempts_max(record)
            and self.now < record.deadline - 0.01
        ):
            self.attempt(record)
        else:
            self.on_all_refused(record, refusal)
            self.refuse_caller(record, refusal)

    def on_all_refused(self, record: Record, refusal: errors.Refusal) -> None:
        """Handle that no worker admitted a request."""

    def refuse_caller(self, record: Record, refusal: errors.Refusal) -> None:
        """Refuse a caller, who may return."""
        left_s = record.deadline - self.now
        retry_after_s = self.retry_after_s(record, left_s)
        if self.rng.random() < record.traffic.impatient:
            retry_after_s = 0.0
        if (
            record.returns < self.setup.returns_max
            and retry_after_s <= HONOURED_RATIO * left_s
            and left_s > 0
        ):
            record.returns += 1
            record.node = self.rng.randrange(self.setup.nodes)
            at = self.now + CALLER_ROUND_TRIP_S + retry_after_s
            self.schedule(at, self.arrive, record)
            return
        record.ended_at = self.now
        record.on_end()

    def retry_after_s(self, record: Record, left_s: float) -> float:
        """Return the Retry-After of a refused caller."""
        return min(0.1, 0.2 * left_s) * self.rng.uniform(0.5, 1.5)


def served_ratio(records: Sequence[Record], name: str = '') -> float:
    """Return the part of the requests that were served.

    :param name: name of the traffic or of its team; all if it is empty
    """
    counted = [
        record
        for record in records
        if not name or name in (record.traffic.name, record.traffic.team)
    ]
    return sum(record.served for record in counted) / max(1, len(counted))


def served_per_s(records: Sequence[Record], begin: float, end: float) -> float:
    """Return how many requests per second were served in a period."""
    count = sum(
        record.served and begin <= record.ended_at < end for record in records
    )
    return count / (end - begin)


class EntrySimulation(Simulation):
    """Simulation with the product's refusals at the entry nodes."""

    def __init__(self, setup: Setup) -> None:
        super().__init__(setup)
        self.entries = [entry.AdaptiveThrottle() for _ in range(setup.nodes)]
        self.is_too_soon = False
        self.times: dict[tuple[int, str], elapsed.RouteTimes] = {}

    def objective_at(self, record: Record) -> float:
        """Return the objective by the time that the caller has left."""
        key = record.node, record.traffic.name
        times = self.times.setdefault(key, elapsed.RouteTimes())
        left_s = int(1000 * (record.deadline - self.now) + 1e-6) / 1000
        elapsed_s = times.elapsed_s(left_s, self.now)
        self.is_too_soon = returns.is_too_soon(elapsed_s, left_s)
        return super().objective_at(record) - elapsed_s

    def send_on(self, record: Record) -> None:
        """Refuse a request without an attempt, or send it on."""
        left_s = record.deadline - self.now
        draw = self.rng.random()
        if self.is_too_soon:
            draw = entry.TOO_SOON_DRAW
        refusal = self.entries[record.node].refusal(
            _class(record), left_s, self.now, draw
        )
        if refusal is None:
            super().send_on(record)
        else:
            self.refuse_caller(record, refusal)

    def attempts_max(self, record: Record) -> int:
        """Return how many workers a request is sent to."""
        return self.entries[record.node].attempts_max(
            _class(record), super().attempts_max(record), self.now
        )

    def on_served(self, record: Record, index: int) -> None:
        """Record the answer of a worker."""
        answer = messages.Answer(200, (), b'')
        self._record_attempt(record, answer, index)
        self._record(record, answer)

    def on_refusal(
        self, record: Record, refusal: errors.Refusal, index: int
    ) -> None:
        """Record the refusal of a worker and go on."""
        self._record_attempt(record, refusal, index)
        super().on_refusal(record, refusal, index)

    def on_all_refused(self, record: Record, refusal: errors.Refusal) -> None:
        """Record that no worker admitted a request."""
        self._record(record, refusal)

    def _record_attempt(
        self,
        record: Record,
        result: messages.Answer | errors.Refusal,
        index: int,
    ) -> None:
        self.entries[record.node].record_attempt(
            _class(record),
            messages.Reply(result, self.workers[index].load),
            self.now,
        )

    def _record(
        self, record: Record, result: messages.Answer | errors.Refusal
    ) -> None:
        left_s = record.deadline - record.sent_at
        self.entries[record.node].record(
            _class(record), result, left_s, self.now
        )


def _class(record: Record) -> entry.ThrottleClass:
    traffic = record.traffic
    return entry.ThrottleClass(
        str(traffic.service),
        '',
        traffic.name,
        traffic.priority,
        traffic.team,
        record.objective_at < record.sent_at + traffic.objective_s,
    )


class ReturnsSimulation(EntrySimulation):
    """Simulation with the product's return times as well."""

    def __init__(self, setup: Setup) -> None:
        super().__init__(setup)
        self.returns = [returns.Returns() for _ in range(setup.nodes)]

    def on_served(self, record: Record, index: int) -> None:
        """Record the answer of a worker."""
        super().on_served(record, index)
        self.returns[record.node].record_answer(
            _return_class(record),
            self.workers[index].load,
            self.now - record.sent_at,
            self.now,
        )

    def retry_after_s(self, record: Record, left_s: float) -> float:
        """Return the Retry-After of a refused caller."""
        return self.returns[record.node].delay_s(
            _return_class(record),
            left_s,
            self.now,
            self.rng.random(),
        )


def _return_class(record: Record) -> returns.ReturnClass:
    return returns.ReturnClass(
        str(record.traffic.service), record.traffic.priority
    )
