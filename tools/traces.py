"""Write the committed traces under tests/traces with their outcomes.

Run ``python -m tools.traces``; the same version writes the same bytes. The
bounds of the expected outcomes follow from the goals of a rollout: a bad
version is taken back before most callers notice, and the traffic has moved by
the stated time.
"""

from __future__ import annotations

import json
import pathlib
from typing import Any

from damaskpier.replay import trace
from tools import scenarios

TRACES = pathlib.Path(__file__).parent.parent / 'tests' / 'traces'
MOVE_DURATION_S = 150.0
MOVE_START_S = 10.0

BENKIRANE_DOMAINS = tuple(
    f'{region}-{place}'
    for region in ('souss', 'moyen-atlas', 'rif')
    for place in (1, 2)
)
CEDARLINE_DOMAINS = tuple(
    f'{region}-{place}'
    for region in ('lower-mainland', 'interior', 'island-north')
    for place in (1, 2)
)

# Service, routes as (name, repeatable, part of the requests, median ms),
# and failure domains.
SERVICES = {
    'ledger': (
        (('balance', True, 0.7, 11.0), ('retire', False, 0.3, 24.0)),
        BENKIRANE_DOMAINS,
    ),
    'parcels': (
        (('lookup', True, 0.8, 9.0), ('boundary', True, 0.2, 40.0)),
        BENKIRANE_DOMAINS,
    ),
    'issuance': (
        (('status', True, 0.6, 14.0), ('issue', False, 0.4, 60.0)),
        BENKIRANE_DOMAINS,
    ),
    'surveys': (
        (('list', True, 0.85, 18.0), ('archive', True, 0.15, 120.0)),
        BENKIRANE_DOMAINS,
    ),
    'findlog': (
        (('listing', True, 0.7, 8.0), ('write', False, 0.3, 16.0)),
        CEDARLINE_DOMAINS,
    ),
    'trackhub': (
        (('position', True, 0.6, 7.0), ('transfer', False, 0.4, 30.0)),
        CEDARLINE_DOMAINS,
    ),
    'packyard': (
        (('fetch', True, 0.8, 45.0), ('store', False, 0.2, 80.0)),
        CEDARLINE_DOMAINS,
    ),
    'listbook': (
        (('search', True, 0.75, 22.0), ('export', True, 0.25, 150.0)),
        CEDARLINE_DOMAINS,
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


def make_setup(service: str, rate_per_s: float) -> scenarios.Setup:
    """Return the setup of a committed trace.

    :param service: key of SERVICES
    :param rate_per_s: requests per second over all routes
    """
    routes, domains = SERVICES[service]
    by = MOVE_START_S + MOVE_DURATION_S
    return scenarios.Setup(
        service,
        tuple(
            scenarios.RouteLoad(
                f'{service}.{name}', repeatable, part * rate_per_s, median, 0.3
            )
            for name, repeatable, part, median in routes
        ),
        domains,
        12,
        MOVE_START_S,
        by,
        by + 0.4 * MOVE_DURATION_S,
        0.002,
    )


def expected_outcome(
    kind: scenarios.Kind, setup: scenarios.Setup
) -> dict[str, Any]:
    """Return the expected outcome of a move, for an ``.expect.json`` file."""
    if not kind.is_bad:
        return {'verdict': 'done', 'decided_by': setup.by}
    # A fault can be distinguished from noise only after a few dozen requests
    # on the new version. Half of the move is allowed for faults that are
    # present from the start, and a fifth for later ones, because much more
    # traffic goes to the version by then.
    allowed_ratio = 0.5 if kind.visible_ratio == 0.0 else 0.2
    decided_by = (
        setup.start + (kind.visible_ratio + allowed_ratio) * setup.duration_s
    )
    requests = (
        sum(route.rate_per_s for route in setup.routes) * setup.duration_s
    )
    bounds: dict[str, Any] = {
        'verdict': 'taken_back',
        'decided_by': round(decided_by, 3),
        'none_after': round(decided_by + 2.0, 3),
        # 3% of the requests of the move; 10% once all go to the version.
        'max_worse': round(
            requests * (0.03 if kind.visible_ratio < 0.8 else 0.1)
        ),
    }
    if kind.visible_ratio < 0.8:
        bounds['max_share_before'] = {
            't': setup.start + 0.25 * setup.duration_s,
            'share': 0.05,
        }
    return {**bounds}


def to_lines(recorded: trace.Trace) -> list[str]:
    """Return the lines of the trace file, without line ends."""
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
    records += [_to_record(event) for event in recorded.events]
    records.append({'ev': 'end', 't': recorded.end})
    return [json.dumps(record, separators=(',', ':')) for record in records]


def _to_record(event: trace.MoveLine | trace.Request) -> dict[str, Any]:
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
            version: _answers_to_json(answers)
            for version, answers in event.outcome.items()
        },
    }


def _answers_to_json(answers: trace.Answers) -> Any:
    if len(answers) == 1:
        return {'status': answers[0].status, 'ms': answers[0].ms}
    return [answer._asdict() for answer in answers]


def make_two_services() -> trace.Trace:
    """Return a trace in which a good and a bad move overlap."""
    good = make_setup('findlog', 4.0)
    bad = make_setup('packyard', 5.0)._replace(start=30.0, by=150.0)
    first = scenarios.make_trace(scenarios.find_kind('same'), good, 50)
    second = scenarios.make_trace(scenarios.find_kind('fails-partly'), bad, 51)
    for move in second.moves:
        move.move = 'm2'
    header = first.header
    header.name = 'two-services'
    header.routes += second.header.routes
    events = sorted(first.events + second.events, key=lambda event: event.t)
    return trace.Trace(header, events, max(first.end, second.end))


def write(name: str, recorded: trace.Trace, outcomes: dict[str, Any]) -> None:
    """Write a trace and its expected outcomes.

    :param name: name of the trace file without its suffix
    :param outcomes: expected outcomes by move
    """
    path = TRACES / f'{name}.jsonl'
    path.write_text('\n'.join(to_lines(recorded)) + '\n', 'utf-8')
    path.with_suffix('.expect.json').write_text(
        json.dumps({'moves': outcomes}, indent=1) + '\n', 'utf-8'
    )


def main() -> None:
    """Write all traces and their expected outcomes."""
    for seed, (service, name, rate_per_s) in enumerate(COMMITTED):
        kind = scenarios.find_kind(name)
        setup = make_setup(service, rate_per_s)
        recorded = scenarios.make_trace(kind, setup, seed)
        outcome = {'m1': expected_outcome(kind, setup)}
        write(f'{service}-{name}', recorded, outcome)
    recorded = make_two_services()
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
