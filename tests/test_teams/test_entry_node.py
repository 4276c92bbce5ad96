"""Decisions of one entry node."""

from __future__ import annotations

import pytest

from damaskpier.teams import allowance_messages
from damaskpier.teams import allowance_terms
from damaskpier.teams import allowances

TERMS = allowance_terms.make_terms(allowance_terms.Bounds(), 88.0, 10.0)
NODE_COUNT = 88
TEAM = 't'
OWNER = 'owner'
NO_LIMITS = allowance_messages.Reply(False, b'', [])
LIMITED = NO_LIMITS._replace(
    limited=allowance_messages.pack_digests(
        [allowance_messages.short_digest(TEAM)]
    )
)


def _answer(entry, now, reply=NO_LIMITS):
    report = entry.make_report(now)
    entry.apply_reply(OWNER, reply)
    return report


@pytest.fixture
def entry():
    """Return a node with an answer of its owner at time 0."""
    node = allowances.EntryNode('n', 0.0)
    node.set_owner(OWNER, 0.0)
    _answer(node, 0.0)
    return node


def _decide(entry, now):
    return entry.decide(TEAM, TERMS, NODE_COUNT, now)


def _count_admitted(entry, now, count=100):
    decisions = [_decide(entry, now) for _ in range(count)]
    return decisions.count(allowances.ADMITTED)


def test_team_below_its_limit_does_not_wait(entry):
    """Each request would otherwise wait for a message."""
    assert _decide(entry, 0.1) is allowances.ADMITTED
    assert entry.due_at() == allowances.REPORT_INTERVAL_S


def test_unreported_requests_are_bounded(entry):
    """A node that is cut off would use the limits of all the others."""
    assert _count_admitted(entry, 0.1) == 3
    assert entry.due_at() <= 0.2
    entry.make_report(0.2)
    assert _count_admitted(entry, 0.2) == 0
    entry.fail(0.3)
    assert _count_admitted(entry, 0.3) == 0


def test_requests_need_tokens_without_contact(entry):
    """The owner may have said meanwhile that the team is limited."""
    assert _decide(entry, allowances.FREE_S - 0.01) is allowances.ADMITTED
    assert _decide(entry, allowances.FREE_S + 0.01) is allowances.WAITING


def test_former_owner_does_not_vouch_for_a_new_one(entry):
    """The new owner knows nothing of the team's recent use."""
    entry.set_owner('other', 0.1)
    assert _decide(entry, 0.1) is allowances.WAITING


def test_limited_team_gets_what_was_granted(entry):
    """Requests without tokens learn when to come back."""
    _answer(entry, 0.1, LIMITED)
    waiting = [_decide(entry, 0.2) for _ in range(3)]
    assert waiting == 3 * [allowances.WAITING]
    grant = allowance_messages.Grant(TEAM, 2, 1500)
    report = _answer(entry, 0.2, LIMITED._replace(grants=[grant]))
    assert report.usages[0].want >= 3
    found = [
        entry.decide_waiting(TEAM, TERMS, NODE_COUNT, 0.3) for _ in range(3)
    ]
    assert found[:2] == 2 * [allowances.ADMITTED]
    assert found[2].verdict is allowances.Verdict.REFUSE
    assert found[2].retry_s == pytest.approx(1.4)


def test_old_tokens_are_given_back(entry):
    """Tokens that are used late add to those of the next window."""
    _answer(entry, 0.1, LIMITED)
    assert _decide(entry, 0.2) is allowances.WAITING
    grant = allowance_messages.Grant(TEAM, 5)
    _answer(entry, 0.2, LIMITED._replace(grants=[grant]))
    later = 0.7  # A tenth of the window, which is what the bound tolerates.
    assert _count_admitted(entry, later) == 0
    assert entry.make_report(later).usages[0].unused == 5


def test_lost_report_is_repeated(entry):
    """Requests that no owner knows of would not count."""
    assert _decide(entry, 0.1) is allowances.ADMITTED
    report = entry.make_report(0.2)
    assert report.usages[0].used == 1
    entry.fail(0.5)
    assert entry.make_report(0.6).usages[0].used == 1


def test_node_without_an_owner_uses_its_part(entry):
    """A node that is cut off must neither stop nor use the whole limit."""
    ends_at = allowances.APART_S + 10.0
    for _ in range(2):
        entry.make_report(0.1)
        entry.fail(0.2)
    now, admitted = 0.3, 0
    while now < ends_at:
        admitted += _decide(entry, now) is allowances.ADMITTED
        now += 0.01
    # 1 per second, and what it may admit before it has reported.
    assert 8 <= admitted <= 13
    assert entry.make_report(now).is_apart


def test_late_refusal_is_not_given_back(entry):
    """Its token may have been replaced by another one already."""
    _answer(entry, 0.1, LIMITED)
    entry.decide(TEAM, TERMS, NODE_COUNT, 0.2)
    entry.abandon_waiting(TEAM)
    entry.give_back(TEAM, 0.2, 0.2 + allowances.MAX_GIVE_BACK_S + 0.1)
    assert not entry.make_report(1.0).usages
