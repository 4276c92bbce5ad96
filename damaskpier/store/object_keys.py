"""Keys of the objects that are stored in the platform."""

from __future__ import annotations

CONFIG_HEAD = 'config/head'
BUNDLE_PREFIX = 'bundles/'
ROLLOUT_PREFIX = 'rollouts/'
AUDIT_PREFIX = 'audit/'
LEASE_PREFIX = 'leases/'
STATUS_PREFIX = 'status/'


def bundle_key(digest: str) -> str:
    """Return the key of a bundle with a digest."""
    return BUNDLE_PREFIX + digest


def rollout_key(move: str) -> str:
    """Return the key of the state of a move."""
    return ROLLOUT_PREFIX + move


def lease_key(name: str) -> str:
    """Return the key of a lease."""
    return LEASE_PREFIX + name
