"""Duration of the check of a node that may be unreachable.

The tests guard against checks that last longer after the failure of many
other nodes, and against ones that stay long after the cause has ended.
"""

from __future__ import annotations

import pytest

from damaskpier.fleet import check_timing

USUAL_S = check_timing.CHECK_DURATION_S
EXTENDED_S = check_timing.EXTENSION_FACTOR * USUAL_S


class Clock:
    """Clock that is set by hand."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


@pytest.fixture
def clock():
    """Return a clock that is set by hand."""
    return Clock()


@pytest.fixture
def timing(clock):
    """Return the object under test."""
    return check_timing.CheckTiming(clock)


@pytest.mark.parametrize(
    'slow, fast, expected_s',
    [
        (0, 0, USUAL_S),
        (3, 0, USUAL_S),
        (4, 0, EXTENDED_S),
        (5, 4, EXTENDED_S),
        # A third of the fleet has lost its power.
        (30, 60, USUAL_S),
    ],
)
def test_duration_depends_on_the_ratio_of_slow_messages(
    timing, slow, fast, expected_s
):
    for _ in range(slow):
        timing.record_message(0.6)
    for _ in range(fast):
        timing.record_message(0.02)
    assert timing.duration_s('node-1') == expected_s


def test_old_messages_are_not_counted(timing, clock):
    for _ in range(10):
        timing.record_message(0.6)
    assert timing.duration_s('node-1') == EXTENDED_S
    clock.now += check_timing.MESSAGE_MEMORY_S
    assert timing.duration_s('node-1') == USUAL_S
