"""Tests of the YAML loader."""

from __future__ import annotations

import pytest

from damaskpier.bundle import loader
from damaskpier import errors


def test_defaults_fill_the_resources(bundle):
    assert bundle.services['parcels'].policy == 'two_choices'
    assert bundle.routes['parcels.get'].repeatable
    assert not bundle.routes['ledger.retire'].repeatable
    assert bundle.routes['ledger.retire'].timeout_ms == 2000


def test_a_written_bundle_loads_as_the_same(bundle):
    assert loader.loads(loader.dumps(bundle)) == bundle


@pytest.mark.parametrize(
    ('old', 'new', 'code', 'words'),
    [
        ('slots: 20', 'slots: -1', errors.BUNDLE_SCHEMA, 'b:2: services'),
        ('slots: 20', 'slots: many', errors.BUNDLE_SCHEMA, "'many'"),
        ('slots: 20', 'slotz: 20', errors.BUNDLE_SCHEMA, "'slotz'"),
        ('    version: v1', '    version: 1.0', errors.BUNDLE_SCHEMA, 'b:4:'),
        ('two_choices', 'best', errors.BUNDLE_SCHEMA, "'best'"),
        ('path: /parcels/*', 'path: /p*', errors.BUNDLE_SCHEMA, 'b:10:'),
        ('path: /parcels/*', 'path: parcels', errors.BUNDLE_SCHEMA, 'b:10:'),
        (
            '    service: parcels',
            '    service: maps',
            errors.BUNDLE_REFERENCE,
            'b:8: routes.parcels.get.service: the bundle has no service '
            "'maps'",
        ),
        (
            'method: GET\n    path: /parcels/*',
            'method: POST\n    path: /ledger/retire',
            errors.BUNDLE_CONFLICT,
            "'ledger.retire' matches the same requests",
        ),
        ('parcels.get', 'ledger.retire', errors.BUNDLE_UNREADABLE, 'b:7:'),
        ('ledger: {', 'ledger: &a {', errors.BUNDLE_UNREADABLE, 'b:2: anch'),
        ('ledger: {', 'ledger: {{', errors.BUNDLE_UNREADABLE, 'b:3:'),
        ('  parcels:', '  1:', errors.BUNDLE_UNREADABLE, 'not text'),
        ('services:', 'servises:', errors.BUNDLE_SCHEMA, "'servises'"),
        ('v1, slots', '"a/b", slots', errors.BUNDLE_SCHEMA, "'a/b'"),
    ],
)
def test_faults_are_reported_with_line_and_code(text, old, new, code, words):
    """Each kind of error in a bundle is refused with its line and code.

    Otherwise an invalid bundle could be signed off.
    """
    assert old in text
    with pytest.raises(errors.BundleError) as caught:
        loader.loads(text.replace(old, new, 1), 'b')
    assert caught.value.code is code, caught.value.reason
    assert words in caught.value.reason


@pytest.mark.parametrize(
    'text',
    ['', 'null', '- 1', '[' * 5000, 'a: b: c', '!!python/name:os.x', '\0'],
)
def test_text_that_is_no_bundle_is_refused(text):
    """Any malformed text raises ``BundleError`` and no other exception."""
    with pytest.raises(errors.BundleError):
        loader.loads(text)


def test_a_file_that_can_not_be_read_is_refused(tmp_path):
    with pytest.raises(errors.BundleError) as caught:
        loader.load(tmp_path / 'missing.yaml')
    assert caught.value.code is errors.BUNDLE_UNREADABLE
    (tmp_path / 'latin.yaml').write_bytes(b'\xff')
    with pytest.raises(errors.BundleError):
        loader.load(tmp_path / 'latin.yaml')
