"""Conversion of the platform's boot file to settings."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Any

from damaskpier import config
from damaskpier import errors
from damaskpier.platform import notation

PATH_VARIABLE = 'DAMASKPIER_BOOT'

# Only deployments whose settings contain one of these bounds hold requests to
# started workers back. Workers of the earlier ones report that they are cold,
# too, and are served as before.
_PACE_BOUNDS = frozenset(('coldOver', 'coldSlack', 'quotaWindow'))


def load(path: pathlib.Path) -> config.Settings:
    """Return the settings in the platform's boot file.

    :raises SettingsError: if the file can not be read or is invalid
    """
    try:
        content = path.read_bytes()
    except OSError as exc:
        raise errors.SettingsError(
            errors.SETTINGS_UNREADABLE, f'{path}: {exc}'
        ) from exc
    return loads(content, str(path))


def loads(content: bytes, source: str) -> config.Settings:
    """Return the settings in the content of a boot file.

    :param source: name of the file in error messages
    :raises SettingsError: if the content is invalid
    """
    try:
        boot = tomllib.loads(content.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise errors.SettingsError(
            errors.SETTINGS_UNREADABLE, f'{source}: {exc}'
        ) from exc
    try:
        text = _render(_sections(boot))
    except (KeyError, TypeError, ValueError) as exc:
        raise errors.SettingsError(
            errors.SETTINGS_INVALID, f'{source}: {exc!r}'
        ) from exc
    return config.loads(text, source)


def _sections(boot: dict[str, Any]) -> dict[str, dict[str, object]]:
    listen = boot['listen']
    bounds = boot['bounds']
    return {
        'node': {
            'id': boot['node'],
            'region': boot['region'],
            # The platform calls a failure domain a zone.
            'failure_domain': boot['zone'],
            'service': boot['service'],
            'host': boot['ip'],
            # For callers on this instance; the platform calls it outbound.
            'http_port': _port(listen['outbound']),
            # For other nodes; the platform calls it inbound.
            'rpc_port': _port(listen['inbound']),
            # For heartbeats of the local upstream.
            'admin_port': _port(listen['control']),
            'health_port': _port(listen['ready']),
            # The last of the two ports reserved for this system's own use.
            'metrics_port': boot['internalPorts'][1],
        },
        'platform': {'address': boot['platform']['address']},
        'upstream': {'address': boot['appAddr']},
        'fleet': {
            'heartbeat': notation.parse_duration_s(boot['heartbeat']),
            'grace': notation.parse_duration_s(bounds['grace']),
            'apply': notation.parse_duration_s(bounds['apply']),
            'retry_ratio': bounds['retryRatio'],
            'retry_slack': bounds['retrySlack'],
            'retry_window': notation.parse_duration_s(bounds['retryWindow']),
            **_optional_bounds(bounds),
            'evacuations': 'evacuate' in bounds,
            'adaptive_pace': not _PACE_BOUNDS.isdisjoint(bounds),
        },
        'log': {'format': 'json'},
    }


def _optional_bounds(bounds: dict[str, Any]) -> dict[str, object]:
    """Return the settings for the bounds that not all deployments have."""
    return {
        name: parse(bounds[field])
        for name, field, parse in (
            ('allowance_window', 'quotaWindow', notation.parse_duration_s),
            ('allowance_over', 'quotaOver', notation.require_number),
            ('allowance_slack', 'quotaSlack', notation.require_number),
            ('cold_over', 'coldOver', notation.require_number),
            ('cold_slack', 'coldSlack', notation.require_number),
            ('evacuate', 'evacuate', notation.parse_duration_s),
            ('revoke', 'revoke', notation.parse_duration_s),
            ('strict_revoke', 'strictRevoke', bool),
        )
        if field in bounds
    }


def _port(address: str) -> int:
    return config.parse_address(address).port


def _render(sections: dict[str, dict[str, object]]) -> str:
    lines = []
    for section, entries in sections.items():
        lines.append(f'[{section}]')
        lines += [f'{name} = {value}' for name, value in entries.items()]
    return '\n'.join(lines) + '\n'
