"""Tests of moves between upstream versions, also with failures."""

from __future__ import annotations

import json
import signal
import time

from tests.test_system import processes
from tests.test_system import scenario

# Part of all requests that may reach a bad version.
MAX_EXPOSURE_RATIO = 0.05


def start_move(system, by='120s'):
    """Sign off version v2 and return the name of the move.

    :param by: time by which the move has to be done
    """
    system.sign_off(scenario.BUNDLE.format(version='v2'), '--by', by)
    return system.head()['moves'][0]['move']


def break_new_version(system, gone=None):
    """Make the upstreams of the new version fail on one route.

    :param gone: node whose upstream has ended
    :returns: the monotonic time before the fault
    """
    began = time.monotonic()
    for node in system.nodes.values():
        if node.name.startswith('new') and node is not gone:
            node.set_fault(path='/ledger/balance', failure_rate=1.0)
    return began


def wait_for_verdict(system, move, verdict):
    """Wait until a phase of a move is stored on the platform."""
    processes.wait_until(
        lambda: system.verdict(move) == verdict, f'{move} {verdict}'
    )


def assert_taken_back(system, callers, broken):
    """Check that a take-back is complete and the exposure was limited.

    :param broken: monotonic time at which the version became bad
    """
    head = processes.wait_until(
        lambda: system.head() if not system.head()['moves'] else None,
        'the head without the move',
    )
    assert head['version'] > 2
    scenario.wait_for_version(system, head['version'])
    before = len(callers.records)
    processes.wait_until(
        lambda: len(callers.records) > before + 100, 'more calls'
    )
    # The first calls may have begun before the last node applied the version.
    late = [r.version for r in callers.records[before + 10 :]]
    assert set(late) <= {'v1'}
    exposed = sum(r.version == 'v2' and r.at > broken for r in callers.records)
    assert exposed <= MAX_EXPOSURE_RATIO * len(callers.records)


def test_bad_version_is_taken_back_by_a_higher_version(fleet):
    """A bad version gets no more requests, and the verdict is readable.

    Nodes keep the configuration with the highest version, so the take-back
    needs a higher one. Without it the bad version would keep or regain
    traffic.
    """
    broken = break_new_version(fleet)
    with scenario.calls(fleet, 'old') as callers:
        move = start_move(fleet)
        wait_for_verdict(fleet, move, 'taken_back')
        assert_taken_back(fleet, callers, broken)
    done = fleet.operator('verdict', move, '--json')
    assert json.loads(done.stdout)['verdict'] == 'taken back'


def test_good_version_is_done_by_the_stated_time(fleet):
    """A move to a good version is done by its stated time.

    A decider that stalls, or that takes normal behaviour for a fault, would
    miss the time or take the version back.
    """
    with scenario.calls(fleet, 'old') as callers:
        move = start_move(fleet, by='15s')
        wait_for_verdict(fleet, move, 'done')
        processes.wait_until(
            lambda: callers.records[-1].version == 'v2', 'the new version'
        )
    assert not callers.failed_calls
    assert [r for r in callers.records if r.status != 200] == []


def test_bad_version_is_taken_back_after_the_decider_is_killed(fleet):
    """Another node decides a move after its decider is killed.

    The bad version appears after the kill, so only a successor that resumes
    the move can take it back.
    """
    with scenario.calls(fleet, 'old') as callers:
        move = start_move(fleet)
        processes.wait_until(lambda: fleet.verdict(move), 'a stored state')
        root = fleet.fleet_root()
        root.process.kill()
        root.process.wait()
        root.upstream.kill()
        broken = break_new_version(fleet, gone=root)
        wait_for_verdict(fleet, move, 'taken_back')
        assert_taken_back(fleet, callers, broken)


def test_frozen_decider_does_not_decide_after_its_lease_expired(fleet):
    """A decider that continues after a pause does not write any more.

    Its lease has expired during the pause and another node has decided, so
    its writes would change the decided state.
    """
    with scenario.calls(fleet, 'old') as callers:
        move = start_move(fleet)
        processes.wait_until(lambda: fleet.verdict(move), 'a stored state')
        root = fleet.fleet_root()
        fleet.frozen.add(root.name)
        root.process.send_signal(signal.SIGSTOP)
        processes.wait_until(
            lambda: fleet.fleet_root() is not root, 'another decider'
        )
        broken = break_new_version(fleet)
        wait_for_verdict(fleet, move, 'taken_back')
        head = processes.wait_until(
            lambda: fleet.head() if not fleet.head()['moves'] else None,
            'the head without the move',
        )
        root.process.send_signal(signal.SIGCONT)
        fleet.frozen.clear()
        assert_taken_back(fleet, callers, broken)
    assert fleet.verdict(move) == 'taken_back'
    assert fleet.head()['version'] == head['version']


def test_bad_version_is_stopped_while_the_platform_is_down(fleet):
    """Nodes take a bad version back while the platform is down.

    A take-back that waits for the platform would keep the bad version in use
    for the whole outage.
    """
    with scenario.calls(fleet, 'old') as callers:
        move = start_move(fleet)
        processes.wait_until(lambda: fleet.verdict(move), 'a stored state')
        fleet.set_faults(down='hang')
        broken = break_new_version(fleet)

        def decided():
            pages = [
                processes.call(node.admin, '/status').body
                for node in scenario.running_nodes(fleet)
            ]
            return all(
                page['moves'][0]['phase'] == 'taken_back' for page in pages
            )

        processes.wait_until(decided, 'the take-back on all nodes')
        before = len(callers.records)
        processes.wait_until(
            lambda: len(callers.records) > before + 100, 'more calls'
        )
        late = [record.version for record in callers.records[before + 10 :]]
        assert set(late) == {'v1'}
        fleet.set_faults(down='')
        wait_for_verdict(fleet, move, 'taken_back')
        assert_taken_back(fleet, callers, broken)
