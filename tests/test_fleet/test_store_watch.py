"""Watch of objects while they change in quick succession.

A store sends whole objects. In an incident, a configuration of 822 routes
changed every 0.2 s, each node received every version, and the links of the
nodes were too full for the messages of other nodes. The tests run a reader
against a fake store in virtual time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import math
import random
from typing import NamedTuple

import pytest

from damaskpier import errors
from damaskpier.fleet import store_watch

from tests.test_fleet import virtual_time

APPLY_S = 3.0
PAUSE_S = store_watch.WATCH_PAUSE_RATIO * APPLY_S
# Time of the first change, long after the first read.
START_S = 10.0
# Time for which a test goes on after the last change.
REST_S = 30.0
STORM_S = 5.0
STORM_GAP_S = 0.2
# A storm may deliver one configuration per pause, the first change and the
# second one, which shows that this is a storm, and the read that shows its
# end.
STORM_DELIVERIES = math.ceil(STORM_S / PAUSE_S) + 3
FIRST_REVISION = 7


class FakeReader(store_watch.ObjectReader):
    """Reader of a store with one object, whose items are revisions.

    Each answer holds the state at its beginning and arrives ``latency_s``
    later, and ``transfer_s`` later for each object in it. During ``outage``,
    an interval in seconds, calls are refused, also those that wait. During
    ``silence``, another interval, calls get no answer, but those that wait
    get it afterwards. Watches that begin after ``history_lost_at`` with an
    earlier revision find no history.
    """

    reads_bursts = True

    def __init__(self) -> None:
        self.latency_s = 0.0
        self.transfer_s = 0.0
        self.outage = (0.0, 0.0)
        self.silence = (0.0, 0.0)
        self.history_lost_at = 0.0
        self.delivered = 0
        self.reads: list[float] = []
        self.watches: list[float] = []
        self.written_at: dict[int, float] = {FIRST_REVISION: 0.0}
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return max(self.written_at)

    def write(self) -> None:
        """Write a new version of the object."""
        self.written_at[self.revision + 1] = asyncio.get_running_loop().time()
        self._changed.set()
        self._changed = asyncio.Event()

    async def read(
        self, changed_after: int = 0
    ) -> store_watch.Page | errors.Refusal:
        """Return the last version; it is delivered in any case."""
        self.reads.append(asyncio.get_running_loop().time())
        if self._is_out():
            return _refusal(errors.PLATFORM_UNAVAILABLE)
        last = self.revision
        await asyncio.sleep(self.latency_s + self.transfer_s)
        if self._is_out():
            return _refusal(errors.PLATFORM_UNAVAILABLE)
        self.delivered += 1
        return store_watch.Page([last] if last > changed_after else [], last)

    async def watch(self, revision: int) -> store_watch.Page | errors.Refusal:
        """Return each version after a revision as soon as there is one."""
        now = asyncio.get_running_loop().time()
        self.watches.append(now)
        lost_at = self.history_lost_at
        if lost_at and now > lost_at > self.written_at[revision]:
            return _refusal(errors.PLATFORM_HISTORY_LOST)
        while self.revision <= revision and not self._is_out():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.1):
                    await self._changed.wait()
        begin, end = self.silence
        now = asyncio.get_running_loop().time()
        if begin <= now < end:
            await asyncio.sleep(end - now)
        last = self.revision
        found = list(range(revision + 1, last + 1))
        transfer_s = self.transfer_s * len(found)
        await asyncio.sleep(self.latency_s + transfer_s)
        if self._is_out():
            return _refusal(errors.PLATFORM_UNAVAILABLE)
        self.delivered += len(found)
        return store_watch.Page(found, last, transfer_s)

    def _is_out(self) -> bool:
        begin, end = self.outage
        return begin <= asyncio.get_running_loop().time() < end


class Outcome(NamedTuple):
    """What the reader's user saw, with times in seconds."""

    reader: FakeReader
    seen_at: dict[int, float]
    refusals: list[errors.Refusal]
    delivered: int
    calls: int

    def delay_s(self, revision: int) -> float:
        """Return the time from a change to the first later version seen."""
        seen = min(
            at for number, at in self.seen_at.items() if number >= revision
        )
        return seen - self.reader.written_at[revision]


def _refusal(code: errors.ResultCode) -> errors.Refusal:
    return errors.Refusal(code, 'test')


def _follow(
    offsets_s: list[float], prepare: Callable[[FakeReader], None] | None = None
) -> Outcome:
    """Follow changes at times after ``START_S`` and return what was seen."""

    async def run() -> Outcome:
        reader = FakeReader()
        if prepare is not None:
            prepare(reader)
        loop = asyncio.get_running_loop()
        seen_at: dict[int, float] = {}
        refusals: list[errors.Refusal] = []

        async def follow() -> None:
            found = store_watch.changes(
                reader, lambda: APPLY_S, random.Random(1)
            )
            async for update in found:
                if isinstance(update, errors.Refusal):
                    refusals.append(update)
                    continue
                for revision in update:
                    assert revision not in seen_at or refusals
                    seen_at.setdefault(revision, loop.time())

        task = asyncio.create_task(follow())
        await asyncio.sleep(START_S - loop.time())
        delivered = reader.delivered
        calls = len(reader.reads) + len(reader.watches)
        for offset_s in offsets_s:
            await asyncio.sleep(START_S + offset_s - loop.time())
            reader.write()
        await asyncio.sleep(REST_S)
        task.cancel()
        return Outcome(
            reader,
            seen_at,
            refusals,
            reader.delivered - delivered,
            len(reader.reads) + len(reader.watches) - calls,
        )

    return virtual_time.run(run())


def _storm(gap_s: float = STORM_GAP_S) -> list[float]:
    return [number * gap_s for number in range(round(STORM_S / gap_s))]


def _latency(latency_s: float) -> Callable[[FakeReader], None]:
    def prepare(reader: FakeReader) -> None:
        reader.latency_s = latency_s

    return prepare


def test_configurations_in_quick_succession_do_not_all_use_the_link():
    """A storm delivers a configuration per pause and not every version.

    Every version whole, 25 within 5 s, filled the links of nodes for seconds.
    """
    outcome = _follow(_storm())
    assert outcome.delivered <= STORM_DELIVERIES


@pytest.mark.parametrize('latency_s', [0.0, 0.05, 0.3, 0.8])
@pytest.mark.parametrize('gap_s', [0.05, STORM_GAP_S, 0.5, 1.0])
def test_last_configuration_of_a_storm_is_in_force_in_time(gap_s, latency_s):
    """The end of a storm must not be missed, nor wait for the next change."""
    outcome = _follow(_storm(gap_s), _latency(latency_s))
    assert outcome.delay_s(outcome.reader.revision) < APPLY_S
    # The second watch returns what changed while the first one answered.
    assert outcome.delivered <= STORM_DELIVERIES + latency_s / gap_s


def test_single_change_is_seen_at_once_with_one_call():
    """A reader that paused or read again would be late or cost more calls."""
    outcome = _follow([0.0])
    assert outcome.delay_s(outcome.reader.revision) == 0.0
    assert outcome.delivered == 1
    # The watch that returned the change began before.
    assert outcome.calls == 1


@pytest.mark.parametrize('gap_s', [1.3, 2.0, 5.0])
def test_changes_apart_are_seen_at_once_with_one_call_each(gap_s):
    """Changes with more than a pause between them are no burst."""
    outcome = _follow([number * gap_s for number in range(4)])
    assert outcome.calls == outcome.delivered == 4
    for revision in range(FIRST_REVISION + 1, outcome.reader.revision + 1):
        assert outcome.delay_s(revision) == pytest.approx(0.0)


def test_steady_changes_just_within_a_pause_are_read_once_per_pause():
    """Each change must not cost a watch and a read."""
    outcome = _follow([float(number) for number in range(30)])
    limit = math.ceil(30 / PAUSE_S) + 3
    assert outcome.delivered <= limit
    # The last watch waits.
    assert outcome.calls <= limit + 1


def test_pairs_of_changes_are_read_once_per_pause():
    """A pair right after the read that ended a burst is a burst as well.

    Each pair would otherwise cost two watches and the next read.
    """
    pairs = 10
    interval_s = PAUSE_S + 0.15
    starts = [number * interval_s for number in range(pairs)]
    outcome = _follow([at + late for at in starts for late in (0.0, 0.1)])
    # The first pair is a burst of its own, which takes three deliveries.
    limit = 3 + math.ceil(pairs * interval_s / PAUSE_S) + 1
    assert outcome.delivered <= limit


@pytest.mark.parametrize('latency_s', [0.0, 0.05, 0.3])
def test_change_between_a_read_and_the_next_watch_is_not_missed(latency_s):
    """The watch after a burst goes on from the revision of the last read.

    The last change comes at any time during the burst, its last read, and
    the first watch after it.
    """
    for step in range(120):
        late_s = 0.2 + step * 0.025
        outcome = _follow([0.0, 0.1, late_s], _latency(latency_s))
        assert outcome.delay_s(outcome.reader.revision) < APPLY_S, late_s


@pytest.mark.parametrize('begin_s', [0.1, 0.5, 1.3, 2.9, 6.1])
def test_outage_during_a_burst_ends_with_the_last_configuration(begin_s):
    """Each failed call is reported, with backoff, and all is read again."""

    def prepare(reader: FakeReader) -> None:
        begin = START_S + begin_s
        reader.outage = (begin, begin + 6.0)
        reader.latency_s = 0.01

    outcome = _follow(_storm(), prepare)
    assert outcome.refusals
    # Each backoff is half of its bound at least: 0.1, 0.2, 0.4, 0.8 s, and
    # then 1 s up to the end of the outage.
    assert len(outcome.refusals) <= 10
    recovery_s = outcome.reader.outage[1] + store_watch.MAX_BACKOFF_S
    last = outcome.reader.revision
    written_at = outcome.reader.written_at[last]
    seen_at = written_at + outcome.delay_s(last)
    assert seen_at < max(recovery_s, written_at) + APPLY_S
    # The storm has ended, so that one read is enough.
    reads = [
        at for at in outcome.reader.reads if at >= outcome.reader.outage[1]
    ]
    assert len(reads) == 1


@pytest.mark.parametrize('lost_s', [0.05, 0.15, 0.3, 2.5, 4.9, 6.0])
def test_history_lost_during_a_burst_is_read_again(lost_s):
    """Lost history is no failure, and the last version is in force in time."""

    def prepare(reader: FakeReader) -> None:
        reader.history_lost_at = START_S + lost_s

    outcome = _follow(_storm(), prepare)
    assert not outcome.refusals
    assert outcome.delay_s(outcome.reader.revision) < APPLY_S
    # The read without history delivers one more.
    assert outcome.delivered <= STORM_DELIVERIES + 1


@pytest.mark.parametrize('latency_s', [1.5, 2.0, 4.0])
def test_slow_store_ends_on_the_last_configuration(latency_s):
    """Answers that take longer than a pause follow one another.

    The changes that accumulate during one answer come with the next watch
    once, which begins the burst.
    """
    outcome = _follow(_storm(), _latency(latency_s))
    assert not outcome.refusals
    assert outcome.reader.revision in outcome.seen_at
    # An answer may begin just before the last change, and the next is late.
    assert outcome.delay_s(outcome.reader.revision) <= 2 * latency_s + PAUSE_S
    accumulated = latency_s / STORM_GAP_S
    assert outcome.delivered <= STORM_DELIVERIES + accumulated


def test_pause_after_a_long_response_does_not_delay_the_next_change():
    """A node that gets all versions of an outage must not wait after them.

    Behind a slow link, a response with seven configurations took 1.8 s. With
    the whole pause after it, and the read, a change during the response came
    into force after more than the time for it.
    """
    silence_s = 6.0

    def prepare(reader: FakeReader) -> None:
        reader.silence = (START_S, START_S + silence_s)
        reader.transfer_s = 0.25

    during = [silence_s - 1.5 + number * STORM_GAP_S for number in range(7)]
    after = [silence_s + 0.1 + number * STORM_GAP_S for number in range(10)]
    outcome = _follow([*during, *after], prepare)
    first_after = FIRST_REVISION + len(during) + 1
    for revision in range(first_after, outcome.reader.revision + 1):
        assert outcome.delay_s(revision) < APPLY_S, revision


def test_small_objects_are_watched_without_a_read():
    """Orders are followed by writes of their status, which are no burst.

    A read would cost a call on each node for each order.
    """

    def prepare(reader: FakeReader) -> None:
        reader.reads_bursts = False

    outcome = _follow([0.0, 0.1, 0.3], prepare)
    assert len(outcome.reader.reads) == 1
    # One watch each for the order, its status and what followed it.
    assert outcome.calls <= 3
    assert set(outcome.seen_at) == set(outcome.reader.written_at)
    assert outcome.delay_s(outcome.reader.revision) < APPLY_S
