"""Command that shows the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo import helpers

from damaskpier import errors
from damaskpier.operator import command
from damaskpier.operator import exits
from damaskpier.operator import output
from damaskpier.operator import times
from damaskpier.store import audit

if TYPE_CHECKING:
    from damaskpier.store import base

DEFAULT_LIMIT = 50
# Left out of the table; JSON output has them.
_LONG_DETAILS = frozenset({'evidence', 'bundle'})
_NO_ANSWER = frozenset(
    {errors.PLATFORM_UNAVAILABLE.number, errors.PLATFORM_LIMITED.number}
)


class Audit(command.PlatformCommand):
    """Shows who changed what, when and why."""

    name = 'audit'
    description = 'Show the audit trail, the latest entry last.'
    options = [
        helpers.option('move', None, 'Only entries of this move.', flag=False),
        helpers.option(
            'limit',
            None,
            f'Most entries; {DEFAULT_LIMIT} by default.',
            flag=False,
        ),
        helpers.option(
            'since',
            None,
            'Only entries from this time on: an ISO time, or a duration '
            'such as 2h that ends now.',
            flag=False,
        ),
    ]

    async def run_on(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.Exit:
        """Read the entries that match the options."""
        limit = self._limit()
        since = self._since()
        trail = audit.Trail(store)
        entries = command.unless_refused(
            await trail.read(limit, move=self.option('move'), since=since)
        )
        entries.reverse()
        out.table(
            ('time', 'who', 'action', 'version', 'move', 'result', 'detail'),
            [_row(entry) for entry in entries],
        )
        for entry in entries:
            out.data(entry._asdict())
        return exits.Exit.OK

    def _limit(self) -> int:
        text = self.option('limit') or str(DEFAULT_LIMIT)
        if not text.isdecimal() or int(text) < 1:
            raise command.CommandError(
                errors.SETTINGS_INVALID,
                f'--limit: {text!r} is not a positive number',
            )
        return int(text)

    def _since(self) -> float | None:
        text = self.option('since')
        if text is None:
            return None
        now = self.env.now()
        try:
            return now - times.parse_duration(text)
        except ValueError:
            pass
        try:
            return times.parse_time(text, now)
        except ValueError as exc:
            raise command.CommandError(
                errors.SETTINGS_INVALID, f'--since: {exc}'
            ) from exc


def _row(entry: audit.Entry) -> tuple[object, ...]:
    detail = ', '.join(
        f'{name}: {output.shorten(value)}'
        for name, value in sorted(entry.detail.items())
        if value and name not in _LONG_DETAILS
    )
    return (
        output.format_time(entry.time),
        entry.actor,
        entry.action,
        entry.version or '-',
        entry.move or '-',
        f'DP-{entry.result}' if entry.result else 'ok',
        detail or '-',
    )


async def record(
    store: base.ObjectStore, out: output.Output, entries: list[audit.Entry]
) -> None:
    """Write entries for a change that an operator made.

    The change itself is in the platform already, so that a failure is
    reported and does not change the outcome of the command. Nothing is
    written about an attempt that the platform did not answer.
    """
    if any(entry.result in _NO_ANSWER for entry in entries):
        return
    trail = audit.Trail(store)
    for entry in entries:
        trail.append(entry)
    refusal = await trail.flush()
    if refusal is not None:
        out.warning(f'the audit trail has no entry of this: {refusal}')
