"""Tests of the encoding of bundles and of deltas."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import pytest
import zlib

from damaskpier.bundle import codec
from damaskpier.bundle import delta
from damaskpier.bundle import model
from damaskpier import errors

NAMES = st.sampled_from(['a', 'b', 'c'])
SERVICES = st.dictionaries(
    NAMES, st.tuples(st.sampled_from(['v1', 'v2']), st.integers(0, 2))
)
ROUTES = st.dictionaries(NAMES, st.tuples(NAMES, st.booleans()))


def make_bundle(services, routes):
    """Return a bundle of the resources that hypothesis generated."""
    return model.Bundle(
        {
            name: model.ServiceSpec(name, version, slots)
            for name, (version, slots) in services.items()
        },
        {
            name: model.RouteSpec(name, service, 'GET', '/' + name, repeatable)
            for name, (service, repeatable) in routes.items()
        },
    )


BUNDLES = st.builds(make_bundle, SERVICES, ROUTES)


@hypothesis.given(old=BUNDLES, new=BUNDLES)
@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
def test_a_delta_leads_from_old_to_new(old, new):
    """Applying the delta of two bundles to the old one results in the new.

    Otherwise nodes that receive deltas have another bundle than those that
    receive it as a whole.
    """
    change = delta.compute_delta(old, new)
    packed = delta.decode_resources(delta.encode_resources(change.changed))
    applied = delta.apply_delta(old, delta.Delta(packed, change.removed))
    assert codec.encode_bundle(applied) == codec.encode_bundle(new)
    assert codec.decode_bundle(codec.encode_bundle(new)) == new
    assert (codec.bundle_digest(old) == codec.bundle_digest(new)) == (
        old == new
    )
    assert bool(delta.format_diff(old, new)) == (old != new)


def test_the_order_of_resources_does_not_change_the_digest(bundle):
    reordered = bundle._replace(routes=dict(reversed(bundle.routes.items())))
    assert list(reordered.routes) != list(bundle.routes)
    assert codec.bundle_digest(reordered) == codec.bundle_digest(bundle)


def test_a_head_is_read_back_with_its_moves(snapshot):
    data = codec.encode_head(snapshot.head)
    assert codec.decode_head(data) == snapshot.head
    later = b'{"later_field":1,' + data[1:]
    assert codec.decode_head(later) == snapshot.head


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'[]',
        b'{"service/a":{}}',
        b'{"service/a":{"version":1}}',
        b'{"service/a":{"version":"v","x":1}}',
        b'{"other/a":{}}',
        b'x' * (codec.MAX_BUNDLE_BYTES + 1),
    ],
)
def test_data_that_is_no_bundle_is_refused(data):
    """Malformed data raises ``BundleError`` and no other exception."""
    with pytest.raises(errors.BundleError):
        codec.decode_bundle(data)
    with pytest.raises(errors.BundleError):
        codec.decode_head(data)


@pytest.mark.parametrize(
    'data',
    [
        b'x',
        zlib.compress(b'[1]'),
        zlib.compress(b'{}')[:-1],
        zlib.compress(b' ' * (codec.MAX_BUNDLE_BYTES + 1)),
    ],
)
def test_compressed_data_is_checked_and_bounded(data):
    """Malformed compressed data is refused, and its size is limited.

    Otherwise a small message could decompress to more than the memory holds.
    """
    with pytest.raises(errors.BundleError):
        delta.decode_resources(data)


def test_the_difference_for_operators_names_each_change(bundle):
    ledger = bundle.services['ledger']._replace(version='v2')
    routes = dict(bundle.routes)
    del routes['parcels.get']
    routes['new'] = model.RouteSpec('new', 'ledger', 'GET', '/n')
    new = model.Bundle({**bundle.services, 'ledger': ledger}, routes)
    assert delta.format_diff(bundle, new).splitlines() == [
        '+ route/new  service: ledger, method: GET, path: /n, '
        'repeatable: false, timeout_ms: 2000',
        '- route/parcels.get',
        '~ service/ledger  version: v1 -> v2',
    ]
