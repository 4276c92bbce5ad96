"""Tests of the lateness of an event loop, on virtual time."""

from __future__ import annotations

import asyncio

import pytest

from damaskpier.util import loop_lag

from tests.test_fleet import virtual_time


def test_lag_is_that_of_the_latest_sample():
    """A pause of the process must not count for longer than it lasts."""

    async def run():
        lag = loop_lag.LoopLag()
        lag.start()
        await asyncio.sleep(1.0)
        assert lag.seconds == pytest.approx(0.0, abs=1e-6)
        loop = asyncio.get_running_loop()
        # The loop is busy for this time.
        loop._jumping_selector.now += 0.4
        for _ in range(3):
            await asyncio.sleep(0)
        # The sample was due within the busy time.
        assert 0.4 - 2 * loop_lag.SAMPLE_INTERVAL_S < lag.seconds <= 0.4
        await asyncio.sleep(2 * loop_lag.SAMPLE_INTERVAL_S)
        assert lag.seconds == pytest.approx(0.0, abs=1e-6)
        lag.stop()

    virtual_time.run(run())
