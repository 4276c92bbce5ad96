"""Tests of the commands that show the fleet, and of the generated pages."""

from __future__ import annotations

import pytest

from damaskpier.cmd import cli
from damaskpier import errors
from damaskpier.operator import exits
from damaskpier.operator import times
from tools import reference

ROOT = 'http://10.0.0.1:7003'
HOLDER = {'node_id': 'n1', 'host': '10.0.0.1', 'admin_port': 7003}
LEASE = {'holder': HOLDER, 'epoch': 1}


def _record(node_id, **fields):
    return {
        'node_id': node_id,
        'region': 'souss',
        'failure_domain': 'souss-1',
        'service': 'ledger',
        'version': 'v1',
        'ready': True,
        'config_version': 2,
        **fields,
    }


def test_status_before_any_sign_off_says_what_to_do(operator):
    result = operator.run('status')
    assert result.code == 1
    assert 'no bundle has been signed off yet' in result.err
    assert 'sign-off --help' in result.err


def test_status_counts_the_nodes_that_applied_the_version(moving):
    moving.put('leases/fleet', LEASE)
    moving.pages[f'{ROOT}/status'] = {
        'node': 'n1',
        'tree': {'subtree': 3, 'lowest_version': 1},
    }
    moving.pages[f'{ROOT}/nodes'] = [
        _record('n1'),
        _record('n2', config_version=1),
        _record('n3'),
        _record('n4', gone=True),
    ]
    result = moving.run('status')
    assert 'by at least 2 of 3 nodes; lowest version 1 (root n1)' in result.out
    assert 'ledger-v1-v2-2' in result.out
    fleet = moving.run('--json status').documents[0]['fleet']
    assert (fleet['applied'], fleet['nodes']) == (2, 3)


@pytest.mark.parametrize(
    'page', [None, [], 'x', {'tree': None}, {'moves': [1, {'move': 'm'}]}]
)
@pytest.mark.parametrize('state', [b'', b'[]', b'{"phase": "odd"}'])
def test_status_works_with_pages_and_states_that_have_gaps(
    moving, page, state
):
    """Guards against a status command that fails during an upgrade."""
    moving.put('leases/fleet', LEASE)
    moving.put('leases/region-souss', {'other': 1})
    moving.pages[f'{ROOT}/status'] = page
    moving.store.state.put('rollouts/ledger-v1-v2-2', state, None)
    assert moving.run('status').code == 0
    assert moving.run('verdict ledger-v1-v2-2').code == 0


def test_region_root_answers_when_the_fleet_root_does_not(moving):
    """Guards against a blind command line after the loss of the root."""
    moving.put('leases/fleet', LEASE)
    moving.put('leases/region-rif', {'holder': {**HOLDER, 'host': '10.0.0.2'}})
    moving.pages['http://10.0.0.2:7003/nodes'] = [
        _record('a', draining=True),
        _record('b', service='', config_version=None),
    ]
    result = moving.run('nodes')
    assert result.code == 0
    assert [line.split()[0] for line in result.out.splitlines()] == [
        'node',
        'a',
        'b',
    ]
    assert 'draining' in result.out
    assert 'no worker' in result.out


def test_nodes_without_a_root_is_an_error(operator):
    result = operator.run('nodes')
    assert (result.code, 'What to do' in result.err) == (1, True)


@pytest.mark.parametrize(
    ('line', 'words'),
    [
        ('stauts', 'does not exist'),
        ('status --fast', 'does not exist'),
        ('verdict', 'missing'),
        ('--platform here status', 'IP:PORT'),
    ],
)
def test_wrong_usage_has_its_own_exit_code(operator, line, words):
    result = operator.run(line)
    assert result.code == 2
    assert words in result.err


def test_missing_address_of_the_platform_is_explained(operator, monkeypatch):
    monkeypatch.delenv('DAMASKPIER_PLATFORM')
    result = operator.run('status')
    assert result.code == 2
    assert 'DAMASKPIER_PLATFORM' in result.err


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [('90s', 90), ('1h30m', 5400), ('1970-01-01T01:00:00Z', 3600)],
)
def test_times(text, seconds):
    assert times.parse_time(text, 0.0) == seconds


@pytest.mark.parametrize('text', ['', '10', 'm', '5x', '10m ago', '-5m'])
def test_bad_times_are_refused(text):
    with pytest.raises(ValueError, match='is no time'):
        times.parse_time(text, 0.0)


def test_every_code_has_an_exit_code_that_is_documented():
    codes = {exits.exit_of(code) for code in errors.all_codes()}
    assert codes <= set(exits.MEANINGS)
    assert exits.exit_of(errors.PLATFORM_UNKNOWN) is exits.Exit.UNKNOWN


def test_help_of_every_command_can_be_printed(operator):
    for item in cli.make_commands(operator.env):
        assert operator.run(f'{item.name} --help').code == 0


@pytest.mark.parametrize('name', sorted(reference.pages()))
def test_generated_pages_are_up_to_date(name):
    """Guards against a reference that differs from the code."""
    text = (reference.ROOT / name).read_text(encoding='utf-8')
    assert text == reference.pages()[name], 'run python -m tools.reference'


def test_verdict_shows_the_evidence_by_route(moving):
    route = {'route': 'ledger.retire', 'new_requests': 9, 'new_failures': 4}
    state = {
        'move': 'ledger-v1-v2-2',
        'phase': 'taken_back',
        'result': 5002,
        'evidence': {'routes': [route, 'odd']},
    }
    moving.put('rollouts/ledger-v1-v2-2', state)
    result = moving.run('verdict ledger-v1-v2-2')
    assert 'taken back (DP-5002)' in result.out
    assert result.out.splitlines()[-1].split()[:2] == ['ledger.retire', '-']
    assert ' 9 ' in result.out
