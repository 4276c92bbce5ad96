"""Where requests go when the nearest worker is full, failing or gone."""

from __future__ import annotations

import collections
import random

import pytest

from damaskpier import errors
from damaskpier.fleet import choice
from damaskpier.mesh import model
from damaskpier.traffic import messages

DOMAINS = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c', 'c2': 'c'}
SMALL = 2_000.0
LARGE = 90_000.0


def _record(domain: str) -> model.NodeRecord:
    return model.NodeRecord(
        f'n-{domain}',
        1,
        1,
        DOMAINS[domain],
        domain,
        '127.0.0.1',
        1,
        2,
        service='s',
        version='v1',
        slots=6,
        ready=True,
        instance=f'i-{domain}',
    )


@pytest.fixture
def now() -> list[float]:
    """Return the time, which a test moves."""
    return [0.0]


@pytest.fixture
def chooser(now: list[float]) -> choice.Chooser:
    """Return the chooser of a node in a1, with a worker in each domain."""
    made = choice.Chooser(
        lambda: _record('a1'), random.Random(3), lambda: now[0]
    )
    made.update(_record(domain) for domain in DOMAINS)
    return made


def _answer(
    chooser: choice.Chooser,
    domain: str,
    ms: float,
    in_use: int = 0,
    status: int = 200,
) -> None:
    worker = chooser._workers[f'n-{domain}']
    chooser.record_start(worker)
    chooser.record_outcome(
        worker,
        messages.Reply(
            messages.Answer(status, (), b''), messages.Load(6, in_use, 0)
        ),
        ms / 1000,
    )


def _picks(
    chooser: choice.Chooser, size: float, count: int = 200
) -> collections.Counter[str]:
    return collections.Counter(
        chooser.pick(size).record.failure_domain for _ in range(count)
    )


def test_calm_day_stays_in_the_failure_domain(chooser):
    for domain in DOMAINS:
        _answer(chooser, domain, 90.0)
    assert _picks(chooser, SMALL) == {'a1': 200}


def test_full_worker_spills_into_its_region_first(chooser):
    for domain in DOMAINS:
        _answer(chooser, domain, 90.0)
    _answer(chooser, 'a1', 90.0, in_use=18)
    assert _picks(chooser, SMALL) == {'a2': 200}


def test_full_region_spills_over_several_workers_of_other_regions(chooser):
    for domain in DOMAINS:
        _answer(chooser, domain, 90.0)
    for domain in ('a1', 'a2'):
        _answer(chooser, domain, 90.0, in_use=18)
    picks = _picks(chooser, SMALL)
    assert set(picks) <= {'b1', 'b2', 'c1', 'c2'}
    assert len(picks) >= 2


def test_large_responses_travel_less_than_small_ones(chooser):
    for domain in DOMAINS:
        _answer(chooser, domain, 100.0)
    for _ in range(30):
        _answer(chooser, 'a1', 300.0)
    assert _picks(chooser, SMALL) == {'a2': 200}
    assert _picks(chooser, LARGE) == {'a1': 200}


def test_failing_worker_is_left_out(chooser, now):
    for domain in DOMAINS:
        for _ in range(20):
            _answer(chooser, domain, 90.0)
    for _ in range(20):
        _answer(chooser, 'a1', 5.0, status=500)
    assert _picks(chooser, SMALL) == {'a2': 200}
    now[0] = 60.0
    assert 'a1' in _picks(chooser, SMALL)


def test_worker_that_was_slow_is_tried_again(chooser, now):
    for _ in range(20):
        for domain in DOMAINS:
            _answer(chooser, domain, 1000.0 if domain == 'a1' else 90.0)
    assert 'a1' not in _picks(chooser, SMALL)
    now[0] = 30.0
    # The others have carried the requests meanwhile.
    for _ in range(60):
        _answer(chooser, 'a2', 90.0)
    assert 'a1' in _picks(chooser, SMALL)


def test_leaving_worker_is_passed_over_until_its_record_changes(chooser):
    worker = chooser._workers['n-a1']
    chooser.record_start(worker)
    chooser.record_outcome(
        worker,
        messages.Reply(errors.Refusal(errors.CALL_DRAINING, 'leaving')),
        0.001,
    )
    assert 'a1' not in _picks(chooser, SMALL)
    records = [_record(domain) for domain in DOMAINS]
    records[0] = records[0]._replace(instance='next')
    chooser.update(records)
    assert 'a1' in _picks(chooser, SMALL)


def test_tried_workers_are_not_picked_again(chooser):
    tried = []
    while (worker := chooser.pick(SMALL, tried)) is not None:
        assert worker.key not in tried
        tried.append(worker.key)
    assert len(tried) == len(DOMAINS)
