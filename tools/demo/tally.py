"""Counts of the demonstration: what happened to the callers' requests."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from tools.demo import load

# The other nodes notice the closed connections of a killed node within
# milliseconds; a request that began later than this has no such excuse.
KILL_WINDOW_S = 0.5
LOST_CONNECTION = 'DP-3005'


class Kill(NamedTuple):
    """Node that was killed: its name, its service and the time."""

    node: str
    service: str
    at: float  # monotonic seconds


class Tally(NamedTuple):
    """Requests by outcome.

    ``cut_off`` are the requests that were on their way to or through the
    node that was killed, and were answered truthfully with ``unknown``.
    """

    total: int
    ok: int
    failed_by_new: int
    cut_off: tuple[load.Request, ...]
    lost: tuple[load.Request, ...]
    wrong: int  # responses that belong to another request
    repeated: int  # requests that a caller sent more than once


def count(
    requests: Iterable[load.Request],
    bad: tuple[str, str],
    kill: Kill | None,
) -> Tally:
    """Return the outcomes of requests.

    :param bad: service and version that fails on purpose
    :param kill: the node that was killed, None before that
    """
    found: collections.Counter[str] = collections.Counter()
    lost = []
    cut_off = []
    for request in requests:
        answer = request.answer
        found['total'] += 1
        found['wrong'] += not answer.is_own
        found['repeated'] += request.attempts > 1
        if request.is_ok:
            found['ok'] += 1
        elif (answer.service, answer.version) == bad and answer.run == 'run':
            found['failed_by_new'] += 1
        elif kill is not None and _was_cut_off(request, kill):
            cut_off.append(request)
        else:
            lost.append(request)
    return Tally(
        found['total'],
        found['ok'],
        found['failed_by_new'],
        tuple(cut_off),
        tuple(lost),
        found['wrong'],
        found['repeated'],
    )


def _was_cut_off(request: load.Request, kill: Kill) -> bool:
    answer = request.answer
    if answer.run != 'unknown':
        return False
    if request.start > kill.at + KILL_WINDOW_S or request.end < kill.at:
        return False
    through_it = request.entry == kill.node and not answer.status
    to_it = (
        request.route.name.startswith(f'{kill.service}.')
        and answer.result == LOST_CONNECTION
    )
    return through_it or to_it


def met(
    requests: Iterable[load.Request], service: str, version: str
) -> list[load.Request]:
    """Return the requests that a version of a service answered."""
    return [
        request
        for request in requests
        if (request.answer.service, request.answer.version)
        == (service, version)
    ]


def run_twice(
    requests: Iterable[load.Request], states: Iterable[dict[str, Any]]
) -> list[str]:
    """Return the ids of requests that ran twice and must not.

    :param states: state pages of all upstreams
    """
    runs: collections.Counter[str] = collections.Counter()
    for state in states:
        runs.update(state['runs'])
    return [
        request.request_id
        for request in requests
        if not request.route.repeatable and runs[request.request_id] > 1
    ]
