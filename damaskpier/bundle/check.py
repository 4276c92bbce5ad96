"""Checks of bundles and snapshots, run at sign-off and by each node."""

from __future__ import annotations

from collections.abc import Iterator
import functools
import importlib.resources
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import jsonschema
import msgspec

from damaskpier.bundle import codec
from damaskpier import errors

if TYPE_CHECKING:
    from damaskpier.bundle import model


# Resources whose check is remembered; twice those of a large bundle.
MAX_REMEMBERED = 10_000


class Finding(NamedTuple):
    """Fault of a bundle, at a path of keys such as ``('routes', 'r')``."""

    code: errors.ResultCode
    path: tuple[str | int, ...]
    message: str

    def refusal(self) -> errors.Refusal:
        """Return the fault as a refusal."""
        place = '.'.join(str(part) for part in self.path)
        text = f'{place}: {self.message}' if place else self.message
        return errors.Refusal(self.code, text)


def to_document(bundle: model.Bundle) -> dict[str, Any]:
    """Return a bundle in the form of its YAML file."""
    document: dict[str, Any] = {}
    for kind, specs in (
        ('services', bundle.services),
        ('routes', bundle.routes),
    ):
        entries = document[kind] = {}
        for name, spec in specs.items():
            entries[name] = spec._asdict()
            del entries[name]['name']
    return document


def findings(document: Any) -> Iterator[Finding]:
    """Yield the faults of a bundle in the form of its YAML file.

    References and conflicts are checked only where the schema holds.
    """
    faults = sorted(
        _validator().iter_errors(document), key=lambda fault: str(fault.path)
    )
    for fault in faults:
        yield Finding(
            errors.BUNDLE_SCHEMA, tuple(fault.absolute_path), _text(fault)
        )
    if not faults:
        yield from _reference_findings(document)
        yield from _conflict_findings(document)


def check_bundle(bundle: model.Bundle) -> errors.Refusal | None:
    """Return the first fault of a bundle, None if it has none."""
    for finding in _bundle_findings(bundle):
        return finding.refusal()
    size = len(codec.encode_bundle(bundle))
    if size > codec.MAX_BUNDLE_BYTES:
        return errors.Refusal(
            errors.BUNDLE_TOO_LARGE,
            f'{size} bytes, the limit is {codec.MAX_BUNDLE_BYTES}',
        )
    return None


def check_snapshot(snapshot: model.Snapshot) -> errors.Refusal | None:
    """Return the first fault of a configuration, None if it has none.

    A node runs this before it applies the configuration, which it refuses
    as a whole.
    """
    head, bundle = snapshot
    if head.version < 1:
        return errors.Refusal(
            errors.BUNDLE_SCHEMA, f'version {head.version} is below 1'
        )
    digest = codec.bundle_digest(bundle)
    if digest != head.digest:
        return errors.Refusal(
            errors.CONFIG_DIGEST,
            f'version {head.version} has digest {digest}, '
            f'expected is {head.digest}',
        )
    return check_bundle(bundle) or _check_moves(snapshot)


def _bundle_findings(bundle: model.Bundle) -> Iterator[Finding]:
    """Yield the faults of a bundle, with the schema checked by resource.

    The outcome of the schema is remembered by resource. Most of them are the
    same in the next bundle, and the schema takes most of the time.
    """
    schema = _schema()['properties']
    for kind, specs in bundle._asdict().items():
        limit = schema[kind]['maxProperties']
        if len(specs) > limit:
            yield Finding(
                errors.BUNDLE_SCHEMA, (kind,), f'more than {limit} entries'
            )
        for name, spec in specs.items():
            finding = _spec_finding(kind, spec)
            if finding is not None:
                yield finding
            elif spec.name != name:
                yield Finding(
                    errors.BUNDLE_SCHEMA,
                    (kind, name),
                    f'the resource has the name {spec.name!r}',
                )
    document = to_document(bundle)
    yield from _reference_findings(document)
    yield from _conflict_findings(document)


@functools.lru_cache(maxsize=MAX_REMEMBERED)
def _spec_finding(
    kind: str, spec: model.ServiceSpec | model.RouteSpec
) -> Finding | None:
    entry = spec._asdict()
    del entry['name']
    document: dict[str, Any] = {'services': {}, 'routes': {}}
    document[kind][spec.name] = entry
    for fault in _validator().iter_errors(document):
        return Finding(
            errors.BUNDLE_SCHEMA, tuple(fault.absolute_path), _text(fault)
        )
    return None


def _check_moves(snapshot: model.Snapshot) -> errors.Refusal | None:
    seen = set()
    for move in snapshot.head.moves:
        spec = snapshot.bundle.services.get(move.service)
        if spec is None:
            reason = f'service {move.service!r} is not in the bundle'
        elif spec.version != move.new:
            reason = f'the bundle has version {spec.version!r}'
        elif move.service in seen:
            reason = f'service {move.service!r} has another move'
        else:
            seen.add(move.service)
            continue
        return errors.Refusal(
            errors.BUNDLE_REFERENCE, f'move {move.move}: {reason}'
        )
    return None


def _reference_findings(document: dict[str, Any]) -> Iterator[Finding]:
    for name, route in document['routes'].items():
        if route['service'] not in document['services']:
            yield Finding(
                errors.BUNDLE_REFERENCE,
                ('routes', name, 'service'),
                f'the bundle has no service {route["service"]!r}',
            )


def _conflict_findings(document: dict[str, Any]) -> Iterator[Finding]:
    # Where an exact path and one that ends in /* overlap, the longer one
    # wins; only equal paths leave the choice open.
    taken: dict[tuple[str, str], str] = {}
    for name, route in document['routes'].items():
        request = (route['method'], route['path'])
        other = taken.setdefault(request, name)
        if other != name:
            yield Finding(
                errors.BUNDLE_CONFLICT,
                ('routes', name, 'path'),
                f'route {other!r} matches the same requests, '
                f'{route["method"]} {route["path"]}',
            )


def _text(fault: jsonschema.ValidationError) -> str:
    # The message repeats the value, which may be a whole resource.
    text = fault.message
    if len(text) > 200:
        text = text[:200] + '...'
    if fault.validator == 'type' and fault.validator_value == 'string':
        text += '; write it in quotes'
    return text


@functools.cache
def _schema() -> dict[str, Any]:
    source = importlib.resources.files('damaskpier.bundle') / 'schema.json'
    return msgspec.json.decode(source.read_bytes())


@functools.cache
def _validator() -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(_schema())
