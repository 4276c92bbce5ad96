"""Commands for bundles: validate, create, show and diff."""

from __future__ import annotations

import pathlib
from typing import Any
from typing import TYPE_CHECKING

from cleo import helpers
import yaml

from damaskpier.bundle import check
from damaskpier.bundle import codec
from damaskpier.bundle import loader
from damaskpier import errors
from damaskpier.operator import command
from damaskpier.operator import exits
from damaskpier.operator import output
from damaskpier.operator import versions

if TYPE_CHECKING:
    from damaskpier.bundle import model
    from damaskpier.store import base

GROUPS = ('services', 'routes')
BOOL_FIELDS = frozenset({'repeatable'})
INT_FIELDS = frozenset({'slots', 'queue', 'timeout_ms'})


class Validate(command.Command):
    """Checks a bundle without writing anything."""

    name = 'bundle validate'
    description = 'Check a bundle file as sign-off does; writes nothing.'
    arguments = [helpers.argument('file', 'Bundle in YAML form.')]

    async def run_command(self, out: output.Output) -> exits.ExitCode:
        """Load and check the file."""
        path = pathlib.Path(self.argument('file'))
        bundle = loader.load(path)
        digest = codec.bundle_digest(bundle)
        out.text(
            f'{path} is valid: {len(bundle.services)} services, '
            f'{len(bundle.routes)} routes, digest {digest}'
        )
        out.json(
            {
                'file': str(path),
                'valid': True,
                'services': sorted(bundle.services),
                'routes': sorted(bundle.routes),
                'digest': digest,
            }
        )
        return exits.ExitCode.OK


class Create(command.Command):
    """Writes a bundle from values on the command line."""

    name = 'bundle create'
    description = 'Write a bundle from services and routes given as options.'
    options = [
        helpers.option(
            'set',
            None,
            'Field and value, such as services.ledger.version=v1 or '
            'routes.ledger.retire.path=/ledger/retire. May be repeated.',
            flag=False,
            multiple=True,
        ),
        helpers.option(
            'from', None, 'Bundle file that the fields change.', flag=False
        ),
        helpers.option(
            'output',
            None,
            'File to write; standard output if not given.',
            flag=False,
        ),
    ]

    async def run_command(self, out: output.Output) -> exits.ExitCode:
        """Build the bundle, check it and write it."""
        document: dict[str, Any] = {group: {} for group in GROUPS}
        if self.option('from'):
            path = pathlib.Path(self.option('from'))
            document = check.to_document(loader.load(path))
        for text in self.option('set'):
            set_field(document, text)
        bundle = loader.loads(yaml.safe_dump(document), '<options>')
        text = loader.dumps(bundle)
        target = self.option('output')
        if target:
            try:
                pathlib.Path(target).write_text(text, encoding='utf-8')
            except OSError as exc:
                raise command.CommandError(
                    errors.BUNDLE_UNREADABLE,
                    f'{target}: {exc.strerror}',
                    'Check the path given with --output.',
                ) from exc
            out.text(f'Wrote {target}.')
        else:
            out.text(text.rstrip('\n'))
        out.json({'output': target, 'bundle': check.to_document(bundle)})
        return exits.ExitCode.OK


def set_field(document: dict[str, Any], text: str) -> None:
    """Set a field of a bundle that has the structure of its YAML file.

    :param text: ``services.NAME.FIELD=VALUE`` or the same for routes; names
        may contain dots, fields cannot
    :raises CommandError: if the text has another form
    """
    path, sep, value = text.partition('=')
    group, _, rest = path.partition('.')
    name, _, field = rest.rpartition('.')
    if not sep or group not in GROUPS or not name or not field:
        raise command.CommandError(
            errors.BUNDLE_SCHEMA,
            f'--set {text!r} is not of the form services.NAME.FIELD=VALUE '
            'or routes.NAME.FIELD=VALUE',
        )
    entry = document[group].setdefault(name, {})
    entry[field] = _parse_value(field, value)


def _parse_value(field: str, text: str) -> bool | int | str:
    # The field gives the type, because a version such as 2 is a string.
    if field in BOOL_FIELDS and text in ('true', 'false'):
        return text == 'true'
    if field in INT_FIELDS and text.isdecimal():
        return int(text)
    return text


class Show(command.PlatformCommand):
    """Shows the bundle of a configuration version."""

    name = 'bundle show'
    description = 'Show the bundle of the active or an earlier version.'
    arguments = [
        helpers.argument(
            'version',
            'Configuration version; the active one if not given.',
            optional=True,
        )
    ]

    async def run_with_store(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.ExitCode:
        """Read the bundle from the platform and print it."""
        text = self.argument('version')
        found = await versions.read_bundle(store, versions.parse_version(text))
        out.text(f'# version {found.version}, digest {found.digest}')
        out.text(loader.dumps(found.bundle).rstrip('\n'))
        out.json(
            {
                'version': found.version,
                'digest': found.digest,
                'bundle': check.to_document(found.bundle),
            }
        )
        return exits.ExitCode.OK


class Diff(command.PlatformCommand):
    """Shows what differs between two bundles."""

    name = 'bundle diff'
    description = 'Show what differs between two files or versions.'
    arguments = [
        helpers.argument('old', 'Bundle file or configuration version.'),
        helpers.argument('new', 'Bundle file or configuration version.'),
    ]

    async def run_command(self, out: output.Output) -> exits.ExitCode:
        """Compare the bundles; files alone need no platform."""
        names = (self.argument('old'), self.argument('new'))
        if any(name.isdecimal() for name in names):
            return await super().run_command(out)
        old, new = (loader.load(pathlib.Path(name)) for name in names)
        return _print_diff(out, old, new)

    async def run_with_store(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.ExitCode:
        """Compare bundles of which at least one is read by version."""
        sides = []
        for name in (self.argument('old'), self.argument('new')):
            if name.isdecimal():
                found = await versions.read_bundle(store, int(name))
                sides.append(found.bundle)
            else:
                sides.append(loader.load(pathlib.Path(name)))
        return _print_diff(out, *sides)


def differences(
    old: model.Bundle, new: model.Bundle
) -> list[tuple[str, str, Any, Any]]:
    """Return resource, field, old and new value where two bundles differ.

    The values of a resource that a bundle does not have are None.
    """
    before, after = codec.to_resources(old), codec.to_resources(new)
    rows = []
    for name in sorted(before.keys() | after.keys()):
        left, right = before.get(name, {}), after.get(name, {})
        for field in sorted(left.keys() | right.keys()):
            if left.get(field) != right.get(field):
                rows.append((name, field, left.get(field), right.get(field)))
    return rows


def _print_diff(
    out: output.Output, old: model.Bundle, new: model.Bundle
) -> exits.ExitCode:
    rows = differences(old, new)
    if rows:
        shown = [
            ['-' if cell is None else cell for cell in row] for row in rows
        ]
        out.table(('resource', 'field', 'old', 'new'), shown)
    else:
        out.text('The bundles are equal.')
    keys = ('resource', 'field', 'old', 'new')
    out.json(
        {'differences': [dict(zip(keys, row, strict=True)) for row in rows]}
    )
    return exits.ExitCode.OK
