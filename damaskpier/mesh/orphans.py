"""Marks nodes as gone that are below no node any more."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpier.mesh import placement

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.mesh import tree as tree_module

LOG = logging.getLogger(__name__)


class Orphans:
    """Finds nodes that were lost together with their parent.

    A parent marks a lost child as gone. Where both are lost at once, only a
    node above them can tell: the head of a region looks for nodes of its
    region, and the fleet root for nodes of other regions, that are not
    below it. Nodes of a region that is cut off come back with a higher
    order when they see their tombstone.
    """

    def __init__(
        self, app: application.Application, tree: tree_module.Tree
    ) -> None:
        self._app = app
        self._tree = tree
        self._since: dict[str, float] = {}

    def check(self) -> None:
        """Mark nodes as gone that have been missing for too long."""
        tier = self._tree.tier()
        if not self._tree.is_head():
            self._since.clear()
            return
        own = self._tree.local
        timing = self._tree.timing
        now = self._tree.clock()
        below = self._tree.below()
        # Without the lease there may be another head of this region.
        limit = timing.orphan_s if tier else timing.region_gone_s
        missing: dict[str, float] = {}
        gone = []
        for node in self._tree.nodes():
            if node.node_id in below or node.node_id == own.node_id:
                continue
            is_near = node.region == own.region
            if not is_near and tier != placement.TIER_FLEET:
                continue
            since = self._since.get(node.node_id, now)
            if now - since >= (limit if is_near else timing.region_gone_s):
                gone.append(node.node_id)
            else:
                missing[node.node_id] = since
        self._since = missing
        if gone:
            LOG.warning('mesh: %d nodes are not attached any more', len(gone))
            self._app.service('membership').mark_gone(gone)
