"""Tests of sign-off and take-back."""

from __future__ import annotations

import pytest

from damaskpier import errors
from damaskpier.rollout import model
from damaskpier.store import moves
from damaskpier.store import object_keys
from damaskpier.store import signoff


def with_version(bundle, version, service='ledger'):
    """Return a bundle with another version of a service."""
    spec = bundle.services[service]._replace(version=version)
    return bundle._replace(services={**bundle.services, service: spec})


async def test_a_first_sign_off_starts_no_move(memory_store, bundle):
    head = await signoff.sign_off(
        memory_store, bundle, 0, 'ana', None, '', 100.0
    )
    assert (head.version, head.moves, head.signed_by) == (1, (), 'ana')
    snapshot = await signoff.read_snapshot(memory_store)
    assert snapshot == (head, bundle)


async def test_a_changed_version_starts_a_move_that_is_taken_back(
    memory_store, bundle
):
    await signoff.sign_off(memory_store, bundle, 0, 'ana', None, '', 100.0)
    head = await signoff.sign_off(
        memory_store, with_version(bundle, 'v2'), 1, 'ana', 160.0, '', 100.0
    )
    (move,) = head.moves
    assert move == ('ledger-v1-v2-2', 'ledger', 'v1', 'v2', 100.0, 160.0)
    for _ in range(2):  # the second call changes nothing
        after = await signoff.take_back(
            memory_store,
            move.move,
            'n1',
            'bad',
            errors.ROLLOUT_FAILURES,
            1,
            110.0,
        )
        assert (after.version, after.moves) == (3, ())
    assert (await signoff.read_snapshot(memory_store)).bundle == bundle


async def test_a_move_that_a_sign_off_replaced_is_not_reported_taken_back(
    memory_store, bundle
):
    """Guards against a take-back that reports success without effect.

    A concurrent sign-off reads that the move is done, and its head is
    written before that of the take-back, so the version to be taken back
    stays in force.
    """
    await signoff.sign_off(memory_store, bundle, 0, 'ana', None, '', 100.0)
    head = await signoff.sign_off(
        memory_store, with_version(bundle, 'v2'), 1, 'ana', None, '', 100.0
    )
    move = head.moves[0].move
    state = model.MoveState(move, 1, 1, model.Phase.DONE, {})
    await moves.write_move_state(memory_store, state, {}, 'n1', 110.0)
    head = await signoff.sign_off(
        memory_store, with_version(bundle, 'v3'), 2, 'ana', None, '', 120.0
    )
    assert head.moves[0].old == 'v2'
    await moves.write_taken_back(
        memory_store, move, 'n1', 'bad', errors.ROLLOUT_SLOW, 1, 121.0
    )
    outcome = await signoff.take_back(
        memory_store, move, 'n1', 'bad', errors.ROLLOUT_SLOW, 1, 122.0
    )
    assert outcome.code is errors.PLATFORM_NOT_FOUND
    assert 'a later move is on top' in outcome.reason


def sign_off_up_to_head(driver, bundle, operator):
    """Start a sign-off and answer its calls up to the write of the head."""
    args = (bundle, None, operator, None, '', 100.0)
    task = driver.start(True, signoff.sign_off, *args)
    while driver.network[0].key != object_keys.CONFIG_HEAD or (
        not driver.network[0].is_write
    ):
        driver.answer(0)
    return task


def test_a_bundle_about_to_be_signed_off_is_not_pruned(driver, bundle):
    """Guards against a head that refers to a deleted bundle.

    Pruning runs after the bundle was written and before the head that
    refers to it is.
    """
    args = (bundle, None, 'ana', None, '', 100.0)
    driver.start(False, signoff.sign_off, *args)
    task = sign_off_up_to_head(driver, with_version(bundle, 'v2'), 'ben')
    assert driver.start(False, signoff.prune).result() == 0
    driver.finish()
    assert task.result().version == 2
    read = driver.start(False, signoff.read_snapshot).result()
    assert read.bundle == with_version(bundle, 'v2')


@pytest.mark.parametrize(
    ('later', 'is_known'),
    [(1, True), (signoff.KEPT_BUNDLE_COUNT, False)],
)
def test_a_sign_off_with_a_lost_answer_is_found_after_later_ones(
    driver, bundle, later, is_known
):
    """Guards against "not applied" for a sign-off that was in force.

    Its head takes effect but the answer is lost, and later versions replace
    it before the writer reads the head. The writer finds its write while
    the head lists it in ``recent``; later the outcome is unknown.
    """
    task = sign_off_up_to_head(driver, bundle, 'ben')
    driver.apply(0)
    driver.lose(0)
    for _ in range(later):
        args = (bundle, None, 'ana', None, '', 100.0)
        driver.start(False, signoff.sign_off, *args)
    driver.finish()
    outcome = task.result()
    if is_known:
        assert (outcome.version, outcome.signed_by) == (1, 'ben')
    else:
        assert outcome.code is errors.PLATFORM_UNKNOWN
