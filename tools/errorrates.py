"""Measure the errors of both kinds of the sequential test.

The outcomes of one route in one failure domain are generated directly, in
windows of one second. The capital is compared with the limit after every
window, which the table counts as one look.
"""

from __future__ import annotations

import multiprocessing
import random
from typing import NamedTuple

from damaskpier.rollout import baseline
from damaskpier.rollout import model
from damaskpier.rollout import sequential_test

RUN_COUNT = 100
LOOK_COUNT = 3000
REQUESTS_PER_WINDOW = 10
ALPHA = 0.01  # bound on the probability of an error of the first kind


class Setting(NamedTuple):
    """Rates of the outcomes that one measurement generates.

    The text form of a setting is part of the random seed, so that a new name
    of the class or of a field would change the measured figures.
    """

    name: str
    share: float  # of the new version, 0..1
    old_failures: float
    new_failures: float
    outages: bool = False  # whether both versions fail at times


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
    """Result of one run.

    ``look`` is the window after which the capital reached the limit; None if
    it never did. ``new_failures`` counts the failures of the new version up
    to then, or in all windows.
    """

    look: int | None
    new_failures: int


def _random_counts(rng: random.Random, number: int, rate: float) -> list:
    failures = sum(rng.random() < rate for _ in range(number))
    latency: dict[int, int] = {}
    for _ in range(number):
        bucket = max(0, round(rng.gauss(30.0, 6.0)))
        latency[bucket] = latency.get(bucket, 0) + 1
    return [number, failures, latency]


def simulate(job: tuple[Setting, int]) -> Run:
    """Run the test once, until the limit is reached or the windows end.

    :param job: setting and seed
    """
    setting, seed = job
    rng = random.Random(f'{setting}/{seed}')
    old = baseline.Baseline()
    old.add(
        model.VersionCounts(*_random_counts(rng, 100, setting.old_failures))
    )
    route_test = sequential_test.RouteTest(
        sequential_test.CapitalSchedule(0.0, LOOK_COUNT)
    )
    failure_count = 0
    for look in range(LOOK_COUNT):
        outage = 0.5 if setting.outages and look % 300 > 280 else 0.0
        number = sum(
            rng.random() < setting.share for _ in range(REQUESTS_PER_WINDOW)
        )
        new = _random_counts(rng, number, max(outage, setting.new_failures))
        before = _random_counts(
            rng,
            REQUESTS_PER_WINDOW - number,
            max(outage, setting.old_failures),
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
        log_ratios = old.log_ratios(cell)
        route_test.update(look, setting.share, 'fd-0', log_ratios)
        old.add(cell.old)
        failure_count += cell.new.failures
        if route_test.result().capital >= 1.0 / ALPHA:
            return Run(look, failure_count)
    return Run(None, failure_count)


def lines(processes: int) -> list[str]:
    """Measure the error rates and return the lines of the page.

    :param processes: number of processes that run the simulations
    """
    found = [
        '## Error rates of the test',
        '',
        f'{RUN_COUNT} runs each of one route with {REQUESTS_PER_WINDOW} '
        f'requests per window and {LOOK_COUNT} windows, one look after each; '
        f'the limit is 1/{ALPHA:g}, so that the bound on wrong verdicts over '
        f'all looks is {ALPHA:.0%}. A good version taken back is an error of '
        'the first kind, a bad one not taken back within all looks one of '
        'the second kind.',
        '',
        '| versions | share | failures old | failures new | taken back '
        '| looks, median | failures met, median |',
        '|---|---|---|---|---|---|---|',
    ]
    with multiprocessing.Pool(processes) as pool:
        for setting in SETTINGS:
            jobs = [(setting, seed) for seed in range(RUN_COUNT)]
            runs = pool.map(simulate, jobs, chunksize=5)
            detections = sorted(
                (run for run in runs if run.look is not None),
                key=lambda run: run.look,
            )
            medians = '- | -'
            if 2 * len(detections) > len(runs):
                looks = [run.look + 1 for run in detections]
                failure_counts = sorted(run.new_failures for run in detections)
                half = len(detections) // 2
                medians = f'{looks[half]} | {failure_counts[half]}'
            found.append(
                f'| {setting.name} | {setting.share:g} '
                f'| {setting.old_failures:.0%} | {setting.new_failures:.0%} '
                f'| {len(detections)}/{len(runs)} | {medians} |'
            )
    return found
