"""Decisions on simulated moves, without a network.

Each test runs the requests of a whole move through the schedule of shares and
the comparison of the versions, with a virtual clock. It guards against bad
versions that are found too late and good ones that are taken back.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple

import pytest

from damaskpier.fleet import model
from damaskpier.fleet import moves
from damaskpier.fleet import rollouts

SEEDS = range(12)
DURATION_S = 15.0
# A bad version may get this ratio of the requests, and this many more.
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
# A bad version has to be out of traffic within ROLLBACK_S of its 50th bad
# answer.
BAD_ANSWERS = 50
# Ticks from the recording of counts to their evaluation.
DELAY_TICKS = 1
ROLLBACK_S = 5.0
# Workers of the new version.
WORKERS = 16


class Load(NamedTuple):
    """Requests of a service and the behavior of its versions.

    ``fails`` and ``old_fails`` return the failure rate and ``slower`` the
    factor of the new version's latency; all get the time since the order and
    the share. ``pick`` returns the route of a request, ``route_fails`` the
    failure rate and ``route_slower`` the factor of the latency that a route
    has with both versions. ``worker_fails`` returns the failure rate of a
    worker of the new version, given its number.
    """

    per_s: float
    median_ms: float
    fails: Callable[[float, float], float] = lambda at, share: 0.004
    slower: Callable[[float, float], float] = lambda at, share: 1.0
    old_fails: Callable[[float, float], float] = lambda at, share: 0.004
    routes: tuple[str, ...] = ('r',)
    bad_route: str = ''
    pick: Callable[[random.Random, float], str] | None = None
    route_fails: Callable[[str], float] = lambda route: 0.0
    route_slower: Callable[[str], float] = lambda route: 1.0
    worker_fails: Callable[[int], float] = lambda number: 0.0


class Outcome(NamedTuple):
    """Outcome of a move.

    ``regression`` is empty unless the version was taken back. ``new`` and
    ``bad`` count the requests and the bad answers of the new version.
    """

    regression: str
    ended: float
    new: int
    total: int
    bad: int
    share: float


def _simulate(load: Load, seed: int) -> Outcome:
    rng = random.Random(seed)
    order = model.Order('s', 1, 'v2', DURATION_S, model.Phase.RUNNING, 1)
    move = moves.Move(order, 0.0)
    new = total = bad = 0
    share = 0.0
    underway: list[list] = [[] for _ in range(DELAY_TICKS)]
    now = 0.0
    tick = 0.0
    while now < DURATION_S:
        now += rng.expovariate(load.per_s)
        while tick <= now:
            tick += rollouts.TICK_INTERVAL_S
            underway.append(move.drain_cells('d', now))
            for cell in underway.pop(0):
                move.merge_cell(cell)
            regression = move.evaluate(now)
            if regression:
                return Outcome(regression, now, new, total, bad, share)
            move.limit_share(move.share_limit(now), now)
            share = move.share(now, load.per_s)
        if load.pick is None:
            route = rng.choice(load.routes)
        else:
            route = load.pick(rng, now)
        is_new = rng.random() < share
        ms = rng.lognormvariate(0.0, 0.5) * load.median_ms
        ms *= load.route_slower(route)
        chance = load.old_fails(now, share)
        worker = rng.randrange(WORKERS) if is_new else -1
        if is_new:
            chance += load.worker_fails(worker)
            # Workers that have just started answer slowly.
            ms *= 2.0 if now < 4.0 else 1.0
            if load.bad_route in ('', route):
                chance += load.fails(now, share) - load.old_fails(now, share)
                ms *= load.slower(now, share)
        chance += load.route_fails(route)
        failed = rng.random() < chance
        total += 1
        new += is_new
        usual_ms = load.median_ms * load.route_slower(route)
        bad += is_new and (failed or ms > 3 * usual_ms)
        if 0 < share < 1:
            move.record(route, is_new, failed, ms, share, f'w{worker}')
    return Outcome('', now, new, total, bad, share)


BUSY = Load(per_s=600.0, median_ms=90.0)
CALM = Load(per_s=84.0, median_ms=160.0)
# Each route alone has too few requests to compare the versions.
MANY_ROUTES = tuple(f'r{number}' for number in range(24))
CALM_MANY = CALM._replace(routes=MANY_ROUTES)
FEW = CALM._replace(per_s=20.0)


def _from(at: float, rate: float) -> Callable[[float, float], float]:
    return lambda now, share: rate if now >= at else 0.004


def _unlike(route: str) -> float:
    return (0.2, 1.0, 5.0)[int(route[1:]) % 3]


def _more_of_one(rng: random.Random, now: float) -> str:
    if now >= 7.0 and rng.random() < 0.4:
        return MANY_ROUTES[0]
    return rng.choice(MANY_ROUTES)


def _above(limit: float, rate: float) -> Callable[[float, float], float]:
    return lambda now, share: rate if share >= limit else 0.004


BAD = {
    'errors-busy': BUSY._replace(fails=_from(0.0, 0.35)),
    'errors-calm': CALM._replace(fails=_from(0.0, 0.5)),
    'late-busy': BUSY._replace(fails=_from(3.0, 0.5)),
    'late-calm': CALM._replace(fails=_from(3.0, 0.5)),
    'slow-busy': BUSY._replace(slower=lambda at, share: 8.0),
    'slow-calm': CALM._replace(slower=lambda at, share: 8.0),
    'under-load-busy': BUSY._replace(fails=_above(0.3, 0.4)),
    'under-load-calm': CALM._replace(fails=_above(0.3, 0.5)),
    # Day trouble-2 of Benkirane: the fault appears only at nearly full share.
    'under-full-load-busy': BUSY._replace(
        per_s=680.0, fails=_above(0.8, 0.35)
    ),
    'one-route-calm': CALM._replace(
        fails=_from(0.0, 0.5), routes=('r', 'q', 't'), bad_route='q'
    ),
    'errors-amid-trouble': BUSY._replace(
        fails=_from(0.0, 0.6), old_fails=lambda at, share: 0.1
    ),
    'errors-few-requests': FEW._replace(fails=_from(0.0, 0.5)),
    'errors-few-requests-many-routes': FEW._replace(
        fails=_from(0.0, 0.5), routes=MANY_ROUTES
    ),
    'slow-few-requests': FEW._replace(slower=lambda at, share: 8.0),
    # Case 8 of the review.
    'errors-many-routes': CALM_MANY._replace(fails=_from(0.0, 0.5)),
    'late-many-routes': CALM_MANY._replace(fails=_from(3.0, 0.5)),
    'slow-many-routes': CALM_MANY._replace(slower=lambda at, share: 8.0),
    'under-load-many-routes': CALM_MANY._replace(fails=_above(0.3, 0.5)),
    'errors-one-request-a-route': CALM_MANY._replace(
        fails=_from(0.0, 0.5),
        routes=tuple(f'r{number}' for number in range(100)),
    ),
    # The latencies of all routes together differ more than the versions do.
    'slow-unlike-routes': CALM_MANY._replace(
        slower=lambda at, share: 8.0, route_slower=_unlike
    ),
    # One of the routes always fails, also with the old version.
    'errors-beside-a-failing-route': CALM_MANY._replace(
        fails=_from(0.0, 0.5),
        route_fails=lambda route: 0.9 * (route == MANY_ROUTES[0]),
    ),
}

GOOD = {
    # Incident inc-e02d of Cedarline: a route with few requests, all of which
    # fail with both versions.
    'rare-route-that-always-fails': Load(
        per_s=3.0,
        median_ms=160.0,
        fails=lambda at, share: 1.0,
        old_fails=lambda at, share: 1.0,
    ),
    'busy': BUSY,
    'calm': CALM,
    'trouble-of-both': BUSY._replace(
        fails=lambda at, share: 0.3, old_fails=lambda at, share: 0.3
    ),
    'single-workers-fail': BUSY._replace(
        worker_fails=lambda number: float(number == 0)
    ),
    'single-workers-slow': CALM._replace(slower=lambda at, share: 1.6),
    'few-requests': FEW,
    'few-requests-many-routes': FEW._replace(routes=MANY_ROUTES),
    'hardly-any-requests': CALM._replace(per_s=3.0),
    'many-routes': CALM_MANY,
    'unlike-routes': CALM_MANY._replace(route_slower=_unlike),
    # Nearly all requests of the old version came before those of the new one,
    # and few of them to the route that fails with both.
    'more-requests-of-a-failing-route': CALM_MANY._replace(
        pick=_more_of_one,
        route_fails=lambda route: 0.9 * (route == MANY_ROUTES[0]),
    ),
    'more-requests-of-a-slow-route': CALM_MANY._replace(
        pick=_more_of_one,
        route_slower=lambda route: 8.0 if route == MANY_ROUTES[0] else 1.0,
    ),
    'trouble-of-both-at-a-step': BUSY._replace(
        fails=_from(8.0, 0.3), old_fails=_from(8.0, 0.3)
    ),
}


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('name', BAD)
def test_bad_version_is_found_with_little_exposure(name: str, seed: int):
    outcome = _simulate(BAD[name], seed)
    assert outcome.regression
    whole = BAD[name].per_s * DURATION_S
    assert outcome.new <= EXPOSE_SHARE * whole + EXPOSE_SLACK
    # Stricter than the bound: half of the requests within ROLLBACK_S.
    assert outcome.bad <= BAD_ANSWERS + ROLLBACK_S * BAD[name].per_s * 0.5


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('name', GOOD)
def test_good_version_gets_all_traffic_in_time(name: str, seed: int):
    outcome = _simulate(GOOD[name], seed)
    assert outcome.regression == ''
    assert outcome.share == 1.0
