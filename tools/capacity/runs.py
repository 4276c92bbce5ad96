"""Measurement runs behind docs/CAPACITY.md."""

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
BUNDLE_ROUTE_COUNTS = (41, 205, 820)
CHANGE_RATES_PER_S = (0.5, 1.0, 2.0)
FIXED_FLEET_SIZE = 60
CHURN_FLEET_SIZES = (24, 60, 120)
RESTART_COUNT = 12
BASE_ROUTES_PER_SERVICE = 3
STEADY_DURATION_S = 10.0
CHANGE_COUNT = 10
CHANGE_INTERVAL_S = 0.7
SETTLE_DELAY_S = 3.0
CONVERGENCE_TIMEOUT_S = 30.0


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
        _print_progress(figures['sizes'][-1])
    for routes in BUNDLE_ROUTE_COUNTS:
        figures['bundles'].append(
            await measure_bundle(FIXED_FLEET_SIZE, routes)
        )
        _print_progress(figures['bundles'][-1])
    for rate in CHANGE_RATES_PER_S:
        figures['rates'].append(await measure_rate(FIXED_FLEET_SIZE, rate))
        _print_progress(figures['rates'][-1])
    for nodes in CHURN_FLEET_SIZES:
        figures['churn'].append(await measure_churn(nodes))
        _print_progress(figures['churn'][-1])
    return figures


async def measure_size(nodes: int) -> dict[str, Any]:
    """Measure a fleet at rest, and then during changes of one route each."""
    async with _configured_fleet(nodes) as (fleet, operator):
        await asyncio.sleep(SETTLE_DELAY_S)
        before = fleet.read()
        await asyncio.sleep(STEADY_DURATION_S)
        after = fleet.read()
        steady = _cost_between(before, after, nodes)
        converged = await _make_changes(
            fleet, operator, nodes, CHANGE_INTERVAL_S
        )
        last = fleet.read()
        changes = _cost_between(after, last, nodes)
    return {
        'nodes': nodes,
        'rss_kb_per_node': after.rss_kb / nodes,
        'processes': fleet.host_process_count,
        'steady': steady,
        'changing': changes,
        'converged_s': converged,
    }


async def measure_bundle(nodes: int, routes: int) -> dict[str, Any]:
    """Measure the first sign-off and changes of one route in a bundle.

    :param nodes: number of nodes
    :param routes: number of routes of the bundle
    """
    async with _started_fleet(nodes) as (fleet, operator):
        before = fleet.read()
        await operator.sign_off(
            make_bundle(routes // deployment.SERVICE_COUNT)
        )
        await _wait_until_applied(fleet, operator.version, nodes)
        whole = _cost_between(before, fleet.read(), nodes)
        converged = await _make_changes(
            fleet, operator, nodes, CHANGE_INTERVAL_S
        )
        after = fleet.read()
    return {
        'nodes': nodes,
        'routes': routes,
        'whole_config_bytes': whole['sent'].get('config', [0, 0])[1],
        'changing': _cost_between(before, after, nodes),
        'converged_s': converged,
        'rss_kb_per_node': after.rss_kb / nodes,
    }


async def measure_rate(nodes: int, rate: float) -> dict[str, Any]:
    """Measure a fleet under a steady rate of changes.

    :param nodes: number of nodes
    :param rate: changes per second
    """
    async with _configured_fleet(nodes) as (fleet, operator):
        before = fleet.read()
        converged = await _make_changes(fleet, operator, nodes, 1 / rate)
        after = fleet.read()
    return {
        'nodes': nodes,
        'rate': rate,
        'changing': _cost_between(before, after, nodes),
        'converged_s': converged,
    }


async def measure_churn(nodes: int) -> dict[str, Any]:
    """Measure planned restarts, then loss and return of a failure domain."""
    async with _configured_fleet(nodes) as (fleet, operator):
        before = fleet.read()
        for number in range(RESTART_COUNT):
            await fleet.restart(number)
        await fleet.wait_until_converged(nodes)
        restarts = _cost_between(before, fleet.read(), nodes)
        loss = await _lose_domain(fleet, nodes)
    return {
        'nodes': nodes,
        'restarts': RESTART_COUNT,
        'restarting': restarts,
        **loss,
    }


async def _lose_domain(
    fleet: deployment.Deployment, nodes: int
) -> dict[str, Any]:
    calls = fleet.read().platform_calls
    lost = fleet.kill_domain(1, 1)
    began = time.monotonic()
    await fleet.wait_until_converged(nodes - lost)
    loss_known_s = time.monotonic() - began
    calls_after_loss = fleet.read().platform_calls
    began = time.monotonic()
    await fleet.restart_domain(1, 1)
    started_s = time.monotonic() - began
    await fleet.wait_until_converged(nodes)
    return_known_s = time.monotonic() - began - started_s
    calls_after_return = fleet.read().platform_calls
    return {
        'lost_nodes': lost,
        'loss_known_everywhere_s': loss_known_s,
        'loss_platform_calls': _subtract_calls(calls, calls_after_loss),
        'return_known_everywhere_s': return_known_s,
        'return_platform_calls': _subtract_calls(
            calls_after_loss, calls_after_return
        ),
    }


@contextlib.asynccontextmanager
async def _started_fleet(
    nodes: int,
) -> AsyncIterator[tuple[deployment.Deployment, Operator]]:
    """Yield a started fleet without a configuration, and its operator."""
    fleet = deployment.Deployment(nodes)
    try:
        await fleet.start()
        operator = await Operator.connect(fleet.platform)
        yield fleet, operator
        await operator.close()
    finally:
        fleet.stop()


@contextlib.asynccontextmanager
async def _configured_fleet(
    nodes: int,
) -> AsyncIterator[tuple[deployment.Deployment, Operator]]:
    """Yield a fleet that has applied the base bundle, and its operator."""
    async with _started_fleet(nodes) as (fleet, operator):
        await operator.sign_off(make_bundle(BASE_ROUTES_PER_SERVICE))
        await _wait_until_applied(fleet, operator.version, nodes)
        yield fleet, operator


class Operator:
    """Signs off one bundle after another.

    ``version`` and ``bundle`` are those of the last sign-off.
    """

    def __init__(self, store: http.HttpObjectStore) -> None:
        self._store = store
        self.version = 0
        self.bundle = model.Bundle({}, {})

    @classmethod
    async def connect(cls, platform: str) -> Operator:
        """Connect to a platform.

        :param platform: address of the platform, ``HOST:PORT``
        """
        store = http.HttpObjectStore(config.parse_address(platform))
        await store.start()
        return cls(store)

    async def close(self) -> None:
        """Close the connection to the platform."""
        await self._store.stop()

    async def sign_off(self, bundle: model.Bundle) -> float:
        """Sign a bundle off.

        :returns: the time before the write in monotonic seconds
        :raises RuntimeError: if the sign-off was refused
        """
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
        """Sign off a change of the timeout of one route.

        :param number: selects the route by its position in order of names
        :returns: the time before the write in monotonic seconds
        """
        name = sorted(self.bundle.routes)[number % len(self.bundle.routes)]
        route = self.bundle.routes[name]
        changed = route._replace(timeout_ms=route.timeout_ms + 1)
        return await self.sign_off(
            self.bundle._replace(routes={**self.bundle.routes, name: changed})
        )


def make_bundle(routes_per_service: int) -> model.Bundle:
    """Return a bundle of ``deployment.SERVICE_COUNT`` services.

    :param routes_per_service: number of routes of each service
    """
    services, routes = {}, {}
    for number in range(deployment.SERVICE_COUNT):
        name = f's{number:02d}'
        services[name] = model.ServiceSpec(name, 'v1', 20)
        for index in range(routes_per_service):
            route = f'{name}.r{index}'
            routes[route] = model.RouteSpec(
                route, name, 'GET', f'/{name}/r{index}', True
            )
    return model.Bundle(services, routes)


async def _make_changes(
    fleet: deployment.Deployment, operator: Operator, nodes: int, pause: float
) -> list[float]:
    """Sign off changes and return their convergence times.

    :param pause: time between the starts of two changes in seconds
    :returns: for each change the seconds until the last node applied its
        version or a later one
    """
    start_times = {}
    for number in range(CHANGE_COUNT):
        began = await operator.change_one_route(number)
        start_times[operator.version] = began
        await asyncio.sleep(max(0.0, pause - (time.monotonic() - began)))
    reading = await _wait_until_applied(fleet, operator.version, nodes)
    return [
        max(
            _time_applied(entries, version)
            for entries in reading.applied.values()
        )
        - began
        for version, began in start_times.items()
    ]


def _time_applied(entries: list[list[float]], version: int) -> float:
    """Return when a node first applied a version or a later one."""
    return min(at for applied, at in entries if applied >= version)


async def _wait_until_applied(
    fleet: deployment.Deployment, version: int, nodes: int
) -> deployment.Reading:
    limit = time.monotonic() + CONVERGENCE_TIMEOUT_S
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


def _cost_between(
    before: deployment.Reading, after: deployment.Reading, nodes: int
) -> dict[str, Any]:
    """Return the costs of a fleet between two readings.

    Processor time and bytes are given per node and second, messages and
    calls of the platform as totals of the fleet.
    """
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
        'sent': _subtract_counts(before.sent, after.sent),
        'platform_calls': _subtract_calls(
            before.platform_calls, after.platform_calls
        ),
    }


def _subtract_calls(
    before: dict[str, int], after: dict[str, int]
) -> dict[str, int]:
    return {kind: after[kind] - before.get(kind, 0) for kind in after}


def _subtract_counts(
    before: dict[str, tuple[int, int]], after: dict[str, tuple[int, int]]
) -> dict[str, list[int]]:
    return {
        kind: [
            now - earlier
            for now, earlier in zip(
                counts, before.get(kind, (0, 0)), strict=True
            )
        ]
        for kind, counts in after.items()
    }


def _print_progress(figures: dict[str, Any]) -> None:
    print(
        {
            key: value
            for key, value in figures.items()
            if not isinstance(value, dict)
        },
        flush=True,
    )
