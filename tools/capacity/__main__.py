"""Measure the figures of docs/CAPACITY.md.

Writes the raw figures to docs/measurements/capacity.json, the table of
fitted lines to docs/measurements/capacity.md and one plot for each line
beside them. With ``--report`` the table and the plots are written from the
existing raw figures, without a new measurement.
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
    """Run the measurements and write the figures, the table and the plots."""
    if '--report' not in sys.argv:
        figures = asyncio.run(runs.measure_all())
        OUTPUT.mkdir(parents=True, exist_ok=True)
        text = json.dumps(figures, indent=1, sort_keys=True)
        (OUTPUT / 'capacity.json').write_text(text + '\n')
    figures = json.loads((OUTPUT / 'capacity.json').read_text())
    report.write(figures, OUTPUT)


if __name__ == '__main__':
    main()
