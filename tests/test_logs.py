"""Tests of the rate limit of log lines and of the handler for pipes."""

from __future__ import annotations

import logging
import os

from damaskpier import logs


def _record(level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord('part', level, '', 0, 'line %d', (1,), None)


def test_lines_of_a_logger_are_limited_and_dropped_ones_counted():
    now = [0.0]
    bounded = logs.RateLimitFilter(lambda: now[0])
    passed = sum(bounded.filter(_record()) for _ in range(1000))
    assert passed == logs.BURST_LINES
    assert bounded.dropped_lines['part'] == 1000 - passed
    now[0] = 1.0
    record = _record()
    assert bounded.filter(record)
    assert f'[{1000 - passed} lines' in record.getMessage()
    more = sum(bounded.filter(_record()) for _ in range(1000))
    assert more == logs.LINES_PER_S - 1


def test_warnings_are_not_dropped():
    bounded = logs.RateLimitFilter(lambda: 0.0)
    assert all(bounded.filter(_record(logging.WARNING)) for _ in range(999))


def test_dropped_lines_of_a_limited_logger_make_no_record(monkeypatch):
    """A node under overload must not spend its time on lines it drops."""
    limit = logs.RateLimitFilter(lambda: 0.0)
    monkeypatch.setattr(logs.LimitedLogger, 'rate_limit', limit)
    logger = logs.get_logger('tests.limited')
    logger.setLevel(logging.INFO)
    made = []
    monkeypatch.setattr(
        logger, 'handle', lambda record: made.append(limit.filter(record))
    )
    for _ in range(1000):
        logger.info('line')
    assert made == [True] * int(logs.BURST_LINES)
    assert limit.dropped_lines['tests.limited'] == 1000 - len(made)
    logger.warning('line')
    assert len(made) == logs.BURST_LINES + 1


def test_full_pipe_drops_lines_and_does_not_block():
    reader, writer = os.pipe()
    with os.fdopen(writer, 'w') as stream:
        handler = logs.NonBlockingHandler(stream)
        # A pipe holds 64 KiB, and nothing reads from it.
        for _ in range(20_000):
            handler.emit(_record())
        assert handler.lost
    os.close(reader)
