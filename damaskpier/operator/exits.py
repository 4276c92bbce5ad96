"""Exit codes of the command line."""

from __future__ import annotations

import enum

from damaskpier import errors


class Exit(enum.IntEnum):
    """Exit code of a command, one for each category of result."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNAVAILABLE = 3
    UNKNOWN = 4
    TAKEN_BACK = 5
    TIME_LIMIT = 6
    INTERNAL = 70
    INTERRUPTED = 130


MEANINGS = {
    Exit.OK: 'The command did what it was asked.',
    Exit.REFUSED: 'Refused, or another writer was first; nothing changed.',
    Exit.BAD_INPUT: 'Wrong usage, or a file or value that can not be used.',
    Exit.UNAVAILABLE: 'The platform did not answer; nothing was written.',
    Exit.UNKNOWN: 'A write may have taken effect; read the state first.',
    Exit.TAKEN_BACK: 'The move was taken back while the command waited.',
    Exit.TIME_LIMIT: 'The time limit of --wait passed before a verdict.',
    Exit.INTERNAL: 'A fault of the program; the traceback says where.',
    Exit.INTERRUPTED: 'Ended by Ctrl-C.',
}

_BY_CODE = {
    errors.CONFIG_OLDER: Exit.REFUSED,
    errors.PLATFORM_UNAVAILABLE: Exit.UNAVAILABLE,
    errors.PLATFORM_LIMITED: Exit.UNAVAILABLE,
    errors.PLATFORM_UNKNOWN: Exit.UNKNOWN,
    errors.PLATFORM_TOO_LARGE: Exit.BAD_INPUT,
}

_BY_CATEGORY = {
    errors.Category.SETTINGS: Exit.BAD_INPUT,
    errors.Category.BUNDLE: Exit.BAD_INPUT,
}


def exit_of(code: errors.ResultCode) -> Exit:
    """Return the exit code of a command that ends with a result code."""
    if code in _BY_CODE:
        return _BY_CODE[code]
    return _BY_CATEGORY.get(code.category, Exit.REFUSED)
