"""Headers of the platform for keys and names of teams.

The tests guard against a key that is passed on or misread, and against a name
of a team that a caller made up.
"""

from __future__ import annotations

import pytest

from damaskpier import errors
from damaskpier.fleet import header_codec
from damaskpier.http1 import messages
from damaskpier.platform import headers
from damaskpier.platform import objects
from damaskpier.teams import keys

CODEC = headers.PlatformHeaderCodec()
FORGED = (
    ('x-tenant', 'noba'),
    ('X-TENANT', 'sona'),
    ('X-Tenant', ''),
    ('X-API-Key', 'key-1'),
    ('Accept', '*/*'),
)


def _request(*fields: tuple[str, str]) -> messages.Request:
    return messages.Request('GET', '/', fields, b'')


def test_all_keys_of_a_request_are_read():
    """Guards against a second key that the check does not see."""
    request = _request(
        ('X-Api-Key', 'key-1'), ('x-api-KEY', 'key-2'), ('X-Api-Keys', 'no')
    )
    expected = (keys.digest_of_key(b'key-1'), keys.digest_of_key(b'key-2'))
    assert CODEC.key_digests(request) == expected
    assert CODEC.key_digests(_request(('X-Api-Key', ''))) == ()


def test_space_around_a_key_is_not_part_of_it():
    """Guards against a valid key that is refused with 401.

    The HTTP parser leaves the white space after a value.
    """
    expected = (keys.digest_of_key(b'key 1'),)
    assert CODEC.key_digests(_request(('X-Api-Key', 'key 1 \t'))) == expected
    assert CODEC.key_digests(_request(('X-Api-Key', ' '))) == ()


def test_key_beyond_ascii_matches_its_configuration():
    """Guards against a key that is hashed in two encodings."""
    received = 'clé'.encode().decode('latin-1')
    found = CODEC.key_digests(_request(('X-Api-Key', received)))
    assert found == (keys.digest_of_key('clé'.encode()),)


def test_keys_and_names_of_teams_are_removed():
    """Guards against a key at another node, and against a forged team."""
    assert CODEC.remove_credentials(FORGED) == (('Accept', '*/*'),)


def test_upstream_gets_the_team_of_the_caller_only():
    """Guards against a worker that reads the name that the caller sent."""
    metadata = header_codec.UpstreamMetadata('i', 'reads', 2.0, 'böz')
    sent = CODEC.encode_upstream_headers(FORGED, metadata)
    name = 'böz'.encode().decode('latin-1')
    tenants = [field for field in sent if field[0].lower() == 'x-tenant']
    assert tenants == [('X-Tenant', name)]
    assert 'key-1' not in repr(sent)


def test_upstream_gets_both_headers_if_there_are_no_teams():
    """Guards against ordinary headers that are lost without teams."""
    metadata = header_codec.UpstreamMetadata('i', 'reads', 2.0)
    sent = CODEC.encode_upstream_headers(FORGED, metadata)
    assert sent[: len(FORGED)] == FORGED


def test_error_of_an_invalid_key_does_not_contain_it():
    """Guards against a key in the log line about its configuration."""
    with pytest.raises(ValueError) as caught:
        objects._digest_of_key('key-1\ud800')
    assert 'key-1' not in repr(caught.value)


@pytest.mark.parametrize('name', ['apiKeys', '\\u0061piKeys'])
async def test_answer_of_the_store_is_not_logged_with_keys(
    fake, client, monkeypatch, name
):
    """Guards against a key in the line about an answer without a revision."""
    body = f'{{"items": [{{"spec": {{"{name}": ["key-1"]}}}}]}}'.encode()

    async def answer(request: messages.Request) -> messages.Response:
        return messages.Response(200, (), body)

    monkeypatch.setattr(fake, '_answer', answer)
    refusal = await client.list_objects('config')
    assert refusal.code is errors.PLATFORM_UNKNOWN
    assert 'key-1' not in str(refusal)
