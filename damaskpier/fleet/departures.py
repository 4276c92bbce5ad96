"""Workers that left, kept in the store; service ``departures``.

A node must not use its worker again after it has acknowledged that the worker
leaves, even if all nodes are killed at that moment. So a departure is in the
store before it is acknowledged, in the status of the node's own entry in the
directory. The node gets the entry when it registers, which takes no further
call.
"""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier import registry

if TYPE_CHECKING:
    from damaskpier import application

LOG = logging.getLogger(__name__)

# Departures of one node that are kept, the latest ones. A worker starts only
# after the one before it at the same address has ended, so that an earlier
# departure is of no use.
MAX_DEPARTURES = 4
# The timeout of a write is doubled up to the maximum. The first one is short
# enough for a second write within the time that an upstream waits for the
# acknowledgement: the answer of the first one may have been lost.
INITIAL_WRITE_TIMEOUT_S = 0.35
MAX_WRITE_TIMEOUT_S = 1.5
# Backoff between writes, doubled up to the maximum.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class Departures(registry.Service):
    """Keeps the latest departures of the local worker in the store.

    Emits ``left-worker-learned(instance, started_ms)`` for each departure in
    the store that this process did not know, and ``departures-known()`` after
    the store has been read for the first time.

    :param rng: source of the backoff's jitter
    """

    def __init__(
        self, app: application.Application, rng: random.Random | None = None
    ) -> None:
        self.are_known = False
        self._app = app
        self._rng = rng or random.Random()
        # Start of each instance that has left, the latest departure last.
        self._left: dict[str, int] = {}
        self._entry: model.DirectoryEntry | None = None
        self._stored: dict[str, int] = {}
        self._stored_changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        app.events.connect('store-restored', self._write_again)

    async def stop(self) -> None:
        """Cancel the pending write."""
        if self._task is not None:
            self._task.cancel()

    def entry_read(self, entry: model.DirectoryEntry) -> None:
        """Learn the departures in this node's entry in the directory."""
        if self._entry is not None and entry.revision < self._entry.revision:
            return
        self._entry = entry
        self._stored = dict(entry.departures)
        learned = [
            departure
            for departure in entry.departures
            if self._left.get(departure.instance, -1) < departure.started_ms
        ]
        # They are earlier than those that this process has added.
        self._left = {**dict(learned), **self._left, **dict(learned)}
        self._drop_earliest()
        for departure in learned:
            self._app.events.emit('left-worker-learned', *departure)
        changed, self._stored_changed = self._stored_changed, asyncio.Event()
        changed.set()
        if not self.are_known:
            self.are_known = True
            self._app.events.emit('departures-known')
        self._start_writing()

    def add(self, departure: model.Departure) -> None:
        """Write a departure to the store in the background."""
        instance, started_ms = departure
        if self._left.get(instance, -1) >= started_ms:
            return
        self._left.pop(instance, None)
        self._left[instance] = started_ms
        self._drop_earliest()
        self._start_writing()

    async def store(
        self, departure: model.Departure, timeout_s: float
    ) -> bool:
        """Write a departure to the store and wait for it.

        After a timeout, the write goes on in the background.

        :returns: whether the departure is in the store
        """
        self.add(departure)
        try:
            async with asyncio.timeout(timeout_s):
                while not self._is_stored(departure):
                    await self._stored_changed.wait()
        except TimeoutError:
            return False
        return True

    def _write_again(self) -> None:
        """Write all departures, which the store may have lost."""
        self._stored = {}
        if self._entry is not None:
            # The store assigns the revisions after its copy again, and tells
            # the current one when it refuses this one.
            self._entry = self._entry._replace(revision=0)
            self._start_writing()

    def _is_stored(self, departure: model.Departure) -> bool:
        stored_ms = self._stored.get(departure.instance, -1)
        return stored_ms >= departure.started_ms

    def _drop_earliest(self) -> None:
        while len(self._left) > MAX_DEPARTURES:
            del self._left[next(iter(self._left))]

    def _start_writing(self) -> None:
        if self._entry is None or not self._unstored():
            return
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write())

    def _unstored(self) -> list[model.Departure]:
        known = (model.Departure(*item) for item in self._left.items())
        return [item for item in known if not self._is_stored(item)]

    async def _write(self) -> None:
        timeout_s = INITIAL_WRITE_TIMEOUT_S
        backoff_s = INITIAL_BACKOFF_S
        while unstored := self._unstored():
            entry = await self._app.service('store').write_departures(
                self._entry._replace(
                    departures=tuple(
                        model.Departure(*item) for item in self._left.items()
                    )
                ),
                timeout_s,
            )
            if isinstance(entry, errors.Refusal):
                LOG.warning(
                    'worker: can not store the departure of %s yet: %s',
                    ', '.join(item.instance for item in unstored),
                    entry,
                )
                timeout_s = min(2 * timeout_s, MAX_WRITE_TIMEOUT_S)
            else:
                self.entry_read(entry)
                if not self._unstored():
                    return
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def setup(app: application.Application) -> None:
    """Register the service ``departures``."""
    app.add_service('departures', Departures(app), after=('store',))
