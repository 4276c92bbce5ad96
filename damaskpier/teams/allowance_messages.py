"""Messages between entry nodes and the owner of allowances.

They travel as msgpack arrays, so that the order and the types of the fields
are part of the wire format.
"""

from __future__ import annotations

import struct
from typing import NamedTuple
from typing import TYPE_CHECKING
import zlib

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable


class Usage(NamedTuple):
    """What an entry node reports about a team since its last report.

    ``used`` counts requests that were admitted without a token. ``want`` is
    the number of tokens that the node asks for. ``unused`` counts tokens that
    expired, ``returned`` admitted requests that did not run.
    """

    team: str
    used: int = 0
    want: int = 0
    unused: int = 0
    returned: int = 0


class Report(NamedTuple):
    """Message of an entry node.

    ``is_apart`` is set while the node uses its own part of the rates, which
    the owner then does not grant to others.
    """

    node_id: str
    is_apart: bool
    usages: list[Usage]


class Grant(NamedTuple):
    """Answer to a request for tokens of a team.

    ``retry_ms`` is the time after which the owner expects to have more; 0 if
    the node got all that it asked for.
    """

    team: str
    tokens: int
    retry_ms: int = 0


class Reply(NamedTuple):
    """Answer of the owner.

    Requests of the teams in ``limited`` need tokens; of all teams, while
    ``is_new`` is set, because the owner does not know their recent use.
    ``limited`` holds :func:`short_digest` of each team. It is in every answer,
    so that the names of many teams would be most of the bytes.
    """

    is_new: bool
    limited: bytes
    grants: list[Grant]


_ENCODER = msgspec.msgpack.Encoder()
_REPORT_DECODER = msgspec.msgpack.Decoder(Report)
_REPLY_DECODER = msgspec.msgpack.Decoder(Reply)


def short_digest(team: str) -> int:
    """Return a number of 16 bits for a team.

    Teams with the same number as a limited one need tokens too, which costs
    messages and changes no decision.
    """
    return zlib.crc32(team.encode()) & 0xFFFF


def pack_digests(digests: Iterable[int]) -> bytes:
    """Return the bytes of short digests."""
    ordered = sorted(digests)
    return struct.pack(f'>{len(ordered)}H', *ordered)


def unpack_digests(packed: bytes) -> frozenset[int]:
    """Return the short digests in bytes; a last odd byte is ignored."""
    count = len(packed) // 2
    return frozenset(struct.unpack_from(f'>{count}H', packed))


def encode(message: Report | Reply) -> bytes:
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode_report(body: bytes) -> Report:
    """Return the report in a message.

    :raises msgspec.MsgspecError: if there is none
    """
    return _REPORT_DECODER.decode(body)


def decode_reply(body: bytes) -> Reply:
    """Return the reply in a message.

    :raises msgspec.MsgspecError: if there is none
    """
    return _REPLY_DECODER.decode(body)
