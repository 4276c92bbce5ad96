"""Replays a recorded trace against the decision code."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
import json
import pathlib
import sys

from damaskpier import errors
from damaskpier.replay import expect
from damaskpier.replay import simulation
from damaskpier.replay import trace
from damaskpier.rollout import options

EXIT_OK = 0
EXIT_MISMATCH = 1
EXIT_BAD_INPUT = 2


def main(argv: Sequence[str] | None = None) -> None:
    """Run the program and exit with its status.

    :param argv: options, None for ``sys.argv``
    """
    try:
        status = replay(_parser().parse_args(argv))
        sys.stdout.flush()
    except errors.DamaskpierError as exc:
        print(exc, file=sys.stderr)
        status = EXIT_BAD_INPUT
    except BrokenPipeError:
        # The reader of the output has closed the pipe, so that nothing more
        # can be reported.
        sys.stderr.close()
        status = EXIT_BAD_INPUT
    raise SystemExit(status)


def replay(args: argparse.Namespace) -> int:
    """Replay a trace and print the output records.

    Without ``--expect``, a file with the name of the trace and the suffix
    ``.expect.json`` is compared with the outcome if it exists.

    :returns: exit status
    :raises DamaskpierError: if the trace, the settings or the expected
        outcome cannot be read or is invalid
    """
    decision_options = (
        options.load(args.config) if args.config else options.Options()
    )
    expected = None
    default_expect_path = args.trace.with_name(
        f'{args.trace.stem}.expect.json'
    )
    if args.expect is not None:
        expected = expect.read(args.expect)
    elif default_expect_path.exists():
        expected = expect.read(default_expect_path)
    recorded_trace = trace.read(args.trace)
    running = simulation.Simulation(
        recorded_trace, decision_options, args.seed
    )
    if expected is not None:
        expect.check_move_names(expected, recorded_trace)
    for record in running.events():
        print(json.dumps(record, separators=(',', ':')))
    if expected is None:
        return EXIT_OK
    lines = expect.find_mismatches(expected, running.moves)
    for line in lines:
        print(line, file=sys.stderr)
    return EXIT_MISMATCH if lines else EXIT_OK


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='damaskpier-replay', description=__doc__
    )
    parser.add_argument('trace', type=pathlib.Path, metavar='TRACE.jsonl')
    parser.add_argument('--expect', type=pathlib.Path, metavar='FILE')
    parser.add_argument('--config', type=pathlib.Path, metavar='FILE')
    parser.add_argument('--seed', type=int, default=0, metavar='N')
    return parser


if __name__ == '__main__':
    main()
