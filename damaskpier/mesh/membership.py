"""Records of all nodes and workers of the fleet."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from damaskpier.mesh import model
from damaskpier.mesh import timing as timing_module
from damaskpier.mesh import wire
from damaskpier import registry

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpier import application

LOG = logging.getLogger(__name__)

_NO_WORKER_FIELDS = {'service': '', 'version': '', 'slots': 0, 'ready': False}


class Membership(registry.Service):
    """Hold a record of every node and merge the records of other nodes.

    Emits ``workers-changed(service)`` when the routable workers of a
    service change, and ``membership-delta(records, source)`` with every
    record that is newer than the stored one. ``source`` is the argument of
    :meth:`merge`, and None for changes of the local record. Emits
    ``left-worker-learned(instance, started_ms)`` when another node knows a
    worker that left before this node restarted.

    :param clock: returns the monotonic time in seconds
    :param wall: returns the time in seconds since the epoch, from which the
        incarnation is derived. The incarnation has to increase with each
        restart, and a node stores nothing on disk.
    """

    def __init__(
        self,
        app: application.Application,
        timing: timing_module.Timing,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._app = app
        self._timing = timing
        self._clock = clock
        self._records: dict[str, model.NodeRecord] = {}
        self._gone_at: dict[str, float] = {}
        self._workers: dict[str, tuple[model.NodeRecord, ...]] = {}
        self._digests: dict[str, int] = {}
        self._announced_at: float | None = None
        self._draining = False
        self._changed_services: set[str] = set()
        self._task: asyncio.Task[None] | None = None
        cfg = app.cfg
        self._local = model.NodeRecord(
            cfg.text('node', 'id'),
            int(wall() * 1000),
            1,
            cfg.text('node', 'region'),
            cfg.text('node', 'failure_domain'),
            cfg.text('node', 'host'),
            cfg.integer('node', 'rpc_port'),
            cfg.integer('node', 'http_port'),
        )
        self._records[self._local.node_id] = self._local
        self._toggle_digest(self._local)

    async def start(self) -> None:
        """Start to remove expired announcements and tombstones."""
        self._task = asyncio.create_task(self._expire_loop())

    async def stop(self) -> None:
        """Stop the removal of expired records."""
        if self._task is not None:
            self._task.cancel()

    def local_record(self) -> model.NodeRecord:
        """Return the record of this node."""
        return self._local

    def nodes(self) -> tuple[model.NodeRecord, ...]:
        """Return the records of all nodes that are not gone."""
        return tuple(
            record for record in self._records.values() if not record.gone
        )

    def all_records(self) -> tuple[model.NodeRecord, ...]:
        """Return all records, tombstones included."""
        return tuple(self._records.values())

    def get(self, node_id: str) -> model.NodeRecord | None:
        """Return the record of a node, gone or not."""
        return self._records.get(node_id)

    def gone_for_s(self, node_id: str) -> float:
        """Return the age of a node's tombstone in seconds, 0 without one."""
        now = self._clock()
        return now - self._gone_at.get(node_id, now)

    def workers(self, service: str) -> tuple[model.NodeRecord, ...]:
        """Return the records of the routable workers of a service."""
        return self._workers.get(service, ())

    def services(self) -> tuple[str, ...]:
        """Return the names of the services that have routable workers."""
        return tuple(self._workers)

    def digests(self) -> dict[str, int]:
        """Return a hash per failure domain of its records, less tombstones."""
        return {name: value for name, value in self._digests.items() if value}

    def digest(self) -> int:
        """Return a hash of all records, tombstones excluded."""
        total = 0
        for value in self._digests.values():
            total ^= value
        return total

    def differing_records(
        self, digests: dict[str, int]
    ) -> tuple[list[model.NodeRecord], set[str]]:
        """Return the failure domains that differ, and all their records.

        Digests exclude tombstones, because these expire at different times
        on different nodes.

        :param digests: digests of another node per failure domain, as
            :meth:`digests` returns them
        :returns: the records of the differing failure domains, and the
            names of these domains
        """
        own = self.digests()
        domains = {
            name
            for name in {*own, *digests}
            if own.get(name, 0) != digests.get(name, 0)
        }
        records = [
            record
            for record in self._records.values()
            if record.failure_domain in domains
        ]
        return records, domains

    def replace_domains(
        self,
        records: Iterable[model.NodeRecord],
        domains: set[str],
        descendants: set[str],
        source: object,
    ) -> list[model.NodeRecord]:
        """Replace the records of failure domains by those of the parent.

        Records that the parent does not have are removed, except those of
        this node and of its descendants.

        :param records: all records of the domains that the parent has
        :param domains: failure domains to replace
        :param descendants: ids of the nodes below this one in the tree
        :param source: link to the parent, as for :meth:`merge`
        :returns: records that the parent lacks or has in an older version
        """
        by_id = {record.node_id: record for record in records}
        self.merge(by_id.values(), source)
        newer = []
        for record in list(self._records.values()):
            if record.failure_domain not in domains:
                continue
            received = by_id.get(record.node_id)
            if received is None:
                if record.node_id in descendants or record is self._local:
                    newer.append(record)
                elif not record.gone:
                    self._remove_record(record)
            elif (received.order, received.gone) < (record.order, record.gone):
                newer.append(record)
        self._emit_workers_changed()
        return newer

    def set_ports(
        self, rpc_port: int | None = None, http_port: int | None = None
    ) -> None:
        """Publish the ports that the operating system assigned."""
        self._update_local(
            rpc_port=self._local.rpc_port if rpc_port is None else rpc_port,
            http_port=self._local.http_port
            if http_port is None
            else http_port,
        )

    def apply_announcement(
        self, announcement: model.Announcement | None
    ) -> None:
        """Update the local record from the upstream's announcement.

        :param announcement: None if the upstream has stopped
        """
        if announcement is None:
            self._announced_at = None
            self._update_local(**_NO_WORKER_FIELDS, draining=self._draining)
            return
        self._announced_at = self._clock()
        self._update_local(
            service=announcement.service,
            version=announcement.version,
            slots=announcement.slots,
            ready=announcement.ready,
            draining=announcement.draining or self._draining,
            instance=announcement.instance,
            started_ms=announcement.started_ms,
        )

    def set_draining(self) -> None:
        """Mark the local worker as draining until the process ends."""
        self._draining = True
        self._update_local(draining=True)

    def set_left_worker(self, instance: str, started_ms: int) -> None:
        """Publish the instance that has left most recently.

        :param started_ms: start of the instance since the epoch
        """
        self._update_local(left_instance=instance, left_started_ms=started_ms)

    def republish_local(self) -> None:
        """Increment the local sequence number to send the record again."""
        self._publish_local(self._local)

    def mark_local_gone(self) -> model.NodeRecord:
        """Replace the local record by a tombstone and return it."""
        self._local = self._local._replace(seq=self._local.seq + 1, gone=True)
        self._store_record(self._local)
        self._emit_delta([self._local], None)
        return self._local

    def mark_gone(self, node_ids: Iterable[str]) -> None:
        """Replace the records of lost nodes by tombstones."""
        self.merge(
            [
                self._records[node_id]._replace(gone=True)
                for node_id in node_ids
                if node_id in self._records
            ]
        )

    def is_news(
        self, node_id: str, order: tuple[int, int], gone: bool
    ) -> bool:
        """Return whether :meth:`merge` may use a record.

        Records of this node are always used: another node may know of a
        worker that left before this node started.

        :param order: order of the record
        :param gone: whether the record is a tombstone
        """
        current = self._records.get(node_id)
        return (
            current is None
            or node_id == self._local.node_id
            or (order, gone) > (current.order, current.gone)
        )

    def merge(
        self, records: Iterable[model.NodeRecord], source: object = None
    ) -> list[model.NodeRecord]:
        """Store the records that are newer than the known ones.

        A tombstone replaces a record of the same order, so that a node that
        is still alive refutes its tombstone by a higher sequence number.

        :param source: link that the records came from. The listeners of
            ``membership-delta`` do not send them back there.
        :returns: the records that were newer
        """
        newer = []
        for record in records:
            if record.node_id == self._local.node_id:
                self._learn_left_worker(record)
                self._refute(record)
                continue
            if not self.is_news(record.node_id, record.order, record.gone):
                continue
            current = self._records.get(record.node_id)
            if current is not None:
                record = _keep_left_worker(record, current)
            self._store_record(record)
            newer.append(record)
        self._emit_delta(newer, source)
        return newer

    def expire_records(self) -> None:
        """Remove an expired announcement and expired tombstones."""
        now = self._clock()
        if (
            self._announced_at is not None
            and now - self._announced_at >= self._timing.announce_expiry_s
        ):
            LOG.warning(
                'mesh: no announcement of the local upstream for %.1f s, '
                'removing its worker',
                now - self._announced_at,
            )
            self.apply_announcement(None)
        for node_id, since in list(self._gone_at.items()):
            if now - since >= self._timing.tombstone_s:
                del self._gone_at[node_id]
                del self._records[node_id]

    async def _expire_loop(self) -> None:
        interval_s = self._timing.announce_expiry_s / 6
        while True:
            due_at = self._clock() + interval_s
            await asyncio.sleep(interval_s)
            late_s = self._clock() - due_at
            if self._announced_at is not None and late_s > interval_s:
                # The process was paused or got no processor time, and the
                # announcements that arrived meanwhile are not read yet.
                LOG.warning(
                    'mesh: this process was paused for %.1f s, restarting '
                    'the timeout of the local upstream',
                    late_s,
                )
                self._announced_at = self._clock()
            self.expire_records()

    def _update_local(self, **fields: object) -> None:
        record = self._local._replace(**fields)
        if record != self._local:
            self._publish_local(record)

    def _publish_local(self, record: model.NodeRecord) -> None:
        if self._local.gone:
            return
        self._local = record._replace(seq=self._local.seq + 1)
        self._store_record(self._local)
        self._emit_delta([self._local], None)

    def _refute(self, record: model.NodeRecord) -> None:
        own = self._local
        if own.gone or (record.order, record.gone) <= (own.order, own.gone):
            return
        LOG.info('mesh: refuting a record of this node from another node')
        self._local = own._replace(
            incarnation=max(own.incarnation, record.incarnation),
            seq=max(own.seq, record.seq),
        )
        self._publish_local(self._local)

    def _learn_left_worker(self, record: model.NodeRecord) -> None:
        own = self._local
        if record.left_instance and not own.left_instance:
            LOG.info(
                'mesh: %s left before this node started',
                record.left_instance,
            )
            self._app.events.emit(
                'left-worker-learned',
                record.left_instance,
                record.left_started_ms,
            )

    def _store_record(self, record: model.NodeRecord) -> None:
        old = self._records.get(record.node_id)
        if old is not None:
            self._toggle_digest(old)
        self._toggle_digest(record)
        self._records[record.node_id] = record
        if record.gone:
            self._gone_at[record.node_id] = self._clock()
        else:
            self._gone_at.pop(record.node_id, None)
        for service in {old.service if old else '', record.service}:
            self._update_workers(service, record)

    def _update_workers(self, service: str, record: model.NodeRecord) -> None:
        if not service:
            return
        self._changed_services.add(service)
        workers = [
            other
            for other in self._workers.get(service, ())
            if other.node_id != record.node_id
        ]
        if record.routable and record.service == service:
            workers.append(record)
        if workers:
            self._workers[service] = tuple(workers)
        else:
            self._workers.pop(service, None)

    def _remove_record(self, record: model.NodeRecord) -> None:
        self._toggle_digest(record)
        del self._records[record.node_id]
        self._update_workers(record.service, record._replace(gone=True))

    def _toggle_digest(self, record: model.NodeRecord) -> None:
        if record.gone:
            return
        domain = record.failure_domain
        self._digests[domain] = self._digests.get(
            domain, 0
        ) ^ wire.record_hash(record)

    def _emit_delta(
        self, records: list[model.NodeRecord], source: object
    ) -> None:
        if not records:
            return
        self._app.events.emit('membership-delta', records, source)
        self._emit_workers_changed()

    def _emit_workers_changed(self) -> None:
        changed, self._changed_services = self._changed_services, set()
        for service in sorted(changed):
            self._app.events.emit('workers-changed', service)


def _keep_left_worker(
    record: model.NodeRecord, current: model.NodeRecord
) -> model.NodeRecord:
    """Return a record with the left worker of the one that it replaces.

    A node that has restarted does not know the worker that left before.
    """
    if record.left_instance:
        return record
    return record._replace(
        left_instance=current.left_instance,
        left_started_ms=current.left_started_ms,
    )


def setup(
    app: application.Application,
    timing: timing_module.Timing | None = None,
    clock: Callable[[], float] = time.monotonic,
    wall: Callable[[], float] = time.time,
) -> None:
    """Register the service ``membership``."""
    app.add_service(
        'membership',
        Membership(app, timing or timing_module.Timing(), clock, wall),
    )
