"""Tests of background tasks."""

from __future__ import annotations

import asyncio

from damaskpier.util import tasks


async def test_task_that_fails_runs_again(monkeypatch):
    monkeypatch.setattr(tasks, 'RESTART_DELAY_S', 0.0)
    runs = asyncio.Queue()

    async def run():
        runs.put_nowait(None)
        raise ValueError('a fault')

    task = tasks.keep_running('test', run)
    for _ in range(3):
        await asyncio.wait_for(runs.get(), 20)
    task.cancel()
