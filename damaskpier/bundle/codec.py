"""Canonical JSON of bundles and heads."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

from damaskpier.bundle import model
from damaskpier import errors

# Below the size limit of the platform, so that a bundle also fits into one
# message together with its head.
MAX_BUNDLE_BYTES = 900_000

SERVICE_PREFIX = 'service/'
ROUTE_PREFIX = 'route/'

Resources = dict[str, dict[str, Any]]


def to_resources(bundle: model.Bundle) -> Resources:
    """Convert a bundle to a mapping of names to entries.

    Names have the form ``service/NAME`` and ``route/NAME``. The entries
    hold the fields of the resource without its name.
    """
    found = {}
    for prefix, specs in (
        (SERVICE_PREFIX, bundle.services),
        (ROUTE_PREFIX, bundle.routes),
    ):
        for name, spec in specs.items():
            entry = spec._asdict()
            del entry['name']
            found[prefix + name] = entry
    return found


def from_resources(resources: Resources) -> model.Bundle:
    """Convert named entries, as of :func:`to_resources`, to a bundle.

    :raises BundleError: if an entry has an unknown kind or field, or a
        value of the wrong type
    """
    bundle = model.Bundle({}, {})
    for key in sorted(resources):
        kind, _, name = key.partition('/')
        if kind == 'service':
            spec = _to_spec(key, resources[key], name, model.ServiceSpec)
            bundle.services[name] = spec
        elif kind == 'route':
            spec = _to_spec(key, resources[key], name, model.RouteSpec)
            bundle.routes[name] = spec
        else:
            raise errors.BundleError(
                errors.BUNDLE_SCHEMA, f'{key}: unknown kind of resource'
            )
    return bundle


def encode_bundle(bundle: model.Bundle) -> bytes:
    """Return the canonical JSON of a bundle.

    Equal bundles have equal bytes, whatever the order of their resources.
    """
    return msgspec.json.encode(to_resources(bundle), order='sorted')


def decode_bundle(data: bytes) -> model.Bundle:
    """Decode a bundle from JSON.

    :raises BundleError: if the data is not a bundle or is too large
    """
    if len(data) > MAX_BUNDLE_BYTES:
        raise errors.BundleError(
            errors.BUNDLE_TOO_LARGE,
            f'{len(data)} bytes, the limit is {MAX_BUNDLE_BYTES}',
        )
    try:
        return from_resources(msgspec.json.decode(data, type=Resources))
    except msgspec.MsgspecError as exc:
        raise errors.BundleError(
            errors.BUNDLE_SCHEMA, f'not the JSON of a bundle: {exc}'
        ) from exc


def digest(data: bytes) -> str:
    """Return the SHA-256 hash of encoded data in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def bundle_digest(bundle: model.Bundle) -> str:
    """Return the digest of a bundle's canonical JSON."""
    return digest(encode_bundle(bundle))


def head_to_dict(head: model.Head) -> dict[str, Any]:
    """Convert a head to the dict that is encoded as JSON."""
    fields = head._asdict()
    fields['moves'] = [move._asdict() for move in head.moves]
    return fields


def encode_head(head: model.Head) -> bytes:
    """Return the canonical JSON of a head."""
    return msgspec.json.encode(head_to_dict(head), order='sorted')


def decode_head(data: bytes) -> model.Head:
    """Decode a head from JSON; unknown fields are ignored.

    :raises BundleError: if the data is not a head
    """
    try:
        fields = msgspec.json.decode(data, type=dict[str, Any])
        moves = tuple(
            _build(model.Move, item) for item in fields.get('moves', ())
        )
        return _build(model.Head, {**fields, 'moves': ()})._replace(
            moves=moves
        )
    except (TypeError, ValueError) as exc:
        raise errors.BundleError(
            errors.BUNDLE_SCHEMA, f'not the JSON of a head: {exc}'
        ) from exc


def _to_spec(key: str, entry: Any, name: str, kind: type) -> Any:
    unknown = set(entry) - set(kind._fields)
    if unknown:
        raise errors.BundleError(
            errors.BUNDLE_SCHEMA,
            f'{key}: unknown field {sorted(unknown)[0]!r}',
        )
    try:
        return _build(kind, {**entry, 'name': name})
    except (TypeError, ValueError) as exc:
        raise errors.BundleError(
            errors.BUNDLE_SCHEMA, f'{key}: {exc}'
        ) from exc


def _build(kind: type, fields: dict[str, Any]) -> Any:
    """Build a NamedTuple and check the types of its fields.

    :raises ValueError: if a field has the wrong type
    :raises TypeError: if a field is missing
    """
    arguments = {name: fields[name] for name in kind._fields if name in fields}
    built = kind(**arguments)
    return msgspec.convert(list(built), type=kind)
