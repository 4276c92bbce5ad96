"""Configuration, orders and workers as the nodes of a fleet use them."""

from __future__ import annotations

import enum
from typing import NamedTuple


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    DOWNLOAD = 'download'


class WeightedService(NamedTuple):
    """Service that gets a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Route of callers' requests; the longest prefix of a host wins.

    ``priority`` 0 is the most urgent. ``max_attempts`` bounds the workers on
    which one request may run.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    destinations: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int = 1
    priority: int = 0

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is not RouteKind.NON_IDEMPOTENT


class ServiceSpec(NamedTuple):
    """Service that routes refer to.

    ``connections`` is the number that each worker accepts; 0 if unknown.
    ``health_path`` is the path of its workers' health check.
    """

    name: str
    connections: int = 0
    health_path: str = ''


class CallerLimits(NamedTuple):
    """Bounds on what callers may send and how long they may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One version of the configuration, in force as a whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits


class Phase(enum.Enum):
    """State of an order to move a service to another upstream version."""

    RUNNING = 'running'
    DONE = 'done'
    TAKEN_BACK = 'taken_back'


class Order(NamedTuple):
    """Operator's order to move a service's traffic to a version.

    ``order_id`` identifies the order among the orders of the service;
    ``revision`` is the store's revision of the object, which conditional
    updates compare. ``is_shown`` tells whether the status in the store is
    that of this order.
    """

    service: str
    order_id: int
    version: str
    duration_s: float
    phase: Phase
    revision: int
    has_status: bool = False


class Announcement(NamedTuple):
    """What the local worker says of itself.

    Announcements of one worker are ordered by ``(started_ms, sequence)``.
    ``started_ms`` is the time of the worker's start since the epoch, 0 if it
    is not told.
    """

    instance: str
    service: str
    version: str
    host: str
    port: int
    slots: int
    draining: bool
    sequence: int
    started_ms: int = 0
    warmup_s: float = 0.0


class Health(NamedTuple):
    """What a healthy worker says of itself in a health check.

    ``slots`` is 0 where the worker does not tell.
    """

    instance: str
    slots: int = 0


class NodeAddress(NamedTuple):
    """Entry of a node in the directory that the store keeps."""

    node_id: str
    host: str
    port: int
    region: str
    failure_domain: str
