"""Tests of the distribution tree over real streams."""

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
    await fleet.whole()
    version = await fleet.sign_off(conftest.make_bundle(3))
    await fleet.in_force(version)
    root = fleet.roots()[0]
    await conftest.eventually(
        lambda: root.tree.status().lowest_version == version
    )
    for node in fleet.nodes:
        local = [c for c in node.tree.children if c.peer.region == node.region]
        assert len(local) <= (3 if node.region == 'souss' else 8)


async def test_children_of_a_killed_parent_attach_elsewhere(fleet):
    """Guards against a subtree that is lost with its parent."""
    # Only the parent of a killed node can mark it as gone.
    fleet.timing = fleet.timing._replace(orphan_s=3600.0)
    await fleet.start('souss', 12, max_children=2)
    await fleet.whole()
    await fleet.kill(fleet.inner())
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.in_force(version)
    await fleet.whole()


async def test_parent_and_child_lost_together_leave_every_view(fleet):
    """Guards against nodes that nobody above them can declare gone."""
    await fleet.start('souss', 10, max_children=2)
    await fleet.whole()
    parent = fleet.inner()
    ids = parent.tree.status().children
    children = [node for node in fleet.nodes if node.node_id in ids]
    await fleet.kill(parent, *children)
    await fleet.whole()


async def test_silent_parent_is_left_for_another_one(fleet):
    """Guards against open connections that never answer again."""
    await fleet.start('souss', 10, max_children=2)
    await fleet.whole()
    frozen = fleet.inner()
    frozen.freeze()
    fleet.nodes.remove(frozen)
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.in_force(version)
    await fleet.whole()
    await frozen.kill()


async def test_killed_region_root_costs_the_platform_few_calls(fleet):
    """Guards against a storm of reads by all children of a lost root."""
    await fleet.start('souss', 3)
    await fleet.start('rif', 20)
    await fleet.whole()
    lost = [n for n in fleet.region_roots() if n.region == 'rif'][0]
    before = {node.node_id: node.store.calls.copy() for node in fleet.nodes}
    await fleet.kill(lost)
    await fleet.whole()
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
    """Guards against regions that stay apart without a fleet root."""
    for region in ('souss', 'rif', 'atlas'):
        await fleet.start(region, 5)
    await fleet.whole()
    await fleet.kill(fleet.roots()[0])
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.in_force(version)
    await fleet.whole()


async def test_half_of_the_fleet_dies_and_returns(fleet):
    """Guards against reconnect storms on peers and on the platform."""
    for region in ('souss', 'rif'):
        await fleet.start(region, 24, max_children=4)
    await fleet.whole()
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.in_force(version)
    half = fleet.nodes[::2]  # with both roots
    kept = fleet.nodes[1::2]
    before = fleet.calls
    attempts = sum(node.tree.joiner.attempts for node in kept)
    await fleet.kill(*half)
    returned = await asyncio.gather(
        *(
            fleet.start(node.region, 1, seeds=kept[:4], max_children=4)
            for node in half
        )
    )
    await fleet.whole()
    await fleet.in_force(version)
    calls = fleet.calls - before
    attempts = sum(n.tree.joiner.attempts for n in kept) - attempts
    assert calls['get'] <= len(fleet.nodes)
    assert attempts <= 15 * len(kept)
    joined = sum(nodes[0].tree.joiner.attempts for nodes in returned)
    assert joined <= 10 * len(returned)


async def test_node_refuses_a_parent_below_itself(fleet):
    """Guards against loops in the tree."""
    await fleet.start('souss', 7, max_children=2)
    await fleet.whole()
    root = fleet.roots()[0]
    leaf = [n for n in fleet.nodes if len(n.tree.path()) == 2][0]
    attempt = parent_module.Parent(
        root.app, root.tree, leaf.membership.local_record(), True
    )
    await attempt.run()
    answer = attempt.answer.result()
    assert not answer.attached
    assert 'path' in answer.reason


async def test_configuration_arrives_through_seeds_in_an_outage(fleet):
    """Guards against nodes that can not start while the platform is down."""
    await fleet.start('souss', 3)
    await fleet.whole()
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.in_force(version)
    fleet.set_down(True)
    await fleet.start('souss', 2)
    await fleet.start('rif', 2)
    await fleet.in_force(version)


async def test_region_works_without_platform_and_root(fleet):
    """Guards against a tree that needs the platform to mend itself."""
    await fleet.start('souss', 4)
    await fleet.start('rif', 9, seeds=[], max_children=3)
    await fleet.whole()
    fleet.set_down(True)
    lost = [n for n in fleet.region_roots() if n.region == 'rif'][0]
    await fleet.kill(lost)
    await conftest.eventually(lambda: fleet.tops() == [len(fleet.nodes)])
    root = [node for node in fleet.nodes if node.tree.parent is None][0]
    state = rollout_model.MoveState(
        'm1', 1, 1, rollout_model.Phase.RUNNING, {'s0.get': 0.01}
    )
    root.rollouts.merge(state)
    await conftest.eventually(
        lambda: all(n.rollouts.states() == [state] for n in fleet.nodes)
    )
    away = [node for node in fleet.nodes if node.region == 'rif']
    assert sum(node.tree.is_head() for node in away) == 1
    fleet.set_down(False)
    await fleet.whole()


async def test_planned_stop_of_a_root_hands_over(fleet):
    """Guards against waiting for a lease that its holder could release."""
    fleet.lease_factor = 200.0  # nobody sees a lease lapse within the test
    await fleet.start('souss', 6)
    await fleet.start('rif', 6)
    await fleet.whole()
    for _ in range(2):
        root = fleet.roots()[0]
        fleet.nodes.remove(root)
        await root.app.stop()
        await fleet.whole()
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.in_force(version)


async def test_region_that_was_cut_off_catches_up_by_delta(fleet, monkeypatch):
    """Guards against the whole bundle crossing regions after a partition."""
    await fleet.start('souss', 3)
    away = await fleet.start('rif', 4)
    await fleet.whole()
    version = await fleet.sign_off(conftest.make_bundle(200))
    await fleet.in_force(version)
    ids = {node.node_id for node in away}
    ports = {node.rpc.port for node in away}
    run = parent_module.Parent.run

    async def run_within_region(self):
        inside = self._tree.local.node_id in ids
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
    # The platform stays out of the region's reach, so the tree brings it.
    await fleet.in_force(version)
    whole = near[0].configuration.update_since(0).ByteSize()
    for node, size in zip(away, before, strict=True):
        assert config_bytes(node) - size < whole / 3
    for node in away:
        node.store.set_down(False)
    await fleet.whole()


def config_bytes(node):
    """Return the bytes of configuration that a node has received."""
    return node.tree.counters.received['config'].size


async def test_frozen_fleet_root_is_replaced(fleet):
    """Guards against a paused root whose connections stay open."""
    await fleet.start('souss', 5)
    await fleet.start('rif', 5)
    await fleet.whole()
    frozen = fleet.roots()[0]
    frozen.freeze()
    fleet.nodes.remove(frozen)
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.in_force(version)
    await fleet.whole()
    await frozen.kill()


async def test_root_whose_lease_was_taken_steps_down(fleet):
    """Guards against a root that goes on after another has its lease."""
    await fleet.start('souss', 5)
    await fleet.start('rif', 3)
    await fleet.whole()
    root = fleet.roots()[0]
    key = object_keys.lease_key('region-souss')
    stored = fleet.state.get(key)
    value = object_values.decode(stored.value)
    value |= {'epoch': 7, 'session': 'other', 'write_id': 'w'}
    fleet.state.put(key, object_values.encode(value), stored.version)
    await conftest.eventually(lambda: root.tree.role() != 'fleet-root')
    await fleet.whole()
    holder = [n for n in fleet.region_roots() if n.region == 'souss'][0]
    assert holder.leases.epoch('region-souss') == 8


async def test_planned_stop_of_a_parent_moves_its_children(fleet):
    """Guards against children that wait for missing heartbeats."""
    fleet.timing = fleet.timing._replace(
        silence_s=3600.0, orphan_s=3600.0, region_gone_s=3600.0
    )
    await fleet.start('souss', 9, max_children=2)
    await fleet.whole()
    leaving = fleet.inner()
    fleet.nodes.remove(leaving)
    await leaving.app.stop()
    await fleet.whole()


async def test_view_that_lost_a_record_is_repaired(fleet):
    """Guards against views that differ until the next reattachment."""
    await fleet.start('souss', 9, max_children=2)
    await fleet.whole()
    node = fleet.inner()
    lost = [n for n in fleet.nodes if n not in (node, fleet.nodes[0])][-1]
    node.membership._drop(lost.membership.local_record())
    assert not fleet.is_whole()
    await fleet.whole()


async def test_newer_configuration_of_a_child_goes_up(fleet):
    """Guards against a version that is lost with the root that read it."""
    await fleet.start('souss', 6, max_children=2)
    await fleet.whole()
    fleet.set_down(True)
    leaf = [n for n in fleet.nodes if not len(n.tree.children)][0]
    assert leaf.configuration.apply(conftest.make_snapshot(5)) is True
    await fleet.in_force(5)


async def test_loop_that_dissolves_leaves_the_child_counted(fleet):
    """Guards against a live child that its root marks as gone for ever."""
    await fleet.start('souss', 3)
    await fleet.whole()
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
    assert timing.scaled(0.5).silence_s == timing.silence_s / 2
