"""State of the fleet and of moves as the commands show it.

The platform holds the state of each move; the status page of the fleet root
may be more recent.
"""

from __future__ import annotations

import json
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.operator import admin
from damaskpier.rollout import model
from damaskpier.store import object_keys

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpier.store import base

# Verdicts in the output; a running move has no verdict yet and is ``open``.
PHASE_VERDICTS = {
    model.Phase.RUNNING: 'open',
    model.Phase.DONE: 'done',
    model.Phase.TAKEN_BACK: 'taken back',
}


class MoveView(NamedTuple):
    """Move with its latest state that was read."""

    move: str
    service: str = ''
    old: str = ''
    new: str = ''
    by: float = 0.0  # seconds since the epoch
    epoch: int = 0
    seq: int = 0
    phase: model.Phase = model.Phase.RUNNING
    shares: dict[str, float] = {}
    reason: str = ''
    result: int = 0
    evidence: Any = None

    @property
    def state_order(self) -> tuple[bool, int, int]:
        """Return the key that orders the states of one move.

        The states of a move that was taken back come last, whatever their
        epoch is.
        """
        return self.phase is model.Phase.TAKEN_BACK, self.epoch, self.seq

    @property
    def verdict(self) -> str:
        """Return the verdict: ``open``, ``done`` or ``taken back``."""
        return PHASE_VERDICTS[self.phase]

    def to_document(self) -> dict[str, Any]:
        """Return the view for JSON output."""
        return {
            'move': self.move,
            'service': self.service,
            'from': self.old,
            'to': self.new,
            'by': self.by,
            'verdict': self.verdict,
            'shares': self.shares,
            'reason': self.reason,
            'result': f'DP-{self.result}' if self.result else '',
            'evidence': self.evidence,
        }


class FleetView(NamedTuple):
    """Progress of the active configuration, as a root reports it."""

    root: str
    nodes: int
    applied: int | None  # nodes with the active version, None if unknown
    lowest_version: int | None

    def to_document(self) -> dict[str, Any]:
        """Return the view for JSON output."""
        return dict(self._asdict())


def merge_state(view: MoveView, state: Any) -> MoveView:
    """Return a view with a state, unless the view's own state is newer.

    :param state: decoded JSON of a move's state. Missing fields get their
        defaults; if a field has another form, the whole state is ignored.
    """
    if not isinstance(state, dict):
        return view
    try:
        phase = model.Phase(state.get('phase', 'running'))
        shares = state.get('shares') or {}
        merged = view._replace(
            epoch=int(state.get('epoch', 0)),
            seq=int(state.get('seq', 0)),
            phase=phase,
            shares={str(key): float(val) for key, val in shares.items()},
            reason=str(state.get('reason', '')),
            result=int(state.get('result', 0)),
            evidence=state.get('evidence', view.evidence),
        )
    except (AttributeError, TypeError, ValueError):
        return view
    return merged if merged.state_order >= view.state_order else view


async def read_state(
    store: base.ObjectStore, view: MoveView
) -> MoveView | errors.Refusal:
    """Return a view merged with the state that the platform holds.

    :returns: the same view if the platform holds no state of the move
    """
    found = await store.get(object_keys.rollout_key(view.move))
    if isinstance(found, errors.Refusal):
        if found.code is errors.PLATFORM_NOT_FOUND:
            return view
        return found
    return merge_state(view, _decode_json(found.value))


def _decode_json(value: bytes) -> Any:
    try:
        return json.loads(value)
    except ValueError:
        return None


def states_by_move(page: dict[str, Any]) -> dict[str, Any]:
    """Return the states of the moves on a status page by move.

    :param page: decoded page; its moves are a list of states or a dict of
        states by move
    """
    moves = page.get('moves')
    if isinstance(moves, dict):
        return moves
    found: dict[str, Any] = {}
    for state in moves or ():
        if isinstance(state, dict) and 'move' in state:
            found[str(state['move'])] = state
    return found


async def read_fleet(
    store: base.ObjectStore, fetch_page: admin.PageFetcher, version: int
) -> tuple[FleetView | None, dict[str, Any]]:
    """Read the progress of a version and the states of moves from a root.

    :param version: active version; nodes with it or a later one are counted
    :returns: the progress and the states by move; None and no states if no
        root answers
    """
    answer = await admin.fetch_root_page(store, fetch_page, 'status')
    if answer is None:
        return None, {}
    holder, page = answer
    page = page if isinstance(page, dict) else {}
    tree = page.get('tree')
    tree = tree if isinstance(tree, dict) else {}
    records = await fetch_page(holder.page_url('nodes'))
    present = list(_present_records(records))
    versions = [
        applied
        for applied in map(applied_version, present)
        if applied is not None
    ]
    fleet = FleetView(
        root=str(page.get('node', holder.node_id)),
        nodes=int(tree.get('subtree') or len(present)),
        applied=(
            sum(applied >= version for applied in versions)
            if versions
            else None
        ),
        lowest_version=tree.get('lowest_version'),
    )
    return fleet, states_by_move(page)


def _present_records(records: Any) -> Iterable[dict[str, Any]]:
    if isinstance(records, dict):
        records = records.get('nodes')
    for record in records or ():
        if isinstance(record, dict) and not record.get('gone'):
            yield record


def applied_version(record: dict[str, Any]) -> int | None:
    """Return the configuration version of a node record, or None."""
    value = record.get('config_version')
    return value if isinstance(value, int) else None
