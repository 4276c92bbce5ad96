"""The owner's account of a team, and the division of its tokens."""

from __future__ import annotations

import pytest

from damaskpier.teams import allowance_account
from damaskpier.teams import allowance_messages
from damaskpier.teams import allowance_owner
from damaskpier.teams import allowance_terms
from damaskpier.teams import allowances

BOUNDS = allowance_terms.Bounds()
TERMS = allowance_terms.make_terms(BOUNDS, 10.0, 5.0)


def _account(level=0.0):
    return allowance_account.Account(level, is_limited=True, now=0.0)


@pytest.mark.parametrize(
    'available, wants, expected',
    [
        (10, [2, 3, 4], 4),
        (10, [1, 20, 20], 4.5),
        (3, [5, 5, 5], 1),
        (0, [1, 1], 0),
        (5, [], 0),
    ],
)
def test_division_is_max_min_fair(available, wants, expected):
    """A node with a small demand gets it all, the others equal parts."""
    assert allowance_account.fair_part(available, wants) == expected


def test_overshoot_is_subtracted_from_later_grants():
    """What was admitted without tokens must not come on top of the rate."""
    account = _account()
    account.take(20, 0, 0)
    account.advance(TERMS, 1.0, 1.0)
    assert account.offer('a', 5, TERMS.rate_per_s, 1.0).tokens == 0
    account.advance(TERMS, 1.0, 2.5)
    assert account.offer('a', 5, TERMS.rate_per_s, 2.5).tokens == 5


def test_bucket_does_not_exceed_its_depth():
    """An idle team must not save up more than its burst."""
    account = _account()
    account.advance(TERMS, 1.0, 100.0)
    account.take(0, 50, 50)
    account.advance(TERMS, 1.0, 100.0)
    assert account.level == TERMS.depth


def test_retry_time_is_that_of_the_next_tokens():
    """Callers that come back too early are refused again."""
    account = _account(-15.0)
    offer = account.offer('a', 10, TERMS.rate_per_s, 0.0)
    assert offer.tokens == 0
    assert offer.retry_s == pytest.approx(2.0)


def _receive(owner, node_id, team_usage, now, terms, **fields):
    report = allowance_messages.Report(
        node_id, fields.get('is_apart', False), [team_usage]
    )
    return owner.receive(report, terms, 10, now)


def test_owner_grants_the_part_of_the_nodes_that_it_hears():
    """Two owners at a time would grant the limit twice."""
    owner = allowance_owner.Owner(BOUNDS.window_s, 0.0)
    terms = {'t': TERMS}
    for step in range(100):
        now = 0.3 * step
        for node in range(3):
            usage = allowance_messages.Usage('t')
            _receive(owner, f'n-{node}', usage, now, terms)
        # This one uses its own part.
        _receive(
            owner,
            'n-9',
            allowance_messages.Usage('t'),
            now,
            terms,
            is_apart=True,
        )
    usage = allowance_messages.Usage('t', want=100)
    reply = _receive(owner, 'n-0', usage, now, terms)
    (grant,) = reply.grants
    assert 0 < grant.tokens <= 0.3 * TERMS.depth


def _hear_all(owner, now, usage=None):
    """Let an owner hear all ten nodes, and return the last reply."""
    for node in range(10):
        report = allowance_messages.Report(f'n-{node}', False, [])
        owner.receive(report, {'t': TERMS}, 10, now)
    usage = usage or allowance_messages.Usage('t')
    return _receive(owner, 'n-0', usage, now + 0.2, {'t': TERMS})


def test_owner_that_starts_does_not_grant_the_burst():
    """The owner before it may have granted it a moment ago."""
    owner = allowance_owner.Owner(BOUNDS.window_s, 0.0)
    usage = allowance_messages.Usage('t', want=100)
    reply = _hear_all(owner, 1.0, usage)
    assert reply.is_new
    assert reply.grants[0].tokens <= TERMS.start


def test_owner_that_was_not_heard_for_a_time_begins_anew():
    """Another node has been the owner in between."""
    owner = allowance_owner.Owner(BOUNDS.window_s, 0.0)
    for step in range(20):
        _hear_all(owner, step)
    usage = allowance_messages.Usage('t', want=100)
    granted = _hear_all(owner, 20.0, usage).grants[0].tokens
    assert granted > TERMS.start
    reply = _hear_all(owner, 30.0, usage)
    assert reply.is_new
    assert reply.grants[0].tokens <= TERMS.start


def test_team_without_a_limit_costs_nothing():
    """A report of a team that has none must not open an account."""
    owner = allowance_owner.Owner(BOUNDS.window_s, 0.0)
    usage = allowance_messages.Usage('other', used=5, want=5)
    reply = _receive(owner, 'n-0', usage, 1.0, {})
    assert not reply.grants
    assert not reply.limited


def test_state_does_not_grow_with_teams_that_stopped():
    """Entry nodes and owners forget teams without requests."""
    terms = {f't-{n}': TERMS for n in range(200)}
    entry = allowances.EntryNode('n-0', 0.0)
    entry.set_owner('n-0', 0.0)
    owner = allowance_owner.Owner(BOUNDS.window_s, 0.0)
    for step in range(400):
        now = 0.6 * step
        arriving = list(terms)[2 * step : 2 * step + 2] if step < 100 else ()
        waiting = [
            team
            for team in arriving
            if entry.decide(team, TERMS, 1, now) is allowances.WAITING
        ]
        report = entry.make_report(now)
        entry.apply_reply('n-0', owner.receive(report, terms, 1, now))
        for team in waiting:
            entry.decide_waiting(team, TERMS, 1, now)
    assert not entry._shares
    assert not owner._accounts


def test_messages_survive_their_encoding():
    """The order of the fields is part of the wire format."""
    report = allowance_messages.Report(
        'n', True, [allowance_messages.Usage('t', 1, 2, 3, 4)]
    )
    digests = [allowance_messages.short_digest(team) for team in 'abc']
    limited = allowance_messages.pack_digests(digests)
    assert allowance_messages.unpack_digests(limited) == set(digests)
    reply = allowance_messages.Reply(
        True, limited, [allowance_messages.Grant('t', 1, 2)]
    )
    encode = allowance_messages.encode
    assert allowance_messages.decode_report(encode(report)) == report
    assert allowance_messages.decode_reply(encode(reply)) == reply


def test_owner_grants_no_burst_that_another_owner_may_have_granted():
    """The others had another owner until a partition healed.

    This one had no account of the team, and granted the whole burst again:
    115 tokens at 50 requests a second.
    """
    owner = allowance_owner.Owner(BOUNDS.window_s, 0.0)
    for step in range(40):
        for node in range(3):
            report = allowance_messages.Report(f'n-{node}', False, [])
            owner.receive(report, {'t': TERMS}, 10, 0.25 * step)
    usage = allowance_messages.Usage('t', want=100)
    granted = _hear_all(owner, 10.0, usage).grants[0].tokens
    assert granted <= 0.3 * TERMS.depth
