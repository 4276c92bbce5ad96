"""Output of the command line: tables for people, JSON for programs."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import json
from typing import Any
from typing import TYPE_CHECKING

from cleo.io.outputs import output as cleo_output

if TYPE_CHECKING:
    from cleo.io import io as cleo_io

    from damaskpier import errors

COLUMN_GAP = '  '


class Output:
    """Writes results to standard output and errors to standard error.

    :param io: streams of the running command
    :param as_json: write one JSON object a line in place of text
    """

    def __init__(self, io: cleo_io.IO, as_json: bool) -> None:
        self._io = io
        self.as_json = as_json

    def text(self, line: str) -> None:
        """Write a line for people; left out where JSON is asked for."""
        if not self.as_json:
            self._write(line)

    def data(self, document: dict[str, Any]) -> None:
        """Write a JSON object; left out where text is asked for."""
        if self.as_json:
            self._write(json.dumps(document, sort_keys=True))

    def table(
        self, header: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Write rows for people in aligned columns."""
        if not self.as_json:
            for line in format_table(header, rows):
                self._write(line)

    def error(
        self, code: errors.ResultCode, reason: str, action: str = ''
    ) -> None:
        """Write the code, the reason and what to do about it.

        :param action: replaces the action of the code's table row
        """
        action = action or code.action
        document = {
            'code': str(code),
            'name': code.name,
            'reason': reason,
            'action': action,
        }
        self.data({'error': document})
        for line in (f'{code} {code.name}: {reason}', f'What to do: {action}'):
            self._io.write_error_line(line, type=cleo_output.Type.RAW)

    def warning(self, text: str) -> None:
        """Write a warning to standard error."""
        self._io.write_error_line(
            f'Warning: {text}', type=cleo_output.Type.RAW
        )

    def _write(self, line: str) -> None:
        # Raw, because names of bundles may look like the library's tags.
        self._io.write_line(line, type=cleo_output.Type.RAW)


def format_table(
    header: Sequence[str], rows: Iterable[Sequence[Any]]
) -> list[str]:
    """Return the lines of a table with aligned columns."""
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths)]
        lines.append(COLUMN_GAP.join(padded).rstrip())
    return lines


def format_time(seconds: float) -> str:
    """Return a time since the epoch in UTC, or ``-`` for none."""
    if not seconds:
        return '-'
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


def shorten(value: Any) -> str:
    """Return a value of an entry's detail on one line."""
    if isinstance(value, dict):
        return ' '.join(
            f'{key} {format_share(item) if isinstance(item, float) else item}'
            for key, item in sorted(value.items())
        )
    return str(value)


def format_share(share: float) -> str:
    """Return a share of 0 to 1 in percent."""
    return f'{share * 100:.3g}%'
