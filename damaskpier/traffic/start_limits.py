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
# Size of the token bucket: after a pause, as many requests may start at once
# as the rate allows in this time.
RATE_BURST_S = 0.25
# Requests a second that an upstream gets in any case, because it lifts its
# limit in the answer to one of them.
MIN_RATE_PER_S = 0.5
# Requests that run at the same time until an upstream has answered one of
# them.
FIRST_REQUEST_COUNT = 4
# Service time that is assumed at least until then.
MIN_SERVICE_S = 0.02
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

    def transfer_s(self, route: str) -> float:
        """Return how long a response of a route is transferred, in seconds."""
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

    def transfer_s(self, route: str) -> float:
        """Return how long a response occupies the link, in seconds."""
        size = self._long_response_bytes(route)
        per_s = self._bytes_per_s() if size else 0.0
        return size / per_s if per_s else 0.0

    def record_start(self, ticket: admission.Ticket) -> None:
        """Record that a request starts."""
        size = self._long_bytes(ticket)
        if size:
            self._running[ticket] = size

    def record_end(self, ticket: admission.Ticket) -> None:
        """Record that a request that has started is over."""
        self._running.pop(ticket, None)

    def _long_bytes(self, ticket: admission.Ticket) -> float:
        return self._long_response_bytes(ticket.route)

    def _long_response_bytes(self, route: str) -> float:
        size = self._sizes.get(route, 0.0)
        return size if size > LONG_RESPONSE_BYTES else 0.0


class RateLimit(StartLimit):
    """Starts requests at the rate that the upstream takes.

    Until the upstream has answered, its limit is unknown, and few requests run
    at the same time.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.per_s: float | None = None
        self._clock = clock
        self._is_known = True
        self._running = 0
        # Token bucket; a request that starts takes a token.
        self._tokens = 0.0
        self._filled_at = 0.0

    def expect_answer(self) -> None:
        """Start again for an upstream that has not answered yet."""
        self.per_s = None
        self._is_known = False

    def set(self, per_s: float | None) -> None:
        """Apply the limit in the upstream's latest answer.

        :param per_s: requests a second; None if it names no limit any more
        """
        self._is_known = True
        if per_s is None:
            self.per_s = None
            return
        if self.per_s is None:
            self._tokens = 0.0
            self._filled_at = self._clock()
        self._fill()
        self.per_s = max(per_s, MIN_RATE_PER_S)

    def delay_s(
        self,
        ticket: admission.Ticket,
        ahead: Sequence[admission.Ticket],
        service_s: float,
    ) -> float:
        """Return the expected time until a request may start, in seconds."""
        return self.wait_s(len(ahead), service_s)

    def wait_s(self, ahead: int, service_s: float) -> float:
        """Return the expected time until another request may start.

        :param ahead: number of requests that start before it
        :param service_s: expected service time in seconds
        """
        if not self._is_known:
            beyond = self._running + ahead + 1 - FIRST_REQUEST_COUNT
            each_s = max(service_s, MIN_SERVICE_S) / FIRST_REQUEST_COUNT
            return max(0, beyond) * each_s
        if self.per_s is None:
            return 0.0
        self._fill()
        return max(0.0, (ahead + 1 - self._tokens) / self.per_s)

    def record_start(self, ticket: admission.Ticket) -> None:
        """Record that a request starts."""
        self._running += 1
        self._tokens -= 1.0

    def record_end(self, ticket: admission.Ticket) -> None:
        """Record that a request that has started is over."""
        self._running -= 1

    def _fill(self) -> None:
        now = self._clock()
        if self.per_s is not None:
            most = max(1.0, RATE_BURST_S * self.per_s)
            added = (now - self._filled_at) * self.per_s
            self._tokens = min(most, self._tokens + added)
        self._filled_at = now
