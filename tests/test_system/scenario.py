"""What the tests of whole processes have in common."""

from __future__ import annotations

import contextlib

from tests.test_system import processes

BUNDLE = """\
services:
  ledger: {{version: {version}}}
routes:
  ledger.balance: {{service: ledger, method: GET, path: /ledger/balance,
                   repeatable: true}}
  ledger.retire: {{service: ledger, method: POST, path: /ledger/retire}}
"""
PATHS = [('GET', '/ledger/balance'), ('POST', '/ledger/retire')]
PLACES = (
    ('souss', 'souss-1'),
    ('moyen-atlas', 'moyen-atlas-1'),
    ('rif', 'rif-1'),
)


def wait_for_version(system, version):
    """Wait until each living node has applied a version."""

    def applied():
        return all(
            processes.call(node.admin, '/status').body['version'] >= version
            for node in living(system)
        )

    processes.wait_until(applied, f'version {version} on all nodes')


def living(system):
    """Return the nodes whose process runs."""
    return [
        node
        for node in system.nodes.values()
        if node.process.poll() is None and node.name not in system.frozen
    ]


@contextlib.contextmanager
def calls(system, callers_of):
    """Call the nodes of some names while the context is open."""

    def addresses():
        nodes = [n for n in living(system) if n.name.startswith(callers_of)]
        return [node.http for node in nodes]

    with processes.Callers(addresses, PATHS) as callers:
        processes.wait_until(lambda: callers.answers() > 20, 'answers')
        yield callers
