"""Set-up of logging from the settings."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

from pythonjsonlogger import json as json_logger

if TYPE_CHECKING:
    from damaskpier import config

TEXT_FORMAT = '%(asctime)s %(levelname)s %(message)s'
JSON_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


def set_up(cfg: config.Settings) -> None:
    """Send log records to standard error in the configured form."""
    handler = logging.StreamHandler(sys.stderr)
    if cfg.text('log', 'format') == 'json':
        handler.setFormatter(json_logger.JsonFormatter(JSON_FORMAT))
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(cfg.text('log', 'level').upper())
    # Tornado logs each answered request; the metrics count them.
    logging.getLogger('tornado.access').setLevel(logging.ERROR)
