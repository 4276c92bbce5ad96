"""Counts of the demonstration: what happened to the callers' requests."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from tools.demo import load

# A request that was on its way when a node was killed may be answered until
# its deadline, which is 2 s by default, has passed.
KILL_WINDOW_S = 8.0


class Tally(NamedTuple):
    """Requests by outcome.

    ``cut_off`` are the requests that are not repeatable, were on their way
    when a node was killed, and were answered truthfully with ``unknown``.
    """

    total: int
    ok: int
    failed_by_new: int
    cut_off: int
    lost: tuple[load.Request, ...]
    wrong: int  # responses that belong to another request
    repeated: int  # requests that a caller sent more than once


def count(
    requests: Iterable[load.Request],
    bad: tuple[str, str],
    killed_at: float | None,
) -> Tally:
    """Return the outcomes of requests.

    :param bad: service and version that fails on purpose
    :param killed_at: monotonic time at which a node was killed
    """
    found: collections.Counter[str] = collections.Counter()
    lost = []
    for request in requests:
        answer = request.answer
        found['total'] += 1
        found['wrong'] += not answer.is_own
        found['repeated'] += request.attempts > 1
        if request.is_ok:
            found['ok'] += 1
        elif (answer.service, answer.version) == bad and answer.run == 'run':
            found['failed_by_new'] += 1
        elif answer.run == 'unknown' and _spans(request, killed_at):
            found['cut_off'] += 1
        else:
            lost.append(request)
    return Tally(
        found['total'],
        found['ok'],
        found['failed_by_new'],
        found['cut_off'],
        tuple(lost),
        found['wrong'],
        found['repeated'],
    )


def _spans(request: load.Request, killed_at: float | None) -> bool:
    if killed_at is None:
        return False
    return (
        request.start <= killed_at + KILL_WINDOW_S and request.end >= killed_at
    )


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
