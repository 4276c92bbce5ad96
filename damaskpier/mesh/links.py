"""One end of an Attach stream, with its send queue and its counters."""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import grpclib.exceptions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier.mesh import model

LOG = logging.getLogger(__name__)

# A peer with a longer send queue is disconnected and has to attach again.
MAX_QUEUED_MESSAGES = 2000
# Sizes of the gRPC prefix and of the HTTP/2 frame header of each message.
FRAMING_BYTES = 5 + 9

# Reason to close a stream whose peer sent nothing for the silence timeout.
REASON_UNRESPONSIVE = 'silent'

STREAM_ERRORS = (
    OSError,
    asyncio.TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
)


def close_connection(stream: Any) -> None:
    """Close the connection of a server's stream after its pending writes.

    A child opens a separate connection for its stream. grpclib only ends
    the stream, and when a server stops, not even that reaches the child,
    which would then detect the loss only by missing heartbeats.
    """
    stream._stream.connection.close()


class Count(NamedTuple):
    """Number of messages of one kind, and their bytes with framing."""

    messages: int
    size: int


class Counters:
    """Count the control messages of a node by direction and kind."""

    def __init__(self) -> None:
        self.sent: dict[str, Count] = {}
        self.received: dict[str, Count] = {}

    def record(self, counts: dict[str, Count], msg: Any) -> None:
        """Count a message under the name of its kind.

        :param counts: :attr:`sent` or :attr:`received`
        """
        kind = msg.WhichOneof('kind') or 'none'
        old = counts.get(kind, Count(0, 0))
        counts[kind] = Count(
            old.messages + 1, old.size + msg.ByteSize() + FRAMING_BYTES
        )

    def total_bytes(self) -> tuple[int, int]:
        """Return the numbers of bytes sent and received."""
        return (
            sum(count.size for count in self.sent.values()),
            sum(count.size for count in self.received.values()),
        )


class Link:
    """Send and receive the messages of one stream.

    ``close_reason`` is empty while the link is open. ``received_at`` is the
    time of the last message from the peer.

    :param peer: record of the other node
    :param clock: returns the monotonic time in seconds
    """

    def __init__(
        self,
        peer: model.NodeRecord,
        counters: Counters,
        clock: Callable[[], float],
    ) -> None:
        self.peer = peer
        self.close_reason = ''
        self._counters = counters
        self._clock = clock
        self._queue: collections.deque[Any] = collections.deque()
        self._wake = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()
        self._task: asyncio.Task[Any] | None = None
        self.received_at = clock()

    def send(self, msg: Any) -> None:
        """Queue a message; close the link if the queue is full."""
        if self.close_reason:
            return
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self.close('does not keep up')
            return
        self._queue.append(msg)
        self._drained.clear()
        self._wake.set()

    def close(self, reason: str) -> None:
        """Close the link, drop its queue and cancel its reader."""
        if self.close_reason:
            return
        self.close_reason = reason
        self._queue.clear()
        self._wake.set()
        self._drained.set()
        if self._task is not None:
            self._task.cancel()

    async def wait_drained(self, timeout: float) -> None:
        """Wait until the queue has been sent.

        :param timeout: longest time to wait in seconds
        """
        try:
            async with asyncio.timeout(timeout):
                await self._drained.wait()
        except TimeoutError:
            LOG.info(
                'mesh: timeout while sending the last messages to %s',
                self.peer.node_id,
            )

    def silent_for_s(self) -> float:
        """Return the seconds since the last message from the peer."""
        return self._clock() - self.received_at

    async def exchange_messages(
        self, stream: Any, handle: Callable[[Any], None]
    ) -> str:
        """Send and receive messages until either side ends the stream.

        :param handle: called with each received message
        :returns: the reason of the end
        """
        writer = asyncio.create_task(self._write(stream))
        self._task = asyncio.create_task(self._read(stream, handle))
        try:
            await asyncio.wait(
                (writer, self._task), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in (writer, self._task):
                task.cancel()
            await asyncio.gather(writer, self._task, return_exceptions=True)
            self.close('stream ended')
        return self.close_reason

    async def _write(self, stream: Any) -> None:
        try:
            while not self.close_reason:
                while self._queue:
                    msg = self._queue.popleft()
                    await stream.send_message(msg)
                    self._counters.record(self._counters.sent, msg)
                self._drained.set()
                self._wake.clear()
                await self._wake.wait()
        except STREAM_ERRORS as exc:
            LOG.debug('mesh: sending to %s failed: %r', self.peer.node_id, exc)

    async def _read(self, stream: Any, handle: Callable[[Any], None]) -> None:
        try:
            while (msg := await stream.recv_message()) is not None:
                self.received_at = self._clock()
                self._counters.record(self._counters.received, msg)
                handle(msg)
        except STREAM_ERRORS as exc:
            LOG.debug(
                'mesh: receiving from %s failed: %r', self.peer.node_id, exc
            )
        except Exception:
            LOG.exception(
                'mesh: handling a message from %s failed', self.peer.node_id
            )
