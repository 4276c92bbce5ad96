"""Tests of the admin pages that the command line reads."""

from __future__ import annotations

import types

from damaskpier.bundle import model as bundle_model
from damaskpier.mesh import model as mesh_model
from damaskpier.operator import pages
from damaskpier.operator import view
from damaskpier.rollout import model as rollout_model

MOVE = bundle_model.Move('m1', 'ledger', 'v1', 'v2', 1.0, 2.0)


def _node_record(node_id):
    return mesh_model.NodeRecord(
        node_id, 1, 1, 'rif', 'rif-1', '10.0.0.1', 1, 2
    )


class _StubApplication:
    """Application whose services have fixed attributes."""

    def __init__(self, **services):
        self._services = services

    def service(self, name):
        return types.SimpleNamespace(**self._services[name])


def test_versions_in_the_subtree_are_lower_bounds():
    """Guards against reporting a version that a node may not have yet.

    A child reports its own version and the lowest one of its subtree, but not
    the version of each node below it.
    """
    child = types.SimpleNamespace(
        peer=_node_record('b'),
        applied_version=5,
        lowest_version=4,
        subtree_ids={'b', 'c'},
    )
    app = _StubApplication(
        tree={'children': [child]},
        membership={
            'nodes': lambda: [_node_record(name) for name in 'abcd'],
            'local_record': lambda: _node_record('a'),
        },
        configuration={'version': lambda: 6},
    )
    found = {
        node['node_id']: view.applied_version(node)
        for node in pages.nodes(app)
    }
    assert found == {'a': 6, 'b': 5, 'c': 4, 'd': None}


def test_moves_are_listed_with_their_state():
    state = rollout_model.MoveState(
        'm1', 3, 7, rollout_model.Phase.DONE, {'r': 1.0}, 'ok', 5001
    )
    head = types.SimpleNamespace(moves=(MOVE,))
    app = _StubApplication(
        configuration={'current': lambda: types.SimpleNamespace(head=head)},
        rollouts={'state': {'m1': state}.get},
    )
    states = view.states_by_move({'moves': pages.moves(app)})
    merged = view.merge_state(view.MoveView('m1'), states['m1'])
    assert (merged.verdict, merged.result, merged.seq) == ('done', 5001, 7)
