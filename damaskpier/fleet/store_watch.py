"""Follows objects of the store over outages and lost history."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import AsyncIterator
import random
from typing import Any
from typing import NamedTuple

from damaskpier import errors

# Part of the time by which a configuration has to be in force that may
# pass between two calls of a watch, so that changes in quick succession
# share a call.
WATCH_PAUSE_RATIO = 0.4
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0


class Page(NamedTuple):
    """Objects that a call brought, and the revision to go on from."""

    items: list[Any]
    revision: int


class ObjectReader(abc.ABC):
    """Calls of the store that read the objects of one kind."""

    @abc.abstractmethod
    async def read(self) -> Page | errors.Refusal:
        """Return all objects."""

    @abc.abstractmethod
    async def watch(self, revision: int) -> Page | errors.Refusal:
        """Wait for objects that change after a revision and return them.

        The refusal has the code ``PLATFORM_HISTORY_LOST`` where the store
        does not know any more what has changed since.
        """


async def changes(
    reader: ObjectReader, apply_limit_s: float, rng: random.Random
) -> AsyncIterator[list[Any] | errors.Refusal]:
    """Yield all objects, and then those that change.

    A refusal is yielded for each failed call.

    :param apply_s: time by which a change has to be in force, in seconds
    """
    loop = asyncio.get_running_loop()
    revision: int | None = None
    backoff_s = INITIAL_BACKOFF_S
    while True:
        began = loop.time()
        if revision is None:
            found = await reader.read()
        else:
            found = await reader.watch(revision)
        if isinstance(found, errors.Refusal):
            # Reading the objects takes one short call; a watch could wait
            # for long on a store that does not answer.
            revision = None
            if found.code is errors.PLATFORM_HISTORY_LOST:
                continue
            yield found
            await asyncio.sleep(backoff_s * rng.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            continue
        backoff_s = INITIAL_BACKOFF_S
        revision = found.revision
        if found.items:
            yield found.items
            spent_s = loop.time() - began
            pause_s = WATCH_PAUSE_RATIO * apply_limit_s
            await asyncio.sleep(max(0.0, pause_s - spent_s))
