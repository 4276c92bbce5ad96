"""Follows a rollout and prints a line for each change."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.operator import exits
from damaskpier.operator import output
from damaskpier.operator import view
from damaskpier.rollout import model

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpier.operator import command
    from damaskpier.store import base

POLL_INTERVAL_S = 0.5
# A decider that finishes exactly at the stated time still has to write.
GRACE_S = 60.0
# Configuration is in force within seconds; an hour-long outage is not
# waited for by default.
NO_MOVE_LIMIT_S = 60.0


class Follower:
    """Follows a version and its moves until there is a verdict.

    :param limit_s: longest wait, None for :data:`GRACE_S` after the latest
        stated time of the moves
    """

    def __init__(
        self,
        env: command.Environment,
        store: base.ObjectStore,
        out: output.Output,
        limit_s: float | None = None,
    ) -> None:
        self._env = env
        self._store = store
        self._out = out
        self._limit_s = limit_s
        self._start = env.clock()
        self._last: dict[str, Any] = {}

    async def follow(
        self, version: int, moves: Iterable[view.MoveView]
    ) -> exits.Exit:
        """Print changes until every move has a verdict.

        Without moves, wait until every node applied the version.
        """
        views = list(moves)
        limit_s = self._limit(views)
        while True:
            fleet, states = await view.read_fleet(
                self._store, self._env.fetch, version
            )
            views = [await self._refresh(item, states) for item in views]
            self._print_fleet(version, fleet)
            for item in views:
                self._print_move(item)
            code = _outcome(version, fleet, views)
            if code is not None:
                self._print_verdicts(version, views)
                return code
            if self._elapsed() >= limit_s:
                self._print_limit(limit_s)
                return exits.Exit.TIME_LIMIT
            await self._env.sleep(POLL_INTERVAL_S)

    def _limit(self, views: list[view.MoveView]) -> float:
        if self._limit_s is not None:
            return self._limit_s
        if not views:
            return NO_MOVE_LIMIT_S
        latest = max(item.by for item in views)
        return max(0.0, latest - self._env.now()) + GRACE_S

    def _elapsed(self) -> float:
        return self._env.clock() - self._start

    async def _refresh(
        self, item: view.MoveView, states: dict[str, Any]
    ) -> view.MoveView:
        item = view.merge_state(item, states.get(item.move))
        if item.phase is not model.Phase.RUNNING:
            return item
        stored = await view.read_state(self._store, item)
        refused = isinstance(stored, errors.Refusal)
        self._print(
            'platform',
            not refused,
            f'platform: {stored}' if refused else 'platform: answers',
            quiet_first=not refused,
        )
        return item if refused else stored

    def _print_fleet(self, version: int, fleet: view.FleetView | None) -> None:
        if fleet is None:
            self._print('fleet', None, 'no root of the fleet answers')
            return
        shown = f'version {version}: '
        if fleet.applied is not None:
            shown += (
                f'applied by at least {fleet.applied} of {fleet.nodes} nodes, '
            )
        shown += f'lowest version in the fleet {fleet.lowest_version}'
        self._print('fleet', fleet.document(), shown)

    def _print_move(self, item: view.MoveView) -> None:
        shares = ', '.join(
            f'{route} {output.format_share(share)}'
            for route, share in sorted(item.shares.items())
        )
        text = f'move {item.move}: {item.verdict}'
        if shares:
            text += f'; share of {item.new}: {shares}'
        if item.reason:
            text += f'; {item.reason}'
        self._print(item.move, item.document(), text, kind='move')

    def _print(
        self,
        key: str,
        value: Any,
        text: str,
        kind: str = '',
        quiet_first: bool = False,
    ) -> None:
        if key in self._last and self._last[key] == value:
            return
        first = key not in self._last
        self._last[key] = value
        if first and quiet_first:
            return
        elapsed = self._elapsed()
        self._out.text(f'{elapsed:7.1f} s  {text}')
        self._out.data(
            {'event': kind or key, 't': round(elapsed, 3), 'value': value}
        )

    def _print_verdicts(
        self, version: int, views: list[view.MoveView]
    ) -> None:
        for item in views:
            self._out.text(f'Verdict of {item.move}: {describe(item)}')
            self._out.data({'event': 'verdict', **item.document()})
        if not views:
            self._out.text(f'Version {version} is in force on every node.')
            self._out.data({'event': 'in-force', 'version': version})

    def _print_limit(self, limit_s: float) -> None:
        self._out.text(f'No verdict within {limit_s:.0f} s; still open.')
        self._out.data({'event': 'time-limit', 'limit_s': limit_s})


def describe(item: view.MoveView) -> str:
    """Return the verdict of a move with its result code and reason."""
    text = item.verdict
    if item.result:
        text += f' (DP-{item.result})'
    if item.reason:
        text += f', {item.reason}'
    return text


def _outcome(
    version: int,
    fleet: view.FleetView | None,
    views: list[view.MoveView],
) -> exits.Exit | None:
    phases = {item.phase for item in views}
    if model.Phase.RUNNING in phases:
        return None
    if model.Phase.TAKEN_BACK in phases:
        return exits.Exit.TAKEN_BACK
    if phases:
        return exits.Exit.OK
    lowest = fleet.lowest_version if fleet is not None else None
    if isinstance(lowest, int) and lowest >= version:
        return exits.Exit.OK
    return None
