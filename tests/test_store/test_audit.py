"""Tests of the audit trail."""

from __future__ import annotations

import asyncio

from damaskpier import errors
from damaskpier.store import audit
from damaskpier.store import object_keys


def entry(number, **kwargs):
    """Return an entry with a number."""
    return audit.make_entry('ana', 'sign-off', version=number, **kwargs)


async def test_entries_are_read_newest_first_with_filters(memory_store):
    trail = audit.Trail(memory_store, segment_entries=2)
    for number in range(5):
        trail.append(entry(number, now=float(number)))
    trail.append(
        audit.make_entry('n1', 'take-back', 'm', 5, errors.ROLLOUT_SLOW)
    )
    assert await trail.flush() is None
    reader = audit.Trail(memory_store, segment_entries=2)
    found = await reader.read(3)
    assert [item.version for item in found] == [5, 4, 3]
    (taken,) = await reader.read(actor='n1')
    assert (taken.move, taken.result) == ('m', 5003)
    found = await reader.read(action='sign-off', since=3.0)
    assert [item.version for item in found] == [4, 3]
    assert await reader.read(move='other') == []


async def test_the_trail_keeps_a_bounded_number_of_segments(memory_store):
    """Guards against a trail that grows without limit.

    Each new segment deletes the oldest one beyond the limit. A reader finds
    the rest even if the hint to the last segment is missing.
    """
    trail = audit.Trail(memory_store, segment_entries=2, max_segments=3)
    for number in range(20):
        trail.append(entry(number))
        await trail.flush()
    keys = [
        item.key
        for item in memory_store.state.list(object_keys.AUDIT_PREFIX, 99)
    ]
    assert keys == [f'audit/{number:08d}' for number in (8, 9, 10)]
    assert [item.version for item in await trail.read()] == [
        *range(19, 13, -1)
    ]
    memory_store.state.delete(audit.LAST_SEGMENT_KEY, None)
    assert len(await audit.Trail(memory_store, segment_entries=2).read()) == 6


async def test_entries_of_an_outage_are_written_later_in_order(memory_store):
    """Guards against entries that are lost or reordered after an outage.

    Entries are buffered while the platform is down; if the buffer is full,
    the oldest are dropped and counted.
    """
    waits = []

    async def sleep(delay):
        waits.append(delay)
        if len(waits) == 3:
            memory_store.set_down(False)

    trail = audit.Trail(memory_store, sleep, max_buffered=5)
    memory_store.set_down(True)
    for number in range(8):
        trail.append(entry(number))
    assert trail.dropped_entries == 3
    await trail.start()
    while memory_store.state.revision == 0:
        await asyncio.sleep(0)
    await trail.stop()
    assert waits == [0.5, 1.0, 2.0]
    found = await trail.read()
    assert [item.version for item in found] == [7, 6, 5, 4, 3]


async def test_lost_answers_do_not_repeat_entries(memory_store):
    """Guards against duplicate or missing entries.

    If the answer to a write is lost, its entries may be in the segment
    already when the writer tries again. Two writers append alternately.
    """
    memory_store.lost_answer_ratio = 0.5
    trails = [audit.Trail(memory_store, segment_entries=3) for _ in range(2)]
    for number in range(30):
        trail = trails[number % 2]
        trail.append(entry(number))
        while await trail.flush() is not None:
            pass
    found = await trails[0].read()
    assert [item.version for item in found] == [*range(29, -1, -1)]


def test_a_large_detail_is_left_out():
    """Guards against a segment that exceeds the largest value.

    A detail over the limit is replaced by its size.
    """
    large = entry(1, detail={'x': 'y' * audit.MAX_DETAIL_BYTES})
    assert list(large.detail) == ['omitted']
