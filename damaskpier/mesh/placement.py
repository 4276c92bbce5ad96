"""Decides which children a node accepts and where it sends others."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpier.mesh import wire

if TYPE_CHECKING:
    from damaskpier.mesh import children as children_module
    from damaskpier.mesh import model
    from damaskpier.mesh import tree as tree_module
    from damaskpier.rpc import mesh_pb2

LOG = logging.getLogger(__name__)

# Without a lease; head of a region by lease; root of the fleet by lease.
TIER_NONE = 0
TIER_REGION = 1
TIER_FLEET = 2

MAX_CANDIDATES = 3


def rank(tier: int, node_id: str) -> tuple[int, str]:
    """Return the key that orders the first nodes of trees.

    A tree joins only a tree whose first node sorts before its own, so that
    trees that meet merge in one direction and form no loop.
    """
    return -tier, node_id


def place(
    tree: tree_module.Tree, hello: mesh_pb2.Hello
) -> mesh_pb2.Redirect | None:
    """Return None to accept a node as a child, else where to send it.

    A redirect without candidates refuses the node.
    """
    node = wire.record_from_pb(hello.node)
    refusal = _refusal(tree, node, hello)
    if refusal:
        LOG.info('mesh: refused %s as a child: %s', node.node_id, refusal)
        return wire.redirect_to_pb([], refusal)
    if _takes_precedence(tree, hello):
        if tree.parent is not None:
            return wire.redirect_to_pb(tree.top_records(), 'other tree')
        tree.joiner.hint(node)
        return wire.redirect_to_pb([], 'the other tree takes precedence')
    if node.region != tree.local.region:
        return _place_foreign(tree, node, hello)
    head = tree.region_head()
    if not hello.placed and head.node_id != tree.local.node_id:
        return wire.redirect_to_pb([head], 'head of the region')
    return _place_local(tree, node)


def replace_interim(
    tree: tree_module.Tree, child: children_module.Child
) -> None:
    """Send heads without a lease to the region root that has arrived.

    Two heads of a region do no harm for a while, but each one has the
    changes cross the region's boundary once more.
    """
    if child.peer.region == tree.local.region or child.tier == TIER_NONE:
        return
    for other in tree.children:
        if (
            other is not child
            and other.peer.region == child.peer.region
            and other.tier == TIER_NONE
        ):
            other.send_redirect([child.peer], 'region root')


def better_parent(tree: tree_module.Tree) -> model.NodeRecord | None:
    """Return where this node belongs, if that is not below its parent.

    A region root belongs directly below the fleet root and any other node
    below the head of its region, so that a change crosses the border of a
    region once. A leaf far below the head asks the head for another place.
    """
    parent = tree.parent
    if parent is None:
        return None
    better = None
    if parent.peer.region == tree.local.region:
        if _is_too_deep(tree, parent.ancestors):
            better = tree.region_head()
    elif tree.holds_region():
        if parent.tier == TIER_FLEET:
            better = parent.ancestors[0]
    elif not tree.is_head():
        better = tree.region_head()
    if better is None or better.node_id == parent.peer.node_id:
        return None
    return better


def _is_too_deep(
    tree: tree_module.Tree, ancestors: tuple[model.NodeRecord, ...]
) -> bool:
    # Repeated losses make the tree deeper; its leaves move up again.
    if len(tree.children):
        return False
    region = tree.local.region
    width = tree.children.limit
    depth = sum(node.region == region for node in ancestors)
    count = sum(node.region == region for node in tree.nodes())
    needed, capacity = 0, 1
    while capacity < count:
        needed += 1
        capacity += width**needed
    return depth > needed + 1


def _refusal(
    tree: tree_module.Tree, node: model.NodeRecord, hello: mesh_pb2.Hello
) -> str:
    own = tree.local
    if tree.leaving:
        return 'this node stops'
    if node.node_id == own.node_id:
        return 'this is the node itself'
    if node.node_id in tree.path():
        return 'the path to the root contains the node'
    target = tree.joining()
    if target == node.node_id and own.node_id > target:
        return 'this node is attaching to that one'
    return ''


def _takes_precedence(tree: tree_module.Tree, hello: mesh_pb2.Hello) -> bool:
    # A node without children and lease can not close a loop.
    if hello.subtree <= 1 and hello.tier == TIER_NONE:
        return False
    return rank(*tree.top()) >= rank(hello.tier, hello.node.node_id)


def _place_foreign(
    tree: tree_module.Tree, node: model.NodeRecord, hello: mesh_pb2.Hello
) -> mesh_pb2.Redirect | None:
    if tree.parent is not None:
        found = tree.top_records()
        if hello.tier == TIER_NONE:
            found = tree.some_nodes(node.region, 2, {node.node_id}) + found
        return wire.redirect_to_pb(found, 'other region')
    if hello.tier == TIER_NONE:
        for child in tree.children:
            if (
                child.peer.region == node.region
                and child.peer.node_id != node.node_id
            ):
                return wire.redirect_to_pb([child.peer], 'head of the region')
    return None


def _place_local(
    tree: tree_module.Tree, node: model.NodeRecord
) -> mesh_pb2.Redirect | None:
    if node.node_id in tree.children or tree.children.free_places():
        return None
    # The smallest subtree first keeps the tree flat; what was sent there
    # since its last heartbeat counts, so that a herd spreads out.
    others = sorted(tree.children.local(), key=lambda child: child.load)
    others[0].expected += 1
    return wire.redirect_to_pb(
        [child.peer for child in others[:MAX_CANDIDATES]], 'no place left'
    )
