"""Data of bundles and of the configuration that nodes apply."""

from __future__ import annotations

from typing import NamedTuple


class ServiceSpec(NamedTuple):
    """Traffic configuration of a service.

    ``slots`` is the number of requests that a worker runs at a time where
    its announcement does not tell; 0 stands for adaptive concurrency.
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
    path: str  # a trailing /* matches any rest
    repeatable: bool = False
    timeout_ms: int = 2000


class Bundle(NamedTuple):
    """Named resources that are in force together."""

    services: dict[str, ServiceSpec]
    routes: dict[str, RouteSpec]


class Move(NamedTuple):
    """Move of a service's traffic between two upstream versions.

    ``start`` and ``by`` are seconds since the epoch.
    """

    move: str
    service: str
    old: str
    new: str
    start: float
    by: float


class Head(NamedTuple):
    """Content of the object ``config/head``."""

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
        """Return the move of a service, finished or not."""
        for move in self.head.moves:
            if move.service == service:
                return move
        return None
