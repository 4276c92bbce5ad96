"""Time of the event loop, which tests advance without a wait."""

from __future__ import annotations

import asyncio


class LoopTime:
    """Advances the time of the running event loop.

    Its timers are due at once, before the loop reads its sockets again, like
    after a pause of the process.

    :param monkeypatch: fixture that restores the time at the end of the test
    """

    def __init__(self, monkeypatch):
        loop = asyncio.get_running_loop()
        self._real_time = loop.time
        self._offset_s = 0.0
        monkeypatch.setattr(loop, 'time', self.time)

    def time(self):
        """Return the time of the event loop."""
        return self._real_time() + self._offset_s

    async def advance(self, seconds):
        """Advance the time and run one iteration of the loop."""
        self._offset_s += seconds
        await asyncio.sleep(0)
