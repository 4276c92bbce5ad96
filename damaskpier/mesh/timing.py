"""Time constants of membership and of the distribution tree."""

from __future__ import annotations

from typing import NamedTuple


class Timing(NamedTuple):
    """Intervals and time limits in seconds.

    The defaults are those of the design; tests pass scaled values.
    """

    # A peer that sends nothing for three heartbeats counts as lost.
    heartbeat_s: float = 1.0
    silence_s: float = 3.0
    # Announcements come once a second; three missed ones end the worker.
    announce_expiry_s: float = 3.0
    # Tombstones outlive every delta that may still be under way.
    tombstone_s: float = 60.0
    # Membership changes within this time share one message, so that the
    # return of many nodes is not one message per record and edge.
    batch_s: float = 0.05
    connect_s: float = 1.0
    # First and longest pause between rounds of attempts to find a parent.
    backoff_low_s: float = 0.1
    backoff_high_s: float = 3.0
    # Pause between reads of a contested lease, jittered by half.
    contest_poll_s: float = 1.5
    # Pause before a contest by a node that was no child of the lost root.
    contest_delay_s: float = 3.0
    # The head of a region marks a node of its region as gone after this
    # time without being below it, the fleet root a node of another region.
    orphan_s: float = 8.0
    region_gone_s: float = 30.0
    # A region root waits this long for the tree to bring a new version
    # before it reads the platform.
    fetch_grace_s: float = 0.3
    # Pause between attempts to read the platform after a failure.
    read_retry_s: float = 1.0
    evidence_s: float = 1.0
    # A leaving node waits this long for its last messages to be sent.
    leave_s: float = 0.5

    def scaled(self, factor: float) -> Timing:
        """Return the same constants multiplied by a factor."""
        return Timing(*(value * factor for value in self))
