"""Event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError('all tasks wait and no timer is set')
        self.now += max(0.0, timeout)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        return self._jumping_selector.now


def run(coro: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that uses no network; its time begins at 0 s."""
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        return runner.run(coro)
