"""Sign-off and take-back, the only writers of ``config/head``.

The content of a bundle is written before the head that refers to it. The
conditional update of the head allocates the version, so that versions
strictly increase and each is written once. The head also lists the
``write_id`` of the last versions in ``recent``, so that a writer whose answer
was lost finds its write after later versions too, and the last moves that
were taken back in ``taken_back``.
"""

from __future__ import annotations

import logging
from typing import Any
from typing import NamedTuple

from damaskpier.bundle import check
from damaskpier.bundle import codec
from damaskpier.bundle import model
from damaskpier import errors
from damaskpier.rollout import model as rollout_model
from damaskpier.store import base
from damaskpier.store import memory
from damaskpier.store import moves
from damaskpier.store import object_keys
from damaskpier.store import object_values

LOG = logging.getLogger(__name__)

# Used if the operator states no time by which a move must finish.
DEFAULT_MOVE_DURATION_S = 600.0
# Versions in the head's list ``recent``, whose bundles are not pruned.
KEPT_BUNDLE_COUNT = 20
# States that are not pruned, of moves that are no longer in the head.
KEPT_MOVE_COUNT = 200
# Identifiers of moves in the head's list ``taken_back``.
KEPT_TAKEN_BACK_COUNT = 50
# Pruning lists all bundles, so it runs only once in 20 versions.
PRUNE_INTERVAL_VERSIONS = 20
# A take-back has to succeed while operators sign off. An attempt fails only
# if another writer changed the head first.
MAX_TAKE_BACK_ATTEMPTS = 20
# If the head is replaced many times between the two reads of a snapshot, the
# bundle may be pruned before the second read.
MAX_READ_ATTEMPTS = 3


class StoredHead(NamedTuple):
    """Stored head.

    ``store_version`` is the version of the object, ``recent`` lists the
    version, ``write_id`` and digest of the last heads, and ``taken_back`` the
    identifiers of the last moves that were taken back.
    """

    head: model.Head
    store_version: int
    recent: tuple[dict[str, Any], ...]
    taken_back: tuple[str, ...]

    def write_id_of(self, version: int) -> str | None:
        """Return the ``write_id`` of a version, None if it is too old."""
        for item in self.recent:
            if item['version'] == version:
                return item['write_id']
        return None

    def has_digest(self, digest: str) -> bool:
        """Return whether a recent head refers to a bundle.

        Such a bundle is not pruned.
        """
        return any(item['digest'] == digest for item in self.recent)


async def read_head(
    store: base.ObjectStore,
) -> StoredHead | errors.Refusal:
    """Return the head.

    :returns: the head, or a refusal: ``PLATFORM_NOT_FOUND`` before the first
        sign-off
    """
    stored = await store.get(object_keys.CONFIG_HEAD)
    if isinstance(stored, errors.Refusal):
        return stored
    return parse_head(stored)


def parse_head(stored: base.StoredObject) -> StoredHead | errors.Refusal:
    """Return the head that a stored object contains."""
    try:
        head = codec.decode_head(stored.value)
    except errors.BundleError as exc:
        return errors.Refusal(exc.code, f'{stored.key}: {exc.reason}')
    fields = object_values.decode(stored.value)
    return StoredHead(
        head,
        stored.version,
        tuple(fields.get('recent', ())),
        tuple(fields.get('taken_back', ())),
    )


async def read_bundle(
    store: base.ObjectStore, digest: str
) -> model.Bundle | errors.Refusal:
    """Return the bundle with a digest.

    :returns: the bundle, or a refusal: ``CONFIG_DIGEST`` if the stored
        content has another digest
    """
    stored = await store.get(object_keys.bundle_key(digest))
    if isinstance(stored, errors.Refusal):
        return stored
    if codec.digest(stored.value) != digest:
        return errors.Refusal(
            errors.CONFIG_DIGEST, f'{stored.key} holds other content'
        )
    try:
        return codec.decode_bundle(stored.value)
    except errors.BundleError as exc:
        return errors.Refusal(exc.code, f'{stored.key}: {exc.reason}')


async def read_snapshot(
    store: base.ObjectStore,
) -> model.Snapshot | errors.Refusal:
    """Return the signed-off configuration: the head and its bundle."""
    read = await _read_current(store)
    if isinstance(read, errors.Refusal):
        return read
    current, bundle = read
    return model.Snapshot(current.head, bundle)


async def sign_off(
    store: base.ObjectStore,
    bundle: model.Bundle,
    base_version: int | None,
    operator: str,
    by: float | None,
    note: str,
    now: float,
) -> model.Head | errors.Refusal:
    """Put a bundle in force as a new version.

    :param base_version: version that the bundle was derived from, 0 before
        the first one; None for the version in force
    :param by: time by which the moves that start must finish, in seconds
        since the epoch; None for :data:`DEFAULT_MOVE_DURATION_S` from now
    :param now: seconds since the epoch
    :returns: the new head, or a refusal. ``PLATFORM_UNKNOWN`` is the only
        one after which the bundle may be in force.
    """
    if refusal := check.check_bundle(bundle):
        return refusal
    read = await _read_current(store)
    current, old = None, None
    if not isinstance(read, errors.Refusal):
        current, old = read
    elif read.code is not errors.PLATFORM_NOT_FOUND:
        return read
    version = current.head.version if current else 0
    if base_version is not None and base_version != version:
        return _conflict(current, f'the bundle is based on {base_version}')
    planned = await _plan_moves(store, current, old, bundle, by, now)
    if isinstance(planned, errors.Refusal):
        return planned
    head = _next_head(current, bundle, planned, operator, note, now)
    return await _commit(store, current, head, bundle)


async def take_back(
    store: base.ObjectStore,
    move: str,
    by_whom: str,
    reason: str,
    result: errors.ResultCode,
    epoch: int | None,
    now: float,
) -> model.Head | errors.Refusal:
    """Take a move back; idempotent, so that it can be retried.

    First the move's state becomes ``taken_back``. Then a new head is written
    that restores the old version of the service and omits the move.

    :param move: identifier of the move
    :param by_whom: operator, or node that decided
    :param epoch: fencing token of the decider's lease, None for operators
    :param now: seconds since the epoch
    :returns: the head that is in force after the move was taken back, or a
        refusal. ``PLATFORM_NOT_FOUND`` is final: the head has no such move,
        or a concurrent sign-off started a later move of the service, so that
        this one can not be undone.
    """
    state = None
    for _ in range(MAX_TAKE_BACK_ATTEMPTS):
        read = await _read_current(store)
        if isinstance(read, errors.Refusal):
            return read
        current, bundle = read
        found = _find_move(current.head, move)
        if found is None:
            return await _resolve_missing_move(store, current, move)
        if state is None:
            state = await moves.write_taken_back(
                store, move, by_whom, reason, result, epoch, now
            )
            if isinstance(state, errors.Refusal):
                return state
        spec = bundle.services[found.service]._replace(version=found.old)
        restored = bundle._replace(
            services={**bundle.services, found.service: spec}
        )
        others = tuple(
            item for item in current.head.moves if item.move != move
        )
        note = f'take back {move}: {reason}'
        head = _next_head(current, restored, others, by_whom, note, now)
        outcome = await _commit(store, current, head, restored, move)
        if not isinstance(outcome, errors.Refusal):
            return outcome
        if outcome.code is not errors.PLATFORM_CONFLICT:
            return outcome
    return errors.Refusal(
        errors.PLATFORM_CONFLICT,
        f'{move}: the head changed {MAX_TAKE_BACK_ATTEMPTS} times in a row',
    )


async def prune(store: base.ObjectStore) -> int | errors.Refusal:
    """Delete bundles and move states that are no longer needed.

    A bundle is deleted only if no recent head refers to it and it is older
    than the current head. A concurrent sign-off that will refer to it writes
    the object again after it has read the head, which changes the object's
    version, so that the conditional deletion fails.

    :returns: number of deleted objects, or the refusal of a read
    """
    current = await read_head(store)
    if isinstance(current, errors.Refusal):
        return current
    bundles = await store.list(object_keys.BUNDLE_PREFIX)
    if isinstance(bundles, errors.Refusal):
        return bundles
    states = await store.list(object_keys.ROLLOUT_PREFIX)
    if isinstance(states, errors.Refusal):
        return states
    in_force = {
        object_keys.rollout_key(move.move) for move in current.head.moves
    }
    old_states = sorted(
        (item for item in states if item.key not in in_force),
        key=lambda item: item.version,
    )[:-KEPT_MOVE_COUNT]
    unused = [
        item
        for item in bundles
        if item.version < current.store_version
        and not current.has_digest(
            item.key.removeprefix(object_keys.BUNDLE_PREFIX)
        )
    ]
    deleted = 0
    for item in unused + old_states:
        if await store.delete(item.key, item.version) is True:
            deleted += 1
    return deleted


async def _read_current(
    store: base.ObjectStore,
) -> tuple[StoredHead, model.Bundle] | errors.Refusal:
    for attempt in range(MAX_READ_ATTEMPTS):
        current = await read_head(store)
        if isinstance(current, errors.Refusal):
            return current
        bundle = await read_bundle(store, current.head.digest)
        if not isinstance(bundle, errors.Refusal):
            return current, bundle
        if bundle.code is not errors.PLATFORM_NOT_FOUND:
            return bundle
    # PLATFORM_NOT_FOUND would mean that nothing was signed off yet.
    return errors.Refusal(errors.CONFIG_DIGEST, bundle.reason)


async def _plan_moves(
    store: base.ObjectStore,
    current: StoredHead | None,
    old: model.Bundle | None,
    new: model.Bundle,
    by: float | None,
    now: float,
) -> tuple[model.Move, ...] | errors.Refusal:
    """Return the moves of a new head.

    A service whose version changes starts a move; other services keep
    theirs.

    :returns: the moves, or a refusal: ``ROLLOUT_OPEN`` if a service that
        changes has a move that is not done, ``ROLLOUT_TIME`` if ``by`` is
        not in the future
    """
    if current is None or old is None:
        return ()
    planned = []
    earlier = {move.service: move for move in current.head.moves}
    for name, before in old.services.items():
        after = new.services.get(name)
        if after is not None and after.version == before.version:
            if name in earlier:
                planned.append(earlier[name])
            continue
        if name in earlier:
            if refusal := await _refuse_unless_done(store, earlier[name]):
                return refusal
        if after is None:
            continue
        if by is not None and by <= now:
            return errors.Refusal(
                errors.ROLLOUT_TIME,
                f'service {name!r} can not move by {by:.0f}, now is {now:.0f}',
            )
        version = current.head.version + 1
        planned.append(
            model.Move(
                f'{name}-{before.version}-{after.version}-{version}',
                name,
                before.version,
                after.version,
                now,
                now + DEFAULT_MOVE_DURATION_S if by is None else by,
            )
        )
    return tuple(planned)


async def _refuse_unless_done(
    store: base.ObjectStore, move: model.Move
) -> errors.Refusal | None:
    """Return a refusal unless a move is done.

    While a move that is taken back is still in the head, its take-back is
    not complete, and the bundle of the head has the version to be replaced.
    """
    record = await moves.read_move(store, move.move)
    if isinstance(record, errors.Refusal):
        if record.code is not errors.PLATFORM_NOT_FOUND:
            return record
        phase = rollout_model.Phase.RUNNING
    else:
        phase = record.state.phase
    if phase is rollout_model.Phase.DONE:
        return None
    what = 'is open'
    if phase is rollout_model.Phase.TAKEN_BACK:
        what = 'is being taken back'
    return errors.Refusal(
        errors.ROLLOUT_OPEN,
        f'service {move.service!r}: move {move.move} {what}',
    )


def _next_head(
    current: StoredHead | None,
    bundle: model.Bundle,
    planned: tuple[model.Move, ...],
    signed_by: str,
    note: str,
    now: float,
) -> model.Head:
    previous = current.head if current else None
    return model.Head(
        previous.version + 1 if previous else 1,
        codec.bundle_digest(bundle),
        planned,
        signed_by,
        now,
        object_values.new_write_id(),
        note,
        previous.version if previous else 0,
        previous.digest if previous else '',
    )


async def _commit(
    store: base.ObjectStore,
    current: StoredHead | None,
    head: model.Head,
    bundle: model.Bundle,
    taken_back: str = '',
) -> model.Head | errors.Refusal:
    """Write a bundle and then the head that refers to it."""
    if refusal := await _put_bundle(store, current, head.digest, bundle):
        return refusal
    entry = {
        'version': head.version,
        'write_id': head.write_id,
        'digest': head.digest,
    }
    recent = (*(current.recent if current else ()), entry)[-KEPT_BUNDLE_COUNT:]
    value = codec.head_to_dict(head)
    value['recent'] = recent
    gone = current.taken_back if current else ()
    if taken_back:
        gone = (*gone, taken_back)[-KEPT_TAKEN_BACK_COUNT:]
    value['taken_back'] = gone
    if_version = current.store_version if current else 0
    outcome = await store.put(
        object_keys.CONFIG_HEAD, object_values.encode(value), if_version
    )
    if isinstance(outcome, errors.Refusal):
        if refusal := await _resolve_head_write(store, head, outcome):
            return refusal
    LOG.info('config: version %d is signed off', head.version)
    if head.version % PRUNE_INTERVAL_VERSIONS == 0:
        pruned = await prune(store)
        if isinstance(pruned, errors.Refusal):
            LOG.warning('platform: pruning failed: %s', pruned)
    return head


async def _put_bundle(
    store: base.ObjectStore,
    current: StoredHead | None,
    digest: str,
    bundle: model.Bundle,
) -> errors.Refusal | None:
    if current is not None and current.has_digest(digest):
        return None
    key = object_keys.bundle_key(digest)
    content = codec.encode_bundle(bundle)
    # An existing object is written again, so that prune() does not delete it.
    outcome = await store.put(key, content, None)
    if isinstance(outcome, errors.Refusal):
        if outcome.code is errors.PLATFORM_UNKNOWN:
            return errors.Refusal(errors.PLATFORM_UNAVAILABLE, outcome.reason)
        return outcome
    # After a lost answer the store may have returned the object of an older
    # write with the same content, which prune() may delete.
    if current is not None and outcome.version < current.store_version:
        return errors.Refusal(
            errors.PLATFORM_UNAVAILABLE, f'{key} could not be written'
        )
    return None


async def _resolve_head_write(
    store: base.ObjectStore, head: model.Head, refusal: errors.Refusal
) -> errors.Refusal | None:
    """Return why a head was not written, None if it was.

    :param refusal: outcome of the write of the head
    """
    if refusal.code not in (
        errors.PLATFORM_CONFLICT,
        errors.PLATFORM_UNKNOWN,
    ):
        return refusal
    current = await read_head(store)
    if isinstance(current, errors.Refusal):
        if refusal.run is errors.RunState.NOT_RUN:
            return refusal
        return memory.unknown(refusal.reason)
    if current.head.version < head.version:
        # The write has not taken effect, but a delayed one still may.
        return refusal
    write_id = current.write_id_of(head.version)
    if write_id == head.write_id:
        return None
    if write_id is None and refusal.run is errors.RunState.UNKNOWN:
        return memory.unknown(f'version {head.version} is long past')
    return _conflict(current, f'version {head.version} was taken')


def _conflict(current: StoredHead | None, reason: str) -> errors.Refusal:
    if current is None:
        text = 'no version is signed off'
    else:
        text = (
            f'version {current.head.version} was signed off by '
            f'{current.head.signed_by}'
        )
    return errors.Refusal(errors.PLATFORM_CONFLICT, f'{reason}; {text}')


def _find_move(head: model.Head, move: str) -> model.Move | None:
    for item in head.moves:
        if item.move == move:
            return item
    return None


async def _resolve_missing_move(
    store: base.ObjectStore, current: StoredHead, move: str
) -> model.Head | errors.Refusal:
    """Return the result of a take-back whose move is not in the head.

    :returns: the current head if an earlier call took the move back, or a
        refusal, which is ``PLATFORM_NOT_FOUND`` unless a read failed
    """
    if move in current.taken_back:
        return current.head
    record = await moves.read_move(store, move)
    if isinstance(record, errors.Refusal):
        return record
    if record.state.phase is rollout_model.Phase.TAKEN_BACK:
        reason = f'a later move is on top of {move}'
        return _conflict(current, reason)._replace(
            code=errors.PLATFORM_NOT_FOUND
        )
    return errors.Refusal(
        errors.PLATFORM_NOT_FOUND,
        f'move {move} is no longer in force at version {current.head.version}',
    )
