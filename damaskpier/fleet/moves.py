"""An order as one node follows it: its share and its evidence."""

from __future__ import annotations

from damaskpier.fleet import comparison
from damaskpier.fleet import model
from damaskpier.rollout import latency
from damaskpier.rollout import model as rollout_model
from damaskpier.rollout import sequential_test

# First share of the new version, between these bounds so that about this
# many requests a second meet it in the whole fleet.
FIRST_SHARE_LOW = 0.03
FIRST_SHARE_HIGH = 0.08
FIRST_REQUESTS_PER_S = 14.0
# Steps of the share: part of the move's time from which on it holds.
# A fault that shows only under load is met by short steps, so that
# what the steps before it expose stays below the bound.
STEPS = (
    (0.40, 0.10),
    (0.43, 0.25),
    (0.46, 0.45),
    # As long as a few requests go to the old version, the versions can be
    # compared.
    (0.49, 0.95),
    (0.72, 1.0),
)
# Latency counts this long after the first answers of the new version, whose
# workers are slow at first.
WARMUP_S = 4.0


class Move:
    """An order as this node follows it."""

    def __init__(self, order: model.Order, now: float) -> None:
        self.order = order
        self.began = now
        self.phase = order.phase
        self.reason = ''
        self.full_since: float | None = None
        self.first_answer: float | None = None
        self.writing = False
        self.showing = False
        self._schedule = sequential_test.CapitalSchedule(
            now, now + order.duration_s
        )
        self._cases: dict[str, comparison.RouteComparison] = {}
        self._counts: dict[tuple[str, float], tuple[list, list]] = {}
        self._received: dict[
            tuple[str, float], rollout_model.EvidenceCell
        ] = {}

    @property
    def move_id(self) -> str:
        """Return the name of the move among all moves."""
        return move_id(self.order)

    def record(
        self, route: str, is_new: bool, failed: bool, ms: float, share: float
    ) -> None:
        """Count an outcome of this node."""
        cell = self._counts.setdefault(
            (route, share), ([0, 0, {}], [0, 0, {}])
        )
        counts = cell[is_new]
        counts[0] += 1
        counts[1] += failed
        bucket = latency.bucket_of(ms)
        counts[2][bucket] = counts[2].get(bucket, 0) + 1

    def take(
        self, failure_domain: str, now: float
    ) -> list[rollout_model.EvidenceCell]:
        """Return and forget the counts of this node."""
        counts, self._counts = self._counts, {}
        return [
            rollout_model.EvidenceCell(
                self.move_id,
                route,
                failure_domain,
                int(now),
                rollout_model.VersionCounts(*old),
                rollout_model.VersionCounts(*new),
                share,
            )
            for (route, share), (old, new) in counts.items()
        ]

    def add(self, cell: rollout_model.EvidenceCell) -> None:
        """Keep counts of any node until they are judged."""
        key = cell.route, cell.share
        known = self._received.get(key)
        self._received[key] = cell if known is None else known.plus(cell)

    def judge(self, now: float) -> str:
        """Judge what was added; return what is wrong, '' if nothing is."""
        received, self._received = self._received, {}
        for cell in received.values():
            self._observe(cell, now)
        for route, case in self._cases.items():
            fault = case.fault(now)
            if fault:
                return f'{route}: {fault}'
        return ''

    def _observe(self, cell: rollout_model.EvidenceCell, now: float) -> None:
        if cell.new.requests and self.first_answer is None:
            self.first_answer = now
        is_warm = (
            self.first_answer is not None
            and now >= self.first_answer + WARMUP_S
        )
        case = self._cases.get(cell.route)
        if case is None:
            case = self._cases[cell.route] = comparison.RouteComparison(
                self._schedule
            )
        case.observe(cell, now, is_warm)

    def share(self, now: float, per_s: float) -> float:
        """Return the share of requests that the new version gets.

        :param per_s: requests of the service a second in the whole fleet
        """
        share = FIRST_REQUESTS_PER_S / max(per_s, 1.0)
        # Counts are kept by share, so that it takes few values.
        share = round(min(max(share, FIRST_SHARE_LOW), FIRST_SHARE_HIGH), 2)
        passed = (now - self.began) / max(self.order.duration_s, 1.0)
        for since, step in STEPS:
            if passed >= since:
                share = step
        return share


def move_id(order: model.Order) -> str:
    """Return the name of an order's move among all moves."""
    return f'{order.service}/{order.version}/{order.order_id}'
