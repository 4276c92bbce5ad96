"""Settings, loaded from INI and checked against the table of settings."""

from __future__ import annotations

import configparser
import difflib
import ipaddress
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier import settings

if TYPE_CHECKING:
    from collections.abc import Iterable
    import pathlib


class Address(NamedTuple):
    """Host and port of a server."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class Settings:
    """Checked settings of a process."""

    def __init__(self, values: dict[tuple[str, str], settings.Value]) -> None:
        self._values = values

    def __getitem__(self, key: tuple[str, str]) -> settings.Value:
        return self._values[key]

    def text(self, section: str, name: str) -> str:
        """Return a setting of kind text or host."""
        return str(self._values[section, name])

    def integer(self, section: str, name: str) -> int:
        """Return a setting of kind int."""
        return int(self._values[section, name])  # type: ignore[arg-type]

    def number(self, section: str, name: str) -> float:
        """Return a setting of kind float."""
        return float(self._values[section, name])  # type: ignore[arg-type]

    def flag(self, section: str, name: str) -> bool:
        """Return a setting of kind bool."""
        return bool(self._values[section, name])

    def address(self, section: str, name: str) -> Address:
        """Return a setting of kind address."""
        return parse_address(str(self._values[section, name]))

    def addresses(self, section: str, name: str) -> tuple[Address, ...]:
        """Return a setting of kind addresses."""
        values = self._values[section, name]
        return tuple(parse_address(value) for value in values)

    def changes_since(self, before: Settings) -> list[tuple[str, str]]:
        """Return the sections and names of the values that differ."""
        return [
            key
            for key, value in self._values.items()
            if before._values.get(key) != value
        ]

    def with_values_of(
        self, other: Settings, keys: Iterable[tuple[str, str]]
    ) -> Settings:
        """Return these settings with some values of others."""
        kept = {key: other._values[key] for key in keys}
        return Settings({**self._values, **kept})


def parse_address(text: str) -> Address:
    """Return the address in a text of the form ``IP:PORT``.

    :raises ValueError: if the text has another form
    """
    host, sep, port = text.rpartition(':')
    if not sep:
        raise ValueError(f'{text!r} is not of the form IP:PORT')
    ipaddress.ip_address(host)
    if not 0 < int(port) < 65536:
        raise ValueError(f'port {port} is out of range')
    return Address(host, int(port))


def load(path: pathlib.Path, required: bool = True) -> Settings:
    """Load and check a settings file.

    :param required: whether settings without a default have to be set
    :raises SettingsError: if the file can not be read or a setting is
        unknown, invalid or missing
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as exc:
        raise errors.SettingsError(
            errors.SETTINGS_UNREADABLE, f'{path}: {exc.strerror}'
        ) from exc
    return loads(text, str(path), required)


def loads(
    text: str, source: str = '<settings>', required: bool = True
) -> Settings:
    """Check settings given as INI text.

    :param source: name of the text in error messages
    :param required: whether settings without a default have to be set
    :raises SettingsError: if the text is not INI or a setting is unknown,
        invalid or missing
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section='', strict=True
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        raise errors.SettingsError(
            errors.SETTINGS_UNREADABLE, str(exc).replace('\n', ' ')
        ) from exc
    _check_unknown_names(parser, text, source)
    return Settings(
        {
            (row.section, row.name): _read_value(row, parser, text, source)
            for row in settings.TABLE
            if required
            or row.default is not settings.REQUIRED
            or parser.has_option(row.section, row.name)
        }
    )


def _check_unknown_names(
    parser: configparser.ConfigParser, text: str, source: str
) -> None:
    sections = {row.section for row in settings.TABLE}
    for section in parser.sections():
        if section not in sections:
            line = _find_line(text, section, None)
            raise errors.SettingsError(
                errors.SETTINGS_UNKNOWN,
                f'{source}:{line}: no section [{section}]'
                + _suggest_names(section, sections),
            )
        names = {row.name for row in settings.TABLE if row.section == section}
        for name in parser[section]:
            if name not in names:
                line = _find_line(text, section, name)
                raise errors.SettingsError(
                    errors.SETTINGS_UNKNOWN,
                    f'{source}:{line}: no setting {name!r} in [{section}]'
                    + _suggest_names(name, names),
                )


def _suggest_names(name: str, known: set[str]) -> str:
    similar = difflib.get_close_matches(name, sorted(known), 1)
    if similar:
        return f'; did you mean {similar[0]!r}?'
    return '; known are: ' + ', '.join(sorted(known))


def _find_line(text: str, section: str, name: str | None) -> int:
    """Return the line number of a setting, 0 if it is not found.

    :param name: name of the setting, None for the heading of the section
    """
    current = ''
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if stripped.startswith('[') and stripped.endswith(']'):
            current = stripped[1:-1]
            if name is None and current == section:
                return number
            continue
        key = stripped.replace(':', '=', 1).split('=', 1)[0].strip().lower()
        if current == section and key == name:
            return number
    return 0


def _read_value(
    row: settings.Setting,
    parser: configparser.ConfigParser,
    text: str,
    source: str,
) -> settings.Value:
    raw = parser.get(row.section, row.name, fallback=None)
    if raw is None:
        if row.default is settings.REQUIRED:
            raise errors.SettingsError(
                errors.SETTINGS_MISSING,
                f'{source}: [{row.section}] {row.name} is not set',
            )
        return row.default
    try:
        return _check_value(row, _parse_value(row.kind, raw.strip()))
    except ValueError as exc:
        line = _find_line(text, row.section, row.name)
        raise errors.SettingsError(
            errors.SETTINGS_INVALID,
            f'{source}:{line}: [{row.section}] {row.name}: {exc}',
        ) from exc


def _parse_value(kind: str, raw: str) -> settings.Value:
    if kind == 'int':
        return int(raw)
    if kind == 'float':
        return float(raw)
    if kind == 'bool':
        if raw.lower() not in ('true', 'false'):
            raise ValueError(f'{raw!r} is neither true nor false')
        return raw.lower() == 'true'
    if kind == 'host':
        return str(ipaddress.ip_address(raw))
    if kind == 'address':
        return str(parse_address(raw))
    if kind == 'addresses':
        parts = [part.strip() for part in raw.split(',')]
        return tuple(str(parse_address(part)) for part in parts if part)
    if not raw:
        raise ValueError('the value is empty')
    return raw


def _check_value(
    row: settings.Setting, value: settings.Value
) -> settings.Value:
    if row.low is not None and value < row.low:
        raise ValueError(f'{value} is below {row.low:g} {row.unit}'.strip())
    if row.high is not None and value > row.high:
        raise ValueError(f'{value} is above {row.high:g} {row.unit}'.strip())
    if row.choices and value not in row.choices:
        raise ValueError(f'{value!r} is none of: {", ".join(row.choices)}')
    return value
