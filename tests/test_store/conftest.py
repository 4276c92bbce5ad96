"""Fixtures of the tests of the object store."""

from __future__ import annotations

import random

import pytest

from damaskpier.bundle import loader
from damaskpier import config
from damaskpier.fakes import platform as fake
from damaskpier.store import http
from damaskpier.store import memory
from tests.test_store import stepped_store

BUNDLE = """\
services:
  ledger: {version: v1, slots: 20}
  parcels: {version: v1}
routes:
  ledger.retire: {service: ledger, method: POST, path: /ledger/retire}
  parcels.get: {service: parcels, method: GET, path: /parcels/*}
"""


@pytest.fixture
def bundle():
    """Return a bundle of two services in version v1."""
    return loader.loads(BUNDLE)


@pytest.fixture
async def running():
    """Serve a fake platform."""
    running = fake.start_platform(fake.Platform())
    yield running
    await running.stop()


@pytest.fixture
async def store(running):
    """Return an HTTP client of the fake platform."""
    store = http.HttpObjectStore(
        config.Address('127.0.0.1', running.port),
        timeout_s=5.0,
        rng=random.Random(1),
    )
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
def driver():
    """Return a driver that answers calls step by step."""
    driver = stepped_store.Driver()
    yield driver
    driver.close()


@pytest.fixture
def memory_store():
    """Return a store in memory."""
    return memory.MemoryObjectStore()
