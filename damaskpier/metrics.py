"""Metrics of a process in the Prometheus text format; service ``metrics``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh import histogram

from damaskpier import registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application

PREFIX = 'damaskpier_'
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MIN_DURATION_US = 1
MAX_DURATION_US = 60_000_000
SIGNIFICANT_DIGITS = 2

Labels = tuple[tuple[str, str], ...]


class _Histogram:
    def __init__(self) -> None:
        self.counts = histogram.HdrHistogram(
            MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
        )
        self.total_s = 0.0

    def record(self, seconds: float) -> None:
        micros = min(MAX_DURATION_US, max(MIN_DURATION_US, int(seconds * 1e6)))
        self.counts.record_value(micros)
        self.total_s += seconds


class Metrics(registry.Service):
    """Counters, gauges and histograms of durations, by name.

    Names are given without the prefix ``damaskpier_`` and without the suffix
    of their kind.
    """

    def __init__(self) -> None:
        self._counters: dict[str, dict[Labels, float]] = {}
        self._gauges: dict[str, dict[Labels, Callable[[], float]]] = {}
        self._histograms: dict[str, _Histogram] = {}

    def increment(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        series = self._counters.setdefault(name, {})
        key = tuple(labels.items())
        series[key] = series.get(key, 0) + amount

    def counter_value(self, name: str, **labels: str) -> float:
        """Return the value of a counter, 0 before its first increment."""
        series = self._counters.get(name, {})
        return series.get(tuple(labels.items()), 0)

    def register_gauge(
        self, name: str, read: Callable[[], float], **labels: str
    ) -> None:
        """Register a gauge.

        :param read: returns the value; called each time the metrics are
            rendered
        """
        self._gauges.setdefault(name, {})[tuple(labels.items())] = read

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        entry = self._histograms.get(name)
        if entry is None:
            entry = self._histograms[name] = _Histogram()
        entry.record(seconds)

    def quantile_s(self, name: str, quantile: float) -> float:
        """Return a quantile of a histogram in seconds, 0 if it is empty.

        :param quantile: number between 0 and 1
        """
        entry = self._histograms.get(name)
        if entry is None:
            return 0.0
        return entry.counts.get_value_at_percentile(quantile * 100) / 1e6

    def render(self) -> str:
        """Return all metrics in the Prometheus text format.

        Histograms are rendered as summaries with ``QUANTILES``.
        """
        lines: list[str] = []
        for name, series in sorted(self._counters.items()):
            full = f'{PREFIX}{name}_total'
            lines.append(f'# TYPE {full} counter')
            for labels, value in sorted(series.items()):
                lines.append(f'{full}{_format_labels(labels)} {value:.17g}')
        for name, readers in sorted(self._gauges.items()):
            full = f'{PREFIX}{name}'
            lines.append(f'# TYPE {full} gauge')
            for labels, read in sorted(
                readers.items(), key=lambda item: item[0]
            ):
                lines.append(f'{full}{_format_labels(labels)} {read():.17g}')
        for name, entry in sorted(self._histograms.items()):
            full = f'{PREFIX}{name}_seconds'
            lines.append(f'# TYPE {full} summary')
            for quantile in QUANTILES:
                value = self.quantile_s(name, quantile)
                lines.append(f'{full}{{quantile="{quantile:g}"}} {value:.6f}')
            lines.append(f'{full}_sum {entry.total_s:.6f}')
            lines.append(f'{full}_count {entry.counts.get_total_count()}')
        return '\n'.join(lines) + '\n'


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ''
    parts = ','.join(
        f'{name}="{_escape_label_value(value)}"' for name, value in labels
    )
    return '{' + parts + '}'


def _escape_label_value(value: str) -> str:
    return value.replace('\\', '\\\\').replace('"', '\\"').replace('\n', '\\n')


def setup(app: application.Application) -> None:
    """Register the service ``metrics``."""
    app.add_service('metrics', Metrics())
