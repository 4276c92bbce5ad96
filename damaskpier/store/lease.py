"""Leases that are stored in the platform; service ``leases``.

Clocks of different processes are never compared; each process uses its own
monotonic clock only. A holder counts the TTL from the start of its last
confirmed renewal, a contender from the end of the read that first returned
the record. Each renewal changes the record. If it stays unchanged for the
TTL, the holder's lease has expired by the holder's own clock, and a contender
can acquire it. Records are never deleted, so that epochs only increase.
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
# The holder treats its lease as expired this much before the TTL, because the
# clocks of two instances can differ in rate.
CLOCK_DRIFT_MARGIN_S = 0.1
PAUSE_CHECK_INTERVAL_S = 0.5
# Delay before a failed renewal is retried. It doubles with each failure, up
# to the renewal interval.
RETRY_FIRST_DELAY_S = 0.2
RELEASE_TIMEOUT_S = 2.0

LOST_EVENT = 'lease-lost'
ACQUIRED_EVENT = 'lease-acquired'


class LeaseRecord(NamedTuple):
    """Stored lease.

    ``holder`` identifies the holder: node_id, host, rpc_port, http_port,
    admin_port, region and failure_domain. ``session`` is unique to one run
    of the holder's process. ``store_version`` is the version of the stored
    object.
    """

    name: str
    epoch: int
    holder: dict[str, Any]
    session: str
    is_released: bool
    store_version: int


class Lease(NamedTuple):
    """Lease that this process has acquired.

    ``epoch`` is a fencing token: it increases with each acquisition, and
    writes with a lower one than the stored one are refused.
    """

    name: str
    epoch: int


class LeaseStatus(NamedTuple):
    """State of a lease that this process acquired and has not lost.

    ``is_confirmed`` is true while the TTL of the last confirmed renewal
    lasts. ``failures`` counts the failed renewals since the last confirmed
    one.
    """

    epoch: int
    is_confirmed: bool
    age_s: float  # since the start of the last confirmed renewal
    failures: int
    paused_since_confirmed: bool


class _HeldLease:
    """Lease that this process holds, with the state of its renewals."""

    def __init__(
        self,
        lease: Lease,
        holder: dict[str, Any],
        version: int,
        confirmed_at: float,
    ) -> None:
        self.lease = lease
        self.holder = holder
        self.store_version = version
        self.confirmed_at = confirmed_at
        self.failures = 0
        self.task: asyncio.Task[None] | None = None


class _ObservedLease(NamedTuple):
    """Lease of another process, with the time of its last known change."""

    record: LeaseRecord | None  # None if the object does not exist
    since: float

    @property
    def store_version(self) -> int:
        return self.record.store_version if self.record else 0


class Leases(registry.Service):
    """Acquires, renews and releases leases.

    :param emitter: emits ``lease-acquired`` and ``lease-lost``, each with
        the name of the lease
    :param clock: monotonic clock, in seconds
    :param rng: source of the jitter of retries
    :param ttl_s: time after the last renewal until a lease expires
    :param renew_interval_s: time between the starts of two renewals
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
        self._held: dict[str, _HeldLease] = {}
        self._observed: dict[str, _ObservedLease] = {}
        self._pause_checked_at = clock()
        self._paused_at = float('-inf')
        self._ticker: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic check for pauses of the process."""
        self._pause_checked_at = self._clock()
        self._ticker = asyncio.create_task(self._detect_pauses_forever())

    async def stop(self) -> None:
        """Release all leases, so that contenders need not wait for the TTL.

        Gives up after ``RELEASE_TIMEOUT_S``.
        """
        if self._ticker is not None:
            self._ticker.cancel()
            self._ticker = None
        names = list(self._held)
        releases = asyncio.gather(*(self.release(name) for name in names))
        try:
            await asyncio.wait_for(releases, RELEASE_TIMEOUT_S)
        except asyncio.TimeoutError:
            LOG.warning(
                'platform: timed out releasing leases %s, which expire by '
                'their TTL',
                names,
            )

    async def read(self, name: str) -> LeaseRecord | errors.Refusal:
        """Return the stored lease.

        :returns: the lease, or a refusal: ``PLATFORM_NOT_FOUND`` if it was
            never acquired
        """
        stored = await self._store.get(object_keys.lease_key(name))
        if isinstance(stored, errors.Refusal):
            return stored
        return parse_lease(stored)

    async def acquire(
        self, name: str, holder: dict[str, Any]
    ) -> Lease | errors.Refusal:
        """Make one attempt to acquire a free or expired lease.

        If the lease has a holder, the first call reads the record and
        starts to count the TTL. A call :meth:`expires_in_s` seconds later
        acquires the lease unless it was renewed meanwhile. Once the service
        is started, a task renews an acquired lease until it is lost or
        released.

        :param holder: see :class:`LeaseRecord`
        :returns: the lease, also if this process already holds it, or a
            refusal: ``LEASE_HELD`` if another process does
        """
        self._detect_pause()
        held = self._held.get(name)
        if held is not None:
            return held.lease
        observed = self._observed.get(name)
        if observed is None or not self._is_free(observed):
            refusal = await self._observe(name)
            if refusal is not None:
                return refusal
            observed = self._observed[name]
        if not self._is_free(observed):
            return errors.Refusal(
                errors.LEASE_HELD,
                f'lease {name} is held by {_format_holder(observed.record)}',
            )
        return await self._acquire_free(name, holder, observed)

    async def renew(self, name: str) -> Lease | errors.Refusal:
        """Make one attempt to renew a lease.

        A task calls this method regularly for each acquired lease.

        :returns: the lease, or a refusal: ``LEASE_LOST`` if this process no
            longer holds it, ``PLATFORM_CONFLICT`` if an earlier renewal took
            effect without an answer and the next attempt can succeed
        """
        self._detect_pause()
        held = self._held.get(name)
        if held is None:
            return _not_held(name)
        started = self._clock()
        outcome = await self._write_record(held, False)
        if self._held.get(name) is not held:
            return _not_held(name)
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
        """Release a lease, so that another process can acquire it at once.

        This process no longer holds the lease from the start of the call.

        :returns: None once the release is stored or another process has
            written the record, or a refusal: ``LEASE_LOST`` if this process
            does not hold the lease; after any other the lease expires by its
            TTL
        """
        held = self._held.pop(name, None)
        if held is None:
            return _not_held(name)
        if held.task is not None:
            held.task.cancel()
        self._observed.pop(name, None)
        outcome = await self._write_record(held, True)
        if not isinstance(outcome, errors.Refusal):
            return None
        if outcome.code is not errors.PLATFORM_CONFLICT:
            return outcome
        # The last renewal may have taken effect without an answer, which
        # changed the version of the object.
        record = await self.read(name)
        if isinstance(record, errors.Refusal):
            return record
        if not self._is_own(record, held):
            return None
        held.store_version = record.store_version
        outcome = await self._write_record(held, True)
        return outcome if isinstance(outcome, errors.Refusal) else None

    def is_held(self, name: str) -> bool:
        """Return whether this process holds a lease at this moment."""
        self._detect_pause()
        held = self._held.get(name)
        return held is not None and self._is_within_ttl(held)

    def is_confirmed(self, name: str) -> bool:
        """Return whether the platform confirmed a lease within the TTL.

        The same as :meth:`is_held`.
        """
        return self.is_held(name)

    def epoch(self, name: str) -> int | None:
        """Return the fencing token, None for a lease that is not acquired.

        The token is kept after the TTL, until a conflict reveals that the
        lease is lost. It can do no harm, because writes with it are refused
        once there is a higher one.
        """
        held = self._held.get(name)
        return held.lease.epoch if held else None

    def status(self, name: str) -> LeaseStatus | None:
        """Return the state of a lease, None if it is lost or not acquired."""
        self._detect_pause()
        held = self._held.get(name)
        if held is None:
            return None
        return LeaseStatus(
            held.lease.epoch,
            self._is_within_ttl(held),
            self._clock() - held.confirmed_at,
            held.failures,
            self._paused_at > held.confirmed_at,
        )

    def may_act(self, name: str) -> bool:
        """Return whether this process may act as the holder of a lease.

        It may while the lease is confirmed. It also may after the TTL while
        renewals fail, provided that this process ran the whole time: during
        an outage of the platform no other process can acquire the lease.
        After a pause longer than the TTL, or before a renewal has failed,
        the lease has to be confirmed first.
        """
        status = self.status(name)
        if status is None:
            return False
        return status.is_confirmed or (
            status.failures > 0 and not status.paused_since_confirmed
        )

    def held_names(self) -> list[str]:
        """Return the names of the leases that are held at this moment."""
        return [name for name in self._held if self.is_held(name)]

    def expires_in_s(self, name: str) -> float | None:
        """Return the seconds until an observed lease can be acquired.

        None if no call of :meth:`acquire` has read the lease.
        """
        observed = self._observed.get(name)
        if observed is None:
            return None
        if self._is_free(observed):
            return 0.0
        return max(0.0, observed.since + self._ttl_s - self._clock())

    async def _observe(self, name: str) -> errors.Refusal | None:
        """Read a lease and note the time if it has changed."""
        record = await self.read(name)
        now = self._clock()
        if isinstance(record, errors.Refusal):
            if record.code is not errors.PLATFORM_NOT_FOUND:
                return record
            self._observed[name] = _ObservedLease(None, now)
            return None
        observed = self._observed.get(name)
        if observed is None or observed.store_version != record.store_version:
            self._observed[name] = _ObservedLease(record, now)
        return None

    def _is_free(self, observed: _ObservedLease) -> bool:
        record = observed.record
        if record is None or record.is_released:
            return True
        # Written by this process, but the answer was lost, so the process
        # does not act as the holder.
        if record.session == self._session:
            return True
        return self._clock() - observed.since >= self._ttl_s

    async def _acquire_free(
        self, name: str, holder: dict[str, Any], observed: _ObservedLease
    ) -> Lease | errors.Refusal:
        epoch = observed.record.epoch + 1 if observed.record else 1
        started = self._clock()
        held = _HeldLease(
            Lease(name, epoch), holder, observed.store_version, started
        )
        outcome = await self._write_record(held, False)
        self._observed.pop(name, None)
        if isinstance(outcome, errors.Refusal):
            if outcome.code is errors.PLATFORM_CONFLICT:
                return errors.Refusal(
                    errors.LEASE_HELD, f'lease {name} was taken or renewed'
                )
            return outcome
        if name in self._held:
            # A concurrent call in this process acquired the lease first.
            return self._held[name].lease
        held.store_version = outcome.version
        self._held[name] = held
        if self._ticker is not None:
            held.task = asyncio.create_task(self._renew_until_lost(held))
        LOG.info('platform: acquired lease %s, epoch %d', name, epoch)
        self._events.emit(ACQUIRED_EVENT, name)
        return held.lease

    async def _renew_until_lost(self, held: _HeldLease) -> None:
        """Renew a lease until it is lost or released."""
        name = held.lease.name
        due = held.confirmed_at + self._renew_interval_s
        while self._held.get(name) is held:
            await asyncio.sleep(max(0.0, due - self._clock()))
            started = self._clock()
            outcome = await self.renew(name)
            due = started + self._renew_interval_s
            if isinstance(outcome, errors.Refusal):
                delay = RETRY_FIRST_DELAY_S * 2 ** min(held.failures, 10)
                delay *= self._rng.uniform(0.5, 1.0)
                due = self._clock() + min(self._renew_interval_s, delay)
                LOG.warning(
                    'platform: failed to renew lease %s: %s', name, outcome
                )

    async def _resolve_conflict(self, held: _HeldLease) -> errors.Refusal:
        """Check after a conflict whether this process still holds a lease.

        If an earlier renewal took effect without an answer, the record is
        from this process. Later renewals then use the version of the record.
        """
        name = held.lease.name
        record = await self.read(name)
        if self._held.get(name) is not held:
            return _not_held(name)
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
        return _not_held(name)

    async def _write_record(
        self, held: _HeldLease, is_released: bool
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

    def _is_own(self, record: LeaseRecord, held: _HeldLease) -> bool:
        return (record.session, record.epoch) == (
            self._session,
            held.lease.epoch,
        )

    def _is_within_ttl(self, held: _HeldLease) -> bool:
        age_s = self._clock() - held.confirmed_at
        return age_s < self._ttl_s - CLOCK_DRIFT_MARGIN_S

    def _detect_pause(self) -> None:
        now = self._clock()
        if now - self._pause_checked_at > self._ttl_s:
            self._paused_at = now
            LOG.warning(
                'platform: the process was paused for %.1f s',
                now - self._pause_checked_at,
            )
        self._pause_checked_at = now

    async def _detect_pauses_forever(self) -> None:
        """Check for pauses often enough that only a real one exceeds the TTL.

        The check runs before each use of a lease as well.
        """
        while True:
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_S)
            self._detect_pause()


def setup(app: application.Application) -> None:
    """Register the service ``leases``; ``platform`` is registered before."""
    service = Leases(app.service('platform'), app.events)
    app.add_service('leases', service, after=('platform',))


def parse_lease(stored: base.StoredObject) -> LeaseRecord | errors.Refusal:
    """Return the lease that a stored object contains.

    :returns: the lease, or a refusal with ``BUNDLE_SCHEMA`` if the object is
        malformed
    """
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


def _not_held(name: str) -> errors.Refusal:
    return errors.Refusal(errors.LEASE_LOST, f'lease {name} is not held')


def _format_holder(record: LeaseRecord | None) -> str:
    if record is None:
        return 'nobody'
    return f'{record.holder.get("node_id", "?")}, epoch {record.epoch}'
