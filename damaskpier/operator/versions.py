"""Reads the bundles of configuration versions from the platform."""

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
    """Bundle of a configuration version, with its digest."""

    version: int
    digest: str
    bundle: model.Bundle


def parse_version(text: str | None) -> int | None:
    """Parse a configuration version.

    :returns: the version, or None if the text is None
    :raises CommandError: if the text is not a whole number
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


async def read_bundle(
    store: base.ObjectStore, version: int | None
) -> VersionedBundle:
    """Read the bundle of a configuration version.

    :param version: None for the active version
    :raises CommandError: if the platform does not answer, or no longer holds
        the version
    """
    current = await signoff.read_head(store)
    if isinstance(current, errors.Refusal):
        raise command.head_read_error(current)
    digest = current.head.digest
    if version is None:
        version = current.head.version
    elif version != current.head.version:
        digest = _find_digest(current, version)
    bundle = await signoff.read_bundle(store, digest)
    return VersionedBundle(version, digest, command.unwrap_result(bundle))


def _find_digest(current: signoff.StoredHead, version: int) -> str:
    digests = {item['version']: item['digest'] for item in current.recent}
    if version not in digests:
        raise command.CommandError(
            errors.PLATFORM_NOT_FOUND,
            f'the platform does not hold version {version}; it holds '
            f'{min(digests)} to {max(digests)}',
        )
    return digests[version]
