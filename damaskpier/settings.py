"""Table of the settings; their checks and reference use it."""

from __future__ import annotations

from typing import NamedTuple

Value = int | float | str | bool | tuple[str, ...]

REQUIRED = None


class Setting(NamedTuple):
    """One row of the table of settings.

    ``default`` is :data:`REQUIRED` if the file has to set the value. ``low``
    and ``high`` are the inclusive bounds of a number; ``choices`` lists the
    allowed texts.
    """

    section: str
    name: str
    kind: str  # int, float, bool, text, host, address or addresses
    default: Value | None
    help: str
    unit: str = ''
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()


# What a running node keeps: its identity, its place and its ports.
FIXED_WHILE_RUNNING = frozenset(
    {
        ('node', 'id'),
        ('node', 'region'),
        ('node', 'failure_domain'),
        ('node', 'host'),
        ('node', 'http_port'),
        ('node', 'rpc_port'),
        ('node', 'admin_port'),
        ('node', 'health_port'),
        ('node', 'metrics_port'),
        ('log', 'level'),
        ('log', 'format'),
    }
)

TABLE: tuple[Setting, ...] = (
    Setting('node', 'id', 'text', REQUIRED, 'Unique name of the node.'),
    Setting('node', 'region', 'text', REQUIRED, 'Region of the instance.'),
    Setting(
        'node',
        'failure_domain',
        'text',
        REQUIRED,
        'Failure domain of the instance.',
    ),
    Setting('node', 'host', 'host', '127.0.0.1', 'Address that peers dial.'),
    Setting(
        'node',
        'http_port',
        'int',
        0,
        'Port for callers; 0 lets the kernel choose.',
        low=0,
        high=65535,
    ),
    Setting(
        'node',
        'rpc_port',
        'int',
        0,
        'Port for other nodes; 0 lets the kernel choose.',
        low=0,
        high=65535,
    ),
    Setting(
        'node',
        'admin_port',
        'int',
        0,
        'Port for metrics, status and announcements; 0 lets the kernel '
        'choose.',
        low=0,
        high=65535,
    ),
    Setting(
        'node',
        'ready_file',
        'text',
        '',
        'File that receives the chosen ports as JSON; empty for none. For '
        'tests and demonstrations.',
    ),
    Setting(
        'node',
        'service',
        'text',
        '',
        'Service whose instance the node stands beside.',
    ),
    Setting(
        'node',
        'health_port',
        'int',
        0,
        'Port for the readiness probe; 0 lets the kernel choose.',
        low=0,
        high=65535,
    ),
    Setting(
        'node',
        'metrics_port',
        'int',
        0,
        'Port for metrics where it is not the admin port; 0 lets the kernel '
        'choose.',
        low=0,
        high=65535,
    ),
    Setting(
        'upstream',
        'address',
        'address',
        '127.0.0.1:1',
        'Address of the upstream beside the node.',
    ),
    Setting(
        'fleet',
        'heartbeat',
        'float',
        1.0,
        'Time between two announcements of the upstream.',
        unit='s',
        low=0.05,
        high=60,
    ),
    Setting(
        'fleet',
        'grace',
        'float',
        6.0,
        'Time between SIGTERM and SIGKILL.',
        unit='s',
        low=0.5,
        high=600,
    ),
    Setting(
        'fleet',
        'apply',
        'float',
        2.0,
        'Time by which a configuration has to be in force everywhere.',
        unit='s',
        low=0.1,
        high=60,
    ),
    Setting(
        'fleet',
        'retry_ratio',
        'float',
        0.2,
        'Retries of a service over all nodes, as a part of its requests.',
        low=0,
        high=1,
    ),
    Setting(
        'fleet',
        'retry_slack',
        'float',
        10.0,
        'Retries of a service over all nodes in each window beyond the ratio.',
        low=0,
        high=100000,
    ),
    Setting(
        'fleet',
        'retry_window',
        'float',
        10.0,
        'Window over which retries are counted.',
        unit='s',
        low=0.5,
        high=600,
    ),
    Setting(
        'fleet',
        'allowance_window',
        'float',
        5.0,
        'Window over which the allowance of a team is bounded.',
        unit='s',
        low=0.5,
        high=600,
    ),
    Setting(
        'fleet',
        'allowance_over',
        'float',
        0.1,
        'Part by which a team may exceed its allowance in a window.',
        low=0,
        high=10,
    ),
    Setting(
        'fleet',
        'allowance_slack',
        'float',
        20.0,
        'Requests by which a team may exceed its allowance in a window.',
        low=0,
        high=100000,
    ),
    Setting(
        'fleet',
        'cold_over',
        'float',
        1.5,
        'Bound on the rate of a cold upstream as a multiple of its rate.',
        low=1,
        high=100,
    ),
    Setting(
        'fleet',
        'cold_slack',
        'float',
        8.0,
        'Requests by which a cold upstream may get more in a second.',
        low=0,
        high=100000,
    ),
    Setting(
        'fleet',
        'adaptive_pace',
        'bool',
        False,
        'Whether an upstream that has started or recovered gets its requests '
        'at a pace that follows its answers, or its bound while cold.',
    ),
    Setting(
        'fleet',
        'evacuate',
        'float',
        5.0,
        'Time by which an evacuated failure domain gets no more requests.',
        unit='s',
        low=0.1,
        high=600,
    ),
    Setting(
        'fleet',
        'evacuations',
        'bool',
        False,
        'Whether the node follows evacuations of failure domains, which takes '
        'one more watch of the store.',
    ),
    Setting(
        'fleet',
        'revoke',
        'float',
        5.0,
        'Time without contact after which a node accepts no keys '
        'where strict_revoke is set.',
        unit='s',
        low=0.1,
        high=600,
    ),
    Setting(
        'fleet',
        'strict_revoke',
        'bool',
        False,
        'Whether a node without contact to the store stops accepting keys.',
    ),
    Setting(
        'platform',
        'address',
        'address',
        REQUIRED,
        'Address of the object API.',
    ),
    Setting(
        'platform',
        'timeout',
        'float',
        1.0,
        'Time limit of a call other than a watch.',
        unit='s',
        low=0.05,
        high=60,
    ),
    Setting(
        'mesh',
        'seeds',
        'addresses',
        (),
        'RPC addresses of nodes to join through when the platform is down.',
    ),
    Setting(
        'mesh',
        'max_children',
        'int',
        8,
        'Children that the node accepts in the distribution tree.',
        low=2,
        high=64,
    ),
    Setting(
        'limits',
        'max_body',
        'int',
        4 * 1024 * 1024,
        'Largest request or response body.',
        unit='bytes',
        low=1024,
        high=64 * 1024 * 1024,
    ),
    Setting(
        'limits',
        'max_headers',
        'int',
        64 * 1024,
        'Largest block of request headers.',
        unit='bytes',
        low=1024,
        high=1024 * 1024,
    ),
    Setting(
        'limits',
        'max_requests',
        'int',
        1000,
        'Requests of callers that the node carries at a time.',
        low=1,
        high=100000,
    ),
    Setting(
        'limits',
        'drain_timeout',
        'float',
        30.0,
        'Longest wait for running requests at a planned stop.',
        unit='s',
        low=0,
        high=600,
    ),
    Setting(
        'log',
        'level',
        'text',
        'info',
        'Least severity that is logged.',
        choices=('debug', 'info', 'warning', 'error'),
    ),
    Setting(
        'log',
        'format',
        'text',
        'text',
        'Form of log records.',
        choices=('text', 'json'),
    ),
    Setting(
        'rollout',
        'first_share',
        'float',
        0.01,
        'Largest first share of a new version on a route.',
        low=0.0001,
        high=0.2,
    ),
    Setting(
        'rollout',
        'error_rate',
        'float',
        0.01,
        'Bound on the chance that a good version is taken back because of '
        'noise, over all looks at a move.',
        low=1e-9,
        high=0.2,
    ),
    Setting(
        'rollout',
        'hold_back',
        'float',
        0.01,
        'Share of requests that stays on the old version after a move is '
        'done, for comparison.',
        low=0,
        high=0.2,
    ),
    Setting(
        'rollout',
        'evidence_interval',
        'float',
        1.0,
        'Time between two messages with evidence to the parent.',
        unit='s',
        low=0.1,
        high=10,
    ),
    Setting(
        'rollout',
        'quiet_interval',
        'float',
        4.0,
        'Time that evidence without a failure may wait at a node.',
        unit='s',
        low=0,
        high=60,
    ),
    Setting(
        'rollout',
        'trip_hold',
        'float',
        10.0,
        'First time for which a tripped node sends a route to the old '
        'version only.',
        unit='s',
        low=0.5,
        high=600,
    ),
)
