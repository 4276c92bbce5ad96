"""Base classes of the commands: options, platform access and errors."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import time
from typing import TYPE_CHECKING
from typing import TypeVar

from cleo.commands import command as cleo_command

from damaskpier import config
from damaskpier import errors
from damaskpier.operator import admin
from damaskpier.operator import exits
from damaskpier.operator import output
from damaskpier.operator import times
from damaskpier.store import base
from damaskpier.store import signoff

if TYPE_CHECKING:
    from damaskpier.bundle import model as bundle_model

PLATFORM_VARIABLE = 'DAMASKPIER_PLATFORM'
PLATFORM_TIMEOUT_S = 2.0

T = TypeVar('T')


class Environment:
    """External dependencies of the commands, which tests replace.

    :param open_store: returns a client of the object API at an address
    :param fetch_page: returns the decoded JSON of the page at a URL, or None
        if there is no valid answer
    :param now: seconds since the epoch
    :param clock: monotonic seconds
    :param sleep: coroutine that waits for a number of seconds
    """

    def __init__(
        self,
        open_store: Callable[[config.Address], base.ObjectStore],
        fetch_page: admin.PageFetcher,
        now: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.open_store = open_store
        self.fetch_page = fetch_page
        self.now = now
        self.clock = clock
        self.sleep = sleep


class CommandError(errors.DamaskpierError):
    """Expected error that ends a command, such as a refusal.

    :param action: replaces the default action of the code
    """

    def __init__(
        self, code: errors.ResultCode, reason: str, action: str = ''
    ) -> None:
        super().__init__(code, reason)
        self.action = action


class Command(cleo_command.Command, abc.ABC):
    """Command that runs as a coroutine and returns an exit code."""

    def __init__(self, env: Environment) -> None:
        super().__init__()
        self.env = env

    @abc.abstractmethod
    async def run_command(self, out: output.Output) -> exits.ExitCode:
        """Run the command and return its exit code.

        :raises DamaskpierError: for an expected error, which is printed with
            its code
        """

    def handle(self) -> int:
        """Run the command; cleo calls this method.

        :returns: exit code of the process
        """
        out = output.Output(self.io, bool(self.option('json')))
        try:
            return int(asyncio.run(self.run_command(out)))
        except KeyboardInterrupt:
            return int(exits.ExitCode.INTERRUPTED)
        except CommandError as exc:
            out.error(exc.code, exc.reason, exc.action)
            return int(exits.to_exit_code(exc.code))
        except errors.DamaskpierError as exc:
            out.error(exc.code, exc.reason)
            return int(exits.to_exit_code(exc.code))

    def platform_address(self) -> config.Address:
        """Return the address of the object API.

        The option ``--platform`` comes first, then the settings file of
        ``--config``, then :data:`PLATFORM_VARIABLE`.

        :raises CommandError: if no address is given or it is malformed
        :raises SettingsError: if the settings file is invalid
        """
        text = self.option('platform')
        source = '--platform'
        if not text and self.option('config'):
            cfg = config.load(pathlib.Path(self.option('config')))
            return cfg.address('platform', 'address')
        if not text:
            text = os.environ.get(PLATFORM_VARIABLE, '')
            source = PLATFORM_VARIABLE
        if not text:
            raise CommandError(
                errors.SETTINGS_MISSING,
                'the address of the platform is not given',
                'Give --platform IP:PORT or --config FILE, or set '
                f'{PLATFORM_VARIABLE}.',
            )
        try:
            return config.parse_address(text)
        except ValueError as exc:
            raise CommandError(
                errors.SETTINGS_INVALID, f'{source}: {exc}'
            ) from exc

    def required_option(self, name: str) -> str:
        """Return the value of a required option.

        :raises CommandError: if it is missing or empty
        """
        text = self.option(name)
        if not text:
            raise CommandError(
                errors.SETTINGS_MISSING,
                f'--{name} is not given',
                f'Give --{name}; see damaskpier {self.name} --help.',
            )
        return text

    def duration(self, name: str) -> float | None:
        """Return the value of an option that holds a duration.

        :returns: seconds, or None if the option is not given
        :raises CommandError: if the value is not a duration
        """
        text = self.option(name)
        if text is None:
            return None
        try:
            return times.parse_duration(text)
        except ValueError as exc:
            raise CommandError(
                errors.SETTINGS_INVALID, f'--{name}: {exc}'
            ) from exc


class PlatformCommand(Command):
    """Command that reads or writes objects of the platform."""

    async def run_command(self, out: output.Output) -> exits.ExitCode:
        """Run the command with a client of the object API."""
        store = self.env.open_store(self.platform_address())
        await store.start()
        try:
            return await self.run_with_store(store, out)
        finally:
            await store.stop()

    @abc.abstractmethod
    async def run_with_store(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.ExitCode:
        """Run the command and return its exit code.

        :param store: started client, which the caller stops
        """


async def read_active_snapshot(
    store: base.ObjectStore,
) -> bundle_model.Snapshot:
    """Read the active configuration from the platform.

    :raises CommandError: if there is none or the platform does not answer
    """
    snapshot = await signoff.read_snapshot(store)
    if isinstance(snapshot, errors.Refusal):
        raise head_read_error(snapshot)
    return snapshot


def head_read_error(refusal: errors.Refusal) -> CommandError:
    """Return the error for a refusal of reading the active version."""
    if refusal.code is errors.PLATFORM_NOT_FOUND:
        return CommandError(
            refusal.code,
            'no bundle has been signed off yet',
            'Sign off a bundle first; see damaskpier sign-off --help.',
        )
    return CommandError(refusal.code, refusal.reason)


def unwrap_result(result: T | errors.Refusal) -> T:
    """Return a result that is not a refusal.

    :raises CommandError: if the result is a refusal
    """
    if isinstance(result, errors.Refusal):
        raise CommandError(result.code, result.reason)
    return result
