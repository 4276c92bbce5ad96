"""Generator of seeded traces of good and bad versions.

A kind of trouble says how the answers of the two versions differ and what the
right verdict on the move is.
"""

from __future__ import annotations

from collections.abc import Callable
import math
import random
from typing import NamedTuple

from damaskpier.replay import trace

OLD = 'v1'
NEW = 'v2'


class RouteLoad(NamedTuple):
    """Route with its traffic and the latency of the old version."""

    name: str
    repeatable: bool
    rate_per_s: float
    median_ms: float
    # Standard deviation of the logarithm of the latency.
    latency_log_sigma: float


class Setup(NamedTuple):
    """Service, fleet and times of a scenario, without its kind of trouble.

    The move runs from ``start`` and has to be finished by ``by``; the trace
    ends at ``end``. All three are in seconds.
    """

    service: str
    routes: tuple[RouteLoad, ...]
    domains: tuple[str, ...]
    nodes: int
    start: float
    by: float
    end: float
    base_failure_ratio: float = 0.0

    @property
    def duration_s(self) -> float:
        """Return the time that the move may take, in s."""
        return self.by - self.start


class Context(NamedTuple):
    """Request with the old version's answer, before a kind changes it.

    ``t`` is the time in seconds and ``domain`` the index of the failure
    domain of the node.
    """

    t: float
    route: RouteLoad
    domain: int
    setup: Setup
    rng: random.Random
    old: trace.Answer


class Outcome(NamedTuple):
    """Answers of both versions to one request."""

    old: trace.Answer
    new: trace.Answers


# Changes the answers to a request. The second parameter is the answer of the
# new version before the change.
Effect = Callable[[Context, trace.Answer], Outcome]


class Kind(NamedTuple):
    """Kind of trouble with its right verdict.

    The right verdict takes a version back exactly if ``is_bad`` holds.
    ``visible_ratio`` gives the time at which the fault of a bad version can
    be seen first, as a part of the time of the move. A fault that depends on
    the share can be seen when the share is reached, for which only the
    stated time is a bound.
    """

    name: str
    is_bad: bool
    effect: Effect
    visible_ratio: float = 0.0


UNAVAILABLE = trace.Answer(0.0, 503, 4.0)


def _same(ctx: Context, new: trace.Answer) -> Outcome:
    return Outcome(ctx.old, (new,))


def _slower(factor: float) -> Effect:
    def effect(ctx: Context, new: trace.Answer) -> Outcome:
        return Outcome(ctx.old, (new._replace(ms=new.ms * factor),))

    return effect


def _better(ctx: Context, new: trace.Answer) -> Outcome:
    return Outcome(ctx.old, (trace.Answer(0.0, 200, new.ms * 0.8),))


def _is_between(ctx: Context, first: float, last: float) -> bool:
    elapsed_ratio = (ctx.t - ctx.setup.start) / ctx.setup.duration_s
    return first <= elapsed_ratio < last


def _common_outage(ctx: Context, new: trace.Answer) -> Outcome:
    if _is_between(ctx, 0.4, 0.45) or _is_between(ctx, 0.9, 0.93):
        old = UNAVAILABLE if ctx.rng.random() < 0.9 else ctx.old
        new = UNAVAILABLE if ctx.rng.random() < 0.9 else new
        return Outcome(old, (new,))
    return Outcome(ctx.old, (new,))


def _common_slow(ctx: Context, new: trace.Answer) -> Outcome:
    if _is_between(ctx, 0.3, 0.5):
        return Outcome(
            ctx.old._replace(ms=ctx.old.ms * 6 + 50),
            (new._replace(ms=new.ms * 6 + 50),),
        )
    return Outcome(ctx.old, (new,))


def _common_timeouts(ctx: Context, new: trace.Answer) -> Outcome:
    if _is_between(ctx, 0.5, 0.6):
        late = trace.Answer(0.0, 504, 2000.0)
        old = late if ctx.rng.random() < 0.3 else ctx.old
        return Outcome(old, (late if ctx.rng.random() < 0.3 else new,))
    return Outcome(ctx.old, (new,))


def _one_domain_down(ctx: Context, new: trace.Answer) -> Outcome:
    if ctx.domain == 0 and _is_between(ctx, 0.35, 0.6):
        old = UNAVAILABLE if ctx.rng.random() < 0.8 else ctx.old
        return Outcome(old, (UNAVAILABLE if ctx.rng.random() < 0.8 else new,))
    return Outcome(ctx.old, (new,))


def _bursts(ctx: Context, new: trace.Answer) -> Outcome:
    # Short overloads that the nodes do not prevent, because the load reports
    # lag behind.
    phase = (ctx.t - ctx.setup.start) % 31.0
    if phase < 3.0:
        old, new = (
            trace.Answer(0.0, 503, 1.5)
            if ctx.rng.random() < 0.15
            else answer._replace(ms=answer.ms * 3)
            for answer in (ctx.old, new)
        )
        return Outcome(old, (new,))
    return Outcome(ctx.old, (new,))


def _diurnal(ctx: Context, new: trace.Answer) -> Outcome:
    elapsed_ratio = (ctx.t - ctx.setup.start) / ctx.setup.duration_s
    factor = 1.0 + 0.8 * math.sin(math.pi * elapsed_ratio)
    return Outcome(
        ctx.old._replace(ms=ctx.old.ms * factor),
        (new._replace(ms=new.ms * factor),),
    )


def _cold_slow(ctx: Context, new: trace.Answer) -> Outcome:
    elapsed_s = ctx.t - ctx.setup.start
    warm_up_s = min(0.05 * ctx.setup.duration_s, 20.0)
    if elapsed_s < warm_up_s:
        new = new._replace(
            ms=new.ms * (1 + 8 * (1 - elapsed_s / warm_up_s)) + 20
        )
    return Outcome(ctx.old, (new,))


def _cold_failing(ctx: Context, new: trace.Answer) -> Outcome:
    warm_up_s = min(0.04 * ctx.setup.duration_s, 15.0)
    if ctx.t - ctx.setup.start < warm_up_s and ctx.rng.random() < 0.25:
        new = UNAVAILABLE
    return Outcome(ctx.old, (new,))


def _failing(
    failure_ratio: float,
    first: float = 0.0,
    share: float = 0.0,
    one_domain: bool = False,
) -> Effect:
    def effect(ctx: Context, new: trace.Answer) -> Outcome:
        if (
            (one_domain and ctx.domain != len(ctx.setup.domains) - 1)
            or not _is_between(ctx, first, math.inf)
            or ctx.rng.random() >= failure_ratio
        ):
            return Outcome(ctx.old, (new,))
        if share:
            return Outcome(
                ctx.old, (new, UNAVAILABLE._replace(min_share=share))
            )
        return Outcome(ctx.old, (UNAVAILABLE,))

    return effect


def _slow_tail(first: float) -> Effect:
    def effect(ctx: Context, new: trace.Answer) -> Outcome:
        if _is_between(ctx, first, math.inf) and ctx.rng.random() < 0.06:
            slow = ctx.route.median_ms * math.exp(
                3 * ctx.route.latency_log_sigma
            )
            new = new._replace(ms=3 * slow + 60)
        return Outcome(ctx.old, (new,))

    return effect


def _slow_above(share: float) -> Effect:
    def effect(ctx: Context, new: trace.Answer) -> Outcome:
        slow = new._replace(min_share=share, ms=new.ms * 5 + 30)
        return Outcome(ctx.old, (new, slow))

    return effect


def _rare_route(ctx: Context, new: trace.Answer) -> Outcome:
    if ctx.route is ctx.setup.routes[-1] and ctx.rng.random() < 0.7:
        return Outcome(ctx.old, (UNAVAILABLE,))
    return Outcome(ctx.old, (new,))


def _timeouts(ctx: Context, new: trace.Answer) -> Outcome:
    if ctx.rng.random() < 0.1:
        return Outcome(ctx.old, (trace.Answer(0.0, 504, 2000.0),))
    return Outcome(ctx.old, (new,))


KINDS = (
    Kind('same', False, _same),
    Kind('better', False, _better),
    Kind('slightly-slower', False, _slower(1.35)),
    Kind('common-outage', False, _common_outage),
    Kind('common-slow', False, _common_slow),
    Kind('common-timeouts', False, _common_timeouts),
    Kind('one-domain-down', False, _one_domain_down),
    Kind('load-bursts', False, _bursts),
    Kind('diurnal', False, _diurnal),
    Kind('cold-slow', False, _cold_slow),
    Kind('cold-failing', False, _cold_failing),
    Kind('fails-at-once', True, _failing(1.0)),
    Kind('fails-partly', True, _failing(0.2)),
    Kind('fails-3-percent', True, _failing(0.035)),
    Kind('fails-late', True, _failing(0.5, first=0.6), 0.6),
    Kind('fails-after-done', True, _failing(0.5, first=1.1), 1.1),
    Kind('fails-rare-route', True, _rare_route),
    Kind('fails-one-domain', True, _failing(0.6, one_domain=True)),
    Kind('fails-above-share', True, _failing(0.4, share=0.3), 0.8),
    Kind('fails-near-full', True, _failing(0.3, share=0.95), 1.0),
    Kind('times-out', True, _timeouts),
    Kind('slow', True, _slower(3.5)),
    Kind('slow-tail', True, _slow_tail(0.0)),
    Kind('slow-tail-late', True, _slow_tail(0.5), 0.5),
    Kind('slow-above-share', True, _slow_above(0.3), 0.8),
)


def find_kind(name: str) -> Kind:
    """Return the kind of trouble with a name.

    :raises StopIteration: if there is none
    """
    return next(kind for kind in KINDS if kind.name == name)


def make_trace(kind: Kind, setup: Setup, seed: int) -> trace.Trace:
    """Return the trace of a move with one kind of trouble.

    The same parameters give the same trace.
    """
    rng = random.Random(f'{kind.name}/{seed}')
    header = trace.Header(
        t=0.0,
        name=f'{setup.service}-{kind.name}',
        failure_domains=list(setup.domains),
        nodes=setup.nodes,
        routes=[
            trace.Route(route.name, setup.service, route.repeatable)
            for route in setup.routes
        ],
    )
    events: list[trace.MoveLine | trace.Request] = []
    total = sum(route.rate_per_s for route in setup.routes)
    weights = [route.rate_per_s for route in setup.routes]
    t = 0.0
    move = trace.MoveLine(
        t=setup.start,
        move='m1',
        service=setup.service,
        old=OLD,
        new=NEW,
        by=setup.by,
    )
    started = False
    while True:
        t = round(t + rng.expovariate(total), 3)
        if t >= setup.start and not started:
            events.append(move)
            started = True
        if t > setup.end:
            break
        route = rng.choices(setup.routes, weights)[0]
        node = rng.randrange(setup.nodes)
        old, new = _base_answers(route, setup, rng)
        ctx = Context(t, route, node % len(setup.domains), setup, rng, old)
        outcome = kind.effect(ctx, new)
        events.append(
            trace.Request(
                t,
                route.name,
                node,
                {
                    OLD: (_round_ms(outcome.old),),
                    NEW: tuple(_round_ms(answer) for answer in outcome.new),
                },
            )
        )
    return trace.Trace(header, events, setup.end)


def _base_answers(
    route: RouteLoad, setup: Setup, rng: random.Random
) -> tuple[trace.Answer, trace.Answer]:
    # The failures and most of the latency depend on the request only, so
    # that both versions answer it nearly alike.
    if rng.random() < setup.base_failure_ratio:
        answer = trace.Answer(0.0, 500, 0.5 * route.median_ms)
        return answer, answer
    ms = route.median_ms * math.exp(
        route.latency_log_sigma * rng.gauss(0.0, 1.0)
    )
    return (
        trace.Answer(0.0, 200, ms),
        trace.Answer(0.0, 200, ms * math.exp(rng.gauss(0.0, 0.1))),
    )


def _round_ms(answer: trace.Answer) -> trace.Answer:
    return answer._replace(ms=round(answer.ms, 1))


def random_setup(seed: int, large: bool = False) -> Setup:
    """Return a setup with random traffic, fleet and time.

    :param large: whether rates up to 500/s and moves of an hour occur
    """
    rng = random.Random(f'setup/{seed}')
    total = math.exp(rng.uniform(math.log(3.0), math.log(150.0)))
    duration_s = math.exp(rng.uniform(math.log(60.0), math.log(900.0)))
    if large:
        total = math.exp(rng.uniform(math.log(2.0), math.log(500.0)))
        duration_s = math.exp(rng.uniform(math.log(60.0), math.log(3600.0)))
    # Bounds the number of requests, and so the time that a replay takes.
    duration_s = max(
        60.0, min(duration_s, (60_000.0 if large else 10_000.0) / total)
    )
    domains = rng.randint(1, 6)
    latency_log_sigma = rng.choice((0.15, 0.4, 0.99))
    routes = [
        RouteLoad(
            'ledger.balance', True, 0.6 * total, 12.0, latency_log_sigma
        ),
        RouteLoad(
            'ledger.parcels', True, 0.3 * total, 35.0, latency_log_sigma
        ),
        RouteLoad(
            'ledger.retire', False, 0.1 * total, 25.0, latency_log_sigma
        ),
    ][: rng.randint(2, 3)]
    start = 10.0
    by = start + duration_s
    return Setup(
        'ledger',
        tuple(routes),
        tuple(f'fd-{index}' for index in range(domains)),
        max(rng.randint(1, 40), domains),
        start,
        by,
        by + 0.4 * duration_s + 20.0,
        rng.choice((0.0, 0.0, 0.002, 0.01, 0.05)),
    )
