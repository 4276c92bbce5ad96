"""Batching of changes for the parent and the children."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpier.mesh import wire
from damaskpier.rpc import mesh_pb2

if TYPE_CHECKING:
    from damaskpier.mesh import links
    from damaskpier.mesh import model
    from damaskpier.mesh import tree as tree_module

LOG = logging.getLogger(__name__)


class Outbox:
    """Collect records, paths and descendants and send them in batches.

    Without batches the restart of many nodes would cost one message for
    each record and edge of the tree.
    """

    def __init__(self, tree: tree_module.Tree) -> None:
        self._tree = tree
        self._records: dict[str, tuple[model.NodeRecord, object]] = {}
        self._path_due = False
        self._siblings_due = False
        self._dirty = asyncio.Event()

    def add_records(
        self, records: list[model.NodeRecord], source: object
    ) -> None:
        """Send records to the parent and children except their source."""
        for record in records:
            self._records[record.node_id] = (record, source)
        self._dirty.set()

    def add_path(self) -> None:
        """Send the path to all children."""
        self._path_due = True
        self._dirty.set()

    def add_siblings(self) -> None:
        """Send path and siblings to the children in this region."""
        self._siblings_due = True
        self._dirty.set()

    def add_descendants(self) -> None:
        """Send added and removed descendants to the parent."""
        self._dirty.set()

    async def run(self) -> None:
        """Send each batch after a delay, until cancelled."""
        while True:
            await self._dirty.wait()
            await asyncio.sleep(self._tree.timing.batch_s)
            self._dirty.clear()
            try:
                self.flush()
            except Exception:
                LOG.exception('mesh: sending a batch of changes failed')

    def flush(self) -> None:
        """Send the collected changes now."""
        if self._path_due or self._siblings_due:
            self._send_paths()
        if self._tree.parent is not None:
            self._tree.parent.send_descendants(self._tree.descendants())
        if self._records:
            self._send_records()

    def _send_paths(self) -> None:
        children = self._tree.children
        update = mesh_pb2.Down(path=self._tree.path_message())
        targets = children if self._path_due else children.in_own_region()
        self._path_due = self._siblings_due = False
        for child in targets:
            child.send(update)

    def _send_records(self) -> None:
        pending, self._records = self._records, {}
        sources = {id(source) for _, source in pending.values()}
        whole = wire.delta_to_pb([record for record, _ in pending.values()])
        parent = self._tree.parent
        peers: list[links.Link] = list(self._tree.children)
        if parent is not None:
            peers.append(parent)
        for link in peers:
            delta = whole
            if id(link) in sources:
                records = [
                    record
                    for record, source in pending.values()
                    if source is not link
                ]
                if not records:
                    continue
                delta = wire.delta_to_pb(records)
            if link is parent:
                link.send(mesh_pb2.Up(membership=delta))
            else:
                link.send(mesh_pb2.Down(membership=delta))
