"""Background tasks that run as long as the process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

LOG = logging.getLogger(__name__)

# Delay before a function that failed or returned is called again.
RESTART_DELAY_S = 0.5


def keep_running(
    name: str, run: Callable[[], Awaitable[None]]
) -> asyncio.Task[None]:
    """Return a task that calls a function again whenever it ends.

    An exception is logged.

    :param name: name of the task, as in log lines
    """

    async def run_forever() -> None:
        while True:
            try:
                await run()
            except Exception:
                LOG.exception('kernel: task %s failed, restarting it', name)
            await asyncio.sleep(RESTART_DELAY_S)

    return asyncio.create_task(run_forever(), name=name)
