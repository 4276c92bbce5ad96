"""Services of a process, looked up by name."""

from __future__ import annotations

import abc
import graphlib
from typing import NamedTuple

from damaskpier import errors


class Service(abc.ABC):
    """Part of a process that the kernel starts and stops."""

    async def start(self) -> None:
        """Start the service, after those that it is registered after."""

    async def stop(self) -> None:
        """Stop the service, after those that are registered after it."""


class _RegisteredService(NamedTuple):
    service: Service
    after: tuple[str, ...]


class Registry:
    """Maps names to services and sorts them into the order of their start."""

    def __init__(self) -> None:
        self._entries: dict[str, _RegisteredService] = {}

    def add(
        self, name: str, service: Service, after: tuple[str, ...] = ()
    ) -> None:
        """Register a service under a name.

        :param after: names of services that start before this one; names
            that are never registered are ignored
        :raises ServiceError: if the name is taken
        """
        if name in self._entries:
            raise errors.ServiceError(
                errors.SETTINGS_INVALID,
                f'service {name!r} is registered twice',
            )
        self._entries[name] = _RegisteredService(service, after)

    def get(self, name: str) -> Service:
        """Return the service with a name.

        :raises ServiceError: if there is none
        """
        entry = self._entries.get(name)
        if entry is None:
            known = ', '.join(sorted(self._entries))
            raise errors.ServiceError(
                errors.SETTINGS_MISSING,
                f'no service {name!r}; registered are: {known}',
            )
        return entry.service

    def __contains__(self, name: str) -> bool:
        return name in self._entries

    def start_order(self) -> list[str]:
        """Return all names, each one after the names it was added ``after``.

        :raises graphlib.CycleError: if the services require each other
        """
        graph = {
            name: [other for other in entry.after if other in self._entries]
            for name, entry in self._entries.items()
        }
        return list(graphlib.TopologicalSorter(graph).static_order())
