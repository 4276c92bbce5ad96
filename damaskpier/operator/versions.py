"""Finds the bundles of configuration versions in the platform."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.operator import command
from damaskpier.store import signoff

if TYPE_CHECKING:
    from damaskpier.bundle import model
    from damaskpier.store import base


class VersionedBundle(NamedTuple):
    """Bundle with the configuration version that it had."""

    version: int
    digest: str
    bundle: model.Bundle


def number(text: str | None) -> int | None:
    """Return the configuration version that a text names.

    :raises CommandError: if it is not a whole number
    """
    if text is None:
        return None
    if not text.isdecimal():
        raise command.CommandError(
            errors.SETTINGS_INVALID,
            f'{text!r} is not a configuration version',
            'Give a whole number; see damaskpier status.',
        )
    return int(text)


async def read(
    store: base.ObjectStore, version: int | None
) -> VersionedBundle:
    """Return the bundle of a version, None for the active one.

    :raises CommandError: if the version is not kept
    """
    current = await signoff.read_head(store)
    if isinstance(current, errors.Refusal):
        raise command.no_head(current)
    digest = current.head.digest
    if version is None:
        version = current.head.version
    elif version != current.head.version:
        digest = _digest_of(current, version)
    bundle = await signoff.read_bundle(store, digest)
    return VersionedBundle(version, digest, command.unless_refused(bundle))


def _digest_of(current: signoff.StoredHead, version: int) -> str:
    known = {item['version']: item['digest'] for item in current.recent}
    if version not in known:
        raise command.CommandError(
            errors.PLATFORM_NOT_FOUND,
            f'the platform does not hold version {version}; it holds '
            f'{min(known)} to {max(known)}',
        )
    return known[version]
