"""Fixtures of the command-line tests."""

from __future__ import annotations

import json
import shlex
from typing import Any
from typing import NamedTuple

from cleo.io import buffered_io
from cleo.io.inputs import argv_input
import pytest

from damaskpier.cmd import cli
from damaskpier.operator import command
from damaskpier.store import memory

START_TIME_S = 1_900_000_000.0

BUNDLE = """\
services:
  ledger: {version: v1, slots: 20}
routes:
  ledger.retire: {service: ledger, method: POST, path: /ledger/retire}
"""


class CommandResult(NamedTuple):
    """Exit code and output of a command."""

    code: int
    out: str
    err: str

    @property
    def documents(self) -> list[Any]:
        """Return the JSON objects of standard output, one a line."""
        return [json.loads(line) for line in self.out.splitlines()]


class Operator:
    """Runs commands with a store in memory and admin pages by their URL.

    A wait of a command advances ``time`` and then calls and removes the first
    function of ``sleep_hooks``.
    """

    def __init__(self) -> None:
        self.store = memory.MemoryObjectStore()
        self.pages: dict[str, Any] = {}
        self.sleep_hooks: list[Any] = []
        self.time = START_TIME_S
        self.env = command.Environment(
            lambda address: self.store,
            self._fetch,
            now=lambda: self.time,
            clock=lambda: self.time,
            sleep=self._sleep,
        )

    def run(self, line: str) -> CommandResult:
        """Run a command line, given without the name of the program."""
        io = buffered_io.BufferedIO()
        code = cli.make_cli(self.env).run(
            argv_input.ArgvInput(['damaskpier', *shlex.split(line)]),
            io.output,
            io.error_output,
        )
        return CommandResult(int(code), io.fetch_output(), io.fetch_error())

    def put(self, key: str, document: dict[str, Any]) -> None:
        """Write an object of the platform, whether or not it exists."""
        self.store.state.put(key, json.dumps(document).encode(), None)

    async def _fetch(self, url: str) -> Any:
        return self.pages.get(url)

    async def _sleep(self, seconds: float) -> None:
        self.time += seconds
        if self.sleep_hooks:
            self.sleep_hooks.pop(0)()


@pytest.fixture
def operator(monkeypatch):
    """Return an operator with an empty platform."""
    monkeypatch.setenv(command.PLATFORM_VARIABLE, '127.0.0.1:9000')
    return Operator()


@pytest.fixture
def bundles(tmp_path):
    """Return the paths of two bundles, with v1 and v2 of ``ledger``."""
    paths = []
    for version in ('v1', 'v2'):
        path = tmp_path / f'{version}.yaml'
        path.write_text(BUNDLE.replace('v1', version), encoding='utf-8')
        paths.append(path)
    return paths


@pytest.fixture
def operator_with_move(operator, bundles):
    """Return an operator with an open move ``ledger-v1-v2-2``."""
    for path in bundles:
        line = f'sign-off {path} --by 10m --operator amina --note x'
        assert operator.run(line).code == 0
    return operator
