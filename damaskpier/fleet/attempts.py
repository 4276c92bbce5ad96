"""Attempts of other nodes on the local worker, found again by their token.

The connection that carried an attempt may go silent while the worker runs it.
The caller's node then asks for the attempt on another connection.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import logging
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.fleet import peer_call
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

LOG = logging.getLogger(__name__)

# An ended attempt can be asked for during this time, which is longer than
# callers wait. Its reply is dropped earlier if all replies exceed MAX_BYTES.
KEEP_S = 60.0
MAX_BYTES = 4 * 1024 * 1024
MAX_ENDED_COUNT = 20_000
# Upper bound of the time between the moment at which a node computes the age
# of an attempt and the moment at which the question for it is read: it has one
# timeout to connect and one to be answered.
MAX_QUESTION_DELAY_S = 2 * peer_call.QUESTION_TIMEOUT_S + 1.0

_NOT_RECEIVED = errors.Refusal(
    errors.CALL_CONNECT, 'the attempt was not received and is refused now'
)
_CANCELLED = errors.Refusal(
    errors.CALL_UNKNOWN,
    'the attempt was cancelled by its sender',
    errors.RunState.UNKNOWN,
)
_TOO_LATE = errors.Refusal(
    errors.CALL_CONNECT, 'the attempt was reported as not received before'
)


class _Running:
    """Attempt that runs, and the number of connections that wait for it."""

    __slots__ = ('task', 'waiting')

    def __init__(self, task: asyncio.Task[messages.Reply]) -> None:
        self.task = task
        self.waiting = 0


class _Ended(NamedTuple):
    """Reply of an ended attempt, with the time of its end.

    ``reply`` is None if the attempt was cancelled or its reply was dropped.
    """

    at: float
    reply: messages.Reply | None


class Attempts:
    """Runs attempts and keeps their replies for other connections.

    An attempt is cancelled when no connection waits for it any more.

    :param call: runs a request on the local worker
    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        call: Callable[[messages.Request], Awaitable[messages.Reply]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._call = call
        self._clock = clock
        self._running: dict[str, _Running] = {}
        self._ended: collections.OrderedDict[str, _Ended] = (
            collections.OrderedDict()
        )
        # Attempts of which the body is still to arrive.
        self._arriving: set[str] = set()
        # Tokens of the ended attempts whose replies have a body.
        self._with_body: collections.deque[str] = collections.deque()
        self._ended_bytes = 0
        # Every attempt that was sent later than this has a record if it was
        # received.
        self._complete_since = clock()

    def begin_arrival(self, token: str) -> Callable[[], None]:
        """Record that an attempt is being received.

        :returns: function to call when it has arrived, or will not
        """
        self._arriving.add(token)
        return functools.partial(self._arriving.discard, token)

    def is_arriving(self, token: str) -> bool:
        """Return whether an attempt is being received."""
        return token in self._arriving

    async def run(
        self, token: str, request: messages.Request
    ) -> messages.Reply:
        """Run an attempt on the local worker.

        :param token: identifies the attempt among those of all nodes
        """
        if token in self._ended:
            return messages.Reply(_TOO_LATE)
        running = self._running.get(token)
        if running is None:
            running = self._running[token] = _Running(
                asyncio.ensure_future(self._call(request))
            )
        return await self._wait(token, running)

    async def find(self, token: str, age_s: float) -> messages.Reply | None:
        """Wait for the reply of an attempt that another connection carried.

        An attempt that has not been received is refused if it arrives later,
        so that it is certain not to run.

        :param age_s: time since the attempt was sent, in seconds
        :returns: the reply; None if it is not known any more, or if it is
            not certain that the attempt was not received
        """
        running = self._running.get(token)
        if running is not None:
            return await self._wait(token, running)
        ended = self._ended.get(token)
        if ended is not None:
            # The load has changed since.
            return ended.reply and ended.reply._replace(load=None)
        self._drop_expired()
        now = self._clock()
        sent_at = now - age_s
        oldest = max(self._complete_since, now - KEEP_S)
        if sent_at < oldest + MAX_QUESTION_DELAY_S:
            return None
        reply = messages.Reply(_NOT_RECEIVED)
        self._record_end(token, reply)
        return reply

    def cancel(self, token: str) -> None:
        """Cancel an attempt that its sender has given up.

        Its connection may be silent for good, so that its end does not arrive.
        An attempt that has not been received is refused if it arrives later.
        """
        running = self._running.get(token)
        if running is not None:
            running.task.cancel()
            self._end(token, None)
        elif token not in self._ended:
            self._record_end(token, messages.Reply(_NOT_RECEIVED))

    async def _wait(self, token: str, running: _Running) -> messages.Reply:
        running.waiting += 1
        try:
            reply = await asyncio.shield(running.task)
        except asyncio.CancelledError:
            running.waiting -= 1
            if not asyncio.current_task().cancelling():
                # Only the attempt has been cancelled.
                return messages.Reply(_CANCELLED)
            if _is_successful(running.task):
                self._end(token, running.task.result())
            elif not running.waiting:
                running.task.cancel()
                self._end(token, None)
            raise
        except Exception:
            self._end(token, None)
            raise
        self._end(token, reply)
        return reply

    def _end(self, token: str, reply: messages.Reply | None) -> None:
        if self._running.pop(token, None) is not None:
            self._record_end(token, reply)

    def _record_end(self, token: str, reply: messages.Reply | None) -> None:
        self._ended[token] = _Ended(self._clock(), reply)
        self._drop_expired()
        size = _body_size(reply)
        if size:
            self._ended_bytes += size
            self._with_body.append(token)
        while self._ended_bytes > MAX_BYTES:
            self._drop_reply(self._with_body.popleft())

    def _drop_expired(self) -> None:
        oldest = self._clock() - KEEP_S
        while self._ended:
            token, ended = next(iter(self._ended.items()))
            is_over_limit = len(self._ended) > MAX_ENDED_COUNT
            if ended.at >= oldest and not is_over_limit:
                return
            if is_over_limit:
                self._complete_since = max(self._complete_since, ended.at)
            if self._with_body and self._with_body[0] == token:
                self._drop_reply(self._with_body.popleft())
            del self._ended[token]

    def _drop_reply(self, token: str) -> None:
        """Drop the body of an ended attempt, but not its record."""
        ended = self._ended[token]
        self._ended_bytes -= _body_size(ended.reply)
        self._ended[token] = ended._replace(reply=None)


def _is_successful(task: asyncio.Task[messages.Reply]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


def _body_size(reply: messages.Reply | None) -> int:
    if reply is None or isinstance(reply.result, errors.Refusal):
        return 0
    return len(reply.result.body)
