"""What an operator sees of the admission at a worker."""

from __future__ import annotations

import logging
import math

from damaskpier import errors
from damaskpier.fleet import admission_report
from damaskpier import metrics
from damaskpier.traffic import admission
from damaskpier.traffic import messages

ANSWER = messages.Answer(200, (), b'')
FULL = errors.Refusal(errors.CALL_OVERLOADED, 'full')


def make_request(priority, team):
    return messages.Request(
        'id',
        'r',
        's',
        '',
        'GET',
        '/',
        (),
        b'',
        deadline=1.0,
        depth=0,
        repeatable=True,
        priority=priority,
        team=team,
    )


def test_one_line_tells_who_is_admitted_and_refused(caplog):
    """A line for each request would be dropped in a burst of refusals."""
    caplog.set_level(logging.INFO)
    now = [0.0]
    report = admission_report.AdmissionReport(lambda: now[0])
    report.record(make_request(0, 'a'), ANSWER)
    for number in range(100):
        now[0] = 0.05 * number
        report.record(make_request(0, 'a'), ANSWER)
        report.record(make_request(2, 'hot'), FULL)
    now[0] = 6.0
    report.record(make_request(0, 'a'), ANSWER)
    assert [record.getMessage() for record in caplog.records] == [
        'worker: requests admitted and refused by priority: 0: 101 and 0, '
        '2: 0 and 100; most refused teams: hot: 100; by route: r: 101 and 100'
    ]


def test_no_line_without_refusals(caplog):
    """A line of a fleet with enough capacity would hide those that count."""
    caplog.set_level(logging.INFO)
    now = [0.0]
    report = admission_report.AdmissionReport(lambda: now[0])
    for number in range(100):
        now[0] = float(number)
        report.record(make_request(0, 'a'), ANSWER)
    assert not caplog.records


def test_queue_is_shown_by_priority():
    """Which priority waits shows whether urgent requests are held up."""
    service = metrics.Metrics()
    adm = admission.Admission(lambda: 0.0)
    adm.configure(1, 10)
    admission_report.register_gauges(service, adm)
    for priority in (0, 1, 1, 7):
        adm.submit(math.inf, lambda refusal: None, 'r', priority=priority)
    lines = [
        line.removeprefix('damaskpier_upstream_queued_by_priority')
        for line in service.render().splitlines()
        if line.startswith('damaskpier_upstream_queued_by_priority')
    ]
    assert lines == [
        '{priority="0"} 0',
        '{priority="1"} 2',
        '{priority="2"} 0',
        '{priority="3"} 1',
    ]
