"""Tests of the replay program on the committed traces."""

from __future__ import annotations

import json
import pathlib

import pytest

from damaskpier.cmd import replay

TRACES = pathlib.Path(__file__).parent.parent / 'traces'


def run(capsys, *args):
    """Run the program; return its status, output records and errors."""
    with pytest.raises(SystemExit) as exited:
        replay.main([str(arg) for arg in args])
    captured = capsys.readouterr()
    records = [json.loads(line) for line in captured.out.splitlines()]
    return exited.value.code, records, captured.err


@pytest.mark.parametrize(
    'path', sorted(TRACES.glob('*.jsonl')), ids=lambda path: path.stem
)
def test_trace_has_its_stated_outcome(capsys, path):
    """Guards against decisions that miss the stated goals."""
    status, records, err = run(capsys, path)
    assert (status, err) == (0, '')
    assert records[-1]['ev'] == 'summary'


def test_same_inputs_print_the_same_bytes(capsys):
    """Guards against a run that depends on more than its inputs."""
    path = TRACES / 'findlog-fails-late.jsonl'
    first = run(capsys, path, '--seed', 7)
    assert run(capsys, path, '--seed', 7) == first
    assert run(capsys, path, '--seed', 8)[1] != first[1]
