"""Stops the new version at one node on strong local evidence.

A trip is provisional: it ends by itself after a while, and at once when the
old version fails as well. The verdict on the move is the fleet's.
"""

from __future__ import annotations

import math

from damaskpier.rollout import latency
from damaskpier.rollout import model

# A failed or slow answer of the new version counts by the logarithm of how
# much more likely it is with a broken version than with the old one.
BROKEN_RATE = 0.7
LEAST_RATE = 0.02
TRIP_LIMIT = 9.0
# A small share harms few requests, and its evidence is needed by the fleet.
SMALL_SHARE = 0.3
SMALL_SHARE_LIMIT = 18.0
MOST_OLD_RATE = 0.3
OLD_RECORD = 100.0
MIN_OLD_RECORD = 5.0
# Failures in a row of the old version that end a trip.
OLD_RUN = 3
SLOW_FACTOR = 3.0
# Time for which a route needs more evidence after its share was reduced.
EASED_S = 15.0


class _Route:
    def __init__(self) -> None:
        self.score = 0.0
        self.requests = 0.0
        self.bad = 0.0
        self.run = 0
        self.slow_ms = math.inf
        self.until = -math.inf
        self.eased = -math.inf
        self.share = 0.0
        self.trips = 0
        self.latency: dict[int, float] = {}


class LocalTrip:
    """Watches the outcomes of one node.

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
        """Count an outcome; return a notice if the route trips.

        :param share: share of the new version on the route, 0..1
        :param now: time of the answer, in s
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
        if now < route.until or share <= 0.0:
            return None
        bad = sample.failed or sample.ms > route.slow_ms
        rate = max(LEAST_RATE, (route.bad + 0.5) / (route.requests + 1.0))
        if rate > MOST_OLD_RATE or route.requests < MIN_OLD_RECORD:
            route.score = 0.0
            return None
        if bad:
            gain = math.log(BROKEN_RATE / rate)
        else:
            gain = math.log((1.0 - BROKEN_RATE) / (1.0 - rate))
        route.score = max(0.0, route.score + gain)
        limit = SMALL_SHARE_LIMIT if share <= SMALL_SHARE else TRIP_LIMIT
        if now < route.eased:
            limit = SMALL_SHARE_LIMIT
        if route.score < limit:
            return None
        route.score = 0.0
        route.until = now + self._hold_s * 2**route.trips
        route.trips = min(route.trips + 1, 6)
        what = 'failures' if sample.failed else 'slow answers'
        return model.TripNotice(
            sample.move,
            sample.route,
            self._node_id,
            f'{what} on the new version only',
        )

    def follow(self, state: model.MoveState, now: float) -> None:
        """Take in a new state of a move.

        A route whose share was reduced is no longer tripped: the fleet
        compares the versions and needs the evidence of all nodes.
        """
        for name, share in state.shares.items():
            route = self._routes.setdefault((state.move, name), _Route())
            if share < route.share:
                route.until = -math.inf
                route.eased = now + EASED_S
                route.score = 0.0
            route.share = share

    def is_tripped(
        self, move: str, route: str, now: float | None = None
    ) -> bool:
        """Tell whether a route is sent to the old version only.

        :param now: time in s; that of the last record if not given
        """
        known = self._routes.get((move, route))
        if known is None:
            return False
        return (self._now if now is None else now) < known.until

    def forget(self, move: str) -> None:
        """Drop what is known of a move."""
        for key in [key for key in self._routes if key[0] == move]:
            del self._routes[key]


def _record_old(route: _Route, sample: model.Sample) -> None:
    bad = sample.failed or sample.ms > route.slow_ms
    route.requests += 1.0
    route.bad += bad
    if route.requests > OLD_RECORD:
        route.requests *= 0.5
        route.bad *= 0.5
        for bucket in route.latency:
            route.latency[bucket] *= 0.5
    route.run = route.run + 1 if bad else 0
    if route.run >= OLD_RUN:
        route.until = -math.inf
        route.score = 0.0
    bucket = latency.bucket_of(sample.ms)
    route.latency[bucket] = route.latency.get(bucket, 0.0) + 1.0
    if int(route.requests) % 16 == 0:
        level = latency.quantile_bucket(route.latency, 0.95)
        bound = latency.lower_bound_ms(level)
        route.slow_ms = max(
            SLOW_FACTOR * bound, bound + latency.HARM_MARGIN_MS
        )
