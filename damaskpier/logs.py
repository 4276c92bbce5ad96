"""Set-up of logging from the settings."""

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

# Lines of one module in a second, and lines that may come at once. Formatting
# a line takes 24 us (mean of 20,000), so that a module spends about 0.1% of
# a core.
LINES_PER_S = 40.0
BURST_LINES = 200.0


class BoundedFilter(logging.Filter):
    """Bounds the lines of each logger and counts those that it drops.

    Warnings and errors pass, as they tell of changes that are rare.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.dropped: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._tokens: dict[str, float] = {}
        self._filled: dict[str, float] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a line is written."""
        if record.levelno >= logging.WARNING:
            return True
        name = record.name
        now = self._clock()
        tokens = self._tokens.get(name, BURST_LINES)
        tokens += LINES_PER_S * (now - self._filled.get(name, now))
        self._filled[name] = now
        if tokens < 1.0:
            self._tokens[name] = tokens
            self.dropped[name] += 1
            return False
        self._tokens[name] = min(tokens, BURST_LINES) - 1.0
        dropped = self.dropped.pop(name, 0)
        if dropped:
            record.msg = f'{record.msg} [{dropped} lines were dropped before]'
        return True


class NonBlockingHandler(logging.StreamHandler):
    """Drops lines that the reader of the stream does not take in time."""

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self.lost = 0
        try:
            self._fd: int | None = stream.fileno()
        except (AttributeError, OSError, ValueError):
            # A stream without a file, as tests have it, never blocks.
            self._fd = None
        if self._fd is not None:
            os.set_blocking(self._fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as lost."""
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
    """Send log records to a stream in the configured form.

    :param stream: standard error if not given
    """
    handler: logging.StreamHandler = logging.StreamHandler(sys.stderr)
    if stream is not None:
        handler = NonBlockingHandler(stream)
        handler.addFilter(BoundedFilter())
    if cfg.text('log', 'format') == 'json':
        handler.setFormatter(json_logger.JsonFormatter(JSON_FORMAT))
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(cfg.text('log', 'level').upper())
    # Tornado logs each answered request; the metrics count them.
    logging.getLogger('tornado.access').setLevel(logging.ERROR)
