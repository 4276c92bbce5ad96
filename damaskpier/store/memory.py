"""Object store in memory, with injected faults, and common refusals.

Tests and the fake platform use the store; the functions at the end create
the refusals of all clients of the object API.
"""

from __future__ import annotations

import asyncio
import collections
import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.store import base
from damaskpier.store import object_values

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Deletions that are kept for watches. A watch whose revision is older does
# not receive the deletions that were discarded.
MAX_TOMBSTONES = 10_000


class Conflict(NamedTuple):
    """Outcome of a conditional update whose condition did not hold.

    ``current`` is the stored object, None if there is none.
    """

    current: base.StoredObject | None


class StoreState:
    """Objects, versions and the order of changes, without faults or I/O.

    ``revision`` increases by one with each write or deletion and is the
    version of the object that was written.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[str, base.StoredObject] = {}
        # Last change of each key, in the order of the changes.
        self._changes: collections.OrderedDict[str, base.Change] = (
            collections.OrderedDict()
        )
        self._tombstones: collections.deque[base.Change] = collections.deque()
        self._waiters: set[asyncio.Future[None]] = set()

    def get(self, key: str) -> base.StoredObject | None:
        """Return an object, None if it does not exist."""
        return self._objects.get(key)

    def put(
        self, key: str, value: bytes, if_version: int | None
    ) -> base.StoredObject | Conflict:
        """Write an object if it still has a version.

        :param if_version: expected version; 0 if the object must not exist,
            None for an unconditional write
        """
        current = self._objects.get(key)
        if not _is_version(current, if_version):
            return Conflict(current)
        stored = base.StoredObject(key, self.revision + 1, value)
        self._objects[key] = stored
        self._record(base.Change(key, stored.version, False))
        return stored

    def delete(self, key: str, if_version: int | None) -> bool | Conflict:
        """Delete an object; False if it did not exist."""
        current = self._objects.get(key)
        if not _is_version(current, if_version):
            return Conflict(current)
        if current is None:
            return False
        del self._objects[key]
        change = base.Change(key, self.revision + 1, True)
        self._record(change)
        self._tombstones.append(change)
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = self._tombstones.popleft()
            if self._changes.get(oldest.key) == oldest:
                del self._changes[oldest.key]
        return True

    def list(self, prefix: str, limit: int) -> list[base.StoredObject]:
        """Return the objects whose keys begin with a prefix, by key."""
        keys = sorted(key for key in self._objects if key.startswith(prefix))
        return [self._objects[key] for key in keys[:limit]]

    def changes(self, prefix: str, after: int) -> list[base.Change]:
        """Return the last change of each key after a revision, in order."""
        found = []
        for change in reversed(self._changes.values()):
            if change.version <= after:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return found[::-1]

    async def wait(self) -> None:
        """Wait for the next change of any key."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)

    def _record(self, change: base.Change) -> None:
        self.revision = change.version
        self._changes[change.key] = change
        self._changes.move_to_end(change.key)
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)


class MemoryObjectStore(base.ObjectStore):
    """Client of a store in memory, for tests.

    ``calls`` counts the calls by kind.

    :param state: objects that several clients share; None for a new state
    :param seed: seed of the random choice of lost answers
    """

    def __init__(self, state: StoreState | None = None, seed: int = 0) -> None:
        self.state = state or StoreState()
        self.is_down = False
        # Ratio of the writes that take effect but whose answer is lost, and
        # with it the answer to the read that would verify the write.
        self.lost_answer_ratio = 0.0
        self.calls: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(seed)
        self._outage_ended = asyncio.Event()

    def set_down(self, is_down: bool) -> None:
        """Start or end an outage, in which every call is refused."""
        self.is_down = is_down
        if not is_down:
            self._outage_ended.set()
            self._outage_ended = asyncio.Event()

    async def get(self, key: str) -> base.StoredObject | errors.Refusal:
        """Return an object; refused with ``PLATFORM_NOT_FOUND``."""
        if refusal := await self._begin_call('get'):
            return refusal
        return self.state.get(key) or not_found(key)

    async def put(
        self, key: str, value: bytes, if_version: int | None
    ) -> base.StoredObject | errors.Refusal:
        """Write an object if it still has a version."""
        if refusal := await self._begin_call('put'):
            return refusal
        if len(value) > base.MAX_VALUE_BYTES:
            return too_large(key, len(value))
        outcome = self.state.put(key, value, if_version)
        if isinstance(outcome, Conflict):
            if outcome.current is not None and object_values.is_same_write(
                outcome.current.value, value
            ):
                return outcome.current
            return conflict(key, outcome.current)
        return self._draw_lost_answer() or outcome

    async def delete(
        self, key: str, if_version: int | None
    ) -> bool | errors.Refusal:
        """Delete an object; False if it did not exist."""
        if refusal := await self._begin_call('delete'):
            return refusal
        outcome = self.state.delete(key, if_version)
        if isinstance(outcome, Conflict):
            return conflict(key, outcome.current)
        return self._draw_lost_answer() or outcome

    async def list(
        self, prefix: str, limit: int = 1000
    ) -> list[base.StoredObject] | errors.Refusal:
        """Return the objects whose keys begin with a prefix, by key."""
        if refusal := await self._begin_call('list'):
            return refusal
        return self.state.list(prefix, limit)

    async def watch(
        self, prefix: str, after: int
    ) -> AsyncIterator[list[base.Change] | errors.Refusal]:
        """Yield changes of keys with a prefix, newer than a version."""
        while True:
            if refusal := await self._begin_call('watch'):
                outage_ended = self._outage_ended
                yield refusal
                if self.is_down:
                    await outage_ended.wait()
                continue
            changes = self.state.changes(prefix, after)
            if changes:
                after = self.state.revision
                yield changes
                continue
            await self.state.wait()

    async def _begin_call(self, kind: str) -> errors.Refusal | None:
        self.calls[kind] += 1
        # Other tasks run during a call, as with a client that does I/O.
        await asyncio.sleep(0)
        if self.is_down:
            return unavailable('the platform is down')
        return None

    def _draw_lost_answer(self) -> errors.Refusal | None:
        if self._rng.random() < self.lost_answer_ratio:
            return unknown('the answer was lost')
        return None


def conflict(
    key: str,
    current: base.StoredObject | None,
    run: errors.RunState = errors.RunState.NOT_RUN,
) -> errors.Refusal:
    """Return the refusal of a conditional update.

    :param current: stored object, None if there is none
    :param run: ``UNKNOWN`` if an earlier attempt may have taken effect
    """
    version = current.version if current else 0
    return errors.Refusal(
        errors.PLATFORM_CONFLICT, f'{key} has version {version}', run
    )


def not_found(key: str) -> errors.Refusal:
    """Return the refusal for an object that does not exist."""
    return errors.Refusal(errors.PLATFORM_NOT_FOUND, f'no object {key}')


def too_large(key: str, size: int) -> errors.Refusal:
    """Return the refusal of a value over the limit.

    :param size: size of the value, in bytes
    """
    return errors.Refusal(
        errors.PLATFORM_TOO_LARGE,
        f'{key}: {size} bytes, the limit is {base.MAX_VALUE_BYTES}',
    )


def unavailable(reason: str) -> errors.Refusal:
    """Return the refusal of a call that certainly had no effect."""
    return errors.Refusal(errors.PLATFORM_UNAVAILABLE, reason)


def unknown(reason: str) -> errors.Refusal:
    """Return the refusal of a write that may have taken effect."""
    return errors.Refusal(
        errors.PLATFORM_UNKNOWN, reason, errors.RunState.UNKNOWN
    )


def _is_version(
    current: base.StoredObject | None, if_version: int | None
) -> bool:
    if if_version is None:
        return True
    return (current.version if current else 0) == if_version
