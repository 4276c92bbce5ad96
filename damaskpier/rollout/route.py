"""Evidence and share of one route of a move."""

from __future__ import annotations

import enum
import math
from typing import Any
from typing import TYPE_CHECKING

from damaskpier.rollout import baseline
from damaskpier.rollout import check
from damaskpier.rollout import model
from damaskpier.rollout import sequential_test
from damaskpier.rollout import shares
from damaskpier.rollout import watch

if TYPE_CHECKING:
    from damaskpier.bundle import model as bundle_model
    from damaskpier.rollout import options as options_

# Time after the first request of the new version in which only the failure
# of most requests counts: new instances answer slowly, or fail now and
# then, until they are warm.
WARM_PART = 0.08
WARM_MIN_S = 4.0
WARM_MAX_S = 45.0
WARM_FAILURES = 6
WARM_FAILURE_RATE = 0.6
WARM_LAST_S = 5.0
WARM_MANY_FAILURES = 20
# The first requests of a route on the new version do not count as slow.
WARM_REQUESTS = 3
# Capital from which on the share does not grow.
HALT_CAPITAL = 10.0
# After a halt the share grows back by this factor in each time.
CATCH_UP = 1.5
CATCH_UP_S = 2.0
# Part of the time before the stated time in which steps are not limited.
LAST_PART = 0.1
# Time for which the trip of a node counts.
TRIP_MEMORY_S = 15.0
TRIP_NODES = 2
TRIP_RATE = 0.7
# Above this share an alarm of the watch leads to a check.
CHECK_ABOVE = 0.6
# A fault that vanishes in a check and is back as soon as the share is, so
# many times in a row, depends on the share.
RETURNS = 2
RETURN_REQUESTS = 10
RETURN_S = 2.5
# Requests on both versions for the comparison of a route to count.
COMPARED_REQUESTS = 10
RATE_TIME_S = 15.0
# The record of the old version, and the odds with it, change this rarely.
RECORD_WINDOWS = 3


class Mode(enum.Enum):
    """What a route's share does; the values are for operators."""

    GROWING = 'growing'
    HALTED = 'halted'
    CHECKING = 'checking'


class RouteControl:
    """Judges a route and plans its share."""

    def __init__(
        self,
        move: bundle_model.Move,
        spec: bundle_model.RouteSpec,
        options: options_.Options,
    ) -> None:
        self.repeatable = spec.repeatable
        self._move = move
        self._options = options
        self._plan = shares.Plan(
            move.start, move.by, spec.repeatable, options.first_share
        )
        schedule = sequential_test.CapitalSchedule(move.start, move.by)
        self._warm = sequential_test.RouteTest(schedule)
        self._judge = sequential_test.RouteTest(schedule)
        self._old = baseline.Baseline()
        self._staged: list[model.VersionCounts] = []
        self._window = -1
        self._watch = watch.Watch()
        self._share = 0.0
        self._share_since = move.start
        self._check: check.Check | None = None
        self._checks = 0
        self._vanished = False
        self._returns = 0
        self._return_at = -math.inf
        self._trips: dict[str, float] = {}
        self._failed_windows: list[int] = []  # first failure, last window
        self._warm_new = [0, 0]  # requests and failures
        self._rate_count = 0.0
        self._rate_from: float | None = None
        self._certain: sequential_test.Finding | None = None
        self._finding = sequential_test.Finding()
        self._dirty = False
        self.rate = 0.0  # requests/s, 0 if unknown
        self.mode = Mode.GROWING
        self.old_requests = 0
        self.old_failures = 0
        self.new_requests = 0
        self.new_failures = 0

    @property
    def compared(self) -> bool:
        """Tell whether enough requests of both versions were seen."""
        return min(self.old_requests, self.new_requests) >= COMPARED_REQUESTS

    def resume(self, share: float) -> None:
        """Go on from the share of a stored state."""
        self._share = share

    def applied(self, share: float) -> None:
        """Note the share that is sent to the nodes."""
        self._share = share

    def observe(
        self, cell: model.EvidenceCell, first_new: int | None, now: float
    ) -> baseline.Gains | None:
        """Take in a cell of this route.

        :param first_new: first window with requests on the new version
        :returns: gains of the bets on the cell, if it is judged
        """
        # The record holds earlier windows only: the bets on a window must
        # not depend on its outcomes.
        if cell.window >= self._window + RECORD_WINDOWS or (
            cell.window != self._window and not self._old.has_enough_requests
        ):
            self._window = cell.window
            for counts in self._staged:
                self._old.add(counts)
            self._staged.clear()
        warm_s = WARM_PART * (self._move.by - self._move.start)
        warm_s = min(max(warm_s, WARM_MIN_S), WARM_MAX_S)
        is_warm = first_new is None or cell.window < first_new + warm_s
        gains = None
        if 0.0 < cell.share < 1.0 and self._old.has_enough_requests:
            gains = self._old.log_ratios(
                cell, not is_warm and self.new_requests >= WARM_REQUESTS
            )
            judged = self._warm if is_warm else self._judge
            judged.update(cell.window, cell.share, cell.failure_domain, gains)
            self._dirty = True
        if is_warm:
            self._observe_warm(cell)
        elif self._check is not None:
            if gains is not None:
                self._check.update(cell, gains, self._old)
        elif cell.share > CHECK_ABOVE:
            alarm = self._watch.update(cell, self._old)
            if alarm is not None:
                self._alarmed(alarm, now)
        self._staged.append(cell.old)
        self.old_requests += cell.old.requests
        self.old_failures += cell.old.failures
        self.new_requests += cell.new.requests
        self.new_failures += cell.new.failures
        self._count_rate(cell)
        return None if is_warm else gains

    def observe_trip(self, notice: model.TripNotice, now: float) -> None:
        """Take in the notice that a node tripped on this route."""
        self._trips[notice.node_id] = now
        recent = [
            at for at in self._trips.values() if now - at <= TRIP_MEMORY_S
        ]
        if len(recent) >= TRIP_NODES and self._old.has_enough_requests:
            expected = self._old.rate(self._old.failures)
            self._alarmed(
                watch.Alarm(
                    baseline.FAILURE, max(TRIP_RATE, expected), expected
                ),
                now,
            )

    def result(self) -> sequential_test.Finding:
        """Return the capital of the comparison after the warm-up."""
        if self._dirty:
            self._dirty = False
            self._finding = self._judge.result()
        return self._finding

    def certain(self, error_rate: float) -> sequential_test.Finding | None:
        """Return a finding that takes the version back by itself.

        These are failures of most first requests, a check that found the
        version worse, and a fault that comes and goes with the share.
        """
        if self._certain is not None:
            return self._certain
        if self._check is not None and self._check.convicts(error_rate):
            return self._check.result()
        if self._fails_cold():
            found = self._warm.result()
            if found.capital >= 1.0 / error_rate:
                return found
        return None

    def plan(self, now: float, rates: shares.Rates, finished: bool) -> float:
        """Return the share that the route should have.

        :param finished: whether the move is done
        """
        if self._check is not None and self._check.ended(now):
            self._end_check(now)
        if self._check is not None:
            self.mode = Mode.CHECKING
            return check.SHARE
        if finished:
            self.mode = Mode.GROWING
            return shares.rounded(1.0 - self._options.hold_back)
        wanted = self._plan.share(now, rates)
        if self.result().capital >= HALT_CAPITAL and self._share:
            self.mode = Mode.HALTED
            self._share_since = now
            return min(wanted, self._share)
        self.mode = Mode.GROWING
        left = self._move.by - now
        if (
            self._share > 0.0
            and wanted > self._share * CATCH_UP
            and left > LAST_PART * (self._move.by - self._move.start)
        ):
            if now < self._share_since + CATCH_UP_S:
                return self._share
            wanted = self._share * CATCH_UP
            self._share_since = now
        return shares.rounded(wanted)

    def summary(self) -> dict[str, Any]:
        """Return the evidence for operators."""
        return {
            'share': self._share,
            'old_requests': self.old_requests,
            'old_failures': self.old_failures,
            'new_requests': self.new_requests,
            'new_failures': self.new_failures,
            'capital': self.result().capital,
            'statistic': self._finding.statistic,
            'failure_domain': self._finding.failure_domain,
            'state': self.mode.value,
        }

    def _observe_warm(self, cell: model.EvidenceCell) -> None:
        self._warm_new[0] += cell.new.requests
        self._warm_new[1] += cell.new.failures
        if cell.new.failures and not self._failed_windows:
            self._failed_windows = [cell.window, cell.window]
        if self._failed_windows:
            self._failed_windows[1] = max(self._failed_windows[1], cell.window)

    def _fails_cold(self) -> bool:
        requests, failures = self._warm_new
        if failures < max(WARM_FAILURES, WARM_FAILURE_RATE * requests):
            return False
        if failures >= WARM_MANY_FAILURES:
            return True
        first, last = self._failed_windows
        return last - first >= WARM_LAST_S

    def _count_rate(self, cell: model.EvidenceCell) -> None:
        if self._rate_from is None:
            self._rate_from = cell.window
        self._rate_count += cell.old.requests + cell.new.requests
        passed = cell.window + 1 - self._rate_from
        if passed <= 0:
            return
        self.rate = self._rate_count / passed
        if passed > 2 * RATE_TIME_S:
            self._rate_from = cell.window + 1 - RATE_TIME_S
            self._rate_count = self.rate * RATE_TIME_S

    def _alarmed(self, alarm: watch.Alarm, now: float) -> None:
        if self._check is not None or self._share <= CHECK_ABOVE:
            return
        soon = now <= self._return_at + RETURN_S or (
            alarm.before is not None and alarm.before <= RETURN_REQUESTS
        )
        self._returns = self._returns + 1 if self._vanished and soon else 0
        if self._returns >= RETURNS:
            self._certain = sequential_test.Finding(0.0, alarm.statistic)
            return
        self._checks += 1
        length = self._move.by - self._move.start
        self._check = check.Check(
            alarm, self._checks, self._share, now, length
        )

    def _end_check(self, now: float) -> None:
        ended = self._check
        self._check = None
        self._vanished = ended.vanished()
        self._return_at = now
        self._watch.reset()
        self._trips.clear()
        self._share = ended.share
        self._share_since = now
