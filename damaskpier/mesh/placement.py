"""Rules by which nodes accept children and redirect other nodes."""

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

# Tiers by the leases that a node holds: none, the lease of its region, or the
# leases of its region and of the fleet.
TIER_NONE = 0
TIER_REGION = 1
TIER_FLEET = 2

MAX_REDIRECT_CANDIDATES = 3


def precedence(tier: int, node_id: str) -> tuple[int, str]:
    """Return the sort key of a tree's root.

    A tree joins only a tree whose root sorts before its own, so that two
    trees merge in one direction and form no loop.
    """
    return -tier, node_id


def find_redirect(
    tree: tree_module.Tree, hello: mesh_pb2.Hello
) -> mesh_pb2.Redirect | None:
    """Return where to redirect a node, or None to accept it as a child.

    A redirect without candidates refuses the node.
    """
    node = wire.record_from_pb(hello.node)
    refusal = _refusal_reason(tree, node, hello)
    if refusal:
        LOG.info('mesh: refused node %s as a child: %s', node.node_id, refusal)
        return wire.redirect_to_pb([], refusal)
    if _takes_precedence(tree, hello):
        if tree.parent is not None:
            return wire.redirect_to_pb(tree.root_records(), 'other tree')
        tree.parent_search.add_hint(node)
        return wire.redirect_to_pb([], 'the other tree takes precedence')
    if node.region != tree.local_record.region:
        return _redirect_other_region(tree, node, hello)
    head = tree.region_head()
    if not hello.placed and head.node_id != tree.local_record.node_id:
        return wire.redirect_to_pb([head], 'head of the region')
    return _redirect_own_region(tree, node)


def redirect_interim_heads(
    tree: tree_module.Tree, child: children_module.Child
) -> None:
    """Redirect heads without a lease to their newly attached region root.

    Several heads of a region are harmless for a while, but each of them has
    every change sent across the region's boundary once more.
    """
    if (
        child.peer.region == tree.local_record.region
        or child.tier == TIER_NONE
    ):
        return
    for other in tree.children:
        if (
            other is not child
            and other.peer.region == child.peer.region
            and other.tier == TIER_NONE
        ):
            other.send_redirect([child.peer], 'region root')


def find_better_parent(tree: tree_module.Tree) -> model.NodeRecord | None:
    """Return the node to reattach to, or None to keep the parent.

    The parent of a region root should be the fleet root, and other nodes
    should be below the head of their region, so that a change crosses the
    boundary of a region once. A leaf that is too deep asks the head of its
    region for another parent.
    """
    parent = tree.parent
    if parent is None:
        return None
    better = None
    if parent.peer.region == tree.local_record.region:
        if _is_too_deep(tree, parent.ancestors):
            better = tree.region_head()
    elif tree.holds_region_lease():
        if parent.tier == TIER_FLEET:
            better = parent.ancestors[0]
    elif not tree.is_region_head():
        better = tree.region_head()
    if better is None or better.node_id == parent.peer.node_id:
        return None
    return better


def _is_too_deep(
    tree: tree_module.Tree, ancestors: tuple[model.NodeRecord, ...]
) -> bool:
    # Failures of inner nodes make the tree deeper, so that leaves have to
    # reattach higher up.
    if len(tree.children):
        return False
    region = tree.local_record.region
    width = tree.children.limit
    depth = sum(node.region == region for node in ancestors)
    count = sum(node.region == region for node in tree.nodes())
    needed, capacity = 0, 1
    while capacity < count:
        needed += 1
        capacity += width**needed
    return depth > needed + 1


def _refusal_reason(
    tree: tree_module.Tree, node: model.NodeRecord, hello: mesh_pb2.Hello
) -> str:
    own = tree.local_record
    if tree.leaving:
        return 'this node stops'
    if node.node_id == own.node_id:
        return 'this is the node itself'
    if node.node_id in tree.path():
        return 'the path to the root contains the node'
    target = tree.attaching_to()
    if target == node.node_id and own.node_id > target:
        return 'this node is attaching to that one'
    return ''


def _takes_precedence(tree: tree_module.Tree, hello: mesh_pb2.Hello) -> bool:
    # Only a node with children or a lease can become part of a loop.
    if hello.subtree <= 1 and hello.tier == TIER_NONE:
        return False
    return precedence(*tree.root_key()) >= precedence(
        hello.tier, hello.node.node_id
    )


def _redirect_other_region(
    tree: tree_module.Tree, node: model.NodeRecord, hello: mesh_pb2.Hello
) -> mesh_pb2.Redirect | None:
    if tree.parent is not None:
        found = tree.root_records()
        if hello.tier == TIER_NONE:
            found = tree.sample_nodes(node.region, 2, {node.node_id}) + found
        return wire.redirect_to_pb(found, 'other region')
    if hello.tier == TIER_NONE:
        for child in tree.children:
            if (
                child.peer.region == node.region
                and child.peer.node_id != node.node_id
            ):
                return wire.redirect_to_pb([child.peer], 'head of the region')
    return None


def _redirect_own_region(
    tree: tree_module.Tree, node: model.NodeRecord
) -> mesh_pb2.Redirect | None:
    if node.node_id in tree.children or tree.children.free_places():
        return None
    # Redirects to the smallest subtree keep the tree flat. Nodes redirected
    # since a child's last heartbeat count, so that nodes that attach at the
    # same time are distributed over the children.
    others = sorted(
        tree.children.in_own_region(), key=lambda child: child.load
    )
    others[0].redirected_count += 1
    return wire.redirect_to_pb(
        [child.peer for child in others[:MAX_REDIRECT_CANDIDATES]],
        'no place left',
    )
