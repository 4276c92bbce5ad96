"""Selection of a worker when the nearest one is full, failing or draining.

The tests guard against requests to workers that can not serve them and against
needless traffic between failure domains.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import random

import pytest

from damaskpier import errors
from damaskpier.fleet import check_timing
from damaskpier.fleet import selector
from damaskpier.mesh import model
from damaskpier.traffic import ejection
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
    return _make_selector(now)


def _make_selector(
    now: list[float], gets_few_replies: Callable[[], bool] = lambda: False
) -> selector.Selector:
    made = selector.Selector(
        lambda: _record('a1'),
        random.Random(3),
        lambda: now[0],
        gets_few_replies,
    )
    made.update(_record(domain) for domain in DOMAINS)
    return made


def _answer(
    selector_: selector.Selector,
    domain: str,
    ms: float,
    in_use: int = 0,
    status: int = 200,
    **load: float,
) -> None:
    worker = selector_._workers[f'n-{domain}']
    selector_.record_start(worker)
    selector_.record_outcome(
        worker,
        messages.Reply(
            messages.Answer(status, (), b''),
            messages.Load(6, in_use, 0, **load),
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


def test_worker_whose_callers_leave_is_avoided(selector_):
    """A request that was given up says that the worker was not quick.

    Callers of downloads went on to a node that answered after they had left
    (issue 20, SHORT).
    """
    for domain in DOMAINS:
        _answer(selector_, domain, 100.0)
    worker = selector_._workers['n-a1']
    for _ in range(5):
        selector_.record_start(worker)
        selector_.record_abandoned(worker, 2.5)
    assert worker.outstanding == 0
    assert _picks(selector_, SMALL) == {'a2': 200}


def test_attempt_that_is_given_up_early_does_not_make_a_worker_quick(
    selector_,
):
    for domain in DOMAINS:
        _answer(selector_, domain, 200.0 if domain == 'a1' else 100.0)
    worker = selector_._workers['n-a1']
    latency_s = worker.latency_s
    for _ in range(20):
        selector_.record_start(worker)
        selector_.record_abandoned(worker, 0.01)
    assert worker.latency_s == latency_s


def test_large_responses_leave_a_full_link(selector_, now):
    """Large responses wait for seconds at a node with free slots.

    Its short answers are quick, so that its latency does not show the wait,
    as for the downloads of benkirane-registre-grown (issue 20, SHORT).
    """
    for domain in DOMAINS:
        _answer(selector_, domain, 100.0)
    _answer(selector_, 'a1', 100.0, link_busy_s=1.5)
    assert _picks(selector_, LARGE) == {'a2': 200}
    # Short responses do not wait for the others.
    assert _picks(selector_, SMALL) == {'a1': 200}
    _answer(selector_, 'a2', 100.0, link_busy_s=1.5)
    assert not {'a1', 'a2'} & set(_picks(selector_, LARGE))
    # What waited has been sent.
    now[0] = 1.5
    assert _picks(selector_, LARGE) == {'a1': 200}


def test_worker_at_its_rate_limit_is_avoided(selector_, now):
    """Requests that wait for its rate are late while others have room."""
    for domain in DOMAINS:
        _answer(selector_, domain, 100.0)
    _answer(selector_, 'a1', 100.0, wait_s=0.5)
    assert _picks(selector_, SMALL) == {'a2': 200}
    now[0] = 0.5
    assert _picks(selector_, SMALL) == {'a1': 200}


def test_short_wait_for_the_link_is_cheaper_than_another_region(selector_):
    for domain in DOMAINS:
        _answer(selector_, domain, 100.0)
    for domain in ('a1', 'a2'):
        _answer(selector_, domain, 100.0, link_busy_s=0.4)
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


def _get_no_answer(
    selector_: selector.Selector, domain: str, ending: str
) -> None:
    """Make a worker silent, or unreachable, until it would be ejected."""
    worker = selector_._workers[f'n-{domain}']
    for _ in range(ejection.MAX_UNANSWERED_COUNT):
        if ending == 'silent':
            selector_.record_silence(worker)
            continue
        selector_.record_start(worker)
        selector_.record_outcome(
            worker,
            messages.Reply(errors.Refusal(errors.CALL_CONNECT, 'timed out')),
            0.4,
        )


@pytest.fixture
def timing(now: list[float]) -> check_timing.CheckTiming:
    """Return the record of the messages of the selector's node."""
    return check_timing.CheckTiming(lambda: now[0])


def _send_messages(timing: check_timing.CheckTiming, took_s: float) -> None:
    for _ in range(check_timing.MIN_MESSAGES):
        timing.record_message(took_s)


@pytest.mark.parametrize('ending', ['silent', 'unreachable'])
def test_full_link_of_the_own_node_ejects_no_other_worker(now, timing, ending):
    """A node behind a full link hears no other node.

    The ejections would outlast the cause.
    """
    selector_ = _make_selector(now, timing.gets_few_replies)
    _send_messages(timing, check_timing.SLOW_MESSAGE_S)
    for domain in ('a2', 'b1'):
        _get_no_answer(selector_, domain, ending)
        assert selector_._ejector.weight(f'n-{domain}') == 1.0


@pytest.mark.parametrize('ending', ['silent', 'unreachable'])
def test_worker_that_is_alone_without_answers_is_ejected(now, timing, ending):
    """While the others answer, the silence is that of the worker's node."""
    selector_ = _make_selector(now, timing.gets_few_replies)
    _send_messages(timing, check_timing.SLOW_MESSAGE_S / 2)
    _get_no_answer(selector_, 'a2', ending)
    assert selector_._ejector.weight('n-a2') == 0.0


def test_full_link_does_not_excuse_the_local_worker(now, timing):
    """Requests to the worker beside the node use no link."""
    selector_ = _make_selector(now, timing.gets_few_replies)
    _send_messages(timing, check_timing.SLOW_MESSAGE_S)
    _get_no_answer(selector_, 'a1', 'unreachable')
    assert selector_._ejector.weight('n-a1') == 0.0


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


def test_reason_why_a_request_leaves_its_failure_domain(selector_):
    """Operators must see whether workers are missing, full or slow."""
    for domain in DOMAINS:
        _answer(selector_, domain, 90.0)
    own, other = (selector_._workers[f'n-{name}'] for name in ('a1', 'a2'))
    assert selector_.reason(own) == 'near'
    assert selector_.reason(other) == 'slower'
    assert selector_.reason(other, [own.key]) == 'missing'
    _answer(selector_, 'a1', 90.0, in_use=6)
    assert selector_.reason(other) == 'full'
