"""States and evidence of moves."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Phase(enum.Enum):
    """Phase of a move; the values stand in messages and objects."""

    RUNNING = 'running'
    DONE = 'done'
    TAKEN_BACK = 'taken_back'


class MoveState(NamedTuple):
    """Decision about a move.

    States are ordered by ``(epoch, seq)``; :attr:`Phase.TAKEN_BACK` wins
    whatever the order.
    """

    move: str
    epoch: int
    seq: int
    phase: Phase
    shares: dict[str, float]  # by route, 0..1
    reason: str = ''
    result: int = 0  # number of a result code, 0 while running

    @property
    def order(self) -> tuple[bool, int, int]:
        """Return the key that orders the states of one move."""
        return self.phase is Phase.TAKEN_BACK, self.epoch, self.seq


class Sample(NamedTuple):
    """Outcome of one request of a route with a running move.

    ``ms`` is the time to the answer; ``failed`` is true for a status of
    500 or above and for a request without an answer.
    """

    move: str
    route: str
    is_new: bool
    failed: bool
    ms: float
