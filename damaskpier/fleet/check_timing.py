"""Time that a node gets to answer before it is marked as gone."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpier.mesh import model as mesh_model

# A node is marked as gone when nothing was received from it for this time
# after the first of two messages. Both may be answered until then, because an
# answer over a link that is full takes longer than other messages may take.
CHECK_DURATION_S = 1.2
# A check lasts longer by this factor where an answer is known to take longer.
EXTENSION_FACTOR = 2.0
# A node that has refuted a tombstone gets more time for this time, because
# its link may still be full.
REFUTATION_MEMORY_S = 10.0
# A node most of whose recent messages took SLOW_MESSAGE_S or longer can not
# tell a lost node from its own full link, and waits longer before it accuses
# one (Dadgar et al., "Lifeguard: Local Health Awareness for More Accurate
# Failure Detection", 2018).
SLOW_MESSAGE_S = 0.3
MESSAGE_MEMORY_S = 3.0
MIN_MESSAGES = 4
# Larger than the messages of a few broadcasts to a large fleet.
MAX_MESSAGES = 1000


class CheckTiming:
    """Derives the duration of a check from what was observed before.

    :param clock: returns the time in seconds
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        # Incarnations of the nodes that are marked as gone.
        self._tombstones: dict[str, int] = {}
        self._refuted_at: dict[str, float] = {}
        # Time of the end of a message, and whether it was slow.
        self._messages: collections.deque[tuple[float, bool]] = (
            collections.deque(maxlen=MAX_MESSAGES)
        )

    def record_changes(self, records: Iterable[mesh_model.NodeRecord]) -> None:
        """Record tombstones and which nodes have refuted theirs.

        A restarted node has a higher incarnation and refutes nothing.
        """
        for record in records:
            if record.gone:
                self._tombstones[record.node_id] = record.incarnation
            elif (
                self._tombstones.pop(record.node_id, None)
                == record.incarnation
            ):
                self._refuted_at[record.node_id] = self._clock()

    def record_message(self, took_s: float) -> None:
        """Record a message to a node that is believed to be alive.

        :param took_s: time to the reply, or until there was none, in seconds
        """
        self._messages.append((self._clock(), took_s >= SLOW_MESSAGE_S))

    def duration_s(self, node_id: str) -> float:
        """Return the duration of a check of a node in seconds."""
        if self._has_refuted_recently(node_id) or self.gets_few_replies():
            return EXTENSION_FACTOR * CHECK_DURATION_S
        return CHECK_DURATION_S

    def gets_few_replies(self) -> bool:
        """Return whether most of the recent messages of this node were slow.

        The likeliest cause is then the link of this node.
        """
        oldest = self._clock() - MESSAGE_MEMORY_S
        while self._messages and self._messages[0][0] <= oldest:
            self._messages.popleft()
        slow = sum(is_slow for _, is_slow in self._messages)
        count = len(self._messages)
        return count >= MIN_MESSAGES and 2 * slow > count

    def _has_refuted_recently(self, node_id: str) -> bool:
        refuted_at = self._refuted_at.get(node_id)
        if refuted_at is None:
            return False
        if self._clock() - refuted_at < REFUTATION_MEMORY_S:
            return True
        del self._refuted_at[node_id]
        return False
