"""Test of a request through all separate processes."""

from __future__ import annotations

from tests.test_system import processes

BUNDLE = """\
services:
  ledger: {version: v1}
routes:
  ledger.balance: {service: ledger, method: GET, path: /ledger/balance,
                   repeatable: true}
  ledger.retire: {service: ledger, method: POST, path: /ledger/retire}
"""


def test_request_crosses_two_nodes_after_sign_off(system):
    """Announcement, sign-off and routing work between separate processes.

    Tests in one process miss faults of the programs themselves. The caller
    uses a node whose own upstream is of another service, so the request
    crosses two nodes.
    """
    system.start_node('n1', 'souss', 'souss-1', 'ledger')
    other = system.start_node('n2', 'rif', 'rif-1', 'parcels')
    system.sign_off(BUNDLE)

    def answered():
        answer = processes.call(other.http, '/ledger/balance')
        return answer if answer.status == 200 else None

    answer = processes.wait_until(answered, 'an answer from the other node')
    assert answer.body['worker'] == 'n1'
    assert answer.headers['Damaskpier-Version'] == 'v1'
    refused = processes.call(other.http, '/nowhere')
    assert refused.headers['Damaskpier-Result'] == 'DP-3001'
    assert refused.headers['Damaskpier-Run'] == 'not-run'
