"""Tests of the distribution tree over gRPC streams on loopback."""

from __future__ import annotations

import asyncio

from damaskpier.mesh import parent as parent_module
from damaskpier.mesh import timing as timing_module
from damaskpier.rollout import model as rollout_model
from damaskpier.rpc import mesh_pb2
from damaskpier.store import object_keys
from damaskpier.store import object_values
from tests.test_mesh import conftest


async def test_regions_form_one_tree_and_receive_the_configuration(fleet):
    await fleet.start('souss', 12, max_children=3)
    await fleet.start('rif', 4)
    await fleet.wait_for_one_tree()
    version = await fleet.sign_off(conftest.make_bundle(3))
    await fleet.wait_applied(version)
    root = fleet.roots()[0]
    await conftest.eventually(
        lambda: root.tree.status().lowest_version == version
    )
    for node in fleet.nodes:
        local = [c for c in node.tree.children if c.peer.region == node.region]
        assert len(local) <= (3 if node.region == 'souss' else 8)


async def test_children_of_a_killed_parent_attach_elsewhere(fleet):
    """The subtree of a killed node attaches to other nodes.

    The killed node itself is marked as gone by its parent.
    """
    # Disables the detection of orphans, so that only the parent of a killed
    # node can mark it as gone.
    fleet.timing = fleet.timing._replace(orphan_timeout_s=3600.0)
    await fleet.start('souss', 12, max_children=2)
    await fleet.wait_for_one_tree()
    await fleet.kill(fleet.inner_node())
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.wait_applied(version)
    await fleet.wait_for_one_tree()


async def test_parent_and_child_lost_together_are_marked_as_gone(fleet):
    """Nodes that are lost together with their parent are marked as gone.

    Their parent can not detect it, so that their records would stay for
    ever.
    """
    await fleet.start('souss', 10, max_children=2)
    await fleet.wait_for_one_tree()
    parent = fleet.inner_node()
    ids = parent.tree.status().children
    children = [node for node in fleet.nodes if node.node_id in ids]
    await fleet.kill(parent, *children)
    await fleet.wait_for_one_tree()


async def test_children_of_a_frozen_parent_attach_elsewhere(fleet):
    """Children of a frozen parent attach to other nodes.

    Its connections stay open, so that only missing heartbeats show the
    failure.
    """
    await fleet.start('souss', 10, max_children=2)
    await fleet.wait_for_one_tree()
    frozen = fleet.inner_node()
    frozen.freeze()
    fleet.nodes.remove(frozen)
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.wait_applied(version)
    await fleet.wait_for_one_tree()
    await frozen.kill()


async def test_killed_region_root_costs_the_platform_few_calls(fleet):
    """After the loss of a region root few nodes call the platform.

    Otherwise all children of the root read the lease and compete for it at
    the same time.
    """
    await fleet.start('souss', 3)
    await fleet.start('rif', 20)
    await fleet.wait_for_one_tree()
    lost = [n for n in fleet.region_roots() if n.region == 'rif'][0]
    before = {node.node_id: node.store.calls.copy() for node in fleet.nodes}
    await fleet.kill(lost)
    await fleet.wait_for_one_tree()
    successor = [n for n in fleet.region_roots() if n.region == 'rif'][0]
    gets = puts = 0
    for node in fleet.nodes:
        calls = node.store.calls - before[node.node_id]
        gets += calls['get']
        if node.region == 'rif' and node is not successor:
            puts += calls['put']
    assert gets <= 10
    assert puts <= 2
    assert successor.leases.epoch('region-rif') == 2


async def test_killed_fleet_root_is_replaced(fleet):
    """After the loss of the fleet root the regions form one tree again.

    Otherwise new configuration does not reach the other regions.
    """
    for region in ('souss', 'rif', 'atlas'):
        await fleet.start(region, 5)
    await fleet.wait_for_one_tree()
    await fleet.kill(fleet.roots()[0])
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.wait_applied(version)
    await fleet.wait_for_one_tree()


async def test_restart_of_half_of_the_fleet_limits_calls(fleet):
    """The restart of half of the nodes causes a limited number of calls.

    Both roots are among them. Nodes that all reconnect at once could overload
    the remaining nodes and the platform.
    """
    for region in ('souss', 'rif'):
        await fleet.start(region, 24, max_children=4)
    await fleet.wait_for_one_tree()
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.wait_applied(version)
    half = fleet.nodes[::2]  # with both roots
    kept = fleet.nodes[1::2]
    before = fleet.calls
    attempts = sum(node.tree.parent_search.attempts for node in kept)
    await fleet.kill(*half)
    returned = await asyncio.gather(
        *(
            fleet.start(node.region, 1, seeds=kept[:4], max_children=4)
            for node in half
        )
    )
    await fleet.wait_for_one_tree()
    await fleet.wait_applied(version)
    calls = fleet.calls - before
    attempts = sum(n.tree.parent_search.attempts for n in kept) - attempts
    assert calls['get'] <= len(fleet.nodes)
    assert attempts <= 15 * len(kept)
    joined = sum(nodes[0].tree.parent_search.attempts for nodes in returned)
    assert joined <= 10 * len(returned)


async def test_node_refuses_a_parent_below_itself(fleet):
    """A node can not attach to its own descendant.

    That would form a loop without a root.
    """
    await fleet.start('souss', 7, max_children=2)
    await fleet.wait_for_one_tree()
    root = fleet.roots()[0]
    leaf = [n for n in fleet.nodes if len(n.tree.path()) == 2][0]
    attempt = parent_module.Parent(
        root.app, root.tree, leaf.membership.local_record(), True
    )
    await attempt.run()
    answer = attempt.attach_result.result()
    assert not answer.attached
    assert 'path' in answer.reason


async def test_configuration_arrives_through_seeds_in_an_outage(fleet):
    """Nodes that start while the platform is down get the configuration.

    They receive it from the seeds instead of the platform.
    """
    await fleet.start('souss', 3)
    await fleet.wait_for_one_tree()
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.wait_applied(version)
    fleet.set_down(True)
    await fleet.start('souss', 2)
    await fleet.start('rif', 2)
    await fleet.wait_applied(version)


async def test_region_reattaches_without_platform_and_root(fleet):
    """The tree is repaired while the platform is down.

    A killed region root can not be replaced by a lease then, but its region
    still attaches to the fleet root and receives move states.
    """
    await fleet.start('souss', 4)
    await fleet.start('rif', 9, seeds=[], max_children=3)
    await fleet.wait_for_one_tree()
    fleet.set_down(True)
    lost = [n for n in fleet.region_roots() if n.region == 'rif'][0]
    await fleet.kill(lost)
    await conftest.eventually(lambda: fleet.tree_sizes() == [len(fleet.nodes)])
    root = [node for node in fleet.nodes if node.tree.parent is None][0]
    state = rollout_model.MoveState(
        'm1', 1, 1, rollout_model.Phase.RUNNING, {'s0.get': 0.01}
    )
    root.rollouts.merge(state)
    await conftest.eventually(
        lambda: all(n.rollouts.states() == [state] for n in fleet.nodes)
    )
    away = [node for node in fleet.nodes if node.region == 'rif']
    assert sum(node.tree.is_region_head() for node in away) == 1
    fleet.set_down(False)
    await fleet.wait_for_one_tree()


async def test_planned_stop_of_a_root_releases_its_leases(fleet):
    """A root that stops releases its leases, so that another takes over.

    Otherwise its successor waits until the leases expire.
    """
    fleet.lease_factor = 200.0  # no lease expires within the test
    await fleet.start('souss', 6)
    await fleet.start('rif', 6)
    await fleet.wait_for_one_tree()
    for _ in range(2):
        root = fleet.roots()[0]
        fleet.nodes.remove(root)
        await root.app.stop()
        await fleet.wait_for_one_tree()
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.wait_applied(version)


async def test_partitioned_region_catches_up_by_delta(fleet, monkeypatch):
    """After a partition a region receives the missed versions as a delta.

    Otherwise each of its nodes is sent the whole bundle.
    """
    await fleet.start('souss', 3)
    away = await fleet.start('rif', 4)
    await fleet.wait_for_one_tree()
    version = await fleet.sign_off(conftest.make_bundle(200))
    await fleet.wait_applied(version)
    ids = {node.node_id for node in away}
    ports = {node.rpc.port for node in away}
    run = parent_module.Parent.run

    async def run_within_region(self):
        inside = self._tree.local_record.node_id in ids
        if inside != (self.peer.rpc_port in ports):
            self.peer = self.peer._replace(rpc_port=1)
        await run(self)

    for node in fleet.nodes:
        for child in node.tree.children:
            if (child.peer.node_id in ids) != (node in away):
                child.close('cut')
    for node in away:
        node.store.set_down(True)
    with monkeypatch.context() as patch:
        patch.setattr(parent_module.Parent, 'run', run_within_region)
        await conftest.eventually(
            lambda: all('n000' not in node.tree.path() for node in away)
        )
        changed = conftest.make_bundle(200)
        changed.services['s7'] = changed.services['s7']._replace(slots=9)
        version = await fleet.sign_off(changed)
        near = [node for node in fleet.nodes if node not in away]
        await conftest.eventually(
            lambda: all(node.version == version for node in near)
        )
        assert all(node.version < version for node in away)
        before = [config_bytes(node) for node in away]
    # The platform stays unreachable from the region, so that the version
    # arrives by the tree.
    await fleet.wait_applied(version)
    whole = near[0].configuration.update_since(0).ByteSize()
    for node, size in zip(away, before, strict=True):
        assert config_bytes(node) - size < whole / 3
    for node in away:
        node.store.set_down(False)
    await fleet.wait_for_one_tree()


def config_bytes(node):
    """Return the number of bytes of configuration that a node received."""
    return node.tree.counters.received['config'].size


async def test_frozen_fleet_root_is_replaced(fleet):
    """A frozen fleet root is replaced although its connections stay open."""
    await fleet.start('souss', 5)
    await fleet.start('rif', 5)
    await fleet.wait_for_one_tree()
    frozen = fleet.roots()[0]
    frozen.freeze()
    fleet.nodes.remove(frozen)
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.wait_applied(version)
    await fleet.wait_for_one_tree()
    await frozen.kill()


async def test_root_whose_lease_was_taken_steps_down(fleet):
    """A root steps down after another process acquired its lease.

    Otherwise two fleet roots act at the same time.
    """
    await fleet.start('souss', 5)
    await fleet.start('rif', 3)
    await fleet.wait_for_one_tree()
    root = fleet.roots()[0]
    key = object_keys.lease_key('region-souss')
    stored = fleet.state.get(key)
    value = object_values.decode(stored.value)
    value |= {'epoch': 7, 'session': 'other', 'write_id': 'w'}
    fleet.state.put(key, object_values.encode(value), stored.version)
    await conftest.eventually(lambda: root.tree.role() != 'fleet-root')
    await fleet.wait_for_one_tree()
    holder = [n for n in fleet.region_roots() if n.region == 'souss'][0]
    assert holder.leases.epoch('region-souss') == 8


async def test_child_that_becomes_the_fleet_root_is_not_lost(
    fleet, monkeypatch
):
    """A parent does not mark a child as gone that became the fleet root.

    Such a child closes its stream and attaches to no other node. Marked as
    gone, its worker gets no requests until the node refutes this.
    """
    fleet.lease_factor = 200.0  # no lease expires within the test
    fleet.timing = fleet.timing._replace(silence_timeout_s=3600.0)
    (stopping,) = await fleet.start('moyen-atlas')
    await fleet.wait_for_one_tree()
    (former_parent,) = await fleet.start('rif')
    await fleet.wait_for_one_tree()
    (child,) = await fleet.start('souss')
    await fleet.wait_for_one_tree()
    await conftest.eventually(lambda: len(stopping.tree.children) == 2)

    def is_child_attached():
        parent = child.tree.parent
        return parent and parent.peer.node_id == former_parent.node_id

    def is_child_the_root():
        return (
            child.tree.role() == 'fleet-root'
            and child.node_id not in former_parent.tree.children
        )

    # The child requests the lease, attaches and then gets the lease.
    delay_calls(monkeypatch, child.leases, 'acquire', is_child_attached)
    for owner, name in (
        (former_parent.leases, 'acquire'),
        (former_parent.tree.parent_search, '_try_attach'),
    ):
        delay_calls(monkeypatch, owner, name, is_child_the_root)
    fleet.nodes.remove(stopping)
    await stopping.app.stop()
    await fleet.wait_for_one_tree()
    membership = former_parent.membership
    await conftest.eventually(
        lambda: (
            membership.get(child.node_id) == child.membership.local_record()
        )
    )
    children = former_parent.tree.children
    assert child.node_id in children._loss_deadlines
    clock = former_parent.tree.clock
    with monkeypatch.context() as patch:
        patch.setattr(former_parent.tree, 'clock', lambda: clock() + 3600)
        children.check_timeouts()
    assert not membership.get(child.node_id).gone


def delay_calls(monkeypatch, owner, name, condition):
    """Let the calls of a coroutine function wait until a condition holds."""
    function = getattr(owner, name)

    async def call_later(*args):
        await conftest.eventually(condition, f'condition of {name}')
        return await function(*args)

    monkeypatch.setattr(owner, name, call_later)


async def test_planned_stop_of_a_parent_moves_its_children(fleet):
    """Children of a node that stops are redirected at once.

    All timeouts are an hour in this test, so that children that had to
    detect the stop by missing heartbeats would not attach in time.
    """
    fleet.timing = fleet.timing._replace(
        silence_timeout_s=3600.0,
        orphan_timeout_s=3600.0,
        other_region_timeout_s=3600.0,
    )
    await fleet.start('souss', 9, max_children=2)
    await fleet.wait_for_one_tree()
    leaving = fleet.inner_node()
    fleet.nodes.remove(leaving)
    await leaving.app.stop()
    await fleet.wait_for_one_tree()


async def test_lost_record_is_restored(fleet):
    """A record that a node has lost is restored by comparing digests.

    Otherwise it is missing until the node attaches again.
    """
    await fleet.start('souss', 9, max_children=2)
    await fleet.wait_for_one_tree()
    node = fleet.inner_node()
    lost = [n for n in fleet.nodes if n not in (node, fleet.nodes[0])][-1]
    node.membership._remove_record(lost.membership.local_record())
    assert not fleet.is_one_tree()
    await fleet.wait_for_one_tree()


async def test_newer_configuration_of_a_child_is_sent_up(fleet):
    """A newer configuration of a leaf is sent up the tree.

    Otherwise a version is lost if the root that read it fails and the
    platform is down.
    """
    await fleet.start('souss', 6, max_children=2)
    await fleet.wait_for_one_tree()
    fleet.set_down(True)
    leaf = [n for n in fleet.nodes if not len(n.tree.children)][0]
    assert leaf.configuration.apply(conftest.make_snapshot(5)) is True
    await fleet.wait_applied(5)


async def test_child_of_a_broken_loop_stays_in_the_subtree(fleet):
    """A child that reports itself as removed stays in its own subtree.

    This happens when a loop is broken up. Without the child in the subtree
    the root keeps marking the live child as gone.
    """
    await fleet.start('souss', 3)
    await fleet.wait_for_one_tree()
    root = fleet.roots()[0]
    child = [node for node in fleet.nodes if node is not root][0]
    link = root.tree.children.get(child.node_id)
    change = mesh_pb2.Descendants(removed=[child.node_id])
    child.tree.parent.send(mesh_pb2.Up(descendants=change))
    received = link.received_at
    await conftest.eventually(lambda: link.received_at > received)
    assert root.tree.status().subtree == 3


def test_scaled_timing_keeps_all_fields():
    timing = timing_module.Timing()
    assert timing.scaled(0.5).silence_timeout_s == timing.silence_timeout_s / 2
