"""Settings: one declared table, loaded from INI and checked."""

from __future__ import annotations

import configparser
import difflib
import ipaddress
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors

if TYPE_CHECKING:
    import pathlib

Value = int | float | str | bool | tuple[str, ...]

REQUIRED = None


class Setting(NamedTuple):
    """One row of the table of settings.

    ``default`` is :data:`REQUIRED` where the file has to set the value.
    ``low`` and ``high`` bound numbers; ``choices`` lists allowed texts.
    """

    section: str
    name: str
    kind: str  # int, float, bool, text, host, address or addresses
    default: Value | None
    help: str
    unit: str = ''
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()


class Address(NamedTuple):
    """Host and port of a server."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


TABLE: tuple[Setting, ...] = (
    Setting('node', 'id', 'text', REQUIRED, 'Unique name of the node.'),
    Setting('node', 'region', 'text', REQUIRED, 'Region of the instance.'),
    Setting(
        'node',
        'failure_domain',
        'text',
        REQUIRED,
        'Failure domain of the instance.',
    ),
    Setting('node', 'host', 'host', '127.0.0.1', 'Address that peers dial.'),
    Setting(
        'node',
        'http_port',
        'int',
        0,
        'Port for callers; 0 lets the kernel choose.',
        low=0,
        high=65535,
    ),
    Setting(
        'node',
        'rpc_port',
        'int',
        0,
        'Port for other nodes; 0 lets the kernel choose.',
        low=0,
        high=65535,
    ),
    Setting(
        'node',
        'admin_port',
        'int',
        0,
        'Port for metrics, status and announcements; 0 lets the kernel '
        'choose.',
        low=0,
        high=65535,
    ),
    Setting(
        'node',
        'ready_file',
        'text',
        '',
        'File that receives the chosen ports as JSON; empty for none. For '
        'tests and demonstrations.',
    ),
    Setting(
        'node',
        'service',
        'text',
        '',
        'Service whose instance the node stands beside.',
    ),
    Setting(
        'node',
        'health_port',
        'int',
        0,
        'Port for the readiness probe; 0 lets the kernel choose.',
        low=0,
        high=65535,
    ),
    Setting(
        'node',
        'metrics_port',
        'int',
        0,
        'Port for metrics where it is not the admin port; 0 lets the kernel '
        'choose.',
        low=0,
        high=65535,
    ),
    Setting(
        'upstream',
        'address',
        'address',
        '127.0.0.1:1',
        'Address of the upstream beside the node.',
    ),
    Setting(
        'fleet',
        'heartbeat',
        'float',
        1.0,
        'Time between two announcements of the upstream.',
        unit='s',
        low=0.05,
        high=60,
    ),
    Setting(
        'fleet',
        'grace',
        'float',
        6.0,
        'Time between SIGTERM and SIGKILL.',
        unit='s',
        low=0.5,
        high=600,
    ),
    Setting(
        'fleet',
        'apply',
        'float',
        2.0,
        'Time by which a configuration has to be in force everywhere.',
        unit='s',
        low=0.1,
        high=60,
    ),
    Setting(
        'fleet',
        'retry_ratio',
        'float',
        0.2,
        'Retries of a service over all nodes, as a part of its requests.',
        low=0,
        high=1,
    ),
    Setting(
        'fleet',
        'retry_slack',
        'float',
        10.0,
        'Retries of a service over all nodes in each window beyond the ratio.',
        low=0,
        high=100000,
    ),
    Setting(
        'fleet',
        'retry_window',
        'float',
        10.0,
        'Window over which retries are counted.',
        unit='s',
        low=0.5,
        high=600,
    ),
    Setting(
        'platform',
        'address',
        'address',
        REQUIRED,
        'Address of the object API.',
    ),
    Setting(
        'platform',
        'timeout',
        'float',
        1.0,
        'Time limit of a call other than a watch.',
        unit='s',
        low=0.05,
        high=60,
    ),
    Setting(
        'mesh',
        'seeds',
        'addresses',
        (),
        'RPC addresses of nodes to join through when the platform is down.',
    ),
    Setting(
        'mesh',
        'max_children',
        'int',
        8,
        'Children that the node accepts in the distribution tree.',
        low=2,
        high=64,
    ),
    Setting(
        'limits',
        'max_body',
        'int',
        4 * 1024 * 1024,
        'Largest request or response body.',
        unit='bytes',
        low=1024,
        high=64 * 1024 * 1024,
    ),
    Setting(
        'limits',
        'max_headers',
        'int',
        64 * 1024,
        'Largest block of request headers.',
        unit='bytes',
        low=1024,
        high=1024 * 1024,
    ),
    Setting(
        'limits',
        'max_requests',
        'int',
        1000,
        'Requests of callers that the node carries at a time.',
        low=1,
        high=100000,
    ),
    Setting(
        'limits',
        'drain_timeout',
        'float',
        30.0,
        'Longest wait for running requests at a planned stop.',
        unit='s',
        low=0,
        high=600,
    ),
    Setting(
        'log',
        'level',
        'text',
        'info',
        'Least severity that is logged.',
        choices=('debug', 'info', 'warning', 'error'),
    ),
    Setting(
        'log',
        'format',
        'text',
        'text',
        'Form of log records.',
        choices=('text', 'json'),
    ),
    Setting(
        'rollout',
        'first_share',
        'float',
        0.01,
        'Largest first share of a new version on a route.',
        low=0.0001,
        high=0.2,
    ),
    Setting(
        'rollout',
        'error_rate',
        'float',
        0.01,
        'Bound on the chance that a good version is taken back because of '
        'noise, over all looks at a move.',
        low=1e-9,
        high=0.2,
    ),
    Setting(
        'rollout',
        'hold_back',
        'float',
        0.01,
        'Share of requests that stays on the old version after a move is '
        'done, for comparison.',
        low=0,
        high=0.2,
    ),
    Setting(
        'rollout',
        'evidence_interval',
        'float',
        1.0,
        'Time between two messages with evidence to the parent.',
        unit='s',
        low=0.1,
        high=10,
    ),
    Setting(
        'rollout',
        'quiet_interval',
        'float',
        4.0,
        'Time that evidence without a failure may wait at a node.',
        unit='s',
        low=0,
        high=60,
    ),
    Setting(
        'rollout',
        'trip_hold',
        'float',
        10.0,
        'First time for which a tripped node sends a route to the old '
        'version only.',
        unit='s',
        low=0.5,
        high=600,
    ),
)


class Settings:
    """Checked settings of a process."""

    def __init__(self, values: dict[tuple[str, str], Value]) -> None:
        self._values = values

    def __getitem__(self, key: tuple[str, str]) -> Value:
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

    def address(self, section: str, name: str) -> Address:
        """Return a setting of kind address."""
        return parse_address(str(self._values[section, name]))

    def addresses(self, section: str, name: str) -> tuple[Address, ...]:
        """Return a setting of kind addresses."""
        values = self._values[section, name]
        return tuple(parse_address(value) for value in values)


def parse_address(text: str) -> Address:
    """Return the address that a text of the form ``IP:PORT`` names.

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
    :raises SettingsError: if the file can not be used
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
    :raises SettingsError: if the text can not be used
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
    _check_names(parser, text, source)
    return Settings(
        {
            (row.section, row.name): _value_of(row, parser, text, source)
            for row in TABLE
            if required
            or row.default is not REQUIRED
            or parser.has_option(row.section, row.name)
        }
    )


def _check_names(
    parser: configparser.ConfigParser, text: str, source: str
) -> None:
    sections = {row.section for row in TABLE}
    for section in parser.sections():
        if section not in sections:
            line = _line_of(text, section, None)
            raise errors.SettingsError(
                errors.SETTINGS_UNKNOWN,
                f'{source}:{line}: no section [{section}]'
                + _hint(section, sections),
            )
        names = {row.name for row in TABLE if row.section == section}
        for name in parser[section]:
            if name not in names:
                line = _line_of(text, section, name)
                raise errors.SettingsError(
                    errors.SETTINGS_UNKNOWN,
                    f'{source}:{line}: no setting {name!r} in [{section}]'
                    + _hint(name, names),
                )


def _hint(name: str, known: set[str]) -> str:
    similar = difflib.get_close_matches(name, sorted(known), 1)
    if similar:
        return f'; did you mean {similar[0]!r}?'
    return '; known are: ' + ', '.join(sorted(known))


def _line_of(text: str, section: str, name: str | None) -> int:
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


def _value_of(
    row: Setting,
    parser: configparser.ConfigParser,
    text: str,
    source: str,
) -> Value:
    raw = parser.get(row.section, row.name, fallback=None)
    if raw is None:
        if row.default is REQUIRED:
            raise errors.SettingsError(
                errors.SETTINGS_MISSING,
                f'{source}: [{row.section}] {row.name} is not set',
            )
        return row.default
    try:
        return _checked(row, _parse(row.kind, raw.strip()))
    except ValueError as exc:
        line = _line_of(text, row.section, row.name)
        raise errors.SettingsError(
            errors.SETTINGS_INVALID,
            f'{source}:{line}: [{row.section}] {row.name}: {exc}',
        ) from exc


def _parse(kind: str, raw: str) -> Value:
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


def _checked(row: Setting, value: Value) -> Value:
    if row.low is not None and value < row.low:
        raise ValueError(f'{value} is below {row.low:g} {row.unit}'.strip())
    if row.high is not None and value > row.high:
        raise ValueError(f'{value} is above {row.high:g} {row.unit}'.strip())
    if row.choices and value not in row.choices:
        raise ValueError(f'{value!r} is none of: {", ".join(row.choices)}')
    return value
