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


class _Outcomes(NamedTuple):
    """Outcomes of a version at one share, or of one of its workers.

    ``expected`` is the number of failures that the old version would have had.
    Not every request has its latency in ``latency``.
    """

    requests: int = 0
    failures: int = 0
    expected: float = 0.0
    latency: dict[int, int] = {}

    def plus(self, other: _Outcomes) -> _Outcomes:
        """Return the sum of both; neither of them changes."""
        histogram = dict(self.latency)
        for bucket, count in other.latency.items():
            histogram[bucket] = histogram.get(bucket, 0) + count
        return _Outcomes(
            self.requests + other.requests,
            self.failures + other.failures,
            self.expected + other.expected,
            histogram,
        )


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
        self._old = self._old.plus(_outcomes(counts, expected, is_warm))

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
        olds, news = self._by_share.get(share, (_Outcomes(), _Outcomes()))
        added = _outcomes(new, expected, is_warm)
        self._by_share[share] = (
            olds.plus(_outcomes(old, 0.0, is_warm)),
            news.plus(added),
        )
        if worker:
            known = self._by_worker.get(worker, _Outcomes())
            self._by_worker[worker] = known.plus(added)

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
        old, new = _Outcomes(), _Outcomes()
        for olds, news in self._by_share.values():
            old = old.plus(olds)
            new = new.plus(news)
        return (
            rollout_model.VersionCounts(old.requests, old.failures),
            rollout_model.VersionCounts(new.requests, new.failures),
        )

    def find_excess_failures(self, false_positive_rate: float) -> str:
        """Look for failures that most workers of the new version show.

        The old version may have them as well.

        :returns: description; empty if there are none
        """
        workers = [self._failures(item) for item in self._by_worker.values()]
        total = _sum(workers)
        if (
            total.events <= MIN_COUNT
            or total.excess < TOLERATED_FAILURES * total.requests
            or tails.poisson(total.expected, total.events)
            > false_positive_rate
            or not _is_spread(workers)
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
        old_total = sum(self._old.latency.values())
        if not old_total:
            return NOTHING
        bucket = latency.harm_bucket(
            latency.quantile_bucket(self._old.latency, SLOW_LEVEL)
        )
        old_rate = (latency.count_from(self._old.latency, bucket) + 0.5) / (
            old_total + 1
        )

        def events(outcomes: _Outcomes) -> _Events:
            total = sum(outcomes.latency.values())
            return _Events(
                total,
                latency.count_from(outcomes.latency, bucket),
                total * old_rate,
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
        workers = [events(item) for item in self._by_worker.values()]
        if len(workers) < MIN_WORKERS:
            return NOTHING
        total = _sum(workers)
        total = total._replace(
            expected=max(total.expected, self._expected_at_same_time(events))
        )
        if (
            total.events < MIN_DOUBT_COUNT
            or total.excess < tolerated * total.requests
        ):
            return NOTHING
        tail = tails.poisson(total.expected, total.events)
        same_time = self._same_time_tail(events)
        if tail > DOUBT_FACTOR * rate or same_time > 0.5:
            return NOTHING
        if (
            total.events < MIN_COUNT
            or tail > rate
            or same_time > SAME_TIME_TAIL
            or tails.poisson(
                total.expected + tolerated * total.requests, total.events
            )
            > TOLERATED_TAIL
            or not _is_spread(workers)
        ):
            return Finding(is_doubtful=True)
        return Finding(
            f'{total.events} of {total.requests} {what} on '
            f'{len(workers)} workers, {total.expected:.1f} expected'
        )

    def are_failures_spread(self) -> bool:
        """Return whether most workers of the new version have failures.

        Without any known worker, they may have.
        """
        workers = [
            _Events(item.requests, item.failures, item.expected)
            for item in self._by_worker.values()
        ]
        return not workers or _is_spread(workers)

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


def _is_spread(workers: list[_Events]) -> bool:
    """Return whether most workers show a difference.

    If all of them had it alike, a worker with few requests might not show it.
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
    return tails.poisson(rest.expected, rest.events) <= REMAINING_TAIL


def _sum(items: list[_Events]) -> _Events:
    return _Events(
        sum(item.requests for item in items),
        sum(item.events for item in items),
        sum(item.expected for item in items),
    )


def _outcomes(
    counts: rollout_model.VersionCounts, expected: float, is_warm: bool
) -> _Outcomes:
    return _Outcomes(
        counts.requests,
        counts.failures,
        expected,
        counts.latency if is_warm else {},
    )
