"""Evidence and share of one route of a move."""

from __future__ import annotations

import enum
from typing import Any
from typing import TYPE_CHECKING

from damaskpier.rollout import judge
from damaskpier.rollout import model
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
# Nodes whose trips together lower the capital that is needed.
TRIP_NODES = 3
TRIP_MEMORY_S = 15.0
# Above this share an alarm of the watch leads to a check.
CHECK_ABOVE = 0.5
CHECK_SHARE = 0.5
CHECK_MIN_S = 4.0
CHECK_MAX_S = 30.0
CHECK_REQUESTS = 20
VANISHED_LIMIT = 2
VANISHED_MEMORY_S = 300.0
# Requests on both versions for the comparison of a route to count.
COMPARED_REQUESTS = 10
RATE_TIME_S = 15.0


class _Check:
    """Comparison at equal shares after an alarm."""

    def __init__(self, alarm: watch.Alarm, share: float, now: float) -> None:
        self.alarm = alarm
        self.share = share
        self.since = now
        self.new = model.VersionCounts()
        self.old = model.VersionCounts()


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
        self._move = move
        self._options = options
        self._plan = shares.Plan(
            move.start, move.by, spec.repeatable, options.first_share
        )
        schedule = judge.Schedule(move.start, move.by)
        self._warm = judge.RouteJudge(schedule)
        self._judge = judge.RouteJudge(schedule)
        self._old = judge.Record()
        self._watch = watch.Watch()
        self._share = 0.0
        self._share_since = move.start
        self._check: _Check | None = None
        self._vanished: list[float] = []
        self._trips: dict[str, float] = {}
        self._first_failure: int | None = None
        self._warm_new = [0, 0]  # requests and failures
        self._rate = 0.0
        self._rate_count = 0.0
        self._rate_from: float | None = None
        self._persistent: judge.Finding | None = None
        self._finding = judge.Finding(0.0)
        self._warm_finding = judge.Finding(0.0)
        self._dirty = False
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
    ) -> None:
        """Take in a cell of this route.

        :param first_new: first window with requests on the new version
        """
        warm_s = WARM_PART * (self._move.by - self._move.start)
        warm_s = min(max(warm_s, WARM_MIN_S), WARM_MAX_S)
        is_warm = first_new is None or cell.window < first_new + warm_s
        if is_warm:
            self._observe_warm(cell)
        else:
            self._judge.update(
                cell, self._old, self.new_requests >= WARM_REQUESTS
            )
        if cell.share > CHECK_ABOVE and not is_warm:
            alarm = self._watch.update(cell.new, self._old)
            if alarm is not None:
                self._alarmed(alarm, cell.share, now)
        check = self._check
        if check is not None and cell.share == CHECK_SHARE:
            check.new = check.new.plus(cell.new)
            check.old = check.old.plus(cell.old)
        self._old.add(cell.old)
        self.old_requests += cell.old.requests
        self.old_failures += cell.old.failures
        self.new_requests += cell.new.requests
        self.new_failures += cell.new.failures
        self._count_rate(cell, now)
        self._dirty = True

    def observe_trip(self, notice: model.TripNotice, now: float) -> None:
        """Take in the notice that a node tripped on this route."""
        self._trips[notice.node_id] = now
        if self._share > CHECK_ABOVE and len(self._recent(now)) > 1:
            self._alarmed(
                watch.Alarm(judge.FAILURE, 0.7, 0.0), self._share, now
            )

    def verdict(self, limit: float, now: float) -> judge.Finding | None:
        """Return the finding that takes the version back, if any."""
        if self._persistent is not None:
            return self._persistent
        if self._dirty:
            self._dirty = False
            self._warm_finding = self._warm.finding()
            self._finding = self._judge.finding()
        if self._warm_finding.capital >= limit and self._fails_cold():
            return self._warm_finding
        found = self._finding
        if len(self._recent(now)) >= TRIP_NODES:
            limit = min(limit, limit**0.5)
        return found if found.capital >= limit else None

    def rate(self, now: float) -> float:
        """Return the requests per second of the route, 0 if unknown."""
        return self._rate

    def plan(
        self,
        now: float,
        rates: shares.Rates,
        finished: bool,
        forced: bool,
    ) -> float:
        """Return the share that the route should have."""
        if self._check is not None:
            self._end_check(now)
        if self._check is not None and (finished or not forced):
            self.mode = Mode.CHECKING
            return CHECK_SHARE
        if finished or forced:
            self.mode = Mode.GROWING
            return shares.rounded(1.0 - self._options.hold_back)
        wanted = self._plan.share(now, rates)
        if self._finding.capital >= HALT_CAPITAL and self._share:
            self.mode = Mode.HALTED
            self._share_since = now
            return min(wanted, self._share)
        self.mode = Mode.GROWING
        if self._share > 0.0 and wanted > self._share * 1.5:
            # After a halt the share grows back in steps.
            if now < self._share_since + 2.0:
                return self._share
            left = self._move.by - now
            if left > 0.1 * (self._move.by - self._move.start):
                wanted = min(wanted, self._share * 1.5)
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
            'capital': self._finding.capital,
            'statistic': self._finding.statistic,
            'failure_domain': self._finding.failure_domain,
            'state': self.mode.value,
        }

    def _observe_warm(self, cell: model.EvidenceCell) -> None:
        self._warm.update(cell, self._old, with_slow=False)
        if cell.new.failures and self._first_failure is None:
            self._first_failure = cell.window
            self._last_warm = cell.window
        if self._first_failure is not None:
            self._last_warm = max(self._last_warm, cell.window)
        self._warm_new[0] += cell.new.requests
        self._warm_new[1] += cell.new.failures

    def _fails_cold(self) -> bool:
        requests, failures = self._warm_new
        if failures < max(WARM_FAILURES, WARM_FAILURE_RATE * requests):
            return False
        if failures >= WARM_MANY_FAILURES:
            return True
        return self._last_warm - self._first_failure >= WARM_LAST_S

    def _count_rate(self, cell: model.EvidenceCell, now: float) -> None:
        if self._rate_from is None:
            self._rate_from = cell.window
        self._rate_count += cell.old.requests + cell.new.requests
        passed = cell.window + 1 - self._rate_from
        if passed <= 0:
            return
        self._rate = self._rate_count / passed
        if passed > 2 * RATE_TIME_S:
            self._rate_from = cell.window + 1 - RATE_TIME_S
            self._rate_count = self._rate * RATE_TIME_S

    def _recent(self, now: float) -> list[str]:
        return [
            node
            for node, at in self._trips.items()
            if now - at <= TRIP_MEMORY_S
        ]

    def _alarmed(self, alarm: watch.Alarm, share: float, now: float) -> None:
        if self._check is not None or self._share <= CHECK_ABOVE:
            return
        vanished = [
            at for at in self._vanished if now - at <= VANISHED_MEMORY_S
        ]
        if len(vanished) >= VANISHED_LIMIT:
            self._persistent = judge.Finding(
                self._finding.capital, alarm.statistic
            )
            return
        self._vanished = vanished
        self._check = _Check(alarm, share, now)
        self._watch.reset()

    def _end_check(self, now: float) -> None:
        check = self._check
        passed = now - check.since
        enough = min(check.new.requests, check.old.requests) >= CHECK_REQUESTS
        if passed < CHECK_MIN_S or (not enough and passed < CHECK_MAX_S):
            return
        if self._finding.capital >= HALT_CAPITAL and passed < CHECK_MAX_S:
            return
        self._check = None
        self._watch.reset()
        self._share_since = now
        # A fault that is gone at half of the share, with both versions
        # fine, may depend on the share.
        old = check.old
        seen = (old.failures + check.new.failures) / max(
            old.requests + check.new.requests, 1
        )
        if check.alarm.statistic != judge.FAILURE:
            self._vanished.append(now)
        elif seen < 0.3 * check.alarm.seen:
            self._vanished.append(now)
