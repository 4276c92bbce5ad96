"""Conversion of the platform's messages and settings to project types."""

from __future__ import annotations

import math
import pathlib

import msgspec
import pytest

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.http1 import messages
from damaskpier.platform import endpoints
from damaskpier.platform import headers
from damaskpier.platform import notation
from damaskpier.platform import objects
from damaskpier.platform import settings
from damaskpier.teams import keys

BOOT = """
node = "side-a-1"
role = "node"
ip = "127.0.0.9"
zone = "a"
region = "r"
internalPorts = [7620, 7635]
heartbeat = "1500ms"
appAddr = "127.0.0.9:8301"
service = "reads"
unknown = "ignored"
[listen]
inbound = "127.0.0.9:8300"
outbound = "127.0.0.9:8304"
ready = "127.0.0.9:8302"
control = "127.0.0.9:8306"
[bounds]
grace = "6s"
apply = "2000ms"
retryRatio = 0.2
retrySlack = 58
retryWindow = "10s"
[platform]
address = "127.0.0.1:8309"
"""


def _beat(**changes) -> bytes:
    heartbeat = {
        'address': '10.0.0.1:8301',
        'born': 1700000000123,
        'info': {
            'service': 'reads',
            'version': 'v1',
            'zone': 'a',
            'slots': 6,
        },
        'status': {'state': 'ready', 'sequence': 4, 'coldLeft': '500ms'},
    }
    return msgspec.json.encode({**heartbeat, **changes})


def test_settings_are_translated(tmp_path: pathlib.Path):
    path = tmp_path / 'boot.toml'
    path.write_text(BOOT)
    cfg = settings.load(path)
    assert cfg.text('node', 'id') == 'side-a-1'
    assert cfg.text('node', 'failure_domain') == 'a'
    assert cfg.integer('node', 'http_port') == 8304
    assert cfg.integer('node', 'rpc_port') == 8300
    assert cfg.integer('node', 'admin_port') == 8306
    assert cfg.integer('node', 'health_port') == 8302
    assert cfg.number('fleet', 'heartbeat') == 1.5
    assert cfg.number('fleet', 'retry_slack') == 58
    # Deployments without bounds for hard load are served as before.
    assert not cfg.flag('fleet', 'adaptive_pace')
    assert not cfg.flag('fleet', 'evacuations')


@pytest.mark.parametrize(
    'text', ['', 'not toml', BOOT.replace('"6s"', '"soon"')]
)
def test_unusable_settings_are_an_error(tmp_path: pathlib.Path, text: str):
    path = tmp_path / 'boot.toml'
    path.write_text(text)
    with pytest.raises(errors.SettingsError):
        settings.load(path)


def test_heartbeat_is_translated():
    assert endpoints.decode_heartbeat('i-1', _beat()) == model.Announcement(
        'i-1',
        'reads',
        'v1',
        '10.0.0.1',
        8301,
        6,
        False,
        4,
        1700000000123,
        0.5,
    )


@pytest.mark.parametrize(
    ('body', 'expected'),
    [(b'', 0), (b'{}', 0), (b'{"born":1700000000123}', 1700000000123)],
)
def test_leave_notice_is_translated(body: bytes, expected: int):
    assert endpoints.decode_leave(body) == expected


@pytest.mark.parametrize(
    'body',
    [
        b'\xff\xfe',
        b'[]',
        b'{"born":1.5}',
        b'{"born":%d}' % 10**30,
        b'[' * 100_000,
        b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    ],
)
def test_invalid_leave_notice_is_refused(body: bytes):
    with pytest.raises(endpoints.DECODE_ERRORS):
        endpoints.decode_leave(body)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        _beat(info={'service': 'reads'}),
        _beat(info={'service': 7, 'version': 'v1', 'slots': 6}),
        _beat(status={'state': 'sleeping', 'sequence': 1}),
        _beat(status={'state': 'ready', 'sequence': 'one'}),
        _beat(status={'state': ['ready'], 'sequence': 1}),
        _beat(address=7),
        _beat(address='10.0.0.1:99999'),
        _beat(address='10.0.0.1:0'),
        _beat(address='10.0.0.1:-1'),
        _beat(address='10.0.0.1:' + '9' * 5000),
        _beat(address='10.0.0.1: 80'),
        _beat(address='10.0.0.1:٣'),
        _beat(address='10.0.0.1'),
        _beat(address='no-address:80'),
        _beat(address=':80'),
        _beat(born=1.5),
        _beat(born=-1),
        _beat(born=10**30),
        _beat(status={'state': 'ready', 'sequence': 10**30}),
        _beat(info={'service': 'reads', 'version': 'v1', 'slots': 10**30}),
        _beat(info={'service': 'reads', 'version': 'v1', 'slots': 2**32}),
        _beat(info={'service': 'reads', 'version': 'v1', 'slots': True}),
        _beat(
            status={
                'state': 'ready',
                'sequence': 1,
                'coldLeft': '9' * 400 + 's',
            }
        ),
        b'{"info":' + b'[' * 100_000 + b']' * 100_000 + b'}',
        _beat().replace(b'6', b'1e999', 1),
        b'{"address":NaN}',
    ],
)
def test_invalid_heartbeat_is_refused(body: bytes):
    with pytest.raises(endpoints.DECODE_ERRORS):
        endpoints.decode_heartbeat('i-1', body)


@pytest.mark.parametrize(
    ('text', 'expected'), [('1500ms', 1.5), ('2.5s', 2.5), ('0ms', 0.0)]
)
def test_durations(text: str, expected: float):
    assert notation.parse_duration_s(text) == expected


@pytest.mark.parametrize('text', ['', '5', '-1s', '1m', None, 5, '1s '])
def test_invalid_duration_is_refused(text: object):
    with pytest.raises(ValueError):
        notation.parse_duration_s(text)


@pytest.mark.parametrize(
    ('status', 'fields', 'expected'),
    [
        (
            200,
            ((headers.INSTANCE, 'i-1'), (headers.LOAD, '3,0,8')),
            model.Health('i-1', 8),
        ),
        # The pace is not the number of slots.
        (
            200,
            ((headers.INSTANCE, 'i-1'), (headers.LOAD, '3,0,8,150')),
            model.Health('i-1', 8),
        ),
        (
            200,
            ((headers.INSTANCE, 'i-1'), (headers.COLD_MS, '1250')),
            model.Health('i-1', 0, 1.25),
        ),
        (
            200,
            ((headers.INSTANCE, 'i-1'), (headers.COLD_MS, '0')),
            model.Health('i-1', 0, 0.0),
        ),
        (
            200,
            ((headers.INSTANCE, 'i-1'), (headers.COLD_MS, '-1')),
            model.Health('i-1', 0, math.inf),
        ),
        (200, ((headers.INSTANCE, 'i-1'),), model.Health('i-1', 0)),
        (
            200,
            ((headers.INSTANCE, 'i-1'), (headers.LOAD, 'none')),
            model.Health('i-1', 0),
        ),
        # A draining or failing worker, and a program that is not a worker.
        (503, ((headers.INSTANCE, 'i-1'), (headers.LOAD, '3,0,8')), None),
        (200, (), None),
    ],
)
def test_health_check_names_the_instance_of_a_healthy_worker(
    status, fields, expected
):
    response = messages.Response(status, fields)
    assert headers.PlatformHeaderCodec().decode_health(response) == expected


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('', None),
        ('3,1,8', model.ReportedLoad(3, 1, 8)),
        ('3, 1, 8', model.ReportedLoad(3, 1, 8)),
        ('3,1,8,150', model.ReportedLoad(3, 1, 8, 1.5)),
        ('0,0,6,62.5', model.ReportedLoad(0, 0, 6, 0.625)),
    ],
)
def test_load_of_a_worker(text, expected):
    response = messages.Response(200, ((headers.LOAD, text),))
    assert headers.PlatformHeaderCodec().decode_load(response) == expected


@pytest.mark.parametrize(
    'text',
    ['3', '3,1', '3,1,8,', '3,1,8,fast', '3,1,8,0', '3,1,8,-5', '-1,0,6,100']
    + ['3,1,8,150,2', '3,1,8,nan', '9' * 5000, '3,1,\u0668'],
)
def test_load_that_can_not_be_read_is_refused(text):
    """Such a load must not be taken for that of an idle or fast worker."""
    response = messages.Response(200, ((headers.LOAD, text),))
    with pytest.raises(ValueError):
        headers.PlatformHeaderCodec().decode_load(response)


@pytest.mark.parametrize(
    ('text', 'expected'), [('48.1', 48.1), ('3', 3.0), ('0', 0.0), ('', None)]
)
def test_rate_limit_is_translated(text, expected):
    response = messages.Response(200, ((headers.RATE_LIMIT, text),))
    codec = headers.PlatformHeaderCodec()
    assert codec.decode_rate_limit(response) == expected
    assert codec.decode_rate_limit(messages.Response(200)) is None


@pytest.mark.parametrize('text', ['-1', 'inf', 'nan', '1e3', '1.', '9' * 40])
def test_unreadable_rate_limit_is_an_error(text):
    response = messages.Response(200, ((headers.RATE_LIMIT, text),))
    with pytest.raises(ValueError, match='not a decimal number'):
        headers.PlatformHeaderCodec().decode_rate_limit(response)


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ((), False),
        (((headers.LEAVING, '1'),), True),
        (((headers.LEAVING, '0'),), False),
    ],
)
def test_notice_of_leaving_is_translated(fields, expected):
    response = messages.Response(200, fields)
    codec = headers.PlatformHeaderCodec()
    assert codec.is_leaving(response) is expected


@pytest.mark.parametrize(
    ('status', 'phase', 'has_status'),
    [
        (None, model.Phase.RUNNING, False),
        # The status of an earlier order.
        (
            {'state': 'completed', 'targetVersion': 'v1'},
            model.Phase.RUNNING,
            False,
        ),
        (
            {'state': 'running', 'targetVersion': 'v2'},
            model.Phase.RUNNING,
            True,
        ),
        (
            {'state': 'rolled_back', 'targetVersion': 'v2'},
            model.Phase.TAKEN_BACK,
            True,
        ),
    ],
)
def test_status_counts_for_the_version_that_it_names(
    status, phase, has_status
):
    order = objects.order_from_object(
        {
            'metadata': {'name': 's1', 'rev': 9, 'createRevision': 4},
            'spec': {
                'service': 's1',
                'targetVersion': 'v2',
                'duration': '15s',
            },
            'status': status,
        }
    )
    assert (order.phase, order.has_status) == (phase, has_status)
    assert order.revision == 9


def _hard_load_spec() -> dict:
    rule = {
        'name': 'r-1',
        'routeKind': 'idempotent',
        'latencySlo': '300ms',
        'priority': 2,
        'noAuth': True,
        'match': {'pathPrefix': '/a/'},
        'action': {
            'service': 'reads',
            'timeout': '1s',
            'allowedRegions': ['r', 's'],
        },
    }
    return {
        'version': '00000007',
        'limits': {
            'maxHeaderBytes': 1024,
            'maxBodyBytes': 4096,
            'headerTimeout': '3s',
            'idleTimeout': '15s',
        },
        'tenants': [
            {
                'name': 'bozi',
                'apiKeys': ['key-1', 'key-2'],
                'priority': 1,
                'ratePerS': 28.5,
                'burst': 30,
                'allowedRegions': ['r'],
            },
            {'name': 'noba', 'apiKeys': []},
        ],
        'listeners': [{'host': 'a.example', 'routeRules': [rule]}],
        'clusters': [{'name': 'reads', 'coldStart': '3s', 'coldPerS': 8.5}],
    }


def test_teams_regions_and_cold_rates_are_translated():
    """Guards against a limit of the operator that is not applied."""
    cfg = objects.ConfigurationDecoder().decode({'spec': _hard_load_spec()})
    assert cfg.teams == (
        model.Team(
            'bozi',
            (keys.digest_of_key(b'key-1'), keys.digest_of_key(b'key-2')),
            1,
            28.5,
            30.0,
            ('r',),
        ),
        model.Team('noba'),
    )
    assert cfg.routes[0].is_public
    assert cfg.routes[0].allowed_regions == ('r', 's')
    assert cfg.services['reads'].cold_start_s == 3.0
    assert cfg.services['reads'].cold_rate_per_s == 8.5


def test_unchanged_team_is_not_decoded_again():
    """Guards against 6,000 hashed keys for each of 12 configurations a second.

    A changed team has to be decoded, and so has one that comes back.
    """
    decoder = objects.ConfigurationDecoder()
    first = decoder.decode({'spec': _hard_load_spec()}).teams
    changed = _hard_load_spec()
    changed['tenants'][1]['apiKeys'] = ['key-3']
    second = decoder.decode({'spec': changed}).teams
    assert second[0] is first[0]
    assert second[1].key_digests == (keys.digest_of_key(b'key-3'),)
    third = decoder.decode({'spec': _hard_load_spec()}).teams
    assert third == first


def test_keys_are_kept_as_digests_only():
    """Guards against a key in the gossip, in a log line or in a status."""
    cfg = objects.ConfigurationDecoder().decode({'spec': _hard_load_spec()})
    assert 'key-1' not in repr(cfg)
    assert b'key-1' not in msgspec.msgpack.encode(cfg)


@pytest.mark.parametrize(
    'tenant',
    [
        {'apiKeys': ['key-1']},
        {'name': 'bozi', 'apiKeys': [7]},
        {'name': 'bozi', 'apiKeys': 'key-1'},
        {'name': 'bozi', 'allowedRegions': 'r'},
        {'name': 'bozi', 'ratePerS': -1},
        {'name': 'bozi', 'ratePerS': '5'},
        {'name': 'bozi', 'burst': 1e300},
        {'name': 'bozi', 'priority': 1.5},
        {'name': 'bozi', 'allowedRegions': [None]},
    ],
)
def test_configuration_with_an_invalid_team_is_refused(tenant: dict):
    """Guards against half of a team in force, such as one without a limit."""
    spec = {**_hard_load_spec(), 'tenants': [tenant]}
    with pytest.raises((KeyError, TypeError, ValueError)):
        objects.ConfigurationDecoder().decode({'spec': spec})


def test_configuration_with_teams_passes_between_nodes():
    """Guards against nodes that lose the teams in a gossiped configuration."""
    cfg = objects.ConfigurationDecoder().decode({'spec': _hard_load_spec()})
    encoded = msgspec.msgpack.encode(cfg)
    assert msgspec.msgpack.decode(encoded, type=model.Configuration) == cfg


def test_bounds_of_hard_load_are_translated(tmp_path: pathlib.Path):
    """Guards against a default in place of a bound of the deployment."""
    path = tmp_path / 'boot.toml'
    path.write_text(
        BOOT.replace(
            '[bounds]',
            '[bounds]\nquotaWindow = "4s"\nquotaOver = 0.2\nquotaSlack = 7\n'
            'coldOver = 1.25\ncoldSlack = 3\nevacuate = "4500ms"\n'
            'strictRevoke = true\nrevoke = "2500ms"',
        )
    )
    cfg = settings.load(path)
    assert cfg.number('fleet', 'allowance_window') == 4.0
    assert cfg.number('fleet', 'allowance_over') == 0.2
    assert cfg.number('fleet', 'allowance_slack') == 7.0
    assert cfg.number('fleet', 'cold_over') == 1.25
    assert cfg.number('fleet', 'cold_slack') == 3.0
    assert cfg.flag('fleet', 'adaptive_pace')
    assert cfg.flag('fleet', 'evacuations')
    assert cfg.number('fleet', 'evacuate') == 4.5
    assert cfg.number('fleet', 'revoke') == 2.5
    assert cfg.flag('fleet', 'strict_revoke')
