"""Data types that the modules of the request path exchange."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpier import errors

Headers = tuple[tuple[str, str], ...]


class Request(NamedTuple):
    """Request of a caller on its way to a worker.

    ``deadline`` is a time of the node's monotonic clock in seconds.
    ``priority`` 0 is the most urgent. ``caller`` names the service whose
    instance sent the request. ``max_wait_s`` limits the wait for a slot.
    ``objective`` is the time by which the answer should arrive, on the same
    clock as the deadline. ``is_repeat`` is set if an earlier attempt may have
    run. ``team`` names the team of the caller; it is empty if the request
    needs no key.
    """

    request_id: str
    route: str
    service: str
    version: str
    method: str
    target: str  # path and query
    headers: Headers
    body: bytes
    deadline: float
    depth: int
    repeatable: bool
    priority: int = 0
    caller: str = ''
    max_wait_s: float = float('inf')
    is_repeat: bool = False
    objective: float = float('inf')
    team: str = ''


class Answer(NamedTuple):
    """Complete answer of an upstream.

    ``upstream_s`` is the time that the upstream took, in seconds.
    """

    status: int
    headers: Headers
    body: bytes
    upstream_s: float = 0.0


class Load(NamedTuple):
    """Load of a worker as reported by its node.

    ``in_use`` counts the requests that run, ``queued`` those that wait.
    ``link_busy_s`` is the time in seconds that the node's link needs for the
    long responses of these requests, and for those that are ready. ``wait_s``
    is the time in seconds until another request may start at the rate that
    the worker takes. ``pace`` is the time that work takes there as a multiple
    of the usual time, ``pace_age_s`` the time since the worker reported it in
    seconds, and ``mean_pace`` the mean of the last seconds; ``pace`` is None
    if the worker reported none.
    """

    slots: int
    in_use: int
    queued: int
    link_busy_s: float = 0.0
    wait_s: float = 0.0
    pace: float | None = None
    pace_age_s: float = 0.0
    mean_pace: float = 1.0


class Reply(NamedTuple):
    """Outcome of one attempt and the load that came with it.

    ``load`` is None if the worker did not report it. ``leaving_started_ms`` is
    set if the worker has said that it is leaving, to its start since the epoch
    or to 0 if that is unknown.
    """

    result: Answer | errors.Refusal
    load: Load | None = None
    leaving_started_ms: int | None = None
