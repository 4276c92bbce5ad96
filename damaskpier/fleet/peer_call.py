"""One attempt on the worker of another node, over one or more connections."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.http1 import client
from damaskpier.http1 import messages as http_messages
from damaskpier import logs
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = logs.get_logger(__name__)

# The node asks for an attempt whose connection is silent for this time; a
# running attempt sends about three interim responses in it.
SILENCE_TIMEOUT_S = 0.6
# An attempt counts as stalled when nothing was heard for this time, neither
# on its connection nor on that of the question.
STALL_TIMEOUT_S = 0.7
# A request waits for a node that may have lost its power only for this part of
# the remaining time, so that another attempt can still end in time. A call of
# an upstream has less than a second, and holds a slot of that upstream while
# it waits.
STALL_PART_OF_REMAINING = 0.4
CONNECT_PART_OF_REMAINING = 0.25
# The first interim response arrives within 0.2 s, and the next ones at that
# interval.
MIN_STALL_TIMEOUT_S = 0.3
# Five round trips between regions.
MIN_CONNECT_TIMEOUT_S = 0.1
# A question is given up after this time without data. It is long, because a
# new connection takes long where a full link is the cause.
QUESTION_TIMEOUT_S = 2.0
# Pause between two questions for an attempt.
QUESTION_INTERVAL_S = 0.2
# When the connection of the attempt has been lost, the question is given up
# after this time without data.
LAST_QUESTION_S = 0.6


class Found(NamedTuple):
    """Answer to a question; ``reply`` is None without a record."""

    reply: messages.Reply | None


class Exchange(NamedTuple):
    """Encoded messages of an attempt and the decoder of its replies.

    ``question`` returns the encoded question for the attempt, given its age
    in seconds. ``decode_found`` returns None for a response that does not
    answer the question. ``cancellation`` tells the other node that nobody
    waits for the attempt any more.
    """

    request: bytes
    question: Callable[[float], bytes]
    cancellation: bytes
    decode: Callable[[http_messages.Response], messages.Reply]
    decode_found: Callable[[http_messages.Response], Found | None]


class Observer(NamedTuple):
    """Functions that are called once, while an attempt goes on.

    ``on_silence`` is called when its connection is silent, ``on_stall`` when
    the other node can not be reached on another connection either.
    """

    on_silence: Callable[[], None]
    on_stall: Callable[[], None]


class PeerCall:
    """One attempt on the worker of another node.

    Silence does not end the attempt, because the worker may be at work behind
    a link that is full or a connection that has been lost without a reset.
    After a silence, the reply may also come over another connection.
    ``question_bytes`` counts the bytes that asked for it there.

    :param pool: connections to the other node
    :param name: names the attempt in log lines
    :param deadline: time of the loop's clock in seconds
    :param is_head: whether the request is a ``HEAD`` request
    :param observer: learns of silence
    """

    def __init__(
        self,
        pool: client.Pool,
        exchange: Exchange,
        name: str,
        deadline: float,
        *,
        is_head: bool = False,
        observer: Observer | None = None,
    ) -> None:
        self._pool = pool
        self._exchange = exchange
        self._name = name
        self._deadline = deadline
        self._is_head = is_head
        self._observer = observer
        self._activity = client.Activity(0.0)
        # Done when the connection of the attempt has been silent.
        self._silent = asyncio.get_running_loop().create_future()
        self._has_stalled = False
        self._stall_timer: asyncio.TimerHandle | None = None
        self._stall_timeout_s = STALL_TIMEOUT_S
        self._sent_at = 0.0
        self.question_bytes = 0

    async def run(self) -> messages.Reply:
        """Send the request and return the reply, from either connection."""
        self._sent_at = _time_with_suspension()
        self._activity.heard_at = asyncio.get_running_loop().time()
        self._set_stall_timeout()
        direct = asyncio.ensure_future(self._send())
        found: asyncio.Task[messages.Reply | None] | None = None
        try:
            await asyncio.wait(
                (direct, self._silent), return_when=asyncio.FIRST_COMPLETED
            )
            if self._silent.done():
                # Few attempts are silent, and the others need no task for it.
                found = asyncio.ensure_future(self._find())
                await asyncio.wait(
                    (direct, found), return_when=asyncio.FIRST_COMPLETED
                )
                if found.done() and found.result() is None:
                    await asyncio.wait((direct,))
                if not direct.done():
                    return found.result()
            outcome = direct.result()
            if isinstance(outcome, http_messages.Response):
                return self._exchange.decode(outcome)
            if found is not None:
                if not outcome.timed_out:
                    await self._wait_while_heard(found)
                if found.done() and found.result() is not None:
                    return found.result()
            return messages.Reply(refusal_from_failure(outcome))
        finally:
            direct.cancel()
            if found is not None:
                found.cancel()
            if self._stall_timer is not None:
                self._stall_timer.cancel()

    @property
    def request_bytes(self) -> int:
        """Return the size of the encoded request."""
        return len(self._exchange.request)

    @property
    def received_bytes(self) -> int:
        """Return the bytes that were received, interim responses included."""
        return self._activity.received_bytes

    def is_silent(self) -> bool:
        """Return whether the connection of the attempt has been silent."""
        return self._silent.done()

    async def cancel_attempt(self) -> None:
        """Tell the other node that the attempt has been given up.

        The end of a connection that leads nowhere does not arrive there.
        """
        loop = asyncio.get_running_loop()
        outcome = await self._request_anew(self._exchange.cancellation)
        while (
            isinstance(outcome, http_messages.Failure)
            and loop.time() < self._deadline
        ):
            await asyncio.sleep(QUESTION_INTERVAL_S)
            outcome = await self._request_anew(self._exchange.cancellation)
        LOG.info(
            'peers: %s: given up: %s',
            self._name,
            outcome.reason
            if isinstance(outcome, http_messages.Failure)
            else f'status {outcome.status}',
        )

    def _set_stall_timeout(self) -> None:
        # The question for the attempt starts later, at the same time for all:
        # it costs a connection and a check of the node.
        remaining_s = self._deadline - self._activity.heard_at
        self._stall_timeout_s = min(
            STALL_TIMEOUT_S,
            max(MIN_STALL_TIMEOUT_S, STALL_PART_OF_REMAINING * remaining_s),
        )
        if self._stall_timeout_s < SILENCE_TIMEOUT_S:
            self._check_stall()

    async def _send(self) -> http_messages.Response | http_messages.Failure:
        remaining_s = self._deadline - asyncio.get_running_loop().time()
        return await self._pool.request(
            self._exchange.request,
            client.Options(
                deadline=self._deadline,
                is_head=self._is_head,
                silence_timeout_s=SILENCE_TIMEOUT_S,
                on_silence=self._note_silence,
                activity=self._activity,
                connect_timeout_s=max(
                    MIN_CONNECT_TIMEOUT_S,
                    CONNECT_PART_OF_REMAINING * remaining_s,
                ),
            ),
        )

    def _note_silence(self, reason: str) -> None:
        LOG.info('peers: %s: %s', self._name, reason)
        if not self._silent.done():
            self._silent.set_result(None)
        if self._observer is not None:
            self._observer.on_silence()
        if self._stall_timer is None:
            self._check_stall()

    def _check_stall(self) -> None:
        loop = asyncio.get_running_loop()
        stalls_at = self._activity.heard_at + self._stall_timeout_s
        if loop.time() >= stalls_at:
            self._note_stall()
        else:
            self._stall_timer = loop.call_at(stalls_at, self._check_stall)

    async def _wait_while_heard(
        self, found: asyncio.Future[messages.Reply | None]
    ) -> None:
        """Wait for the answer to the question as long as data arrives.

        The connection of the attempt has been lost.
        """
        loop = asyncio.get_running_loop()
        lost_at = loop.time()
        while not found.done():
            heard_at = max(lost_at, self._activity.heard_at)
            until = min(self._deadline, heard_at + LAST_QUESTION_S)
            if loop.time() >= until:
                return
            await asyncio.wait((found,), timeout=until - loop.time())

    async def _find(self) -> messages.Reply | None:
        """Ask for the attempt until there is an answer.

        :returns: None if the other node has no record of the attempt, so that
            its connection and the deadline decide
        """
        found = await self._ask()
        while found is None:
            await asyncio.sleep(QUESTION_INTERVAL_S)
            found = await self._ask()
        self._pool.record_data(asyncio.get_running_loop().time())
        LOG.info(
            'peers: %s: asked for on another connection: %s after %d ms',
            self._name,
            'no record' if found.reply is None else _describe(found.reply),
            (_time_with_suspension() - self._sent_at) * 1000,
        )
        if found.reply is None:
            self._note_stall()
        return found.reply

    async def _ask(self) -> Found | None:
        age_s = _time_with_suspension() - self._sent_at
        question = self._exchange.question(age_s)
        self.question_bytes += len(question)
        outcome = await self._request_anew(question)
        if isinstance(outcome, http_messages.Response):
            found = self._exchange.decode_found(outcome)
            if found is not None:
                return found
            reason = f'status {outcome.status}'
        else:
            reason = outcome.reason
        LOG.info(
            'peers: %s: no answer on another connection: %s',
            self._name,
            reason,
        )
        return None

    async def _request_anew(
        self, data: bytes
    ) -> http_messages.Response | http_messages.Failure:
        """Send a message on a new connection."""
        pool = client.Pool(
            *self._pool.address,
            max_idle=0,
            connect_timeout_s=QUESTION_TIMEOUT_S,
        )
        return await pool.request(
            data,
            client.Options(
                deadline=self._deadline,
                silence_timeout_s=QUESTION_TIMEOUT_S,
                activity=self._activity,
            ),
        )

    def _note_stall(self) -> None:
        if self._observer is not None and not self._has_stalled:
            self._observer.on_stall()
        self._has_stalled = True


def refusal_from_failure(failure: http_messages.Failure) -> errors.Refusal:
    """Return the refusal for a request that got no response."""
    if not failure.sent:
        return errors.Refusal(errors.CALL_CONNECT, failure.reason)
    code = errors.CALL_UNKNOWN
    if failure.timed_out:
        code = errors.CALL_DEADLINE
    return errors.Refusal(code, failure.reason, errors.RunState.UNKNOWN)


def _describe(reply: messages.Reply) -> str:
    result = reply.result
    if isinstance(result, errors.Refusal):
        return str(result)
    return f'status {result.status}'


def _time_with_suspension() -> float:
    # Unlike the monotonic clock, this one runs while the host is suspended.
    return time.clock_gettime(time.CLOCK_BOOTTIME)
