"""States and evidence of moves."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Phase(enum.Enum):
    """Phase of a move; its values are in messages and stored objects."""

    RUNNING = 'running'
    DONE = 'done'
    TAKEN_BACK = 'taken_back'


class MoveState(NamedTuple):
    """State of a move, as decided by the holder of the fleet lease.

    States are ordered by ``(epoch, seq)``; :attr:`Phase.TAKEN_BACK` comes
    after every other phase regardless of these.
    """

    move: str
    epoch: int
    seq: int
    phase: Phase
    shares: dict[str, float]  # by route, 0..1
    reason: str = ''
    result: int = 0  # number of a result code, 0 while running
    # On nodes without a tree only: what is known of the service's versions.
    in_force: str = ''
    rejected: tuple[str, ...] = ()

    @property
    def order(self) -> tuple[bool, int, int]:
        """Return the key that orders the states of one move."""
        return self.phase is Phase.TAKEN_BACK, self.epoch, self.seq


class VersionChoice(NamedTuple):
    """Version that a request is sent to, and the share used to choose it."""

    version: str
    share: float


class Sample(NamedTuple):
    """Outcome of one request of a route with a running move.

    ``ms`` is the time to the answer; ``failed`` is true for a status of
    500 or above and for a request without an answer. ``share`` is the
    share of the new version that the random choice of the version used;
    the comparison of the versions relies on it.
    """

    move: str
    route: str
    is_new: bool
    failed: bool
    ms: float
    share: float = 0.0


class VersionCounts(NamedTuple):
    """Outcomes of the requests that one version answered.

    ``latency`` maps the index of a bucket of
    :mod:`damaskpier.rollout.latency` to its number of requests.
    """

    requests: int = 0
    failures: int = 0
    latency: dict[int, int] = {}

    def plus(self, other: VersionCounts) -> VersionCounts:
        """Return the sum of two counts; neither of them changes."""
        latency = dict(self.latency)
        for bucket, count in other.latency.items():
            latency[bucket] = latency.get(bucket, 0) + count
        return VersionCounts(
            self.requests + other.requests,
            self.failures + other.failures,
            latency,
        )


class CellKey(NamedTuple):
    """Key of evidence; cells with the same key may be added up."""

    move: str
    route: str
    failure_domain: str
    window: int
    share: float
    worker: str = ''


class EvidenceCell(NamedTuple):
    """Counts of one route in one failure domain and window.

    ``window`` is the whole second in which the requests were sent, and
    ``share`` the share of the new version when each of them was sent.
    Requests of one cell were therefore assigned to a version at random
    with the same probability. ``worker`` is the worker of the new version
    that the counts of ``new`` are of; empty if they are of any.
    """

    move: str
    route: str
    failure_domain: str
    window: int
    old: VersionCounts
    new: VersionCounts
    share: float = 0.0
    worker: str = ''

    @property
    def key(self) -> CellKey:
        """Return the key of the cell."""
        return CellKey(
            self.move,
            self.route,
            self.failure_domain,
            self.window,
            self.share,
            self.worker,
        )

    def plus(self, other: EvidenceCell) -> EvidenceCell:
        """Return the sum of two cells with the same key."""
        return self._replace(
            old=self.old.plus(other.old), new=self.new.plus(other.new)
        )


class TripNotice(NamedTuple):
    """Notice that a node stopped sending a route to the new version."""

    move: str
    route: str
    node_id: str
    reason: str
