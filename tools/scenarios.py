"""Seeded traces of good and bad versions, by kind of trouble."""

from __future__ import annotations

from collections.abc import Callable
import math
import random
from typing import NamedTuple

from damaskpier.replay import trace

OLD = 'v1'
NEW = 'v2'


class RouteLoad(NamedTuple):
    """Route with its traffic and the old version's behaviour."""

    name: str
    repeatable: bool
    rate: float  # requests/s
    median_ms: float
    spread: float  # standard deviation of the logarithm of the latency


class Setup(NamedTuple):
    """What a scenario has apart from its trouble."""

    service: str
    routes: tuple[RouteLoad, ...]
    domains: tuple[str, ...]
    nodes: int
    start: float
    by: float
    end: float
    base_failures: float = 0.0

    @property
    def length(self) -> float:
        """Return the time that the move may take, in s."""
        return self.by - self.start


class Context(NamedTuple):
    """Request whose answers a kind of trouble changes."""

    t: float
    route: RouteLoad
    domain: int
    setup: Setup
    rng: random.Random
    old: trace.Answer  # answer of the old version


class Outcome(NamedTuple):
    """Answers of both versions."""

    old: trace.Answer
    new: trace.Answers


Trouble = Callable[[Context, trace.Answer], Outcome]


class Kind(NamedTuple):
    """Kind of trouble with its right verdict.

    ``visible`` gives the time at which the fault of a bad version can be
    seen first, as a part of the time of the move. A fault that depends on
    the share shows when the share is reached, which is bound only by the
    stated time.
    """

    name: str
    bad: bool
    trouble: Trouble
    visible: float = 0.0


BROKEN = trace.Answer(0.0, 503, 4.0)


def _same(ctx: Context, new: trace.Answer) -> Outcome:
    return Outcome(ctx.old, (new,))


def _slower(factor: float) -> Trouble:
    def trouble(ctx: Context, new: trace.Answer) -> Outcome:
        return Outcome(ctx.old, (new._replace(ms=new.ms * factor),))

    return trouble


def _better(ctx: Context, new: trace.Answer) -> Outcome:
    return Outcome(ctx.old, (trace.Answer(0.0, 200, new.ms * 0.8),))


def _in_part(ctx: Context, first: float, last: float) -> bool:
    part = (ctx.t - ctx.setup.start) / ctx.setup.length
    return first <= part < last


def _common_outage(ctx: Context, new: trace.Answer) -> Outcome:
    if _in_part(ctx, 0.4, 0.45) or _in_part(ctx, 0.9, 0.93):
        old = BROKEN if ctx.rng.random() < 0.9 else ctx.old
        new = BROKEN if ctx.rng.random() < 0.9 else new
        return Outcome(old, (new,))
    return Outcome(ctx.old, (new,))


def _common_slow(ctx: Context, new: trace.Answer) -> Outcome:
    if _in_part(ctx, 0.3, 0.5):
        return Outcome(
            ctx.old._replace(ms=ctx.old.ms * 6 + 50),
            (new._replace(ms=new.ms * 6 + 50),),
        )
    return Outcome(ctx.old, (new,))


def _common_timeouts(ctx: Context, new: trace.Answer) -> Outcome:
    if _in_part(ctx, 0.5, 0.6):
        late = trace.Answer(0.0, 504, 2000.0)
        old = late if ctx.rng.random() < 0.3 else ctx.old
        return Outcome(old, (late if ctx.rng.random() < 0.3 else new,))
    return Outcome(ctx.old, (new,))


def _one_domain_down(ctx: Context, new: trace.Answer) -> Outcome:
    if ctx.domain == 0 and _in_part(ctx, 0.35, 0.6):
        old = BROKEN if ctx.rng.random() < 0.8 else ctx.old
        return Outcome(old, (BROKEN if ctx.rng.random() < 0.8 else new,))
    return Outcome(ctx.old, (new,))


def _bursts(ctx: Context, new: trace.Answer) -> Outcome:
    # Short overloads that a lagging load report lets through.
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
    part = (ctx.t - ctx.setup.start) / ctx.setup.length
    factor = 1.0 + 0.8 * math.sin(math.pi * part)
    return Outcome(
        ctx.old._replace(ms=ctx.old.ms * factor),
        (new._replace(ms=new.ms * factor),),
    )


def _cold_slow(ctx: Context, new: trace.Answer) -> Outcome:
    passed = ctx.t - ctx.setup.start
    warm = min(0.05 * ctx.setup.length, 20.0)
    if passed < warm:
        new = new._replace(ms=new.ms * (1 + 8 * (1 - passed / warm)) + 20)
    return Outcome(ctx.old, (new,))


def _cold_failing(ctx: Context, new: trace.Answer) -> Outcome:
    warm = min(0.04 * ctx.setup.length, 15.0)
    if ctx.t - ctx.setup.start < warm and ctx.rng.random() < 0.25:
        new = BROKEN
    return Outcome(ctx.old, (new,))


def _failing(
    rate: float,
    first: float = 0.0,
    share: float = 0.0,
    one_domain: bool = False,
) -> Trouble:
    def trouble(ctx: Context, new: trace.Answer) -> Outcome:
        if (
            (one_domain and ctx.domain != len(ctx.setup.domains) - 1)
            or not _in_part(ctx, first, math.inf)
            or ctx.rng.random() >= rate
        ):
            return Outcome(ctx.old, (new,))
        if share:
            return Outcome(ctx.old, (new, BROKEN._replace(min_share=share)))
        return Outcome(ctx.old, (BROKEN,))

    return trouble


def _slow_tail(first: float) -> Trouble:
    def trouble(ctx: Context, new: trace.Answer) -> Outcome:
        if _in_part(ctx, first, math.inf) and ctx.rng.random() < 0.06:
            slow = ctx.route.median_ms * math.exp(3 * ctx.route.spread)
            new = new._replace(ms=3 * slow + 60)
        return Outcome(ctx.old, (new,))

    return trouble


def _slow_above(share: float) -> Trouble:
    def trouble(ctx: Context, new: trace.Answer) -> Outcome:
        slow = new._replace(min_share=share, ms=new.ms * 5 + 30)
        return Outcome(ctx.old, (new, slow))

    return trouble


def _rare_route(ctx: Context, new: trace.Answer) -> Outcome:
    if ctx.route is ctx.setup.routes[-1] and ctx.rng.random() < 0.7:
        return Outcome(ctx.old, (BROKEN,))
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


def kind_named(name: str) -> Kind:
    """Return the kind with a name."""
    return next(kind for kind in KINDS if kind.name == name)


def make(kind: Kind, setup: Setup, seed: int) -> trace.Trace:
    """Return the trace of a move with one kind of trouble."""
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
    total = sum(route.rate for route in setup.routes)
    weights = [route.rate for route in setup.routes]
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
        old, new = _ordinary(route, setup, rng)
        ctx = Context(t, route, node % len(setup.domains), setup, rng, old)
        outcome = kind.trouble(ctx, new)
        events.append(
            trace.Request(
                t,
                route.name,
                node,
                {
                    OLD: (_rounded(outcome.old),),
                    NEW: tuple(_rounded(answer) for answer in outcome.new),
                },
            )
        )
    return trace.Trace(header, events, setup.end)


def _ordinary(
    route: RouteLoad, setup: Setup, rng: random.Random
) -> tuple[trace.Answer, trace.Answer]:
    # Most of the latency and the failures belong to the request, so that
    # the versions answer it nearly alike.
    if rng.random() < setup.base_failures:
        answer = trace.Answer(0.0, 500, 0.5 * route.median_ms)
        return answer, answer
    ms = route.median_ms * math.exp(route.spread * rng.gauss(0.0, 1.0))
    return (
        trace.Answer(0.0, 200, ms),
        trace.Answer(0.0, 200, ms * math.exp(rng.gauss(0.0, 0.1))),
    )


def _rounded(answer: trace.Answer) -> trace.Answer:
    return answer._replace(ms=round(answer.ms, 1))


def random_setup(seed: int, large: bool = False) -> Setup:
    """Return a setup with random traffic, fleet and time.

    :param large: whether rates up to 500/s and moves of an hour occur
    """
    rng = random.Random(f'setup/{seed}')
    total = math.exp(rng.uniform(math.log(3.0), math.log(150.0)))
    length = math.exp(rng.uniform(math.log(60.0), math.log(900.0)))
    if large:
        total = math.exp(rng.uniform(math.log(2.0), math.log(500.0)))
        length = math.exp(rng.uniform(math.log(60.0), math.log(3600.0)))
    # Bounds the number of requests and with it the time of a run.
    length = max(60.0, min(length, (60_000.0 if large else 10_000.0) / total))
    domains = rng.randint(1, 6)
    spread = rng.choice((0.15, 0.4, 0.99))
    routes = [
        RouteLoad('ledger.balance', True, 0.6 * total, 12.0, spread),
        RouteLoad('ledger.parcels', True, 0.3 * total, 35.0, spread),
        RouteLoad('ledger.retire', False, 0.1 * total, 25.0, spread),
    ][: rng.randint(2, 3)]
    start = 10.0
    by = start + length
    return Setup(
        'ledger',
        tuple(routes),
        tuple(f'fd-{index}' for index in range(domains)),
        max(rng.randint(1, 40), domains),
        start,
        by,
        by + 0.4 * length + 20.0,
        rng.choice((0.0, 0.0, 0.002, 0.01, 0.05)),
    )
