"""Evidence of one route of a move, and the share that follows from it."""

from __future__ import annotations

import enum
import math
from typing import Any
from typing import TYPE_CHECKING

from damaskpier.rollout import baseline
from damaskpier.rollout import equal_share_check
from damaskpier.rollout import model
from damaskpier.rollout import sequential_test
from damaskpier.rollout import shares
from damaskpier.rollout import watch

if TYPE_CHECKING:
    from damaskpier.bundle import model as bundle_model
    from damaskpier.rollout import options as options_

# Warm-up: time after the first request of the new version, as a part of the
# time of the move with its bounds. New instances answer slowly or fail
# occasionally at first, so that during the warm-up only the failure of most
# requests takes the version back: at least WARMUP_MIN_FAILURES, at a rate of
# WARMUP_FAILURE_RATE or above, that go on for WARMUP_FAILING_S or are at
# least WARMUP_MANY_FAILURES.
WARMUP_RATIO = 0.08
WARMUP_MIN_S = 4.0
WARMUP_MAX_S = 45.0
WARMUP_MIN_FAILURES = 6
WARMUP_FAILURE_RATE = 0.6
WARMUP_FAILING_S = 5.0
WARMUP_MANY_FAILURES = 20
# The latency of the first requests of a route on the new version is ignored.
WARMUP_REQUESTS = 3
# Capital from which on the share does not grow.
HALT_CAPITAL = 10.0
# After a halt the share grows at most by this factor per interval.
CATCH_UP_FACTOR = 1.5
CATCH_UP_INTERVAL_S = 2.0
# Last part of the time of the move, in which this limit does not apply.
CATCH_UP_END_RATIO = 0.1
# Time for which the trip of a node counts.
TRIP_MEMORY_S = 15.0
# Number of tripped nodes that raise an alarm, and the failure rate in it.
TRIP_NODES = 2
TRIP_RATE = 0.7
# Above this share an alarm starts a check.
CHECK_ABOVE_SHARE = 0.6
# A fault depends on the share if it vanishes in a check and recurs after the
# share is restored, this many times in a row, each time within this number of
# requests or this time.
RECURRENCES = 2
RECURRENCE_REQUESTS = 10
RECURRENCE_S = 2.5
# Requests on each version that the comparison of a route requires.
COMPARED_REQUESTS = 10
RATE_WINDOW_S = 15.0
# The baseline, and the likelihood ratios with it, change once in this number
# of windows.
BASELINE_WINDOWS = 3


class Mode(enum.Enum):
    """Mode of the share of a route; its values are shown to operators."""

    GROWING = 'growing'
    HALTED = 'halted'
    CHECKING = 'checking'


class RouteController:
    """Evaluates a route and plans its share.

    :param move: the move
    :param spec: the route
    :param options: options of the decisions
    """

    def __init__(
        self,
        move: bundle_model.Move,
        spec: bundle_model.RouteSpec,
        options: options_.Options,
    ) -> None:
        self.repeatable = spec.repeatable
        self._move = move
        self._options = options
        self._plan = shares.SharePlan(
            move.start, move.by, spec.repeatable, options.first_share
        )
        schedule = sequential_test.CapitalSchedule(move.start, move.by)
        self._warmup_test = sequential_test.RouteTest(schedule)
        self._test = sequential_test.RouteTest(schedule)
        self._baseline = baseline.Baseline()
        self._pending_counts: list[model.VersionCounts] = []
        self._baseline_window = -1
        self._detector = watch.CusumDetector()
        self._share = 0.0
        self._share_since = move.start
        self._check: equal_share_check.EqualShareCheck | None = None
        self._check_count = 0
        self._has_vanished = False
        self._recurrences = 0
        self._check_ended_at = -math.inf
        self._trip_times: dict[str, float] = {}
        self._failing_span: list[int] = []  # first failure, last window
        self._warmup_counts = [0, 0]  # requests and failures
        self._rate_requests = 0.0
        self._rate_since: float | None = None
        self._conclusive: sequential_test.SequentialTestResult | None = None
        self._result = sequential_test.SequentialTestResult()
        self._is_result_stale = False
        self.rate = 0.0  # requests/s, 0 if unknown
        self.mode = Mode.GROWING
        self.old_requests = 0
        self.old_failures = 0
        self.new_requests = 0
        self.new_failures = 0

    @property
    def is_compared(self) -> bool:
        """Return whether both versions had enough requests."""
        return min(self.old_requests, self.new_requests) >= COMPARED_REQUESTS

    def resume(self, share: float) -> None:
        """Continue from the share of a stored state."""
        self._share = share

    def record_share(self, share: float) -> None:
        """Record the share that is sent to the nodes."""
        self._share = share

    def observe(
        self, cell: model.EvidenceCell, first_new: int | None, now: float
    ) -> baseline.LogRatios | None:
        """Add a cell of this route.

        :param first_new: first window with requests on the new version, None
            if there is none yet
        :param now: time in s
        :returns: logarithms of the likelihood ratios of the cell; None
            during the warm-up and if the cell cannot be compared
        """
        # The baseline has earlier windows only: the likelihood ratios of a
        # window must not depend on its outcomes.
        if cell.window >= self._baseline_window + BASELINE_WINDOWS or (
            cell.window != self._baseline_window
            and not self._baseline.has_enough_requests
        ):
            self._baseline_window = cell.window
            for counts in self._pending_counts:
                self._baseline.add(counts)
            self._pending_counts.clear()
        warmup_s = WARMUP_RATIO * (self._move.by - self._move.start)
        warmup_s = min(max(warmup_s, WARMUP_MIN_S), WARMUP_MAX_S)
        is_warming_up = first_new is None or cell.window < first_new + warmup_s
        log_ratios = None
        if 0.0 < cell.share < 1.0 and self._baseline.has_enough_requests:
            log_ratios = self._baseline.log_ratios(
                cell,
                not is_warming_up and self.new_requests >= WARMUP_REQUESTS,
            )
            test = self._warmup_test if is_warming_up else self._test
            test.update(
                cell.window, cell.share, cell.failure_domain, log_ratios
            )
            self._is_result_stale = True
        if is_warming_up:
            self._observe_warmup(cell)
        elif self._check is not None:
            if log_ratios is not None:
                self._check.update(cell, log_ratios, self._baseline)
        elif cell.share > CHECK_ABOVE_SHARE:
            alarm = self._detector.update(cell, self._baseline)
            if alarm is not None:
                self._on_alarm(alarm, now)
        self._pending_counts.append(cell.old)
        self.old_requests += cell.old.requests
        self.old_failures += cell.old.failures
        self.new_requests += cell.new.requests
        self.new_failures += cell.new.failures
        self._update_rate(cell)
        return None if is_warming_up else log_ratios

    def observe_trip(self, notice: model.TripNotice, now: float) -> None:
        """Add the notice that a node tripped on this route."""
        self._trip_times[notice.node_id] = now
        recent = [
            at for at in self._trip_times.values() if now - at <= TRIP_MEMORY_S
        ]
        if len(recent) >= TRIP_NODES and self._baseline.has_enough_requests:
            expected = self._baseline.smoothed_rate(self._baseline.failures)
            self._on_alarm(
                watch.Alarm(
                    baseline.FAILURE, max(TRIP_RATE, expected), expected
                ),
                now,
            )

    def result(self) -> sequential_test.SequentialTestResult:
        """Return the capital of the comparison after the warm-up."""
        if self._is_result_stale:
            self._is_result_stale = False
            self._result = self._test.result()
        return self._result

    def conclusive_result(
        self, error_rate: float
    ) -> sequential_test.SequentialTestResult | None:
        """Return a result that takes the version back by itself, if any.

        These are failures of most requests in the warm-up, a check that found
        the version worse, and a fault that comes and goes with the share.
        """
        if self._conclusive is not None:
            return self._conclusive
        if self._check is not None and self._check.is_worse(error_rate):
            return self._check.result()
        if self._fails_in_warmup():
            found = self._warmup_test.result()
            if found.capital >= 1.0 / error_rate:
                return found
        return None

    def plan_share(
        self, now: float, rates: shares.Rates, finished: bool
    ) -> float:
        """Return the share that the route should have, 0..1.

        :param now: time in s
        :param rates: requests per second of the route and of its service
        :param finished: whether the move is done
        """
        if self._check is not None and self._check.has_ended(now):
            self._end_check(now)
        if self._check is not None:
            self.mode = Mode.CHECKING
            return equal_share_check.SHARE
        if finished:
            self.mode = Mode.GROWING
            return shares.round_to_ppm(1.0 - self._options.hold_back)
        wanted = self._plan.share(now, rates)
        if self.result().capital >= HALT_CAPITAL and self._share:
            self.mode = Mode.HALTED
            self._share_since = now
            return min(wanted, self._share)
        self.mode = Mode.GROWING
        left = self._move.by - now
        if (
            self._share > 0.0
            and wanted > self._share * CATCH_UP_FACTOR
            and left > CATCH_UP_END_RATIO * (self._move.by - self._move.start)
        ):
            if now < self._share_since + CATCH_UP_INTERVAL_S:
                return self._share
            wanted = self._share * CATCH_UP_FACTOR
            self._share_since = now
        return shares.round_to_ppm(wanted)

    def summary(self) -> dict[str, Any]:
        """Return the evidence that is stored and shown to operators."""
        return {
            'share': self._share,
            'old_requests': self.old_requests,
            'old_failures': self.old_failures,
            'new_requests': self.new_requests,
            'new_failures': self.new_failures,
            'capital': self.result().capital,
            'statistic': self._result.statistic,
            'failure_domain': self._result.failure_domain,
            'state': self.mode.value,
        }

    def _observe_warmup(self, cell: model.EvidenceCell) -> None:
        self._warmup_counts[0] += cell.new.requests
        self._warmup_counts[1] += cell.new.failures
        if cell.new.failures and not self._failing_span:
            self._failing_span = [cell.window, cell.window]
        if self._failing_span:
            self._failing_span[1] = max(self._failing_span[1], cell.window)

    def _fails_in_warmup(self) -> bool:
        requests, failures = self._warmup_counts
        if failures < max(WARMUP_MIN_FAILURES, WARMUP_FAILURE_RATE * requests):
            return False
        if failures >= WARMUP_MANY_FAILURES:
            return True
        first, last = self._failing_span
        return last - first >= WARMUP_FAILING_S

    def _update_rate(self, cell: model.EvidenceCell) -> None:
        if self._rate_since is None:
            self._rate_since = cell.window
        self._rate_requests += cell.old.requests + cell.new.requests
        passed = cell.window + 1 - self._rate_since
        if passed <= 0:
            return
        self.rate = self._rate_requests / passed
        if passed > 2 * RATE_WINDOW_S:
            self._rate_since = cell.window + 1 - RATE_WINDOW_S
            self._rate_requests = self.rate * RATE_WINDOW_S

    def _on_alarm(self, alarm: watch.Alarm, now: float) -> None:
        if self._check is not None or self._share <= CHECK_ABOVE_SHARE:
            return
        is_soon = now <= self._check_ended_at + RECURRENCE_S or (
            alarm.requests_before is not None
            and alarm.requests_before <= RECURRENCE_REQUESTS
        )
        self._recurrences = (
            self._recurrences + 1 if self._has_vanished and is_soon else 0
        )
        if self._recurrences >= RECURRENCES:
            self._conclusive = sequential_test.SequentialTestResult(
                0.0, alarm.statistic
            )
            return
        self._check_count += 1
        length = self._move.by - self._move.start
        self._check = equal_share_check.EqualShareCheck(
            alarm, self._check_count, self._share, now, length
        )

    def _end_check(self, now: float) -> None:
        ended = self._check
        self._check = None
        self._has_vanished = ended.has_vanished()
        self._check_ended_at = now
        self._detector.reset()
        self._trip_times.clear()
        self._share = ended.share
        self._share_since = now
