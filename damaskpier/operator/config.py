"""Command that checks a settings file."""

from __future__ import annotations

import pathlib

from cleo import helpers

from damaskpier import config
from damaskpier.operator import command
from damaskpier.operator import exits
from damaskpier.operator import output
from damaskpier import settings


class ConfigCheck(command.Command):
    """Checks a settings file without starting a service."""

    name = 'config check'
    description = 'Check the settings file of a node and print its values.'
    arguments = [helpers.argument('file', 'Settings file in INI form.')]

    async def run_command(self, out: output.Output) -> exits.ExitCode:
        """Load the file and print its values with their units.

        :raises SettingsError: with the line and the setting, if the file is
            invalid
        """
        path = pathlib.Path(self.argument('file'))
        cfg = config.load(path)
        rows = []
        values: dict[str, dict[str, config.Value]] = {}
        for row in settings.TABLE:
            value = cfg[row.section, row.name]
            shown = ', '.join(value) if isinstance(value, tuple) else value
            rows.append((row.section, row.name, shown, row.unit))
            values.setdefault(row.section, {})[row.name] = value
        out.text(f'{path} is valid.')
        out.table(('section', 'setting', 'value', 'unit'), rows)
        out.json({'file': str(path), 'valid': True, 'settings': values})
        return exits.ExitCode.OK
