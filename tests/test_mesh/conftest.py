"""Fleets of nodes in one process, connected by gRPC over loopback."""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
import time

import pytest

from damaskpier import application
from damaskpier.bundle import codec
from damaskpier.bundle import model
from damaskpier import config
from damaskpier.mesh import configuration
from damaskpier.mesh import membership
from damaskpier.mesh import model as mesh_model
from damaskpier.mesh import timing as timing_module
from damaskpier.mesh import tree
from damaskpier.rpc import server
from damaskpier.store import lease
from damaskpier.store import memory
from damaskpier.store import signoff

# Ends a test that hangs; no test checks a duration against it.
HANG_TIMEOUT_S = 60.0
TIMING_FACTOR = 0.15
# The TTL has to exceed the interval at which a process checks for pauses of
# itself.
LEASE_FACTOR = 0.25

SETTINGS = """\
[node]
id = {node_id}
region = {region}
failure_domain = {region}-{domain}
[platform]
address = 127.0.0.1:1
[mesh]
seeds = {seeds}
max_children = {max_children}
"""


async def eventually(condition, what='condition', limit=HANG_TIMEOUT_S):
    """Wait until a condition holds.

    :param what: description of the condition for the error message
    :param limit: longest time to wait in seconds
    """
    until = time.monotonic() + limit
    while not condition():
        if time.monotonic() > until:
            raise AssertionError(f'{what} does not hold after {limit} s')
        await asyncio.sleep(0.005)


def make_bundle(count=1, slots=4):
    """Return a bundle with some services and one route to each."""
    return model.Bundle(
        {
            f's{i}': model.ServiceSpec(f's{i}', 'v1', slots)
            for i in range(count)
        },
        {
            f's{i}.get': model.RouteSpec(f's{i}.get', f's{i}', 'GET', f'/s{i}')
            for i in range(count)
        },
    )


def make_snapshot(version, bundle=None, moves=()):
    """Return a valid configuration."""
    bundle = bundle or make_bundle(slots=version)
    digest = codec.bundle_digest(bundle)
    head = model.Head(version, digest, tuple(moves), 'ada', 1.0, f'w{version}')
    return model.Snapshot(head, bundle)


async def _hang(stream):
    await asyncio.Event().wait()


class Rollouts:
    """Replacement for the service ``rollouts`` that only merges states."""

    def __init__(self, app):
        self._app = app
        self.by_move = {}

    async def start(self):
        pass

    async def stop(self):
        pass

    def states(self):
        return list(self.by_move.values())

    def merge(self, state):
        old = self.by_move.get(state.move)
        if old is not None and state.order <= old.order:
            return False
        self.by_move[state.move] = state
        self._app.events.emit('rollout-changed', state)
        return True


class Node:
    """Node of the fleet: an application with the services of the mesh."""

    def __init__(self, fleet, text, timing):
        cfg = config.loads(text)
        self.node_id = cfg.text('node', 'id')
        self.region = cfg.text('node', 'region')
        self.app = application.Application(cfg)
        self.store = fleet.store_of(self.node_id)
        app = self.app
        app.add_service('platform', self.store)
        leases = lease.Leases(
            self.store,
            app.events,
            rng=random.Random(self.node_id),
            ttl_s=lease.LEASE_TTL_S * fleet.lease_factor,
            renew_interval_s=lease.RENEW_INTERVAL_S * fleet.lease_factor,
        )
        app.add_service('leases', leases, after=('platform',))
        app.add_service('rollouts', Rollouts(app))
        configuration.setup(app)
        membership.setup(app, timing)
        server.setup(app)
        tree.setup(app, timing)
        self.refused = []
        app.events.connect(
            'config-refused', lambda *args: self.refused.append(args)
        )

    def __getattr__(self, name):
        return self.app.service(name)

    @property
    def version(self):
        return self.configuration.version()

    @property
    def address(self):
        return f'127.0.0.1:{self.rpc.port}'

    def announce(self, service='ledger', **fields):
        self.membership.apply_announcement(
            mesh_model.Announcement(service, 'v1', '127.0.0.1', 9, **fields)
        )

    def freeze(self):
        """Keep the connections open but send nothing any more."""
        self.tree.serve_child = _hang
        for link in (self.tree.parent, *self.tree.children):
            if link is not None:
                link.send = lambda msg: None
        self._end_tasks()

    async def kill(self):
        """Stop the node without sending any last message."""
        for link in (self.tree.parent, *self.tree.children):
            if link is not None:
                link.send = lambda msg: None
        self._end_tasks()
        await asyncio.gather(*self.tree._tasks, return_exceptions=True)
        await self.rpc.stop()

    def _end_tasks(self):
        # Cancelling the search for a parent closes the stream to the parent;
        # the streams to the children stay open.
        for task in (*self.tree._tasks, self.membership._task):
            task.cancel()
        for held in self.leases._held.values():
            held.task.cancel()
        self.leases._ticker.cancel()


class Fleet:
    """Nodes that share one object store.

    ``calls`` counts the calls to the platform by kind.
    """

    def __init__(self, factor=TIMING_FACTOR, lease_factor=LEASE_FACTOR):
        self.lease_factor = lease_factor
        self.timing = (
            timing_module.Timing()
            .scaled(factor)
            ._replace(batch_s=0.02, connect_timeout_s=2.0)
        )
        self.state = memory.StoreState()
        self.stores = []
        self.nodes = []
        self.killed = []
        self.is_down = False
        self._ids = itertools.count()

    def store_of(self, node_id):
        store = memory.MemoryObjectStore(self.state)
        store.set_down(self.is_down)
        self.stores.append(store)
        return store

    def set_down(self, is_down):
        self.is_down = is_down
        for store in self.stores:
            store.set_down(is_down)

    @property
    def calls(self):
        return sum(
            (store.calls for store in self.stores), collections.Counter()
        )

    async def start(
        self, region, count=1, seeds=None, max_children=8, domains=2
    ):
        """Start nodes of a region; the first running ones are the seeds."""
        started = []
        for number in range(count):
            node_id = f'n{next(self._ids):03}'
            if seeds is None:
                chosen = [node for node in self.nodes][:3]
            else:
                chosen = seeds
            text = SETTINGS.format(
                node_id=node_id,
                region=region,
                domain=number % domains,
                seeds=', '.join(node.address for node in chosen),
                max_children=max_children,
            )
            node = Node(self, text, self.timing)
            await node.app.start()
            self.nodes.append(node)
            started.append(node)
        return started

    async def kill(self, *nodes):
        for node in nodes:
            self.nodes.remove(node)
            self.killed.append(node)
        await asyncio.gather(*(node.kill() for node in nodes))

    def inner_node(self):
        """Return the node with the most children that is not a root."""
        return max(
            (n for n in self.nodes if n.tree.role() == 'member'),
            key=lambda node: len(node.tree.children),
        )

    async def stop(self):
        nodes, self.nodes = self.nodes, []
        await asyncio.gather(*(node.app.stop() for node in nodes))

    def roots(self, role='fleet-root'):
        return [n for n in self.nodes if n.tree.role() == role]

    def region_roots(self):
        return self.roots('region-root') + self.roots('fleet-root')

    def tree_sizes(self):
        """Return the number of nodes of each tree."""
        return [
            node.tree.status().subtree
            for node in self.nodes
            if node.tree.parent is None
        ]

    def is_one_tree(self):
        """Return whether all nodes form one tree with a root per region."""
        regions = {node.region for node in self.nodes}
        return (
            len(self.roots()) == 1
            and len(self.region_roots()) == len(regions)
            and self.roots()[0].tree.status().subtree == len(self.nodes)
            and all(
                node.tree.role() != 'interim-root'
                and len(node.membership.nodes()) == len(self.nodes)
                for node in self.nodes
            )
        )

    async def wait_for_one_tree(self):
        await eventually(self.is_one_tree, 'one tree of all nodes')

    async def wait_applied(self, version):
        await eventually(
            lambda: all(node.version == version for node in self.nodes),
            f'version {version} everywhere',
        )

    async def sign_off(self, bundle):
        """Sign a bundle off and return its version."""
        head = await signoff.sign_off(
            memory.MemoryObjectStore(self.state),
            bundle,
            None,
            'ada',
            None,
            '',
            time.time(),
        )
        return head.version


@pytest.fixture
async def fleet():
    """Yield a fleet, which is stopped after the test."""
    made = Fleet()
    yield made
    await made.stop()
