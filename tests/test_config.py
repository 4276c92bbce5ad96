"""Tests of loading and checking settings."""

from __future__ import annotations

import pytest

from damaskpier import config
from damaskpier import errors

MINIMAL = """\
[node]
id = n1
region = souss
failure_domain = souss-1
[platform]
address = 127.0.0.1:9000
"""


def test_defaults_fill_a_minimal_file():
    cfg = config.loads(MINIMAL)
    assert cfg.integer('mesh', 'max_children') == 8
    assert cfg.address('platform', 'address').port == 9000


@pytest.mark.parametrize(
    ('line', 'code', 'words'),
    [
        ('[mesch]', errors.SETTINGS_UNKNOWN, "did you mean 'mesh'"),
        ('[mesh]\nseed = x', errors.SETTINGS_UNKNOWN, "mean 'seeds'"),
        ('[mesh]\nmax_children = 1', errors.SETTINGS_INVALID, 'below 2'),
        ('[mesh]\nseeds = x', errors.SETTINGS_INVALID, 'IP:PORT'),
        ('[log]\nlevel = loud', errors.SETTINGS_INVALID, 'none of'),
        ('nonsense', errors.SETTINGS_UNREADABLE, 'nonsense'),
    ],
)
def test_bad_settings_are_refused_with_line_and_hint(line, code, words):
    """Guards against invalid settings that are silently ignored."""
    with pytest.raises(errors.SettingsError) as caught:
        config.loads(MINIMAL + line, 'node.ini')
    assert caught.value.code is code
    assert words in caught.value.reason


def test_missing_setting_is_named():
    with pytest.raises(errors.SettingsError) as caught:
        config.loads('[node]\nid = n1\n')
    assert caught.value.code is errors.SETTINGS_MISSING
