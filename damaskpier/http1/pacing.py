"""Limit of the response data that a process hands to the kernel.

The kernel sends what it has in order. On a slow link, requests to other nodes
and the ends of connections wait behind the responses that it has taken.
"""

from __future__ import annotations

import asyncio
import collections
import fcntl
import struct
import termios
from typing import Any
from typing import TYPE_CHECKING
import weakref

if TYPE_CHECKING:
    from collections.abc import Callable

# Data up to this size is sent at once, and longer data in parts of this size.
PART_BYTES = 16 * 1024
# Limit of the data of all connections that the kernel has not sent or that is
# not acknowledged. A link of 8 Mbit/s takes 0.13 s for it.
MAX_UNSENT_BYTES = 128 * 1024
# The same for one connection, so that others go on while a client is slow.
MAX_CONNECTION_UNSENT_BYTES = 96 * 1024
POLL_INTERVAL_S = 0.005
# Data of which nothing was acknowledged for this time is not counted: it
# waits for a client that does not read or can not be reached.
STALL_TIMEOUT_S = 0.25
# The rate of the link is measured over intervals of this length, and is the
# moving average of the rates measured with this weight.
RATE_INTERVAL_S = 0.1
RATE_WEIGHT = 0.3
# Limit of the expected wait, for a link that sends almost nothing.
MAX_EXPECTED_WAIT_S = 10.0

_INT = struct.Struct('i')


class Pacer:
    """Writes the data of many connections in turn, within a limit.

    Works on the event loop that runs when data is written; see
    :func:`running_pacer`.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[PacedTransport] = collections.deque()
        # Connections with data in the kernel.
        self._written: dict[PacedTransport, _Unsent] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._rate = _Rate()

    @property
    def pending_bytes(self) -> int:
        """Return how much data waits for its turn."""
        return sum(transport.pending_bytes for transport in self._waiting)

    @property
    def expected_wait_s(self) -> float:
        """Return how long a new response would wait for the link, in seconds.

        It is 0 unless data of all connections waits for the link, and until
        the rate of the link has been measured.
        """
        if not self._rate.is_measuring or not self._rate.per_s:
            return 0.0
        # Clients that take nothing do not use the link.
        backlog = sum(
            transport.pending_bytes
            for transport in self._waiting
            if not self._is_stalled(transport)
        ) + sum(unsent.counted for unsent in self._written.values())
        return min(backlog / self._rate.per_s, MAX_EXPECTED_WAIT_S)

    def add(self, transport: PacedTransport) -> None:
        """Write the data of a connection when it is its turn."""
        if transport not in self._waiting:
            self._waiting.append(transport)
        self._write_parts()

    def remove(self, transport: PacedTransport) -> None:
        """Forget a connection that has been lost."""
        self._written.pop(transport, None)
        if transport in self._waiting:
            self._waiting.remove(transport)

    def _is_stalled(self, transport: PacedTransport) -> bool:
        unsent = self._written.get(transport)
        return unsent is not None and unsent.size > 0 and not unsent.counted

    def _write_parts(self) -> None:
        self._refresh()
        written = 0
        used = sum(unsent.counted for unsent in self._written.values())
        blocked = []
        while self._waiting and used < MAX_UNSENT_BYTES:
            transport = self._waiting.popleft()
            unsent = self._written.setdefault(transport, _Unsent())
            if unsent.size >= MAX_CONNECTION_UNSENT_BYTES:
                blocked.append(transport)
                continue
            before = unsent.counted
            pending_bytes = transport.pending_bytes
            if transport.write_part():
                self._waiting.append(transport)
            unsent.update(transport.unsent_bytes())
            used += unsent.counted - before
            written += pending_bytes - transport.pending_bytes
        # One of them may have been discarded while another one was written.
        self._waiting.extend(
            transport for transport in blocked if transport.has_pending_data()
        )
        # Below the limit, data waits for single slow clients only.
        self._rate.record(
            written, bool(self._waiting) and used >= MAX_UNSENT_BYTES
        )
        if self._waiting and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                POLL_INTERVAL_S, self._poll
            )

    def _poll(self) -> None:
        self._timer = None
        self._write_parts()

    def _refresh(self) -> None:
        for transport, unsent in list(self._written.items()):
            unsent.update(transport.unsent_bytes())
            if not unsent.size:
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
        self._pending: collections.deque[memoryview] = collections.deque()
        self.pending_bytes = 0
        self._is_closing = False
        self._fileno = transport.get_extra_info('socket').fileno()

    def write(self, data: bytes) -> None:
        """Write data after all that was written before."""
        if not self._pending and len(data) <= PART_BYTES:
            self._transport.write(data)
            return
        self._pending.append(memoryview(data))
        self.pending_bytes += len(data)
        self._is_paused |= self.get_write_buffer_size() > self._high_bytes
        self._pacer.add(self)

    def write_part(self) -> bool:
        """Write the next part of the data.

        :returns: whether there is more data
        """
        data = self._pending.popleft()
        part, rest = data[:PART_BYTES], data[PART_BYTES:]
        self.pending_bytes -= len(part)
        self._transport.write(part)
        if rest:
            self._pending.appendleft(rest)
        elif not self._pending:
            self._end_output()
        if self._is_paused and self.get_write_buffer_size() <= self._low_bytes:
            self._is_paused = False
            self._resume_writing()
        return bool(self._pending)

    def _end_output(self) -> None:
        if self._is_closing:
            self._transport.close()
        elif self._ends_after_write and not self._transport.is_closing():
            self._transport.write_eof()

    def unsent_bytes(self) -> int:
        """Return how much written data is not acknowledged by the client."""
        size = self._transport.get_write_buffer_size()
        if self._transport.is_closing():
            # The socket may be closed, and its number in use again.
            return size
        try:
            answer = fcntl.ioctl(self._fileno, termios.TIOCOUTQ, bytes(4))
        except OSError:
            return size
        return size + _INT.unpack(answer)[0]

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

    __slots__ = ('size', '_changed_at')

    def __init__(self) -> None:
        self.size = 0
        self._changed_at = asyncio.get_running_loop().time()

    def update(self, size: int) -> None:
        """Set the size, which changes when data is sent or written."""
        if size != self.size:
            self.size = size
            self._changed_at = asyncio.get_running_loop().time()

    @property
    def counted(self) -> int:
        """Return the size, or 0 if the client acknowledges nothing."""
        now = asyncio.get_running_loop().time()
        if now - self._changed_at > STALL_TIMEOUT_S:
            return 0
        return self.size


class _Rate:
    """Rate at which a full link sends the data of all connections.

    ``per_s`` is in bytes per second, 0 until it has been measured.
    ``is_measuring`` is set while the link is full.
    """

    def __init__(self) -> None:
        self.per_s = 0.0
        self.is_measuring = False
        self._began = 0.0
        self._bytes = 0

    def record(self, size: int, is_full: bool) -> None:
        """Record that data has been written.

        :param size: number of bytes since the last call
        :param is_full: whether more data waits for the link
        """
        now = asyncio.get_running_loop().time()
        if not self.is_measuring or not is_full:
            # What fills the kernel's buffer says nothing about the link.
            self.is_measuring = is_full
            self._began, self._bytes = now, 0
            return
        self._bytes += size
        took_s = now - self._began
        if took_s < RATE_INTERVAL_S:
            return
        # Data of clients that have just stalled is counted for a while.
        if self._bytes:
            per_s = self._bytes / took_s
            weight = RATE_WEIGHT if self.per_s else 1.0
            self.per_s += weight * (per_s - self.per_s)
        self._began, self._bytes = now, 0


_pacers: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, Pacer] = (
    weakref.WeakKeyDictionary()
)


def running_pacer() -> Pacer:
    """Return the pacer that all servers on the running event loop share."""
    return _pacers.setdefault(asyncio.get_running_loop(), Pacer())
