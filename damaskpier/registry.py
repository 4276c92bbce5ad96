"""Services of a process, looked up by name."""

from __future__ import annotations

import abc
import graphlib
from typing import NamedTuple

from damaskpier import errors


class Service(abc.ABC):
    """Part of a process that is started and stopped by the kernel."""

    async def start(self) -> None:
        """Start the service; services that it comes after have started."""

    async def stop(self) -> None:
        """Stop the service; services that come after it have stopped."""


class _Entry(NamedTuple):
    service: Service
    after: tuple[str, ...]


class Registry:
    """Maps names to services and knows the order of their start."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

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
        self._entries[name] = _Entry(service, after)

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
        """Return the names so that each comes after its requirements."""
        graph = {
            name: [other for other in entry.after if other in self._entries]
            for name, entry in self._entries.items()
        }
        return list(graphlib.TopologicalSorter(graph).static_order())
