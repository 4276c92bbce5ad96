"""Workers that crash when they get too much while cold, on a virtual clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from damaskpier import errors
from damaskpier.traffic import admission
from damaskpier.traffic import start_limits

SLOTS = 7
# A cold worker crashes when more requests arrive within a second.
CRASH_COUNT = 20
COLD_S = 3.0
DOWN_S = 1.0
SERVICE_S = 0.07
ARRIVAL_SPREAD_S = 0.15


class Worker:
    """Worker that is cold after each start and takes twice as long then.

    ``arrivals`` are the times at which requests arrive while it is cold,
    ``answers`` those of its answers. ``on_start`` is called at each start.

    :param crash_count: requests within a second at which it crashes while
        cold; 0 if it never crashes
    """

    def __init__(self, seed: int, crash_count: int = CRASH_COUNT) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.arrivals: list[float] = []
        self.answers: list[float] = []
        self.crashes = 0
        self.start_number = 0
        self.is_up = False
        self.cold_until = 0.0
        self.slowness = 1.0
        self.on_start: Callable[[], None] | None = None
        self._crash_count = crash_count

    def start(self) -> None:
        """Start cold."""
        self.is_up = True
        self.start_number += 1
        self.cool()

    def cool(self) -> None:
        """Become cold."""
        self.cold_until = self.loop.time() + COLD_S
        if self.on_start is not None:
            self.on_start()

    @property
    def cold_s(self) -> float:
        """Return for how much longer the worker is cold."""
        return max(0.0, self.cold_until - self.loop.time())

    async def run(self) -> bool:
        """Run a request.

        :returns: whether it is answered
        """
        await asyncio.sleep(self.rng.uniform(0.0, ARRIVAL_SPREAD_S))
        if not self.is_up:
            return False
        start_number = self.start_number
        now = self.loop.time()
        service_s = SERVICE_S * self.slowness * self.rng.uniform(0.7, 1.3)
        if self.cold_s:
            service_s *= 2
            self.arrivals.append(now)
            recent = sum(at > now - 1.0 for at in self.arrivals)
            if self._crash_count and recent > self._crash_count:
                self._crash()
        await asyncio.sleep(service_s)
        if self.start_number != start_number or not self.is_up:
            return False
        self.answers.append(self.loop.time())
        return True

    def _crash(self) -> None:
        self.crashes += 1
        self.is_up = False
        self.loop.call_later(DOWN_S, self.start)


class Queue:
    """Admission of a node beside a worker, with limits.

    ``refusals`` are the refused requests, ``lost`` counts those without an
    answer, ``failed`` is called for each of these.

    :param limits: limits on the start of requests
    """

    def __init__(
        self, worker: Worker, limits: tuple[start_limits.StartLimit, ...]
    ) -> None:
        self.worker = worker
        self.loop = asyncio.get_running_loop()
        self.admission = admission.Admission(self.loop.time)
        self.admission.configure(SLOTS, 3 * SLOTS)
        self.admission.limits = limits
        self.admission.on_delay = self._start_later
        self.refusals: list[errors.Refusal] = []
        self.lost = 0
        self.failed: Callable[[], None] = lambda: None
        self.ended: Callable[[admission.Ticket, float, bool], None] = (
            lambda ticket, took_s, answered: None
        )
        self.is_stopped = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_scheduled = False

    def request(self, deadline_s: float = 1.9) -> None:
        """Submit a request."""
        tickets: list[admission.Ticket] = []

        def decide(refusal: errors.Refusal | None) -> None:
            if refusal is not None:
                self.refusals.append(refusal)
            elif not self.is_stopped:
                self._start(tickets)

        tickets.append(
            self.admission.submit(self.loop.time() + deadline_s, decide, 'r')
        )

    def stop(self) -> None:
        """End as a process that is killed; what it sent is on its way."""
        self.is_stopped = True
        self.admission.limits = ()
        self.admission.refuse_queued(
            errors.Refusal(errors.CALL_DRAINING, 'stopped')
        )

    def _start(self, tickets: list[admission.Ticket]) -> None:
        task = asyncio.ensure_future(self._run(tickets))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, tickets: list[admission.Ticket]) -> None:
        began = self.loop.time()
        answered = await self.worker.run()
        if not answered:
            self.lost += 1
            self.failed()
        self.ended(tickets[0], self.loop.time() - began, answered)
        self.admission.release(tickets[0], finished=answered)

    def _start_later(self, delay_s: float) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self.loop.call_later(max(delay_s, 0.005), self._start_waiting)

    def _start_waiting(self) -> None:
        self._is_scheduled = False
        self.admission.start_waiting()


def most_in_a_second(times: list[float], span_s: float = 1.0) -> int:
    """Return the largest number of times within one second.

    :param span_s: another length of the window in seconds
    """
    return max(
        (sum(start <= at < start + span_s for at in times) for start in times),
        default=0,
    )
