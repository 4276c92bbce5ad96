"""Decision which team holds the key of a request.

Keys are kept and compared as SHA-256 digests, so that nothing that is logged,
gossiped or shown contains one.
"""

from __future__ import annotations

import collections
import enum
import hashlib
from typing import Any
from typing import Generic
from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


class KeyHolder(Protocol):
    """Team with the digests of its keys."""

    @property
    def name(self) -> str:
        """Return the team's name, which no other team has."""

    @property
    def key_digests(self) -> tuple[bytes, ...]:
        """Return the SHA-256 digests of the team's keys."""


HolderT = TypeVar('HolderT', bound=KeyHolder)


class KeyFault(enum.Enum):
    """Reason for which a request is not authenticated.

    The value is the label of the metric.
    """

    MISSING = 'missing'
    REPEATED = 'repeated'
    UNKNOWN = 'unknown'


class KeyTable(Generic[HolderT]):
    """Teams of one configuration by the digests of their keys.

    :param holders: teams, of which no two hold the same key
    """

    def __init__(self, holders: Iterable[HolderT] = ()) -> None:
        self._holders: dict[bytes, HolderT] = {}
        # A configuration with teams but without keys admits nobody.
        self.is_required = False
        for holder in holders:
            self.is_required = True
            for digest in holder.key_digests:
                self._holders[digest] = holder

    def authenticate(self, digests: Sequence[bytes]) -> HolderT | KeyFault:
        """Return the team that holds the key of a request.

        A request with several keys is refused even if they are equal: which
        of them counts would depend on who reads the request.

        :param digests: digests of all keys that the request carries
        """
        if not digests:
            return KeyFault.MISSING
        if len(digests) > 1:
            return KeyFault.REPEATED
        return self._holders.get(digests[0], KeyFault.UNKNOWN)


def digest_of_key(octets: bytes) -> bytes:
    """Return the digest by which nodes keep and compare a team's key."""
    return hashlib.sha256(octets).digest()


def describe_change(
    before: Iterable[KeyHolder], after: Iterable[KeyHolder]
) -> str:
    """Return how many teams and keys came and went; empty if none did.

    A key that changes from one team to another came and went.
    """
    old_names, old_keys = _names_and_keys(before)
    new_names, new_keys = _names_and_keys(after)
    if old_names == new_names and old_keys == new_keys:
        return ''
    return (
        f'{len(new_names)} teams ({_format_change(old_names, new_names)}) '
        f'with {len(new_keys)} keys ({_format_change(old_keys, new_keys)})'
    )


def _names_and_keys(
    holders: Iterable[KeyHolder],
) -> tuple[set[str], set[tuple[str, bytes]]]:
    names = set()
    held = set()
    for holder in holders:
        names.add(holder.name)
        held.update((holder.name, digest) for digest in holder.key_digests)
    return names, held


def _format_change(before: set[Any], after: set[Any]) -> str:
    return f'{len(after - before)} added, {len(before - after)} removed'


def find_conflict(holders: Sequence[KeyHolder]) -> str:
    """Return which teams can not be told apart; empty if there are none.

    The text names teams only, neither keys nor digests.
    """
    names = collections.Counter(holder.name for holder in holders)
    for name, count in names.items():
        if count > 1:
            return f'{count} teams have the name {name!r}'
    owners: dict[bytes, str] = {}
    for holder in holders:
        for digest in holder.key_digests:
            owner = owners.setdefault(digest, holder.name)
            if owner != holder.name:
                return f'the teams {owner!r} and {holder.name!r} share a key'
    return ''
