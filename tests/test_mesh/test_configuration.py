"""Tests of the applied configuration and of updates."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from damaskpier import application
from damaskpier.bundle import codec
from damaskpier.bundle import model
from damaskpier import config
from damaskpier import errors
from damaskpier.mesh import configuration
from damaskpier.rpc import mesh_pb2
from tests.test_mesh import conftest

VERSIONS = 45


def make_configuration(node_id='n1'):
    text = conftest.SETTINGS.format(
        node_id=node_id, region='r', domain=1, seeds='', max_children=8
    )
    app = application.Application(config.loads(text))
    configuration.setup(app)
    return app.service('configuration')


def make_history():
    """Return versions in which resources are changed, removed and added."""
    history = []
    for version in range(1, VERSIONS + 1):
        bundle = conftest.make_bundle(5)
        bundle.services['s0'] = bundle.services['s0']._replace(slots=version)
        if version % 3 == 0:
            del bundle.services['s4'], bundle.routes['s4.get']
        history.append(conftest.make_snapshot(version, bundle))
    return history


HISTORY = make_history()


def with_missing_service(snapshot):
    """Return an invalid configuration: a route to a missing service."""
    bundle = model.Bundle(
        snapshot.bundle.services,
        {'bad': model.RouteSpec('bad', 'missing', 'GET', '/bad')},
    )
    digest = codec.bundle_digest(bundle)
    return model.Snapshot(snapshot.head._replace(digest=digest), bundle)


class Delivery(stateful.RuleBasedStateMachine):
    """Updates from several parents reach a node in any order, or never."""

    def __init__(self):
        super().__init__()
        self.node = make_configuration()
        self.parents = [make_configuration(f'p{i}') for i in range(3)]
        self.updates = []
        self.highest = 0

    @stateful.rule(
        parent=strategies.integers(0, 2),
        version=strategies.integers(1, VERSIONS),
    )
    def parent_applies(self, parent, version):
        self.parents[parent].apply(HISTORY[version - 1])

    @stateful.rule(
        parent=strategies.integers(0, 2),
        base=strategies.integers(0, VERSIONS),
    )
    def parent_sends(self, parent, base):
        update = self.parents[parent].update_since(base)
        if update is not None:
            self.updates.append(update)

    @stateful.rule(parent=strategies.integers(0, 2))
    def parent_sends_matching_update(self, parent):
        update = self.parents[parent].update_since(self.node.version())
        if update is not None:
            self.updates.append(update)

    @stateful.precondition(lambda self: self.updates)
    @stateful.rule(data=strategies.data(), keep=strategies.booleans())
    def update_arrives(self, data, keep):
        index = data.draw(strategies.integers(0, len(self.updates) - 1))
        update = self.updates[index]
        if not keep:
            del self.updates[index]
        self.node.apply_update(update)

    @stateful.precondition(lambda self: self.updates)
    @stateful.rule(data=strategies.data(), cut=strategies.integers(1, 40))
    def truncated_update_arrives(self, data, cut):
        update = mesh_pb2.ConfigUpdate()
        update.CopyFrom(data.draw(strategies.sampled_from(self.updates)))
        update.resources = update.resources[:-cut]
        before = self.node.current()
        outcome = self.node.apply_update(update)
        assert isinstance(outcome, errors.Refusal)
        assert self.node.current() is before

    @stateful.rule(version=strategies.integers(1, VERSIONS))
    def snapshot_is_read_from_platform(self, version):
        self.node.apply(HISTORY[version - 1])

    @stateful.rule(version=strategies.integers(1, VERSIONS))
    def invalid_configuration_arrives(self, version):
        before = self.node.current()
        outcome = self.node.apply(with_missing_service(HISTORY[version - 1]))
        assert isinstance(outcome, errors.Refusal)
        assert self.node.current() is before

    @stateful.invariant()
    def version_never_decreases_and_is_complete(self):
        current = self.node.current()
        assert self.node.version() >= self.highest
        self.highest = self.node.version()
        if current is not None:
            assert current == HISTORY[current.version - 1]


Delivery.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
)
test_deliveries_in_any_order = Delivery.TestCase


def test_updates_are_deltas_for_the_last_versions():
    parent = make_configuration()
    for snapshot in HISTORY:
        assert parent.apply(snapshot) is True
    assert parent.update_since(VERSIONS) is None
    assert parent.update_since(
        VERSIONS - configuration.MAX_DELTA_VERSIONS
    ).base
    assert (
        parent.update_since(
            VERSIONS - configuration.MAX_DELTA_VERSIONS - 1
        ).base
        == 0
    )
    update = parent.update_since(VERSIONS - 1)
    assert len(update.resources) < len(parent.update_since(0).resources)


def test_delta_to_another_base_requires_the_whole_bundle():
    """A delta to another base is refused with ``CONFIG_DIGEST``.

    Applied to a wrong base it would result in a mixture of versions.
    """
    parent, node = make_configuration('p'), make_configuration()
    for snapshot in HISTORY[:4]:
        parent.apply(snapshot)
    node.apply(HISTORY[0])
    outcome = node.apply_update(parent.update_since(2))
    assert outcome.code is errors.CONFIG_DIGEST
    assert node.apply_update(parent.update_since(0)) is True


async def test_invalid_configuration_is_refused_and_reported(fleet):
    """Nodes refuse an invalid version as a whole and report it to the root.

    Otherwise a node applies a part of it, or the operator does not see the
    refusal. A later valid version is applied and clears the report.
    """
    await fleet.start('souss', 6, max_children=2)
    await fleet.wait_for_one_tree()
    version = await fleet.sign_off(conftest.make_bundle())
    await fleet.wait_applied(version)
    bad = with_missing_service(conftest.make_snapshot(version + 1))
    parent = fleet.inner_node()
    update = parent.configuration.update_since(0)
    update.version = version + 1
    update.head = codec.encode_head(bad.head)
    for child in parent.tree.children:
        child.send(mesh_pb2.Down(config=update))
    root = fleet.roots()[0]
    ids = {child.peer.node_id for child in parent.tree.children}
    await conftest.eventually(lambda: set(root.tree.status().refusals) == ids)
    assert all(node.version == version for node in fleet.nodes)
    following = await fleet.sign_off(conftest.make_bundle(slots=7))
    await fleet.wait_applied(following)
    following = await fleet.sign_off(conftest.make_bundle(slots=8))
    await fleet.wait_applied(following)
    await conftest.eventually(lambda: not root.tree.status().refusals)
