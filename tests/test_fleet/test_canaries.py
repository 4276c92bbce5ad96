"""Choice of the workers that get the first requests of a version.

The tests guard against requests that are spread so thinly that no worker is
under load, and against a fault of one worker that is taken for one of the
version because it got all requests.
"""

from __future__ import annotations

import pytest

from damaskpier.fleet import canaries

WORKERS = [canaries.Worker(f'w{number}', 6) for number in range(6)]
ALL = frozenset(worker.key for worker in WORKERS)


def _turns(share: float, in_progress: float) -> list[frozenset[str]]:
    return [
        canaries.choose(
            'm', WORKERS, canaries.TURN_S * number, share, in_progress
        )
        for number in range(len(WORKERS))
    ]


def test_few_requests_go_to_one_worker_at_a_time():
    chosen = _turns(0.19, 16.0)
    assert {len(keys) for keys in chosen} == {1}
    assert frozenset().union(*chosen) == ALL


def test_canaries_have_slots_for_their_requests():
    for share in (0.1, 0.2, 0.4):
        for in_progress in (5.0, 15.0, 30.0):
            chosen = canaries.choose('m', WORKERS, 0.0, share, in_progress)
            assert 6 * len(chosen) >= share * in_progress


def test_large_share_goes_to_all_workers():
    assert canaries.choose('m', WORKERS, 0.0, 0.95, 1.0) == ALL


def test_workers_of_unknown_size_are_all_used():
    workers = [canaries.Worker('a', 0), canaries.Worker('b', 0)]
    chosen = canaries.choose('m', workers, 0.0, 0.1, 5.0)
    assert chosen == frozenset('ab')


def test_version_without_workers_has_no_canaries():
    assert canaries.choose('m', [], 0.0, 0.1, 5.0) == frozenset()


def test_share_that_loads_one_canary():
    assert canaries.loaded_share(WORKERS, 21.0) == pytest.approx(0.2)
    # With few requests, even all canary requests load no worker.
    assert canaries.loaded_share(WORKERS, 1.0) == canaries.MAX_SHARE
    assert canaries.loaded_share(WORKERS, 0.0) == 0.0
    assert canaries.loaded_share([], 21.0) == 0.0
