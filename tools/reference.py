"""Write the reference pages that are generated from the code.

Run ``python -m tools.reference`` after a change of the settings table, the
result codes or the commands. With the option ``--check`` it only lists the
pages that are out of date.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import pathlib
import sys
from typing import TYPE_CHECKING

from damaskpier.cmd import cli
from damaskpier import errors
from damaskpier.operator import exits
from damaskpier import settings

if TYPE_CHECKING:
    from cleo.commands import command as cleo_command

ROOT = pathlib.Path(__file__).parent.parent
NOTICE = '<!-- Written by `python -m tools.reference`; do not edit. -->'

_CATEGORY_TITLES = {
    errors.Category.SETTINGS: 'Settings',
    errors.Category.BUNDLE: 'Bundles and configuration',
    errors.Category.CALL: 'Requests',
    errors.Category.PLATFORM: 'Platform',
    errors.Category.ROLLOUT: 'Rollouts',
    errors.Category.REPLAY: 'Replay',
}


def pages() -> dict[str, str]:
    """Return the content of each generated page by its path.

    The paths are relative to the root of the repository.
    """
    return {
        'docs/reference/settings.md': settings_page(),
        'docs/reference/result-codes.md': codes_page(),
        'docs/reference/command-line.md': commands_page(),
    }


def settings_page() -> str:
    """Return the page of the settings, one table for each section."""
    lines = [
        '# Settings',
        '',
        NOTICE,
        '',
        'A node takes one INI file (`damaskpier-node --config FILE`).',
        '`damaskpier config check FILE` checks a file and prints every value.',
        'An unknown section or setting, a wrong type and a value out of range',
        'are refused at the start with a result code that names the line.',
    ]
    for section in dict.fromkeys(row.section for row in settings.TABLE):
        rows = [row for row in settings.TABLE if row.section == section]
        lines += ['', f'## [{section}]', '']
        lines += _table(
            ('setting', 'type', 'default', 'range', 'meaning'),
            [
                (
                    f'`{row.name}`',
                    row.kind,
                    _format_default(row),
                    _format_range(row),
                    row.help,
                )
                for row in rows
            ],
        )
    return '\n'.join(lines) + '\n'


def codes_page() -> str:
    """Return the page of the result codes, one table for each category."""
    lines = [
        '# Result codes',
        '',
        NOTICE,
        '',
        'Every refusal and every verdict carries a result code. Callers see',
        'it in the response header `Damaskpier-Result`, operators in the',
        'output of `damaskpier` and in the log.',
    ]
    for category in errors.Category:
        rows = [row for row in errors.all_codes() if row.category is category]
        lines += ['', f'## {_CATEGORY_TITLES[category]}', '']
        lines += _table(
            ('code', 'name', 'meaning', 'what to do', 'exit code'),
            [
                (
                    str(row),
                    row.name,
                    row.meaning,
                    row.action,
                    exits.to_exit_code(row).value,
                )
                for row in rows
            ],
        )
    lines += [
        '',
        'The last column is the exit code of `damaskpier` when a command ends',
        'with the code as an error. Verdicts that a command only reports are',
        'no errors; see the [command line](command-line.md).',
    ]
    return '\n'.join(lines) + '\n'


def commands_page() -> str:
    """Return the page of the command line with its options and exit codes."""
    app = cli.make_cli()
    lines = [
        '# Command line',
        '',
        NOTICE,
        '',
        '    damaskpier [OPTIONS] COMMAND [ARGUMENTS]',
        '',
        '`python -m damaskpier.cmd.cli` is the same program.',
        '',
        '## Options of every command',
        '',
    ]
    lines += _table(
        ('option', 'meaning'),
        [
            (f'`--{item.name}{_format_option_value(item)}`', item.description)
            for item in app.definition.options
        ],
    )
    lines += [
        '',
        'The address of the platform is taken from `--platform`, then from',
        'the settings file of `--config`, then from the variable',
        '`DAMASKPIER_PLATFORM`. With `--json` every line of standard output',
        'is one JSON object; an error is an object with the key `error`.',
        '',
        '## Exit codes',
        '',
    ]
    lines += _table(
        ('code', 'meaning'),
        [(code.value, text) for code, text in exits.MEANINGS.items()],
    )
    lines += ['', '## Commands']
    for item in cli.make_commands(cli.make_environment()):
        lines += _command_lines(item)
    return '\n'.join(lines) + '\n'


def _command_lines(item: cleo_command.Command) -> Iterable[str]:
    definition = item.definition
    names = [
        f'[{argument.name}]'.upper()
        if not argument.is_required()
        else argument.name.upper()
        for argument in definition.arguments
    ]
    lines = ['', f'### {item.name}', '', item.description, '']
    lines += [' '.join([f'    damaskpier {item.name}', *names])]
    rows = [
        (f'`{argument.name.upper()}`', argument.description)
        for argument in definition.arguments
    ]
    rows += [
        (
            f'`--{option.name}{_format_option_value(option)}`',
            option.description,
        )
        for option in definition.options
    ]
    if rows:
        lines += ['', *_table(('argument or option', 'meaning'), rows)]
    if item.help:
        lines += ['', item.help]
    return lines


def _format_option_value(option: object) -> str:
    return '' if option.is_flag() else ' VALUE'  # type: ignore[attr-defined]


def _format_default(row: settings.Setting) -> str:
    if row.default is settings.REQUIRED:
        return 'required'
    if row.default in ('', ()):
        return 'empty'
    return f'{row.default} {row.unit}'.strip()


def _format_range(row: settings.Setting) -> str:
    if row.choices:
        return ', '.join(row.choices)
    if row.low is None and row.high is None:
        return ''
    return f'{row.low:g} to {row.high:g} {row.unit}'.strip()


def _table(
    header: Sequence[str], rows: Iterable[Sequence[object]]
) -> list[str]:
    lines = ['| ' + ' | '.join(header) + ' |', '|---' * len(header) + '|']
    for row in rows:
        cells = [str(cell).replace('|', '\\|') for cell in row]
        lines.append('| ' + ' | '.join(cells) + ' |')
    return lines


def main() -> int:
    """Write the outdated pages, or with ``--check`` only print their names.

    :returns: the exit code, 1 if ``--check`` found an outdated page
    """
    outdated = []
    for name, text in pages().items():
        path = ROOT / name
        if not path.exists() or path.read_text(encoding='utf-8') != text:
            outdated.append(name)
            if '--check' not in sys.argv:
                path.write_text(text, encoding='utf-8')
    for name in outdated:
        print('outdated:' if '--check' in sys.argv else 'written:', name)
    return 1 if outdated and '--check' in sys.argv else 0


if __name__ == '__main__':
    sys.exit(main())
