"""Pace of a worker on its way from its answers to the callers' nodes."""

from __future__ import annotations

import logging

import pytest

from damaskpier.fleet import peers
from damaskpier.fleet import reported_load
from damaskpier.http1 import messages
from damaskpier.platform import headers
from damaskpier.traffic import messages as traffic_messages

from tests.test_fleet import conftest

LOAD = traffic_messages.Load(6, 2, 0)


def _response(text: str) -> messages.Response:
    return messages.Response(200, ((headers.LOAD, text),))


@pytest.fixture
def now() -> list[float]:
    """Return the current time in seconds, which a test may change."""
    return [0.0]


@pytest.fixture
def pace(now: list[float]) -> reported_load.ReportedPace:
    """Return the pace of a worker that has reported nothing."""
    return reported_load.ReportedPace(
        headers.PlatformHeaderCodec(), lambda: now[0]
    )


def test_worker_without_a_pace_reports_none(pace):
    """Nodes choose among such workers as they did before."""
    pace.record(_response('3,0,6'))
    assert pace.add_to(LOAD) == LOAD


def test_pace_has_its_age(pace, now):
    """A pace is worth less the older it is."""
    pace.record(_response('3,0,6,250'))
    now[0] = 0.4
    assert pace.add_to(LOAD) == LOAD._replace(
        pace=2.5, pace_age_s=0.4, mean_pace=2.5
    )


def test_missing_pace_is_the_usual_one(pace, now):
    """A worker that recovered must not count as slow for ever."""
    pace.record(_response('3,0,6,250'))
    now[0] = 0.4
    pace.record(_response('3,0,6'))
    assert pace.add_to(LOAD).pace == 1.0


def test_mean_pace_follows_a_lasting_change(pace, now):
    """One answer must not hide that a worker is slow most of the time."""
    pace.record(_response('3,0,6,100'))
    for number in range(1, 41):
        now[0] = 0.1 * number
        pace.record(_response(f'3,0,6,{250 + 50 * (number % 2)}'))
    assert pace.add_to(LOAD).mean_pace == pytest.approx(2.75, abs=0.3)
    now[0] += 0.02
    pace.record(_response('3,0,6,100'))
    assert pace.add_to(LOAD).mean_pace > 2.3


def test_unreadable_loads_are_logged_once(pace, caplog):
    """A worker sends hundreds of answers in a minute."""
    pace.record(_response('3,0,6,250'))
    with caplog.at_level(logging.WARNING):
        for _ in range(5):
            pace.record(_response('3,0,6,fast'))
    assert len(caplog.records) == 1
    assert pace.add_to(LOAD).pace == 2.5


async def test_replies_carry_the_pace_of_the_worker(fleet):
    """The node of a caller hears nothing of the worker itself."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()

    async def answer(request: messages.Request) -> messages.Response:
        response = other.upstream.signed(200)
        field = (headers.LOAD, '1,0,4,175')
        return response._replace(headers=(*response.headers, field))

    other.upstream.answer = answer
    assert (await caller.request()).status == 200
    selector = caller.app.service('router')._selectors['reads', '']
    worker = selector.selector._workers[other.name]
    assert worker.load.pace == 1.75


async def test_health_check_reports_the_pace(fleet):
    """A worker must not count as fast until its first answer."""
    node = await fleet.add('reads')
    service = node.app.service('worker')
    assert service.load.pace is None
    node.upstream.pace = 300
    service._heard_at = 0.0
    await service._check_health(service.announcement, conftest.HEALTH_PATH)
    assert service.load.pace == 3.0


def test_pace_of_nearly_nothing_is_not_sent_as_0():
    """The caller's node divided by it, and the request ended in an error."""
    load = traffic_messages.Load(
        6, 0, 0, pace=0.004, pace_age_s=0.0, mean_pace=0.004
    )
    assert peers._decode_pace(peers._encode_pace(load))[0] > 0
