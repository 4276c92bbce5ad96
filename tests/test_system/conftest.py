"""Fixtures of the tests with whole processes."""

from __future__ import annotations

import pytest

from tests.test_system import processes


@pytest.fixture
def system(tmp_path):
    """Give a system whose processes end with the test."""
    running = processes.System(tmp_path)
    try:
        yield running
    finally:
        running.stop()
