"""Kernel of a process: starts and stops its services."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import Any
from typing import TYPE_CHECKING

from damaskpier import events
from damaskpier import registry

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpier import config

LOG = logging.getLogger(__name__)


class Application:
    """Holds the settings, the events and the services of a process.

    ``stopping`` is set when the process is asked to stop.

    :param cfg: checked settings
    """

    def __init__(self, cfg: config.Settings) -> None:
        self.cfg = cfg
        self.events = events.Events()
        self.stopping = asyncio.Event()
        self._registry = registry.Registry()
        self._started: list[str] = []

    def add_service(
        self,
        name: str,
        service: registry.Service,
        after: tuple[str, ...] = (),
    ) -> None:
        """Register a service; see :meth:`damaskpier.registry.Registry.add`."""
        self._registry.add(name, service, after)

    def service(self, name: str) -> Any:
        """Return the service with a name.

        :raises ServiceError: if there is none
        """
        return self._registry.get(name)

    def has_service(self, name: str) -> bool:
        """Return whether a service with a name is registered."""
        return name in self._registry

    def apply_settings(self, cfg: config.Settings) -> None:
        """Replace the settings and emit ``settings-changed(before)``."""
        before, self.cfg = self.cfg, cfg
        self.events.emit('settings-changed', before)

    async def start(self) -> None:
        """Start all services in order, then emit ``started``.

        If a service fails to start, it and those before it are stopped and
        its exception is raised.
        """
        for name in self._registry.start_order():
            self._started.append(name)
            try:
                await self._registry.get(name).start()
            except BaseException:
                await self.stop()
                raise
        LOG.info('kernel: started %s', ', '.join(self._started))
        self.events.emit('started')

    async def stop(self) -> None:
        """Stop the started services in reverse order.

        A service that fails to stop is logged and does not keep the others
        from stopping.
        """
        while self._started:
            name = self._started.pop()
            try:
                await self._registry.get(name).stop()
            except Exception:
                LOG.exception('kernel: service %s failed to stop', name)

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully.

        SIGHUP emits ``reload-requested``.
        """
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.stopping.set)
        loop.add_signal_handler(
            signal.SIGHUP, self.events.emit, 'reload-requested'
        )
        await self.start()
        await self.stopping.wait()
        LOG.info('kernel: stopping')
        await self.stop()
        LOG.info('kernel: stopped')


def make_application(
    cfg: config.Settings, setups: Iterable[Callable[[Application], None]]
) -> Application:
    """Return an application with the services that functions register.

    :param setups: functions ``setup`` of the modules of the services
    """
    app = Application(cfg)
    for setup in setups:
        setup(app)
    return app
