"""Tests that compare the documentation with the code."""

from __future__ import annotations

import pathlib
import re
import shlex

from cleo.io.inputs import argv_input
import pytest

from damaskpier.cmd import cli
from damaskpier.cmd import fake_upstream
from damaskpier import config
from damaskpier import errors
from damaskpier.rpc import mesh_pb2

DOCS = pathlib.Path(__file__).parent.parent.parent / 'docs'
PAGES = sorted(DOCS.rglob('*.md'))


def _shell_blocks(name):
    text = (DOCS / name).read_text(encoding='utf-8')
    return re.findall(r'```sh\n(.*?)```', text, re.DOTALL)


def _shell_commands(name, program):
    lines = [
        line.split(' > ')[0].removesuffix(' &')
        for block in _shell_blocks(name)
        for line in block.splitlines()
    ]
    found = [shlex.split(line) for line in lines if line.startswith(program)]
    return [words[1:] for words in found if words[0] == program]


def _parse_command(words):
    app = cli.make_cli()
    name = words[0] if app.has(words[0]) else ' '.join(words[:2])
    item = app.get(name)
    item.merge_application_definition()
    rest = words[len(name.split()) :]
    parsed = argv_input.ArgvInput(['damaskpier', name, *rest])
    parsed.bind(item.definition)
    parsed.validate()


@pytest.mark.parametrize('name', ['tutorial.md', 'operators-guide.md'])
def test_commands_in_the_pages_parse(name):
    """The command line accepts every command that a page shows.

    A page goes out of date when a command, an argument or an option changes.
    """
    commands = _shell_commands(name, 'damaskpier')
    assert len(commands) > 5
    for words in commands:
        _parse_command(words)


def test_programs_and_settings_of_the_tutorial_are_valid():
    """The stand-in upstream and the node accept what the tutorial passes."""
    for words in _shell_commands('tutorial.md', 'damaskpier-fake-upstream'):
        assert fake_upstream.parse_arguments(words).service == 'ledger'
    settings = re.search(
        r'<<END\n(.*?)END\n',
        '\n'.join(_shell_blocks('tutorial.md')),
        re.DOTALL,
    )
    cfg = config.loads(settings.group(1).replace('$n', '1'))
    assert cfg.integer('node', 'admin_port') == 8301


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_links_and_codes_of_a_page_exist(page):
    """Relative links lead to files, and result codes are declared.

    Both break when a page is moved or a result code is removed.
    """
    text = page.read_text(encoding='utf-8')
    for target in re.findall(r'\]\(([^)#:]+)\)', text):
        assert (page.parent / target).exists(), target
    known = {str(code) for code in errors.all_codes()}
    assert set(re.findall(r'DP-\d{4}', text)) <= known


def test_page_of_messages_names_every_kind():
    """Each message of a stream between nodes is on the page of messages."""
    text = (DOCS / 'reference/messages.md').read_text(encoding='utf-8')
    for name in ('Up', 'Down'):
        kinds = mesh_pb2.DESCRIPTOR.message_types_by_name[name].fields
        for field in kinds:
            assert f'`{field.message_type.name}`' in text
