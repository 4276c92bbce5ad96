"""Outcomes of requests by route, failure domain and window.

A window is one second, identified by its start in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
import math

from damaskpier.rollout import latency
from damaskpier.rollout import model

# A window is closed this long after its end, so that the answers of both
# versions are recorded when it is compared. The wait grows with the latency
# of both versions alike: if it followed the old version's only, the timeouts
# of the old version would be sent later than those of the new one, and a
# timeout common to both would look like a fault of the new one.
MIN_WAIT_S = 0.2
MAX_WAIT_S = 4.0
WAIT_FACTOR = 2.2

# Windows without a failure are sent together after this time. Whether a
# window is sent early depends on the outcomes only, not on the versions that
# had them, so that the comparison stays valid.
QUIET_INTERVAL_S = 4.0


class EvidenceStore:
    """Counts that a node has recorded or merged and not yet drained.

    :param failure_domain: failure domain of the node
    :param quiet_s: time that windows without a failure may wait, in s
    """

    def __init__(
        self, failure_domain: str, quiet_s: float = QUIET_INTERVAL_S
    ) -> None:
        self._failure_domain = failure_domain
        self._quiet_s = quiet_s
        # Counts of requests of this node by move, route, share and window:
        # lists [requests, failures, histogram] for the old and new version.
        self._own: dict[tuple[str, str, float, int], tuple[list, list]] = {}
        self._failed_windows: set[int] = set()
        self._received: dict[model.CellKey, model.EvidenceCell] = {}
        self._slowest_ms: dict[str, float] = {}

    def record(self, sample: model.Sample, now: float) -> None:
        """Record the outcome of a request of this node.

        :param now: time at which the answer arrived, in s
        """
        move, route, is_new, failed, ms, share = sample
        window = math.floor(now - ms / 1000.0)
        key = move, route, share, window
        cell = self._own.get(key)
        if cell is None:
            cell = self._own[key] = ([0, 0, {}], [0, 0, {}])
        counts = cell[is_new]
        counts[0] += 1
        if failed:
            counts[1] += 1
            self._failed_windows.add(window)
        bucket = latency.bucket_of(ms)
        counts[2][bucket] = counts[2].get(bucket, 0) + 1
        slowest_ms = 0.98 * self._slowest_ms.get(route, 0.0)
        self._slowest_ms[route] = ms if ms > slowest_ms else slowest_ms

    def drain(self, now: float) -> list[model.EvidenceCell]:
        """Return and remove the counts of closed windows.

        :param now: time in s
        :returns: the node's own counts and those of other nodes, merged
        """
        cells = self._received
        self._received = {}
        waits = {
            route: min(max(MIN_WAIT_S, WAIT_FACTOR * ms / 1000.0), MAX_WAIT_S)
            for route, ms in self._slowest_ms.items()
        }
        closed = [
            key
            for key in self._own
            if now >= key[3] + 1 + waits.get(key[1], MIN_WAIT_S)
        ]
        if closed and (
            self._failed_windows
            or min(key[3] for key in closed) + 1 + self._quiet_s <= now
        ):
            self._move_closed(closed, cells)
        return [cells[key] for key in sorted(cells)]

    def merge(self, cells: Iterable[model.EvidenceCell]) -> None:
        """Merge the counts that other nodes have sent."""
        for cell in cells:
            _merge_cell(self._received, cell)

    def expire(self, oldest: int) -> None:
        """Remove the counts of windows that start before a time, in s."""
        # The window is at the same position in the keys of both.
        for kept in (self._own, self._received):
            for key in [key for key in kept if key[3] < oldest]:
                del kept[key]

    def remove_move(self, move: str) -> None:
        """Remove the counts of a move that is no longer evaluated."""
        for kept in (self._own, self._received):
            for key in [key for key in kept if key[0] == move]:
                del kept[key]

    def _move_closed(
        self,
        closed: list[tuple[str, str, float, int]],
        cells: dict[model.CellKey, model.EvidenceCell],
    ) -> None:
        # Windows with the same share become one cell, with the key of the
        # last of them: their requests were assigned with the same
        # probability.
        last: dict[tuple[str, str, float], int] = {}
        for key in closed:
            last[key[:3]] = max(key[3], last.get(key[:3], key[3]))
        for key in closed:
            old, new = self._own.pop(key)
            move, route, share, _ = key
            _merge_cell(
                cells,
                model.EvidenceCell(
                    move,
                    route,
                    self._failure_domain,
                    last[key[:3]],
                    model.VersionCounts(*old),
                    model.VersionCounts(*new),
                    share,
                ),
            )
        self._failed_windows &= {key[3] for key in self._own}


def _merge_cell(
    cells: dict[model.CellKey, model.EvidenceCell], cell: model.EvidenceCell
) -> None:
    known = cells.get(cell.key)
    cells[cell.key] = cell if known is None else known.plus(cell)
