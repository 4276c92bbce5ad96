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

OUTPUT = (
    pathlib.Path(__file__).parent.parent
    / 'docs'
    / 'measurements'
    / 'decisions.md'
)
PROCESS_COUNT = 4
# A trip of no length ends at once, so that no node trips during a trace.
NO_TRIP_OPTIONS = options.Options(trip_hold=0.0)
CONTROLLERS = {
    'damaskpier': (controller.MoveController, options.Options()),
    'fixed ramp': (baselines.FixedRamp, NO_TRIP_OPTIONS),
    'all at once': (baselines.AllAtOnce, NO_TRIP_OPTIONS),
}


class Case(NamedTuple):
    """One replay to run; ``large`` is as for :func:`.random_setup`."""

    kind: str
    controller: str  # key of CONTROLLERS
    seed: int
    large: bool


class Result(NamedTuple):
    """Outcome of one replay.

    The verdict is correct if a bad version was taken back, or a good one
    was done by the stated time.
    """

    case: Case
    correct: bool
    # From the time at which the fault can be seen first to the verdict; None
    # for a good version or a wrong verdict.
    delay_s: float | None
    new_version_requests: int
    # Requests that failed or were slow on the new version only.
    worse: int
    control_bytes: int
    requests: int


def run_case(case: Case) -> Result:
    """Replay one case and compare its verdict with the expected one."""
    kind = scenarios.find_kind(case.kind)
    setup = scenarios.random_setup(case.seed, case.large)
    recorded = scenarios.make_trace(kind, setup, case.seed)
    controller_class, move_options = CONTROLLERS[case.controller]
    replay = simulation.Simulation(
        recorded, move_options, case.seed, controller_class
    )
    for _ in replay.events():
        pass
    move = replay.moves['m1']
    expected = 'taken_back' if kind.is_bad else 'done'
    correct = move.verdict == expected
    if not kind.is_bad:
        correct = correct and move.verdict_t <= setup.by
    visible_t = setup.start + kind.visible_ratio * setup.duration_s
    return Result(
        case,
        correct,
        move.verdict_t - visible_t if correct and kind.is_bad else None,
        move.requests[scenarios.NEW],
        move.worse,
        move.control_bytes,
        len(recorded.events) - 1,
    )


def measure(
    kinds: list[str], controllers: list[str], seeds: int, large: bool
) -> list[Result]:
    """Replay all cases in parallel.

    :param kinds: names of the kinds of trouble
    :param controllers: keys of CONTROLLERS
    :param seeds: number of seeds for each kind and controller
    :param large: as for :func:`.random_setup`
    :returns: the results in no particular order
    """
    cases = [
        Case(kind, controller_name, seed, large)
        for kind in kinds
        for controller_name in controllers
        for seed in range(seeds)
    ]
    with multiprocessing.Pool(PROCESS_COUNT) as pool:
        return list(pool.imap_unordered(run_case, cases, chunksize=4))


def table_lines(results: list[Result]) -> list[str]:
    """Return the lines of the table, one row per kind and controller."""
    lines = [
        '| kind of trouble | right verdict | decider | right | worse, median '
        '| worse, 90% | on new, median | delay, median (s) | delay, 90% (s) '
        '| control kB, median |',
        '|---|---|---|---|---|---|---|---|---|---|',
    ]
    for kind in scenarios.KINDS:
        for controller_name in CONTROLLERS:
            rows = [
                result
                for result in results
                if result.case.kind == kind.name
                and result.case.controller == controller_name
            ]
            if rows:
                lines.append(_row(kind, controller_name, rows))
    return lines


def _row(
    kind: scenarios.Kind, controller_name: str, rows: list[Result]
) -> str:
    delays = [row.delay_s for row in rows if row.delay_s is not None]
    worse = [row.worse for row in rows]
    verdict = 'taken back' if kind.is_bad else 'done'
    cells = [
        kind.name,
        verdict,
        controller_name,
        f'{sum(row.correct for row in rows)}/{len(rows)}',
        f'{statistics.median(worse):.0f}' if kind.is_bad else '-',
        f'{_percentile_90(worse):.0f}' if kind.is_bad else '-',
        f'{statistics.median(row.new_version_requests for row in rows):.0f}',
        f'{statistics.median(delays):.1f}' if delays else '-',
        f'{_percentile_90(delays):.1f}' if delays else '-',
        f'{statistics.median(row.control_bytes for row in rows) / 1e3:.0f}',
    ]
    return '| ' + ' | '.join(cells) + ' |'


def _percentile_90(values: list[float]) -> float:
    return sorted(values)[int(0.9 * (len(values) - 1))]


def main() -> None:
    """Measure and write the page, or print the table with ``--dry``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--kind', action='append')
    parser.add_argument(
        '--decider', action='append', choices=list(CONTROLLERS)
    )
    parser.add_argument('--large', action='store_true')
    parser.add_argument('--dry', action='store_true')
    args = parser.parse_args()
    began = time.monotonic()
    kinds = args.kind or [kind.name for kind in scenarios.KINDS]
    results = measure(
        kinds, args.decider or list(CONTROLLERS), args.seeds, args.large
    )
    lines = table_lines(results)
    wrong = [
        f'{row.case.kind}/{row.case.seed}'
        for row in results
        if row.case.controller == 'damaskpier' and not row.correct
    ]
    if args.dry:
        print('\n'.join(lines))
        print('wrong:', ' '.join(wrong))
        print(f'{time.monotonic() - began:.0f} s')
        return
    errors = errorrates.lines(PROCESS_COUNT)
    OUTPUT.write_text(_page(lines, wrong, errors, args.seeds), 'utf-8')


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
