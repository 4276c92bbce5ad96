"""Contact with the store, on which the acceptance of keys may depend.

The tests guard against a removed key that a cut-off node goes on accepting,
and against refusals at nodes that do have contact through others.
"""

from __future__ import annotations

import random

import pytest

from damaskpier.teams import contact

LIMIT_S = 5.0


def test_contact_is_lost_at_the_limit_and_before_the_first_answer():
    """Guards against keys that are accepted on no knowledge or an old one."""
    known = contact.Contact(LIMIT_S)
    assert known.is_lost(100.0)
    known.record_store(100.0)
    assert not known.is_lost(104.9)
    assert known.is_lost(105.0)
    known.record_store(99.0)
    assert known.age_s(104.0) == 4.0


def test_answer_of_a_node_counts_from_the_question():
    """Guards against an answer that is taken for newer than it is.

    It may have waited in a buffer while this process was stopped.
    """
    known = contact.Contact(LIMIT_S)
    known.record_node(100.0, 2.0, is_as_new=True)
    assert known.age_s(103.0) == 5.0
    known.record_node(102.0, 4.5, is_as_new=True)
    assert known.age_s(103.0) == 5.0


def test_node_with_an_older_configuration_has_no_contact_by_others():
    """Guards against a key that is removed in the configuration of others."""
    known = contact.Contact(LIMIT_S)
    known.record_node(100.0, 0.0, is_as_new=False)
    assert known.is_lost(100.0)


def test_watch_keeps_a_node_in_contact_without_questions():
    """Guards against constant questions of nodes that the store answers.

    Each watch that brings no change is taken to start with its question.
    """
    known = contact.Contact(LIMIT_S)
    wait_s = contact.WATCH_WAIT_RATIO * LIMIT_S
    call_s = 0.02
    now = 0.0
    for _ in range(20):
        known.record_store(now)
        now += 2 * (wait_s + call_s)
        assert not known.needs_question(now)


def _simulate(
    count: int, has_store: list[bool], groups: list[int], until_s: float
) -> list[float]:
    """Return the largest age of each node.

    Every 0.5 s, each node asks two random nodes, if it needs to; those of
    another group do not answer.

    :param has_store: nodes that the store answers
    :param groups: group of each node
    """
    rng = random.Random(7)
    nodes = [contact.Contact(LIMIT_S) for _ in range(count)]
    largest = [0.0] * count
    for node in nodes:
        node.record_store(0.0)
    now = 0.0
    while now < until_s:
        now += 0.1
        for number, node in enumerate(nodes):
            if has_store[number] and rng.random() < 0.1:
                node.record_store(now)
            largest[number] = max(largest[number], node.age_s(now))
            if not node.needs_question(now) or rng.random() > 0.2:
                continue
            for other in rng.sample(range(count), 2):
                if groups[other] == groups[number]:
                    age_s = nodes[other].age_s(now)
                    node.record_node(now, age_s, is_as_new=True)
    return largest


def test_third_of_the_nodes_refused_by_the_store_accept_keys():
    """Guards against lost service while the store refuses some nodes."""
    has_store = [number % 3 != 0 for number in range(60)]
    largest = _simulate(60, has_store, [0] * 60, 12.0)
    assert max(largest) < LIMIT_S


def test_nodes_cut_off_together_do_not_keep_each_other_in_contact():
    """Guards against a removed key that stays valid in a part of the fleet.

    Nodes that only hear of each other would otherwise pass on contact that
    none of them has.
    """
    has_store = [number >= 20 for number in range(60)]
    groups = [int(has) for has in has_store]
    largest = _simulate(60, has_store, groups, 8.0)
    assert largest[:20] == pytest.approx([8.0] * 20, abs=0.2)
    assert max(largest[20:]) < LIMIT_S
