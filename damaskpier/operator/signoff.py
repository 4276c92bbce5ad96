"""Commands that change the active configuration: sign-off and take-back."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from cleo import helpers

from damaskpier.bundle import codec
from damaskpier.bundle import loader
from damaskpier import errors
from damaskpier.operator import audit
from damaskpier.operator import command
from damaskpier.operator import exits
from damaskpier.operator import follow
from damaskpier.operator import output
from damaskpier.operator import status
from damaskpier.operator import times
from damaskpier.operator import versions
from damaskpier.store import audit as store_audit
from damaskpier.store import signoff

if TYPE_CHECKING:
    from damaskpier.bundle import model
    from damaskpier.store import base


class SignOff(command.PlatformCommand):
    """Makes a bundle the active configuration."""

    name = 'sign-off'
    description = 'Sign off a bundle: check it and put it in force.'
    arguments = [helpers.argument('file', 'Bundle in YAML form.')]
    options = [
        helpers.option(
            'by',
            None,
            'Time by which a move must finish: a duration such as 10m or an '
            f'ISO time; {signoff.DEFAULT_MOVE_DURATION_S / 60:.0f}m '
            'if not given.',
            flag=False,
        ),
        helpers.option(
            'operator', None, 'Name for the audit trail. Required.', flag=False
        ),
        helpers.option(
            'note', None, 'Reason for the audit trail. Required.', flag=False
        ),
        helpers.option(
            'base',
            None,
            'Version that the bundle was made from; refused if another '
            'version is active. The active version by default.',
            flag=False,
        ),
        *status.WAIT_OPTIONS,
    ]

    async def run_with_store(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.ExitCode:
        """Check the bundle, make it active and print the new version."""
        limit_s = self.duration('wait-limit')
        operator = self.required_option('operator')
        note = self.required_option('note')
        now = self.env.now()
        by = self._parse_finish_time(now)
        bundle = loader.load(pathlib.Path(self.argument('file')))
        base_version = versions.parse_version(self.option('base'))
        outcome = await signoff.sign_off(
            store, bundle, base_version, operator, by, note, now
        )
        detail = {'note': note, 'bundle': codec.bundle_digest(bundle)}
        moves = _new_moves(outcome, now)
        entries = [
            _make_entry('sign-off', operator, outcome, name, detail, now)
            for name in [move.move for move in moves] or ['']
        ]
        await audit.write_entries(store, out, entries)
        head = command.unwrap_result(outcome)
        out.text(f'Signed off as version {head.version}.')
        for move in moves:
            out.text(
                f'Move {move.move}: {move.service} {move.old} -> {move.new}, '
                f'by {output.format_time(move.by)}'
            )
        views = [status.to_move_view(move) for move in moves]
        out.json(
            {
                'event': 'signed-off',
                'version': head.version,
                'digest': head.digest,
                'moves': [item.to_document() for item in views],
            }
        )
        if not self.option('wait'):
            return exits.ExitCode.OK
        follower = follow.Follower(self.env, store, out, limit_s)
        return await follower.follow(head.version, views)

    def _parse_finish_time(self, now: float) -> float | None:
        text = self.option('by')
        if text is None:
            return None
        try:
            return times.parse_time(text, now)
        except ValueError as exc:
            raise command.CommandError(
                errors.SETTINGS_INVALID, f'--by: {exc}'
            ) from exc


class TakeBack(command.PlatformCommand):
    """Takes a move back, so that the old version gets all traffic."""

    name = 'take-back'
    description = 'Take a move back: all traffic returns to the old version.'
    arguments = [helpers.argument('move', 'Name of the move.')]
    options = [
        helpers.option(
            'reason', None, 'Reason for the audit trail. Required.', flag=False
        ),
        helpers.option(
            'operator', None, 'Name for the audit trail. Required.', flag=False
        ),
        *status.WAIT_OPTIONS,
    ]

    async def run_with_store(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.ExitCode:
        """Mark the move as taken back and write a version without it."""
        limit_s = self.duration('wait-limit')
        reason = self.required_option('reason')
        operator = self.required_option('operator')
        move = self.argument('move')
        now = self.env.now()
        outcome = await signoff.take_back(
            store,
            move,
            operator,
            reason,
            errors.ROLLOUT_OPERATOR,
            None,
            now,
        )
        entry = _make_entry(
            'take-back', operator, outcome, move, {'reason': reason}, now
        )
        await audit.write_entries(store, out, [entry])
        head = command.unwrap_result(outcome)
        out.text(
            f'Move {move} is taken back; active version is {head.version}.'
        )
        out.json(
            {'event': 'taken-back', 'move': move, 'version': head.version}
        )
        if not self.option('wait'):
            return exits.ExitCode.OK
        follower = follow.Follower(self.env, store, out, limit_s)
        return await follower.follow(head.version, [])


def _new_moves(
    outcome: model.Head | errors.Refusal, now: float
) -> list[model.Move]:
    """Return the moves that a sign-off started; none if it was refused."""
    if isinstance(outcome, errors.Refusal):
        return []
    return [move for move in outcome.moves if move.start >= now]


def _make_entry(
    action: str,
    operator: str,
    outcome: model.Head | errors.Refusal,
    move: str,
    detail: dict[str, str],
    now: float,
) -> store_audit.Entry:
    if isinstance(outcome, errors.Refusal):
        return store_audit.make_entry(
            operator,
            action,
            move,
            result=outcome.code,
            detail={**detail, 'refused': outcome.reason},
            now=now,
        )
    return store_audit.make_entry(
        operator, action, move, outcome.version, detail=detail, now=now
    )
