"""Commands that change what is in force: sign off and take back."""

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
from damaskpier.store import audit as trail
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

    async def run_on(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.Exit:
        """Check the bundle, write it and report the new version."""
        limit_s = self.duration('wait-limit')
        operator = self.required('operator')
        note = self.required('note')
        now = self.env.now()
        by = self._by(now)
        bundle = loader.load(pathlib.Path(self.argument('file')))
        base_version = versions.number(self.option('base'))
        outcome = await signoff.sign_off(
            store, bundle, base_version, operator, by, note, now
        )
        detail = {'note': note, 'bundle': codec.bundle_digest(bundle)}
        moves = _started(outcome, now)
        entries = [
            _entry('sign-off', operator, outcome, name, detail, now)
            for name in [move.move for move in moves] or ['']
        ]
        await audit.record(store, out, entries)
        head = command.unless_refused(outcome)
        out.text(f'Signed off as version {head.version}.')
        for move in moves:
            out.text(
                f'Move {move.move}: {move.service} {move.old} -> {move.new}, '
                f'by {output.format_time(move.by)}'
            )
        views = [status.move_view(move) for move in moves]
        out.data(
            {
                'event': 'signed-off',
                'version': head.version,
                'digest': head.digest,
                'moves': [item.document() for item in views],
            }
        )
        if not self.option('wait'):
            return exits.Exit.OK
        follower = follow.Follower(self.env, store, out, limit_s)
        return await follower.follow(head.version, views)

    def _by(self, now: float) -> float | None:
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
    """Takes a move back."""

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

    async def run_on(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.Exit:
        """Write the state of the move and the version that undoes it."""
        limit_s = self.duration('wait-limit')
        reason = self.required('reason')
        operator = self.required('operator')
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
        entry = _entry(
            'take-back', operator, outcome, move, {'reason': reason}, now
        )
        await audit.record(store, out, [entry])
        head = command.unless_refused(outcome)
        out.text(
            f'Move {move} is taken back; active version is {head.version}.'
        )
        out.data(
            {'event': 'taken-back', 'move': move, 'version': head.version}
        )
        if not self.option('wait'):
            return exits.Exit.OK
        follower = follow.Follower(self.env, store, out, limit_s)
        return await follower.follow(head.version, [])


def _started(
    outcome: model.Head | errors.Refusal, now: float
) -> list[model.Move]:
    """Return the moves that a sign-off started."""
    if isinstance(outcome, errors.Refusal):
        return []
    return [move for move in outcome.moves if move.start >= now]


def _entry(
    action: str,
    operator: str,
    outcome: model.Head | errors.Refusal,
    move: str,
    detail: dict[str, str],
    now: float,
) -> trail.Entry:
    if isinstance(outcome, errors.Refusal):
        return trail.make_entry(
            operator,
            action,
            move,
            result=outcome.code,
            detail={**detail, 'refused': outcome.reason},
            now=now,
        )
    return trail.make_entry(
        operator, action, move, outcome.version, detail=detail, now=now
    )
