"""Parses the times and durations that operators give as options."""

from __future__ import annotations

import datetime
import re

_UNITS_S = {'s': 1, 'm': 60, 'h': 3600, 'd': 86400}
_DURATION_PART = re.compile(r'(\d+(?:\.\d+)?)([smhd])')


def parse_duration(text: str) -> float:
    """Parse a duration such as ``90s`` or ``1h30m``.

    :returns: seconds
    :raises ValueError: if the text has another form
    """
    total = 0.0
    position = 0
    for match in _DURATION_PART.finditer(text):
        if match.start() != position:
            break
        total += float(match.group(1)) * _UNITS_S[match.group(2)]
        position = match.end()
    if not text or position != len(text):
        raise ValueError(
            f'{text!r} is not a duration; write for example 90s, 10m or 1h30m'
        )
    return total


def parse_time(text: str, now: float) -> float:
    """Parse a point in time.

    :param text: ISO time, in UTC if it has no offset, or a duration that
        starts now
    :param now: seconds since the epoch
    :returns: seconds since the epoch
    :raises ValueError: if the text has another form
    """
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        try:
            return now + parse_duration(text)
        except ValueError:
            raise ValueError(
                f'{text!r} is no time; write for example 10m or '
                '2026-03-01T14:30:00Z'
            ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()
