"""Limits on the start of requests by the pace of the local upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpier.traffic import start_limits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from damaskpier.capacity import pace
    from damaskpier.traffic import admission


class ColdLimit(start_limits.StartLimit):
    """Starts requests at a cold upstream within its bound.

    :param cold: pace of the upstream
    :param clock: returns the time in seconds
    """

    def __init__(
        self, cold: pace.ColdPace, clock: Callable[[], float]
    ) -> None:
        self._cold = cold
        self._clock = clock

    def delay_s(
        self,
        ticket: admission.Ticket,
        ahead: Sequence[admission.Ticket],
        service_s: float,
    ) -> float:
        """Return the expected time until a request may start, in seconds."""
        return self._cold.wait_s(self._clock(), len(ahead))

    def wait_s(self, ahead: int, service_s: float) -> float:
        """Return the expected time until another request may start.

        :param ahead: number of requests that start before it
        :param service_s: expected service time in seconds
        """
        return self._cold.wait_s(self._clock(), ahead)

    def record_start(self, ticket: admission.Ticket) -> None:
        """Record that a request starts."""
        self._cold.record_start(self._clock())
