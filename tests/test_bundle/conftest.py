"""Fixtures of the bundle tests."""

from __future__ import annotations

import pytest

from damaskpier.bundle import codec
from damaskpier.bundle import loader
from damaskpier.bundle import model

TEXT = """\
services:
  ledger: {version: v1, slots: 20, queue: 40, policy: two_choices}
  parcels:
    version: v1
routes:
  ledger.retire: {service: ledger, method: POST, path: /ledger/retire}
  parcels.get:
    service: parcels
    method: GET
    path: /parcels/*
    repeatable: true
"""


@pytest.fixture
def text():
    """Return the YAML text of a bundle."""
    return TEXT


@pytest.fixture
def bundle():
    """Return the bundle of the text."""
    return loader.loads(TEXT)


@pytest.fixture
def snapshot(bundle):
    """Return a configuration with a move."""
    move = model.Move('parcels-v0-v1-7', 'parcels', 'v0', 'v1', 1.0, 61.0)
    head = model.Head(
        7, codec.bundle_digest(bundle), (move,), 'ana', 1.0, 'w', '', 6, 'd'
    )
    return model.Snapshot(head, bundle)
