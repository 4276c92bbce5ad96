"""Fixtures of the tests with separate processes."""

from __future__ import annotations

import pytest

from tests.test_system import processes
from tests.test_system import scenario


@pytest.fixture
def system(tmp_path):
    """Return a system whose processes end with the test."""
    running = processes.System(tmp_path)
    try:
        yield running
    finally:
        running.stop()


@pytest.fixture
def fleet(system):
    """Return a system of three regions with version 1 of the bundle applied.

    Each region has a node for an upstream of version v1 (``old0`` to ``old2``)
    and one for version v2 (``new0`` to ``new2``) of the same service. The
    bundle sends all requests to v1.
    """
    for number, (region, domain) in enumerate(scenario.LOCATIONS):
        system.start_node(f'old{number}', region, domain, 'ledger')
        system.start_node(f'new{number}', region, domain, 'ledger', 'v2')
    system.sign_off(scenario.BUNDLE.format(version='v1'))
    scenario.wait_for_version(system, 1)
    return system
