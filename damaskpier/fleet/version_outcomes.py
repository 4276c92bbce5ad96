"""Outcomes of the versions of a move by worker of the new one.

A difference between the versions is a fault of the new one if three things
hold. It is larger than chance explains, given the outcomes of the old version
since the start of the move. The old version did not have the same fault at
the same time. And most workers of the new version show it: a single one that
fails or is slow is a matter of the selection of workers. Then the difference
may be small.
"""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import NamedTuple

from damaskpier.rollout import latency
from damaskpier.rollout import model as rollout_model
from damaskpier.util import tails

# Probability up to which chance, or a fault of both versions, is excluded. A
# service with few requests has few of the old version at the same time; what
# it had before counts as well.
SAME_TIME_TAIL = 0.06
# The versions are in doubt up to this multiple of the probability that is
# enough for a finding.
DOUBT_FACTOR = 20.0
# Differences that do not count yet, as a part of the requests, and the
# probability up to which one of that size is excluded.
TOLERATED_FAILURES = 0.02
TOLERATED_SLOW = 0.045
TOLERATED_TAIL = 0.05
MIN_COUNT = 3
MIN_DOUBT_COUNT = 2
# An answer is slow if it harms compared with this quantile of the old version.
SLOW_LEVEL = 0.9
# Part of the workers that have to show a fault. Workers with fewer requests
# than this part of the mean say nothing. The difference has to remain without
# one in WORKERS_PER_OUTLIER.
SHOWING_RATIO = 0.5
ACTIVE_RATIO = 0.5
MIN_WORKERS = 2
WORKERS_PER_OUTLIER = 8
REMAINING_TAIL = 0.002


class _Outcomes:
    """Outcomes of a version at one share, or of one of its workers.

    ``expected`` is the number of failures that the old version would have had.
    Not every request has its latency in ``latency``.
    """

    __slots__ = ('requests', 'failures', 'expected', 'timed', 'latency')

    def __init__(self) -> None:
        self.requests = 0
        self.failures = 0
        self.expected = 0.0
        self.timed = 0
        self.latency: dict[int, int] = {}

    def add(
        self,
        counts: rollout_model.VersionCounts,
        expected: float,
        is_warm: bool,
    ) -> None:
        """Add counts, their latencies only if the version is warm."""
        self.requests += counts.requests
        self.failures += counts.failures
        self.expected += expected
        if is_warm:
            self.timed += counts.requests
            for bucket, count in counts.latency.items():
                self.latency[bucket] = self.latency.get(bucket, 0) + count


class _Events(NamedTuple):
    """Failures or slow answers among the requests of a group.

    ``expected`` is the number that the old version would have had.
    """

    requests: int
    events: int
    expected: float

    @property
    def excess(self) -> float:
        """Return the events that are not expected."""
        return self.events - self.expected


class Finding(NamedTuple):
    """Difference between the versions.

    ``text`` describes it if it is a fault of the new version and is empty
    otherwise. ``is_doubtful`` is set while it may become one.
    """

    text: str = ''
    is_doubtful: bool = False


NOTHING = Finding()


class VersionOutcomes:
    """Compares the outcomes of the versions since the start of a move."""

    def __init__(self) -> None:
        self._old = _Outcomes()
        self._new = _Outcomes()
        self._by_worker: dict[str, _Outcomes] = {}
        # Outcomes of the old and the new version by share.
        self._by_share: dict[float, tuple[_Outcomes, _Outcomes]] = {}

    @property
    def are_workers_known(self) -> bool:
        """Return whether any counts named their worker."""
        return bool(self._by_worker)

    def add_usual(
        self,
        counts: rollout_model.VersionCounts,
        expected: float,
        is_warm: bool,
    ) -> None:
        """Add outcomes of the old version to its usual ones.

        :param expected: failures that its earlier outcomes let expect
        :param is_warm: whether the latencies of the versions are comparable
        """
        self._old.add(counts, expected, is_warm)

    def add(
        self,
        share: float,
        worker: str,
        old: rollout_model.VersionCounts,
        new: rollout_model.VersionCounts,
        expected: float,
        is_warm: bool,
    ) -> None:
        """Add outcomes of both versions at one share.

        :param worker: worker of the new version that ``new`` is of
        :param expected: failures that ``new`` would have had with the old
            version
        """
        at_share = self._by_share.get(share)
        if at_share is None:
            at_share = self._by_share[share] = _Outcomes(), _Outcomes()
        at_share[0].add(old, 0.0, is_warm)
        at_share[1].add(new, expected, is_warm)
        self._new.add(new, expected, is_warm)
        if worker:
            outcomes = self._by_worker.get(worker)
            if outcomes is None:
                outcomes = self._by_worker[worker] = _Outcomes()
            outcomes.add(new, expected, is_warm)

    def find(self, false_positive_rate: float) -> Finding:
        """Look for a fault of the new version.

        :param false_positive_rate: probability that random variation alone
            makes the outcomes differ from the usual ones
        """
        found = self._find_failures(false_positive_rate)
        if found.text:
            return found
        slow = self._find_slowdown(false_positive_rate)
        return slow if slow.text or slow.is_doubtful else found

    def totals(
        self,
    ) -> tuple[rollout_model.VersionCounts, rollout_model.VersionCounts]:
        """Return the outcomes of the old and of the new version."""
        olds = [old for old, _ in self._by_share.values()]
        return (
            rollout_model.VersionCounts(
                sum(old.requests for old in olds),
                sum(old.failures for old in olds),
            ),
            rollout_model.VersionCounts(
                self._new.requests, self._new.failures
            ),
        )

    def find_excess_failures(self, false_positive_rate: float) -> str:
        """Look for failures that most workers of the new version show.

        The old version may have them as well.

        :returns: description; empty if there are none
        """
        total = self._failures(self._new)
        if (
            total.events <= MIN_COUNT
            or total.excess < TOLERATED_FAILURES * total.requests
            or tails.poisson(total.expected, total.events)
            > false_positive_rate
            or not self.are_failures_spread()
        ):
            return ''
        return (
            f'{total.events} of {total.requests} requests failed, '
            f'{total.expected:.1f} expected'
        )

    def _find_failures(self, rate: float) -> Finding:
        return self._find(
            self._failures, rate, TOLERATED_FAILURES, 'requests failed'
        )

    def _failures(self, outcomes: _Outcomes) -> _Events:
        # Where the usual outcomes are those of the routes, the old version
        # may have had more failures than these let expect.
        old_rate = (
            max(0.0, self._old.failures - self._old.expected) + 0.5
        ) / (self._old.requests + 1)
        return _Events(
            outcomes.requests,
            outcomes.failures,
            outcomes.expected + outcomes.requests * old_rate,
        )

    def _find_slowdown(self, rate: float) -> Finding:
        if not self._old.timed or not self._new.timed:
            return NOTHING
        bucket = latency.harm_bucket(
            latency.quantile_bucket(self._old.latency, SLOW_LEVEL)
        )
        old_rate = (latency.count_from(self._old.latency, bucket) + 0.5) / (
            self._old.timed + 1
        )

        def events(outcomes: _Outcomes) -> _Events:
            return _Events(
                outcomes.timed,
                latency.count_from(outcomes.latency, bucket),
                outcomes.timed * old_rate,
            )

        limit_ms = latency.lower_bound_ms(bucket)
        return self._find(
            events,
            rate,
            TOLERATED_SLOW,
            f'answers took {limit_ms:.0f} ms or longer',
        )

    def _find(
        self,
        events: Callable[[_Outcomes], _Events],
        rate: float,
        tolerated: float,
        what: str,
    ) -> Finding:
        """Compare one kind of event.

        :param events: returns the events among outcomes
        """
        total = events(self._new)
        if (
            total.events < MIN_DOUBT_COUNT
            or total.excess < tolerated * total.requests
            or len(self._by_worker) < MIN_WORKERS
        ):
            return NOTHING
        total = total._replace(
            expected=max(total.expected, self._expected_at_same_time(events))
        )
        if total.excess < tolerated * total.requests:
            return NOTHING
        tail = tails.poisson(total.expected, total.events)
        same_time = self._same_time_tail(events)
        if tail > DOUBT_FACTOR * rate or same_time > 0.5:
            return NOTHING
        if (
            total.events < MIN_COUNT
            or tail > rate
            or same_time > SAME_TIME_TAIL
            or not _is_spread(self._events_of_workers(events), tolerated)
        ):
            return Finding(is_doubtful=True)
        return Finding(
            f'{total.events} of {total.requests} {what} on '
            f'{len(self._by_worker)} workers, {total.expected:.1f} expected'
        )

    def are_failures_spread(self) -> bool:
        """Return whether most workers of the new version have failures.

        Without any known worker, they may have.
        """
        return not self._by_worker or _is_spread(
            self._events_of_workers(self._failures), TOLERATED_FAILURES
        )

    def _events_of_workers(
        self, events: Callable[[_Outcomes], _Events]
    ) -> list[_Events]:
        return [events(outcomes) for outcomes in self._by_worker.values()]

    def _expected_at_same_time(
        self, events: Callable[[_Outcomes], _Events]
    ) -> float:
        """Return how many events the new version would have had.

        It would have them as often as the old one at the same shares.
        """
        expected = 0.0
        for old, new in self._by_share.values():
            olds = events(old)
            if olds.requests:
                expected += olds.events / olds.requests * events(new).requests
        return expected

    def _same_time_tail(self, events: Callable[[_Outcomes], _Events]) -> float:
        """Return the probability of so many events of the new version.

        Each event at a share would be one of the new version with about the
        probability of the share if the versions were alike.
        """
        observed = count = 0
        mean = 0.0
        for old, new in self._by_share.values():
            olds, news = events(old), events(new)
            if news.requests and olds.requests:
                both = olds.events + news.events
                observed += both
                count += news.events
                mean += both * news.requests / (news.requests + olds.requests)
        if not observed:
            return 1.0
        return tails.binomial(observed, mean / observed, count)


def _is_spread(workers: list[_Events], tolerated: float) -> bool:
    """Return whether most workers show a difference.

    If all of them had it alike, a worker with few requests might not show it.

    :param tolerated: difference that does not count, as a part of the requests
    """
    total = _sum(workers)
    rate = max(0.0, total.excess) / max(1, total.requests)
    expected = sum(
        1.0 - (1.0 - min(rate, 1.0)) ** item.requests for item in workers
    )
    showing = sum(item.excess > 0 for item in workers)
    if showing < max(MIN_WORKERS, SHOWING_RATIO * expected):
        return False
    active = sum(
        item.requests * len(workers) >= ACTIVE_RATIO * total.requests
        for item in workers
    )
    left_out = math.ceil(active / WORKERS_PER_OUTLIER)
    rest = _sum(sorted(workers, key=lambda item: item.excess)[:-left_out])
    not_counted = rest.expected + tolerated * rest.requests
    return (
        tails.poisson(rest.expected, rest.events) <= REMAINING_TAIL
        and tails.poisson(not_counted, rest.events) <= TOLERATED_TAIL
    )


def _sum(items: list[_Events]) -> _Events:
    return _Events(
        sum(item.requests for item in items),
        sum(item.events for item in items),
        sum(item.expected for item in items),
    )
