"""Command that shows the audit trail, and writer of its entries."""

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

DEFAULT_ENTRY_COUNT = 50
# Details that the table omits; JSON output has them.
_LONG_DETAILS = frozenset({'evidence', 'bundle'})
_NO_ANSWER_CODES = frozenset(
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
            f'Most entries; {DEFAULT_ENTRY_COUNT} by default.',
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

    async def run_with_store(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.ExitCode:
        """Read the entries that match the options and print them."""
        limit = self._parse_limit()
        since = self._parse_since()
        trail = audit.Trail(store)
        entries = command.unwrap_result(
            await trail.read(limit, move=self.option('move'), since=since)
        )
        entries.reverse()
        out.table(
            ('time', 'who', 'action', 'version', 'move', 'result', 'detail'),
            [_entry_row(entry) for entry in entries],
        )
        for entry in entries:
            out.json(entry._asdict())
        return exits.ExitCode.OK

    def _parse_limit(self) -> int:
        text = self.option('limit') or str(DEFAULT_ENTRY_COUNT)
        if not text.isdecimal() or int(text) < 1:
            raise command.CommandError(
                errors.SETTINGS_INVALID,
                f'--limit: {text!r} is not a positive number',
            )
        return int(text)

    def _parse_since(self) -> float | None:
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


def _entry_row(entry: audit.Entry) -> tuple[object, ...]:
    detail = ', '.join(
        f'{name}: {output.format_detail(value)}'
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


async def write_entries(
    store: base.ObjectStore, out: output.Output, entries: list[audit.Entry]
) -> None:
    """Write audit entries for an attempted change.

    The change itself is already stored, so that a failure to write the
    entries only gives a warning and does not change the exit code. Nothing
    is written about an attempt that the platform did not answer or refused
    because of its rate limits.
    """
    if any(entry.result in _NO_ANSWER_CODES for entry in entries):
        return
    trail = audit.Trail(store)
    for entry in entries:
        trail.append(entry)
    refusal = await trail.flush()
    if refusal is not None:
        out.warning(f'the audit trail has no entry of this: {refusal}')
