"""Selection of a worker when the nearest one is full, failing or draining.

The tests guard against requests to workers that can not serve them and against
needless traffic between failure domains.
"""

from __future__ import annotations

import collections
import random

import pytest

from damaskpier import errors
from damaskpier.fleet import selector
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
    """Return the current time in seconds, which a test may change."""
    return [0.0]


@pytest.fixture
def selector_(now: list[float]) -> selector.Selector:
    """Return the selector of a node in a1 with a worker in each domain."""
    made = selector.Selector(
        lambda: _record('a1'), random.Random(3), lambda: now[0]
    )
    made.update(_record(domain) for domain in DOMAINS)
    return made


def _answer(
    selector_: selector.Selector,
    domain: str,
    ms: float,
    in_use: int = 0,
    status: int = 200,
) -> None:
    worker = selector_._workers[f'n-{domain}']
    selector_.record_start(worker)
    selector_.record_outcome(
        worker,
        messages.Reply(
            messages.Answer(status, (), b''), messages.Load(6, in_use, 0)
        ),
        ms / 1000,
    )


def _picks(
    selector_: selector.Selector, size: float, count: int = 200
) -> collections.Counter[str]:
    return collections.Counter(
        selector_.pick(size).record.failure_domain for _ in range(count)
    )


def test_idle_workers_get_requests_of_their_failure_domain(selector_):
    for domain in DOMAINS:
        _answer(selector_, domain, 90.0)
    assert _picks(selector_, SMALL) == {'a1': 200}


def test_full_worker_spills_into_its_region_first(selector_):
    for domain in DOMAINS:
        _answer(selector_, domain, 90.0)
    _answer(selector_, 'a1', 90.0, in_use=18)
    assert _picks(selector_, SMALL) == {'a2': 200}


def test_full_region_spills_over_several_workers_of_other_regions(selector_):
    for domain in DOMAINS:
        _answer(selector_, domain, 90.0)
    for domain in ('a1', 'a2'):
        _answer(selector_, domain, 90.0, in_use=18)
    picks = _picks(selector_, SMALL)
    assert set(picks) <= {'b1', 'b2', 'c1', 'c2'}
    assert len(picks) >= 2


def test_large_responses_prefer_near_workers(selector_):
    for domain in DOMAINS:
        _answer(selector_, domain, 100.0)
    for _ in range(30):
        _answer(selector_, 'a1', 300.0)
    assert _picks(selector_, SMALL) == {'a2': 200}
    assert _picks(selector_, LARGE) == {'a1': 200}


def test_failing_worker_is_ejected(selector_, now):
    for domain in DOMAINS:
        for _ in range(20):
            _answer(selector_, domain, 90.0)
    for _ in range(20):
        _answer(selector_, 'a1', 5.0, status=500)
    assert _picks(selector_, SMALL) == {'a2': 200}
    now[0] = 60.0
    assert 'a1' in _picks(selector_, SMALL)


def test_worker_that_was_slow_is_tried_again(selector_, now):
    for _ in range(20):
        for domain in DOMAINS:
            _answer(selector_, domain, 1000.0 if domain == 'a1' else 90.0)
    assert 'a1' not in _picks(selector_, SMALL)
    now[0] = 30.0
    # The other workers have served the requests in the meantime.
    for _ in range(60):
        _answer(selector_, 'a2', 90.0)
    assert 'a1' in _picks(selector_, SMALL)


def test_draining_worker_is_skipped_until_its_record_changes(selector_):
    worker = selector_._workers['n-a1']
    selector_.record_start(worker)
    selector_.record_outcome(
        worker,
        messages.Reply(errors.Refusal(errors.CALL_DRAINING, 'leaving')),
        0.001,
    )
    assert 'a1' not in _picks(selector_, SMALL)
    records = [_record(domain) for domain in DOMAINS]
    records[0] = records[0]._replace(instance='next')
    selector_.update(records)
    assert 'a1' in _picks(selector_, SMALL)


def test_tried_workers_are_not_picked_again(selector_):
    tried = []
    while (worker := selector_.pick(SMALL, tried)) is not None:
        assert worker.key not in tried
        tried.append(worker.key)
    assert len(tried) == len(DOMAINS)
