"""The deployment starts existing programs with the tested libraries."""

from __future__ import annotations

import importlib.util
import pathlib
import subprocess
import sys
import tomllib

import uvloop

ROOT = pathlib.Path(__file__).parents[2]


def _pins(name: str) -> set[str]:
    lines = (ROOT / name).read_text(encoding='utf-8').splitlines()
    return {line for line in lines if line}


def test_libraries_of_the_nodes_are_the_tested_ones():
    pins = _pins('deploy/requirements.txt')
    assert pins
    assert pins <= _pins('requirements.txt')


def test_programs_of_the_roles_exist():
    text = (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
    for role in tomllib.loads(text)['roles'].values():
        words = role['run'].split()
        assert words[:3] == ['target/venv/bin/python', '-S', '-m']
        assert importlib.util.find_spec(words[3]) is not None


def test_node_needs_no_site_packages():
    """With -S, a library outside of the path would not be found."""
    program = (
        'import sys; sys.path[:] = [p for p in sys.path if p] + '
        f'[{str(ROOT)!r}, {str(pathlib.Path(uvloop.__file__).parents[1])!r}]; '
        'import damaskpier.platform.node'
    )
    subprocess.run([sys.executable, '-S', '-c', program], check=True)


def test_days_of_our_own_can_be_read():
    days = sorted((ROOT / 'deploy/days').glob('*.toml'))
    assert days
    for path in days:
        day = tomllib.loads(path.read_text(encoding='utf-8'))
        assert day['name'] == path.stem
