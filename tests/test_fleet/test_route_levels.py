"""Expected failures and latencies on routes with few requests.

The tests guard against a comparison of routes that are unlike each other.
"""

from __future__ import annotations

import random

import pytest

from damaskpier.fleet import route_levels
from damaskpier.rollout import model


def _levels(buckets: dict[str, list[int]]) -> route_levels.RouteLevels:
    levels = route_levels.RouteLevels()
    for route, values in buckets.items():
        for bucket in values:
            levels.add(route, model.VersionCounts(1, 0, {bucket: 1}))
    return levels


def test_routes_that_are_alike_have_the_level_of_their_service():
    rng = random.Random(1)
    buckets = {
        f'r{number}': [rng.randrange(55, 66) for _ in range(4)]
        for number in range(50)
    }
    levels = _levels(buckets)
    for route, values in buckets.items():
        own = sum(values) / len(values)
        assert abs(levels.latency_bucket(route) - 60) <= max(
            1.5, 0.5 * abs(own - 60)
        )


def test_unlike_routes_have_their_own_level_after_few_requests():
    levels = _levels({'quick': [20, 22, 21], 'slow': [80, 81, 82]})
    assert levels.latency_bucket('quick') == pytest.approx(21, abs=1)
    assert levels.latency_bucket('slow') == pytest.approx(81, abs=1)
    assert levels.latency_bucket('unknown') == pytest.approx(51)


def test_failure_rate_of_a_rare_route_is_near_that_of_its_service():
    levels = route_levels.RouteLevels()
    levels.add('usual', model.VersionCounts(95, 0, {60: 95}))
    levels.add('rare', model.VersionCounts(1, 1, {60: 1}))
    levels.add('failing', model.VersionCounts(20, 20, {60: 20}))
    assert levels.failure_rate('rare') < 0.4
    assert levels.failure_rate('failing') > 0.8
    assert levels.failure_rate('usual') < 0.02
    assert levels.failure_rate('unknown') == pytest.approx(21 / 116)


def test_levels_without_requests():
    levels = route_levels.RouteLevels()
    assert levels.failure_rate('r') == 0.0
    assert levels.latency_bucket('r') == 0.0
    levels.add('r', model.VersionCounts(1, 0, {7: 1}))
    assert levels.latency_bucket('r') == 7.0
