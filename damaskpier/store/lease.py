"""Leases that are kept in the platform; service ``leases``.

Only the own monotonic clock of a process is used. A holder counts the TTL
from the start of its last confirmed renewal, a contender from the end of
the read in which it first saw the record. The record of a holder changes with
each renewal, so that a contender that has seen it unchanged for the TTL knows
that the holder has stopped acting. Records are never deleted, which keeps
the epochs increasing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
import random
import time
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING
import uuid

from damaskpier import errors
from damaskpier import registry
from damaskpier.store import base
from damaskpier.store import object_keys
from damaskpier.store import object_values

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier import events

LOG = logging.getLogger(__name__)

LEASE_TTL_S = 4.0
RENEW_INTERVAL_S = 1.3
# The holder stops this much early, because the clocks of two instances can
# differ in rate.
CLOCK_MARGIN_S = 0.1
TICK_INTERVAL_S = 0.5
# A failed renewal is repeated after this delay, which doubles with each
# failure up to the interval of renewals.
RETRY_DELAY_S = 0.2
RELEASE_TIMEOUT_S = 2.0

LOST_EVENT = 'lease-lost'
ACQUIRED_EVENT = 'lease-acquired'


class LeaseRecord(NamedTuple):
    """Lease as it is stored.

    ``holder`` identifies the holder: node_id, host, rpc_port, http_port,
    admin_port, region and failure_domain. ``session`` is unique to one run
    of the holder's process.
    """

    name: str
    epoch: int
    holder: dict[str, Any]
    session: str
    is_released: bool
    store_version: int


class Lease(NamedTuple):
    """Lease that this process has acquired; ``epoch`` is a fencing token."""

    name: str
    epoch: int


class LeaseStatus(NamedTuple):
    """What is known of a lease that was acquired and not lost.

    ``failures`` counts the attempts to renew since the last confirmation.
    """

    epoch: int
    is_confirmed: bool
    age_s: float  # since the start of the last confirmed renewal
    failures: int
    paused_since_confirmed: bool


class _Held:
    """Lease of this process, with the state of its renewals."""

    def __init__(
        self, lease: Lease, holder: dict[str, Any], version: int, at: float
    ) -> None:
        self.lease = lease
        self.holder = holder
        self.store_version = version
        self.confirmed_at = at
        self.failures = 0
        self.task: asyncio.Task[None] | None = None


class _Seen(NamedTuple):
    record: LeaseRecord | None  # None where the object does not exist
    since: float

    @property
    def store_version(self) -> int:
        return self.record.store_version if self.record else 0


class Leases(registry.Service):
    """Acquires, renews and releases leases.

    :param clock: monotonic clock, in seconds
    :param emitter: receives ``lease-acquired`` and ``lease-lost``, each with
        the name of the lease
    """

    def __init__(
        self,
        store: base.ObjectStore,
        emitter: events.Events,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        ttl_s: float = LEASE_TTL_S,
        renew_interval_s: float = RENEW_INTERVAL_S,
    ) -> None:
        self._store = store
        self._events = emitter
        self._clock = clock
        self._rng = rng or random.Random()
        self._ttl_s = ttl_s
        self._renew_interval_s = renew_interval_s
        self._session = uuid.uuid4().hex
        self._held: dict[str, _Held] = {}
        self._seen: dict[str, _Seen] = {}
        self._ticked_at = clock()
        self._paused_at = float('-inf')
        self._ticker: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to look for pauses of the process."""
        self._ticked_at = self._clock()
        self._ticker = asyncio.create_task(self._tick_forever())

    async def stop(self) -> None:
        """Release all leases, so that others need not wait for the TTL."""
        if self._ticker is not None:
            self._ticker.cancel()
            self._ticker = None
        names = list(self._held)
        releases = asyncio.gather(*(self.release(name) for name in names))
        try:
            await asyncio.wait_for(releases, RELEASE_TIMEOUT_S)
        except asyncio.TimeoutError:
            LOG.warning('platform: leases %s lapse by themselves', names)

    async def read(self, name: str) -> LeaseRecord | errors.Refusal:
        """Return the stored lease."""
        stored = await self._store.get(object_keys.lease_key(name))
        if isinstance(stored, errors.Refusal):
            return stored
        return parse_lease(stored)

    async def acquire(
        self, name: str, holder: dict[str, Any]
    ) -> Lease | errors.Refusal:
        """Make one attempt to take a free or lapsed lease.

        A lease that has a holder is observed by the first call; a call after
        :meth:`expires_in_s` takes it unless it was renewed meanwhile. A lease
        that was taken is renewed until it is lost or released.

        :param holder: see :class:`LeaseRecord`
        """
        self._tick()
        held = self._held.get(name)
        if held is not None:
            return held.lease
        seen = self._seen.get(name)
        if seen is None or not self._is_free(seen):
            refusal = await self._observe(name)
            if refusal is not None:
                return refusal
            seen = self._seen[name]
        if not self._is_free(seen):
            return errors.Refusal(
                errors.LEASE_HELD,
                f'lease {name} is held by {_holder_text(seen.record)}',
            )
        return await self._take(name, holder, seen)

    async def renew(self, name: str) -> Lease | errors.Refusal:
        """Make one attempt to renew a lease; done by a task as well."""
        self._tick()
        held = self._held.get(name)
        if held is None:
            return _lost(name)
        started = self._clock()
        outcome = await self._write(held, False)
        if self._held.get(name) is not held:
            return _lost(name)
        if isinstance(outcome, errors.Refusal):
            held.failures += 1
            if outcome.code is errors.PLATFORM_CONFLICT:
                return await self._resolve_conflict(held)
            return outcome
        held.store_version = outcome.version
        held.confirmed_at = started
        held.failures = 0
        return held.lease

    async def release(self, name: str) -> errors.Refusal | None:
        """Give a lease up, so that another holder can take it at once.

        The lease counts as not held from the start of the call.
        """
        held = self._held.pop(name, None)
        if held is None:
            return _lost(name)
        if held.task is not None:
            held.task.cancel()
        self._seen.pop(name, None)
        outcome = await self._write(held, True)
        if not isinstance(outcome, errors.Refusal):
            return None
        if outcome.code is not errors.PLATFORM_CONFLICT:
            return outcome
        # The last renewal may have taken effect without an answer.
        record = await self.read(name)
        if isinstance(record, errors.Refusal):
            return record
        if not self._is_own(record, held):
            return None
        held.store_version = record.store_version
        outcome = await self._write(held, True)
        return outcome if isinstance(outcome, errors.Refusal) else None

    def held(self, name: str) -> bool:
        """Tell whether this process holds a lease at this moment."""
        self._tick()
        held = self._held.get(name)
        return held is not None and self._is_confirmed(held)

    def confirmed(self, name: str) -> bool:
        """Tell whether the platform confirmed a lease within the TTL."""
        return self.held(name)

    def epoch(self, name: str) -> int | None:
        """Return the fencing token, None for a lease that was not taken.

        The token stays until the lease is known to be lost, because writes
        with it are refused once there is a higher one.
        """
        held = self._held.get(name)
        return held.lease.epoch if held else None

    def status(self, name: str) -> LeaseStatus | None:
        """Return the state of a lease, None where it was lost or not taken."""
        self._tick()
        held = self._held.get(name)
        if held is None:
            return None
        return LeaseStatus(
            held.lease.epoch,
            self._is_confirmed(held),
            self._clock() - held.confirmed_at,
            held.failures,
            self._paused_at > held.confirmed_at,
        )

    def may_act(self, name: str) -> bool:
        """Tell whether the holder may go on without the platform.

        It may while the lease is confirmed. It also may while the platform
        is out of reach, provided that this process ran the whole time:
        nobody else can take the lease then. After a pause longer than the
        TTL, or before a renewal has failed, the lease has to be confirmed
        first.
        """
        status = self.status(name)
        if status is None:
            return False
        return status.is_confirmed or (
            status.failures > 0 and not status.paused_since_confirmed
        )

    def names_held(self) -> list[str]:
        """Return the names of the leases that are held at this moment."""
        return [name for name in self._held if self.held(name)]

    def expires_in_s(self, name: str) -> float | None:
        """Return the seconds until an observed lease can be taken.

        None where the lease was not observed.
        """
        seen = self._seen.get(name)
        if seen is None:
            return None
        if self._is_free(seen):
            return 0.0
        return max(0.0, seen.since + self._ttl_s - self._clock())

    async def _observe(self, name: str) -> errors.Refusal | None:
        record = await self.read(name)
        now = self._clock()
        if isinstance(record, errors.Refusal):
            if record.code is not errors.PLATFORM_NOT_FOUND:
                return record
            self._seen[name] = _Seen(None, now)
            return None
        seen = self._seen.get(name)
        if seen is None or seen.store_version != record.store_version:
            self._seen[name] = _Seen(record, now)
        return None

    def _is_free(self, seen: _Seen) -> bool:
        record = seen.record
        if record is None or record.is_released:
            return True
        # A write of this process whose answer was lost; nothing acts on it.
        if record.session == self._session:
            return True
        return self._clock() - seen.since >= self._ttl_s

    async def _take(
        self, name: str, holder: dict[str, Any], seen: _Seen
    ) -> Lease | errors.Refusal:
        epoch = seen.record.epoch + 1 if seen.record else 1
        started = self._clock()
        held = _Held(Lease(name, epoch), holder, seen.store_version, started)
        outcome = await self._write(held, False)
        self._seen.pop(name, None)
        if isinstance(outcome, errors.Refusal):
            if outcome.code is errors.PLATFORM_CONFLICT:
                return errors.Refusal(
                    errors.LEASE_HELD, f'lease {name} was taken or renewed'
                )
            return outcome
        if name in self._held:
            # Another call of this process was faster.
            return self._held[name].lease
        held.store_version = outcome.version
        self._held[name] = held
        if self._ticker is not None:
            held.task = asyncio.create_task(self._hold(held))
        LOG.info('platform: acquired lease %s, epoch %d', name, epoch)
        self._events.emit(ACQUIRED_EVENT, name)
        return held.lease

    async def _hold(self, held: _Held) -> None:
        """Renew a lease until it is lost or released."""
        name = held.lease.name
        due = held.confirmed_at + self._renew_interval_s
        while self._held.get(name) is held:
            await asyncio.sleep(max(0.0, due - self._clock()))
            started = self._clock()
            outcome = await self.renew(name)
            due = started + self._renew_interval_s
            if isinstance(outcome, errors.Refusal):
                delay = RETRY_DELAY_S * 2 ** min(held.failures, 10)
                delay *= self._rng.uniform(0.5, 1.0)
                due = self._clock() + min(self._renew_interval_s, delay)
                LOG.warning(
                    'platform: lease %s is not renewed: %s', name, outcome
                )

    async def _resolve_conflict(self, held: _Held) -> errors.Refusal:
        """Find out who changed a record; the lease may still be held.

        A renewal that took effect without an answer leaves a record of this
        process. Its version is used from then on.
        """
        name = held.lease.name
        record = await self.read(name)
        if self._held.get(name) is not held:
            return _lost(name)
        if isinstance(record, errors.Refusal):
            if record.code is not errors.PLATFORM_NOT_FOUND:
                return record
        elif self._is_own(record, held):
            held.store_version = record.store_version
            return errors.Refusal(
                errors.PLATFORM_CONFLICT,
                f'lease {name}: an earlier renewal took effect late',
            )
        del self._held[name]
        LOG.warning('platform: lost lease %s', name)
        self._events.emit(LOST_EVENT, name)
        return _lost(name)

    async def _write(
        self, held: _Held, is_released: bool
    ) -> base.StoredObject | errors.Refusal:
        value = {
            'epoch': held.lease.epoch,
            'holder': held.holder,
            'session': self._session,
            'is_released': is_released,
            'write_id': object_values.new_write_id(),
        }
        return await self._store.put(
            object_keys.lease_key(held.lease.name),
            object_values.encode(value),
            held.store_version,
        )

    def _is_own(self, record: LeaseRecord, held: _Held) -> bool:
        return (record.session, record.epoch) == (
            self._session,
            held.lease.epoch,
        )

    def _is_confirmed(self, held: _Held) -> bool:
        age_s = self._clock() - held.confirmed_at
        return age_s < self._ttl_s - CLOCK_MARGIN_S

    def _tick(self) -> None:
        now = self._clock()
        if now - self._ticked_at > self._ttl_s:
            self._paused_at = now
            LOG.warning(
                'platform: the process was paused for %.1f s',
                now - self._ticked_at,
            )
        self._ticked_at = now

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._tick()


def setup(app: application.Application) -> None:
    """Register the service ``leases``; ``platform`` is registered before."""
    service = Leases(app.service('platform'), app.events)
    app.add_service('leases', service, after=('platform',))


def parse_lease(stored: base.StoredObject) -> LeaseRecord | errors.Refusal:
    """Return the lease that an object holds."""
    try:
        fields = object_values.decode(stored.value)
        return LeaseRecord(
            stored.key.removeprefix(object_keys.LEASE_PREFIX),
            int(fields['epoch']),
            dict(fields['holder']),
            fields['session'],
            bool(fields['is_released']),
            stored.version,
        )
    except (KeyError, TypeError, ValueError) as exc:
        return errors.Refusal(
            errors.BUNDLE_SCHEMA, f'{stored.key} can not be read: {exc!r}'
        )


def _lost(name: str) -> errors.Refusal:
    return errors.Refusal(errors.LEASE_LOST, f'lease {name} is not held')


def _holder_text(record: LeaseRecord | None) -> str:
    if record is None:
        return 'nobody'
    return f'{record.holder.get("node_id", "?")}, epoch {record.epoch}'
