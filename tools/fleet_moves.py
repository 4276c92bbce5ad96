"""Measures the comparison of versions of a fleet over many seeded moves.

Run ``python -m tools.fleet_moves [--seeds N] [--kind TEXT]``. Each move runs
on a virtual clock without nodes. A line states how many bad versions got more
requests than the bound on exposure allows, or how many good ones were taken
back or did not get all requests in time.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import functools
import itertools
import multiprocessing
import random
from typing import NamedTuple

from damaskpier.fleet import model
from damaskpier.fleet import moves
from damaskpier.fleet import rollouts

DURATION_S = 15.0
MEDIAN_MS = 160.0
USUAL_FAILURE_RATE = 0.004
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
# Workers that have just started answer slowly for this time.
COLD_S = 4.0
PROCESS_COUNT = 3
RATES_PER_S = (20.0, 36.0, 84.0, 600.0)
ROUTE_COUNTS = (1, 24, 100, 350)

Rate = Callable[[float, float], float]


def _usual(at: float, share: float) -> float:
    return USUAL_FAILURE_RATE


class Kind(NamedTuple):
    """Behavior of the versions.

    ``fails`` and ``old_fails`` return the failure rate, given the time since
    the order and the share. ``slower`` is the factor of the latency.
    """

    name: str
    fails: Rate = _usual
    old_fails: Rate = _usual
    slower: float = 1.0
    is_good: bool = False


def _from(at: float, rate: float) -> Rate:
    return lambda now, share: rate if now >= at else USUAL_FAILURE_RATE


def _above(limit: float, rate: float) -> Rate:
    return lambda now, share: rate if share >= limit else USUAL_FAILURE_RATE


KINDS = (
    Kind('good', is_good=True),
    *(
        Kind(
            f'both fail {rate:g} from {at:g} s',
            _from(at, rate),
            _from(at, rate),
            is_good=True,
        )
        for at in (6.5, 6.9, 7.4, 8.0)
        for rate in (0.15, 0.3)
    ),
    Kind('fails 0.5', _from(0.0, 0.5)),
    Kind('fails 0.35', _from(0.0, 0.35)),
    Kind('fails 0.5 from 3 s', _from(3.0, 0.5)),
    Kind('fails 0.5 above a share of 0.3', _above(0.3, 0.5)),
    Kind('fails 0.5 above a share of 0.8', _above(0.8, 0.5)),
    Kind('slower by 8', slower=8.0),
    Kind('slower by 4', slower=4.0),
)


class Case(NamedTuple):
    """One move to run; ``kind`` is its index in ``KINDS``."""

    kind: int
    per_s: float
    routes: int
    seed: int


class Result(NamedTuple):
    """Outcome of a move; ``new`` counts requests of the new version."""

    is_taken_back: bool
    new: int
    share: float


def run(case: Case) -> Result:
    """Run a move."""
    kind = KINDS[case.kind]
    rng = random.Random(case.seed)
    order = model.Order('s', 1, 'v2', DURATION_S, model.Phase.RUNNING, 1)
    move = moves.Move(order, 0.0)
    now = tick = share = 0.0
    new = 0
    # Counts arrive one tick after they were sent.
    underway = []
    while now < DURATION_S:
        now += rng.expovariate(case.per_s)
        while tick <= now:
            tick += rollouts.TICK_INTERVAL_S
            for cell in underway:
                move.merge_cell(cell)
            underway = move.drain_cells('d', now)
            if move.evaluate(now):
                return Result(True, new, share)
            share = move.share(now, case.per_s)
        is_new = rng.random() < share
        ms = rng.lognormvariate(0.0, 0.5) * MEDIAN_MS
        fails = kind.old_fails
        if is_new:
            ms *= kind.slower * (2.0 if now < COLD_S else 1.0)
            fails = kind.fails
        has_failed = rng.random() < fails(now, share)
        new += is_new
        if 0 < share < 1:
            route = f'r{rng.randrange(case.routes)}'
            move.record(route, is_new, has_failed, ms, share)
    return Result(False, new, share)


def _is_wrong(case: Case, result: Result) -> bool:
    if KINDS[case.kind].is_good:
        return result.is_taken_back or result.share < 1.0
    allowed = EXPOSE_SHARE * case.per_s * DURATION_S + EXPOSE_SLACK
    return not result.is_taken_back or result.new > allowed


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog='tools.fleet_moves')
    parser.add_argument('--seeds', type=int, default=40)
    parser.add_argument('--kind', default='', help='part of the names to run')
    args = parser.parse_args()
    kinds = [
        index for index, kind in enumerate(KINDS) if args.kind in kind.name
    ]
    groups = itertools.product(kinds, RATES_PER_S, ROUTE_COUNTS)
    with multiprocessing.Pool(PROCESS_COUNT) as pool:
        for kind, per_s, routes in groups:
            make_case = functools.partial(Case, kind, per_s, routes)
            cases = [make_case(seed) for seed in range(args.seeds)]
            results = pool.map(run, cases)
            wrong = sum(map(_is_wrong, cases, results))
            print(
                f'{KINDS[kind].name}, {per_s:g} requests/s, {routes} routes: '
                f'{wrong} of {len(cases)} wrong, at most '
                f'{max(result.new for result in results)} requests of the '
                'new version',
                flush=True,
            )


if __name__ == '__main__':
    main()
