"""Measurement runs of the capacity page."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import statistics
import time
from typing import Any

from damaskpier.bundle import model
from damaskpier import config
from damaskpier.store import http
from damaskpier.store import signoff
from tools.capacity import deployment

# The smallest size has one node in each process.
FLEET_SIZES = (6, 24, 60, 120, 240)
BUNDLE_ROUTES = (41, 205, 820)
CHANGE_RATES = (0.5, 1.0, 2.0)  # changes a second
RATE_NODES = 60
CHURN_SIZES = (24, 60, 120)
RESTARTS = 12
BASE_ROUTES_PER_SERVICE = 3
STEADY_S = 10.0
CHANGES = 10
CHANGE_INTERVAL_S = 0.7
SETTLE_S = 3.0
CONVERGE_LIMIT_S = 30.0


async def measure_all() -> dict[str, Any]:
    """Return the raw figures of all runs."""
    figures: dict[str, Any] = {
        'sizes': [],
        'bundles': [],
        'rates': [],
        'churn': [],
    }
    for nodes in FLEET_SIZES:
        figures['sizes'].append(await measure_size(nodes))
        _progress(figures['sizes'][-1])
    for routes in BUNDLE_ROUTES:
        figures['bundles'].append(await measure_bundle(RATE_NODES, routes))
        _progress(figures['bundles'][-1])
    for rate in CHANGE_RATES:
        figures['rates'].append(await measure_rate(RATE_NODES, rate))
        _progress(figures['rates'][-1])
    for nodes in CHURN_SIZES:
        figures['churn'].append(await measure_churn(nodes))
        _progress(figures['churn'][-1])
    return figures


async def measure_size(nodes: int) -> dict[str, Any]:
    """Measure a fleet at rest and with changes."""
    async with _signed_off_fleet(nodes) as (fleet, operator):
        await asyncio.sleep(SETTLE_S)
        before = fleet.read()
        await asyncio.sleep(STEADY_S)
        after = fleet.read()
        steady = _difference(before, after, nodes)
        converged = await _changes(fleet, operator, nodes, CHANGE_INTERVAL_S)
        last = fleet.read()
        changes = _difference(after, last, nodes)
    return {
        'nodes': nodes,
        'rss_kb_per_node': after.rss_kb / nodes,
        'processes': fleet.processes,
        'steady': steady,
        'changing': changes,
        'converged_s': converged,
    }


async def measure_bundle(nodes: int, routes: int) -> dict[str, Any]:
    """Measure changes of one route in bundles of several sizes."""
    async with _started_fleet(nodes) as (fleet, operator):
        before = fleet.read()
        await operator.sign(make_bundle(routes // deployment.SERVICES))
        await _until_applied(fleet, operator.version, nodes)
        whole = _difference(before, fleet.read(), nodes)
        converged = await _changes(fleet, operator, nodes, CHANGE_INTERVAL_S)
        after = fleet.read()
    return {
        'nodes': nodes,
        'routes': routes,
        'whole_config_bytes': whole['sent'].get('config', [0, 0])[1],
        'changing': _difference(before, after, nodes),
        'converged_s': converged,
        'rss_kb_per_node': after.rss_kb / nodes,
    }


async def measure_rate(nodes: int, rate: float) -> dict[str, Any]:
    """Measure a fleet under a steady rate of changes."""
    async with _signed_off_fleet(nodes) as (fleet, operator):
        before = fleet.read()
        converged = await _changes(fleet, operator, nodes, 1 / rate)
        after = fleet.read()
    return {
        'nodes': nodes,
        'rate': rate,
        'changing': _difference(before, after, nodes),
        'converged_s': converged,
    }


async def measure_churn(nodes: int) -> dict[str, Any]:
    """Measure planned restarts, then the loss and return of a domain."""
    async with _signed_off_fleet(nodes) as (fleet, operator):
        before = fleet.read()
        for number in range(RESTARTS):
            await fleet.restart(number)
        await fleet.until_alive(nodes)
        restarts = _difference(before, fleet.read(), nodes)
        loss = await _lose_domain(fleet, nodes)
    return {
        'nodes': nodes,
        'restarts': RESTARTS,
        'restarting': restarts,
        **loss,
    }


async def _lose_domain(
    fleet: deployment.Deployment, nodes: int
) -> dict[str, Any]:
    calls = fleet.read().platform_calls
    lost = fleet.kill_domain(1, 1)
    began = time.monotonic()
    await fleet.until_alive(nodes - lost)
    gone_s = time.monotonic() - began
    calls_gone = fleet.read().platform_calls
    began = time.monotonic()
    await fleet.return_domain(1, 1)
    started_s = time.monotonic() - began
    await fleet.until_alive(nodes)
    returned_s = time.monotonic() - began - started_s
    calls_back = fleet.read().platform_calls
    return {
        'lost_nodes': lost,
        'loss_known_everywhere_s': gone_s,
        'loss_platform_calls': _call_difference(calls, calls_gone),
        'return_known_everywhere_s': returned_s,
        'return_platform_calls': _call_difference(calls_gone, calls_back),
    }


@contextlib.asynccontextmanager
async def _started_fleet(
    nodes: int,
) -> AsyncIterator[tuple[deployment.Deployment, Operator]]:
    """Give a fleet without a configuration, and its operator."""
    fleet = deployment.Deployment(nodes)
    try:
        await fleet.start()
        operator = await Operator.connect(fleet.platform)
        yield fleet, operator
        await operator.close()
    finally:
        fleet.stop()


@contextlib.asynccontextmanager
async def _signed_off_fleet(
    nodes: int,
) -> AsyncIterator[tuple[deployment.Deployment, Operator]]:
    """Give a fleet with the base configuration on every node."""
    async with _started_fleet(nodes) as (fleet, operator):
        await operator.sign(make_bundle(BASE_ROUTES_PER_SERVICE))
        await _until_applied(fleet, operator.version, nodes)
        yield fleet, operator


class Operator:
    """Signs off one bundle after another."""

    def __init__(self, store: http.HttpObjectStore) -> None:
        self._store = store
        self.version = 0
        self.bundle = model.Bundle({}, {})

    @classmethod
    async def connect(cls, platform: str) -> Operator:
        """Return an operator of a platform."""
        store = http.HttpObjectStore(config.parse_address(platform))
        await store.start()
        return cls(store)

    async def close(self) -> None:
        """Close the connection to the platform."""
        await self._store.stop()

    async def sign(self, bundle: model.Bundle) -> float:
        """Sign a bundle off; return the time before the write."""
        began = time.monotonic()
        head = await signoff.sign_off(
            self._store, bundle, None, 'capacity', None, '', time.time()
        )
        if not isinstance(head, model.Head):
            raise RuntimeError(f'the sign-off was refused: {head}')
        self.version = head.version
        self.bundle = bundle
        return began

    async def change_one_route(self, number: int) -> float:
        """Sign off a change of the time limit of one route."""
        name = sorted(self.bundle.routes)[number % len(self.bundle.routes)]
        route = self.bundle.routes[name]
        changed = route._replace(timeout_ms=route.timeout_ms + 1)
        return await self.sign(
            self.bundle._replace(routes={**self.bundle.routes, name: changed})
        )


def make_bundle(routes_per_service: int) -> model.Bundle:
    """Return a bundle of the stated number of services."""
    services, routes = {}, {}
    for number in range(deployment.SERVICES):
        name = f's{number:02d}'
        services[name] = model.ServiceSpec(name, 'v1', 20)
        for index in range(routes_per_service):
            route = f'{name}.r{index}'
            routes[route] = model.RouteSpec(
                route, name, 'GET', f'/{name}/r{index}', True
            )
    return model.Bundle(services, routes)


async def _changes(
    fleet: deployment.Deployment, operator: Operator, nodes: int, pause: float
) -> list[float]:
    """Make changes; return for each the time until all nodes had it."""
    signed = {}
    for number in range(CHANGES):
        began = await operator.change_one_route(number)
        signed[operator.version] = began
        await asyncio.sleep(max(0.0, pause - (time.monotonic() - began)))
    reading = await _until_applied(fleet, operator.version, nodes)
    return [
        max(_reached(entries, version) for entries in reading.applied.values())
        - began
        for version, began in signed.items()
    ]


def _reached(entries: list[list[float]], version: int) -> float:
    """Return when a node had a version or a later one."""
    return min(at for applied, at in entries if applied >= version)


async def _until_applied(
    fleet: deployment.Deployment, version: int, nodes: int
) -> deployment.Reading:
    limit = time.monotonic() + CONVERGE_LIMIT_S
    while True:
        reading = fleet.read()
        done = sum(
            entries[-1][0] >= version for entries in reading.applied.values()
        )
        if done >= nodes:
            return reading
        if time.monotonic() > limit:
            raise TimeoutError(
                f'version {version} is on {done} of {nodes} nodes'
            )
        await asyncio.sleep(0.2)


def _difference(
    before: deployment.Reading, after: deployment.Reading, nodes: int
) -> dict[str, Any]:
    """Return the cost between two readings, per node and second."""
    seconds = after.at - before.at
    by_node = [
        (after.busiest[name] - before.busiest[name]) / seconds
        for name in after.busiest
    ]
    busiest = max(range(len(by_node)), key=by_node.__getitem__)
    return {
        'seconds': seconds,
        'cpu_percent_per_node': 100
        * (after.cpu_s - before.cpu_s)
        / seconds
        / nodes,
        'bytes_per_s_median_node': statistics.median(by_node),
        'bytes_per_s_busiest_node': by_node[busiest],
        'busiest_role': list(after.roles.values())[busiest],
        'sent': _counts(before.sent, after.sent),
        'platform_calls': _call_difference(
            before.platform_calls, after.platform_calls
        ),
    }


def _call_difference(
    before: dict[str, int], after: dict[str, int]
) -> dict[str, int]:
    return {kind: after[kind] - before.get(kind, 0) for kind in after}


def _counts(
    before: dict[str, tuple[int, int]], after: dict[str, tuple[int, int]]
) -> dict[str, list[int]]:
    return {
        kind: [
            now - then
            for now, then in zip(counts, before.get(kind, (0, 0)), strict=True)
        ]
        for kind, counts in after.items()
    }


def _progress(figures: dict[str, Any]) -> None:
    print(
        {
            key: value
            for key, value in figures.items()
            if not isinstance(value, dict)
        },
        flush=True,
    )
