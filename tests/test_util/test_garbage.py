"""Tests of the settings of the garbage collector."""

from __future__ import annotations

import gc

import pytest

from damaskpier.util import garbage


@pytest.fixture
def collector():
    """Restore the settings of the garbage collector."""
    threshold = gc.get_threshold()
    yield
    gc.unfreeze()
    gc.set_threshold(*threshold)


def test_cycles_are_still_collected(collector):
    """Requests that fail leave cycles, which must not fill the memory."""
    garbage.reduce_collections()
    assert gc.get_freeze_count() > 0
    before = gc.get_stats()[0]['collected']
    for _ in range(3 * garbage.YOUNG_OBJECTS):
        cycle = []
        cycle.append(cycle)
    assert gc.get_stats()[0]['collected'] - before > garbage.YOUNG_OBJECTS
