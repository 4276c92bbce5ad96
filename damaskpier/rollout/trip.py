"""Circuit breaker of one node against the new version of a move.

A trip sends the requests of a route to the old version only. It is
provisional: it ends after a fixed time, and at once when the old version
fails as well. The verdict on the move is decided for the whole fleet.
"""

from __future__ import annotations

import math

from damaskpier.rollout import latency
from damaskpier.rollout import model

# Answers of the new version are scored by the logarithm of a likelihood
# ratio: that of a broken version, whose answers fail or are slow at
# BROKEN_RATE, against the old version.
BROKEN_RATE = 0.7
MIN_OLD_RATE = 0.02
TRIP_SCORE = 9.0
# A small share harms few requests, and its evidence is needed for the
# verdict, so that a trip takes a higher score.
SMALL_SHARE = 0.3
SMALL_SHARE_TRIP_SCORE = 18.0
# Above this rate of failed or slow answers on the old version no route trips.
MAX_OLD_RATE = 0.3
# Number of requests of the old version at which their counts are halved, and
# the least that a trip requires.
MAX_OLD_REQUESTS = 100.0
MIN_OLD_REQUESTS = 5.0
# Consecutive failed or slow answers of the old version that end a trip.
OLD_BAD_IN_A_ROW = 3
SLOW_FACTOR = 3.0
# For this time after a reduction of its share a route trips only at
# SMALL_SHARE_TRIP_SCORE.
REDUCED_SHARE_S = 15.0


class _Route:
    def __init__(self) -> None:
        self.score = 0.0
        self.requests = 0.0
        self.bad = 0.0
        self.bad_in_a_row = 0
        self.slow_ms = math.inf
        self.tripped_until = -math.inf
        self.share_reduced_until = -math.inf
        self.share = 0.0
        self.trips = 0
        self.latency: dict[int, float] = {}


class LocalTrip:
    """Records the outcomes of one node and trips routes.

    :param node_id: name of the node in notices
    :param hold_s: length of the first trip of a route, in s; each further
        one lasts twice as long
    """

    def __init__(self, node_id: str, hold_s: float = 10.0) -> None:
        self._node_id = node_id
        self._hold_s = hold_s
        self._routes: dict[tuple[str, str], _Route] = {}
        self._now = -math.inf

    def record(
        self, sample: model.Sample, share: float, now: float
    ) -> model.TripNotice | None:
        """Record an outcome.

        :param share: share of the new version on the route, 0..1
        :param now: time of the answer, in s
        :returns: a notice if the outcome trips the route, otherwise None
        """
        if now > self._now:
            self._now = now
        key = sample.move, sample.route
        route = self._routes.get(key)
        if route is None:
            route = self._routes[key] = _Route()
        if not sample.is_new:
            _record_old(route, sample)
            return None
        if now < route.tripped_until or share <= 0.0:
            return None
        bad = sample.failed or sample.ms > route.slow_ms
        rate = max(MIN_OLD_RATE, (route.bad + 0.5) / (route.requests + 1.0))
        if rate > MAX_OLD_RATE or route.requests < MIN_OLD_REQUESTS:
            route.score = 0.0
            return None
        if bad:
            log_ratio = math.log(BROKEN_RATE / rate)
        else:
            log_ratio = math.log((1.0 - BROKEN_RATE) / (1.0 - rate))
        route.score = max(0.0, route.score + log_ratio)
        limit = SMALL_SHARE_TRIP_SCORE if share <= SMALL_SHARE else TRIP_SCORE
        if now < route.share_reduced_until:
            limit = SMALL_SHARE_TRIP_SCORE
        if route.score < limit:
            return None
        route.score = 0.0
        route.tripped_until = now + self._hold_s * 2**route.trips
        route.trips = min(route.trips + 1, 6)
        what = 'failures' if sample.failed else 'slow answers'
        return model.TripNotice(
            sample.move,
            sample.route,
            self._node_id,
            f'{what} on the new version only',
        )

    def apply_state(self, state: model.MoveState, now: float) -> None:
        """Apply a new state of a move.

        The trip of a route ends when its share is reduced: the versions are
        then compared with the evidence of all nodes.

        :param now: time in s
        """
        for name, share in state.shares.items():
            route = self._routes.setdefault((state.move, name), _Route())
            if share < route.share:
                route.tripped_until = -math.inf
                route.share_reduced_until = now + REDUCED_SHARE_S
                route.score = 0.0
            route.share = share

    def is_tripped(
        self, move: str, route: str, now: float | None = None
    ) -> bool:
        """Return whether a route is sent to the old version only.

        :param now: time in s; None for the time of the last outcome
        """
        known = self._routes.get((move, route))
        if known is None:
            return False
        return (self._now if now is None else now) < known.tripped_until

    def remove_move(self, move: str) -> None:
        """Remove the routes of a move."""
        for key in [key for key in self._routes if key[0] == move]:
            del self._routes[key]


def _record_old(route: _Route, sample: model.Sample) -> None:
    bad = sample.failed or sample.ms > route.slow_ms
    route.requests += 1.0
    route.bad += bad
    if route.requests > MAX_OLD_REQUESTS:
        route.requests *= 0.5
        route.bad *= 0.5
        for bucket in route.latency:
            route.latency[bucket] *= 0.5
    route.bad_in_a_row = route.bad_in_a_row + 1 if bad else 0
    if route.bad_in_a_row >= OLD_BAD_IN_A_ROW:
        route.tripped_until = -math.inf
        route.score = 0.0
    bucket = latency.bucket_of(sample.ms)
    route.latency[bucket] = route.latency.get(bucket, 0.0) + 1.0
    if int(route.requests) % 16 == 0:
        level = latency.quantile_bucket(route.latency, 0.95)
        bound = latency.lower_bound_ms(level)
        route.slow_ms = max(
            SLOW_FACTOR * bound, bound + latency.HARM_MARGIN_MS
        )
