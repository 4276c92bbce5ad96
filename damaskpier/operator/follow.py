"""Polls a rollout and prints a line for each change."""

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
# A decider that finishes a move exactly at its stated time still has to
# write the verdict.
VERDICT_GRACE_S = 60.0
# A version is in force within seconds; the default limit does not cover an
# outage of an hour.
NO_MOVE_WAIT_S = 60.0


class Follower:
    """Polls a version and its moves until every move has a verdict.

    :param limit_s: longest wait in seconds. None stands for
        :data:`VERDICT_GRACE_S` after the latest stated time of the moves, or
        for :data:`NO_MOVE_WAIT_S` without moves.
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
        self._start_s = env.clock()
        self._last_values: dict[str, Any] = {}

    async def follow(
        self, version: int, moves: Iterable[view.MoveView]
    ) -> exits.ExitCode:
        """Print changes until every move has a verdict.

        Without moves, wait until every node applied the version.

        :returns: exit code for the verdicts, or for the time limit
        """
        views = list(moves)
        limit_s = self._wait_limit_s(views)
        while True:
            fleet, states = await view.read_fleet(
                self._store, self._env.fetch_page, version
            )
            views = [await self._refresh_state(item, states) for item in views]
            self._print_fleet(version, fleet)
            for item in views:
                self._print_move(item)
            code = _exit_code(version, fleet, views)
            if code is not None:
                self._print_verdicts(version, views)
                return code
            if self._elapsed_s() >= limit_s:
                self._print_time_limit(limit_s)
                return exits.ExitCode.TIME_LIMIT
            await self._env.sleep(POLL_INTERVAL_S)

    def _wait_limit_s(self, views: list[view.MoveView]) -> float:
        if self._limit_s is not None:
            return self._limit_s
        if not views:
            return NO_MOVE_WAIT_S
        latest = max(item.by for item in views)
        return max(0.0, latest - self._env.now()) + VERDICT_GRACE_S

    def _elapsed_s(self) -> float:
        return self._env.clock() - self._start_s

    async def _refresh_state(
        self, item: view.MoveView, states: dict[str, Any]
    ) -> view.MoveView:
        item = view.merge_state(item, states.get(item.move))
        if item.phase is not model.Phase.RUNNING:
            return item
        stored = await view.read_state(self._store, item)
        refused = isinstance(stored, errors.Refusal)
        self._print_change(
            'platform',
            not refused,
            f'platform: {stored}' if refused else 'platform: answers',
            skip_initial=not refused,
        )
        return item if refused else stored

    def _print_fleet(self, version: int, fleet: view.FleetView | None) -> None:
        if fleet is None:
            self._print_change('fleet', None, 'no root of the fleet answers')
            return
        shown = f'version {version}: '
        if fleet.applied is not None:
            shown += (
                f'applied by at least {fleet.applied} of {fleet.nodes} nodes, '
            )
        shown += f'lowest version in the fleet {fleet.lowest_version}'
        self._print_change('fleet', fleet.to_document(), shown)

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
        self._print_change(item.move, item.to_document(), text, kind='move')

    def _print_change(
        self,
        key: str,
        value: Any,
        text: str,
        kind: str = '',
        skip_initial: bool = False,
    ) -> None:
        if key in self._last_values and self._last_values[key] == value:
            return
        is_initial = key not in self._last_values
        self._last_values[key] = value
        if is_initial and skip_initial:
            return
        elapsed_s = self._elapsed_s()
        self._out.text(f'{elapsed_s:7.1f} s  {text}')
        self._out.json(
            {'event': kind or key, 't': round(elapsed_s, 3), 'value': value}
        )

    def _print_verdicts(
        self, version: int, views: list[view.MoveView]
    ) -> None:
        for item in views:
            self._out.text(f'Verdict of {item.move}: {format_verdict(item)}')
            self._out.json({'event': 'verdict', **item.to_document()})
        if not views:
            self._out.text(f'Version {version} is in force on every node.')
            self._out.json({'event': 'in-force', 'version': version})

    def _print_time_limit(self, limit_s: float) -> None:
        self._out.text(f'No verdict within {limit_s:.0f} s; still open.')
        self._out.json({'event': 'time-limit', 'limit_s': limit_s})


def format_verdict(item: view.MoveView) -> str:
    """Format the verdict of a move with its result code and reason."""
    text = item.verdict
    if item.result:
        text += f' (DP-{item.result})'
    if item.reason:
        text += f', {item.reason}'
    return text


def _exit_code(
    version: int,
    fleet: view.FleetView | None,
    views: list[view.MoveView],
) -> exits.ExitCode | None:
    phases = {item.phase for item in views}
    if model.Phase.RUNNING in phases:
        return None
    if model.Phase.TAKEN_BACK in phases:
        return exits.ExitCode.TAKEN_BACK
    if phases:
        return exits.ExitCode.OK
    lowest = fleet.lowest_version if fleet is not None else None
    if isinstance(lowest, int) and lowest >= version:
        return exits.ExitCode.OK
    return None
