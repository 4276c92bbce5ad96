"""Tests of the metrics."""

from __future__ import annotations

from damaskpier import metrics


def test_text_form_holds_counters_gauges_and_quantiles():
    metrics_service = metrics.Metrics()
    metrics_service.increment('requests', code='answered')
    metrics_service.increment('requests', 2, code='a"b')
    metrics_service.register_gauge('running', lambda: 3)
    for micros in range(1, 1001):
        metrics_service.observe('added', micros / 1e6)
    text = metrics_service.render()
    assert 'damaskpier_requests_total{code="answered"} 1\n' in text
    assert 'damaskpier_requests_total{code="a\\"b"} 2\n' in text
    assert 'damaskpier_running 3\n' in text
    assert 'damaskpier_added_seconds_count 1000\n' in text
    assert 0.00098 < metrics_service.quantile_s('added', 0.99) < 0.001
