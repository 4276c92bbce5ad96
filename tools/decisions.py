"""Measures the rollout decisions over many seeded traces.

Run ``python -m tools.decisions [--seeds N] [--kind NAME ...] [--dry]``.
Without ``--dry`` the tables go to ``docs/measurements/decisions.md``.
"""

from __future__ import annotations

import argparse
import multiprocessing
import pathlib
import statistics
import time
from typing import NamedTuple

from damaskpier.replay import simulation
from damaskpier.rollout import controller
from damaskpier.rollout import options
from tools import baselines
from tools import errorrates
from tools import scenarios

PAGE = (
    pathlib.Path(__file__).parent.parent
    / 'docs'
    / 'measurements'
    / 'decisions.md'
)
PROCESSES = 4
# No node trips within the time of a trace.
NO_TRIP = options.Options(trip_hold=0.0)
DECIDERS = {
    'damaskpier': (controller.MoveController, options.Options()),
    'fixed ramp': (baselines.FixedRamp, NO_TRIP),
    'all at once': (baselines.AllAtOnce, NO_TRIP),
}


class Case(NamedTuple):
    """One replay to run."""

    kind: str
    decider: str
    seed: int
    large: bool


class Result(NamedTuple):
    """Outcome of one replay."""

    case: Case
    right: bool
    delay_s: float | None  # from the fault's visibility to the verdict
    harmed: int  # requests on the new version of a bad version
    worse: int
    control_bytes: int
    requests: int


def run_case(case: Case) -> Result:
    """Replay one case."""
    kind = scenarios.kind_named(case.kind)
    setup = scenarios.random_setup(case.seed, case.large)
    recorded = scenarios.make(kind, setup, case.seed)
    make, chosen = DECIDERS[case.decider]
    replay = simulation.Simulation(recorded, chosen, case.seed, make)
    for _ in replay.events():
        pass
    move = replay.moves['m1']
    wanted = 'taken_back' if kind.bad else 'done'
    right = move.verdict == wanted
    if not kind.bad:
        right = right and move.verdict_t <= setup.by
    visible = setup.start + kind.visible * setup.length
    return Result(
        case,
        right,
        move.verdict_t - visible if right and kind.bad else None,
        move.requests[scenarios.NEW],
        move.worse,
        move.control_bytes,
        len(recorded.events) - 1,
    )


def measure(
    kinds: list[str], deciders: list[str], seeds: int, large: bool
) -> list[Result]:
    """Run all cases in parallel."""
    cases = [
        Case(kind, decider, seed, large)
        for kind in kinds
        for decider in deciders
        for seed in range(seeds)
    ]
    with multiprocessing.Pool(PROCESSES) as pool:
        return list(pool.imap_unordered(run_case, cases, chunksize=4))


def table(results: list[Result]) -> list[str]:
    """Return the lines of the table over all kinds and deciders."""
    lines = [
        '| kind of trouble | right verdict | decider | right | worse, median '
        '| worse, 90% | on new, median | delay, median (s) | delay, 90% (s) '
        '| control kB, median |',
        '|---|---|---|---|---|---|---|---|---|---|',
    ]
    for kind in scenarios.KINDS:
        for decider in DECIDERS:
            rows = [
                result
                for result in results
                if result.case.kind == kind.name
                and result.case.decider == decider
            ]
            if rows:
                lines.append(_row(kind, decider, rows))
    return lines


def _row(kind: scenarios.Kind, decider: str, rows: list[Result]) -> str:
    delays = [row.delay_s for row in rows if row.delay_s is not None]
    worse = [row.worse for row in rows]
    verdict = 'taken back' if kind.bad else 'done'
    cells = [
        kind.name,
        verdict,
        decider,
        f'{sum(row.right for row in rows)}/{len(rows)}',
        f'{statistics.median(worse):.0f}' if kind.bad else '-',
        f'{_high(worse):.0f}' if kind.bad else '-',
        f'{statistics.median(row.harmed for row in rows):.0f}',
        f'{statistics.median(delays):.1f}' if delays else '-',
        f'{_high(delays):.1f}' if delays else '-',
        f'{statistics.median(row.control_bytes for row in rows) / 1e3:.0f}',
    ]
    return '| ' + ' | '.join(cells) + ' |'


def _high(values: list[float]) -> float:
    return sorted(values)[int(0.9 * (len(values) - 1))]


def main() -> None:
    """Measure and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--kind', action='append')
    parser.add_argument('--decider', action='append', choices=list(DECIDERS))
    parser.add_argument('--large', action='store_true')
    parser.add_argument('--dry', action='store_true')
    args = parser.parse_args()
    began = time.monotonic()
    kinds = args.kind or [kind.name for kind in scenarios.KINDS]
    results = measure(
        kinds, args.decider or list(DECIDERS), args.seeds, args.large
    )
    lines = table(results)
    wrong = [
        f'{row.case.kind}/{row.case.seed}'
        for row in results
        if row.case.decider == 'damaskpier' and not row.right
    ]
    if args.dry:
        print('\n'.join(lines))
        print('wrong:', ' '.join(wrong))
        print(f'{time.monotonic() - began:.0f} s')
        return
    errors = errorrates.lines(PROCESSES)
    PAGE.write_text(_page(lines, wrong, errors, args.seeds), 'utf-8')


def _page(
    lines: list[str], wrong: list[str], errors: list[str], seeds: int
) -> str:
    return '\n'.join(
        [
            '# Rollout decisions',
            '',
            'Written by `python -m tools.decisions` (13 minutes on 4 '
            'processes).',
            f'Each kind of trouble is replayed with {seeds} seeds; a seed '
            'sets '
            'the traffic, the fleet, the time of the move, the base failures '
            'and the spread of the latency (`tools/scenarios.py`). All '
            'deciders see the same traces.',
            '',
            '- *right*: bad versions taken back; good ones done by the stated '
            'time.',
            '- *worse*: requests sent to the bad version that failed or were '
            'slow where the old version was not.',
            '- *on new*: all requests sent to the new version.',
            '- *delay*: from the time at which the fault can show first to '
            'the verdict, of the versions taken back.',
            '',
            *lines,
            '',
            'Wrong verdicts of damaskpier (kind/seed): '
            + (', '.join(wrong) or 'none')
            + '.',
            '',
            *errors,
            '',
        ]
    )


if __name__ == '__main__':
    main()
