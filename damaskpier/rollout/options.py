"""Options of the rollout decisions, taken from the settings."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import config

if TYPE_CHECKING:
    import pathlib

SECTION = 'rollout'


class Options(NamedTuple):
    """Options of the rollout decisions; see the settings reference."""

    first_share: float = 0.01
    error_rate: float = 0.01
    hold_back: float = 0.01
    evidence_interval: float = 1.0
    quiet_interval: float = 4.0
    trip_hold: float = 10.0


def from_settings(cfg: config.Settings) -> Options:
    """Return the options that the settings of a node give."""
    return Options(*(cfg.number(SECTION, name) for name in Options._fields))


def load(path: pathlib.Path) -> Options:
    """Return the options of a settings file without requiring others.

    :raises SettingsError: if the file can not be used
    """
    return from_settings(config.load(path, required=False))
