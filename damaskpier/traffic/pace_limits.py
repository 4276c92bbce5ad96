"""Limits on the start of requests by the pace of the local upstream."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from damaskpier.traffic import start_limits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from damaskpier.capacity import adaptive_pace
    from damaskpier.capacity import pace
    from damaskpier.traffic import admission


class PaceLimit(start_limits.StartLimit):
    """Limit by a pace, whose wait the load in replies names, too."""

    @abc.abstractmethod
    def wait_s(self, ahead: int, service_s: float) -> float:
        """Return the expected time until another request may start.

        :param ahead: number of requests that start before it
        :param service_s: expected service time in seconds
        """

    def delay_s(
        self,
        ticket: admission.Ticket,
        ahead: Sequence[admission.Ticket],
        service_s: float,
    ) -> float:
        """Return the expected time until a request may start, in seconds."""
        return self.wait_s(len(ahead), service_s)


class ColdPaceLimit(PaceLimit):
    """Starts requests at a cold upstream within its bound.

    :param cold: pace of the upstream
    :param clock: returns the time in seconds
    """

    def __init__(
        self, cold: pace.ColdPace, clock: Callable[[], float]
    ) -> None:
        self._cold = cold
        self._clock = clock

    def wait_s(self, ahead: int, service_s: float) -> float:
        """Return the expected time until another request may start.

        :param ahead: number of requests that start before it
        :param service_s: expected service time in seconds
        """
        return self._cold.wait_s(self._clock(), ahead)

    def record_start(self, ticket: admission.Ticket) -> None:
        """Record that a request starts."""
        self._cold.record_start(self._clock())


class AdaptivePaceLimit(PaceLimit):
    """Starts requests at the pace that follows the upstream's answers.

    :param adaptive: pace of the upstream
    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        adaptive: adaptive_pace.AdaptivePace,
        clock: Callable[[], float],
    ) -> None:
        self._adaptive = adaptive
        self._clock = clock
        self._running = 0

    def wait_s(self, ahead: int, service_s: float) -> float:
        """Return the expected time until another request may start.

        :param ahead: number of requests that start before it
        :param service_s: expected service time in seconds
        """
        return self._adaptive.wait_s(
            self._clock(), self._running, ahead, service_s
        )

    def record_start(self, ticket: admission.Ticket) -> None:
        """Record that a request starts."""
        self._running += 1
        self._adaptive.record_start(self._clock())

    def record_end(self, ticket: admission.Ticket) -> None:
        """Record that a request that has started is over."""
        self._running -= 1
