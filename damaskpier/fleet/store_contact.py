"""Contact with the store, without which keys expire.

This is the service ``store-contact``. It does nothing unless the setting
``strict_revoke`` is on.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from typing import TYPE_CHECKING

from damaskpier import registry
from damaskpier.teams import contact
from damaskpier.util import tasks

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier import config
    from damaskpier.rpc import mesh_pb2

LOG = logging.getLogger(__name__)

# Interval at which a node that has no answer of the store asks other nodes,
# and how many. From ASK_AGE_RATIO of 5 s to the limit, these are about 10
# questions; with a third of the nodes cut off from the store, all of them go
# to such nodes with a probability of 1/59,049.
ASK_INTERVAL_S = 0.5
ASK_COUNT = 2


class StoreContact(registry.Service):
    """Tells whether keys may be accepted, and keeps the contact.

    :param clock: returns the time in seconds
    :param rng: source of the choice among nodes
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._app = app
        self._clock = clock
        self._rng = rng or random.Random()
        self._is_strict = app.cfg.flag('fleet', 'strict_revoke')
        self._contact = contact.Contact(app.cfg.number('fleet', 'revoke'))
        self._is_reported_lost = False
        self._task: asyncio.Task[None] | None = None
        app.events.connect('store-answered', self._record_store)
        app.events.connect('settings-changed', self._settings_changed)

    async def start(self) -> None:
        """Start to ask other nodes when the store does not answer."""
        if self._is_strict:
            self._start_asking()

    def _start_asking(self) -> None:
        self._app.service('metrics').register_gauge(
            'store_contact_age', lambda: self._contact.age_s(self._clock())
        )
        self._task = tasks.keep_running('store-contact', self._ask_nodes)

    async def stop(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()

    def _settings_changed(self, before: config.Settings) -> None:
        cfg = self._app.cfg
        self._contact.limit_s = cfg.number('fleet', 'revoke')
        was_strict = self._is_strict
        self._is_strict = cfg.flag('fleet', 'strict_revoke')
        if self._is_strict and not was_strict:
            self._start_asking()
        elif was_strict and not self._is_strict and self._task is not None:
            self._task.cancel()

    def accepts_keys(self) -> bool:
        """Return whether keys may be accepted now."""
        if not self._is_strict:
            return True
        is_lost = self._contact.is_lost(self._clock())
        if is_lost and not self._is_reported_lost:
            LOG.warning(
                'keys: no contact with the store for %.1f s, directly or '
                'through another node; requests with a key get 503',
                self._contact.age_s(self._clock()),
            )
        if self._is_reported_lost and not is_lost:
            LOG.info('keys: contact with the store again')
        self._is_reported_lost = is_lost
        return not is_lost

    def add_age(self, gossip: mesh_pb2.Gossip) -> None:
        """State the age of the contact in the reply to another node."""
        age_s = self._contact.age_s(self._clock())
        if self._is_strict and math.isfinite(age_s):
            gossip.store_age_ms = math.ceil(age_s * 1000)

    def record_reply(self, reply: mesh_pb2.Gossip, asked_at: float) -> None:
        """Use the age in a reply that has been applied.

        :param asked_at: time at which the message was sent
        """
        if not reply.HasField('store_age_ms'):
            return
        version = self._app.service('configuration').version()
        self._contact.record_node(
            asked_at,
            reply.store_age_ms / 1000,
            is_as_new=version >= reply.config_version,
        )

    def _record_store(self, asked_at: float) -> None:
        self._contact.record_store(asked_at)

    async def _ask_nodes(self) -> None:
        while True:
            await asyncio.sleep(ASK_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            self._ask_if_needed()

    def _ask_if_needed(self) -> None:
        if not self._contact.needs_question(self._clock()):
            return
        membership = self._app.service('membership')
        own_id = membership.local_record().node_id
        others = [
            record for record in membership.nodes() if record.node_id != own_id
        ]
        count = min(ASK_COUNT, len(others))
        for record in self._rng.sample(others, count):
            self._app.service('exchange').start_sync(record)


def setup(app: application.Application) -> None:
    """Register the service ``store-contact``."""
    app.add_service(
        'store-contact',
        StoreContact(app),
        after=('metrics', 'store', 'configuration', 'membership', 'exchange'),
    )
