"""Tests of killed, frozen and stopped processes under constant load."""

from __future__ import annotations

import collections
import signal

from tests.test_system import processes
from tests.test_system import scenario

SLOW_MS = 150


def kill_instance(node):
    """Kill a node and its upstream without a drain."""
    node.process.kill()
    node.upstream.kill()
    node.process.wait()
    node.upstream.wait()


def assert_run_states_match(system, callers, gone=()):
    """Check the run states of all calls against the counts of the upstreams.

    :param gone: nodes whose upstream has ended, so that its counts are lost
    """
    runs = collections.Counter()
    for node in system.nodes.values():
        if node not in gone:
            runs.update(node.runs())
    for record in callers.records:
        if record.method == 'POST':
            assert runs[record.sent_id] <= 1, record
        if record.run == 'not-run':
            assert runs[record.sent_id] == 0, record
        if record.status == 200:
            assert record.request_id == record.sent_id


def wait_for_more_responses(callers, count):
    """Wait for a number of further responses."""
    wanted = len(callers.records) + count
    processes.wait_until(
        lambda: len(callers.records) >= wanted, f'{count} more answers'
    )


def test_killed_instance_causes_no_second_run_and_no_false_not_run(fleet):
    """A kill causes no second run and no false ``not-run``.

    A node that loses its connection to a worker may not know whether the
    request ran. The killed instance's own counts are lost, but a request that
    it ran and that was sent again would be counted by another one.
    """
    victim = fleet.nodes['old1']
    # Slow requests, so that many run at the time of the kill.
    victim.set_fault(path='*', slow_ms=SLOW_MS)
    with scenario.calls(fleet, 'new') as callers:
        wait_for_more_responses(callers, 100)
        before = victim.runs()
        kill_instance(victim)
        wait_for_more_responses(callers, 300)
    assert_run_states_match(fleet, callers, gone=(victim,))
    others = collections.Counter()
    for node in fleet.nodes.values():
        if node is not victim:
            others.update(node.runs())
    twice = [
        record.sent_id
        for record in callers.records
        if record.method == 'POST'
        and record.sent_id in before
        and others[record.sent_id]
    ]
    assert twice == []
    assert {r.status for r in callers.records[-100:]} == {200}


def test_planned_stops_interrupt_no_request(fleet):
    """A stop of a node or an upstream interrupts no request.

    After SIGTERM both have to finish the requests that run while the other
    nodes stop sending new ones.
    """
    stopped, leaving = fleet.nodes['old0'], fleet.nodes['old1']
    for node in (stopped, leaving):
        node.set_fault(path='*', slow_ms=SLOW_MS)
    with scenario.calls(fleet, 'new') as callers:
        wait_for_more_responses(callers, 100)
        stopped.process.send_signal(signal.SIGTERM)
        wait_for_more_responses(callers, 200)
        processes.wait_until(
            lambda: stopped.process.poll() is not None, 'the end of the node'
        )
        leaving.upstream.send_signal(signal.SIGTERM)
        processes.wait_until(
            lambda: leaving.upstream.poll() is not None, 'the end of upstream'
        )
        wait_for_more_responses(callers, 100)
    assert callers.failed_calls == []
    assert [r for r in callers.records if r.status != 200] == []
    assert stopped.process.returncode == 0
    assert_run_states_match(fleet, callers, gone=(leaving,))


def test_frozen_node_gets_no_requests_after_a_few_seconds(fleet):
    """Callers get only successful answers soon after a node is frozen.

    The connections of a process paused by SIGSTOP stay open but unresponsive,
    so other nodes get no error and have to detect the freeze themselves.
    """
    with scenario.calls(fleet, 'new') as callers:
        frozen = fleet.nodes['old2']
        fleet.frozen.add(frozen.name)
        frozen.process.send_signal(signal.SIGSTOP)

        def recovered():
            last = [record.status for record in callers.records[-200:]]
            return len(callers.records) > 400 and set(last) == {200}

        processes.wait_until(recovered, 'answers from the other workers')
        frozen.process.send_signal(signal.SIGCONT)
        fleet.frozen.clear()
        wait_for_more_responses(callers, 200)
    assert_run_states_match(fleet, callers)


def test_fleet_converges_after_restart_of_half_of_the_nodes(fleet):
    """All nodes apply the current version after half of them restart.

    The sign-off takes place while these nodes are down, so they have to fetch
    the version after they return.
    """
    lost = [node for name, node in fleet.nodes.items() if name[-1] != '2']
    for node in lost[:3]:
        kill_instance(node)
    fleet.sign_off(scenario.BUNDLE.format(version='v1') + '# again\n')
    head = fleet.head()
    scenario.wait_for_version(fleet, head['version'])
    for node in lost[:3]:
        place = scenario.LOCATIONS[int(node.name[-1])]
        version = 'v1' if node.name.startswith('old') else 'v2'
        fleet.start_node(node.name, *place, 'ledger', version)
    scenario.wait_for_version(fleet, head['version'])
    with scenario.calls(fleet, 'new') as callers:
        wait_for_more_responses(callers, 100)
    assert {record.status for record in callers.records} == {200}
