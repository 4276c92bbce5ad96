"""Measures how late an event loop runs what is due."""

from __future__ import annotations

import asyncio

SAMPLE_INTERVAL_S = 0.05


class LoopLag:
    """Lateness of the running event loop.

    Data that has arrived waits about as long until the loop reads it, so that
    a request has used up this time before it is seen. ``seconds`` is the
    smaller one of the two latest samples: a single late one is that of a pause
    or of one long step, which is over.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._latest_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to take samples."""
        self._schedule()

    def stop(self) -> None:
        """Stop to take samples."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time() + SAMPLE_INTERVAL_S
        self._timer = loop.call_at(due_at, self._sample, due_at)

    def _sample(self, due_at: float) -> None:
        late_s = max(0.0, asyncio.get_running_loop().time() - due_at)
        self.seconds = min(late_s, self._latest_s)
        self._latest_s = late_s
        self._schedule()
