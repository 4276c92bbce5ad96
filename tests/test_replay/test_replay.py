"""Tests of the replay program on the committed traces."""

from __future__ import annotations

import json
import pathlib

import pytest

from damaskpier.cmd import replay

TRACES = pathlib.Path(__file__).parent.parent / 'traces'


def run(capsys, *args):
    """Run the program; return its exit status, output records and errors."""
    with pytest.raises(SystemExit) as exited:
        replay.main([str(arg) for arg in args])
    captured = capsys.readouterr()
    records = [json.loads(line) for line in captured.out.splitlines()]
    return exited.value.code, records, captured.err


@pytest.mark.parametrize(
    'path', sorted(TRACES.glob('*.jsonl')), ids=lambda path: path.stem
)
def test_trace_has_its_expected_outcome(capsys, path):
    """The decisions on each committed trace must meet its expected outcome.

    The program compares them with the file ``*.expect.json`` of the trace.
    """
    status, records, err = run(capsys, path)
    assert (status, err) == (0, '')
    assert records[-1]['ev'] == 'summary'


def test_same_inputs_print_the_same_bytes(capsys):
    """The output must depend on the trace, the settings and the seed only."""
    path = TRACES / 'findlog-fails-late.jsonl'
    first = run(capsys, path, '--seed', 7)
    assert run(capsys, path, '--seed', 7) == first
    assert run(capsys, path, '--seed', 8)[1] != first[1]


HEADER = {
    'ev': 'trace',
    't': 0,
    'name': 'small',
    'failure_domains': ['souss-1', 'rif-1'],
    'nodes': 3,
    'routes': [{'route': 'r', 'service': 's', 'repeatable': False}],
}
MOVE = {
    'ev': 'move',
    't': 1.0,
    'move': 'm1',
    'service': 's',
    'from': 'v1',
    'to': 'v2',
    'by': 20.0,
}
FINE = {'status': 200, 'ms': 5.0}
REQUEST = {
    'ev': 'request',
    't': 2.0,
    'route': 'r',
    'node': 2,
    'key': 'c81f',
    'outcome': {'v1': FINE, 'v2': FINE},
}
END = {'ev': 'end', 't': 30.0}


def write_trace(path, *records):
    path.write_text(''.join(json.dumps(record) + '\n' for record in records))
    return path


def changed(record, **changes):
    return {**record, **changes}


@pytest.mark.parametrize(
    ('line', 'records'),
    [
        (1, [MOVE, END]),
        (2, [HEADER, changed(MOVE, ev='shift'), END]),
        (2, [HEADER, changed(MOVE, note='x'), END]),
        (2, [HEADER, changed(MOVE, service='x'), END]),
        (2, [HEADER, changed(MOVE, by=0.5), END]),
        (3, [HEADER, MOVE, changed(MOVE, t=2.0), END]),
        (4, [HEADER, MOVE, REQUEST, changed(REQUEST, t=1.9), END]),
        (3, [HEADER, MOVE, changed(REQUEST, node=3), END]),
        (3, [HEADER, MOVE, changed(REQUEST, route='x'), END]),
        (3, [HEADER, MOVE, changed(REQUEST, outcome={'v1': FINE}), END]),
        (
            2,
            [
                HEADER,
                changed(REQUEST, outcome={'v1': FINE}),
                changed(MOVE, t=3.0),
                END,
            ],
        ),
        (
            3,
            [
                HEADER,
                MOVE,
                changed(REQUEST, outcome={'v1': FINE, 'v2': FINE, 'v3': FINE}),
                END,
            ],
        ),
        (
            3,
            [
                HEADER,
                MOVE,
                changed(
                    REQUEST,
                    outcome={'v1': FINE, 'v2': [{**FINE, 'min_share': 0.5}]},
                ),
                END,
            ],
        ),
        (3, [HEADER, MOVE, changed(REQUEST, outcome={'v1': {}}), END]),
        (3, [HEADER, MOVE, REQUEST]),
        (3, [HEADER, END, REQUEST]),
    ],
)
def test_bad_line_is_refused_with_its_number(capsys, tmp_path, line, records):
    """An invalid trace must be refused with the number of the bad line."""
    path = write_trace(tmp_path / 'bad.jsonl', *records)
    status, out, err = run(capsys, path)
    assert (status, out) == (2, [])
    assert f'bad.jsonl:{line}: ' in err
    assert err.startswith('DP-6001')


def test_missed_expectation_exits_1_with_a_line_each(capsys, tmp_path):
    """Each missed bound must be printed, and set the exit status to 1."""
    path = write_trace(tmp_path / 'a.jsonl', HEADER, MOVE, REQUEST, END)
    bound = {'t': 30.0, 'share': 0.001}
    (tmp_path / 'a.expect.json').write_text(
        json.dumps(
            {
                'moves': {
                    'm1': {
                        'verdict': 'taken_back',
                        'decided_by': 2.0,
                        'max_share_before': bound,
                    }
                }
            }
        )
    )
    status, records, err = run(capsys, path)
    assert status == 1
    assert len(err.splitlines()) == 3
    assert records[-1]['verdict'] == 'done'


@pytest.mark.parametrize(
    'text', ['{', '{"moves":{"m1":{}}}', '{"moves":{"m9":{"verdict":"done"}}}']
)
def test_bad_expectation_exits_2(capsys, tmp_path, text):
    """An invalid expectation must not count as met or as missed."""
    path = write_trace(tmp_path / 'a.jsonl', HEADER, MOVE, END)
    expect = tmp_path / 'other.json'
    expect.write_text(text)
    status, records, err = run(capsys, path, '--expect', expect)
    assert (status, records) == (2, [])
    assert 'DP-6002' in err


def test_settings_file_needs_no_node_settings(capsys, tmp_path):
    """A settings file without the settings of a node must be accepted."""
    path = write_trace(tmp_path / 'a.jsonl', HEADER, MOVE, END)
    ini = tmp_path / 'a.ini'
    ini.write_text('[rollout]\nfirst_share = 0.02\n')
    status, records, _ = run(capsys, path, '--config', ini)
    assert status == 0
    assert max(record.get('share', 0) for record in records) <= 1.0
    ini.write_text('[rollout]\nfirst_share = 2\n')
    assert run(capsys, path, '--config', ini)[0] == 2
