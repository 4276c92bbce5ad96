"""Runs the demonstration; ends with an exit code of 1 if a goal is missed."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import tempfile
import time

from tools.demo import processes
from tools.demo import scenario

DEFAULT_SEED = 20


def main() -> int:
    """Run the demonstration and print what happened."""
    parser = argparse.ArgumentParser(prog='python -m tools.demo')
    parser.add_argument('--seed', type=int, default=DEFAULT_SEED)
    parser.add_argument(
        '--keep-logs',
        type=pathlib.Path,
        help='existing folder for the settings and logs of the processes',
    )
    args = parser.parse_args()
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='damaskpier-demo-') as folder:
        group = processes.Processes(args.keep_logs or pathlib.Path(folder))
        try:
            misses = asyncio.run(scenario.run(group, args.seed))
        except processes.StartError as exc:
            misses = [str(exc)]
        finally:
            group.end_all()
    took_s = time.monotonic() - started
    print()
    for miss in misses:
        print('NOT AS STATED:', miss)
    verdict = 'not as stated' if misses else 'as stated'
    print(f'The outcome is {verdict}. Took {took_s:.0f} s.')
    return 1 if misses else 0


if __name__ == '__main__':
    sys.exit(main())
