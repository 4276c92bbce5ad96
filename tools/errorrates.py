"""Measures both kinds of error of the sequential test.

One route, one failure domain and windows of one second are generated
directly, and the capital is looked at after every window.
"""

from __future__ import annotations

import multiprocessing
import random
from typing import NamedTuple

from damaskpier.rollout import baseline
from damaskpier.rollout import model
from damaskpier.rollout import sequential_test

RUNS = 100
LOOKS = 3000
REQUESTS = 10  # per window
ALPHA = 0.01


class Setting(NamedTuple):
    """Generated outcomes of one measurement."""

    name: str
    share: float
    old_failures: float
    new_failures: float
    outages: bool = False


SETTINGS = (
    Setting('alike, no failures', 0.05, 0.0, 0.0),
    Setting('alike, 1% failures', 0.05, 0.01, 0.01),
    Setting('alike, 5% failures', 0.3, 0.05, 0.05),
    Setting('alike, 5% failures', 0.9, 0.05, 0.05),
    Setting('alike, with outages of both', 0.3, 0.01, 0.01, True),
    Setting('3% more failures', 0.05, 0.0, 0.03),
    Setting('3% more failures', 0.3, 0.0, 0.03),
    Setting('3% more failures', 0.3, 0.01, 0.04),
    Setting('3% more failures', 0.3, 0.05, 0.08),
    Setting('3% more failures', 0.9, 0.01, 0.04),
    Setting('10% more failures', 0.05, 0.01, 0.11),
    Setting('10% more failures', 0.5, 0.01, 0.11),
)


class Run(NamedTuple):
    """First window at which the limit was reached, and the failures."""

    look: int | None
    new_failures: int


def _counts(rng: random.Random, number: int, rate: float) -> list:
    failures = sum(rng.random() < rate for _ in range(number))
    latency: dict[int, int] = {}
    for _ in range(number):
        bucket = max(0, round(rng.gauss(30.0, 6.0)))
        latency[bucket] = latency.get(bucket, 0) + 1
    return [number, failures, latency]


def simulate(job: tuple[Setting, int]) -> Run:
    """Run the test once over many looks."""
    setting, seed = job
    rng = random.Random(f'{setting}/{seed}')
    old = baseline.Baseline()
    old.add(model.VersionCounts(*_counts(rng, 100, setting.old_failures)))
    tested = sequential_test.RouteTest(
        sequential_test.CapitalSchedule(0.0, LOOKS)
    )
    seen = 0
    for look in range(LOOKS):
        outage = 0.5 if setting.outages and look % 300 > 280 else 0.0
        number = sum(rng.random() < setting.share for _ in range(REQUESTS))
        new = _counts(rng, number, max(outage, setting.new_failures))
        before = _counts(
            rng, REQUESTS - number, max(outage, setting.old_failures)
        )
        cell = model.EvidenceCell(
            'm1',
            'r',
            'fd-0',
            look,
            model.VersionCounts(*before),
            model.VersionCounts(*new),
            setting.share,
        )
        gains = old.log_ratios(cell)
        tested.update(look, setting.share, 'fd-0', gains)
        old.add(cell.old)
        seen += cell.new.failures
        if tested.result().capital >= 1.0 / ALPHA:
            return Run(look, seen)
    return Run(None, seen)


def lines(processes: int) -> list[str]:
    """Return the lines of the page about error rates."""
    found = [
        '## Error rates of the test',
        '',
        f'{RUNS} runs each of one route with {REQUESTS} requests per window '
        f'and {LOOKS} windows, one look after each; the limit is '
        f'1/{ALPHA:g}, so that the bound on wrong verdicts over all looks '
        f'is {ALPHA:.0%}. A good version taken back is an error of the '
        'first kind, a bad one not taken back within all looks one of the '
        'second kind.',
        '',
        '| versions | share | failures old | failures new | taken back '
        '| looks, median | failures met, median |',
        '|---|---|---|---|---|---|---|',
    ]
    with multiprocessing.Pool(processes) as pool:
        for setting in SETTINGS:
            jobs = [(setting, seed) for seed in range(RUNS)]
            runs = pool.map(simulate, jobs, chunksize=5)
            hits = sorted(
                (run for run in runs if run.look is not None),
                key=lambda run: run.look,
            )
            middle = '- | -'
            if 2 * len(hits) > len(runs):
                looks = [run.look + 1 for run in hits]
                met = sorted(run.new_failures for run in hits)
                half = len(hits) // 2
                middle = f'{looks[half]} | {met[half]}'
            found.append(
                f'| {setting.name} | {setting.share:g} '
                f'| {setting.old_failures:.0%} | {setting.new_failures:.0%} '
                f'| {len(hits)}/{len(runs)} | {middle} |'
            )
    return found
