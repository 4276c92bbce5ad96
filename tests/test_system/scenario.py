"""Bundle, locations and helpers that the system tests share."""

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
LOCATIONS = (
    ('souss', 'souss-1'),
    ('moyen-atlas', 'moyen-atlas-1'),
    ('rif', 'rif-1'),
)


def wait_for_version(system, version):
    """Wait until each running node has applied a configuration version."""

    def applied():
        return all(
            processes.call(node.admin, '/status').body['version'] >= version
            for node in running_nodes(system)
        )

    processes.wait_until(applied, f'version {version} on all nodes')


def running_nodes(system):
    """Return the nodes whose process runs and is not frozen."""
    return [
        node
        for node in system.nodes.values()
        if node.process.poll() is None and node.name not in system.frozen
    ]


@contextlib.contextmanager
def calls(system, callers_of):
    """Return a context manager that sends calls in the background.

    :param callers_of: prefix of the names of the nodes to call
    """

    def addresses():
        nodes = [
            n for n in running_nodes(system) if n.name.startswith(callers_of)
        ]
        return [node.http for node in nodes]

    with processes.Callers(addresses, PATHS) as callers:
        processes.wait_until(lambda: callers.response_count() > 20, 'answers')
        yield callers
