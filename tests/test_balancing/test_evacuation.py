"""Which failure domains are evacuated, by the store and by other nodes."""

from __future__ import annotations

import random

import pytest

from damaskpier.balancing import evacuation


def _history(rng: random.Random) -> list[evacuation.State]:
    """Return the states of a store in which domains come and go."""
    state = evacuation.State(0, 1, frozenset())
    states = [state]
    for number in range(30):
        state = state.after_change(
            state.revision + rng.randint(1, 5),
            rng.choice('abc'),
            is_evacuated=rng.random() < 0.5,
        )
        if number == 15:
            # The store comes back from an older copy.
            state = evacuation.State(1, states[5].revision, frozenset('a'))
        states.append(state)
    return states


@pytest.mark.parametrize('seed', range(20))
def test_nodes_that_hear_in_any_order_conclude_the_same(seed):
    """Removed objects must not come back from nodes that were cut off.

    Nodes start in the middle, hear late, twice, or from each other only.
    """
    rng = random.Random(seed)
    states = _history(rng)
    nodes = [evacuation.Evacuations() for _ in range(6)]
    for state in states:
        for node in nodes[:3]:
            if rng.random() < 0.5:
                node.merge(state)
        one, other = rng.sample(nodes, 2)
        if other.state is not None:
            one.merge(other.state)
    nodes[0].merge(states[-1])
    nodes[5] = evacuation.Evacuations()
    for state in rng.sample(states, 5):
        nodes[2].merge(state)
    for _ in range(2):
        for one in nodes:
            for other in nodes:
                if other.state is not None:
                    one.merge(other.state)
    assert {node.state for node in nodes} == {states[-1]}


def test_change_is_reported_once():
    known = evacuation.Evacuations()
    assert known.merge(evacuation.State(0, 5, frozenset('a')))
    assert not known.merge(evacuation.State(0, 5, frozenset('a')))
    assert not known.merge(evacuation.State(0, 9, frozenset('a')))
    assert known.state.revision == 9
    assert not known.merge(evacuation.State(0, 7, frozenset()))
    assert known.covers('a')
    assert known.merge(evacuation.State(0, 10, frozenset()))
    assert not known.covers('a')


def test_node_that_knows_nothing_waits_and_then_serves():
    """It may have started in the middle of an evacuation.

    If the store and all other nodes are away, refusing for ever would be lost
    service.
    """
    known = evacuation.Evacuations(10.0)
    assert known.hold_s(10.5) > 0
    assert known.hold_s(10.0 + evacuation.UNKNOWN_HOLD_S) == 0
    known.merge(evacuation.State(0, 1, frozenset()))
    assert known.hold_s(10.5) == 0


def test_evacuation_that_a_restored_store_lacks_is_held():
    """Guards against requests to a domain until the operator writes again."""
    known = evacuation.Evacuations()
    known.merge(evacuation.State(1, 9, frozenset('ab')))
    assert not known.merge(evacuation.State(2, 5, frozenset('a')))
    assert known.covers('b')
    assert known.release_held()
    assert known.domains == frozenset('a')


def test_held_evacuation_that_is_written_again_can_be_removed():
    """Guards against a removal that counts as a loss of the store."""
    known = evacuation.Evacuations()
    known.merge(evacuation.State(1, 9, frozenset('b')))
    known.merge(evacuation.State(2, 5, frozenset()))
    known.merge(evacuation.State(2, 6, frozenset('b')))
    assert known.merge(evacuation.State(2, 7, frozenset()))
    assert not known.covers('b')
