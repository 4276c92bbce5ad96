"""Changes of the settings file of a running process.

The tests guard against a process that goes on with old values, or takes half
of a file.
"""

from __future__ import annotations

import logging
import pathlib

import pytest

from damaskpier import application
from damaskpier import config
from damaskpier import settings_file

TEXT = """[node]
id = n
region = r
failure_domain = d
service = {service}
[platform]
address = 127.0.0.1:1
[fleet]
grace = {grace}
"""


def _parse(content: bytes) -> config.Settings:
    return config.loads(content.decode('latin-1'))


class File:
    """Settings file of an application; ``changes`` lists the old services."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.changes: list[str] = []
        self.write()
        self.app = application.Application(_parse(path.read_bytes()))
        settings_file.setup(self.app, path, _parse)
        self.followed = self.app.service('settings-file')
        self.app.events.connect(
            'settings-changed',
            lambda before: self.changes.append(before.text('node', 'service')),
        )

    def write(self, service: str = 'pages', grace: str = '6') -> None:
        """Replace the content of the file."""
        self.path.write_text(TEXT.format(service=service, grace=grace))

    @property
    def service(self) -> str:
        """Return the service in the settings in force."""
        return self.app.cfg.text('node', 'service')


@pytest.fixture
def file(tmp_path) -> File:
    """Return a settings file that has not changed."""
    return File(tmp_path / 'settings.ini')


def test_unchanged_file_changes_nothing(file):
    for _ in range(3):
        file.followed.poll()
    file.followed.reload()
    assert file.changes == []


def test_change_without_a_signal_is_applied(file):
    """The service of the upstream stayed that of the start."""
    file.write('reads')
    for _ in range(3):
        file.followed.poll()
    assert (file.service, file.changes) == ('reads', ['pages'])


def test_signal_applies_a_change_at_once(file):
    file.write('reads')
    file.app.events.emit('reload-requested')
    assert (file.service, file.changes) == ('reads', ['pages'])


def test_half_written_file_keeps_the_last_good_one(file, caplog):
    """Half a file may be invalid, or valid with other values."""
    file.write('reads')
    whole = file.path.read_bytes()
    for length in range(len(whole)):
        file.path.write_bytes(whole[:length])
        file.followed.poll()
        assert file.service == 'pages'
    assert file.changes == []
    file.path.write_bytes(whole)
    file.followed.poll()
    file.followed.poll()
    assert file.service == 'reads'


@pytest.mark.parametrize(
    'content', [b'', b'[node]\nid = n\n', b'[node\xff', None]
)
def test_invalid_file_is_logged_once(file, caplog, content):
    if content is None:
        file.path.unlink()
    else:
        file.path.write_bytes(content)
    with caplog.at_level(logging.ERROR):
        for _ in range(5):
            file.followed.poll()
    assert file.service == 'pages'
    assert len(caplog.records) == 1
    assert 'kept the settings in force' in caplog.records[0].getMessage()
    file.write('reads')
    file.followed.poll()
    file.followed.poll()
    assert file.service == 'reads'


def test_identity_changes_at_the_next_start_only(file, caplog):
    """Parts of a node would go on under one name and parts under another."""
    text = file.path.read_text().replace('id = n', 'id = other')
    file.path.write_text(text.replace('service = pages', 'service = reads'))
    file.followed.reload()
    assert file.app.cfg.text('node', 'id') == 'n'
    assert file.service == 'reads'
    assert any('node.id = other' in line for line in caplog.messages)
