"""Matching of requests to the routes of a snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpier.bundle import model


class RouteTable:
    """Routes of one snapshot, indexed for matching.

    An exact path takes precedence over a prefix, and a longer prefix over a
    shorter one.
    """

    def __init__(self, snapshot: model.Snapshot) -> None:
        self.snapshot = snapshot
        self._exact: dict[tuple[str, str], model.RouteSpec] = {}
        self._prefixes: dict[str, list[tuple[str, model.RouteSpec]]] = {}
        for route in snapshot.bundle.routes.values():
            method = route.method.upper()
            if route.path.endswith('/*'):
                entry = (route.path[:-1], route)
                self._prefixes.setdefault(method, []).append(entry)
            else:
                self._exact[method, route.path] = route
        for entries in self._prefixes.values():
            entries.sort(key=lambda entry: -len(entry[0]))

    def match(self, method: str, path: str) -> model.RouteSpec | None:
        """Return the route of a request, if there is one."""
        route = self._exact.get((method, path))
        if route is not None:
            return route
        for prefix, candidate in self._prefixes.get(method, ()):
            if path.startswith(prefix):
                return candidate
        return None
