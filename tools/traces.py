"""Writes the committed traces under tests/traces with their outcomes.

Run ``python -m tools.traces``; the same version writes the same bytes. The
bounds follow from the stated goals: a bad version is taken back before
most callers notice, and traffic moves by the stated time.
"""

from __future__ import annotations

import json
import pathlib
from typing import Any

from damaskpier.replay import trace
from tools import scenarios

TRACES = pathlib.Path(__file__).parent.parent / 'tests' / 'traces'
LENGTH_S = 150.0
START_S = 10.0

BENKIRANE = tuple(
    f'{region}-{place}'
    for region in ('souss', 'moyen-atlas', 'rif')
    for place in (1, 2)
)
CEDARLINE = tuple(
    f'{region}-{place}'
    for region in ('lower-mainland', 'interior', 'island-north')
    for place in (1, 2)
)

# Service, routes as (name, repeatable, part of the requests, median ms),
# and failure domains.
SERVICES = {
    'ledger': (
        (('balance', True, 0.7, 11.0), ('retire', False, 0.3, 24.0)),
        BENKIRANE,
    ),
    'parcels': (
        (('lookup', True, 0.8, 9.0), ('boundary', True, 0.2, 40.0)),
        BENKIRANE,
    ),
    'issuance': (
        (('status', True, 0.6, 14.0), ('issue', False, 0.4, 60.0)),
        BENKIRANE,
    ),
    'surveys': (
        (('list', True, 0.85, 18.0), ('archive', True, 0.15, 120.0)),
        BENKIRANE,
    ),
    'findlog': (
        (('listing', True, 0.7, 8.0), ('write', False, 0.3, 16.0)),
        CEDARLINE,
    ),
    'trackhub': (
        (('position', True, 0.6, 7.0), ('transfer', False, 0.4, 30.0)),
        CEDARLINE,
    ),
    'packyard': (
        (('fetch', True, 0.8, 45.0), ('store', False, 0.2, 80.0)),
        CEDARLINE,
    ),
    'listbook': (
        (('search', True, 0.75, 22.0), ('export', True, 0.25, 150.0)),
        CEDARLINE,
    ),
}

# Service, kind of trouble and requests per second of the committed traces.
COMMITTED = (
    ('ledger', 'same', 8.0),
    ('ledger', 'fails-at-once', 8.0),
    ('ledger', 'fails-after-done', 8.0),
    ('parcels', 'common-outage', 8.0),
    ('parcels', 'fails-rare-route', 8.0),
    ('issuance', 'cold-slow', 8.0),
    ('issuance', 'fails-above-share', 8.0),
    ('surveys', 'better', 8.0),
    ('surveys', 'one-domain-down', 8.0),
    ('findlog', 'cold-failing', 8.0),
    ('findlog', 'fails-late', 8.0),
    ('trackhub', 'load-bursts', 8.0),
    ('trackhub', 'fails-one-domain', 10.0),
    ('packyard', 'slightly-slower', 8.0),
    ('packyard', 'slow', 8.0),
    ('listbook', 'common-slow', 8.0),
    ('listbook', 'fails-near-full', 8.0),
)


def setup_of(service: str, rate: float) -> scenarios.Setup:
    """Return the setup of a committed trace."""
    routes, domains = SERVICES[service]
    by = START_S + LENGTH_S
    return scenarios.Setup(
        service,
        tuple(
            scenarios.RouteLoad(
                f'{service}.{name}', repeatable, part * rate, median, 0.3
            )
            for name, repeatable, part, median in routes
        ),
        domains,
        12,
        START_S,
        by,
        by + 0.4 * LENGTH_S,
        0.002,
    )


def expectation(
    kind: scenarios.Kind, setup: scenarios.Setup
) -> dict[str, Any]:
    """Return the stated outcome of a kind of trouble."""
    if not kind.bad:
        return {'verdict': 'done', 'decided_by': setup.by}
    # A fault may need as long to be told from noise as it takes to see a
    # few dozen requests on the new version; half of the move is allowed
    # for faults that show from the start, and a fifth for later ones, of
    # which much more traffic meets the version.
    allowed = 0.5 if kind.visible == 0.0 else 0.2
    decided_by = setup.start + (kind.visible + allowed) * setup.length
    requests = sum(route.rate for route in setup.routes) * setup.length
    bounds: dict[str, Any] = {
        'verdict': 'taken_back',
        'decided_by': round(decided_by, 3),
        'none_after': round(decided_by + 2.0, 3),
        # 3% of the requests of the move; 10% once all go to the version.
        'max_worse': round(requests * (0.03 if kind.visible < 0.8 else 0.1)),
    }
    if kind.visible < 0.8:
        bounds['max_share_before'] = {
            't': setup.start + 0.25 * setup.length,
            'share': 0.05,
        }
    return {**bounds}


def lines_of(recorded: trace.Trace) -> list[str]:
    """Return the lines of a trace file."""
    header = recorded.header
    records: list[dict[str, Any]] = [
        {
            'ev': 'trace',
            't': 0,
            'name': header.name,
            'failure_domains': header.failure_domains,
            'nodes': header.nodes,
            'routes': [
                {
                    'route': route.route,
                    'service': route.service,
                    'repeatable': route.repeatable,
                }
                for route in header.routes
            ],
        }
    ]
    records += [_record(event) for event in recorded.events]
    records.append({'ev': 'end', 't': recorded.end})
    return [json.dumps(record, separators=(',', ':')) for record in records]


def _record(event: trace.MoveLine | trace.Request) -> dict[str, Any]:
    if isinstance(event, trace.MoveLine):
        return {
            'ev': 'move',
            't': event.t,
            'move': event.move,
            'service': event.service,
            'from': event.old,
            'to': event.new,
            'by': event.by,
        }
    return {
        'ev': 'request',
        't': event.t,
        'route': event.route,
        'node': event.node,
        'key': f'{int(event.t * 1000) & 0xFFFF:04x}',
        'outcome': {
            version: _outcome(answers)
            for version, answers in event.outcome.items()
        },
    }


def _outcome(answers: trace.Answers) -> Any:
    if len(answers) == 1:
        return {'status': answers[0].status, 'ms': answers[0].ms}
    return [answer._asdict() for answer in answers]


def two_services() -> trace.Trace:
    """Return a trace of a good and a bad move at the same time."""
    good = setup_of('findlog', 4.0)
    bad = setup_of('packyard', 5.0)._replace(start=30.0, by=150.0)
    first = scenarios.make(scenarios.kind_named('same'), good, 50)
    second = scenarios.make(scenarios.kind_named('fails-partly'), bad, 51)
    for move in second.moves:
        move.move = 'm2'
    header = first.header
    header.name = 'two-services'
    header.routes += second.header.routes
    events = sorted(first.events + second.events, key=lambda event: event.t)
    return trace.Trace(header, events, max(first.end, second.end))


def write(name: str, recorded: trace.Trace, outcomes: dict[str, Any]) -> None:
    """Write a trace and its stated outcome."""
    path = TRACES / f'{name}.jsonl'
    path.write_text('\n'.join(lines_of(recorded)) + '\n', 'utf-8')
    path.with_suffix('.expect.json').write_text(
        json.dumps({'moves': outcomes}, indent=1) + '\n', 'utf-8'
    )


def main() -> None:
    """Write all traces and their stated outcomes."""
    for seed, (service, name, rate) in enumerate(COMMITTED):
        kind = scenarios.kind_named(name)
        setup = setup_of(service, rate)
        recorded = scenarios.make(kind, setup, seed)
        outcome = {'m1': expectation(kind, setup)}
        write(f'{service}-{name}', recorded, outcome)
    recorded = two_services()
    good, bad = recorded.moves
    write(
        'two-services',
        recorded,
        {
            'm1': {'verdict': 'done', 'decided_by': good.by},
            # A fifth of the requests fail: half of the time is allowed.
            'm2': {'verdict': 'taken_back', 'decided_by': 90.0},
        },
    )


if __name__ == '__main__':
    main()
