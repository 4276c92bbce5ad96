"""Decision whether a node knows the configuration well enough for keys.

All times are those of one monotonic clock in seconds, which also runs while
the process is stopped.
"""

from __future__ import annotations

import math

# A watch of the store waits for this part of the limit at most. Its answer
# shows that nothing had changed when it was sent, so that in contact with the
# store the age stays below two of these waits and the time of two calls.
WATCH_WAIT_RATIO = 0.2
# From this part of the limit on, a node asks other nodes.
ASK_AGE_RATIO = 0.45


class Contact:
    """Time as of which this node had the configuration of the store.

    :param limit_s: age from which no key is accepted
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self._as_of = -math.inf

    def record_store(self, asked_at: float) -> None:
        """Record an answer of the store.

        :param asked_at: time at which the call began
        """
        self._as_of = max(self._as_of, asked_at)

    def record_node(
        self, asked_at: float, age_s: float, *, is_as_new: bool
    ) -> None:
        """Record the answer of another node.

        The age of the other node counts from the question: how long the
        answer took on its way is unknown.

        :param asked_at: time at which the question was sent
        :param age_s: age that the other node stated
        :param is_as_new: whether this node's configuration is at least as new
            as that of the other one; otherwise a key that is removed there may
            be valid here
        """
        if is_as_new:
            self._as_of = max(self._as_of, asked_at - age_s)

    def age_s(self, now: float) -> float:
        """Return how old the knowledge is; infinite before the first answer.

        The stated age passes on to other nodes, where it grows further, so
        that nodes without contact do not keep each other in contact.
        """
        return now - self._as_of

    def is_lost(self, now: float) -> bool:
        """Return whether no key may be accepted."""
        return self.age_s(now) >= self.limit_s

    def needs_question(self, now: float) -> bool:
        """Return whether other nodes are to be asked."""
        return self.age_s(now) >= ASK_AGE_RATIO * self.limit_s
