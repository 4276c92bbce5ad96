"""Names and treatment of HTTP headers."""

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
MAX_REQUEST_ID = 128  # characters

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
# The HTTP libraries on both sides set these for their own connection.
REPLACED = frozenset(('content-length', 'expect', 'host'))


def end_to_end(pairs: Iterable[tuple[str, str]]) -> messages.Headers:
    """Return the headers that belong to the message, not to one hop.

    Removes hop-by-hop headers, the ones that ``Connection`` names, and the
    headers of this system.
    """
    pairs = tuple(pairs)
    named: set[str] = set()
    for name, value in pairs:
        if name.lower() == 'connection':
            named.update(part.strip().lower() for part in value.split(','))
    kept = []
    for name, value in pairs:
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in REPLACED or lower in named:
            continue
        if lower.startswith(OWN_PREFIX):
            continue
        kept.append((name, value))
    return tuple(kept)


def bounded_number(
    headers: Mapping[str, str], name: str, default: int, high: int
) -> int | errors.Refusal:
    """Return the whole number in a header, or a refusal."""
    raw = headers.get(name)
    if raw is None:
        return default
    if not (raw.isascii() and raw.isdigit()) or len(raw) > 9:
        return errors.Refusal(
            errors.CALL_BAD_HEADER, f'{name}: {raw[:40]!r} is not a number'
        )
    if int(raw) > high:
        return errors.Refusal(
            errors.CALL_BAD_HEADER, f'{name}: {raw} is above {high}'
        )
    return int(raw)
