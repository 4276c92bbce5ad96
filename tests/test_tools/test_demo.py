"""Tests of the outcomes and the bundles of the demonstration."""

from __future__ import annotations

import pytest

from damaskpier.bundle import loader
from tools.demo import fleet
from tools.demo import load
from tools.demo import outcomes

BAD = ('parcels', 'v2')
KILL = outcomes.Kill('n', 'ledger', 100.0)


def _request(route, answer, start=50.0, request_id='r1'):
    return load.Request(request_id, route, 'n', 1, answer, start, start + 1)


@pytest.mark.parametrize(
    ('answer', 'start', 'kind'),
    [
        (load.Answer(200, 'run', service='ledger'), 50, 'ok'),
        (
            load.Answer(500, 'run', version='v2', service='parcels'),
            50,
            'failed_by_new',
        ),
        (load.Answer(500, 'run', version='v1', service='parcels'), 50, 'lost'),
        (load.Answer(0, 'unknown'), 99.5, 'cut_off'),
        (load.Answer(502, 'unknown', 'DP-3005'), 100.2, 'cut_off'),
        (load.Answer(502, 'unknown', 'DP-3005'), 101, 'lost'),
        (load.Answer(504, 'unknown', 'DP-3004'), 99.5, 'lost'),
        (load.Answer(0, 'unknown'), 50, 'lost'),
        (load.Answer(503, 'not-run', 'DP-3002'), 99.5, 'lost'),
    ],
)
def test_only_requests_of_the_killed_node_count_as_cut_off(
    answer, start, kind
):
    """The demonstration reports each lost request.

    A request counts as cut off only if its run state is unknown, it was sent
    through the killed node or to its service, and it was pending at the time
    of the kill or began within 0.5 s of it. A wider rule would hide lost
    requests.
    """
    counts = outcomes.count_outcomes(
        [_request(fleet.RETIRE, answer, start)], BAD, KILL
    )
    found = counts._asdict()
    found['lost'] = len(counts.lost)
    found['cut_off'] = len(counts.cut_off)
    kinds = ('ok', 'failed_by_new', 'cut_off', 'lost')
    assert {name: found[name] for name in kinds} == {
        name: int(name == kind) for name in kinds
    }


def test_a_second_run_on_another_upstream_is_found():
    """Runs of one request on two upstreams are added up.

    Counted per upstream, each of them ran the request only once, and the
    second run would be missed. Requests that are repeatable may run twice.
    """
    states = [{'runs': {'r1': 1, 'r2': 1}}, {'runs': {'r1': 1, 'r2': 1}}]
    answer = load.Answer(200, 'run')
    requests = [
        _request(fleet.RETIRE, answer),
        _request(fleet.BALANCE, answer, request_id='r2'),
    ]
    assert outcomes.find_duplicate_runs(requests, states) == ['r1']


def test_bundles_of_the_demonstration_are_valid():
    """The bundle template passes the loader and fits the workers."""
    bundle = loader.loads(fleet.bundle('v2', 'v1'))
    assert bundle.services['ledger'].version == 'v2'
    assert {worker.service for worker in fleet.workers()} == {
        'ledger',
        'parcels',
    }
