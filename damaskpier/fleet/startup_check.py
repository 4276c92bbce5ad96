"""Health check of the local upstream at start; service ``startup-check``.

Without the check, a node that starts beside a running upstream would learn of
it only from its next heartbeat. After many nodes have restarted together,
requests would find no worker until then.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpier.fleet import health_check
from damaskpier.http1 import messages
from damaskpier import registry

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.fleet import header_codec
    from damaskpier.fleet import model

LOG = logging.getLogger(__name__)

# A heartbeat arrives within 1.5 s on current deployments, so that a slower
# check would bring nothing new.
CHECK_TIMEOUT_S = 1.0


class StartupCheck(registry.Service):
    """Checks the upstream once, as soon as the health path is configured.

    It is checked again with each announcement that is held because the node
    does not know yet whether the upstream has left: the store may be
    unreachable for long.

    :param codec: decodes the response of the health check
    """

    def __init__(
        self, app: application.Application, codec: header_codec.HeaderCodec
    ) -> None:
        self._app = app
        self._codec = codec
        self._task: asyncio.Task[None] | None = None
        app.events.connect('config-applied', self._config_applied)
        app.events.connect('announcement-held', self._announcement_held)

    async def stop(self) -> None:
        """Cancel the health check."""
        if self._task is not None:
            self._task.cancel()

    def _config_applied(self, cfg: model.Configuration) -> None:
        if self._task is None:
            self._start(cfg)

    def _announcement_held(self) -> None:
        cfg = self._app.service('configuration').current()
        if cfg is not None and (self._task is None or self._task.done()):
            self._start(cfg)

    def _start(self, cfg: model.Configuration) -> None:
        service = self._app.service('worker').service.name
        spec = cfg.services.get(service)
        if spec is not None and spec.health_path:
            self._task = asyncio.ensure_future(self._check(spec.health_path))

    async def _check(self, path: str) -> None:
        worker = self._app.service('worker')
        if not worker.needs_check():
            return
        service = worker.service.name
        address = self._app.cfg.address('upstream', 'address')
        worker.record_check()
        outcome = await health_check.request(
            address.host, address.port, path, CHECK_TIMEOUT_S
        )
        if isinstance(outcome, messages.Failure):
            LOG.info('worker: no answer to the startup check: %s', outcome)
            return
        if worker.service.name != service:
            LOG.info(
                'worker: the startup check was of %s, the upstream is of %s',
                service,
                worker.service.name,
            )
            return
        health = self._codec.decode_health(outcome)
        if health is None:
            LOG.info(
                'worker: the upstream failed the startup check: status %d',
                outcome.status,
            )
            return
        worker.apply_health(health)
        worker.pace.record(outcome)


def setup(
    app: application.Application, codec: header_codec.HeaderCodec
) -> None:
    """Register the service ``startup-check``."""
    app.add_service(
        'startup-check', StartupCheck(app, codec), after=('worker',)
    )
