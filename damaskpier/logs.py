"""Logging: configuration, rate limit and a handler that never blocks."""

from __future__ import annotations

import collections
import logging
import os
import sys
import time
from typing import TextIO
from typing import TYPE_CHECKING

from pythonjsonlogger import json as json_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import config

TEXT_FORMAT = '%(asctime)s %(levelname)s %(message)s'
JSON_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'

# Rate and burst of the lines of each logger. Formatting a line takes 24 us
# (mean of 20,000 lines), so at this rate a module uses about 0.1% of a core.
LINES_PER_S = 40.0
BURST_LINES = 200.0


class RateLimitFilter(logging.Filter):
    """Limits the rate of the lines of each logger with a token bucket.

    ``dropped_lines`` counts the dropped lines of each logger since its last
    line that passed. Warnings and errors always pass, because they report
    rare changes.

    :param clock: monotonic clock, in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.dropped_lines: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._tokens: dict[str, float] = {}
        self._refilled_at: dict[str, float] = {}

    def acquire(self, name: str, level: int) -> bool:
        """Return whether a logger may write a line, and count it if not."""
        if level >= logging.WARNING:
            return True
        now = self._clock()
        tokens = self._tokens.get(name, BURST_LINES)
        tokens += LINES_PER_S * (now - self._refilled_at.get(name, now))
        self._refilled_at[name] = now
        if tokens < 1.0:
            self._tokens[name] = tokens
            self.dropped_lines[name] += 1
            return False
        self._tokens[name] = min(tokens, BURST_LINES) - 1.0
        return True

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written.

        The next line that passes states how many were dropped before it.
        """
        name = record.name
        if not isinstance(
            logging.getLogger(name), LimitedLogger
        ) and not self.acquire(name, record.levelno):
            return False
        if record.levelno < logging.WARNING:
            dropped = self.dropped_lines.pop(name, 0)
            if dropped:
                record.msg += f' [{dropped} lines were dropped before]'
        return True


class LimitedLogger(logging.Logger):
    """Logger that asks the rate limit before it makes a record.

    Under overload, a node writes several lines a request, nearly all of which
    are dropped. The record of a dropped line would cost as much as a written
    line.
    """

    rate_limit: RateLimitFilter | None = None

    def isEnabledFor(self, level: int) -> bool:  # noqa: N802
        """Return whether a line is written, and count it."""
        limit = self.rate_limit
        return super().isEnabledFor(level) and (
            limit is None or limit.acquire(self.name, level)
        )


def get_logger(name: str) -> logging.Logger:
    """Return the logger of a module that writes lines for each request."""
    default = logging.getLoggerClass()
    logging.setLoggerClass(LimitedLogger)
    try:
        return logging.getLogger(name)
    finally:
        logging.setLoggerClass(default)


class NonBlockingHandler(logging.StreamHandler):
    """Handler that drops a line instead of blocking on a full pipe.

    ``lost`` counts the dropped lines.

    :param stream: stream whose file is made non-blocking
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self.lost = 0
        try:
            self._fd: int | None = stream.fileno()
        except (AttributeError, OSError, ValueError):
            # A stream without a file descriptor, as in tests, never blocks.
            self._fd = None
        if self._fd is not None:
            os.set_blocking(self._fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped if the pipe is full."""
        if self._fd is None:
            super().emit(record)
            return
        try:
            line = self.format(record) + self.terminator
            os.write(self._fd, line.encode('utf-8', 'replace'))
        except BlockingIOError:
            self.lost += 1
        except OSError:
            self.handleError(record)


def configure(cfg: config.Settings, stream: TextIO | None = None) -> None:
    """Send log records to a stream in the configured format.

    :param stream: stream that must not block the process and whose lines
        are limited; None for standard error without a limit
    """
    handler: logging.StreamHandler = logging.StreamHandler(sys.stderr)
    if stream is not None:
        handler = NonBlockingHandler(stream)
        LimitedLogger.rate_limit = RateLimitFilter()
        handler.addFilter(LimitedLogger.rate_limit)
    if cfg.text('log', 'format') == 'json':
        handler.setFormatter(json_logger.JsonFormatter(JSON_FORMAT))
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(cfg.text('log', 'level').upper())
    # Tornado logs each answered request, which the metrics count already.
    logging.getLogger('tornado.access').setLevel(logging.ERROR)
