"""Abstract access to the object API of the platform."""

from __future__ import annotations

import abc
from collections.abc import AsyncIterator
from typing import NamedTuple

from damaskpier import errors
from damaskpier import registry

# Largest value that the platform accepts.
MAX_VALUE_BYTES = 1_000_000


class StoredObject(NamedTuple):
    """Object of the platform.

    ``version`` changes with each write of the object and is compared by
    conditional updates; a later write of any object has a higher version.
    """

    key: str
    version: int
    value: bytes


class Change(NamedTuple):
    """Change of an object, as a watch reports it, without the value."""

    key: str
    version: int
    deleted: bool


class ObjectStore(registry.Service, abc.ABC):
    """Client of the object API.

    Every method returns a :class:`damaskpier.errors.Refusal` instead of its
    result if the platform refused the call or did not answer.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoredObject | errors.Refusal:
        """Return an object.

        :returns: the object, or a refusal: ``PLATFORM_NOT_FOUND`` if it does
            not exist
        """

    @abc.abstractmethod
    async def put(
        self, key: str, value: bytes, if_version: int | None
    ) -> StoredObject | errors.Refusal:
        """Write an object if it still has a version.

        :param if_version: expected version; 0 if the object must not exist,
            None for an unconditional write
        :returns: the object as written, or a refusal: ``PLATFORM_CONFLICT``
            if it has another version; after a lost answer the object is
            read and its ``write_id`` compared, so that ``PLATFORM_UNKNOWN``
            is returned only if that read fails as well
        """

    @abc.abstractmethod
    async def delete(
        self, key: str, if_version: int | None
    ) -> bool | errors.Refusal:
        """Delete an object; False if it did not exist.

        :param if_version: expected version, None for an unconditional
            deletion
        """

    @abc.abstractmethod
    async def list(
        self, prefix: str, limit: int = 1000
    ) -> list[StoredObject] | errors.Refusal:
        """Return the objects whose keys begin with a prefix, by key."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after: int
    ) -> AsyncIterator[list[Change] | errors.Refusal]:
        """Yield changes of keys with a prefix, newer than a version.

        The watch continues after an outage; it yields a refusal for each
        failed attempt.
        """
