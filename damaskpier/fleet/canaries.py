"""Workers that get the requests of a new version while its share is small.

Spread over all workers of the version, the requests of a small share leave
each of them nearly idle, and a fault that shows only under load shows when
most requests have been moved. They go to so few workers instead that each
carries about what it will carry at the end. All nodes choose the same workers,
which take turns, so that the fault of a single worker can be told from one of
the version.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from damaskpier.util import rendezvous

TURN_S = 1.2
# The part of its slots that a canary is to use is the one that it will use at
# the end, within these bounds: a service with little load now may have more
# later, and a single worker has nobody to share a peak with.
MIN_USE_RATIO = 0.7
MAX_USE_RATIO = 0.75
# With a larger share, all workers get requests.
MAX_SHARE = 0.5


class Worker(NamedTuple):
    """Worker of the new version."""

    key: str
    slots: int


def loaded_share(workers: Iterable[Worker], in_progress: float) -> float:
    """Return the share at which one canary is loaded.

    :param workers: all workers of the new version
    :param in_progress: mean number of requests of the service that run at the
        same time, of both versions
    """
    slots = max((worker.slots for worker in workers), default=0)
    if not slots or not in_progress:
        return 0.0
    return min(MIN_USE_RATIO * slots / in_progress, MAX_SHARE)


def choose(
    move_id: str,
    workers: Iterable[Worker],
    elapsed_s: float,
    share: float,
    in_progress: float,
) -> frozenset[str]:
    """Return the keys of the workers that get the new version's requests.

    :param workers: all workers of the new version
    :param elapsed_s: time since the start of the move in seconds
    :param share: share of the new version
    :param in_progress: mean number of requests of the service that run at the
        same time, of both versions
    """
    ordered = sorted(
        workers, key=lambda worker: rendezvous.score(move_id, worker.key)
    )
    if share > MAX_SHARE:
        return frozenset(worker.key for worker in ordered)
    slots = sum(worker.slots for worker in ordered)
    use_ratio = min(
        max(in_progress / max(1, slots), MIN_USE_RATIO), MAX_USE_RATIO
    )
    count = _count(ordered, share * in_progress / use_ratio)
    first = int(elapsed_s / TURN_S) * count
    return frozenset(
        ordered[(first + index) % len(ordered)].key for index in range(count)
    )


def _count(workers: list[Worker], needed_slots: float) -> int:
    """Return how many workers have a number of slots together."""
    slots = 0
    for number, worker in enumerate(workers, start=1):
        slots += worker.slots
        if slots >= needed_slots:
            return number
    return len(workers)
