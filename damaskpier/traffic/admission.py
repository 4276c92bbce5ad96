"""Admission control for the slots of the local upstream."""

from __future__ import annotations

import asyncio
import bisect
import collections
import itertools
import math
import time
from typing import TYPE_CHECKING

from damaskpier.capacity import order
from damaskpier import errors
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from damaskpier import metrics
    from damaskpier.traffic import start_limits

# Weight of a new service time in the exponential moving averages.
SERVICE_TIME_WEIGHT = 0.1
# Routes with a service time of their own. The limit bounds the memory when
# bundles rename their routes often.
MAX_ROUTE_COUNT = 1024

ADAPTIVE_START_SLOTS = 4
ADAPTIVE_MAX_SLOTS = 256
# The limit does not shrink while the recent latency stays below this multiple
# of the long-term latency.
LATENCY_TOLERANCE_RATIO = 2.0
SHORT_TERM_WEIGHT = 0.2
# The long-term latency falls faster than it rises, so that the high latency
# of an overload that lasts for some hundred requests is not taken as normal.
LONG_TERM_FALL_WEIGHT = 0.01
LONG_TERM_RISE_WEIGHT = 0.001
LIMIT_SMOOTHING_WEIGHT = 0.2


class Ticket:
    """One request that waits for a slot or holds one.

    :param deadline: latest end of the request, in seconds of the admission's
        clock
    :param done: called once, with None when a slot is granted, otherwise
        with the refusal
    :param route: name of the request's route
    :param priority: 0 for the most urgent requests
    :param objective: time by which the answer should arrive, on the same
        clock as the deadline
    :param number: sequence number by order of arrival
    :param team: team of the caller; empty if it is unknown
    """

    __slots__ = (
        'deadline',
        'done',
        'route',
        'priority',
        'objective',
        'number',
        'team',
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
        team: str = '',
    ) -> None:
        self.deadline = deadline
        self.priority = priority
        self.objective = min(objective, deadline)
        self.number = number
        self.team = team
        self.done = done
        self.route = route
        self.granted_at: float | None = None
        self.closed = False


class _PerRoute(dict[str, float]):
    """Times of routes in seconds, each computed at its first use.

    A queue holds many requests of few routes, and is looked at for each
    request that arrives or ends.

    :param compute: returns the time of a route in seconds
    """

    def __init__(self, compute: Callable[[str], float]) -> None:
        super().__init__()
        self._compute = compute

    def __missing__(self, route: str) -> float:
        """Compute and keep the time of a route."""
        time_s = self[route] = self._compute(route)
        return time_s


class AdaptiveLimit:
    """Adaptive concurrency limit for an upstream that does not state one.

    The limit follows the ratio of the long-term to the recent latency. It
    shrinks when requests take longer than usual and otherwise grows by its
    square root, which allows for a short queue in the upstream.
    """

    def __init__(self) -> None:
        self.limit = float(ADAPTIVE_START_SLOTS)
        self._short_term_s = 0.0
        self._long_term_s = 0.0

    def record_service_time(self, service_s: float, in_use: int) -> None:
        """Update the limit with the service time of a finished request.

        :param service_s: service time in seconds
        :param in_use: requests that ran at the same time, this one included
        """
        if not self._long_term_s:
            self._short_term_s = self._long_term_s = service_s
        self._short_term_s += SHORT_TERM_WEIGHT * (
            service_s - self._short_term_s
        )
        weight = (
            LONG_TERM_FALL_WEIGHT
            if service_s < self._long_term_s
            else LONG_TERM_RISE_WEIGHT
        )
        self._long_term_s += weight * (service_s - self._long_term_s)
        if in_use * 2 < self.limit:
            return
        ratio = (
            LATENCY_TOLERANCE_RATIO
            * self._long_term_s
            / max(self._short_term_s, 1e-9)
        )
        gradient = min(1.0, max(0.5, ratio))
        target = self.limit * gradient + math.sqrt(self.limit)
        self.limit += LIMIT_SMOOTHING_WEIGHT * (target - self.limit)
        self.limit = min(float(ADAPTIVE_MAX_SLOTS), max(1.0, self.limit))


class Admission:
    """Grants the slots of one worker and queues or refuses other requests.

    The queue is ordered by priority, then by team (:mod:`capacity.order`).
    Requests that can still meet their objective come before those that can
    not; each of the two groups is ordered by time. With an order by deadline
    alone, nearly all requests would miss their objective while there are more
    requests than slots.

    The class does no input or output, so that a simulation can run it on a
    virtual clock.

    ``limits`` may hold a request back while a slot is free. Then ``on_delay``
    is called with the time in seconds after which :meth:`start_waiting` should
    be called.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.limits: tuple[start_limits.StartLimit, ...] = ()
        self.on_delay: Callable[[float], None] | None = None
        self.in_use = 0
        self.draining = False
        self.service_s = 0.0  # moving average over all routes
        self._route_service_s: dict[str, float] = {}
        self._clock = clock
        self._slots = 0
        self._queue_limit = 0
        self._adaptive = AdaptiveLimit()
        self._queue: list[Ticket] = []
        self._running_priorities: collections.Counter[int] = (
            collections.Counter()
        )
        self._arrival_numbers = itertools.count()
        self._order = order.Order()

    def forget_service_times(self) -> None:
        """Forget how long requests take, as the upstream is another one."""
        self.service_s = 0.0
        self._route_service_s.clear()

    def configure(self, slots: int, queue: int) -> None:
        """Set the limits.

        :param slots: requests that run at the same time; 0 for an adaptive
            limit
        :param queue: longest queue of waiting requests
        """
        self._slots = slots
        self._queue_limit = queue
        self._grant_free_slots()

    @property
    def slots(self) -> int:
        """Return how many requests may run at the same time."""
        return self._slots or int(self._adaptive.limit)

    @property
    def waiting(self) -> tuple[Ticket, ...]:
        """Return the waiting requests, in no particular order."""
        return tuple(self._queue)

    @property
    def most_urgent_running(self) -> int | None:
        """Return the most urgent priority that runs; None if nothing does."""
        return min((+self._running_priorities).keys(), default=None)

    @property
    def load(self) -> messages.Load:
        """Return the load that replies report to the callers' nodes."""
        return messages.Load(self.slots, self.in_use, len(self._queue))

    def submit(
        self,
        deadline: float,
        done: Callable[[errors.Refusal | None], None],
        route: str = '',
        priority: int = 0,
        max_wait_s: float = math.inf,
        objective: float = math.inf,
        team: str = '',
    ) -> Ticket:
        """Request a slot; the decision is passed to ``done``.

        A request that can be decided at once is decided before this method
        returns.

        :param deadline: latest end of the request, in seconds of the
            admission's clock
        :param done: called once, with None when a slot is granted, otherwise
            with the refusal
        :param route: name of the request's route; its average service time
            is the expected service time of the request
        :param priority: 0 for the most urgent requests
        :param max_wait_s: longest wait for a slot in seconds; a request that
            is expected to wait longer is refused at once
        :param objective: time by which the answer should arrive, on the same
            clock as the deadline
        :param team: team of the caller; empty if it is unknown
        """
        now = self._clock()
        ticket = Ticket(
            deadline,
            done,
            route,
            priority,
            objective,
            next(self._arrival_numbers),
            team,
        )
        self._order.record_arrival(ticket, now)
        refusal = self._immediate_refusal(ticket, now)
        if refusal is None and self._may_start_at_once(ticket):
            self._grant_slot(ticket, now)
            return ticket
        if refusal is None:
            refusal = self._enqueue(ticket, now, max_wait_s)
        if refusal is not None:
            ticket.closed = True
            done(refusal)
        elif self.limits:
            self._grant_free_slots()
        return ticket

    def start_waiting(self) -> None:
        """Start the waiting requests that the limits no longer hold back."""
        self._grant_free_slots()

    def release(self, ticket: Ticket, *, finished: bool = True) -> None:
        """Free the slot of a ticket, or remove a waiting one from the queue.

        A ticket that is already closed is ignored.

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
        self._running_priorities[ticket.priority] -= 1
        for limit in self.limits:
            limit.record_end(ticket)
        if finished:
            service_s = self._clock() - ticket.granted_at
            self._record_service_time(ticket.route, service_s)
            if not self._slots:
                self._adaptive.record_service_time(service_s, self.in_use + 1)
        self._grant_free_slots()

    def refuse_past_deadline(self, ticket: Ticket) -> None:
        """Refuse a ticket whose deadline has passed while it waited."""
        if ticket.closed or ticket.granted_at is not None:
            return
        self._refuse_waiting(ticket, self._deadline_refusal())

    def refuse_past_max_wait(self, ticket: Ticket) -> None:
        """Refuse a ticket that has waited for its longest wait."""
        if ticket.closed or ticket.granted_at is not None:
            return
        self._refuse_waiting(ticket, self._overload_refusal())

    def refuse_queued(self, refusal: errors.Refusal) -> None:
        """Refuse all waiting requests."""
        for ticket in list(self._queue):
            if not ticket.closed:
                self._refuse_waiting(ticket, refusal)

    def _record_service_time(self, route: str, service_s: float) -> None:
        weight = SERVICE_TIME_WEIGHT if self.service_s else 1.0
        self.service_s += weight * (service_s - self.service_s)
        if (
            route not in self._route_service_s
            and len(self._route_service_s) >= MAX_ROUTE_COUNT
        ):
            self._route_service_s.clear()
        average_s = self._route_service_s.get(route, service_s)
        average_s += SERVICE_TIME_WEIGHT * (service_s - average_s)
        self._route_service_s[route] = average_s

    def _expected_service_s(self, route: str) -> float:
        return self._route_service_s.get(route, self.service_s)

    def _immediate_refusal(
        self, ticket: Ticket, now: float
    ) -> errors.Refusal | None:
        deadline = ticket.deadline
        if self.draining:
            return errors.Refusal(
                errors.CALL_DRAINING, 'the worker is draining'
            )
        if now >= deadline:
            return errors.Refusal(
                errors.CALL_DEADLINE, 'the deadline has passed'
            )
        # An idle worker accepts the request anyway: without new requests, an
        # average that is too long would never be corrected.
        if 0 < self.in_use < self.slots:
            if now + self._expected_run_s(ticket.route) > deadline:
                return self._deadline_refusal()
        return None

    def _may_start_at_once(self, ticket: Ticket) -> bool:
        if self.in_use >= self.slots:
            return False
        if not self.limits:
            return True
        # The waiting requests may have been held back until now.
        return not self._queue and not self._delay_s(ticket, ())

    def _delay_s(self, ticket: Ticket, ahead: Sequence[Ticket]) -> float:
        """Return how long the limits hold a request back, in seconds."""
        service_s = self._expected_service_s(ticket.route)
        return max(
            (limit.delay_s(ticket, ahead, service_s) for limit in self.limits),
            default=0.0,
        )

    def _expected_run_s(self, route: str) -> float:
        """Return the expected time from the start to the end, in seconds."""
        return self._expected_service_s(route) + sum(
            limit.transfer_s(route) for limit in self.limits
        )

    def _enqueue(
        self, ticket: Ticket, now: float, max_wait_s: float
    ) -> errors.Refusal | None:
        """Queue a request.

        Requests behind it in the queue are refused if they no longer fit
        into the queue or would now miss their deadline.

        :returns: the refusal if the request itself may not wait, else None
        """
        run_s = _PerRoute(self._expected_run_s)
        rank = self._order.ranking(now, run_s)
        ranked = sorted((rank(other), other) for other in self._queue)
        ahead = bisect.bisect_left(ranked, (rank(ticket),))
        before = [other for _, other in ranked[:ahead]]
        behind = [other for _, other in ranked[ahead:]]
        if ahead >= self._queue_limit:
            return self._overload_refusal(_describe_ahead(ticket, before))
        if self._expected_wait_s(ticket, before) > max_wait_s:
            return self._overload_refusal(_describe_ahead(ticket, before))
        if self._would_miss_deadline(ticket, before, now, run_s):
            return self._deadline_refusal(_describe_ahead(ticket, before))
        self._queue.append(ticket)
        if len(self._queue) > self._queue_limit:
            self._refuse_waiting(behind.pop(), self._overload_refusal())
        before.append(ticket)
        for other in behind:
            if self._would_miss_deadline(other, before, now, run_s):
                self._refuse_waiting(other, self._deadline_refusal())
            else:
                before.append(other)
        return None

    def _would_miss_deadline(
        self,
        ticket: Ticket,
        ahead: Sequence[Ticket],
        now: float,
        run_s: _PerRoute,
    ) -> bool:
        """Return whether a request is expected to end after its deadline."""
        wait_s = self._expected_wait_s(ticket, ahead)
        return now + wait_s + run_s[ticket.route] > ticket.deadline

    def _expected_wait_s(
        self, ticket: Ticket, ahead: Sequence[Ticket]
    ) -> float:
        """Return how long a request is expected to wait, in seconds.

        :param ahead: requests that start before it
        """
        beyond_slots = self.in_use + len(ahead) + 1 - self.slots
        slot_wait_s = max(0, beyond_slots) * self.service_s / self.slots
        return max(slot_wait_s, self._delay_s(ticket, ahead))

    def _overload_refusal(self, ahead: str = '') -> errors.Refusal:
        return errors.Refusal(
            errors.CALL_OVERLOADED,
            f'{self.in_use} requests run and {len(self._queue)} wait{ahead}',
        )

    def _deadline_refusal(self, ahead: str = '') -> errors.Refusal:
        return errors.Refusal(
            errors.CALL_DEADLINE,
            f'the request would not finish by its deadline{ahead}',
        )

    def _grant_slot(self, ticket: Ticket, now: float) -> None:
        self.in_use += 1
        self._running_priorities[ticket.priority] += 1
        ticket.granted_at = now
        service_s = self._expected_service_s(ticket.route)
        self._order.record_start(ticket, now, service_s)
        for limit in self.limits:
            limit.record_start(ticket)
        ticket.done(None)

    def _refuse_waiting(self, ticket: Ticket, refusal: errors.Refusal) -> None:
        ticket.closed = True
        self._queue.remove(ticket)
        ticket.done(refusal)

    def _grant_free_slots(self) -> None:
        if not self._queue:
            return
        now = self._clock()
        run_s = _PerRoute(self._expected_run_s)
        for ticket in list(self._queue):
            if now + run_s[ticket.route] > ticket.deadline:
                self._refuse_waiting(ticket, self._deadline_refusal())
        while self._queue and self.in_use < self.slots:
            ready = self._ready()
            if not ready:
                self._announce_delay()
                return
            ticket = min(ready, key=self._order.ranking(now, run_s))
            self._queue.remove(ticket)
            self._grant_slot(ticket, now)

    def _ready(self) -> list[Ticket]:
        """Return the waiting requests that the limits do not hold back."""
        # The limits hold back all requests of a route alike.
        delays_s: dict[str, float] = {}
        for ticket in self._queue:
            if ticket.route not in delays_s:
                delays_s[ticket.route] = self._delay_s(ticket, ())
        return [ticket for ticket in self._queue if not delays_s[ticket.route]]

    def _announce_delay(self) -> None:
        if self.on_delay is not None:
            self.on_delay(
                min(self._delay_s(ticket, ()) for ticket in self._queue)
            )


def _describe_ahead(ticket: Ticket, ahead: Sequence[Ticket]) -> str:
    """Return how many requests are ahead of one, for its refusal."""
    if not ahead:
        return ''
    urgent = sum(other.priority < ticket.priority for other in ahead)
    calls = sum(not other.team for other in ahead)
    return (
        f', {len(ahead)} ahead, {urgent} of them more urgent and {calls} '
        'without a team'
    )


async def acquire(
    admission: Admission,
    deadline: float,
    remaining_s: float,
    route: str,
    priority: int = 0,
    max_wait_s: float = math.inf,
    objective: float = math.inf,
    team: str = '',
) -> Ticket | errors.Refusal:
    """Wait for a slot.

    The parameters are those of :meth:`Admission.submit`, and:

    :param remaining_s: seconds until the deadline
    :returns: the ticket, which the caller has to release, or the refusal
    """
    fut: asyncio.Future[errors.Refusal | None] | None = None
    outcome: list[errors.Refusal | None] = []

    def done(refusal: errors.Refusal | None) -> None:
        outcome.append(refusal)
        if fut is not None and not fut.done():
            fut.set_result(refusal)

    ticket = admission.submit(
        deadline, done, route, priority, max_wait_s, objective, team
    )
    if not outcome:
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        # The queue checks deadlines only when a slot becomes free, which
        # never happens while the upstream hangs.
        refuse = admission.refuse_past_deadline
        if max_wait_s < remaining_s:
            refuse = admission.refuse_past_max_wait
        timer = loop.call_later(min(remaining_s, max_wait_s), refuse, ticket)
        try:
            await fut
        except asyncio.CancelledError:
            # The slot may have been granted in the same iteration of the
            # event loop.
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
    metrics_service: metrics.Metrics,
    clock: Callable[[], float],
) -> messages.Answer | errors.Refusal:
    """Wait for a slot, run a request in it and release the slot.

    :param send: runs the request on the upstream
    :param metrics_service: records the time that the request waited
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
        request.team,
    )
    metrics_service.observe('queue_wait', clock() - began)
    if isinstance(ticket, errors.Refusal):
        return ticket
    finished = False
    try:
        result = await send(request)
        # The time of a call that timed out is a lower bound of its service
        # time, and the only sample that an upstream that hangs provides.
        finished = (
            isinstance(result, messages.Answer)
            or result.code is errors.CALL_DEADLINE
        )
    finally:
        admission.release(ticket, finished=finished)
    return result
