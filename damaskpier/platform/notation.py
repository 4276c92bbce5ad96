"""Parsers for the platform's durations and configuration versions."""

from __future__ import annotations

import re

_TIME = re.compile(r'(\d+(?:\.\d+)?)(ms|s)\Z')


def parse_duration_s(text: object) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s``.

    :returns: duration in seconds
    :raises ValueError: if the text is not a duration
    """
    found = _TIME.match(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f'{text!r} is not a duration')
    number = float(found[1])
    return number / 1000 if found[2] == 'ms' else number


def parse_version(text: object) -> int:
    """Parse a configuration version, which is hexadecimal.

    :raises ValueError: if the text is not a version
    """
    if not isinstance(text, str):
        raise ValueError(f'{text!r} is not a version')
    return int(text, 16)
