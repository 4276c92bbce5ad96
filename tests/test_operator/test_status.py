"""Tests of status, verdict and nodes, options, and generated pages."""

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


def _node_record(node_id, **fields):
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


def test_status_counts_the_nodes_that_applied_the_version(operator_with_move):
    operator_with_move.put('leases/fleet', LEASE)
    operator_with_move.pages[f'{ROOT}/status'] = {
        'node': 'n1',
        'tree': {'subtree': 3, 'lowest_version': 1},
    }
    operator_with_move.pages[f'{ROOT}/nodes'] = [
        _node_record('n1'),
        _node_record('n2', config_version=1),
        _node_record('n3'),
        _node_record('n4', gone=True),
    ]
    result = operator_with_move.run('status')
    assert 'by at least 2 of 3 nodes; lowest version 1 (root n1)' in result.out
    assert 'ledger-v1-v2-2' in result.out
    fleet = operator_with_move.run('--json status').documents[0]['fleet']
    assert (fleet['applied'], fleet['nodes']) == (2, 3)


@pytest.mark.parametrize(
    'page', [None, [], 'x', {'tree': None}, {'moves': [1, {'move': 'm'}]}]
)
@pytest.mark.parametrize('state', [b'', b'[]', b'{"phase": "odd"}'])
def test_status_accepts_incomplete_pages_and_states(
    operator_with_move, page, state
):
    """Guards against a status command that fails during an upgrade.

    Nodes of another version may serve pages with other fields, or store
    states that this version cannot parse.
    """
    operator_with_move.put('leases/fleet', LEASE)
    operator_with_move.put('leases/region-souss', {'other': 1})
    operator_with_move.pages[f'{ROOT}/status'] = page
    operator_with_move.store.state.put('rollouts/ledger-v1-v2-2', state, None)
    assert operator_with_move.run('status').code == 0
    assert operator_with_move.run('verdict ledger-v1-v2-2').code == 0


def test_region_root_answers_when_the_fleet_root_does_not(operator_with_move):
    """Guards against a command that fails while the fleet root is down.

    The lease of the fleet root still names a node that does not answer.
    """
    operator_with_move.put('leases/fleet', LEASE)
    operator_with_move.put(
        'leases/region-rif', {'holder': {**HOLDER, 'host': '10.0.0.2'}}
    )
    operator_with_move.pages['http://10.0.0.2:7003/nodes'] = [
        _node_record('a', draining=True),
        _node_record('b', service='', config_version=None),
    ]
    result = operator_with_move.run('nodes')
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
def test_durations_and_iso_times_are_parsed(text, seconds):
    assert times.parse_time(text, 0.0) == seconds


@pytest.mark.parametrize('text', ['', '10', 'm', '5x', '10m ago', '-5m'])
def test_bad_times_are_refused(text):
    with pytest.raises(ValueError, match='is no time'):
        times.parse_time(text, 0.0)


def test_every_code_has_an_exit_code_that_is_documented():
    codes = {exits.to_exit_code(code) for code in errors.all_codes()}
    assert codes <= set(exits.MEANINGS)
    assert (
        exits.to_exit_code(errors.PLATFORM_UNKNOWN) is exits.ExitCode.UNKNOWN
    )


def test_help_of_every_command_can_be_printed(operator):
    for item in cli.make_commands(operator.env):
        assert operator.run(f'{item.name} --help').code == 0


@pytest.mark.parametrize('name', sorted(reference.pages()))
def test_generated_pages_are_up_to_date(name):
    """Guards against generated reference pages that differ from the code."""
    text = (reference.ROOT / name).read_text(encoding='utf-8')
    assert text == reference.pages()[name], 'run python -m tools.reference'


def test_verdict_shows_the_evidence_by_route(operator_with_move):
    route = {'route': 'ledger.retire', 'new_requests': 9, 'new_failures': 4}
    state = {
        'move': 'ledger-v1-v2-2',
        'phase': 'taken_back',
        'result': 5002,
        'evidence': {'routes': [route, 'odd']},
    }
    operator_with_move.put('rollouts/ledger-v1-v2-2', state)
    result = operator_with_move.run('verdict ledger-v1-v2-2')
    assert 'taken back (DP-5002)' in result.out
    assert result.out.splitlines()[-1].split()[:2] == ['ledger.retire', '-']
    assert ' 9 ' in result.out
