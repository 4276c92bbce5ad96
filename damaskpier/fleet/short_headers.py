"""Short names of the headers that nodes send each other.

The names of these headers were up to half of the head of a request. A node
sends short names only to a node whose replies have shown that it reads them,
so that nodes of earlier builds get the long ones.

A caller or an upstream may use a short name for a header of its own. So a
message has either long or short names: the header ``SERVICE`` of a request
and ``LOAD`` or ``RESULT`` of a reply are present in one of the two forms, and
a message with a long one is read as it is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpier.http1 import messages

# In replies in the long form, tells that the node reads short names.
READS_SHORT = 'Damaskpier-Short'

_SHORT_NAMES = {
    'Damaskpier-Request-Id': 'Dp-I',
    'Damaskpier-Service': 'Dp-S',
    'Damaskpier-Route': 'Dp-R',
    'Damaskpier-Deadline-Ms': 'Dp-D',
    'Damaskpier-Version': 'Dp-V',
    'Damaskpier-Caller': 'Dp-C',
    'Damaskpier-Priority': 'Dp-P',
    'Damaskpier-Team': 'Dp-T',
    'Damaskpier-Repeatable': 'Dp-Y',
    'Damaskpier-Repeat': 'Dp-Z',
    'Damaskpier-Objective-Ms': 'Dp-O',
    'Damaskpier-Patience-Ms': 'Dp-W',
    'Damaskpier-Attempt': 'Dp-A',
    'Damaskpier-Load': 'Dp-L',
    'Damaskpier-Pace': 'Dp-E',
    'Damaskpier-Link-Busy-Ms': 'Dp-B',
    'Damaskpier-Wait-Ms': 'Dp-M',
    'Damaskpier-Leaving': 'Dp-G',
    'Damaskpier-Result': 'Dp-N',
    'Damaskpier-Run': 'Dp-U',
}
_LONG_NAMES = {short.lower(): name for name, short in _SHORT_NAMES.items()}
# One of these is in each message that has long names.
_MARKS = frozenset(
    (
        'damaskpier-service',
        'damaskpier-load',
        'damaskpier-result',
        # In the answer to a question, which may have no load.
        'damaskpier-attempt',
    )
)
_SHORT_MARKS = frozenset(('dp-s', 'dp-l', 'dp-n'))


def shorten(fields: messages.Headers) -> messages.Headers | None:
    """Return the headers of a message with short names.

    :returns: None if the message can not have them, because another header
        has such a name or because nothing would tell them from others
    """
    has_mark = False
    result = []
    for name, value in fields:
        if name.lower() in _LONG_NAMES:
            return None
        short = _SHORT_NAMES.get(name)
        has_mark |= short is not None and short.lower() in _SHORT_MARKS
        result.append((short or name, value))
    return tuple(result) if has_mark else None


def is_short(fields: messages.Headers) -> bool:
    """Return whether a message has short names."""
    has_short_mark = False
    for name, _ in fields:
        lower = name.lower()
        if lower in _MARKS:
            return False
        has_short_mark |= lower in _SHORT_MARKS
    return has_short_mark


def expand(fields: messages.Headers) -> messages.Headers:
    """Return the headers of a message with long names."""
    return expand_short(fields) if is_short(fields) else fields


def expand_short(fields: messages.Headers) -> messages.Headers:
    """Return the headers of a message that has short names."""
    return tuple(
        (_LONG_NAMES.get(name.lower(), name), value) for name, value in fields
    )
