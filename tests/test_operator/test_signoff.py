"""Tests of sign-off, take-back and waiting for a verdict."""

from __future__ import annotations

import pytest

MOVE = 'ledger-v1-v2-2'
ROOT = 'http://10.0.0.1:7003'


def _state(phase, seq=1, **fields):
    state = {'move': MOVE, 'epoch': 1, 'seq': seq, 'phase': phase}
    return {**state, 'shares': {'ledger.retire': 0.01}, **fields}


def _set_root(operator, lowest, moves=()):
    operator.put(
        'leases/fleet',
        {
            'holder': {
                'node_id': 'n1',
                'host': '10.0.0.1',
                'admin_port': 7003,
            }
        },
    )
    tree = {'role': 'fleet', 'subtree': 3, 'lowest_version': lowest}
    operator.pages[f'{ROOT}/status'] = {
        'node': 'n1',
        'version': 2,
        'tree': tree,
        'moves': list(moves),
    }


def test_loser_of_a_race_learns_which_version_won(moving, bundles):
    """Guards against an operator overwriting a version not seen yet."""
    line = f'sign-off {bundles[0]} --operator b --note x --base 1'
    result = moving.run(line)
    assert result.code == 1
    assert 'DP-4003' in result.err
    assert 'version 2 was signed off by amina' in result.err
    assert 'What to do:' in result.err


@pytest.mark.parametrize(
    ('options', 'words'),
    [
        ('--note x', '--operator is not given'),
        ('--operator a', '--note is not given'),
        ('--operator a --note x --by noon', '--by'),
        ('--operator a --note x --base v1', 'not a configuration version'),
        ('--operator a --note x --wait-limit 5', '--wait-limit'),
    ],
)
def test_bad_options_write_nothing(operator, bundles, options, words):
    """Guards against a sign-off without a name, a reason or a time."""
    result = operator.run(f'sign-off {bundles[0]} {options}')
    assert result.code == 2
    assert words in result.err
    assert operator.store.state.revision == 0


def test_outage_and_lost_answer_have_their_own_exit_codes(operator, bundles):
    """Guards against reporting an unknown outcome as a refusal."""
    line = f'sign-off {bundles[0]} --operator a --note x'
    operator.store.set_down(True)
    result = operator.run(line)
    assert (result.code, 'DP-4001' in result.err) == (3, True)
    operator.store.set_down(False)
    operator.store.put = _lost_head(operator.store)
    result = operator.run(line)
    assert (result.code, 'DP-4002' in result.err) == (4, True)


def _lost_head(store):
    put = store.put

    # The answer is lost, and so is the attempt to verify the write.
    async def lose(key, value, if_version):
        store.lost_answer_ratio = 1.0 if key == 'config/head' else 0.0
        outcome = await put(key, value, if_version)
        store.set_down(key == 'config/head')
        return outcome

    return lose


def test_take_back_names_the_new_version_and_can_be_repeated(moving):
    line = f'take-back {MOVE} --operator amina --reason slow'
    for _ in range(2):
        result = moving.run(line)
        assert result.code == 0
        assert 'active version is 3' in result.out
    verdict = moving.run(f'--json verdict {MOVE}').documents[0]
    assert verdict['verdict'] == 'taken back'
    assert (verdict['reason'], verdict['result']) == ('slow', 'DP-5004')


@pytest.mark.parametrize(
    ('phase', 'code'), [('done', 0), ('taken_back', 5), ('running', 6)]
)
def test_wait_prints_changes_and_ends_with_the_verdict(moving, phase, code):
    key = f'rollouts/{MOVE}'
    moving.put(key, _state('running'))
    moving.at_sleep = [
        lambda: None,
        lambda: moving.put(key, _state(phase, 2, reason='r', result=5002)),
    ]
    result = moving.run(f'verdict {MOVE} --wait --wait-limit 5s')
    assert result.code == code
    lines = result.out.splitlines()
    assert sum('share of v2: ledger.retire 1%' in line for line in lines) == 2
    if code != 6:
        assert lines[-1].startswith(f'Verdict of {MOVE}')
        assert 'DP-5002' in lines[-1]


def test_wait_goes_on_over_an_outage_of_the_platform(moving):
    """Guards against a wait that ends because the platform is down."""
    _set_root(moving, 2, [_state('running')])
    page = moving.pages[f'{ROOT}/status']
    moving.at_sleep = [
        lambda: moving.store.set_down(True),
        lambda: None,
        lambda: moving.store.set_down(False),
        lambda: page.update(moves=[_state('done', 9, result=5001)]),
    ]
    result = moving.run(f'verdict {MOVE} --wait')
    assert result.code == 0
    assert 'platform: DP-4001' in result.out
    assert 'platform: answers' in result.out


def test_older_state_of_the_root_does_not_hide_a_take_back(moving):
    """Guards against a late status page that undoes a verdict."""
    moving.put(f'rollouts/{MOVE}', _state('taken_back', 3, result=5003))
    _set_root(moving, 2, [_state('running', 7)])
    documents = moving.run(f'--json verdict {MOVE}').documents
    assert documents[0]['verdict'] == 'taken back'


def test_wait_without_moves_ends_when_the_version_is_everywhere(
    operator, bundles
):
    _set_root(operator, 0)
    operator.at_sleep = [lambda: _set_root(operator, 1)]
    result = operator.run(
        f'--json sign-off {bundles[0]} --operator a --note x --wait'
    )
    assert result.code == 0
    events = [document['event'] for document in result.documents]
    assert events == ['signed-off', 'fleet', 'fleet', 'in-force']


def test_audit_holds_every_attempt_with_its_result(moving, bundles):
    """Guards against a change, or an attempt, that leaves no trace."""
    moving.run(f'sign-off {bundles[0]} --operator b --note y --base 1')
    moving.run(f'take-back {MOVE} --operator amina --reason slow')
    entries = moving.run('--json audit').documents
    assert [
        (entry['actor'], entry['action'], entry['version'], entry['result'])
        for entry in entries
    ] == [
        ('amina', 'sign-off', 1, 0),
        ('amina', 'sign-off', 2, 0),
        ('b', 'sign-off', 0, 4003),
        ('amina', 'take-back', 3, 0),
    ]
    only = moving.run(f'--json audit --move {MOVE} --limit 5').documents
    assert [entry['action'] for entry in only] == ['sign-off', 'take-back']
    moving.time += 3600
    assert moving.run('--json audit --since 10m').documents == []
    assert 'slow' in moving.run('audit --since 2h').out
