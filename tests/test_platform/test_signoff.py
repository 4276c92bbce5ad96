"""Tests of sign-off and take-back."""

from __future__ import annotations

import pytest

from damaskpier import errors
from damaskpier.platform import memory
from damaskpier.platform import signoff


def moved(bundle, version, service='ledger'):
    """Return a bundle with another version of a service."""
    spec = bundle.services[service]._replace(version=version)
    return bundle._replace(services={**bundle.services, service: spec})


@pytest.fixture
def store():
    """Return a store in memory."""
    return memory.MemoryObjectStore()


async def test_a_first_sign_off_starts_no_move(store, bundle):
    head = await signoff.sign_off(store, bundle, 0, 'ana', None, '', 100.0)
    assert (head.version, head.moves, head.signed_by) == (1, (), 'ana')
    snapshot = await signoff.read_snapshot(store)
    assert snapshot == (head, bundle)


async def test_a_changed_version_starts_a_move_that_is_taken_back(
    store, bundle
):
    await signoff.sign_off(store, bundle, 0, 'ana', None, '', 100.0)
    head = await signoff.sign_off(
        store, moved(bundle, 'v2'), 1, 'ana', 160.0, '', 100.0
    )
    (move,) = head.moves
    assert move == ('ledger-v1-v2-2', 'ledger', 'v1', 'v2', 100.0, 160.0)
    for _ in range(2):  # the second call changes nothing
        after = await signoff.take_back(
            store,
            move.move,
            'n1',
            'bad',
            errors.ROLLOUT_FAILURES,
            1,
            110.0,
        )
        assert (after.version, after.moves) == (3, ())
    assert (await signoff.read_snapshot(store)).bundle == bundle
