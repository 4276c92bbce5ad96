"""Output of the command line: text and tables, or JSON for programs."""

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
    :param as_json: write one JSON object per line instead of text
    """

    def __init__(self, io: cleo_io.IO, as_json: bool) -> None:
        self._io = io
        self.as_json = as_json

    def text(self, line: str) -> None:
        """Write a line of text, unless the output is JSON."""
        if not self.as_json:
            self._write(line)

    def json(self, document: dict[str, Any]) -> None:
        """Write an object as a line of JSON, unless the output is text."""
        if self.as_json:
            self._write(json.dumps(document, sort_keys=True))

    def table(
        self, header: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Write rows in aligned columns, unless the output is JSON."""
        if not self.as_json:
            for line in format_table(header, rows):
                self._write(line)

    def error(
        self, code: errors.ResultCode, reason: str, action: str = ''
    ) -> None:
        """Write a result code with its reason and the action to take.

        JSON output gets an object with the key ``error`` as well.

        :param action: replaces the default action of the code
        """
        action = action or code.action
        document = {
            'code': str(code),
            'name': code.name,
            'reason': reason,
            'action': action,
        }
        self.json({'error': document})
        for line in (f'{code} {code.name}: {reason}', f'What to do: {action}'):
            self._io.write_error_line(line, type=cleo_output.Type.RAW)

    def warning(self, text: str) -> None:
        """Write a warning to standard error."""
        self._io.write_error_line(
            f'Warning: {text}', type=cleo_output.Type.RAW
        )

    def _write(self, line: str) -> None:
        # Raw, because cleo would interpret a name in angle brackets as a
        # style tag.
        self._io.write_line(line, type=cleo_output.Type.RAW)


def format_table(
    header: Sequence[str], rows: Iterable[Sequence[Any]]
) -> list[str]:
    """Format a table with aligned columns as lines of text."""
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths)]
        lines.append(COLUMN_GAP.join(padded).rstrip())
    return lines


def format_time(seconds: float) -> str:
    """Format seconds since the epoch as UTC time, and 0 as ``-``."""
    if not seconds:
        return '-'
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


def format_detail(value: Any) -> str:
    """Format a value of the detail of an audit entry on one line."""
    if isinstance(value, dict):
        return ' '.join(
            f'{key} {format_share(item) if isinstance(item, float) else item}'
            for key, item in sorted(value.items())
        )
    return str(value)


def format_share(share: float) -> str:
    """Format a share between 0 and 1 in percent."""
    return f'{share * 100:.3g}%'
