"""Run the demonstration; the exit code is 1 if a goal was not met."""

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
    """Run the demonstration and print its outcome.

    :returns: the exit code, 0 if all goals were met
    """
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
            missed_goals = asyncio.run(scenario.run(group, args.seed))
        except processes.StartError as exc:
            missed_goals = [str(exc)]
        finally:
            group.stop_all()
    duration_s = time.monotonic() - started
    print()
    for goal in missed_goals:
        print('NOT AS STATED:', goal)
    verdict = 'not as stated' if missed_goals else 'as stated'
    print(f'The outcome is {verdict}. Took {duration_s:.0f} s.')
    return 1 if missed_goals else 0


if __name__ == '__main__':
    sys.exit(main())
