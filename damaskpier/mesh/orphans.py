"""Detection of nodes that are attached to no node of the tree."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpier.mesh import placement

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.mesh import tree as tree_module

LOG = logging.getLogger(__name__)


class Orphans:
    """Detect nodes that were lost together with their parent.

    A parent marks a lost child as gone. If both are lost at once, only a
    node above them can detect it: the head of a region searches for nodes
    of its region that are not its descendants, and the fleet root for such
    nodes of other regions. Nodes of a region that was partitioned off
    refute their tombstones by records of a higher order.
    """

    def __init__(
        self, app: application.Application, tree: tree_module.Tree
    ) -> None:
        self._app = app
        self._tree = tree
        self._missing_since: dict[str, float] = {}

    def mark_missing(self) -> None:
        """Mark nodes as gone that were not attached for the timeout."""
        tier = self._tree.tier()
        if not self._tree.is_region_head():
            self._missing_since.clear()
            return
        own = self._tree.local_record
        timing = self._tree.timing
        now = self._tree.clock()
        descendants = self._tree.descendants()
        # A head without the lease waits longer, because the region may have
        # another head.
        limit = (
            timing.orphan_timeout_s if tier else timing.other_region_timeout_s
        )
        missing: dict[str, float] = {}
        gone = []
        for node in self._tree.nodes():
            if node.node_id in descendants or node.node_id == own.node_id:
                continue
            is_own_region = node.region == own.region
            if not is_own_region and tier != placement.TIER_FLEET:
                continue
            since = self._missing_since.get(node.node_id, now)
            if now - since >= (
                limit if is_own_region else timing.other_region_timeout_s
            ):
                gone.append(node.node_id)
            else:
                missing[node.node_id] = since
        self._missing_since = missing
        if gone:
            LOG.warning(
                'mesh: marking %d nodes as gone that are not attached',
                len(gone),
            )
            self._app.service('membership').mark_gone(gone)
