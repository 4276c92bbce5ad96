"""Parsers and checks for the values in the platform's messages."""

from __future__ import annotations

import ipaddress
import re

# Largest whole number that all decoders read exactly.
MAX_COUNT = 2**53
MAX_PORT = 65535

_TIME = re.compile(r'(\d{1,12}(?:\.\d{1,12})?)(ms|s)\Z', re.ASCII)
_VERSION = re.compile(r'[0-9a-fA-F]{1,8}\Z')
_PORT = re.compile(r'\d{1,5}\Z', re.ASCII)


def parse_duration_s(text: object) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s``.

    :returns: duration in seconds
    :raises ValueError: if the text is not a duration
    """
    found = _TIME.match(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError('not a duration')
    number = float(found[1])
    return number / 1000 if found[2] == 'ms' else number


def parse_version(text: object) -> int:
    """Parse a configuration version, which is hexadecimal.

    :raises ValueError: if the text is not a version
    """
    if not isinstance(text, str) or not _VERSION.match(text):
        raise ValueError('not a hexadecimal version')
    return int(text, 16)


def require_text(value: object) -> str:
    """Return a value that is a non-empty string.

    :raises TypeError: if it is not
    """
    if not isinstance(value, str) or not value:
        raise TypeError(f'{type(value).__name__} instead of a string')
    return value


def require_count(value: object, limit: int = MAX_COUNT) -> int:
    """Return a value that is a non-negative integer.

    :param limit: largest value
    :raises TypeError, ValueError: if it is not, or is above the limit
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'{type(value).__name__} instead of an integer')
    if not 0 <= value <= limit:
        raise ValueError(f'an integer that is not between 0 and {limit}')
    return value


def require_number(value: object) -> float:
    """Return a value that is a finite, non-negative number.

    :raises TypeError, ValueError: if it is not
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'{type(value).__name__} instead of a number')
    if not 0 <= value <= MAX_COUNT:
        raise ValueError(f'a number that is not between 0 and {MAX_COUNT}')
    return float(value)


def require_port(value: object) -> int:
    """Return a value that is the number of a port.

    :raises TypeError, ValueError: if it is not
    """
    if require_count(value, MAX_PORT) == 0:
        raise ValueError('0 instead of a port')
    return value


def require_host(value: object) -> str:
    """Return a value that is an IPv4 address.

    :raises TypeError, ValueError: if it is not
    """
    return str(ipaddress.IPv4Address(require_text(value)))


def parse_address(value: object) -> tuple[str, int]:
    """Return the host and the port of an address.

    :raises TypeError, ValueError: if the value is not an address
    """
    host, _, port = require_text(value).rpartition(':')
    if not _PORT.match(port):
        raise ValueError('an address without a port')
    return require_host(host), require_port(int(port))
