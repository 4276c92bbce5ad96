"""Tests of the records of nodes and workers."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies
import pytest

from damaskpier import application
from damaskpier import config
from damaskpier.mesh import membership
from damaskpier.mesh import model
from damaskpier.mesh import timing as timing_module
from damaskpier.mesh import wire
from tests import loop_time
from tests.test_mesh import conftest

TIMING = timing_module.Timing()
LEDGER = model.Announcement('ledger', 'v1', '127.0.0.1', 9, 20, 110)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_view(node_id='n1', clock=None, wall=lambda: 1000.0):
    text = conftest.SETTINGS.format(
        node_id=node_id, region='r', domain=1, seeds='', max_children=8
    )
    app = application.Application(config.loads(text))
    membership.setup(app, TIMING, clock or Clock(), wall)
    return app, app.service('membership')


def make_record(node_id='n2', seq=1, incarnation=1, **fields):
    fields = {'service': 'ledger', 'version': 'v1', 'ready': True} | fields
    domain = fields.pop('failure_domain', 'r-2')
    return model.NodeRecord(
        node_id, incarnation, seq, 'r', domain, '127.0.0.1', 1, 2, **fields
    )


def test_announcement_adds_and_removes_a_worker():
    app, view = make_view()
    changed = []
    app.events.connect('workers-changed', changed.append)
    view.apply_announcement(LEDGER)
    assert [w.node_id for w in view.workers('ledger')] == ['n1']
    seq = view.local_record().seq
    view.apply_announcement(LEDGER)
    assert view.local_record().seq == seq
    view.apply_announcement(LEDGER._replace(draining=True))
    assert view.workers('ledger') == ()
    view.apply_announcement(LEDGER)
    view.apply_announcement(None)
    assert view.workers('ledger') == ()
    assert changed == ['ledger'] * 4


def test_silent_upstream_expires():
    """An upstream that no longer announces itself is not routable.

    Otherwise requests are sent to an upstream that may have stopped.
    """
    clock = Clock()
    _, view = make_view(clock=clock)
    view.apply_announcement(LEDGER)
    clock.now += TIMING.announce_expiry_s * 0.9
    view.expire_records()
    assert view.workers('ledger')
    clock.now += TIMING.announce_expiry_s * 0.2
    view.expire_records()
    assert view.workers('ledger') == ()


async def test_pause_of_the_process_expires_no_upstream(monkeypatch):
    """A node that was paused does not withdraw its worker at once.

    The announcements that arrived during the pause are still to be read, and
    without the worker callers get 503 if it is the only one of its version.
    A silent upstream still expires while the node runs.
    """
    time = loop_time.LoopTime(monkeypatch)
    _, view = make_view(clock=time.time)
    checks = []
    expire_records = view.expire_records
    monkeypatch.setattr(
        view, 'expire_records', lambda: checks.append(expire_records())
    )
    await view.start()
    view.apply_announcement(LEDGER)
    # The expiry task starts its first wait.
    await time.advance(0)
    await time.advance(2 * TIMING.announce_expiry_s)
    await conftest.eventually(lambda: checks)
    assert view.workers('ledger')
    while view.workers('ledger'):
        await time.advance(TIMING.announce_expiry_s / 30)
    await view.stop()


def test_draining_outlives_announcements():
    """An announcement does not reset the draining of a stopping node.

    The upstream still announces itself as ready while the node drains, and
    other nodes would send requests to it again.
    """
    _, view = make_view()
    view.set_draining()
    view.apply_announcement(LEDGER)
    assert view.workers('ledger') == ()


def test_incarnation_grows_over_restarts():
    _, first = make_view(wall=lambda: 1000.0)
    _, second = make_view(wall=lambda: 1000.5)
    assert second.local_record().incarnation > first.local_record().incarnation


@pytest.mark.parametrize(
    ('new', 'is_merged'),
    [
        ({'seq': 3}, False),
        ({'seq': 4}, False),
        ({'seq': 4, 'gone': True}, True),
        ({'seq': 5}, True),
        ({'seq': 1, 'incarnation': 2}, True),
        ({'seq': 9, 'incarnation': 0}, False),
    ],
)
def test_higher_order_wins(new, is_merged):
    """Records are merged by order, because deltas can arrive out of order."""
    _, view = make_view()
    view.merge([make_record(seq=4)])
    assert bool(view.merge([make_record(**new)])) is is_merged


def test_tombstone_removes_a_worker_and_expires():
    clock = Clock()
    _, view = make_view(clock=clock)
    view.merge([make_record()])
    view.mark_gone(['n2'])
    assert view.workers('ledger') == ()
    view.merge([make_record()])
    assert view.workers('ledger') == ()
    clock.now += TIMING.tombstone_s + 1
    view.expire_records()
    assert view.get('n2') is None


def test_node_refutes_its_tombstone():
    """A live node that was marked as gone becomes routable again.

    Without a record of a higher order its tombstone would stay on all nodes.
    """
    _, own = make_view()
    _, other = make_view('n2')
    own.apply_announcement(LEDGER)
    other.merge([own.local_record()])
    other.mark_gone(['n1'])
    own.merge([other.get('n1')])
    other.merge([own.local_record()])
    assert [w.node_id for w in other.workers('ledger')] == ['n1']


RECORDS = strategies.lists(
    strategies.builds(
        make_record,
        node_id=strategies.sampled_from(['n2', 'n3', 'n4']),
        seq=strategies.integers(1, 4),
        incarnation=strategies.integers(1, 2),
        gone=strategies.booleans(),
    ),
    max_size=12,
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(records=RECORDS, seed=strategies.integers(0, 99))
def test_records_agree_in_any_order_of_deltas(records, seed):
    """Nodes have the same records whatever the order of deltas.

    Deltas reach nodes by different paths, out of order and repeatedly.
    """
    _, first = make_view('n1')
    _, second = make_view('n1')
    first.merge(records)
    mixed = records * 2
    random.Random(seed).shuffle(mixed)
    for record in mixed:
        second.merge([record])
    assert first.digests() == second.digests()
    key = [(r.node_id, r.order) for r in first.nodes()]
    assert sorted(key) == sorted((r.node_id, r.order) for r in second.nodes())
    assert {w.node_id for w in first.workers('ledger')} == {
        r.node_id for r in first.nodes() if r.routable
    }


def test_exchange_sends_only_domains_that_differ():
    _, parent = make_view('n1')
    _, child = make_view('n5')
    both = make_record('n2', failure_domain='r-3')
    parent.merge([both, make_record('n3', failure_domain='r-4')])
    child.merge([both, make_record('n4', failure_domain='r-4')])
    parent.merge([child.local_record()])
    child.merge([parent.local_record()])
    records, domains = parent.differing_records(child.digests())
    assert domains == {'r-4'}
    assert [record.node_id for record in records] == ['n3']
    records, domains = wire.delta_from_pb(wire.delta_to_pb(records, domains))
    # The parent lacks a descendant of the child, while any other record that
    # it does not have is outdated.
    assert child.replace_domains(records, domains, {'n4'}, None) == [
        child.get('n4')
    ]
    assert child.replace_domains(records, domains, set(), None) == []
    assert child.get('n4') is None


def test_large_delta_is_compressed():
    records = [make_record(f'n{i:03}') for i in range(300)]
    delta = wire.delta_to_pb(records)
    assert delta.packed and delta.ByteSize() < 5000
    assert wire.delta_from_pb(delta) == (records, set())


async def test_draining_upstream_is_routable_on_no_node(fleet):
    """A draining upstream is not routable on any node of the fleet.

    Requests sent to it after its announcement may fail when it stops.
    """
    await fleet.start('souss', 6, max_children=2)
    await fleet.start('rif', 3)
    await fleet.wait_for_one_tree()
    for node in fleet.nodes:
        node.announce()
    count = len(fleet.nodes)
    await conftest.eventually(
        lambda: all(
            len(n.membership.workers('ledger')) == count for n in fleet.nodes
        )
    )
    fleet.nodes[-1].announce(draining=True)
    await conftest.eventually(
        lambda: all(
            len(n.membership.workers('ledger')) == count - 1
            for n in fleet.nodes
        )
    )
