"""Options of the rollout decisions, taken from the settings."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import config

if TYPE_CHECKING:
    import pathlib

SECTION = 'rollout'


class Options(NamedTuple):
    """Options of the rollout decisions; see the settings reference.

    Each field has the name of the setting that it is taken from.
    """

    first_share: float = 0.01
    error_rate: float = 0.01
    hold_back: float = 0.01
    evidence_interval: float = 1.0
    quiet_interval: float = 4.0
    trip_hold: float = 10.0


def from_settings(cfg: config.Settings) -> Options:
    """Return the options from the settings of a node."""
    return Options(*(cfg.number(SECTION, name) for name in Options._fields))


def load(path: pathlib.Path) -> Options:
    """Return the options from a settings file.

    The settings that a node requires may be missing in it.

    :raises SettingsError: if the file cannot be read or is invalid
    """
    return from_settings(config.load(path, required=False))
