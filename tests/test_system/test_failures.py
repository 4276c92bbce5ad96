"""Kills, freezes and planned stops while callers go on calling."""

from __future__ import annotations

import collections
import signal

from tests.test_system import processes
from tests.test_system import scenario

SLOW_MS = 150


def kill(node):
    """Kill a node and its upstream, as the loss of an instance does."""
    node.process.kill()
    node.upstream.kill()
    node.process.wait()
    node.upstream.wait()


def assert_truthful(system, callers, gone=()):
    """Check run states against what the upstreams counted."""
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


def wait_for_more(callers, count):
    """Wait until callers got more answers."""
    wanted = len(callers.records) + count
    processes.wait_until(
        lambda: len(callers.records) >= wanted, f'{count} more answers'
    )


def test_killed_instances_cause_no_second_run_and_no_untrue_refusal(fleet):
    """Guards against double runs and untrue refusals after a kill.

    The killed instance's own counts are lost, but a request that it ran and
    that was sent again would be counted by another one.
    """
    victim = fleet.nodes['old1']
    # Many requests have to run at the time of the kill.
    victim.fault(path='*', slow_ms=SLOW_MS)
    with scenario.calls(fleet, 'new') as callers:
        wait_for_more(callers, 100)
        before = victim.runs()
        kill(victim)
        wait_for_more(callers, 300)
    assert_truthful(fleet, callers, gone=(victim,))
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


def test_planned_stops_cut_no_request(fleet):
    """Guards against requests that are cut by a stop of node or upstream."""
    stopped, leaving = fleet.nodes['old0'], fleet.nodes['old1']
    for node in (stopped, leaving):
        node.fault(path='*', slow_ms=SLOW_MS)
    with scenario.calls(fleet, 'new') as callers:
        wait_for_more(callers, 100)
        stopped.process.send_signal(signal.SIGTERM)
        wait_for_more(callers, 200)
        processes.wait_until(
            lambda: stopped.process.poll() is not None, 'the end of the node'
        )
        leaving.upstream.send_signal(signal.SIGTERM)
        processes.wait_until(
            lambda: leaving.upstream.poll() is not None, 'the end of upstream'
        )
        wait_for_more(callers, 100)
    assert callers.broken == []
    assert [r for r in callers.records if r.status != 200] == []
    assert stopped.process.returncode == 0
    assert_truthful(fleet, callers, gone=(leaving,))


def test_frozen_node_gets_no_work_after_a_few_seconds(fleet):
    """Guards against connections that look open but are silent for good."""
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
        wait_for_more(callers, 200)
    assert_truthful(fleet, callers)


def test_fleet_converges_after_half_of_it_died_and_returned(fleet):
    """Guards against versions that stay behind after the death of a herd."""
    lost = [node for name, node in fleet.nodes.items() if name[-1] != '2']
    for node in lost[:3]:
        kill(node)
    fleet.sign_off(scenario.BUNDLE.format(version='v1') + '# again\n')
    head = fleet.head()
    scenario.wait_for_version(fleet, head['version'])
    for node in lost[:3]:
        place = scenario.PLACES[int(node.name[-1])]
        version = 'v1' if node.name.startswith('old') else 'v2'
        fleet.start_node(node.name, *place, 'ledger', version)
    scenario.wait_for_version(fleet, head['version'])
    with scenario.calls(fleet, 'new') as callers:
        wait_for_more(callers, 100)
    assert {record.status for record in callers.records} == {200}
