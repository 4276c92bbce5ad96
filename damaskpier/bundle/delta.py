"""Differences between bundles, for messages and for operators."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING
import zlib

import msgspec

from damaskpier.bundle import codec
from damaskpier import errors

if TYPE_CHECKING:
    from damaskpier.bundle import model


class Delta(NamedTuple):
    """Resources that differ between two bundles, by name."""

    changed: codec.Resources
    removed: tuple[str, ...]


def delta(old: model.Bundle, new: model.Bundle) -> Delta:
    """Return the resources to change and remove to get from old to new."""
    before = codec.to_resources(old)
    after = codec.to_resources(new)
    changed = {
        name: entry
        for name, entry in after.items()
        if before.get(name) != entry
    }
    removed = tuple(sorted(name for name in before if name not in after))
    return Delta(changed, removed)


def apply_delta(base: model.Bundle, change: Delta) -> model.Bundle:
    """Return the bundle that a delta makes of its base.

    Whether the base was the right one shows in the digest of the outcome.

    :raises BundleError: if a changed resource can not be used
    """
    resources = codec.to_resources(base)
    for name in change.removed:
        resources.pop(name, None)
    resources.update(change.changed)
    return codec.bundle_of(resources)


def pack(resources: codec.Resources) -> bytes:
    """Return resources as compressed JSON, as in ``ConfigUpdate``."""
    return zlib.compress(msgspec.json.encode(resources, order='sorted'))


def unpack(data: bytes) -> codec.Resources:
    """Return resources from compressed JSON.

    :raises BundleError: if the data can not be read, or is larger than any
        bundle once it is decompressed
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, codec.MAX_BUNDLE_BYTES + 1)
        if len(text) > codec.MAX_BUNDLE_BYTES:
            raise errors.BundleError(
                errors.BUNDLE_TOO_LARGE,
                f'resources exceed {codec.MAX_BUNDLE_BYTES} bytes',
            )
        if not decompressor.eof:
            raise ValueError('the data is cut off')
        return msgspec.json.decode(text, type=codec.Resources)
    except (zlib.error, ValueError) as exc:
        raise errors.BundleError(
            errors.BUNDLE_SCHEMA, f'not compressed resources: {exc}'
        ) from exc


def text_diff(old: model.Bundle, new: model.Bundle) -> str:
    """Return the difference between two bundles for operators.

    One line for each added (``+``) or removed (``-``) resource and for each
    changed field (``~``); empty where the bundles are equal.
    """
    change = delta(old, new)
    before = codec.to_resources(old)
    lines = []
    for name in sorted({*change.changed, *change.removed}):
        if name in change.removed:
            lines.append(f'- {name}')
        elif name not in before:
            fields = ', '.join(
                f'{field}: {_shown(value)}'
                for field, value in change.changed[name].items()
            )
            lines.append(f'+ {name}  {fields}')
        else:
            for field, value in change.changed[name].items():
                if before[name].get(field) != value:
                    lines.append(
                        f'~ {name}  {field}: '
                        f'{_shown(before[name].get(field))} -> '
                        f'{_shown(value)}'
                    )
    return '\n'.join(lines)


def _shown(value: object) -> str:
    if isinstance(value, bool):
        return 'true' if value else 'false'
    return str(value)
