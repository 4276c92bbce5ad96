"""Decision which team holds the key of a request.

The tests guard against requests that run for the wrong team or without a key.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest

from damaskpier.teams import keys


class Holder(NamedTuple):
    """Team with the digests of its keys."""

    name: str
    key_digests: tuple[bytes, ...] = ()


def digests(*names: str) -> tuple[bytes, ...]:
    """Return the digests of some keys."""
    return tuple(keys.digest_of_key(name.encode()) for name in names)


TEAMS = (
    Holder('bozi', digests('key-1', 'key-2')),
    Holder('noba', digests('key-3')),
    Holder('none'),
)


@pytest.mark.parametrize(
    ('key', 'team'), [('key-1', 'bozi'), ('key-2', 'bozi'), ('key-3', 'noba')]
)
def test_each_key_of_a_team_identifies_it(key: str, team: str):
    """Guards against a request that runs for another team."""
    found = keys.KeyTable(TEAMS).authenticate(digests(key))
    assert found.name == team


@pytest.mark.parametrize(
    ('given', 'fault'),
    [
        ((), keys.KeyFault.MISSING),
        (('key-4',), keys.KeyFault.UNKNOWN),
        (('KEY-1',), keys.KeyFault.UNKNOWN),
        (('key-1 ',), keys.KeyFault.UNKNOWN),
        (('key-1', 'key-3'), keys.KeyFault.REPEATED),
        (('key-1', 'key-1'), keys.KeyFault.REPEATED),
    ],
)
def test_request_without_exactly_one_known_key_is_refused(
    given: tuple[str, ...], fault: keys.KeyFault
):
    """Guards against a request whose key is not the one that is checked."""
    assert keys.KeyTable(TEAMS).authenticate(digests(*given)) is fault


def test_keys_are_required_even_if_no_team_has_one():
    """Guards against a configuration whose last key was removed.

    Its requests would run without any key.
    """
    assert keys.KeyTable([Holder('none')]).is_required
    assert not keys.KeyTable().is_required


def test_change_of_teams_is_described_by_counts():
    """Guards against a removed key that no log line shows, or that one has."""
    moved = (
        Holder('bozi', digests('key-1')),
        Holder('noba', digests('key-3', 'key-2')),
        Holder('sona', digests('key-4')),
    )
    assert keys.describe_change(TEAMS, TEAMS) == ''
    assert keys.describe_change(TEAMS, moved) == (
        '3 teams (1 added, 1 removed) with 4 keys (2 added, 1 removed)'
    )
    assert keys.describe_change((), TEAMS) == (
        '3 teams (3 added, 0 removed) with 3 keys (3 added, 0 removed)'
    )


def test_teams_that_can_not_be_told_apart_are_found():
    """Guards against a key or a name that stands for two teams."""
    assert not keys.find_conflict(TEAMS)
    assert not keys.find_conflict([Holder('bozi', digests('a', 'a'))])
    shared = Holder('sona', digests('key-9', 'key-3'))
    conflict = keys.find_conflict((*TEAMS, shared))
    assert conflict == "the teams 'noba' and 'sona' share a key"
    conflict = keys.find_conflict((*TEAMS, Holder('noba', digests('key-9'))))
    assert conflict == "2 teams have the name 'noba'"
