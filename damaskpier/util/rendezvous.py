"""Rendezvous hashing: an order of nodes for a key that changes little."""

from __future__ import annotations

import hashlib

SCORE_BYTES = 8


def score(key: str, node_id: str) -> bytes:
    """Return the place of a node in the order for a key; the lowest is first.

    Different keys order the nodes differently, and a node that is added or
    removed does not change the order of the others.
    """
    return hashlib.blake2b(
        f'{key}\0{node_id}'.encode(), digest_size=SCORE_BYTES
    ).digest()
