"""Measure the slopes of docs/CAPACITY.md.

Writes the raw figures to docs/measurements/capacity.json, the fitted table
to docs/measurements/capacity.md and the pictures beside them.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

from tools.capacity import report
from tools.capacity import runs

OUTPUT = pathlib.Path('docs/measurements')


def main() -> None:
    """Measure, fit and write."""
    if '--report' not in sys.argv:
        figures = asyncio.run(runs.measure_all())
        OUTPUT.mkdir(parents=True, exist_ok=True)
        text = json.dumps(figures, indent=1, sort_keys=True)
        (OUTPUT / 'capacity.json').write_text(text + '\n')
    figures = json.loads((OUTPUT / 'capacity.json').read_text())
    report.write(figures, OUTPUT)


if __name__ == '__main__':
    main()
