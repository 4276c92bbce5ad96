"""Evacuation of failure domains; service ``evacuations``."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from damaskpier.balancing import evacuation
from damaskpier import errors
from damaskpier import registry
from damaskpier.util import tasks

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpier import application
    from damaskpier import config
    from damaskpier.mesh import model as mesh_model
    from damaskpier.rpc import mesh_pb2

LOG = logging.getLogger(__name__)


class Evacuations(registry.Service):
    """Follows the evacuations in the store and in the messages of nodes.

    Does nothing unless the setting ``fleet.evacuations`` is set. Emits
    ``evacuations-changed(is_local)``, where ``is_local`` tells whether the
    domain of this node is evacuated, and ``workers-changed(service)``.

    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._app = app
        self._clock = clock
        self._is_enabled = app.cfg.flag('fleet', 'evacuations')
        self._domain = app.cfg.text('node', 'failure_domain')
        self._known = evacuation.Evacuations(clock())
        self._task: asyncio.Task[None] | None = None
        # Ends the evacuations that are held after a restore of the store.
        self._hold_timer: asyncio.TimerHandle | None = None
        app.events.connect('settings-changed', self._settings_changed)

    async def start(self) -> None:
        """Start to follow the store."""
        if self._is_enabled:
            self._start_following()

    def _start_following(self) -> None:
        self._app.service('metrics').register_gauge(
            'evacuated_domains',
            lambda: len(self._known.domains),
        )
        self._task = tasks.keep_running('evacuations', self._follow)

    async def stop(self) -> None:
        """Stop following the store."""
        if self._task is not None:
            self._task.cancel()
        if self._hold_timer is not None:
            self._hold_timer.cancel()

    def _settings_changed(self, before: config.Settings) -> None:
        is_enabled = self._app.cfg.flag('fleet', 'evacuations')
        if is_enabled == self._is_enabled:
            return
        self._is_enabled = is_enabled
        if is_enabled:
            self._start_following()
            return
        if self._task is not None:
            self._task.cancel()
        self._known = evacuation.Evacuations(self._clock())
        self._notify()

    def local_refusal(self) -> errors.Refusal | None:
        """Return why the local worker gets no requests; None if it does."""
        if not self._is_enabled:
            return None
        if self._known.covers(self._domain):
            return evacuated_refusal(self._domain)
        if self._known.hold_s(self._clock()) > 0:
            return errors.Refusal(
                errors.CALL_EVACUATED,
                'it is not known yet whether the failure domain is evacuated',
            )
        return None

    def without_evacuated(
        self, records: Iterable[mesh_model.NodeRecord]
    ) -> list[mesh_model.NodeRecord]:
        """Return the workers that are not in an evacuated failure domain."""
        return [
            record
            for record in records
            if not self._known.covers(record.failure_domain)
        ]

    def covers_service(self, service: str) -> bool:
        """Return whether all workers of a service are evacuated."""
        domains = self._domains_of(service)
        return bool(domains) and all(map(self._known.covers, domains))

    def service_refusal(self, service: str) -> errors.Refusal:
        """Return the refusal for requests to an evacuated service."""
        return evacuated_refusal(', '.join(sorted(self._domains_of(service))))

    def add_to(self, gossip: mesh_pb2.Gossip) -> None:
        """Add the state to a message for another node."""
        state = self._known.state
        if self._is_enabled and state is not None:
            gossip.evacuations.era = state.era
            gossip.evacuations.revision = state.revision
            gossip.evacuations.domains.extend(sorted(state.domains))

    def read_from(self, gossip: mesh_pb2.Gossip) -> None:
        """Apply the state in a message of another node."""
        if self._is_enabled and gossip.HasField('evacuations'):
            found = gossip.evacuations
            self._merge(
                evacuation.State(
                    found.era, found.revision, frozenset(found.domains)
                ),
                'another node',
            )

    def _domains_of(self, service: str) -> set[str]:
        """Return the failure domains with workers of a service."""
        records = self._app.service('membership').workers(service)
        return {record.failure_domain for record in records}

    async def _follow(self) -> None:
        is_store_lost = False
        async for state in self._app.service('store').evacuations():
            if isinstance(state, errors.Refusal):
                if not is_store_lost:
                    LOG.warning(
                        'evacuation: no answer of the store: %s', state
                    )
                is_store_lost = True
                continue
            is_store_lost = False
            self._merge(state, 'the store')

    def _merge(self, state: evacuation.State, source: str) -> None:
        before = self._known.state
        has_changed = self._known.merge(state)
        is_restored = before is not None and state.era > before.era
        if is_restored and self._known.held:
            self._hold()
        if not has_changed:
            return
        if before is not None or state.domains:
            LOG.info(
                'evacuation: by revision %d from %s, evacuated are: %s',
                state.revision,
                source,
                ', '.join(sorted(self._known.domains)) or 'none',
            )
        self._notify()

    def _hold(self) -> None:
        if self._hold_timer is not None:
            self._hold_timer.cancel()
        self._hold_timer = asyncio.get_running_loop().call_later(
            evacuation.RESTORED_HOLD_S, self._release_held
        )

    def _release_held(self) -> None:
        names = ', '.join(sorted(self._known.held))
        if self._known.release_held():
            LOG.warning(
                'evacuation: ended for %s, as the store has come back without '
                'it',
                names,
            )
            self._notify()

    def _notify(self) -> None:
        self._app.events.emit(
            'evacuations-changed', self._known.covers(self._domain)
        )
        for service in self._app.service('membership').services():
            self._app.events.emit('workers-changed', service)


def evacuated_refusal(domains: str) -> errors.Refusal:
    """Return the refusal for requests to workers in evacuated domains."""
    return errors.Refusal(
        errors.CALL_EVACUATED, f'evacuated failure domains: {domains}'
    )


def setup(app: application.Application) -> None:
    """Register the service ``evacuations``."""
    app.add_service(
        'evacuations', Evacuations(app), after=('metrics', 'store')
    )
