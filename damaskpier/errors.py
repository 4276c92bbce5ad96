"""Result codes and the exceptions of the package.

Errors that the caller of a function has to expect are returned as a
:class:`Refusal`. Exceptions are raised for violated preconditions and for
invalid input.
"""

from __future__ import annotations

import enum
from typing import NamedTuple


class Category(enum.Enum):
    """Group of result codes; the value is the thousands digit of a code."""

    SETTINGS = 1
    BUNDLE = 2
    CALL = 3
    PLATFORM = 4
    ROLLOUT = 5
    REPLAY = 6


class RunState(enum.IntEnum):
    """Whether a request ran or a write took effect, as far as is known."""

    RUN = 0
    NOT_RUN = 1
    UNKNOWN = 2


RUN_STATE_NAMES = {
    RunState.RUN: 'run',
    RunState.NOT_RUN: 'not-run',
    RunState.UNKNOWN: 'unknown',
}


class ResultCode(NamedTuple):
    """One row of the table of result codes.

    ``number`` is written as ``DP-<number>``; ``meaning`` and ``action`` are
    shown to operators.
    """

    number: int
    name: str
    meaning: str
    action: str

    @property
    def category(self) -> Category:
        """Return the category that the number belongs to."""
        return Category(self.number // 1000)

    def __str__(self) -> str:
        return f'DP-{self.number}'


class Refusal(NamedTuple):
    """Error that is returned instead of the result of an operation.

    ``run`` states whether the operation may have taken effect.
    """

    code: ResultCode
    reason: str
    run: RunState = RunState.NOT_RUN

    def __str__(self) -> str:
        return f'{self.code}: {self.reason}'


_CODES_BY_NUMBER: dict[int, ResultCode] = {}


def _declare_code(
    number: int, name: str, meaning: str, action: str
) -> ResultCode:
    code = ResultCode(number, name, meaning, action)
    if number in _CODES_BY_NUMBER:
        raise ValueError(f'result code {number} is declared twice')
    _CODES_BY_NUMBER[number] = code
    return code


def all_codes() -> tuple[ResultCode, ...]:
    """Return every result code in ascending order."""
    return tuple(
        _CODES_BY_NUMBER[number] for number in sorted(_CODES_BY_NUMBER)
    )


def code_by_number(number: int) -> ResultCode:
    """Return the code with a number.

    :raises KeyError: if there is no such code
    """
    return _CODES_BY_NUMBER[number]


SETTINGS_UNREADABLE = _declare_code(
    1001,
    'settings-unreadable',
    'The settings file can not be read or is not INI.',
    'Check the path and the syntax at the line that is given.',
)
SETTINGS_UNKNOWN = _declare_code(
    1002,
    'settings-unknown',
    'The settings file has a section or key that does not exist.',
    'Remove it, or use the similar name that the message suggests.',
)
SETTINGS_INVALID = _declare_code(
    1003,
    'settings-invalid',
    'A setting has the wrong type or is out of range.',
    'Correct the value; the settings reference lists types and ranges.',
)
SETTINGS_MISSING = _declare_code(
    1004,
    'settings-missing',
    'A setting without a default is not set.',
    'Set it; the settings reference lists the required settings.',
)

BUNDLE_UNREADABLE = _declare_code(
    2001,
    'bundle-unreadable',
    'The bundle file can not be read or is not YAML.',
    'Check the path and the syntax at the line that is given.',
)
BUNDLE_SCHEMA = _declare_code(
    2002,
    'bundle-schema',
    'The bundle does not match the schema.',
    'Correct the part that the message names.',
)
BUNDLE_REFERENCE = _declare_code(
    2003,
    'bundle-reference',
    'A route points at a service that the bundle does not have.',
    'Add the service or correct the route.',
)
BUNDLE_CONFLICT = _declare_code(
    2004,
    'bundle-conflict',
    'Two routes of the bundle match the same requests.',
    'Change the method or path of one of them.',
)
BUNDLE_TOO_LARGE = _declare_code(
    2005,
    'bundle-too-large',
    'The bundle is larger than the platform accepts.',
    'Split the bundle or remove unused routes.',
)
CONFIG_OLDER = _declare_code(
    2006,
    'config-older',
    'The configuration is not newer than the active one.',
    'None; the node keeps the newer configuration.',
)
CONFIG_DIGEST = _declare_code(
    2007,
    'config-digest',
    'The received configuration does not have the expected digest.',
    'None; the node asks for the whole configuration.',
)

CALL_NO_ROUTE = _declare_code(
    3001,
    'call-no-route',
    'No route of the active configuration matches the request.',
    'Check the method and path, or sign off a bundle with the route.',
)
CALL_NO_WORKER = _declare_code(
    3002,
    'call-no-worker',
    'No worker of the service is known and ready.',
    'Check that the upstreams run and announce themselves.',
)
CALL_OVERLOADED = _declare_code(
    3003,
    'call-overloaded',
    'The request was refused before it ran because of load.',
    'Try again later; the request did not run.',
)
CALL_DEADLINE = _declare_code(
    3004,
    'call-deadline',
    'The request can not finish, or did not finish, by its deadline.',
    'See the run state before sending the request again.',
)
CALL_UNKNOWN = _declare_code(
    3005,
    'call-unknown',
    'The connection failed after the request was sent.',
    'The request may have run; look up its effect before repeating it.',
)
CALL_CONNECT = _declare_code(
    3006,
    'call-connect',
    'No connection to the worker could be opened.',
    'Try again; the request did not run.',
)
CALL_TOO_LARGE = _declare_code(
    3007,
    'call-too-large',
    'The headers or the body of the request exceed the limit.',
    'Send a smaller request.',
)
CALL_TOO_DEEP = _declare_code(
    3008,
    'call-too-deep',
    'The request passed through too many services.',
    'Look for a loop between the services.',
)
CALL_DRAINING = _declare_code(
    3009,
    'call-draining',
    'The instance is leaving and takes no new requests.',
    'Try again; the request did not run.',
)
CALL_NO_CONFIG = _declare_code(
    3010,
    'call-no-config',
    'The node has no configuration yet.',
    'Sign off a bundle, or wait until the node has joined.',
)
CALL_BAD_HEADER = _declare_code(
    3011,
    'call-bad-header',
    'A damaskpier header of the request has an invalid value.',
    'Correct the header that the message names.',
)
CALL_CANCELLED = _declare_code(
    3012,
    'call-cancelled',
    'The caller cancelled the request.',
    'None.',
)
CALL_UPSTREAM_REFUSED = _declare_code(
    3013,
    'call-upstream-refused',
    'The upstream shed the request before it ran.',
    'Try again later; the request did not run.',
)
CALL_ALLOWANCE = _declare_code(
    3015,
    'call-allowance',
    'The team has used its allowance of requests.',
    'Send fewer requests, or raise the limit of the team.',
)
CALL_KEY = _declare_code(
    3021,
    'call-key',
    'The request has no key, more than one, or one that no team holds.',
    'Send the key of a team of the active configuration.',
)
CALL_KEYS_UNCONFIRMED = _declare_code(
    3022,
    'call-keys-unconfirmed',
    'The node has had no contact with the store and accepts no keys.',
    'Try again; look at the links of the node and at the store.',
)
CALL_REGION = _declare_code(
    3023,
    'call-region',
    'No ready worker is in a region that the request may go to.',
    'Start workers there, or change the regions of the route or the team.',
)
CALL_EVACUATED = _declare_code(
    3030,
    'call-evacuated',
    'All failure domains with workers of the service are evacuated.',
    'Remove the evacuation of a domain; the request did not run.',
)

PLATFORM_UNAVAILABLE = _declare_code(
    4001,
    'platform-unavailable',
    'The platform did not answer; nothing was written.',
    'Try again when the platform is back.',
)
PLATFORM_UNKNOWN = _declare_code(
    4002,
    'platform-unknown',
    'The answer to a write was lost and could not be verified.',
    'Read the state before repeating the command.',
)
PLATFORM_CONFLICT = _declare_code(
    4003,
    'platform-conflict',
    'Another writer changed the object first.',
    'Look at the change that won, then try again on top of it.',
)
PLATFORM_NOT_FOUND = _declare_code(
    4004,
    'platform-not-found',
    'The object does not exist.',
    'Check the name.',
)
PLATFORM_LIMITED = _declare_code(
    4005,
    'platform-limited',
    'The platform refused the call because of its rate limits.',
    'Try again later.',
)
PLATFORM_TOO_LARGE = _declare_code(
    4006,
    'platform-too-large',
    'The value is larger than the platform accepts.',
    'Write a smaller value.',
)
PLATFORM_HISTORY_LOST = _declare_code(
    4019,
    'platform-history-lost',
    'The platform no longer has the changes that a watch asked for.',
    'None; the node reads the objects again.',
)
LEASE_LOST = _declare_code(
    4007,
    'lease-lost',
    'The lease lapsed or another holder has taken it.',
    'None; the new holder goes on.',
)
LEASE_HELD = _declare_code(
    4008,
    'lease-held',
    'The lease has a holder, or has not been seen unchanged for its TTL.',
    'None; the caller tries again when the lease may have lapsed.',
)

ROLLOUT_DONE = _declare_code(
    5001,
    'rollout-done',
    'All traffic of the service is on the new version.',
    'None.',
)
ROLLOUT_FAILURES = _declare_code(
    5002,
    'rollout-failures',
    'The new version fails more often than the old one.',
    'Look at the evidence of the route, mend the version, move again.',
)
ROLLOUT_SLOW = _declare_code(
    5003,
    'rollout-slow',
    'The new version is slower than the old one.',
    'Look at the evidence of the route, mend the version, move again.',
)
ROLLOUT_OPERATOR = _declare_code(
    5004,
    'rollout-operator',
    'An operator took the move back.',
    'None.',
)
ROLLOUT_LATE = _declare_code(
    5005,
    'rollout-late',
    'No worker of the new version was ready at the stated time.',
    'Start its workers, check their announcements, sign off again.',
)
ROLLOUT_OPEN = _declare_code(
    5006,
    'rollout-open',
    'The service already has an open move.',
    'Wait for its verdict or take it back first.',
)
ROLLOUT_NO_EVIDENCE = _declare_code(
    5007,
    'rollout-no-evidence',
    'A route had too few requests to compare the versions.',
    'Watch the route, or keep the old version running for longer.',
)
ROLLOUT_TIME = _declare_code(
    5008,
    'rollout-time',
    'The time by which the move must finish is not in the future.',
    'State a later time.',
)

ROLLOUT_RUNNING = _declare_code(
    5009,
    'rollout-running',
    'The move has no verdict yet.',
    'Wait until the stated time.',
)

REPLAY_BAD_TRACE = _declare_code(
    6001,
    'replay-bad-trace',
    'A line of the trace can not be used.',
    'Correct the line that the message names.',
)
REPLAY_BAD_EXPECTATION = _declare_code(
    6002,
    'replay-bad-expectation',
    'The stated outcome can not be used.',
    'Correct the key that the message names.',
)
REPLAY_MISMATCH = _declare_code(
    6003,
    'replay-mismatch',
    'The replay did not give the stated outcome.',
    'Compare the output with the stated outcome.',
)


class DamaskpierError(Exception):
    """Base class of all exceptions of the package.

    :param code: result code of the error
    :param reason: what is wrong, and where
    """

    def __init__(self, code: ResultCode, reason: str) -> None:
        super().__init__(f'{code}: {reason}')
        self.code = code
        self.reason = reason

    @property
    def category(self) -> Category:
        """Return the category of the result code."""
        return self.code.category


class SettingsError(DamaskpierError):
    """Invalid settings."""


class BundleError(DamaskpierError):
    """Invalid or unreadable bundle."""


class PlatformError(DamaskpierError):
    """Failed call of the platform."""


class ReplayError(DamaskpierError):
    """Invalid trace or invalid expected outcome."""


class ServiceError(DamaskpierError):
    """Service of the kernel that is missing or registered twice."""
