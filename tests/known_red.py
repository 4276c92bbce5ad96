"""Reads the known failures in KNOWN-RED.txt.

Prints them, or with ``--args`` the pytest arguments that deselect their tests.
"""

from __future__ import annotations

import pathlib
import sys

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def entries() -> list[str]:
    """Return the lines of KNOWN-RED.txt without comments and empty lines."""
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return [line for line in lines if line and not line.startswith('#')]


def main() -> None:
    """Run the command line."""
    if '--args' in sys.argv:
        ids = [line.split('|')[0].strip() for line in entries()]
        # Entries without ``::`` are other commands, not pytest tests.
        tests = [test_id for test_id in ids if '::' in test_id]
        print(' '.join(f'--deselect={test_id}' for test_id in tests))
        return
    for line in entries():
        print('known failure, not run:', line)


if __name__ == '__main__':
    main()
