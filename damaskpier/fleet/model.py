"""Types for configuration, orders and workers of a fleet.

Nodes send each other :class:`Configuration` as msgpack arrays, so that the
order and the types of the fields are part of the wire format.
"""

from __future__ import annotations

import enum
import math
from typing import NamedTuple


# Rejected versions of a service that are kept, the latest ones. The workers of
# earlier ones have stopped long before.
MAX_REJECTED_VERSIONS = 16


class RouteKind(enum.Enum):
    """Kind of a route's requests, which decides whether they are retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    DOWNLOAD = 'download'


class WeightedService(NamedTuple):
    """Destination of a route with its weight among the route's others."""

    service: str
    weight: float


class Route(NamedTuple):
    """Route of callers' requests by host and path prefix.

    The longest matching prefix of a host applies. ``objective_s`` is the
    latency objective. ``priority`` 0 is the most urgent. ``max_attempts``
    bounds the number of workers on which one request may run. A request of a
    public route needs no key of a team. ``allowed_regions`` are the regions of
    the workers; all of them if it is empty.
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
    is_public: bool = False
    allowed_regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is not RouteKind.NON_IDEMPOTENT


class ServiceSpec(NamedTuple):
    """Service that routes refer to.

    ``connections`` is the number of connections that each worker accepts; 0
    if unknown. ``health_path`` is the path of the workers' health check; empty
    if there is none. A worker is cold for ``cold_start_s`` after its start,
    and takes ``cold_rate_per_s`` requests a second meanwhile; 0 if unknown.
    """

    name: str
    connections: int = 0
    health_path: str = ''
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


class Team(NamedTuple):
    """Team of callers, which its keys identify.

    ``key_digests`` are the SHA-256 digests of the keys. ``priority`` takes
    precedence over that of a route; None if the team has none. The team may
    send ``rate_per_s`` requests a second and ``burst`` beyond that, over all
    nodes together; there is no limit if ``rate_per_s`` is 0.
    ``allowed_regions`` are the regions of the workers; all of them if it is
    empty.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()


class CallerLimits(NamedTuple):
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One version of the configuration, which is applied as a whole.

    If it has teams, a request needs the key of one of them.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits
    teams: tuple[Team, ...] = ()


class Phase(enum.Enum):
    """Phase of an order to move a service to another upstream version."""

    RUNNING = 'running'
    DONE = 'done'
    TAKEN_BACK = 'taken_back'


class VersionHistory(NamedTuple):
    """What the earlier orders of a service have come to.

    ``in_force`` is the version that the current order replaces; empty if
    unknown. ``rejected`` are the versions whose orders ended without being
    done, the latest one last.
    """

    in_force: str = ''
    rejected: tuple[str, ...] = ()

    def after(self, version: str, phase: Phase) -> VersionHistory:
        """Return the history for the order that follows the current one.

        An order that is replaced while it runs does not bring its version
        into force.

        :param version: version of the current order
        :param phase: last phase of the current order
        """
        if phase is Phase.DONE:
            return _make_history(version, self.rejected)
        return _make_history(self.in_force, (*self.rejected, version))

    def merged(self, other: VersionHistory) -> VersionHistory:
        """Return this history with what only the other one contains."""
        return _make_history(
            self.in_force or other.in_force, (*other.rejected, *self.rejected)
        )


def _make_history(in_force: str, rejected: tuple[str, ...]) -> VersionHistory:
    latest_first = dict.fromkeys(reversed(rejected))
    latest_first.pop(in_force, None)
    kept = list(latest_first)[:MAX_REJECTED_VERSIONS]
    return VersionHistory(in_force, tuple(reversed(kept)))


class Order(NamedTuple):
    """Operator's order to move a service's traffic to a version.

    ``order_id`` identifies the order among the orders of the service.
    ``revision`` is the store's revision of the object, which conditional
    updates compare. ``has_status`` is set if the store holds a status of this
    order and not of an earlier one. ``history`` is that of the orders before
    this one.
    """

    service: str
    order_id: int
    version: str
    duration_s: float
    phase: Phase
    revision: int
    has_status: bool = False
    history: VersionHistory = VersionHistory()


class Announcement(NamedTuple):
    """Announcement of the local upstream.

    Announcements of one worker are ordered by ``(started_ms, sequence)``.
    ``started_ms`` is the time of the worker's start since the epoch; 0 if
    unknown. ``warmup_s`` is the time for which the worker stays cold, in
    seconds; infinite if unknown.
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
    """Result of the health check of a healthy worker.

    ``slots`` is 0 if unknown. ``warmup_s`` is the time for which the worker
    stays cold, in seconds; infinite if it does not say.
    """

    instance: str
    slots: int = 0
    warmup_s: float = math.inf


class ReportedLoad(NamedTuple):
    """Load that a worker reports in an answer or a health check.

    ``pace`` is the time that work takes now as a multiple of the usual time;
    None if the worker reports none.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class NodeAddress(NamedTuple):
    """Entry of a node in the store's directory."""

    node_id: str
    host: str
    port: int
    region: str
    failure_domain: str


class Departure(NamedTuple):
    """Start of an instance that has left.

    ``started_ms`` is the time of the start since the epoch; the instance may
    start again later.
    """

    instance: str
    started_ms: int


class DirectoryEntry(NamedTuple):
    """Entry of a node with the departures of its worker, the latest last.

    ``revision`` is the store's revision of the entry, which conditional
    updates compare; 0 if unknown.
    """

    node: NodeAddress
    revision: int
    departures: tuple[Departure, ...] = ()
