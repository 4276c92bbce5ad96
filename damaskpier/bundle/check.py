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


# Resources whose result of the schema check is cached; twice the number of
# resources of a large bundle.
MAX_CACHED_RESULTS = 10_000


class Problem(NamedTuple):
    """Error in a bundle, at a path of keys such as ``('routes', 'r')``."""

    code: errors.ResultCode
    path: tuple[str | int, ...]
    message: str

    def to_refusal(self) -> errors.Refusal:
        """Convert to a refusal whose reason begins with the path."""
        place = '.'.join(str(part) for part in self.path)
        text = f'{place}: {self.message}' if place else self.message
        return errors.Refusal(self.code, text)


def to_document(bundle: model.Bundle) -> dict[str, Any]:
    """Convert a bundle to the structure of its YAML file."""
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


def find_problems(document: Any) -> Iterator[Problem]:
    """Yield the problems of a bundle with the structure of its YAML file.

    References and conflicts are checked only if the schema matches.
    """
    schema_errors = sorted(
        _validator().iter_errors(document),
        key=lambda schema_error: str(schema_error.path),
    )
    for schema_error in schema_errors:
        yield Problem(
            errors.BUNDLE_SCHEMA,
            tuple(schema_error.absolute_path),
            _format_schema_error(schema_error),
        )
    if not schema_errors:
        yield from _find_missing_services(document)
        yield from _find_route_conflicts(document)


def check_bundle(bundle: model.Bundle) -> errors.Refusal | None:
    """Return the first problem of a bundle, or None if it is valid."""
    for problem in _find_bundle_problems(bundle):
        return problem.to_refusal()
    size = len(codec.encode_bundle(bundle))
    if size > codec.MAX_BUNDLE_BYTES:
        return errors.Refusal(
            errors.BUNDLE_TOO_LARGE,
            f'{size} bytes, the limit is {codec.MAX_BUNDLE_BYTES}',
        )
    return None


def check_snapshot(snapshot: model.Snapshot) -> errors.Refusal | None:
    """Return the first problem of a configuration, or None if it is valid.

    A node calls this before it applies a configuration, and refuses an
    invalid one as a whole.
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


def _find_bundle_problems(bundle: model.Bundle) -> Iterator[Problem]:
    """Yield the problems of a bundle, checking the schema per resource.

    The results of the schema check are cached per resource, because it takes
    most of the time and most resources are the same in the next bundle.
    """
    schema = _schema()['properties']
    for kind, specs in bundle._asdict().items():
        limit = schema[kind]['maxProperties']
        if len(specs) > limit:
            yield Problem(
                errors.BUNDLE_SCHEMA, (kind,), f'more than {limit} entries'
            )
        for name, spec in specs.items():
            problem = _find_spec_problem(kind, spec)
            if problem is not None:
                yield problem
            elif spec.name != name:
                yield Problem(
                    errors.BUNDLE_SCHEMA,
                    (kind, name),
                    f'the resource has the name {spec.name!r}',
                )
    document = to_document(bundle)
    yield from _find_missing_services(document)
    yield from _find_route_conflicts(document)


@functools.lru_cache(maxsize=MAX_CACHED_RESULTS)
def _find_spec_problem(
    kind: str, spec: model.ServiceSpec | model.RouteSpec
) -> Problem | None:
    entry = spec._asdict()
    del entry['name']
    document: dict[str, Any] = {'services': {}, 'routes': {}}
    document[kind][spec.name] = entry
    for schema_error in _validator().iter_errors(document):
        return Problem(
            errors.BUNDLE_SCHEMA,
            tuple(schema_error.absolute_path),
            _format_schema_error(schema_error),
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


def _find_missing_services(document: dict[str, Any]) -> Iterator[Problem]:
    for name, route in document['routes'].items():
        if route['service'] not in document['services']:
            yield Problem(
                errors.BUNDLE_REFERENCE,
                ('routes', name, 'service'),
                f'the bundle has no service {route["service"]!r}',
            )


def _find_route_conflicts(document: dict[str, Any]) -> Iterator[Problem]:
    # If an exact path and one that ends in /* overlap, the longer one takes
    # precedence, so that only equal paths are ambiguous.
    route_names: dict[tuple[str, str], str] = {}
    for name, route in document['routes'].items():
        request = (route['method'], route['path'])
        other = route_names.setdefault(request, name)
        if other != name:
            yield Problem(
                errors.BUNDLE_CONFLICT,
                ('routes', name, 'path'),
                f'route {other!r} matches the same requests, '
                f'{route["method"]} {route["path"]}',
            )


def _format_schema_error(schema_error: jsonschema.ValidationError) -> str:
    # The message contains the value, which may be a whole resource.
    text = schema_error.message
    if len(text) > 200:
        text = text[:200] + '...'
    if (
        schema_error.validator == 'type'
        and schema_error.validator_value == 'string'
    ):
        text += '; write it in quotes'
    return text


@functools.cache
def _schema() -> dict[str, Any]:
    source = importlib.resources.files('damaskpier.bundle') / 'schema.json'
    return msgspec.json.decode(source.read_bytes())


@functools.cache
def _validator() -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(_schema())
