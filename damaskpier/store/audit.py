"""Append-only audit trail of changes; service ``audit``.

The trail consists of segments ``audit/<number>``, of which only the last one
grows. Each entry has a unique identifier and is written by a conditional
update. A writer advances to the next segment only after it has read a full
segment that does not contain the entry. Therefore each entry is written
exactly once, even if answers are lost.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import logging
import time
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier import registry
from damaskpier.store import base
from damaskpier.store import object_keys
from damaskpier.store import object_values

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from damaskpier import application

LOG = logging.getLogger(__name__)

MAX_SEGMENT_ENTRIES = 200
MAX_SEGMENTS = 50
# Entries that wait to be written; beyond this the oldest are dropped.
MAX_BUFFERED_ENTRIES = 1000
# Keeps a full segment at about half of the largest value that the platform
# accepts.
MAX_DETAIL_BYTES = 2000
# Object with the number of the last segment, so that readers need not list
# the whole trail. The number is a hint: it may be older than the last one.
LAST_SEGMENT_KEY = object_keys.STATUS_PREFIX + 'audit'
RETRY_FIRST_DELAY_S = 0.5
RETRY_MAX_DELAY_S = 10.0
# Concurrent writers conflict; the segment is read again after each conflict.
MAX_WRITE_ATTEMPTS = 20


class Entry(NamedTuple):
    """Entry of the audit trail; ``time`` is in seconds since the epoch."""

    entry_id: str
    time: float
    actor: str
    action: str
    move: str
    version: int
    result: int  # number of a result code, 0 if it succeeded
    detail: dict[str, Any]


class _Segment(NamedTuple):
    number: int
    store_version: int  # 0 if the object does not exist
    entries: tuple[Entry, ...]


def make_entry(
    actor: str,
    action: str,
    move: str = '',
    version: int = 0,
    result: errors.ResultCode | None = None,
    detail: dict[str, Any] | None = None,
    now: float | None = None,
) -> Entry:
    """Return an entry with a new identifier.

    :param result: result code, None if the action succeeded
    :param detail: JSON object; replaced by its size if it exceeds
        ``MAX_DETAIL_BYTES``
    :param now: seconds since the epoch; None for the current time
    """
    detail = detail or {}
    size = len(object_values.encode(detail))
    if size > MAX_DETAIL_BYTES:
        detail = {'omitted': f'{size} bytes of detail'}
    return Entry(
        object_values.new_write_id(),
        time.time() if now is None else now,
        actor,
        action,
        move,
        version,
        result.number if result else 0,
        detail,
    )


class Trail(registry.Service):
    """Writes audit entries in the order of their arrival, and reads them.

    ``dropped_entries`` counts the entries that did not fit into the buffer.

    :param sleep: coroutine function that waits for a number of seconds
    :param segment_entries: entries of a full segment
    :param max_segments: number of segments that are not deleted
    :param max_buffered: number of entries that may wait to be written
    """

    def __init__(
        self,
        store: base.ObjectStore,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        segment_entries: int = MAX_SEGMENT_ENTRIES,
        max_segments: int = MAX_SEGMENTS,
        max_buffered: int = MAX_BUFFERED_ENTRIES,
    ) -> None:
        self.dropped_entries = 0
        self._store = store
        self._sleep = sleep
        self._segment_entries = segment_entries
        self._max_segments = max_segments
        self._max_buffered = max_buffered
        self._buffer: collections.deque[Entry] = collections.deque()
        self._segment: _Segment | None = None
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that writes appended entries."""
        self._task = asyncio.create_task(self._write_forever())

    async def stop(self) -> None:
        """Make a last attempt to write the buffered entries."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            self._task = None
        if refusal := await self.flush():
            LOG.warning(
                'platform: %d audit entries are lost at the stop: %s',
                len(self._buffer),
                refusal,
            )

    def append(self, entry: Entry) -> None:
        """Buffer an entry, which the task writes as soon as possible."""
        self._buffer.append(entry)
        if len(self._buffer) > self._max_buffered:
            self._buffer.popleft()
            self.dropped_entries += 1
        self._wake.set()

    async def flush(self) -> errors.Refusal | None:
        """Write the buffered entries now.

        :returns: None if all are written, or the refusal of the platform;
            the entries that are not written stay in the buffer
        """
        async with self._lock:
            while self._buffer:
                refusal = await self._write_batch()
                if refusal is not None:
                    return refusal
        return None

    async def read(
        self,
        limit: int = 50,
        actor: str | None = None,
        action: str | None = None,
        move: str | None = None,
        since: float | None = None,
    ) -> list[Entry] | errors.Refusal:
        """Return entries that match all filters, newest first.

        :param limit: largest number of entries
        :param since: earliest time, in seconds since the epoch
        """
        segment = await self._find_last_segment()
        found: list[Entry] = []
        while not isinstance(segment, errors.Refusal):
            for entry in reversed(segment.entries):
                if _matches(entry, actor, action, move, since):
                    found.append(entry)
                    if len(found) >= limit:
                        return found
            if segment.number <= 1:
                return found
            segment = await self._read_segment(segment.number - 1)
        if segment.code is errors.PLATFORM_NOT_FOUND:
            return found
        return segment

    async def _write_forever(self) -> None:
        delay_s = RETRY_FIRST_DELAY_S
        while True:
            await self._wake.wait()
            self._wake.clear()
            refusal = await self.flush()
            if refusal is None:
                delay_s = RETRY_FIRST_DELAY_S
                continue
            LOG.warning(
                'platform: %d audit entries are not written yet: %s',
                len(self._buffer),
                refusal,
            )
            await self._sleep(delay_s)
            delay_s = min(RETRY_MAX_DELAY_S, 2 * delay_s)
            self._wake.set()

    async def _write_batch(self) -> errors.Refusal | None:
        """Write as many buffered entries as fit into the current segment.

        :returns: None if progress was made or the buffer is empty
        """
        refusal: errors.Refusal | None = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            if self._segment is None:
                found = await self._find_last_segment()
                if isinstance(found, errors.Refusal):
                    return found
                self._segment = found
            segment = self._segment
            self._drop_written(segment)
            if not self._buffer:
                return None
            if self._is_full(segment):
                refusal = await self._advance_segment(segment)
                if refusal is not None:
                    return refusal
                continue
            refusal = await self._append_to_segment(segment)
            if refusal is None:
                return None
            if refusal.code is not errors.PLATFORM_CONFLICT:
                return refusal
            found = await self._read_segment(segment.number)
            if not isinstance(found, errors.Refusal):
                self._segment = found
            elif found.code is errors.PLATFORM_NOT_FOUND:
                self._segment = None
            else:
                return found
        return refusal

    async def _append_to_segment(
        self, segment: _Segment
    ) -> errors.Refusal | None:
        free = self._segment_entries - len(segment.entries)
        entries = segment.entries + tuple(self._buffer)[:free]
        value = {
            'entries': [entry._asdict() for entry in entries],
            'write_id': object_values.new_write_id(),
        }
        outcome = await self._store.put(
            _segment_key(segment.number),
            object_values.encode(value),
            segment.store_version,
        )
        if isinstance(outcome, errors.Refusal):
            return outcome
        self._segment = _Segment(segment.number, outcome.version, entries)
        self._drop_written(self._segment)
        if segment.store_version == 0:
            await self._register_segment(segment.number)
        return None

    async def _advance_segment(
        self, segment: _Segment
    ) -> errors.Refusal | None:
        number = segment.number + 1
        found = await self._read_segment(number)
        if isinstance(found, errors.Refusal):
            if found.code is not errors.PLATFORM_NOT_FOUND:
                return found
            found = _Segment(number, 0, ())
        self._segment = found
        return None

    async def _register_segment(self, number: int) -> None:
        """Store the number of a new segment and delete the oldest segments.

        Failures are harmless: a reader that finds an older number reads on
        from there, and the writers of the next two new segments repeat the
        deletion.
        """
        hint = {'last': number, 'write_id': object_values.new_write_id()}
        await self._store.put(
            LAST_SEGMENT_KEY, object_values.encode(hint), None
        )
        oldest = number - self._max_segments
        for old in range(max(1, oldest - 2), oldest + 1):
            await self._store.delete(_segment_key(old), None)

    async def _find_last_segment(self) -> _Segment | errors.Refusal:
        """Return the last segment, an empty first one if there is none."""
        segment = await self._find_segment_by_hint()
        while not isinstance(segment, errors.Refusal):
            if not self._is_full(segment):
                return segment
            following = await self._read_segment(segment.number + 1)
            if isinstance(following, errors.Refusal):
                if following.code is errors.PLATFORM_NOT_FOUND:
                    return segment
                return following
            segment = following
        return segment

    async def _find_segment_by_hint(self) -> _Segment | errors.Refusal:
        """Return a segment at or near the end of the trail.

        The trail is listed only if the hint or its segment does not exist.
        """
        hint = await self._store.get(LAST_SEGMENT_KEY)
        if not isinstance(hint, errors.Refusal):
            number = int(object_values.decode(hint.value)['last'])
            segment = await self._read_segment(number)
            if not isinstance(segment, errors.Refusal):
                return segment
            hint = segment
        if hint.code is not errors.PLATFORM_NOT_FOUND:
            return hint
        found = await self._store.list(object_keys.AUDIT_PREFIX)
        if isinstance(found, errors.Refusal):
            return found
        return _parse_segment(found[-1]) if found else _Segment(1, 0, ())

    async def _read_segment(self, number: int) -> _Segment | errors.Refusal:
        stored = await self._store.get(_segment_key(number))
        if isinstance(stored, errors.Refusal):
            return stored
        return _parse_segment(stored)

    def _is_full(self, segment: _Segment) -> bool:
        return len(segment.entries) >= self._segment_entries

    def _drop_written(self, segment: _Segment) -> None:
        written = {entry.entry_id for entry in segment.entries}
        self._buffer = collections.deque(
            entry for entry in self._buffer if entry.entry_id not in written
        )


def setup(app: application.Application) -> None:
    """Register the service ``audit``; ``platform`` is registered before."""
    app.add_service('audit', Trail(app.service('platform')), ('platform',))


def _segment_key(number: int) -> str:
    return f'{object_keys.AUDIT_PREFIX}{number:08d}'


def _parse_segment(stored: base.StoredObject) -> _Segment | errors.Refusal:
    try:
        number = int(stored.key.removeprefix(object_keys.AUDIT_PREFIX))
        entries = object_values.decode(stored.value)['entries']
        return _Segment(
            number,
            stored.version,
            tuple(Entry(**fields) for fields in entries),
        )
    except (KeyError, TypeError, ValueError) as exc:
        return errors.Refusal(
            errors.BUNDLE_SCHEMA, f'{stored.key} can not be read: {exc!r}'
        )


def _matches(
    entry: Entry,
    actor: str | None,
    action: str | None,
    move: str | None,
    since: float | None,
) -> bool:
    return (
        (actor is None or entry.actor == actor)
        and (action is None or entry.action == action)
        and (move is None or entry.move == move)
        and (since is None or entry.time >= since)
    )
