"""What is known of the requests that a node sent during a move.

The share of a new version must not rise on a node that sends requests to it
without anyone learning how they end: they may all hang, or the evaluators may
be unreachable.
"""

from __future__ import annotations

# A count that no evaluator has received for this time is missing there; its
# message is sent again several times within it.
MAX_UNRECEIVED_S = 1.2
# So many requests to the new version without an end, or so many ends with the
# old one and none with the new one, are no coincidence.
MIN_SENT = 3
MIN_OLD_ENDS = 80


class MoveEvidence:
    """State of the evidence of one move on one node."""

    def __init__(self) -> None:
        self._sent_to_new = 0
        self._old_ends = 0
        self._new_ends = 0
        self._unreceived_since: float | None = None

    def record_sent(self) -> None:
        """Record that a request is sent to the new version."""
        self._sent_to_new += 1

    def record_ends(self, old: int, new: int) -> None:
        """Record the ends of requests of both versions, of any node.

        An evaluator records those of its own requests twice.
        """
        self._old_ends += old
        self._new_ends += new

    def record_counts_sent(self, now: float) -> None:
        """Record that counts are sent to the evaluators."""
        if self._unreceived_since is None:
            self._unreceived_since = now

    def record_counts_received(self) -> None:
        """Record that an evaluator has received counts."""
        self._unreceived_since = None

    def is_missing(self, now: float) -> bool:
        """Return whether it is unknown how the new version does."""
        since = self._unreceived_since
        if since is not None and now >= since + MAX_UNRECEIVED_S:
            return True
        return not self._new_ends and (
            self._sent_to_new >= MIN_SENT or self._old_ends >= MIN_OLD_ENDS
        )
