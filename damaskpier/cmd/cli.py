"""Program ``damaskpier``: command line for operators."""

from __future__ import annotations

from importlib import metadata
import sys
import traceback
from typing import TYPE_CHECKING

from cleo import application as cleo_application
from cleo import exceptions as cleo_exceptions
from cleo import helpers
from cleo.io.outputs import output as cleo_output

from damaskpier.operator import admin
from damaskpier.operator import audit
from damaskpier.operator import bundle
from damaskpier.operator import command
from damaskpier.operator import config as config_commands
from damaskpier.operator import exits
from damaskpier.operator import signoff
from damaskpier.operator import status
from damaskpier.store import http

if TYPE_CHECKING:
    from cleo.io.inputs import definition
    from cleo.io.inputs import input as cleo_input
    from cleo.io import io as cleo_io

    from damaskpier import config
    from damaskpier.store import base

OPTIONS = (
    helpers.option(
        'platform', None, 'Address of the object API, IP:PORT.', flag=False
    ),
    helpers.option(
        'config',
        None,
        'Settings file that names the address of the object API.',
        flag=False,
    ),
    helpers.option('json', None, 'Write JSON objects in place of tables.'),
)

COMMAND_CLASSES = (
    bundle.Validate,
    bundle.Create,
    bundle.Show,
    bundle.Diff,
    signoff.SignOff,
    status.Status,
    status.Verdict,
    signoff.TakeBack,
    audit.Audit,
    status.Nodes,
    config_commands.ConfigCheck,
)


class Cli(cleo_application.Application):
    """Cleo application with the common options and the exit codes."""

    @property
    def _default_definition(self) -> definition.Definition:
        base_definition = super()._default_definition
        base_definition.add_options(list(OPTIONS))
        return base_definition

    def run(
        self,
        input: cleo_input.Input | None = None,  # noqa: A002
        output: cleo_output.Output | None = None,
        error_output: cleo_output.Output | None = None,
    ) -> int:
        """Run a command and return its exit code.

        Wrong usage gives ``BAD_INPUT``, an unexpected exception ``INTERNAL``.
        """
        streams = self.create_io(input, output, error_output)
        try:
            return super().run(input, output, error_output)
        except cleo_exceptions.CleoError as exc:
            return _usage_error(streams, exc)
        except Exception:
            # Python itself would exit with 1, the code for a refusal.
            traceback.print_exc()
            return exits.ExitCode.INTERNAL


def _usage_error(
    streams: cleo_io.IO, exc: cleo_exceptions.CleoError
) -> exits.ExitCode:
    for line in (
        f'Wrong usage: {exc}',
        'What to do: see damaskpier help, or damaskpier COMMAND --help.',
    ):
        streams.write_error_line(line, type=cleo_output.Type.RAW)
    return exits.ExitCode.BAD_INPUT


def make_environment() -> command.Environment:
    """Return an environment with clients of the platform and the nodes."""
    return command.Environment(_open_store, admin.fetch_json)


def make_commands(env: command.Environment) -> list[command.Command]:
    """Return one instance of every command."""
    return [command_class(env) for command_class in COMMAND_CLASSES]


def make_cli(env: command.Environment | None = None) -> Cli:
    """Return the application with all commands.

    :param env: None for the environment of a process
    """
    app = Cli('damaskpier', metadata.version('damaskpier'))
    app.auto_exits(False)
    app.catch_exceptions(False)
    for item in make_commands(env or make_environment()):
        app.add(item)
    return app


def main() -> None:
    """Run the program and exit with the exit code of the command."""
    sys.exit(make_cli().run())


def _open_store(address: config.Address) -> base.ObjectStore:
    return http.HttpObjectStore(address, timeout_s=command.PLATFORM_TIMEOUT_S)


if __name__ == '__main__':
    main()
