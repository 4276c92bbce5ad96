"""Exit codes of the command line."""

from __future__ import annotations

import enum

from damaskpier import errors


class ExitCode(enum.IntEnum):
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
    ExitCode.OK: 'The command did what it was asked.',
    ExitCode.REFUSED: 'Refused, or another writer was first; nothing changed.',
    ExitCode.BAD_INPUT: (
        'Wrong usage, or a file or value that can not be used.'
    ),
    ExitCode.UNAVAILABLE: 'The platform did not answer; nothing was written.',
    ExitCode.UNKNOWN: 'A write may have taken effect; read the state first.',
    ExitCode.TAKEN_BACK: 'The move was taken back while the command waited.',
    ExitCode.TIME_LIMIT: 'The time limit of --wait passed before a verdict.',
    ExitCode.INTERNAL: 'A fault of the program; the traceback says where.',
    ExitCode.INTERRUPTED: 'Ended by Ctrl-C.',
}

_BY_CODE = {
    errors.CONFIG_OLDER: ExitCode.REFUSED,
    errors.PLATFORM_UNAVAILABLE: ExitCode.UNAVAILABLE,
    errors.PLATFORM_LIMITED: ExitCode.UNAVAILABLE,
    errors.PLATFORM_UNKNOWN: ExitCode.UNKNOWN,
    errors.PLATFORM_TOO_LARGE: ExitCode.BAD_INPUT,
}

_BY_CATEGORY = {
    errors.Category.SETTINGS: ExitCode.BAD_INPUT,
    errors.Category.BUNDLE: ExitCode.BAD_INPUT,
}


def to_exit_code(code: errors.ResultCode) -> ExitCode:
    """Return the exit code for an error with a result code."""
    if code in _BY_CODE:
        return _BY_CODE[code]
    return _BY_CATEGORY.get(code.category, ExitCode.REFUSED)
