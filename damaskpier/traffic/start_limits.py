"""Limits beside the slots on the start of requests at a worker."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from damaskpier.http1 import pacing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from damaskpier.traffic import admission

# Responses above this size share the link of the node.
LONG_RESPONSE_BYTES = pacing.PART_BYTES
RESPONSE_SIZE_WEIGHT = 0.1
# Routes with a response size of their own. The limit bounds the memory when
# bundles rename their routes often.
MAX_ROUTE_COUNT = 1024
# The running requests and the responses that wait may need the link for this
# time longer than one request runs. Without it, the link would be idle when
# requests take longer than expected.
LINK_SLACK_S = 0.15


class StartLimit(abc.ABC):
    """Limit on the start of requests."""

    @abc.abstractmethod
    def delay_s(
        self,
        ticket: admission.Ticket,
        ahead: Sequence[admission.Ticket],
        service_s: float,
    ) -> float:
        """Return the expected time until a request may start, in seconds.

        :param ahead: requests that start before it
        :param service_s: expected service time in seconds
        :returns: 0 if the request may start now
        """

    def transfer_s(self, ticket: admission.Ticket) -> float:
        """Return how long the response is transferred, in seconds."""
        return 0.0

    def record_start(self, ticket: admission.Ticket) -> None:
        """Record that a request starts."""

    def record_end(self, ticket: admission.Ticket) -> None:
        """Record that a request that has started is over."""


class LinkLimit(StartLimit):
    """Starts requests with long responses as the link can carry them.

    An upstream may answer faster than the link of its node sends. Responses
    that wait for the link are late while other nodes have room for them, so
    that the requests wait instead, where they can still be refused as not run.

    :param backlog_bytes: returns the size of the responses that are being sent
        or wait for the link
    :param bytes_per_s: returns the rate of the link, 0 if unknown
    """

    def __init__(
        self,
        backlog_bytes: Callable[[], int],
        bytes_per_s: Callable[[], float],
    ) -> None:
        self._backlog_bytes = backlog_bytes
        self._bytes_per_s = bytes_per_s
        self._sizes: dict[str, float] = {}
        self._running: dict[admission.Ticket, float] = {}

    def record_response(self, route: str, size: int) -> None:
        """Record the size of a successful response in bytes."""
        if route not in self._sizes and len(self._sizes) >= MAX_ROUTE_COUNT:
            self._sizes.clear()
        known = self._sizes.get(route, float(size))
        self._sizes[route] = known + RESPONSE_SIZE_WEIGHT * (size - known)

    def busy_s(self, queued: Iterable[admission.Ticket]) -> float:
        """Return how long known requests and responses need the link.

        :param queued: requests that wait for their start
        :returns: time in seconds; 0 if the rate of the link is unknown
        """
        per_s = self._bytes_per_s()
        if not per_s:
            return 0.0
        committed = self._backlog_bytes() + sum(self._running.values())
        committed += sum(self._long_bytes(ticket) for ticket in queued)
        return committed / per_s

    def delay_s(
        self,
        ticket: admission.Ticket,
        ahead: Sequence[admission.Ticket],
        service_s: float,
    ) -> float:
        """Return the expected time until a request may start, in seconds."""
        if not self._long_bytes(ticket):
            return 0.0
        if not self._running and not any(map(self._long_bytes, ahead)):
            # Without any request, a rate that is too low would not be
            # measured again.
            return 0.0
        return max(0.0, self.busy_s(ahead) - service_s - LINK_SLACK_S)

    def transfer_s(self, ticket: admission.Ticket) -> float:
        """Return how long the response occupies the link, in seconds."""
        per_s = self._bytes_per_s()
        return self._long_bytes(ticket) / per_s if per_s else 0.0

    def record_start(self, ticket: admission.Ticket) -> None:
        """Record that a request starts."""
        size = self._long_bytes(ticket)
        if size:
            self._running[ticket] = size

    def record_end(self, ticket: admission.Ticket) -> None:
        """Record that a request that has started is over."""
        self._running.pop(ticket, None)

    def _long_bytes(self, ticket: admission.Ticket) -> float:
        size = self._sizes.get(ticket.route, 0.0)
        return size if size > LONG_RESPONSE_BYTES else 0.0
