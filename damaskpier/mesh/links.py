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

# A peer that is this far behind is cut off and has to attach again.
MAX_QUEUED_MESSAGES = 2000
# gRPC prefix and HTTP/2 frame header of each message.
FRAME_BYTES = 5 + 9

# Reason of the end of a stream after missing heartbeats.
SILENT = 'silent'

LOST = (
    OSError,
    asyncio.TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
)


def close_connection(stream: Any) -> None:
    """Close the connection of a server's stream after what is being sent.

    A child opens a connection of its own for its stream. grpclib only ends
    the stream, and at the stop of a server not even that reaches the child,
    which would notice the loss by missing heartbeats alone.
    """
    stream._stream.connection.close()


class Count(NamedTuple):
    """Messages of one kind and their bytes with framing."""

    messages: int
    size: int


class Counters:
    """Counts the control messages of a node by direction and kind."""

    def __init__(self) -> None:
        self.sent: dict[str, Count] = {}
        self.received: dict[str, Count] = {}

    def add(self, counts: dict[str, Count], msg: Any) -> None:
        """Count a message under the name of its kind."""
        kind = msg.WhichOneof('kind') or 'none'
        old = counts.get(kind, Count(0, 0))
        counts[kind] = Count(
            old.messages + 1, old.size + msg.ByteSize() + FRAME_BYTES
        )

    def total_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received."""
        return (
            sum(count.size for count in self.sent.values()),
            sum(count.size for count in self.received.values()),
        )


class Link:
    """Messages from and to one peer.

    :param peer: record of the other node
    :param clock: monotonic time in seconds
    """

    def __init__(
        self,
        peer: model.NodeRecord,
        counters: Counters,
        clock: Callable[[], float],
    ) -> None:
        self.peer = peer
        self.closed = ''
        self._counters = counters
        self._clock = clock
        self._queue: collections.deque[Any] = collections.deque()
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._task: asyncio.Task[Any] | None = None
        self.received_at = clock()

    def send(self, msg: Any) -> None:
        """Queue a message; close the link if too many are waiting."""
        if self.closed:
            return
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self.close('does not keep up')
            return
        self._queue.append(msg)
        self._idle.clear()
        self._wake.set()

    def close(self, reason: str) -> None:
        """End the link; its task ends soon after."""
        if self.closed:
            return
        self.closed = reason
        self._queue.clear()
        self._wake.set()
        self._idle.set()
        if self._task is not None:
            self._task.cancel()

    async def drained(self, timeout: float) -> None:
        """Wait until the queue has been sent, for a limited time."""
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            LOG.info('mesh: %s takes no messages', self.peer.node_id)

    def silent_for(self) -> float:
        """Return the seconds since the last message of the peer."""
        return self._clock() - self.received_at

    async def pump(self, stream: Any, handle: Callable[[Any], None]) -> str:
        """Send and receive until either side ends; return the reason.

        :param handle: called with each received message
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
        return self.closed

    async def _write(self, stream: Any) -> None:
        try:
            while not self.closed:
                while self._queue:
                    msg = self._queue.popleft()
                    await stream.send_message(msg)
                    self._counters.add(self._counters.sent, msg)
                self._idle.set()
                self._wake.clear()
                await self._wake.wait()
        except LOST as exc:
            LOG.debug('mesh: sending to %s: %r', self.peer.node_id, exc)

    async def _read(self, stream: Any, handle: Callable[[Any], None]) -> None:
        try:
            while (msg := await stream.recv_message()) is not None:
                self.received_at = self._clock()
                self._counters.add(self._counters.received, msg)
                handle(msg)
        except LOST as exc:
            LOG.debug('mesh: receiving from %s: %r', self.peer.node_id, exc)
        except Exception:
            LOG.exception('mesh: a message of %s failed', self.peer.node_id)
