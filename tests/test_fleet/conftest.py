"""Complete nodes in one process, with an in-memory store and upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
from typing import NamedTuple

import pytest

from damaskpier import application
from damaskpier import config
from damaskpier import errors
from damaskpier.fleet import configuration
from damaskpier.fleet import departures
from damaskpier.fleet import exchange
from damaskpier.fleet import ingress
from damaskpier.fleet import model
from damaskpier.fleet import peers
from damaskpier.fleet import rollouts
from damaskpier.fleet import router
from damaskpier.fleet import startup_check
from damaskpier.fleet import store
from damaskpier.fleet import store_contact
from damaskpier.fleet import worker
from damaskpier.http1 import client
from damaskpier.http1 import messages
from damaskpier.http1 import server
from damaskpier.mesh import membership
from damaskpier.mesh import timing
from damaskpier import metrics
from damaskpier.platform import headers

HOST = '127.0.0.1'
TEST_TIMEOUT_S = 20.0
HEALTH_PATH = '/healthz'


class SharedStore:
    """Content of the store that all nodes share."""

    def __init__(self) -> None:
        self.configuration: model.Configuration | None = None
        self.orders: dict[str, model.Order] = {}
        self.nodes: dict[str, model.NodeAddress] = {}
        self.entries: dict[str, model.DirectoryEntry] = {}
        self.is_down = False
        self.changed = asyncio.Event()

    def put(self, cfg: model.Configuration) -> None:
        """Set the configuration."""
        self.configuration = cfg
        self._notify()

    def order(self, order: model.Order) -> None:
        """Set an order, or replace the one for another version."""
        before = self.orders.get(order.service)
        if before is not None and before.version != order.version:
            history = before.history.after(before.version, before.phase)
            order = order._replace(
                history=history, revision=before.revision + 1
            )
        self.orders[order.service] = order
        self._notify()

    def _notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class MemoryStore(store.FleetStore):
    """Store client of one node; ``is_cut`` disconnects only this node."""

    def __init__(self, store: SharedStore) -> None:
        self.is_cut = False
        self._store = store

    async def configurations(self):
        """Yield the configuration whenever something changes."""
        while True:
            changed = self._store.changed
            if self._is_down():
                yield _down()
            elif self._store.configuration is not None:
                yield self._store.configuration
            await changed.wait()

    async def orders(self):
        """Yield all orders whenever something changes."""
        while True:
            changed = self._store.changed
            if self._is_down():
                yield _down()
            else:
                yield list(self._store.orders.values())
            await changed.wait()

    async def write_phase(self, order, phase):
        """Write the phase of an order unless it has changed."""
        if self._is_down():
            return _down()
        stored = self._store.orders[order.service]
        if stored.revision == order.revision:
            stored = stored._replace(
                phase=phase,
                revision=order.revision + 1,
                has_status=True,
                history=order.history,
            )
            self._store.order(stored)
        return stored

    async def register(self, node):
        """Create or replace the entry of a node."""
        if self._is_down():
            return _down()
        self._store.nodes[node.node_id] = node
        return self._store.entries.setdefault(
            node.node_id, model.DirectoryEntry(node, 1)
        )

    async def write_departures(self, entry, timeout_s):
        """Write the departures of an entry unless it has changed."""
        if self._is_down():
            return _down()
        stored = self._store.entries[entry.node.node_id]
        if stored.revision == entry.revision:
            stored = entry._replace(revision=entry.revision + 1)
            self._store.entries[entry.node.node_id] = stored
        return stored

    async def directory(self):
        """Return all nodes."""
        if self._is_down():
            return _down()
        return list(self._store.nodes.values())

    def _is_down(self) -> bool:
        return self._store.is_down or self.is_cut


class Upstream:
    """Upstream with configurable answers that records its requests.

    ``ran`` lists the requests that ran, ``cancelled`` counts those that were
    cancelled. ``answer`` makes the response and may wait.
    """

    def __init__(self, instance: str, service: str, version: str) -> None:
        self.instance = instance
        self.service = service
        self.version = version
        self.ran: list[messages.Request] = []
        self.cancelled = 0
        self.slots = 4
        self.sequence = 0
        self.is_healthy = True
        self.answer: Callable[
            [messages.Request], Awaitable[messages.Response]
        ] = self.ok
        self.server = server.Server(self._handle)

    async def ok(self, request: messages.Request) -> messages.Response:
        """Return a signed answer with the instance of this upstream."""
        return self.signed(200, self.instance.encode())

    def signed(self, status: int, body: bytes = b'') -> messages.Response:
        """Return an answer with the upstream's signature."""
        return messages.Response(status, ((headers.SIGNATURE, 's'),), body)

    async def _handle(self, request: messages.Request) -> messages.Response:
        if request.path == HEALTH_PATH:
            return messages.Response(
                200 if self.is_healthy else 503,
                (
                    (headers.INSTANCE, self.instance),
                    (headers.LOAD, f'0,0,{self.slots}'),
                ),
            )
        expected = request.header(headers.EXPECTED_INSTANCE.lower())
        if expected != self.instance:
            return messages.Response(421)
        self.ran.append(request)
        try:
            response = await self.answer(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        echo = (
            headers.REQUEST_ID,
            request.header(headers.REQUEST_ID.lower()),
        )
        return response._replace(headers=(*response.headers, echo))


class Node(NamedTuple):
    """Running node with its store client and upstream."""

    app: application.Application
    store: MemoryStore
    upstream: Upstream

    @property
    def name(self) -> str:
        """Return the node's identifier."""
        return self.app.cfg.text('node', 'id')

    def announce(self, *, draining: bool = False, started_ms: int = 1) -> bool:
        """Send an announcement of the upstream to the node.

        :returns: whether the node applied the announcement
        """
        up = self.upstream
        up.sequence += 1
        return self.app.service('worker').apply_announcement(
            model.Announcement(
                up.instance,
                up.service,
                up.version,
                HOST,
                up.server.port,
                up.slots,
                draining,
                up.sequence,
                started_ms,
            )
        )

    async def request(
        self,
        target: str = '/read/1',
        method: str = 'GET',
        deadline_ms: int = 10_000,
        request_id: str = 'r1',
        body: bytes = b'',
        fields: messages.Headers = (),
    ) -> messages.Response | messages.Failure:
        """Send a request as a caller of this node.

        :param fields: further headers
        """
        port = self.app.service('ingress').server.port
        pool = client.Pool(HOST, port)
        data = messages.encode_request(
            method,
            target,
            (
                ('Host', 'h.example'),
                (headers.REQUEST_ID, request_id),
                (headers.DEADLINE_MS, str(deadline_ms)),
                *fields,
            ),
            body,
        )
        now = asyncio.get_running_loop().time()
        return await pool.request(data, client.Options(now + TEST_TIMEOUT_S))


class Fleet:
    """Starts and stops nodes on one store.

    ``settings`` are further lines of the section ``fleet`` for nodes that
    start from then on, ``region`` is their region, and ``clock``, if set, that
    of their exchange and of their contact with the store.
    """

    def __init__(self) -> None:
        self.settings = ''
        self.region = 'r'
        self.clock: Callable[[], float] | None = None
        self.store = SharedStore()
        self.nodes: list[Node] = []

    async def add(
        self,
        service: str = 'reads',
        version: str = 'v1',
        domain: str = 'a',
        *,
        announces: bool = True,
        is_healthy: bool = True,
    ) -> Node:
        """Start a node with an upstream.

        :param announces: whether the upstream announces itself
        :param is_healthy: whether the upstream passes health checks
        """
        name = f'node-{len(self.nodes)}'
        upstream = Upstream(f'i-{len(self.nodes)}', service, version)
        upstream.is_healthy = is_healthy
        await upstream.server.listen(HOST, 0)
        node = await self._start_node(name, domain, upstream)
        self.nodes.append(node)
        if announces:
            departures_ = node.app.service('departures')
            if not node.store._is_down():
                await wait_until(lambda: departures_.are_known)
            node.announce()
        return node

    async def restart(self, node: Node) -> Node:
        """Start a node again beside its upstream, which keeps running."""
        await _stop_node(node)
        domain = node.app.cfg.text('node', 'failure_domain')
        restarted = await self._start_node(node.name, domain, node.upstream)
        self.nodes[self.nodes.index(node)] = restarted
        return restarted

    async def _start_node(
        self, name: str, domain: str, upstream: Upstream
    ) -> Node:
        cfg = config.loads(
            f'[node]\nid = {name}\nregion = {self.region}\n'
            f'failure_domain = {domain}\n'
            f'service = {upstream.service}\n'
            '[platform]\naddress = 127.0.0.1:1\n'
            '[fleet]\ngrace = 0.5\nheartbeat = 60\nretry_slack = 1000\n'
            f'{self.settings}'
            f'[upstream]\naddress = {HOST}:{upstream.server.port}\n'
        )
        memory = MemoryStore(self.store)
        codec = headers.PlatformHeaderCodec()
        app = application.make_application(
            cfg,
            (
                metrics.setup,
                lambda app: app.add_service('store', memory),
                departures.setup,
                functools.partial(
                    membership.setup,
                    timing=timing.Timing(announce_expiry_s=1e9),
                ),
                configuration.setup,
                rollouts.setup,
                functools.partial(worker.setup, codec=codec),
                functools.partial(startup_check.setup, codec=codec),
                peers.setup,
                exchange.setup,
                store_contact.setup,
                router.setup,
                functools.partial(ingress.setup, codec=codec),
            ),
        )
        if self.clock is not None:
            app.service('exchange')._clock = self.clock
            app.service('store-contact')._clock = self.clock
        await app.start()
        return Node(app, memory, upstream)

    async def wait_converged(self) -> None:
        """Wait until all nodes have all workers and the configuration."""
        workers = {
            node.upstream.instance
            for node in self.nodes
            if node.app.service('worker').announcement is not None
        }
        await wait_until(
            lambda: all(
                workers <= _known(node)
                and node.app.service('configuration').current()
                is self.store.configuration
                for node in self.nodes
            )
        )

    async def stop(self) -> None:
        """Stop all nodes and upstreams."""
        for node in self.nodes:
            await _stop_node(node)
            await node.upstream.server.stop(0.0)


async def _stop_node(node: Node) -> None:
    node.app.service('ingress')._grace_s = 0.0
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(node.app.stop(), 2.0)


def _known(node: Node) -> set[str]:
    return {
        record.instance
        for record in node.app.service('membership').all_records()
    }


def _down() -> errors.Refusal:
    return errors.Refusal(errors.PLATFORM_UNAVAILABLE, 'the store is down')


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


def make_route(
    name: str = 'read',
    service: str = 'reads',
    kind: model.RouteKind = model.RouteKind.IDEMPOTENT,
    **fields,
) -> model.Route:
    """Return a route with its name as the prefix."""
    given = {
        'host': 'h.example',
        'prefix': f'/{name}/',
        'destinations': (model.WeightedService(service, 1.0),),
        'timeout_s': 10.0,
        'objective_s': 1.0,
        'max_attempts': 3,
        **fields,
    }
    return model.Route(name, kind=kind, **given)


def make_configuration(
    version: int = 1,
    routes: tuple[model.Route, ...] | None = None,
    teams: tuple[model.Team, ...] = (),
) -> model.Configuration:
    """Return a configuration, by default with a read and a write route."""
    if routes is None:
        routes = (
            make_route(),
            make_route('write', kind=model.RouteKind.NON_IDEMPOTENT),
        )
    names = {
        destination.service
        for route in routes
        for destination in route.destinations
    }
    return model.Configuration(
        version,
        routes,
        {name: model.ServiceSpec(name) for name in names},
        model.CallerLimits(),
        teams,
    )


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Yield a fleet without nodes and with a configuration in its store."""
    made = Fleet()
    made.store.put(make_configuration())
    yield made
    await made.stop()
