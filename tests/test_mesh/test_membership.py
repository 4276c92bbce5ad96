"""Tests of the view of nodes and workers."""

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


def test_announcement_makes_and_ends_a_worker():
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
    """Guards against calls to an upstream that no longer announces."""
    clock = Clock()
    _, view = make_view(clock=clock)
    view.apply_announcement(LEDGER)
    clock.now += TIMING.announce_expiry_s * 0.9
    view.expire()
    assert view.workers('ledger')
    clock.now += TIMING.announce_expiry_s * 0.2
    view.expire()
    assert view.workers('ledger') == ()


def test_draining_outlives_announcements():
    """Guards against a leaving node that is announced as ready again."""
    _, view = make_view()
    view.set_draining()
    view.apply_announcement(LEDGER)
    assert view.workers('ledger') == ()


def test_incarnation_grows_over_restarts():
    _, first = make_view(wall=lambda: 1000.0)
    _, second = make_view(wall=lambda: 1000.5)
    assert second.local_record().incarnation > first.local_record().incarnation


@pytest.mark.parametrize(
    ('new', 'taken'),
    [
        ({'seq': 3}, False),
        ({'seq': 4}, False),
        ({'seq': 4, 'gone': True}, True),
        ({'seq': 5}, True),
        ({'seq': 1, 'incarnation': 2}, True),
        ({'seq': 9, 'incarnation': 0}, False),
    ],
)
def test_higher_order_wins(new, taken):
    """Guards against updates that overtake one another."""
    _, view = make_view()
    view.merge([make_record(seq=4)])
    assert bool(view.merge([make_record(**new)])) is taken


def test_tombstone_hides_a_node_and_is_forgotten():
    clock = Clock()
    _, view = make_view(clock=clock)
    view.merge([make_record()])
    view.mark_gone(['n2'])
    assert view.workers('ledger') == ()
    view.merge([make_record()])
    assert view.workers('ledger') == ()
    clock.now += TIMING.tombstone_s + 1
    view.expire()
    assert view.get('n2') is None


def test_node_that_is_declared_gone_refutes():
    """Guards against a live node that stays out of every view."""
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
def test_views_agree_whatever_the_order(records, seed):
    """Guards against views that depend on the path of a delta."""
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
    # A node below the child is new to the parent, any other one is old.
    assert child.adopt_view(records, domains, {'n4'}, None) == [
        child.get('n4')
    ]
    assert child.adopt_view(records, domains, set(), None) == []
    assert child.get('n4') is None


def test_large_delta_is_compressed():
    records = [make_record(f'n{i:03}') for i in range(300)]
    delta = wire.delta_to_pb(records)
    assert delta.packed and delta.ByteSize() < 5000
    assert wire.delta_from_pb(delta) == (records, set())


async def test_drained_upstream_leaves_every_view(fleet):
    """Guards against calls to an upstream that has announced its end."""
    await fleet.start('souss', 6, max_children=2)
    await fleet.start('rif', 3)
    await fleet.whole()
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
