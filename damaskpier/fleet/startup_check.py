"""Health check of the local upstream at a start; service ``startup-check``.

A node that starts beside a running upstream would know it by its next
heartbeat only. After many nodes have restarted together, requests would find
no worker until then.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpier.http1 import client
from damaskpier.http1 import messages
from damaskpier import registry

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.fleet import header_codec
    from damaskpier.fleet import model

LOG = logging.getLogger(__name__)

# A heartbeat arrives within 1.5 s on the deployments of today; a check that
# takes longer tells nothing new.
CHECK_TIMEOUT_S = 1.0


class StartupCheck(registry.Service):
    """Asks the upstream once, as soon as the health path is known."""

    def __init__(
        self, app: application.Application, codec: header_codec.HeaderCodec
    ) -> None:
        self._app = app
        self._codec = codec
        self._task: asyncio.Task[None] | None = None
        app.events.connect('config-applied', self._config_applied)

    async def stop(self) -> None:
        """Give the health check up."""
        if self._task is not None:
            self._task.cancel()

    def _config_applied(self, cfg: model.Configuration) -> None:
        spec = cfg.services.get(self._app.cfg.text('node', 'service'))
        if self._task is None and spec is not None and spec.health_path:
            self._task = asyncio.ensure_future(self._check(spec.health_path))

    async def _check(self, path: str) -> None:
        worker = self._app.service('worker')
        if worker.announcement is not None:
            return
        address = self._app.cfg.address('upstream', 'address')
        pool = client.Pool(address.host, address.port, max_idle=0)
        outcome = await pool.request(
            messages.encode_request(
                'GET', path, (('Host', str(address)),), b''
            ),
            client.Options(
                asyncio.get_running_loop().time() + CHECK_TIMEOUT_S
            ),
        )
        if isinstance(outcome, messages.Failure):
            LOG.info('worker: no health check at the start: %s', outcome)
            return
        health = self._codec.decode_health(outcome)
        if health is None:
            LOG.info(
                'worker: the upstream is not healthy at the start: status %d',
                outcome.status,
            )
            return
        worker.apply_health(health)


def setup(
    app: application.Application, codec: header_codec.HeaderCodec
) -> None:
    """Register the service ``startup-check``."""
    app.add_service(
        'startup-check', StartupCheck(app, codec), after=('worker',)
    )
