"""Outcomes of the callers' requests in the demonstration."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from tools.demo import load

# Other nodes detect the closed connections of a killed node within
# milliseconds, so a failed request that began later than this after the kill
# counts as lost.
KILL_WINDOW_S = 0.5
CALL_UNKNOWN_CODE = 'DP-3005'


class Kill(NamedTuple):
    """Kill of a node: its name, its service and the time."""

    node: str
    service: str
    at: float  # monotonic seconds


class Outcomes(NamedTuple):
    """Counts and lists of requests by outcome.

    ``failed_by_new`` counts failures by the version that fails on purpose.
    ``cut_off`` are the requests that were on their way to or through the
    killed node and whose run state is ``unknown``; ``lost`` are all other
    failed requests.
    """

    total: int
    ok: int
    failed_by_new: int
    cut_off: tuple[load.Request, ...]
    lost: tuple[load.Request, ...]
    misrouted: int  # responses to another request
    retried: int  # requests that a caller sent more than once


def count_outcomes(
    requests: Iterable[load.Request],
    bad: tuple[str, str],
    kill: Kill | None,
) -> Outcomes:
    """Return the outcomes of requests.

    :param requests: requests with the answers to their last attempts
    :param bad: service and version that fails on purpose
    :param kill: kill of a node, None if no node was killed yet
    """
    found: collections.Counter[str] = collections.Counter()
    lost = []
    cut_off = []
    for request in requests:
        answer = request.answer
        found['total'] += 1
        found['misrouted'] += not answer.is_own
        found['retried'] += request.attempts > 1
        if request.is_ok:
            found['ok'] += 1
        elif (answer.service, answer.version) == bad and answer.run == 'run':
            found['failed_by_new'] += 1
        elif kill is not None and _was_cut_off(request, kill):
            cut_off.append(request)
        else:
            lost.append(request)
    return Outcomes(
        found['total'],
        found['ok'],
        found['failed_by_new'],
        tuple(cut_off),
        tuple(lost),
        found['misrouted'],
        found['retried'],
    )


def _was_cut_off(request: load.Request, kill: Kill) -> bool:
    answer = request.answer
    if answer.run != 'unknown':
        return False
    if request.start > kill.at + KILL_WINDOW_S or request.end < kill.at:
        return False
    was_through_node = request.entry == kill.node and not answer.status
    was_to_upstream = (
        request.route.name.startswith(f'{kill.service}.')
        and answer.result == CALL_UNKNOWN_CODE
    )
    return was_through_node or was_to_upstream


def answered_by(
    requests: Iterable[load.Request], service: str, version: str
) -> list[load.Request]:
    """Return the requests that a version of a service answered."""
    return [
        request
        for request in requests
        if (request.answer.service, request.answer.version)
        == (service, version)
    ]


def find_duplicate_runs(
    requests: Iterable[load.Request], states: Iterable[dict[str, Any]]
) -> list[str]:
    """Return the ids of requests that ran more than once but must not.

    The runs of all upstreams are added up, because a retry may have reached
    another upstream.

    :param requests: requests to check; those of repeatable routes are ignored
    :param states: state pages of all upstreams, each with ``runs`` by request
    """
    runs: collections.Counter[str] = collections.Counter()
    for state in states:
        runs.update(state['runs'])
    return [
        request.request_id
        for request in requests
        if not request.route.repeatable and runs[request.request_id] > 1
    ]
