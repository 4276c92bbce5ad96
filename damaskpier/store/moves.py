"""States of moves, stored in the platform as ``rollouts/<move>``.

Writes are conditional. They are ordered by the epoch of the decider's lease,
a fencing token, and by a sequence number within the epoch, so that a decider
whose lease was lost can not overwrite the decisions of the next one. A move
that is taken back stays so.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.rollout import model
from damaskpier.store import object_keys
from damaskpier.store import object_values

if TYPE_CHECKING:
    from damaskpier.store import base

MAX_WRITE_ATTEMPTS = 8


class MoveRecord(NamedTuple):
    """Stored state of a move, with its evidence.

    ``by_whom`` is the node or the operator that wrote it; ``store_version``
    is the version of the object.
    """

    state: model.MoveState
    evidence: dict[str, Any]
    by_whom: str
    updated_at: float  # seconds since the epoch
    store_version: int


async def read_move(
    store: base.ObjectStore, move: str
) -> MoveRecord | errors.Refusal:
    """Return the stored state of a move."""
    stored = await store.get(object_keys.rollout_key(move))
    if isinstance(stored, errors.Refusal):
        return stored
    return parse_move(stored)


async def list_moves(
    store: base.ObjectStore,
) -> list[MoveRecord] | errors.Refusal:
    """Return the stored states of all moves; malformed ones are omitted."""
    found = await store.list(object_keys.ROLLOUT_PREFIX)
    if isinstance(found, errors.Refusal):
        return found
    records = [parse_move(stored) for stored in found]
    return [
        record for record in records if not isinstance(record, errors.Refusal)
    ]


def parse_move(stored: base.StoredObject) -> MoveRecord | errors.Refusal:
    """Return the state that a stored object contains.

    :returns: the state, or a refusal with ``BUNDLE_SCHEMA`` if the object is
        malformed
    """
    try:
        fields = object_values.decode(stored.value)
        state = model.MoveState(
            fields['move'],
            int(fields['epoch']),
            int(fields['seq']),
            model.Phase(fields['phase']),
            {name: float(share) for name, share in fields['shares'].items()},
            fields['reason'],
            int(fields['result']),
        )
        return MoveRecord(
            state,
            fields['evidence'],
            fields['by_whom'],
            float(fields['updated_at']),
            stored.version,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        return errors.Refusal(
            errors.BUNDLE_SCHEMA, f'{stored.key} can not be read: {exc!r}'
        )


async def write_move_state(
    store: base.ObjectStore,
    state: model.MoveState,
    evidence: dict[str, Any],
    by_whom: str,
    now: float,
) -> MoveRecord | errors.Refusal:
    """Write the decision about a move if it is newer than the stored one.

    :param evidence: JSON object that is stored with the state
    :param now: seconds since the epoch
    :returns: the stored state after the call, or a refusal: ``LEASE_LOST``
        if the stored state has a higher epoch, ``PLATFORM_CONFLICT`` if it
        is not older or the move is taken back
    """
    for _ in range(MAX_WRITE_ATTEMPTS):
        current = await read_move(store, state.move)
        if isinstance(current, errors.Refusal):
            if current.code is not errors.PLATFORM_NOT_FOUND:
                return current
            if_version = 0
        else:
            if current.state == state:
                return current
            if refusal := _refuse_older(current, state):
                return refusal
            if_version = current.store_version
        outcome = await _write_record(
            store, state, evidence, by_whom, now, if_version
        )
        if not _is_conflict(outcome):
            return outcome
    return outcome


async def write_taken_back(
    store: base.ObjectStore,
    move: str,
    by_whom: str,
    reason: str,
    result: errors.ResultCode,
    epoch: int | None,
    now: float,
) -> MoveRecord | errors.Refusal:
    """Make ``taken_back`` the state of a move; idempotent.

    :param by_whom: operator, or node that decided
    :param epoch: fencing token of the decider's lease, None for operators
    :param now: seconds since the epoch
    :returns: the stored state, or a refusal: ``LEASE_LOST`` if the stored
        state has a higher epoch
    """
    for _ in range(MAX_WRITE_ATTEMPTS):
        current = await read_move(store, move)
        state = model.MoveState(
            move,
            epoch or 0,
            1,
            model.Phase.TAKEN_BACK,
            {},
            reason,
            result.number,
        )
        evidence: dict[str, Any] = {}
        if_version = 0
        if not isinstance(current, errors.Refusal):
            if current.state.phase is model.Phase.TAKEN_BACK:
                return current
            if epoch is not None and current.state.epoch > epoch:
                return _refuse_epoch(current, epoch)
            state = state._replace(
                epoch=max(current.state.epoch, epoch or 0),
                seq=current.state.seq + 1,
                shares=dict.fromkeys(current.state.shares, 0.0),
            )
            evidence = current.evidence
            if_version = current.store_version
        elif current.code is not errors.PLATFORM_NOT_FOUND:
            return current
        outcome = await _write_record(
            store, state, evidence, by_whom, now, if_version
        )
        if not _is_conflict(outcome):
            return outcome
    return outcome


async def _write_record(
    store: base.ObjectStore,
    state: model.MoveState,
    evidence: dict[str, Any],
    by_whom: str,
    now: float,
    if_version: int,
) -> MoveRecord | errors.Refusal:
    fields = state._asdict()
    fields['phase'] = state.phase.value
    fields['evidence'] = evidence
    fields['by_whom'] = by_whom
    fields['updated_at'] = now
    fields['write_id'] = object_values.new_write_id()
    outcome = await store.put(
        object_keys.rollout_key(state.move),
        object_values.encode(fields),
        if_version,
    )
    if isinstance(outcome, errors.Refusal):
        return outcome
    return MoveRecord(state, evidence, by_whom, now, outcome.version)


def _is_conflict(outcome: MoveRecord | errors.Refusal) -> bool:
    """Return whether another writer was first, so that a retry may succeed."""
    return (
        isinstance(outcome, errors.Refusal)
        and outcome.code is errors.PLATFORM_CONFLICT
    )


def _refuse_older(
    current: MoveRecord, state: model.MoveState
) -> errors.Refusal | None:
    """Return a refusal if a state is not newer than the stored one."""
    if current.state.epoch > state.epoch:
        return _refuse_epoch(current, state.epoch)
    if current.state.order < state.order:
        return None
    return errors.Refusal(
        errors.PLATFORM_CONFLICT,
        f'move {state.move} is {current.state.phase.value} by '
        f'{current.by_whom} (epoch {current.state.epoch}, seq '
        f'{current.state.seq})',
    )


def _refuse_epoch(current: MoveRecord, epoch: int) -> errors.Refusal:
    return errors.Refusal(
        errors.LEASE_LOST,
        f'move {current.state.move}: epoch {current.state.epoch} of '
        f'{current.by_whom} follows {epoch}',
    )
