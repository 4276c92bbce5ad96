"""Usual outcomes on the routes of a service.

Routes with few requests are taken to be like the others, as far as the
others are like each other: the level of a route is its best linear prediction
in a model with one random effect per route (Robinson, "That BLUP is a good
thing", Statistical Science 1991).
"""

from __future__ import annotations

from damaskpier.rollout import model

# A route with few requests has the failure rate of its service, which counts
# as this many further requests of the route.
PRIOR_REQUESTS = 5.0


class _Sums:
    """Sums over the requests of a route."""

    __slots__ = ('requests', 'failures', 'buckets', 'squares')

    def __init__(self) -> None:
        self.requests = 0
        self.failures = 0
        self.buckets = 0
        self.squares = 0

    @property
    def mean(self) -> float:
        """Return the mean bucket."""
        return self.buckets / max(1, self.requests)

    def add(self, counts: model.VersionCounts) -> None:
        """Add outcomes."""
        self.requests += counts.requests
        self.failures += counts.failures
        for bucket, count in counts.latency.items():
            self.buckets += count * bucket
            self.squares += count * bucket * bucket


class RouteLevels:
    """Failure rates and mean latencies of the routes of a service."""

    def __init__(self) -> None:
        self._routes: dict[str, _Sums] = {}
        self._all = _Sums()
        self._variances: tuple[float, float] | None = None

    def add(self, route: str, counts: model.VersionCounts) -> None:
        """Add outcomes of a route."""
        if counts.requests:
            self._routes.setdefault(route, _Sums()).add(counts)
            self._all.add(counts)
            self._variances = None

    def failure_rate(self, route: str) -> float:
        """Return the expected part of failures on a route."""
        service_rate = self._all.failures / max(1, self._all.requests)
        sums = self._routes.get(route)
        if sums is None:
            return service_rate
        return (sums.failures + PRIOR_REQUESTS * service_rate) / (
            sums.requests + PRIOR_REQUESTS
        )

    def latency_bucket(self, route: str) -> float:
        """Return the expected mean bucket of the latencies on a route."""
        sums = self._routes.get(route)
        if sums is None:
            return self._all.mean
        if self._variances is None:
            self._variances = self._estimate_variances()
        within, between = self._variances
        if not between:
            return self._all.mean
        weight = between / (between + within / sums.requests)
        return self._all.mean + weight * (sums.mean - self._all.mean)

    def _estimate_variances(self) -> tuple[float, float]:
        """Return the variance within the routes and that between them.

        They are the estimates of the analysis of variance for groups of
        different sizes.
        """
        total = self._all
        spread = total.squares - total.requests * total.mean**2
        between_squares = sum(
            sums.requests * (sums.mean - total.mean) ** 2
            for sums in self._routes.values()
        )
        free = len(self._routes) - 1
        repeated = total.requests - len(self._routes)
        if not free or not repeated:
            return spread / max(1, total.requests), 0.0
        within = max(0.0, spread - between_squares) / repeated
        size = total.requests - (
            sum(sums.requests**2 for sums in self._routes.values())
            / total.requests
        )
        between = (between_squares - free * within) / size
        return within, max(0.0, between)
