"""Distribution tree of the nodes of a simulated fleet."""

from __future__ import annotations

from typing import NamedTuple

MAX_CHILDREN = 8
DELAY_BETWEEN_DOMAINS_S = 0.008
DELAY_WITHIN_DOMAIN_S = 0.0015


class Tree(NamedTuple):
    """Parents and children by node; node 0 is the fleet root."""

    parent: tuple[int, ...]
    children: tuple[tuple[int, ...], ...]
    depth: tuple[int, ...]


def make_tree(nodes: int, domains: int) -> Tree:
    """Build the tree of a fleet.

    The first node of each failure domain is its root; the roots form a tree
    below node 0, and the other nodes a tree below their root.
    """
    parent = [0] * nodes
    depth = [0] * nodes
    children: list[list[int]] = [[] for _ in range(nodes)]
    for node in range(1, nodes):
        if node < domains:
            above = (node - 1) // MAX_CHILDREN
        else:
            place = node // domains
            above = (place - 1) // MAX_CHILDREN * domains + node % domains
        parent[node] = above
        depth[node] = depth[above] + 1
        children[above].append(node)
    return Tree(tuple(parent), tuple(tuple(c) for c in children), tuple(depth))


def delay_s(one: int, other: int, domains: int) -> float:
    """Return the one-way delay between two nodes, in s."""
    if one % domains == other % domains:
        return DELAY_WITHIN_DOMAIN_S
    return DELAY_BETWEEN_DOMAINS_S
