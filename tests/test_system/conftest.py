"""Fixtures of the tests with whole processes."""

from __future__ import annotations

import pytest

from tests.test_system import processes
from tests.test_system import scenario


@pytest.fixture
def system(tmp_path):
    """Give a system whose processes end with the test."""
    running = processes.System(tmp_path)
    try:
        yield running
    finally:
        running.stop()


@pytest.fixture
def fleet(system):
    """Give three regions with a worker of each version of one service."""
    for number, (region, domain) in enumerate(scenario.PLACES):
        system.start_node(f'old{number}', region, domain, 'ledger')
        system.start_node(f'new{number}', region, domain, 'ledger', 'v2')
    system.sign_off(scenario.BUNDLE.format(version='v1'))
    scenario.wait_for_version(system, 1)
    return system
