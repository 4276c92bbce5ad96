"""Loading of bundles from YAML, with line numbers in error messages."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import yaml

from damaskpier.bundle import check
from damaskpier.bundle import codec
from damaskpier.bundle import model
from damaskpier import errors

if TYPE_CHECKING:
    import pathlib

# Number of problems that one error message lists.
MAX_REPORTED_PROBLEMS = 20
# A bundle has three levels. The run time of the YAML parser grows with the
# square of the depth.
MAX_NESTING_DEPTH = 8

_Path = tuple[str | int, ...]


def load(path: pathlib.Path) -> model.Bundle:
    """Load and check the bundle of a YAML file.

    :raises BundleError: if the file is unreadable or the bundle is invalid
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as exc:
        raise errors.BundleError(
            errors.BUNDLE_UNREADABLE, f'{path}: {exc.strerror}'
        ) from exc
    except UnicodeDecodeError as exc:
        raise errors.BundleError(
            errors.BUNDLE_UNREADABLE, f'{path}: not UTF-8: {exc.reason}'
        ) from exc
    return loads(text, str(path))


def loads(text: str, source: str = '<bundle>') -> model.Bundle:
    """Load and check a bundle from YAML text.

    Anchors and aliases are refused, because a few lines with them can expand
    to any number of resources.

    :param source: name of the text in error messages
    :raises BundleError: if the text is invalid; the message has one line for
        each problem
    """
    document, lines = _parse_yaml(text, source)
    problems = list(check.find_problems(document))
    if problems:
        messages = []
        for problem in problems[:MAX_REPORTED_PROBLEMS]:
            line = _find_line(lines, problem.path)
            messages.append(f'{source}:{line}: {problem.to_refusal().reason}')
        if len(problems) > MAX_REPORTED_PROBLEMS:
            messages.append(
                f'and {len(problems) - MAX_REPORTED_PROBLEMS} more'
            )
        raise errors.BundleError(problems[0].code, '\n'.join(messages))
    bundle = _build_bundle(document)
    if refusal := check.check_bundle(bundle):
        raise errors.BundleError(refusal.code, f'{source}: {refusal.reason}')
    return bundle


def dumps(bundle: model.Bundle) -> str:
    """Return the YAML text of a bundle."""
    return yaml.safe_dump(check.to_document(bundle), sort_keys=True)


def _build_bundle(document: dict[str, Any]) -> model.Bundle:
    resources = {}
    for kind, prefix in (
        ('services', codec.SERVICE_PREFIX),
        ('routes', codec.ROUTE_PREFIX),
    ):
        for name, entry in document[kind].items():
            resources[prefix + name] = entry
    return codec.from_resources(resources)


def _parse_yaml(text: str, source: str) -> tuple[Any, dict[_Path, int]]:
    """Return the document, and the line number of each of its paths."""
    if len(text.encode()) > 2 * codec.MAX_BUNDLE_BYTES:
        raise errors.BundleError(
            errors.BUNDLE_TOO_LARGE,
            f'{source}: {len(text.encode())} bytes of YAML, the limit is '
            f'{2 * codec.MAX_BUNDLE_BYTES}',
        )
    try:
        _check_events(text)
        loader = yaml.SafeLoader(text)
        node = loader.get_single_node()
        lines: dict[_Path, int] = {}
        return _construct(loader, node, (), lines), lines
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 0
        raise errors.BundleError(
            errors.BUNDLE_UNREADABLE, f'{source}:{line}: {exc.problem}'
        ) from exc
    except (yaml.YAMLError, ValueError) as exc:
        raise errors.BundleError(
            errors.BUNDLE_UNREADABLE, f'{source}: {exc}'
        ) from exc


def _check_events(text: str) -> None:
    """Refuse aliases and deep nesting before objects are constructed."""
    depth = 0
    for event in yaml.parse(text, yaml.SafeLoader):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_NESTING_DEPTH:
            raise yaml.MarkedYAMLError(
                problem='nested too deeply', problem_mark=event.start_mark
            )
        if isinstance(event, yaml.AliasEvent) or (
            getattr(event, 'anchor', None) is not None
        ):
            raise yaml.MarkedYAMLError(
                problem='anchors and aliases are not allowed',
                problem_mark=event.start_mark,
            )


def _construct(
    loader: yaml.SafeLoader,
    node: yaml.Node | None,
    path: _Path,
    lines: dict[_Path, int],
) -> Any:
    if node is None:
        return None
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        found = {}
        for key_node, value_node in node.value:
            key = loader.construct_object(key_node)
            if not isinstance(key, str):
                raise yaml.MarkedYAMLError(
                    problem=f'the name {key!r} is not text; write it in '
                    'quotes',
                    problem_mark=key_node.start_mark,
                )
            if key in found:
                raise yaml.MarkedYAMLError(
                    problem=f'{key!r} appears twice',
                    problem_mark=key_node.start_mark,
                )
            lines[(*path, key)] = key_node.start_mark.line + 1
            found[key] = _construct(loader, value_node, (*path, key), lines)
        return found
    if isinstance(node, yaml.SequenceNode):
        return [
            _construct(loader, item, (*path, index), lines)
            for index, item in enumerate(node.value)
        ]
    return loader.construct_object(node)


def _find_line(lines: dict[_Path, int], path: _Path) -> int:
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)
