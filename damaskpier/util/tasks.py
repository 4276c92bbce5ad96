"""Tasks that run as long as the process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

LOG = logging.getLogger(__name__)

# Pause before a task that failed runs again.
RESTART_S = 0.5


def keep_running(
    name: str, run: Callable[[], Awaitable[None]]
) -> asyncio.Task[None]:
    """Return a task that runs a function again whenever it fails.

    :param name: of the task in log lines
    """

    async def forever() -> None:
        while True:
            try:
                await run()
            except Exception:
                LOG.exception('kernel: task %s failed, it starts again', name)
            await asyncio.sleep(RESTART_S)

    return asyncio.create_task(forever(), name=name)
