"""Fitted lines, table and plots from the raw figures."""

from __future__ import annotations

from collections.abc import Callable
import pathlib
from typing import Any
from typing import NamedTuple

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402
import numpy  # noqa: E402

TARGET_NODES = 660
CHANGES_PER_S = 2400 / 86400
COMMAND = 'make capacity'


class Fit(NamedTuple):
    """Straight line fitted to measured points.

    ``start`` is its value at 0.
    """

    label: str
    unit: str
    x_label: str
    xs: tuple[float, ...]
    ys: tuple[float, ...]
    slope: float
    start: float
    max_residual: float  # largest distance of a point from the line

    def value_at(self, x: float) -> float:
        """Return the value of the line at x."""
        return self.start + self.slope * x


class Measure(NamedTuple):
    """Value that is fitted over one series of runs.

    ``series`` is the key of the runs in the raw figures, ``x`` the key of the
    horizontal value in each run, and ``value`` returns the vertical value.
    """

    name: str
    label: str
    unit: str
    series: str
    x: str
    value: Callable[[dict[str, Any]], float]


MEASURES = (
    Measure(
        'convergence',
        'time until a change is in force on all nodes, slowest of 10',
        's',
        'sizes',
        'nodes',
        lambda run: max(run['converged_s']),
    ),
    Measure(
        'steady_bytes_median',
        'control bytes of the median node at rest',
        'B/s',
        'sizes',
        'nodes',
        lambda run: run['steady']['bytes_per_s_median_node'],
    ),
    Measure(
        'steady_bytes_busiest',
        'control bytes of the busiest node at rest',
        'B/s',
        'sizes',
        'nodes',
        lambda run: run['steady']['bytes_per_s_busiest_node'],
    ),
    Measure(
        'steady_cpu',
        'processor time of a node at rest',
        '% of a core',
        'sizes',
        'nodes',
        lambda run: run['steady']['cpu_percent_per_node'],
    ),
    Measure(
        'steady_platform',
        'calls of the platform at rest',
        '1/s',
        'sizes',
        'nodes',
        lambda run: _calls_per_s(run['steady']),
    ),
    Measure(
        'change_bytes',
        'bytes of configuration sent per change and node',
        'B',
        'sizes',
        'nodes',
        lambda run: (
            run['changing']['sent']['config'][1]
            / len(run['converged_s'])
            / run['nodes']
        ),
    ),
    Measure(
        'change_cpu',
        'processor time per change and node, above rest',
        'ms',
        'sizes',
        'nodes',
        lambda run: _change_cpu_ms(run),
    ),
    Measure(
        'whole_config',
        'bytes of a whole configuration per node',
        'B',
        'bundles',
        'routes',
        lambda run: run['whole_config_bytes'] / run['nodes'],
    ),
    Measure(
        'bundle_convergence',
        'time until a change is in force, by routes of the bundle',
        's',
        'bundles',
        'routes',
        lambda run: max(run['converged_s']),
    ),
    Measure(
        'rate_cpu',
        'processor time of a node by changes a second',
        '% of a core',
        'rates',
        'rate',
        lambda run: run['changing']['cpu_percent_per_node'],
    ),
    Measure(
        'restart_bytes',
        'bytes of membership and paths per restart and node',
        'B',
        'churn',
        'nodes',
        lambda run: _restart_bytes(run),
    ),
    Measure(
        'loss_known',
        'time until the loss of a failure domain is known everywhere',
        's',
        'churn',
        'nodes',
        lambda run: run['loss_known_everywhere_s'],
    ),
    Measure(
        'return_known',
        'time until its return is known everywhere',
        's',
        'churn',
        'nodes',
        lambda run: run['return_known_everywhere_s'],
    ),
    Measure(
        'loss_platform_calls',
        'calls of the platform during the loss of a failure domain',
        '',
        'churn',
        'nodes',
        lambda run: _total_calls(run['loss_platform_calls']),
    ),
    Measure(
        'return_platform_calls',
        'calls of the platform during its return',
        '',
        'churn',
        'nodes',
        lambda run: _total_calls(run['return_platform_calls']),
    ),
)


def write(figures: dict[str, Any], output: pathlib.Path) -> None:
    """Write the table of fitted lines and one plot for each line."""
    fits = {
        measure.name: _fit(measure, figures[measure.series])
        for measure in MEASURES
    }
    (output / 'capacity.md').write_text(_table(figures, fits))
    for name, fit in fits.items():
        _plot(fit, output / f'capacity-{name}.png')


def _fit(measure: Measure, runs: list[dict[str, Any]]) -> Fit:
    xs = numpy.array([run[measure.x] for run in runs], dtype=float)
    ys = numpy.array([measure.value(run) for run in runs], dtype=float)
    slope, start = numpy.polyfit(xs, ys, 1)
    max_residual = numpy.abs(ys - (start + slope * xs)).max()
    return Fit(
        measure.label,
        measure.unit,
        measure.x,
        tuple(xs),
        tuple(ys),
        float(slope),
        float(start),
        float(max_residual),
    )


def _table(figures: dict[str, Any], fits: dict[str, Fit]) -> str:
    lines = [
        '# Fitted figures of the capacity measurement',
        '',
        f'Made by `{COMMAND}`; the raw figures are in capacity.json. Each row '
        'is a straight line through the measured points; "largest residual" '
        'is the greatest distance of a point from it. Values at '
        f'{TARGET_NODES} nodes are extrapolated, and left out where the line '
        'falls below 0: there the cost of a process is shared by more nodes '
        'in the larger fleets.',
        '',
        '| measure | measured at | values | slope | at 0 | largest residual '
        f'| at {TARGET_NODES} nodes |',
        '|---|---|---|---|---|---|---|',
    ]
    for fit in fits.values():
        xs = ', '.join(f'{x:g}' for x in fit.xs)
        ys = ', '.join(f'{y:.3g}' for y in fit.ys)
        extrapolated = ''
        if fit.x_label == 'nodes' and fit.value_at(TARGET_NODES) > 0:
            extrapolated = f'{fit.value_at(TARGET_NODES):.3g} {fit.unit}'
        lines.append(
            f'| {fit.label} ({fit.unit}) | {xs} {fit.x_label} | {ys} '
            f'| {fit.slope:.3g} | {fit.start:.3g} | {fit.max_residual:.2g} '
            f'| {extrapolated} |'
        )
    lines += ['', *_memory_lines(figures)]
    return '\n'.join(lines) + '\n'


def _memory_lines(figures: dict[str, Any]) -> list[str]:
    smallest = figures['sizes'][0]
    return [
        'Memory of a process with one node in a fleet of '
        f'{smallest["nodes"]}: '
        f'{smallest["rss_kb_per_node"] / 1024:.1f} MB. Larger fleets share '
        'processes, so their figures per node are not those of a process: '
        + ', '.join(
            f'{run["nodes"]} nodes in {run["processes"]} processes '
            f'{run["rss_kb_per_node"] / 1024:.1f} MB per node'
            for run in figures['sizes'][1:]
        )
        + '.',
    ]


def _plot(fit: Fit, path: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(figsize=(5, 3), dpi=90)
    axes.plot(fit.xs, fit.ys, 'o', label='measured')
    x_ends = [0, max(fit.xs)]
    axes.plot(x_ends, [fit.value_at(x) for x in x_ends], '-', label='fit')
    axes.set_xlabel(fit.x_label)
    axes.set_ylabel(fit.unit)
    axes.set_title(fit.label, fontsize=8)
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.tight_layout()
    # Without metadata the same figures always give the same file.
    figure.savefig(path, metadata={'Software': None})
    pyplot.close(figure)


def _calls_per_s(cost: dict[str, Any]) -> float:
    return _total_calls(cost['platform_calls']) / cost['seconds']


def _total_calls(calls: dict[str, int]) -> int:
    return sum(number for kind, number in calls.items() if 'bytes' not in kind)


def _change_cpu_ms(run: dict[str, Any]) -> float:
    cost = run['changing']
    above = (
        cost['cpu_percent_per_node'] - run['steady']['cpu_percent_per_node']
    )
    return above / 100 * cost['seconds'] * 1000 / len(run['converged_s'])


def _restart_bytes(run: dict[str, Any]) -> float:
    sent = run['restarting']['sent']
    kinds = ('membership', 'path', 'digests', 'descendants')
    size = sum(sent.get(kind, (0, 0))[1] for kind in kinds)
    return size / run['restarts'] / run['nodes']
