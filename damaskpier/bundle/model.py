"""Data of bundles and of the configuration that nodes apply."""

from __future__ import annotations

from typing import NamedTuple


class ServiceSpec(NamedTuple):
    """Traffic configuration of a service.

    ``slots`` is the concurrency limit of a worker whose announcement does
    not contain one; 0 selects an adaptive limit. ``queue`` is the number of
    requests that may wait for a slot.
    """

    name: str
    version: str
    slots: int = 0
    queue: int = 32
    policy: str = 'two_choices'


class RouteSpec(NamedTuple):
    """Route of callers' requests to a service."""

    name: str
    service: str
    method: str
    path: str  # a trailing /* matches any suffix
    repeatable: bool = False
    timeout_ms: int = 2000


class Bundle(NamedTuple):
    """Services and routes by name, which are applied as a whole."""

    services: dict[str, ServiceSpec]
    routes: dict[str, RouteSpec]


class Move(NamedTuple):
    """Move of a service's traffic from one upstream version to another.

    ``move`` is its id, ``old`` and ``new`` are the versions. ``start`` is
    the time at which it starts and ``by`` the time by which it has to be
    complete, both in seconds since the epoch.
    """

    move: str
    service: str
    old: str
    new: str
    start: float
    by: float


class Head(NamedTuple):
    """Content of the object ``config/head``: the signed-off version.

    ``digest`` is the digest of its bundle.
    """

    version: int
    digest: str
    moves: tuple[Move, ...]
    signed_by: str
    signed_at: float  # seconds since the epoch
    write_id: str
    note: str = ''
    previous_version: int = 0
    previous_digest: str = ''


class Snapshot(NamedTuple):
    """Configuration as a node applies it: a head with its bundle."""

    head: Head
    bundle: Bundle

    @property
    def version(self) -> int:
        """Return the configuration version."""
        return self.head.version

    def move_for(self, service: str) -> Move | None:
        """Return the move of a service, running or finished, or None."""
        for move in self.head.moves:
            if move.service == service:
                return move
        return None
