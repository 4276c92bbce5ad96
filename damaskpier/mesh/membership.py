"""View of all nodes and workers of the fleet."""

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

_NO_WORKER = {'service': '', 'version': '', 'slots': 0, 'ready': False}


class Membership(registry.Service):
    """Full view of the fleet, kept by merging records.

    Emits ``workers-changed(service)`` when the workers of a service
    changed, and ``membership-delta(records, source)`` with every record
    that was new to this node; ``source`` is whatever :meth:`merge` got.

    :param clock: monotonic time in seconds
    :param wall: time in seconds since the epoch; gives the incarnation,
        which has to grow over restarts without a disk
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
        """Start the expiry of announcements and tombstones."""
        self._task = asyncio.create_task(self._expire_loop())

    async def stop(self) -> None:
        """Stop the expiry."""
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
        """Return how long a node has been gone; 0 if it is not."""
        now = self._clock()
        return now - self._gone_at.get(node_id, now)

    def workers(self, service: str) -> tuple[model.NodeRecord, ...]:
        """Return the workers of a service that may get new requests."""
        return self._workers.get(service, ())

    def services(self) -> tuple[str, ...]:
        """Return the services that have workers."""
        return tuple(self._workers)

    def digests(self) -> dict[str, int]:
        """Return a hash of the present records per failure domain."""
        return {name: value for name, value in self._digests.items() if value}

    def digest(self) -> int:
        """Return a hash of all present records."""
        total = 0
        for value in self._digests.values():
            total ^= value
        return total

    def differing_records(
        self, digests: dict[str, int]
    ) -> tuple[list[model.NodeRecord], set[str]]:
        """Return the failure domains that differ, and all their records.

        Digests leave tombstones out, because these expire at different
        times on different nodes.

        :param digests: hashes per failure domain of another node's view
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

    def adopt_view(
        self,
        records: Iterable[model.NodeRecord],
        domains: set[str],
        below: set[str],
        source: object,
    ) -> list[model.NodeRecord]:
        """Take over all records of some failure domains from the parent.

        Records that the parent does not have are dropped, unless they are
        of this node or of nodes below it.

        :returns: records that the parent lacks or has in an older state
        """
        listed = {record.node_id: record for record in records}
        self.merge(listed.values(), source)
        newer = []
        for record in list(self._records.values()):
            if record.failure_domain not in domains:
                continue
            theirs = listed.get(record.node_id)
            if theirs is None:
                if record.node_id in below or record is self._local:
                    newer.append(record)
                elif not record.gone:
                    self._drop(record)
            elif (theirs.order, theirs.gone) < (record.order, record.gone):
                newer.append(record)
        self._emit_changed()
        return newer

    def set_ports(
        self, rpc_port: int | None = None, http_port: int | None = None
    ) -> None:
        """Set the ports that the kernel chose for the servers."""
        self._change_local(
            rpc_port=self._local.rpc_port if rpc_port is None else rpc_port,
            http_port=self._local.http_port
            if http_port is None
            else http_port,
        )

    def apply_announcement(
        self, announcement: model.Announcement | None
    ) -> None:
        """Take the announcement of the local upstream.

        :param announcement: None where the upstream is known to be gone
        """
        if announcement is None:
            self._announced_at = None
            self._change_local(**_NO_WORKER, draining=self._draining)
            return
        self._announced_at = self._clock()
        self._change_local(
            service=announcement.service,
            version=announcement.version,
            slots=announcement.slots,
            ready=announcement.ready,
            draining=announcement.draining or self._draining,
            instance=announcement.instance,
        )

    def set_draining(self) -> None:
        """Take the local worker out of routing until the process ends."""
        self._draining = True
        self._change_local(draining=True)

    def republish_local(self) -> None:
        """Give the local record a new order, so that it is sent again."""
        self._put_local(self._local)

    def leave(self) -> model.NodeRecord:
        """Mark the local node as gone and return its last record."""
        self._local = self._local._replace(seq=self._local.seq + 1, gone=True)
        self._store(self._local)
        self._emit([self._local], None)
        return self._local

    def mark_gone(self, node_ids: Iterable[str]) -> None:
        """Put tombstones in place of the records of lost nodes."""
        self.merge(
            [
                self._records[node_id]._replace(gone=True)
                for node_id in node_ids
                if node_id in self._records
            ]
        )

    def merge(
        self, records: Iterable[model.NodeRecord], source: object = None
    ) -> list[model.NodeRecord]:
        """Take records over where they are newer, and return those.

        A tombstone wins over the record with the same order, so that the
        owner only needs a higher sequence number to refute it.
        """
        taken = []
        for record in records:
            if record.node_id == self._local.node_id:
                self._refute(record)
                continue
            current = self._records.get(record.node_id)
            if current is not None and (
                (record.order, record.gone) <= (current.order, current.gone)
            ):
                continue
            self._store(record)
            taken.append(record)
        self._emit(taken, source)
        return taken

    def expire(self) -> None:
        """End a silent announcement and forget old tombstones."""
        now = self._clock()
        if (
            self._announced_at is not None
            and now - self._announced_at >= self._timing.announce_expiry_s
        ):
            LOG.warning(
                'mesh: no announcement of the local upstream for %.1f s',
                now - self._announced_at,
            )
            self.apply_announcement(None)
        for node_id, since in list(self._gone_at.items()):
            if now - since >= self._timing.tombstone_s:
                del self._gone_at[node_id]
                del self._records[node_id]

    async def _expire_loop(self) -> None:
        while True:
            await asyncio.sleep(self._timing.announce_expiry_s / 6)
            self.expire()

    def _change_local(self, **fields: object) -> None:
        record = self._local._replace(**fields)
        if record != self._local:
            self._put_local(record)

    def _put_local(self, record: model.NodeRecord) -> None:
        if self._local.gone:
            return
        self._local = record._replace(seq=self._local.seq + 1)
        self._store(self._local)
        self._emit([self._local], None)

    def _refute(self, record: model.NodeRecord) -> None:
        own = self._local
        if own.gone or (record.order, record.gone) <= (own.order, own.gone):
            return
        LOG.info('mesh: refute a record of this node that is not its own')
        self._local = own._replace(
            incarnation=max(own.incarnation, record.incarnation),
            seq=max(own.seq, record.seq),
        )
        self._put_local(self._local)

    def _store(self, record: model.NodeRecord) -> None:
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

    def _drop(self, record: model.NodeRecord) -> None:
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

    def _emit(self, records: list[model.NodeRecord], source: object) -> None:
        if not records:
            return
        self._app.events.emit('membership-delta', records, source)
        self._emit_changed()

    def _emit_changed(self) -> None:
        changed, self._changed_services = self._changed_services, set()
        for service in sorted(changed):
            self._app.events.emit('workers-changed', service)


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
