"""Names of HTTP headers, and functions that filter and parse headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpier import errors

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from damaskpier.traffic import messages

DEADLINE = 'Damaskpier-Deadline-Ms'
DEPTH = 'Damaskpier-Depth'
REQUEST_ID = 'Damaskpier-Request-Id'
RESULT = 'Damaskpier-Result'
RUN = 'Damaskpier-Run'
VERSION = 'Damaskpier-Version'

MAX_DEPTH = 7
MAX_DEADLINE_MS = 3_600_000
MAX_REQUEST_ID_LENGTH = 128  # characters

OWN_PREFIX = 'damaskpier-'
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# The HTTP libraries on both sides set these headers themselves for each
# connection.
SET_BY_LIBRARY = frozenset(('content-length', 'expect', 'host'))


def end_to_end(pairs: Iterable[tuple[str, str]]) -> messages.Headers:
    """Return the end-to-end headers of a message.

    Removes the hop-by-hop headers, the headers that ``Connection`` names, the
    ones that the HTTP libraries set, and the headers of damaskpier.
    """
    pairs = tuple(pairs)
    named: set[str] = set()
    for name, value in pairs:
        if name.lower() == 'connection':
            named.update(part.strip().lower() for part in value.split(','))
    kept = []
    for name, value in pairs:
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in SET_BY_LIBRARY or lower in named:
            continue
        if lower.startswith(OWN_PREFIX):
            continue
        kept.append((name, value))
    return tuple(kept)


def parse_number(
    headers: Mapping[str, str], name: str, default: int, maximum: int
) -> int | errors.Refusal:
    """Return the value of a numeric header, or a refusal if it is invalid.

    :param default: value if the header is missing
    :param maximum: largest value that is accepted
    """
    raw = headers.get(name)
    if raw is None:
        return default
    if not (raw.isascii() and raw.isdigit()) or len(raw) > 9:
        return errors.Refusal(
            errors.CALL_BAD_HEADER, f'{name}: {raw[:40]!r} is not a number'
        )
    if int(raw) > maximum:
        return errors.Refusal(
            errors.CALL_BAD_HEADER, f'{name}: {raw} is above {maximum}'
        )
    return int(raw)
