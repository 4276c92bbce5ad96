"""Follows the settings file of a running process; service ``settings-file``.

The file may change with or without a signal. It is read at an interval,
because notifications of changes are not available everywhere.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier import registry
from damaskpier import settings
from damaskpier.util import tasks

if TYPE_CHECKING:
    from collections.abc import Callable
    import pathlib

    from damaskpier import application
    from damaskpier import config

LOG = logging.getLogger(__name__)

READ_INTERVAL_S = 0.3


class SettingsFile(registry.Service):
    """Applies changes of the settings file.

    Without a signal, a content is applied only if two reads in a row have
    found it: the file may be written in parts. A content that is invalid is
    logged once, and the last valid one stays in force.

    :param parse: returns the settings in the content of the file
    """

    def __init__(
        self,
        app: application.Application,
        path: pathlib.Path,
        parse: Callable[[bytes], config.Settings],
    ) -> None:
        self._app = app
        self._path = path
        self._parse = parse
        self._latest: bytes | None = None
        # Content that was applied or refused.
        self._used: bytes | None = None
        self._is_unreadable = False
        self._task: asyncio.Task[None] | None = None
        app.events.connect('reload-requested', self.reload)

    async def start(self) -> None:
        """Start to read the file."""
        self._task = tasks.keep_running('settings-file', self._follow)

    async def stop(self) -> None:
        """Read the file no more."""
        if self._task is not None:
            self._task.cancel()

    def reload(self) -> None:
        """Read the file and apply it at once."""
        self._latest = self._read()
        if self._latest is not None:
            self._use(self._latest)

    def poll(self) -> None:
        """Read the file and apply it if it has changed and is stable."""
        content = self._read()
        is_stable = content == self._latest
        self._latest = content
        if content is not None and is_stable and content != self._used:
            self._use(content)

    async def _follow(self) -> None:
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            self.poll()

    def _read(self) -> bytes | None:
        try:
            content = self._path.read_bytes()
        except OSError as exc:
            if not self._is_unreadable:
                LOG.error(
                    'kernel: kept the settings in force, as the file can not '
                    'be read: %s',
                    exc,
                )
            self._is_unreadable = True
            return None
        self._is_unreadable = False
        return content

    def _use(self, content: bytes) -> None:
        self._used = content
        try:
            found = self._parse(content)
        except errors.SettingsError as exc:
            LOG.error('kernel: kept the settings in force: %s', exc)
            return
        before = self._app.cfg
        changes = found.changes_since(before)
        fixed = [key for key in changes if key in settings.FIXED_WHILE_RUNNING]
        if fixed:
            LOG.warning(
                'kernel: the settings file has other values, which take '
                'effect when the process starts again: %s',
                _describe(found, fixed),
            )
        changes = [key for key in changes if key not in fixed]
        if not changes:
            return
        LOG.info(
            'kernel: the settings have changed: %s', _describe(found, changes)
        )
        self._app.apply_settings(found.with_values_of(before, fixed))


def _describe(cfg: config.Settings, keys: list[tuple[str, str]]) -> str:
    return ', '.join(f'{".".join(key)} = {cfg[key]}' for key in keys)


def setup(
    app: application.Application,
    path: pathlib.Path,
    parse: Callable[[bytes], config.Settings],
) -> None:
    """Register the service ``settings-file``."""
    app.add_service('settings-file', SettingsFile(app, path, parse))
