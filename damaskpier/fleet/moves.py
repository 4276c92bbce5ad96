"""Progress of a move on one node: share of traffic and evidence.

A move is the gradual shift of a service's requests from one upstream version
to another, as an operator's order asks for it.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import math
from typing import NamedTuple

from damaskpier.fleet import comparison
from damaskpier.fleet import model
from damaskpier.fleet import move_evidence
from damaskpier.fleet import regression
from damaskpier.fleet import service_comparison
from damaskpier.fleet import share_schedule
from damaskpier.fleet import step_back
from damaskpier.rollout import latency
from damaskpier.rollout import model as rollout_model
from damaskpier.rollout import sequential_test

# Upper bounds of the probability that random variation alone makes the
# versions differ significantly: in one comparison, and on any of the routes.
FALSE_POSITIVE_RATE = 0.001
ROUTES_FALSE_POSITIVE_RATE = 0.004
# Latency is compared only from this time after the first answer of the new
# version, because workers that have just started are slow.
LATENCY_WARMUP_S = 4.0
# If it is still in doubt at the last moment whether the new version has a
# fault, a higher probability of random variation is accepted.
LAST_RATE_FACTOR = 10.0
# A limit of the share ends after this time unless it is stated again.
LIMIT_DURATION_S = 0.75


class _Compared(NamedTuple):
    """Group of requests that is compared, and its false positive rate."""

    route: str
    comparison: comparison.Comparison | service_comparison.ServiceComparison
    rate: float


class Move:
    """State of one move on this node.

    :param order: order that started the move
    :param now: time of the clock at which this node learned of the order,
        in seconds
    """

    def __init__(self, order: model.Order, now: float) -> None:
        self.order = order
        self.started_at = now
        self.phase = order.phase
        self.reason = ''
        self.full_share_since: float | None = None
        self.first_answer_at: float | None = None
        self.is_writing_decision = False
        self.is_writing_status = False
        self.evidence = move_evidence.MoveEvidence()
        self._created_at = now
        # Requests of the service on this node since then.
        self._requests = 0
        self._share = 0.0
        self._schedule = sequential_test.CapitalSchedule(
            now, now + order.duration_s
        )
        self._service = service_comparison.ServiceComparison(self._schedule)
        self._routes: dict[str, comparison.Comparison] = {}
        self._is_doubtful = False
        self._step_back = step_back.StepBack()
        self.limit_sent_at = -math.inf
        self._limit = 1.0
        self._limited_until = -math.inf
        self._requests_per_s = 0.0
        self._local_counts: dict[
            tuple[str, float, str], tuple[list, list]
        ] = {}
        self._pending_cells: dict[
            tuple[str, float, str], rollout_model.EvidenceCell
        ] = {}

    @property
    def move_id(self) -> str:
        """Return the identifier of the move, which is unique in the fleet."""
        return move_id(self.order)

    def record_choice(self, is_new: bool) -> None:
        """Record that a version has been chosen for a request."""
        self._requests += 1
        if is_new:
            self.evidence.record_sent()

    def record(
        self,
        route: str,
        is_new: bool,
        failed: bool,
        ms: float,
        share: float,
        worker: str = '',
    ) -> None:
        """Record the outcome of a request that this node routed.

        :param is_new: whether the request went to the new version
        :param ms: time to the answer in milliseconds
        :param share: share of the new version when the request was routed
        :param worker: worker that the outcome is of, if it is known; it is
            kept for the new version only
        """
        cell = self._local_counts.setdefault(
            (route, share, worker if is_new else ''),
            ([0, 0, {}], [0, 0, {}]),
        )
        counts = cell[is_new]
        counts[0] += 1
        counts[1] += failed
        self.evidence.record_ends(not is_new, is_new)
        bucket = latency.bucket_of(ms)
        counts[2][bucket] = counts[2].get(bucket, 0) + 1

    def drain_cells(
        self, failure_domain: str, now: float
    ) -> list[rollout_model.EvidenceCell]:
        """Return the counts of this node since the last call and reset them.

        :param now: time of the clock in seconds, the window of the cells
        """
        counts, self._local_counts = self._local_counts, {}
        return [
            rollout_model.EvidenceCell(
                self.move_id,
                route,
                failure_domain,
                int(now),
                rollout_model.VersionCounts(*old),
                rollout_model.VersionCounts(*new),
                share,
                worker,
            )
            for (route, share, worker), (old, new) in counts.items()
        ]

    def merge_cell(self, cell: rollout_model.EvidenceCell) -> None:
        """Merge counts of any node into those of the next evaluation."""
        key = cell.route, cell.share, cell.worker
        self.evidence.record_ends(cell.old.requests, cell.new.requests)
        known = self._pending_cells.get(key)
        self._pending_cells[key] = cell if known is None else known.plus(cell)

    def evaluate(self, now: float) -> str:
        """Compare the versions with the counts merged since the last call.

        :returns: description of a regression; empty if there is none
        """
        received, self._pending_cells = self._pending_cells, {}
        self._merge(received.values(), now)
        found = self._find_fault(now)
        if found:
            return found
        old, new = self._service.totals_at_large_shares()
        if self._step_back.is_active:
            return self._step_back.verdict(new, now)
        found = self._find_regression(now)
        ends_by = self._time_at(share_schedule.LATEST_STEP_BACK_RATIO)
        if now >= ends_by:
            return found
        found = found or self._find_excess_failures()
        if found and self._step_back.begin(found, old, new, now, ends_by):
            return ''
        return found

    def _merge(
        self, cells: Collection[rollout_model.EvidenceCell], now: float
    ) -> None:
        """Merge counts into all comparisons."""
        if self.first_answer_at is None and any(
            cell.new.requests for cell in cells
        ):
            self.first_answer_at = now
        is_warm = (
            self.first_answer_at is not None
            and now >= self.first_answer_at + LATENCY_WARMUP_S
        )
        for cell in _over_workers(cells):
            self._compare_route(cell, now, is_warm)
        for cell in cells:
            self._routes[cell.route].merge_worker(
                cell, regression.Counts(cell.old, cell.new), is_warm
            )
        self._service.merge(cells, now, is_warm)
        if self._step_back.is_active:
            self._step_back.record(self._service.latest_at_small_shares)

    def _find_fault(self, now: float) -> str:
        """Look for a fault of the new version at small shares."""
        factor = 1.0
        if self._is_doubtful and now >= self._time_at(
            share_schedule.LATEST_HOLD_RATIO
        ):
            factor = LAST_RATE_FACTOR
        self._is_doubtful = False
        for route, compared, rate in self._comparisons():
            found = compared.find_fault(factor * rate)
            if found.text:
                return f'{route}: {found.text}'
            self._is_doubtful |= found.is_doubtful
        return ''

    def _find_regression(self, now: float) -> str:
        """Look for a regression in the recent outcomes."""
        return _first(
            (route, compared.find_regression(now, rate))
            for route, compared, rate in self._comparisons()
        )

    def _find_excess_failures(self) -> str:
        """Look for more failures than usual at large shares."""
        return _first(
            (route, compared.find_excess_failures(rate))
            for route, compared, rate in self._comparisons()
        )

    def _comparisons(self) -> Iterator[_Compared]:
        """Yield what is compared."""
        route_rate = min(
            FALSE_POSITIVE_RATE,
            ROUTES_FALSE_POSITIVE_RATE / max(1, len(self._routes)),
        )
        for route, compared in self._routes.items():
            yield _Compared(route, compared, route_rate)
        yield _Compared('all routes', self._service, FALSE_POSITIVE_RATE)

    def _compare_route(
        self, cell: rollout_model.EvidenceCell, now: float, is_warm: bool
    ) -> None:
        route_comparison = self._routes.get(cell.route)
        if route_comparison is None:
            route_comparison = self._routes[cell.route] = (
                comparison.Comparison(self._schedule)
            )
        recent = regression.Counts(cell.old, cell.new)
        route_comparison.merge_cell(cell, recent, now, is_warm)

    def mean_requests_per_s(self, now: float) -> float:
        """Return the requests of the service that this node had a second.

        One is added to their number, so that the rate of a node without
        requests is not 0.
        """
        return (self._requests + 1) / max(now - self._created_at, 1.0)

    def share(
        self, now: float, requests_per_s: float, loaded_share: float = 0.0
    ) -> float:
        """Return the share of requests that the new version gets.

        :param requests_per_s: requests of the service per second in the
            whole fleet
        :param loaded_share: share at which a canary is loaded; 0 if unknown
        """
        self._requests_per_s = requests_per_s
        share = share_schedule.share_at(
            now - self.started_at,
            self.order.duration_s,
            requests_per_s,
            loaded_share,
        )
        if now < self._limited_until:
            held = share_schedule.in_bursts(
                now - self.started_at, self._limit, loaded_share
            )
            share = min(share, held)
        if 0.0 < self._share < share and self.evidence.is_missing(now):
            return self._share
        self._share = share
        return share

    def share_limit(self, now: float) -> float:
        """Return the limit of the share that the evidence calls for.

        While it is in doubt whether the new version has a fault, it gets no
        more requests than at first, and the versions go on to be compared. A
        fault of both versions does not remain in doubt, as the old one then
        shows it, too.

        :returns: 1 for no limit
        """
        held_until = self._time_at(share_schedule.LATEST_HOLD_RATIO)
        is_held = self._is_doubtful and now < held_until
        if not is_held and not self._step_back.is_active:
            return 1.0
        return share_schedule.canary_share(
            self.order.duration_s, self._requests_per_s
        )

    def _time_at(self, ratio: float) -> float:
        """Return the time of the clock at a part of the duration."""
        return self.started_at + ratio * self.order.duration_s

    def limit_share(self, limit: float, now: float) -> None:
        """Limit the share for ``LIMIT_DURATION_S``."""
        if limit < 1.0:
            self._limit = limit
            self._limited_until = now + LIMIT_DURATION_S


def _first(findings: Iterable[tuple[str, str]]) -> str:
    """Return the first finding that is not empty, with its route."""
    return next((f'{route}: {text}' for route, text in findings if text), '')


def _over_workers(
    cells: Iterable[rollout_model.EvidenceCell],
) -> Iterable[rollout_model.EvidenceCell]:
    """Return one cell for each route and share."""
    total: dict[tuple[str, float], rollout_model.EvidenceCell] = {}
    for cell in cells:
        key = cell.route, cell.share
        known = total.get(key)
        total[key] = cell if known is None else known.plus(cell)
    return total.values()


def move_id(order: model.Order) -> str:
    """Return the identifier of an order's move, unique in the fleet."""
    return f'{order.service}/{order.version}/{order.order_id}'
