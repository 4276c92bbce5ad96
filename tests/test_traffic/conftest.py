"""Fixtures that run nodes and upstreams in the test process."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

import pytest
from tornado import httpclient

from damaskpier import application
from damaskpier.bundle import model as bundle_model
from damaskpier import config
from damaskpier.fakes import upstream as fake_upstream
from damaskpier.mesh import model as mesh_model
from damaskpier import metrics
from damaskpier import registry
from damaskpier.rollout import model as rollout_model
from damaskpier.rpc import mesh_grpc
from damaskpier.rpc import mesh_pb2
from damaskpier.rpc import write_coalescing
from damaskpier.traffic import admin
from damaskpier.traffic import frontend
from damaskpier.traffic import peers
from damaskpier.traffic import upstream

SETTINGS = """\
[node]
id = {node_id}
region = {region}
failure_domain = {region}-1
[platform]
address = 127.0.0.1:9
[limits]
drain_timeout = 20
{limits}
"""


class Fleet:
    """State that all nodes of a test share: records and configuration."""

    def __init__(self) -> None:
        self.records: dict[str, mesh_model.NodeRecord] = {}
        self.snapshot = make_snapshot()
        self.picked: str | None = None
        self.shares: dict[str, float] = {}
        self.samples: list = []
        self.apps: list[application.Application] = []


class FakeRpc(registry.Service, mesh_grpc.MeshBase):
    """Fake of the service ``rpc``; like that, it stops before ``upstream``."""

    def __init__(self, app, fleet):
        self.app = app
        self.fleet = fleet
        self.server = None

    async def start(self):
        handlers = [peers.make_calls_handler(self.app), self]
        self.server = write_coalescing.Server(handlers)
        await self.server.start('127.0.0.1', 0)
        cfg = self.app.cfg
        node_id = cfg.text('node', 'id')
        self.fleet.records[node_id] = mesh_model.NodeRecord(
            node_id=node_id,
            incarnation=1,
            seq=0,
            region=cfg.text('node', 'region'),
            failure_domain=cfg.text('node', 'failure_domain'),
            host='127.0.0.1',
            rpc_port=self.server._server.sockets[0].getsockname()[1],
            http_port=0,
        )

    async def stop(self):
        self.server.close()
        await self.server.wait_closed()

    async def Attach(self, stream):  # noqa: N802
        raise NotImplementedError

    async def Ping(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(mesh_pb2.PingReply())


class Mesh(registry.Service):
    """Small ``configuration``, ``membership`` and ``rollouts``."""

    def __init__(self, app, fleet):
        self.app = app
        self.fleet = fleet

    def current(self):
        return self.fleet.snapshot

    def local_record(self):
        return self.fleet.records[self.app.cfg.text('node', 'id')]

    def workers(self, service):
        records = self.fleet.records.values()
        return tuple(r for r in records if r.service == service)

    def apply_announcement(self, announcement):
        record = self.local_record()
        if announcement is None:
            record = record._replace(service='')
        else:
            record = record._replace(
                service=announcement.service,
                version=announcement.version,
                slots=announcement.slots,
                ready=announcement.ready,
                draining=announcement.draining,
            )
        record = record._replace(seq=record.seq + 1)
        self.fleet.records[record.node_id] = record
        for app in self.fleet.apps:
            app.events.emit('workers-changed', 'ledger')

    def set_ports(self, http_port):
        record = self.local_record()._replace(http_port=http_port)
        self.fleet.records[record.node_id] = record

    def set_draining(self):
        record = self.local_record()._replace(draining=True)
        self.fleet.records[record.node_id] = record

    def choose_version(self, snapshot, route):
        service = snapshot.bundle.services[route.service]
        return rollout_model.VersionChoice(
            self.fleet.picked or service.version,
            self.fleet.shares.get(route.name, 0.0),
        )

    def states(self):
        return []

    def share(self, service, route):
        return self.fleet.shares.get(route, 0.0)

    def record(self, sample):
        self.fleet.samples.append(sample)


class Node(NamedTuple):
    """One running node and its upstream, if it has one."""

    app: application.Application
    mesh: Mesh
    fake: fake_upstream.FakeUpstream | None

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f'http://127.0.0.1:{self.app.service("frontend").port}'


def make_snapshot(version=1, moves=(), routes=()):
    """Return a configuration with one service and a few routes.

    :param routes: name, method, path, repeatable and timeout in ms of each
    """
    specs = routes or (
        ('get', 'GET', '/ledger/get', True, 60000),
        ('retire', 'POST', '/ledger/retire', False, 60000),
        ('archive', 'GET', '/ledger/archive/*', True, 60000),
    )
    bundle = bundle_model.Bundle(
        {'ledger': bundle_model.ServiceSpec('ledger', 'v1', 0, 40)},
        {
            name: bundle_model.RouteSpec(
                name, 'ledger', method, path, repeatable, timeout
            )
            for name, method, path, repeatable, timeout in specs
        },
    )
    head = bundle_model.Head(version, 'd', moves, 'op', 0.0, 'w')
    return bundle_model.Snapshot(head, bundle)


async def until(condition, seconds=30):
    """Wait until a condition holds.

    :raises TimeoutError: if it does not hold in time
    """
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.002)


@pytest.fixture
async def fleet():
    """Return a fleet without nodes."""
    return Fleet()


@pytest.fixture
async def start_node(fleet):
    """Return a function that starts a node.

    With options of a fake upstream, it starts that upstream too.
    """
    nodes = []

    async def start(node_id, *, region='souss', limits='', fake=None, **opts):
        cfg = config.loads(
            SETTINGS.format(node_id=node_id, region=region, limits=limits)
        )
        app = application.Application(cfg)
        mesh = Mesh(app, fleet)
        fleet.apps.append(app)
        metrics.setup(app)
        app.add_service('membership', mesh)
        app.add_service(
            'rpc', FakeRpc(app, fleet), after=('upstream', 'peers')
        )
        app.add_service('configuration', MeshView(mesh))
        app.add_service('rollouts', MeshView(mesh))
        for module in (upstream, peers, admin, frontend):
            module.setup(app)
        app.service('frontend')._sleep = lambda _: asyncio.sleep(0)
        await app.start()
        if fake is None and opts:
            host = app.cfg.text('node', 'host')
            port = app.service('admin').port
            fake = fake_upstream.FakeUpstream(
                fake_upstream.Options(
                    node_admin=f'{host}:{port}',
                    worker=node_id,
                    seed=random.Random(node_id).randrange(1000),
                    **opts,
                )
            )
            await fake.start()
            await until(lambda: fleet.records[node_id].service)
        node = Node(app, mesh, fake)
        nodes.append(node)
        return node

    yield start
    for node in reversed(nodes):
        if node.fake is not None:
            node.fake.options = node.fake.options._replace(drain_s=0)
            await node.fake.stop()
    for node in reversed(nodes):
        node.app.cfg._values['limits', 'drain_timeout'] = 0.0
        await node.app.stop()


class MeshView(registry.Service):
    """Registers the methods of a :class:`Mesh` as another service."""

    def __init__(self, mesh):
        self.current = mesh.current
        self.choose_version = mesh.choose_version
        self.share = mesh.share
        self.states = mesh.states
        self.record = mesh.record


@pytest.fixture
async def http():
    """Return a function that sends a request on a new connection."""
    client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=500)

    async def fetch(url, **kwargs):
        kwargs.setdefault('raise_error', False)
        kwargs.setdefault('request_timeout', 30)
        return await client.fetch(url, **kwargs)

    yield fetch
    client.close()
