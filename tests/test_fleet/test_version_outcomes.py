"""Faults of a new version by worker.

The tests guard against a version that is taken back for one bad worker or for
a fault of both versions, and against small faults of all of its workers that
are never found.
"""

from __future__ import annotations

import pytest

from damaskpier.fleet import version_outcomes
from damaskpier.rollout import model

RATE = 0.001
QUICK, SLOW = 60, 80
SHARE = 0.2


def _counts(
    requests: int, failures: int = 0, slow: int = 0
) -> model.VersionCounts:
    histogram = {QUICK: requests - slow, SLOW: slow}
    return model.VersionCounts(
        requests, failures, {b: n for b, n in histogram.items() if n}
    )


@pytest.fixture
def find():
    """Return a function that compares outcomes by worker with old ones."""

    def compare(
        workers: list[model.VersionCounts],
        old: model.VersionCounts = _counts(400, 1),
    ) -> version_outcomes.Finding:
        outcomes = version_outcomes.VersionOutcomes()
        outcomes.add_usual(_counts(600, 1), 0.0, True)
        outcomes.add_usual(old, 0.0, True)
        outcomes.add(SHARE, '', old, model.VersionCounts(), 0.0, True)
        for number, counts in enumerate(workers):
            outcomes.add(
                SHARE,
                f'w{number}',
                model.VersionCounts(),
                counts,
                0.0,
                True,
            )
        return outcomes.find(RATE)

    return compare


def test_failures_of_most_workers_are_found(find):
    found = find([_counts(20, 2) for _ in range(5)])
    assert '10 of 100 requests failed on 5 workers' in found.text


def test_slow_answers_of_most_workers_are_found(find):
    """Their median is that of the old version."""
    found = find([_counts(20, slow=4) for _ in range(5)])
    assert 'answers took' in found.text


def test_failures_of_one_worker_are_no_fault_of_the_version(find):
    found = find([_counts(20, 20)] + [_counts(20) for _ in range(4)])
    assert found.text == ''


def test_slow_answers_of_one_worker_are_no_fault_of_the_version(find):
    found = find([_counts(20, slow=20)] + [_counts(20) for _ in range(4)])
    assert found.text == ''


def test_failures_of_both_versions_are_no_fault_of_the_new_one(find):
    found = find([_counts(20, 4) for _ in range(5)], _counts(400, 80))
    assert found == version_outcomes.NOTHING


def test_few_failures_are_doubtful(find):
    found = find([_counts(10, 1), _counts(10, 1), _counts(10)])
    assert found == version_outcomes.Finding(is_doubtful=True)


def test_alike_versions_are_in_no_doubt(find):
    assert find([_counts(20) for _ in range(5)]) == version_outcomes.NOTHING


def test_single_worker_decides_nothing(find):
    assert find([_counts(100, 50)]) == version_outcomes.NOTHING
