"""Tests of sign-off, take-back and waiting for a verdict."""

from __future__ import annotations

import pytest

MOVE = 'ledger-v1-v2-2'
ROOT = 'http://10.0.0.1:7003'


def _move_state(phase, seq=1, **fields):
    state = {'move': MOVE, 'epoch': 1, 'seq': seq, 'phase': phase}
    return {**state, 'shares': {'ledger.retire': 0.01}, **fields}


def _put_root(operator, lowest, moves=()):
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


def test_conflict_names_the_version_that_was_signed_off(
    operator_with_move, bundles
):
    """Guards against a sign-off that overwrites an unseen version.

    The bundle was made from version 1 while another operator signed off
    version 2.
    """
    line = f'sign-off {bundles[0]} --operator b --note x --base 1'
    result = operator_with_move.run(line)
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
    """Guards against a sign-off without a name, a reason or a valid option.

    Every option has to be checked before the first write.
    """
    result = operator.run(f'sign-off {bundles[0]} {options}')
    assert result.code == 2
    assert words in result.err
    assert operator.store.state.revision == 0


def test_outage_and_lost_answer_have_their_own_exit_codes(operator, bundles):
    """Guards against reporting an unknown outcome as a refusal.

    During an outage nothing is written. If only the answer to a write is
    lost, the write may have taken effect.
    """
    line = f'sign-off {bundles[0]} --operator a --note x'
    operator.store.set_down(True)
    result = operator.run(line)
    assert (result.code, 'DP-4001' in result.err) == (3, True)
    operator.store.set_down(False)
    operator.store.put = _lose_head_answer(operator.store)
    result = operator.run(line)
    assert (result.code, 'DP-4002' in result.err) == (4, True)


def _lose_head_answer(store):
    put = store.put

    # The answer to the write of the head is lost, and the outage that follows
    # keeps the client from reading the head to verify the write.
    async def lose(key, value, if_version):
        store.lost_answer_ratio = 1.0 if key == 'config/head' else 0.0
        outcome = await put(key, value, if_version)
        store.set_down(key == 'config/head')
        return outcome

    return lose


def test_take_back_names_the_new_version_and_can_be_repeated(
    operator_with_move,
):
    line = f'take-back {MOVE} --operator amina --reason slow'
    for _ in range(2):
        result = operator_with_move.run(line)
        assert result.code == 0
        assert 'active version is 3' in result.out
    verdict = operator_with_move.run(f'--json verdict {MOVE}').documents[0]
    assert verdict['verdict'] == 'taken back'
    assert (verdict['reason'], verdict['result']) == ('slow', 'DP-5004')


@pytest.mark.parametrize(
    ('phase', 'code'), [('done', 0), ('taken_back', 5), ('running', 6)]
)
def test_wait_prints_changes_and_ends_with_the_verdict(
    operator_with_move, phase, code
):
    key = f'rollouts/{MOVE}'
    operator_with_move.put(key, _move_state('running'))
    operator_with_move.sleep_hooks = [
        lambda: None,
        lambda: operator_with_move.put(
            key, _move_state(phase, 2, reason='r', result=5002)
        ),
    ]
    result = operator_with_move.run(f'verdict {MOVE} --wait --wait-limit 5s')
    assert result.code == code
    lines = result.out.splitlines()
    assert sum('share of v2: ledger.retire 1%' in line for line in lines) == 2
    if code != 6:
        assert lines[-1].startswith(f'Verdict of {MOVE}')
        assert 'DP-5002' in lines[-1]


def test_wait_continues_during_an_outage_of_the_platform(operator_with_move):
    """Guards against a wait that ends because of an outage.

    The platform is unavailable for two polls; the verdict comes from the
    status page of the root afterwards.
    """
    _put_root(operator_with_move, 2, [_move_state('running')])
    page = operator_with_move.pages[f'{ROOT}/status']
    operator_with_move.sleep_hooks = [
        lambda: operator_with_move.store.set_down(True),
        lambda: None,
        lambda: operator_with_move.store.set_down(False),
        lambda: page.update(moves=[_move_state('done', 9, result=5001)]),
    ]
    result = operator_with_move.run(f'verdict {MOVE} --wait')
    assert result.code == 0
    assert 'platform: DP-4001' in result.out
    assert 'platform: answers' in result.out


def test_older_state_of_the_root_does_not_hide_a_take_back(operator_with_move):
    """Guards against printing an outdated state instead of the verdict.

    The status page of the root still has the move as running, with a higher
    sequence number than the stored state ``taken_back``.
    """
    operator_with_move.put(
        f'rollouts/{MOVE}', _move_state('taken_back', 3, result=5003)
    )
    _put_root(operator_with_move, 2, [_move_state('running', 7)])
    documents = operator_with_move.run(f'--json verdict {MOVE}').documents
    assert documents[0]['verdict'] == 'taken back'


def test_wait_without_moves_ends_when_every_node_applied_the_version(
    operator, bundles
):
    _put_root(operator, 0)
    operator.sleep_hooks = [lambda: _put_root(operator, 1)]
    result = operator.run(
        f'--json sign-off {bundles[0]} --operator a --note x --wait'
    )
    assert result.code == 0
    events = [document['event'] for document in result.documents]
    assert events == ['signed-off', 'fleet', 'fleet', 'in-force']


def test_audit_trail_has_every_attempt_with_its_result(
    operator_with_move, bundles
):
    """Guards against a change without an audit entry.

    A refused attempt gets an entry with its result code too.
    """
    operator_with_move.run(
        f'sign-off {bundles[0]} --operator b --note y --base 1'
    )
    operator_with_move.run(f'take-back {MOVE} --operator amina --reason slow')
    entries = operator_with_move.run('--json audit').documents
    assert [
        (entry['actor'], entry['action'], entry['version'], entry['result'])
        for entry in entries
    ] == [
        ('amina', 'sign-off', 1, 0),
        ('amina', 'sign-off', 2, 0),
        ('b', 'sign-off', 0, 4003),
        ('amina', 'take-back', 3, 0),
    ]
    only = operator_with_move.run(
        f'--json audit --move {MOVE} --limit 5'
    ).documents
    assert [entry['action'] for entry in only] == ['sign-off', 'take-back']
    operator_with_move.time += 3600
    assert operator_with_move.run('--json audit --since 10m').documents == []
    assert 'slow' in operator_with_move.run('audit --since 2h').out
