"""Tests of the admission under sustained overload.

Requests whose latency objective is well before their deadline arrive faster
than the worker serves them, for seconds. A queue that is ordered by deadline
settles at a wait near the deadline, so that nearly every request is answered,
but misses its objective.
"""

from __future__ import annotations

import pytest

from tools import overload

ONE_WORKER = overload.Setup(1.0, workers=1, returns=0, length_s=20.0)


@pytest.mark.parametrize('load', [1.1, 1.25, 1.6])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_most_of_what_the_slots_can_serve_is_in_time(load, seed):
    """Under overload, most of the capacity serves requests in time.

    The target is nine tenths of what the slots can serve at all.
    """
    outcome = overload.simulate(ONE_WORKER._replace(load=load, seed=seed))
    assert outcome.in_time >= 0.9 / load


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_without_overload_next_to_nothing_is_refused(seed):
    """At 80% load, hardly any request is refused or misses its objective.

    Admission that refuses too early would waste free capacity.
    """
    outcome = overload.simulate(ONE_WORKER._replace(load=0.8, seed=seed))
    assert outcome.refused < 0.01
    assert outcome.in_time >= 0.95


@pytest.mark.parametrize('seed', [1, 2])
def test_waiting_at_the_second_worker_serves_more_in_time(seed):
    """With two tries, more requests meet their objective than with four.

    Requests that go from one full worker to the next have used up their
    objective when they wait at the last one.
    """
    setup = overload.Setup(1.15, length_s=3.0, seed=seed)
    two, four = (
        overload.simulate(
            setup._replace(policy=overload.Policy('', tries=tries))
        )
        for tries in (2, 4)
    )
    assert two.in_time > four.in_time
    assert two.tries < four.tries
