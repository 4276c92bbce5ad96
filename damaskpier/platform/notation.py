"""Notations of the platform for times and configuration versions."""

from __future__ import annotations

import re

_TIME = re.compile(r'(\d+(?:\.\d+)?)(ms|s)\Z')


def parse_duration_s(text: object) -> float:
    """Return a time such as ``1500ms`` or ``2.5s`` in seconds.

    :raises ValueError: if the text is no time
    """
    found = _TIME.match(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f'{text!r} is not a time')
    number = float(found[1])
    return number / 1000 if found[2] == 'ms' else number


def parse_version(text: object) -> int:
    """Return a configuration version, which is written in hexadecimal.

    :raises ValueError: if the text is no version
    """
    if not isinstance(text, str):
        raise ValueError(f'{text!r} is not a version')
    return int(text, 16)
