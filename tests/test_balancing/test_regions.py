"""Regions that a request may go to.

The tests guard against a request in a region that its route or its team
excludes.
"""

from __future__ import annotations

import pytest

from damaskpier.balancing import regions


@pytest.mark.parametrize(
    ('route', 'team', 'expected'),
    [
        ((), (), None),
        (('r',), (), {'r'}),
        ((), ('r', 's'), {'r', 's'}),
        (('r', 's'), ('s', 't'), {'s'}),
        (('r',), ('t',), set()),
    ],
)
def test_restrictions_of_route_and_team_both_apply(route, team, expected):
    """Guards against an empty intersection that is taken for all regions."""
    assert regions.intersect(route, team) == expected


def test_no_region_is_allowed_if_none_is_common():
    """Guards against a request of a contradictory configuration that runs."""
    assert regions.is_allowed('r', None)
    assert regions.is_allowed('r', frozenset('r'))
    assert not regions.is_allowed('r', frozenset('s'))
    assert not regions.is_allowed('r', frozenset())
