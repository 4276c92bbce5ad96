"""Writes again what the store lost; service ``store-restore``.

After the store has come back from an older copy, each node writes its own
entry in the directory and its departures again. The verdicts on moves are
written again by the service ``rollouts``.
"""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.fleet import exchange
from damaskpier import registry

if TYPE_CHECKING:
    from damaskpier import application

LOG = logging.getLogger(__name__)

# Departures and verdicts are written at once. The entries of the directory are
# urgent only for nodes that start, and those of hundreds of nodes at the same
# moment would exceed the store's rate.
REGISTER_SPREAD_S = 2.0
# Backoff between attempts, doubled up to the maximum.
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 3.0


class StoreRestore(registry.Service):
    """Registers the node again after a restore of the store.

    :param rng: source of the delay and of the backoff's jitter
    """

    def __init__(
        self, app: application.Application, rng: random.Random | None = None
    ) -> None:
        self._app = app
        self._rng = rng or random.Random()
        self._task: asyncio.Task[None] | None = None
        app.events.connect('store-restored', self._restart)

    async def stop(self) -> None:
        """Cancel the registration."""
        if self._task is not None:
            self._task.cancel()

    def _restart(self) -> None:
        self._app.service('metrics').increment('store_restores')
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.create_task(self._register())

    async def _register(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, REGISTER_SPREAD_S))
        node = exchange.address_of(
            self._app.service('membership').local_record()
        )
        backoff_s = INITIAL_BACKOFF_S
        while True:
            entry = await self._app.service('store').register(node)
            if not isinstance(entry, errors.Refusal):
                self._app.service('departures').entry_read(entry)
                LOG.info('exchange: registered again after a restore')
                return
            LOG.warning(
                'exchange: registration after a restore failed, next attempt '
                'in %.1f s: %s',
                backoff_s,
                entry,
            )
            await asyncio.sleep(backoff_s * self._rng.uniform(0.7, 1.3))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def setup(app: application.Application) -> None:
    """Register the service ``store-restore``."""
    app.add_service(
        'store-restore',
        StoreRestore(app),
        after=('metrics', 'store', 'departures', 'membership'),
    )
