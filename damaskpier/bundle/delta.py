"""Differences between bundles, as messages and as text for operators."""

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
    """Changed and removed resources between two bundles, by name."""

    changed: codec.Resources
    removed: tuple[str, ...]


def compute_delta(old: model.Bundle, new: model.Bundle) -> Delta:
    """Return the delta that turns the old bundle into the new one."""
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
    """Return the bundle that results from applying a delta to its base.

    Callers compare the digest of the result with the expected one to detect
    a wrong base.

    :raises BundleError: if a changed resource is invalid
    """
    resources = codec.to_resources(base)
    for name in change.removed:
        resources.pop(name, None)
    resources.update(change.changed)
    return codec.from_resources(resources)


def encode_resources(resources: codec.Resources) -> bytes:
    """Encode resources as compressed JSON, as in ``ConfigUpdate``."""
    return zlib.compress(msgspec.json.encode(resources, order='sorted'))


def decode_resources(data: bytes) -> codec.Resources:
    """Decode resources from compressed JSON.

    :raises BundleError: if the data is malformed, or exceeds the size limit
        of bundles after decompression
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


def format_diff(old: model.Bundle, new: model.Bundle) -> str:
    """Return the difference between two bundles for operators.

    One line for each added (``+``) or removed (``-``) resource and for each
    changed field (``~``); empty if the bundles are equal.
    """
    change = compute_delta(old, new)
    before = codec.to_resources(old)
    lines = []
    for name in sorted({*change.changed, *change.removed}):
        if name in change.removed:
            lines.append(f'- {name}')
        elif name not in before:
            fields = ', '.join(
                f'{field}: {_format_value(value)}'
                for field, value in change.changed[name].items()
            )
            lines.append(f'+ {name}  {fields}')
        else:
            for field, value in change.changed[name].items():
                if before[name].get(field) != value:
                    lines.append(
                        f'~ {name}  {field}: '
                        f'{_format_value(before[name].get(field))} -> '
                        f'{_format_value(value)}'
                    )
    return '\n'.join(lines)


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return 'true' if value else 'false'
    return str(value)
