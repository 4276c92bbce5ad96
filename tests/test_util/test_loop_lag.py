"""Tests of the lateness of an event loop, on virtual time."""

from __future__ import annotations

import asyncio

import pytest

from damaskpier.util import loop_lag

from tests.test_fleet import virtual_time


def test_lag_counts_when_it_lasts():
    """A pause of the process, or one long step, is over when it is seen."""

    async def run():
        lag = loop_lag.LoopLag()
        lag.start()
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        seen = []
        for _ in range(2):
            # The loop is busy for this time.
            loop._jumping_selector.now += 0.4
            for _ in range(3):
                await asyncio.sleep(0)
            seen.append(lag.seconds)
        assert seen[0] == pytest.approx(0.0, abs=1e-6)
        # The sample was due within the busy time.
        assert 0.4 - 2 * loop_lag.SAMPLE_INTERVAL_S < seen[1] <= 0.4
        await asyncio.sleep(2 * loop_lag.SAMPLE_INTERVAL_S)
        assert lag.seconds == pytest.approx(0.0, abs=1e-6)
        lag.stop()

    virtual_time.run(run())
