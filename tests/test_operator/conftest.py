"""Fixtures of the tests of the command line."""

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

START = 1_900_000_000.0

BUNDLE = """\
services:
  ledger: {version: v1, slots: 20}
routes:
  ledger.retire: {service: ledger, method: POST, path: /ledger/retire}
"""


class Result(NamedTuple):
    """Outcome of a command."""

    code: int
    out: str
    err: str

    @property
    def documents(self) -> list[Any]:
        """Return the JSON objects of standard output."""
        return [json.loads(line) for line in self.out.splitlines()]


class Operator:
    """Runs commands against objects in memory and pages in a dict.

    ``at_sleep`` holds functions; one is called at each wait of a command.
    """

    def __init__(self) -> None:
        self.store = memory.MemoryObjectStore()
        self.pages: dict[str, Any] = {}
        self.at_sleep: list[Any] = []
        self.time = START
        self.env = command.Environment(
            lambda address: self.store,
            self._fetch,
            now=lambda: self.time,
            clock=lambda: self.time,
            sleep=self._sleep,
        )

    def run(self, line: str) -> Result:
        """Run a command line without the name of the program."""
        io = buffered_io.BufferedIO()
        code = cli.make_cli(self.env).run(
            argv_input.ArgvInput(['damaskpier', *shlex.split(line)]),
            io.output,
            io.error_output,
        )
        return Result(int(code), io.fetch_output(), io.fetch_error())

    def put(self, key: str, document: dict[str, Any]) -> None:
        """Write an object of the platform, whatever it holds."""
        self.store.state.put(key, json.dumps(document).encode(), None)

    async def _fetch(self, url: str) -> Any:
        return self.pages.get(url)

    async def _sleep(self, seconds: float) -> None:
        self.time += seconds
        if self.at_sleep:
            self.at_sleep.pop(0)()


@pytest.fixture
def operator(monkeypatch):
    """Return an operator whose platform is empty."""
    monkeypatch.setenv(command.PLATFORM_VARIABLE, '127.0.0.1:9000')
    return Operator()


@pytest.fixture
def bundles(tmp_path):
    """Return the paths of bundles with ledger v1 and v2."""
    paths = []
    for version in ('v1', 'v2'):
        path = tmp_path / f'{version}.yaml'
        path.write_text(BUNDLE.replace('v1', version), encoding='utf-8')
        paths.append(path)
    return paths


@pytest.fixture
def moving(operator, bundles):
    """Return an operator with an open move ``ledger-v1-v2-2``."""
    for path in bundles:
        line = f'sign-off {path} --by 10m --operator amina --note x'
        assert operator.run(line).code == 0
    return operator
