"""Decoder for the store's lists that keeps what can be read.

Anybody may write an entry that can not be decoded. It must not hide the other
entries of its list.
"""

from __future__ import annotations

import logging
import re
from typing import Any
from typing import NamedTuple

import msgspec

LOG = logging.getLogger(__name__)

# Members of a response that list entries.
LIST_MEMBERS = (b'"items"', b'"events"')
# Limit of the values in a response. A value of three bytes takes up to 80
# bytes once it is decoded, and a response may have millions of them.
MAX_VALUES = 1_000_000
# Exceptions of the decoder. A number beyond the range of its type and bytes
# that are no JSON are a ``DecodeError``.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)

# Strings, with any content, and the brackets outside of them.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[\]{}]', re.DOTALL)
_OPENING = frozenset((b'[', b'{'))
_CLOSING = frozenset((b']', b'}'))
_LIST_DEPTH = 2


class _Span(NamedTuple):
    """Part of an encoded response."""

    start: int
    end: int


def decode_response(body: bytes) -> dict[str, Any]:
    """Decode a response of the store.

    If it can not be decoded as a whole, entries of its list that can not be
    decoded are left out.

    :raises: one of :data:`DECODE_ERRORS`
    """
    # Commas in strings count too, so that this is an upper bound.
    count = body.count(b',') + body.count(b'[') + body.count(b'{')
    if count > MAX_VALUES:
        raise msgspec.DecodeError(
            f'about {count} values, the limit is {MAX_VALUES}'
        )
    try:
        return msgspec.json.decode(body or b'{}', type=dict[str, Any])
    except DECODE_ERRORS as exc:
        found = _decode_without_unreadable(body, exc)
        if found is None:
            raise
        return found


def _decode_without_unreadable(
    body: bytes, cause: Exception
) -> dict[str, Any] | None:
    """Decode each entry by itself.

    :param cause: why the response can not be decoded as a whole
    :returns: None if the response has no list, or does not end
    """
    spans = _find_entries(body)
    if spans is None:
        return None
    member, list_span, entry_spans = spans
    rest = body[: list_span.start] + b'[]' + body[list_span.end :]
    decoded = msgspec.json.decode(rest, type=dict[str, Any])
    entries = []
    for span in entry_spans:
        try:
            entries.append(msgspec.json.decode(body[span.start : span.end]))
        except DECODE_ERRORS as exc:
            cause = exc
    LOG.error(
        'platform: skipped %d of %d entries that can not be decoded: %s',
        len(entry_spans) - len(entries),
        len(entry_spans),
        cause,
    )
    decoded[member] = entries
    return decoded


def _find_entries(body: bytes) -> tuple[str, _Span, list[_Span]] | None:
    """Find the list of a response and its entries that have members.

    Works without recursion, and without a look into the entries.
    """
    depth = 0
    last_string = member = b''
    list_start = entry_start = 0
    entries: list[_Span] = []
    for token in _TOKEN.finditer(body):
        text = token[0]
        if text in _OPENING:
            depth += 1
            if depth == _LIST_DEPTH and last_string in LIST_MEMBERS:
                member, list_start = last_string, token.start()
            elif depth == _LIST_DEPTH + 1:
                entry_start = token.start()
        elif text in _CLOSING:
            depth -= 1
            if depth == _LIST_DEPTH and member:
                entries.append(_Span(entry_start, token.end()))
            elif depth == _LIST_DEPTH - 1 and member:
                span = _Span(list_start, token.end())
                return member[1:-1].decode(), span, entries
        elif depth == _LIST_DEPTH - 1:
            last_string = text
    return None
