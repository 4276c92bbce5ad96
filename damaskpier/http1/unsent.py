"""Limits of the responses that clients have not taken yet."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier.http1 import pacing

LOG = logging.getLogger(__name__)

# Limit for one connection, above which no more of its requests are run. Over
# a link of 5 Mbit/s, a client takes this much in 1.7 s.
MAX_CONNECTION_BYTES = 1024 * 1024
# Limit for all connections of a process. The smallest nodes have 200 MB.
MAX_UNSENT_BYTES = 24 * 1024 * 1024
# Clients that have taken nothing for this time lose their responses before
# those that take them slowly.
STALL_S = 1.0


class UnsentLimit:
    """Limit of the responses that all connections keep at one time.

    :param limit_bytes: limit in bytes
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._sizes: dict[UnsentResponses, int] = {}

    def update(self, responses: UnsentResponses) -> None:
        """Count the responses of a connection, which may exceed the limit.

        The largest ones are discarded then, those of stalled clients first.
        """
        self._count(responses)
        if self.used_bytes <= self.limit_bytes:
            return
        # Their clients have taken some since they were counted.
        for other in list(self._sizes):
            other.check_progress()
            self._count(other)
        while self.used_bytes > self.limit_bytes and self._sizes:
            largest = max(
                self._sizes,
                key=lambda other: (other.is_stalled(), self._sizes[other]),
            )
            LOG.warning(
                'http: closing a connection with %d unsent bytes: all have '
                '%d bytes, limit %d',
                self._sizes[largest],
                self.used_bytes,
                self.limit_bytes,
            )
            self.remove(largest)
            largest.discard()

    def remove(self, responses: UnsentResponses) -> None:
        """Stop counting the responses of a connection."""
        self.used_bytes -= self._sizes.pop(responses, 0)

    def _count(self, responses: UnsentResponses) -> None:
        self.remove(responses)
        size = responses.size
        if size:
            self._sizes[responses] = size
            self.used_bytes += size


class UnsentResponses:
    """Responses of one connection that its client has not taken yet.

    :param transport: transport of the connection
    :param limit: limit of the responses of all connections
    :param clock: returns the time in seconds
    :param discard: closes the connection at once
    """

    def __init__(
        self,
        transport: pacing.PacedTransport,
        limit: UnsentLimit,
        clock: Callable[[], float],
        discard: Callable[[], None],
    ) -> None:
        self.discard = discard
        self._transport = transport
        self._limit = limit
        self._clock = clock
        # Bytes of responses that wait for the response to an earlier request.
        self._waiting_bytes = 0
        self._written_bytes = 0
        self._taken_bytes = 0
        self._taken_at = clock()
        transport.set_write_buffer_limits(
            MAX_CONNECTION_BYTES, MAX_CONNECTION_BYTES // 2
        )

    @property
    def size(self) -> int:
        """Return the size of the responses in bytes."""
        return self._waiting_bytes + self._transport.get_write_buffer_size()

    @property
    def is_full(self) -> bool:
        """Return whether no more requests of the connection should run."""
        return self.size > MAX_CONNECTION_BYTES

    def add_waiting(self, size: int) -> None:
        """Count a response that waits for that to an earlier request."""
        self._waiting_bytes += size
        self._limit.update(self)

    def remove_waiting(self, size: int) -> None:
        """Stop counting a response that is written next."""
        self._waiting_bytes -= size

    def drop_waiting(self) -> None:
        """Stop counting responses that will not be written."""
        self._waiting_bytes = 0

    def write(self, data: bytes) -> None:
        """Send data, or keep what the client does not take."""
        if not self._transport.get_write_buffer_size():
            self._taken_at = self._clock()
        self._written_bytes += len(data)
        # The transport keeps a copy of what the kernel does not take. It would
        # cut bytes with one more copy.
        self._transport.write(memoryview(data))
        self.check_progress()
        self._limit.update(self)

    def write_ahead(self, data: bytes) -> bool:
        """Send data before a response that waits for the link.

        :returns: False if no response waits, or it is being sent
        """
        if not self._transport.write_ahead(data):
            return False
        self._written_bytes += len(data)
        return True

    def clear(self) -> None:
        """Stop counting the responses of a connection that has ended."""
        self._waiting_bytes = 0
        self._limit.remove(self)

    def check_progress(self) -> None:
        """Record whether the client has taken data."""
        unsent = self._transport.get_write_buffer_size()
        taken = self._written_bytes - unsent
        if taken > self._taken_bytes or not unsent:
            self._taken_bytes = taken
            self._taken_at = self._clock()

    def is_stalled(self, limit_s: float = STALL_S) -> bool:
        """Return whether the client has taken nothing of what it could.

        :param limit_s: time in seconds
        """
        return (
            self._transport.get_write_buffer_size() > 0
            and self._clock() - self._taken_at > limit_s
        )

    def refresh(self) -> None:
        """Count what the client has not taken yet."""
        self.check_progress()
        self._limit.update(self)
