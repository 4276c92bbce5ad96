"""Tests of the checks before a configuration is applied."""

from __future__ import annotations

import pytest

from damaskpier.bundle import check
from damaskpier.bundle import codec
from damaskpier.bundle import model
from damaskpier import errors


def test_a_good_snapshot_passes(snapshot):
    assert check.check_snapshot(snapshot) is None


def changed_head(snapshot, **fields):
    """Return a snapshot with other fields in its head."""
    return snapshot._replace(head=snapshot.head._replace(**fields))


@pytest.mark.parametrize(
    ('fields', 'code'),
    [
        ({'version': 0}, errors.BUNDLE_SCHEMA),
        ({'digest': 'x'}, errors.CONFIG_DIGEST),
    ],
)
def test_a_bad_head_is_refused(snapshot, fields, code):
    refused = check.check_snapshot(changed_head(snapshot, **fields))
    assert refused.code is code


@pytest.mark.parametrize('field', ['service', 'new'])
def test_a_move_has_to_match_the_bundle(snapshot, field):
    """Moves have to refer to services and versions of the bundle, once each.

    Otherwise a node would shift traffic to a version that it does not
    have.
    """
    move = snapshot.head.moves[0]._replace(**{field: 'other'})
    refused = check.check_snapshot(changed_head(snapshot, moves=(move,)))
    assert refused.code is errors.BUNDLE_REFERENCE
    twice = snapshot.head.moves * 2
    refused = check.check_snapshot(changed_head(snapshot, moves=twice))
    assert refused.code is errors.BUNDLE_REFERENCE


@pytest.mark.parametrize(
    ('route', 'code'),
    [
        (('x', 'missing', 'GET', '/x'), errors.BUNDLE_REFERENCE),
        (('x', 'ledger', 'GET', '/parcels/*'), errors.BUNDLE_CONFLICT),
        (('x', 'ledger', 'GET', '/x', True, 0), errors.BUNDLE_SCHEMA),
    ],
)
def test_a_bad_bundle_is_refused_as_a_whole(snapshot, route, code):
    """A bundle with one invalid route is refused.

    Otherwise a part of it would be applied, such as a route to a missing
    service.
    """
    spec = model.RouteSpec(*route)
    bundle = snapshot.bundle._replace(
        routes={**snapshot.bundle.routes, 'x': spec}
    )
    snapshot = changed_head(snapshot, digest=codec.bundle_digest(bundle))
    refused = check.check_snapshot(snapshot._replace(bundle=bundle))
    assert refused.code is code


def test_a_resource_under_another_name_is_refused(bundle):
    """The key of a resource has to be its name.

    A wrong delta could store one resource under two names.
    """
    services = {**bundle.services, 'x': bundle.services['ledger']}
    refused = check.check_bundle(bundle._replace(services=services))
    assert refused.code is errors.BUNDLE_SCHEMA


def test_a_bundle_over_the_size_limit_is_refused(bundle):
    """A bundle that is too large for the platform is refused before."""
    routes = {
        f'r{n}': model.RouteSpec(f'r{n}', 'ledger', 'GET', f'/{n:0300}')
        for n in range(3000)
    }
    refused = check.check_bundle(bundle._replace(routes=routes))
    assert refused.code is errors.BUNDLE_TOO_LARGE
