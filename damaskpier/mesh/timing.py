"""Intervals and timeouts of membership and of the distribution tree."""

from __future__ import annotations

from typing import NamedTuple


class Timing(NamedTuple):
    """Intervals and timeouts in seconds.

    The defaults follow the design; tests pass scaled values.
    """

    # A peer is lost after three heartbeat intervals without a message.
    heartbeat_s: float = 1.0
    silence_timeout_s: float = 3.0
    # Upstreams announce themselves once a second; after three missed
    # announcements the worker is removed.
    announce_expiry_s: float = 3.0
    # Longer than any delta may be in transit, so that an old record does not
    # restore a node that is gone.
    tombstone_s: float = 60.0
    # Membership changes within this time are sent in one message, so that the
    # restart of many nodes does not cost one message per record and edge.
    batch_s: float = 0.05
    connect_timeout_s: float = 1.0
    # Shortest and longest backoff between rounds of attempts to attach.
    backoff_min_s: float = 0.1
    backoff_max_s: float = 3.0
    # Interval between attempts to acquire a lease, with a jitter of half.
    lease_poll_s: float = 1.5
    # Delay of the first attempt at a lease by a node that was not a child of
    # the lost root.
    lease_delay_s: float = 3.0
    # Time after which a node that is not attached is marked as gone: in its
    # own region by the head of that region, and in another region by the
    # fleet root.
    orphan_timeout_s: float = 8.0
    other_region_timeout_s: float = 30.0
    # A region root waits this long for a new version to arrive by the tree
    # before it reads it from the platform.
    fetch_grace_s: float = 0.3
    # Delay before another attempt to read the platform after a failure.
    read_retry_s: float = 1.0
    evidence_s: float = 1.0
    # A stopping node waits this long for its last messages to be sent.
    drain_timeout_s: float = 0.5

    def scaled(self, factor: float) -> Timing:
        """Return a copy with all values multiplied by a factor."""
        return Timing(*(value * factor for value in self))
