"""Measures the decisions on moves over many simulated ones.

Run ``python -m tools.fleet_moves [--seeds N] [--kind TEXT]``. A row states
for one kind of versions, and each rate and number of routes, how many of the
moves ended wrong: a bad version got more requests than its bound allows, or a
good one was taken back or did not get all requests in time. The last line has
the sums of the bad and the good versions.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import multiprocessing
import random
from typing import NamedTuple

from tools import move_simulation

PROCESS_COUNT = 3
RATES_PER_S = (20.0, 36.0, 100.0, 600.0)
ROUTE_COUNTS = (1, 24)
USES = (0.15, 0.4)
SIZES = (0.1, 0.15, 0.2, 0.35, 0.5)
LATE_S = 4.5
# The fault of one class is on each route of which the number is divisible by
# this.
CLASS_ROUTES = 3

Run = move_simulation.Run
Effect = move_simulation.Effect


class Kind(NamedTuple):
    """Behavior of the versions, and the factor of a burst of requests."""

    name: str
    is_good: bool
    fault: move_simulation.Fault
    burst: float = 1.0


def _new_fails(
    rate: float, when: Callable[[Run], bool]
) -> move_simulation.Fault:
    return lambda run: Effect(rate if run.is_new and when(run) else 0.0)


def _new_slow(ratio: float, factor: float) -> move_simulation.Fault:
    def fault(run: Run) -> Effect:
        drawn = random.Random(f'{run.at} {run.worker}').random()
        is_slow = run.is_new and drawn < ratio
        return Effect(slower=factor if is_slow else 1.0)

    return fault


def _is_loaded(run: Run) -> bool:
    return 2 * run.in_use >= run.slots


def _bad_kinds(size: float) -> list[Kind]:
    faults = {
        'errors': _new_fails(size, lambda run: True),
        'late': _new_fails(size, lambda run: run.at >= LATE_S),
        'under load': _new_fails(size, _is_loaded),
        'one class': _new_fails(
            size, lambda run: run.route % CLASS_ROUTES == 0
        ),
        'slow by 4': _new_slow(size, 4.0),
        'slow by 8': _new_slow(size, 8.0),
    }
    return [
        Kind(f'{name} {size:g}', False, fault)
        for name, fault in faults.items()
    ]


def _both_fail(rate: float, since_s: float) -> Kind:
    return Kind(
        f'both fail {rate:g} from {since_s:g} s',
        True,
        lambda run: Effect(rate if run.at >= since_s else 0.0),
    )


def _both_slow(since_s: float, until_s: float) -> Kind:
    return Kind(
        f'both slow by 4 from {since_s:g} to {until_s:g} s',
        True,
        lambda run: Effect(slower=4.0 if since_s <= run.at < until_s else 1.0),
    )


def _workers_fail(count: int, rate: float) -> Kind:
    return Kind(
        f'{count} new workers fail {rate:g}',
        True,
        _new_fails(rate, lambda run: run.worker < count),
    )


def _worker_of_each_fails(rate: float) -> Kind:
    return Kind(
        f'a worker of each version fails {rate:g}',
        True,
        lambda run: Effect(rate if run.worker == 0 else 0.0),
    )


def _worker_slow(factor: float) -> Kind:
    return Kind(
        f'a new worker slow by {factor:g}',
        True,
        lambda run: Effect(
            slower=factor if run.is_new and run.worker == 0 else 1.0
        ),
    )


GOOD_KINDS = [
    Kind('good', True, move_simulation.no_fault),
    Kind('burst of 2.3', True, move_simulation.no_fault, 2.3),
    *(
        _both_fail(rate, since_s)
        for rate in (0.15, 0.3)
        for since_s in (4.0, 7.0, 9.0, 9.7, 10.4)
    ),
    _both_slow(7.0, 11.0),
    _both_slow(9.0, 13.0),
    _workers_fail(1, 0.5),
    _workers_fail(1, 1.0),
    _worker_of_each_fails(0.5),
    _worker_slow(5.0),
]
KINDS = [kind for size in SIZES for kind in _bad_kinds(size)] + GOOD_KINDS


class Case(NamedTuple):
    """One move to run; ``kind`` is its index in ``KINDS``."""

    kind: int
    per_s: float
    routes: int
    use: float
    seed: int


def is_wrong(case: Case) -> bool:
    """Run a move and return whether it ended wrong."""
    kind = KINDS[case.kind]
    service = move_simulation.Service(
        case.per_s, case.routes, case.use, burst=kind.burst
    )
    result = move_simulation.simulate(service, kind.fault, case.seed)
    return not result.is_completed if kind.is_good else result.is_exposed


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog='tools.fleet_moves')
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--kind', default='', help='part of the names to run')
    parser.add_argument('--processes', type=int, default=PROCESS_COUNT)
    args = parser.parse_args()
    columns = [(per_s, n) for per_s in RATES_PER_S for n in ROUTE_COUNTS]
    headings = [f'{per_s:g}/s, {n}' for per_s, n in columns]
    print('| versions |', ' | '.join(headings), '|')
    print('|---' * (len(columns) + 1) + '|')
    sums = {False: [0, 0], True: [0, 0]}
    with multiprocessing.Pool(args.processes) as pool:
        for index, kind in enumerate(KINDS):
            if args.kind not in kind.name:
                continue
            row = []
            for per_s, routes in columns:
                cases = [
                    Case(index, per_s, routes, use, seed)
                    for use in USES
                    for seed in range(args.seeds)
                ]
                wrong = sum(pool.map(is_wrong, cases, chunksize=1))
                row.append(str(wrong))
                sums[kind.is_good][0] += wrong
                sums[kind.is_good][1] += len(cases)
            print(f'| {kind.name} |', ' | '.join(row), '|', flush=True)
    for is_good, (wrong, total) in sums.items():
        name = 'good' if is_good else 'bad'
        print(f'{name} versions: {wrong} of {total} wrong')


if __name__ == '__main__':
    main()
