"""Compare the balancers in virtual time.

Drives the balancer, selector, ejection, admission and retry classes of the
node against workers that are slow, misleading, cold, shedding or failing, and
writes ``docs/measurements/balancers.md``.
"""

from __future__ import annotations

import argparse
import multiprocessing
import pathlib

from damaskpier.traffic import balancer
from tools import traffic_model

OUTPUT = pathlib.Path('docs/measurements/balancers.md')


def policy_rows(seconds: float, seed: int) -> list[traffic_model.Run]:
    """Return the runs that compare the policies.

    :param seconds: length of each run in virtual time
    """
    return [
        traffic_model.Run(deployment, condition, load, policy, seconds, seed)
        for deployment in traffic_model.DEPLOYMENTS
        for condition in traffic_model.CONDITIONS
        for load in traffic_model.TRAFFIC.values()
        for policy in balancer.POLICIES
    ]


def loss_rows(seed: int) -> list[traffic_model.Run]:
    """Return the runs in which a failure domain is unreachable for 7 s."""
    return [
        traffic_model.Run(
            deployment,
            traffic_model.CONDITIONS[0],
            load,
            'two_choices',
            20.0,
            seed,
            (5, 12),
        )
        for deployment in traffic_model.DEPLOYMENTS
        for load in (0.6, 1.2)
    ]


def _table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    lines = [header, tuple('---' for _ in header), *rows]
    return '\n'.join('| ' + ' | '.join(line) + ' |' for line in lines)


def _policy_table(
    runs: list[traffic_model.Run], figures: list[traffic_model.Figures]
) -> str:
    names = {share: name for name, share in traffic_model.TRAFFIC.items()}
    rows = [
        (
            run.deployment.name,
            run.condition.name,
            names[run.load],
            run.policy,
            f'{result.p50:.1f}',
            f'{result.p99:.1f}',
            f'{result.p999:.1f}',
            f'{100 * result.goodput:.1f}',
            f'{result.busiest_ratio:.2f}',
            f'{result.attempts:.2f}',
            f'{100 * result.far:.1f}',
        )
        for run, result in zip(runs, figures, strict=True)
    ]
    header = (
        *('deployment', 'first worker', 'traffic', 'policy'),
        *('p50 ms', 'p99 ms', 'p99.9 ms', 'goodput %'),
        *('busiest/mean', 'attempts', 'other region %'),
    )
    return _table(header, rows)


def _summary_table(
    runs: list[traffic_model.Run], figures: list[traffic_model.Figures]
) -> str:
    rows = []
    for policy in balancer.POLICIES:
        own = [
            (run, result)
            for run, result in zip(runs, figures, strict=True)
            if run.policy == policy
        ]
        row = [policy]
        for share in traffic_model.TRAFFIC.values():
            part = [result for run, result in own if run.load == share]
            row.append(f'{sum(r.p99 for r in part) / len(part):.1f}')
            row.append(f'{min(100 * r.goodput for r in part):.1f}')
            mean = sum(100 * r.goodput for r in part) / len(part)
            row.append(f'{mean:.1f}')
            far = sum(100 * r.far for r in part) / len(part)
            row.append(f'{far:.1f}')
        rows.append(tuple(row))
    columns = (
        'mean p99 ms',
        'least goodput %',
        'mean goodput %',
        'other region %',
    )
    header = ('policy',) + tuple(
        f'{name}: {column}'
        for name in traffic_model.TRAFFIC
        for column in columns
    )
    return _table(header, rows)


def _loss_table(
    runs: list[traffic_model.Run], figures: list[traffic_model.Figures]
) -> str:
    rows = []
    for run, result in zip(runs, figures, strict=True):
        assert run.lost is not None
        begin, end = (int(when) for when in run.lost)
        spans = {
            'before': (1, begin),
            'first 3 s': (begin, begin + 3),
            'rest of the loss': (begin + 3, end),
            'first 3 s after': (end, end + 3),
            'later': (end + 3, int(run.seconds)),
        }
        for name, (first, last) in spans.items():
            part = result.series[first:last]
            asked, good, attempts = (
                sum(column) for column in zip(*part, strict=True)
            )
            rows.append(
                (
                    run.deployment.name,
                    f'{100 * run.load:.0f} %',
                    name,
                    f'{asked / len(part):.0f}',
                    f'{good / len(part):.0f}',
                    f'{100 * good / asked:.1f}',
                    f'{attempts / asked:.2f}',
                )
            )
    header = (
        *('deployment', 'load', 'span', 'asked/s', 'good/s'),
        *('goodput %', 'attempts'),
    )
    return _table(header, rows)


def report(args: argparse.Namespace) -> str:
    """Run all simulations and return the page."""
    runs = policy_rows(args.seconds, args.seed)
    losses = loss_rows(args.seed)
    with multiprocessing.Pool(args.processes) as pool:
        figures = pool.map(traffic_model.simulate, runs + losses, chunksize=2)
    policies, lost = figures[: len(runs)], figures[len(runs) :]
    command = (
        f'python -m tools.balancers --seconds {args.seconds:g} '
        f'--seed {args.seed}'
    )
    steady, overload = traffic_model.TRAFFIC.values()
    callers = traffic_model.CALLERS_PER_DOMAIN
    return f"""# Balancers

Made by `{command}`
in virtual time with the selector, balancer, ejection, admission and retry
classes of the node. Six failure domains in three regions
hold one worker and {callers} callers' nodes each. Slots and delays
are those of the design page; the mean service times (80 ms and 30 ms,
lognormal) are assumptions. Steady traffic is {steady:.0%} of the
capacity and overload {overload:.0%}. All requests are repeatable
and have 2 s. Goodput is the share of requests with a good answer in time.
Only the first worker has the named condition; the first second is left out.

## Summary over all conditions

{_summary_table(runs, policies)}

## Each condition

{_policy_table(runs, policies)}

## Loss of one failure domain

The domain is unreachable from second 5 to second 12; its worker leaves the
records 3 s after the loss. The policy is two_choices. Requests count at the
time of their arrival; those that fail before the loss at 60 % were running in
the domain when it was lost.

{_loss_table(losses, lost)}
"""


def main() -> None:
    """Write the page and print its summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--processes', type=int, default=3)
    parser.add_argument('--output', type=pathlib.Path, default=OUTPUT)
    args = parser.parse_args()
    text = report(args)
    args.output.parent.mkdir(parents=True, exist_ok=True)
    args.output.write_text(text, encoding='utf-8')
    print(text.split('## Each condition')[0])


if __name__ == '__main__':
    main()
