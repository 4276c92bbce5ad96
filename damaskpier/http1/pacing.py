"""Limit of the response data that a process hands to the kernel.

The kernel sends what it has in order. On a slow link, requests to other nodes
and the ends of connections wait behind the responses that it has taken.
"""

from __future__ import annotations

import asyncio
import bisect
import collections
import fcntl
import logging
import struct
import termios
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING
import weakref

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = logging.getLogger(__name__)

# Data up to this size is sent at once, and longer data in parts of this size.
PART_BYTES = 16 * 1024
# Limit of the data of all connections that the kernel has not sent or that is
# not acknowledged. A link of 8 Mbit/s takes 0.13 s for it.
MAX_UNSENT_BYTES = 128 * 1024
# The same for one connection, so that others go on while a client is slow.
MAX_CONNECTION_UNSENT_BYTES = 96 * 1024
# Part of the limit that is left to connections whose client takes data quickly
# and of which all is acknowledged. The others would use up the limit where
# their clients read slowly or have slower links than this node.
RESERVED_BYTES = 32 * 1024
# A client is quick if the last data was acknowledged within this time. Behind
# the unreserved part of the limit, a link of 8 Mbit/s takes twice as long.
QUICK_S = 0.05
POLL_INTERVAL_S = 0.005
# Data of which nothing was acknowledged for this time is not counted: it
# waits for a client that does not read or can not be reached.
STALL_TIMEOUT_S = 0.25
# Responses are sent one after the other, because all would be late if they
# shared the link. A response goes first if it would end first on an idle link
# of this rate, so that no short one waits for a much longer one.
TURN_BYTES_PER_S = 1_000_000
# The rate of the link is measured over intervals of this length, and is the
# moving average of the measured rates with this weight.
RATE_INTERVAL_S = 0.1
RATE_WEIGHT = 0.3
# Responses that waited longer than this are logged.
LOGGED_WAIT_S = 0.5

_INT = struct.Struct('i')


class _Pending(NamedTuple):
    """Data that waits for its turn since ``since``, a time of the loop.

    ``size`` is the number of bytes that were written together with it.
    """

    data: memoryview
    size: int
    since: float


class Pacer:
    """Writes the responses of many connections in turn, within a limit.

    Works on the event loop that runs when data is written; see
    :func:`running_pacer`. ``observe_wait`` is called with the time in seconds
    that long data has waited until the kernel took the last part of it.
    """

    def __init__(self) -> None:
        self.observe_wait: Callable[[float], None] | None = None
        # Connections with data that waits, in the order of their turns.
        self._waiting: list[PacedTransport] = []
        # Connections with data in the kernel.
        self._written: dict[PacedTransport, _Unsent] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._rate = _Rate()

    @property
    def pending_bytes(self) -> int:
        """Return how much data waits for its turn."""
        return sum(transport.pending_bytes for transport in self._waiting)

    @property
    def backlog_bytes(self) -> int:
        """Return how much data is on its way or waits for the link.

        Data that waits for a slow client is left out.
        """
        return sum(
            transport.pending_bytes
            for transport in self._waiting
            if not self._waits_for_client(transport)
        ) + sum(unsent.counted for unsent in self._written.values())

    @property
    def bytes_per_s(self) -> float:
        """Return the rate of the link; 0 until it has been measured."""
        return self._rate.per_s

    def add(self, transport: PacedTransport) -> None:
        """Write the data of a connection when it is its turn."""
        if transport not in self._waiting:
            bisect.insort(self._waiting, transport, key=_turn)
        self._write_parts()

    def record_written(self, pending: _Pending) -> None:
        """Record that the kernel has taken the last part of long data."""
        waited_s = asyncio.get_running_loop().time() - pending.since
        if self.observe_wait is not None:
            self.observe_wait(waited_s)
        if waited_s > LOGGED_WAIT_S:
            LOG.info(
                'http: a response of %d bytes waited %d ms for the link; '
                '%d bytes of %d connections wait',
                pending.size,
                waited_s * 1000,
                self.pending_bytes,
                len(self._waiting),
            )

    def remove(self, transport: PacedTransport) -> None:
        """Forget a connection that has been lost."""
        self._written.pop(transport, None)
        if transport in self._waiting:
            self._waiting.remove(transport)

    def _write_parts(self) -> None:
        self._refresh()
        waiting_bytes = self.pending_bytes
        used = sum(unsent.counted for unsent in self._written.values())
        # A transport may be discarded while another one is written to.
        for transport in list(self._waiting):
            used = self._write_response(transport, used)
            if used >= MAX_UNSENT_BYTES or self._is_on_trial(transport, used):
                break
        self._rate.record(
            waiting_bytes - self.pending_bytes,
            is_full=used >= MAX_UNSENT_BYTES - RESERVED_BYTES
            and not all(map(self._waits_for_client, self._waiting)),
        )
        if self._waiting and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                POLL_INTERVAL_S, self._poll
            )

    def _write_response(self, transport: PacedTransport, used: int) -> int:
        """Write as much of a connection's next response as is allowed.

        :param used: unacknowledged data of all connections
        :returns: the same after that
        """
        unsent = self._written.setdefault(transport, _Unsent())
        has_more = transport.has_pending_data()
        while has_more and used < MAX_UNSENT_BYTES and unsent.may_write(used):
            before = unsent.counted
            has_more = transport.write_part()
            unsent.record_write(transport.unsent_bytes())
            used += unsent.counted - before
        if not has_more and transport in self._waiting:
            self._waiting.remove(transport)
            if transport.has_pending_data():
                bisect.insort(self._waiting, transport, key=_turn)
        return used

    def _waits_for_client(self, transport: PacedTransport) -> bool:
        """Return whether a client takes its data more slowly than the link."""
        unsent = self._written.get(transport)
        if unsent is None or not unsent.size:
            return False
        limit = MAX_CONNECTION_UNSENT_BYTES - PART_BYTES
        return not unsent.counted or unsent.size >= limit

    def _is_on_trial(self, transport: PacedTransport, used: int) -> bool:
        """Return whether the connections behind wait for this one.

        The reserved part of the limit would otherwise be shared by all of
        them while the link is full.
        """
        unsent = self._written.get(transport)
        return (
            unsent is not None
            and used >= MAX_UNSENT_BYTES - RESERVED_BYTES
            and transport.has_pending_data()
            and unsent.may_be_quick
        )

    def _poll(self) -> None:
        self._timer = None
        self._write_parts()

    def _refresh(self) -> None:
        for transport, unsent in list(self._written.items()):
            unsent.update(transport.unsent_bytes())
            if not unsent.size and not transport.has_pending_data():
                del self._written[transport]


class PacedTransport:
    """Transport whose long data is written in parts.

    It has the methods of the wrapped transport that a server uses.
    ``pending_bytes`` is the size of the data that waits for its turn.

    :param resume_writing: called when less data than the low-water mark waits
        again, as the method of that name of protocols
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        pacer: Pacer,
        resume_writing: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._pacer = pacer
        self._resume_writing = resume_writing
        self._high_bytes = 0
        self._low_bytes = 0
        self._is_paused = False
        self._ends_after_write = False
        self._pending: collections.deque[_Pending] = collections.deque()
        self.pending_bytes = 0
        self._is_closing = False
        self._fileno = transport.get_extra_info('socket').fileno()

    def write(self, data: bytes) -> None:
        """Write data after all that was written before."""
        if not self._pending and len(data) <= PART_BYTES:
            self._transport.write(data)
            return
        self._pending.append(
            _Pending(
                memoryview(data),
                len(data),
                asyncio.get_running_loop().time(),
            )
        )
        self.pending_bytes += len(data)
        self._is_paused |= self.get_write_buffer_size() > self._high_bytes
        self._pacer.add(self)

    def write_ahead(self, data: bytes) -> bool:
        """Write short data before a response that waits for its turn.

        :returns: False if no response waits, or a part of the next one has
            been written
        """
        if not self._pending:
            return False
        pending = self._pending[0]
        if len(pending.data) < pending.size:
            return False
        self._transport.write(data)
        return True

    @property
    def turn(self) -> float:
        """Return the sort key of the data that waits; the lowest is next."""
        pending = self._pending[0]
        return pending.since + pending.size / TURN_BYTES_PER_S

    def write_part(self) -> bool:
        """Write the next part of the response that is next.

        :returns: whether that response has more data
        """
        pending = self._pending.popleft()
        part, rest = pending.data[:PART_BYTES], pending.data[PART_BYTES:]
        self.pending_bytes -= len(part)
        self._transport.write(part)
        if rest:
            self._pending.appendleft(pending._replace(data=rest))
        else:
            self._pacer.record_written(pending)
        if not self._pending:
            self._end_output()
        if self._is_paused and self.get_write_buffer_size() <= self._low_bytes:
            self._is_paused = False
            self._resume_writing()
        return bool(rest)

    def _end_output(self) -> None:
        if self._is_closing:
            self._transport.close()
        elif self._ends_after_write and not self._transport.is_closing():
            try:
                self._transport.write_eof()
            except OSError as exc:
                # The pacer still has the data of other connections to write.
                LOG.debug('http: the client has reset its connection: %s', exc)
                self._transport.close()

    def unsent_bytes(self) -> int:
        """Return how much written data is not acknowledged by the client."""
        size = self._transport.get_write_buffer_size()
        if self._transport.is_closing():
            # The socket may be closed, and its number in use again.
            return size
        try:
            return size + unacknowledged_bytes(self._fileno)
        except OSError:
            return size

    def has_pending_data(self) -> bool:
        """Return whether data waits for its turn."""
        return bool(self._pending)

    def get_write_buffer_size(self) -> int:
        """Return how much data the kernel has not taken."""
        return self.pending_bytes + self._transport.get_write_buffer_size()

    def is_closing(self) -> bool:
        """Return whether the transport is closed or about to be."""
        return self._is_closing or self._transport.is_closing()

    def set_write_buffer_limits(self, high: int, low: int) -> None:
        """Set the marks in bytes that decide when writing is resumed."""
        self._high_bytes = high
        self._low_bytes = low
        self._transport.set_write_buffer_limits(high, low)

    def close(self) -> None:
        """Close the transport when all data has been written."""
        self._is_closing = True
        if not self._pending:
            self._transport.close()

    def write_eof(self) -> None:
        """Close the side for writing when all data has been written.

        :raises OSError: if the client has closed the connection
        """
        self._ends_after_write = True
        if not self._pending:
            self._transport.write_eof()

    def abort(self) -> None:
        """Close the transport at once and discard the data."""
        self.discard()
        self._transport.abort()

    def discard(self) -> None:
        """Discard the data, because the connection has been lost."""
        self._pending.clear()
        self.pending_bytes = 0
        self._pacer.remove(self)

    def get_extra_info(self, name: str) -> Any:
        """Return information of the wrapped transport."""
        return self._transport.get_extra_info(name)

    def pause_reading(self) -> None:
        """Pause the wrapped transport."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume the wrapped transport."""
        self._transport.resume_reading()


class _Unsent:
    """Unacknowledged data of a connection."""

    __slots__ = ('size', '_changed_at', '_written_at', '_is_quick')

    def __init__(self) -> None:
        self.size = 0
        self._changed_at = asyncio.get_running_loop().time()
        self._written_at = self._changed_at
        self._is_quick = True

    def record_write(self, size: int) -> None:
        """Set the size after more data has been written."""
        self._written_at = asyncio.get_running_loop().time()
        self._is_quick |= not size
        self.update(size)

    def update(self, size: int) -> None:
        """Set the size, which changes when data is sent or written."""
        if size == self.size:
            return
        self.size = size
        self._changed_at = asyncio.get_running_loop().time()
        if not size:
            self._is_quick = self._changed_at - self._written_at <= QUICK_S

    def may_write(self, used: int) -> bool:
        """Return whether more data of the connection may be written.

        :param used: unacknowledged data of all connections, below the limit
        """
        if used >= MAX_UNSENT_BYTES - RESERVED_BYTES:
            return self._is_quick and not self.size
        return self.size < MAX_CONNECTION_UNSENT_BYTES

    @property
    def may_be_quick(self) -> bool:
        """Return whether the client still has time to acknowledge the data."""
        now = asyncio.get_running_loop().time()
        return (
            self._is_quick
            and 0 < self.size < MAX_CONNECTION_UNSENT_BYTES
            and now - self._written_at <= QUICK_S
        )

    @property
    def counted(self) -> int:
        """Return the size, or 0 if the client acknowledges nothing."""
        now = asyncio.get_running_loop().time()
        if now - self._changed_at > STALL_TIMEOUT_S:
            return 0
        return self.size


class _Rate:
    """Rate at which a full link takes the data of all connections.

    ``per_s`` is in bytes per second, 0 until it has been measured.
    """

    def __init__(self) -> None:
        self.per_s = 0.0
        self._is_measuring = False
        self._began = 0.0
        self._bytes = 0

    def record(self, size: int, *, is_full: bool) -> None:
        """Record that data has been written.

        :param size: number of bytes since the last call
        :param is_full: whether more data waits for the link
        """
        now = asyncio.get_running_loop().time()
        if not self._is_measuring or not is_full:
            # What fills the kernel's buffer says nothing about the link.
            self._is_measuring = is_full
            self._began, self._bytes = now, 0
            return
        self._bytes += size
        took_s = now - self._began
        if took_s < RATE_INTERVAL_S:
            return
        # Data of clients that have just stalled is counted for a while.
        if self._bytes:
            weight = RATE_WEIGHT if self.per_s else 1.0
            self.per_s += weight * (self._bytes / took_s - self.per_s)
        self._began, self._bytes = now, 0


def _turn(transport: PacedTransport) -> float:
    return transport.turn


_pacers: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, Pacer] = (
    weakref.WeakKeyDictionary()
)


def unacknowledged_bytes(fileno: int) -> int:
    """Return how much data of the kernel is not sent or not acknowledged.

    :param fileno: number of the socket
    :raises OSError: if it is not a connected socket
    """
    return _INT.unpack(fcntl.ioctl(fileno, termios.TIOCOUTQ, bytes(4)))[0]


def running_pacer() -> Pacer:
    """Return the pacer that all servers on the running event loop share."""
    loop = asyncio.get_running_loop()
    pacer = _pacers.get(loop)
    if pacer is None:
        pacer = _pacers[loop] = Pacer()
    return pacer
