"""Admission of requests to the slots of the local upstream."""

from __future__ import annotations

import asyncio
import bisect
import itertools
import math
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from damaskpier import metrics

# Weight of a new service time in the running average.
SERVICE_TIME_WEIGHT = 0.1
# Routes whose service times are remembered; bounds memory when bundles
# rename their routes often.
MAX_ROUTES = 1024

ADAPTIVE_START = 4
ADAPTIVE_MAX = 256
# A recent latency of up to this multiple of the long-term one is normal.
LATENCY_TOLERANCE = 2.0
SHORT_WEIGHT = 0.2
# The long-term latency falls faster than it rises, so that a load that lasts
# for some hundred requests does not become the normal latency.
FALL_WEIGHT = 0.01
RISE_WEIGHT = 0.001
LIMIT_SMOOTHING = 0.2
# Multiple of the usual service time with which a request counts as able to
# meet its objective: with the mean itself, half of those that are served
# last would miss it (tests/test_traffic/test_overload.py).
OBJECTIVE_MARGIN = 1.6


class Ticket:
    """One request that waits for a slot or holds one.

    :param deadline: end of the request's time on the admission's clock
    :param done: called once, with None when the slot is granted or with the
        refusal
    :param objective: time by which the answer should be there
    :param number: place in the order of arrival
    """

    __slots__ = (
        'deadline',
        'done',
        'route',
        'priority',
        'objective',
        'number',
        'granted_at',
        'closed',
    )

    def __init__(
        self,
        deadline: float,
        done: Callable[[errors.Refusal | None], None],
        route: str,
        priority: int = 0,
        objective: float = math.inf,
        number: int = 0,
    ) -> None:
        self.deadline = deadline
        self.priority = priority
        self.objective = min(objective, deadline)
        self.number = number
        self.done = done
        self.route = route
        self.granted_at: float | None = None
        self.closed = False


class Rank(NamedTuple):
    """Order in which waiting requests get a slot, lowest first."""

    priority: int
    misses_objective: bool
    by: float
    number: int


class AdaptiveLimit:
    """Finds the concurrency limit where the upstream does not state one.

    The limit follows the ratio of the long-term to the recent latency: it
    shrinks when requests take longer than usual and otherwise grows by its
    square root, which leaves room for a short queue in the upstream.
    """

    def __init__(self) -> None:
        self.limit = float(ADAPTIVE_START)
        self._short = 0.0
        self._long = 0.0

    def finished(self, service_s: float, in_use: int) -> None:
        """Take the service time of a request that has finished."""
        if not self._long:
            self._short = self._long = service_s
        self._short += SHORT_WEIGHT * (service_s - self._short)
        weight = FALL_WEIGHT if service_s < self._long else RISE_WEIGHT
        self._long += weight * (service_s - self._long)
        if in_use * 2 < self.limit:
            return
        ratio = LATENCY_TOLERANCE * self._long / max(self._short, 1e-9)
        gradient = min(1.0, max(0.5, ratio))
        target = self.limit * gradient + math.sqrt(self.limit)
        self.limit += LIMIT_SMOOTHING * (target - self.limit)
        self.limit = min(float(ADAPTIVE_MAX), max(1.0, self.limit))


class Admission:
    """Grants the slots of one worker.

    The queue is ordered by priority. Within a priority, requests that can
    still meet their objective go before those that can not, and the rest is
    ordered by time: with more requests than slots for a while, an order by
    deadline alone would let nearly all of them miss the objective.

    The class does no input or output, so that it can be driven by a virtual
    clock.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.in_use = 0
        self.draining = False
        self.service_s = 0.0  # running average of service times
        self._route_s: dict[str, float] = {}
        self._clock = clock
        self._slots = 0
        self._queue_limit = 0
        self._adaptive = AdaptiveLimit()
        self._queue: list[Ticket] = []
        self._order = itertools.count()

    def configure(self, slots: int, queue: int) -> None:
        """Set the number of slots (0: adaptive) and the queue's bound."""
        self._slots = slots
        self._queue_limit = queue
        self._grant()

    @property
    def slots(self) -> int:
        """Return how many requests may run at a time."""
        return self._slots or int(self._adaptive.limit)

    @property
    def load(self) -> messages.Load:
        """Return the load as it is told to callers."""
        return messages.Load(self.slots, self.in_use, len(self._queue))

    def submit(
        self,
        deadline: float,
        done: Callable[[errors.Refusal | None], None],
        route: str = '',
        priority: int = 0,
        max_wait_s: float = math.inf,
        objective: float = math.inf,
    ) -> Ticket:
        """Ask for a slot; the outcome is given to ``done``.

        A request that can be decided at once is decided before this returns.

        :param route: name of the request's route, which tells how long it is
            likely to take
        :param priority: 0 for the most urgent requests
        :param max_wait_s: longest wait for a slot; a request that is
            likely to wait longer is refused at once
        :param objective: time by which the answer should be there
        """
        now = self._clock()
        ticket = Ticket(
            deadline, done, route, priority, objective, next(self._order)
        )
        refusal = self._refusal(ticket, now)
        if refusal is None and self.in_use < self.slots:
            self._start(ticket, now)
            return ticket
        if refusal is None:
            refusal = self._enqueue(ticket, now, max_wait_s)
        if refusal is not None:
            ticket.closed = True
            done(refusal)
        return ticket

    def release(self, ticket: Ticket, *, finished: bool = True) -> None:
        """Give up a ticket, granted or still waiting.

        :param finished: whether the request ran to its end, so that its time
            counts as a service time
        """
        if ticket.closed:
            return
        ticket.closed = True
        if ticket.granted_at is None:
            self._queue.remove(ticket)
            return
        self.in_use -= 1
        if finished:
            service_s = self._clock() - ticket.granted_at
            self._learn(ticket.route, service_s)
            if not self._slots:
                self._adaptive.finished(service_s, self.in_use + 1)
        self._grant()

    def refuse_past_deadline(self, ticket: Ticket) -> None:
        """Refuse a waiting request whose deadline has come."""
        if ticket.closed or ticket.granted_at is not None:
            return
        self._close(ticket, self._too_late())

    def refuse_past_max_wait(self, ticket: Ticket) -> None:
        """Refuse a request that has waited as long as it may."""
        if ticket.closed or ticket.granted_at is not None:
            return
        self._close(ticket, self._too_busy())

    def refuse_queued(self, refusal: errors.Refusal) -> None:
        """Refuse every request that waits."""
        for ticket in list(self._queue):
            if not ticket.closed:
                self._close(ticket, refusal)

    def _learn(self, route: str, service_s: float) -> None:
        weight = SERVICE_TIME_WEIGHT if self.service_s else 1.0
        self.service_s += weight * (service_s - self.service_s)
        if route not in self._route_s and len(self._route_s) >= MAX_ROUTES:
            self._route_s.clear()
        known_s = self._route_s.get(route, service_s)
        known_s += SERVICE_TIME_WEIGHT * (service_s - known_s)
        self._route_s[route] = known_s

    def _expected_s(self, route: str) -> float:
        return self._route_s.get(route, self.service_s)

    def _refusal(self, ticket: Ticket, now: float) -> errors.Refusal | None:
        deadline = ticket.deadline
        if self.draining:
            return errors.Refusal(
                errors.CALL_DRAINING, 'the worker is draining'
            )
        if now >= deadline:
            return errors.Refusal(
                errors.CALL_DEADLINE, 'the deadline has passed'
            )
        # An idle worker takes the request all the same: without new requests,
        # a service time that was long once stays so.
        if 0 < self.in_use < self.slots:
            if now + self._expected_s(ticket.route) > deadline:
                return self._too_late()
        return None

    def _enqueue(
        self, ticket: Ticket, now: float, max_wait_s: float
    ) -> errors.Refusal | None:
        """Let a request wait, and refuse those that it goes ahead of.

        :returns: the refusal if the request itself may not wait
        """
        ranked = self._ranked(now)
        rank = self._rank(ticket, now)
        ahead = bisect.bisect_left(
            ranked, rank, key=lambda other: self._rank(other, now)
        )
        if ahead >= self._queue_limit:
            return self._too_busy()
        if self._wait_s(ahead) > max_wait_s:
            return self._too_busy()
        if self._is_hopeless(ticket, ahead, now):
            return self._too_late()
        self._queue.append(ticket)
        if len(self._queue) > self._queue_limit:
            self._close(ranked.pop(), self._too_busy())
        behind = ahead + 1
        for other in ranked[ahead:]:
            if self._is_hopeless(other, behind, now):
                self._close(other, self._too_late())
            else:
                behind += 1
        return None

    def _is_hopeless(self, ticket: Ticket, ahead: int, now: float) -> bool:
        """Tell whether a request would end after its deadline."""
        needed_s = self._wait_s(ahead) + self._expected_s(ticket.route)
        return now + needed_s > ticket.deadline

    def _wait_s(self, ahead: int) -> float:
        return (ahead + 1) * self.service_s / self.slots

    def _rank(self, ticket: Ticket, now: float) -> Rank:
        needed_s = OBJECTIVE_MARGIN * self._expected_s(ticket.route)
        misses = now + needed_s > ticket.objective
        by = ticket.deadline if misses else ticket.objective
        return Rank(ticket.priority, misses, by, ticket.number)

    def _ranked(self, now: float) -> list[Ticket]:
        return sorted(self._queue, key=lambda ticket: self._rank(ticket, now))

    def _too_busy(self) -> errors.Refusal:
        return errors.Refusal(
            errors.CALL_OVERLOADED,
            f'{self.in_use} requests run and {len(self._queue)} wait',
        )

    def _too_late(self) -> errors.Refusal:
        return errors.Refusal(
            errors.CALL_DEADLINE,
            'the request would not finish by its deadline',
        )

    def _start(self, ticket: Ticket, now: float) -> None:
        self.in_use += 1
        ticket.granted_at = now
        ticket.done(None)

    def _close(self, ticket: Ticket, refusal: errors.Refusal) -> None:
        ticket.closed = True
        self._queue.remove(ticket)
        ticket.done(refusal)

    def _grant(self) -> None:
        now = self._clock()
        for ticket in list(self._queue):
            if now + self._expected_s(ticket.route) > ticket.deadline:
                self._close(ticket, self._too_late())
        while self._queue and self.in_use < self.slots:
            ticket = min(
                self._queue, key=lambda ticket: self._rank(ticket, now)
            )
            self._queue.remove(ticket)
            self._start(ticket, now)


async def acquire(
    admission: Admission,
    deadline: float,
    remaining_s: float,
    route: str,
    priority: int = 0,
    max_wait_s: float = math.inf,
    objective: float = math.inf,
) -> Ticket | errors.Refusal:
    """Wait for a slot.

    :param deadline: end of the request's time on the admission's clock
    :param remaining_s: time that is left until then
    """
    fut: asyncio.Future[errors.Refusal | None] | None = None
    outcome: list[errors.Refusal | None] = []

    def done(refusal: errors.Refusal | None) -> None:
        outcome.append(refusal)
        if fut is not None and not fut.done():
            fut.set_result(refusal)

    ticket = admission.submit(
        deadline, done, route, priority, max_wait_s, objective
    )
    if not outcome:
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        # The queue looks at deadlines only when a slot becomes free, which
        # never happens while an upstream is frozen.
        refuse = admission.refuse_past_deadline
        if max_wait_s < remaining_s:
            refuse = admission.refuse_past_max_wait
        timer = loop.call_later(min(remaining_s, max_wait_s), refuse, ticket)
        try:
            await fut
        except asyncio.CancelledError:
            # The slot may have been granted in the same loop iteration.
            admission.release(ticket, finished=False)
            raise
        finally:
            timer.cancel()
    refusal = outcome[0]
    return ticket if refusal is None else refusal


async def run_admitted(
    admission: Admission,
    request: messages.Request,
    send: Callable[
        [messages.Request], Awaitable[messages.Answer | errors.Refusal]
    ],
    book: metrics.Metrics,
    clock: Callable[[], float],
) -> messages.Answer | errors.Refusal:
    """Run a request when it has a slot, which it gives back.

    :param send: runs the request on the upstream
    :param book: takes the time that the request waited
    :param clock: clock of the admission and of the request's deadline
    """
    began = clock()
    ticket = await acquire(
        admission,
        request.deadline,
        request.deadline - began,
        request.route,
        request.priority,
        request.max_wait_s,
        request.objective,
    )
    book.observe('queue_wait', clock() - began)
    if isinstance(ticket, errors.Refusal):
        return ticket
    finished = False
    try:
        result = await send(request)
        # The time of a call that timed out is a lower bound of its service
        # time, and the only sign of a frozen upstream.
        finished = (
            isinstance(result, messages.Answer)
            or result.code is errors.CALL_DEADLINE
        )
    finally:
        admission.release(ticket, finished=finished)
    return result
