"""Distribution of configuration and membership to all nodes.

The tests guard against nodes that miss a change or return to an older state.
"""

from __future__ import annotations

import pytest

from damaskpier.fleet import exchange
from damaskpier.fleet import model
from damaskpier.rpc import mesh_pb2

from tests.test_fleet import conftest


async def test_older_configuration_is_not_applied(fleet):
    node = await fleet.add()
    await fleet.wait_converged()
    applied = node.app.service('configuration')
    assert applied.apply(conftest.make_configuration(5))
    assert not applied.apply(conftest.make_configuration(4))
    assert not applied.apply(conftest.make_configuration(5))
    assert applied.version() == 5


async def test_configuration_with_an_unknown_service_is_refused_whole(fleet):
    node = await fleet.add()
    await fleet.wait_converged()
    cfg = conftest.make_configuration(5)
    broken = cfg._replace(
        routes=(*cfg.routes, conftest.make_route('x', 'nowhere'))
    )
    assert not node.app.service('configuration').apply(broken)
    assert node.app.service('configuration').version() == 1


async def test_node_without_the_store_receives_the_configuration(
    fleet, monkeypatch
):
    monkeypatch.setattr(exchange, 'CONFIG_SEND_DELAY_S', 0.0)
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 0.02)
    first = await fleet.add()
    await fleet.add()
    await fleet.wait_converged()
    first.store.is_cut = True
    fleet.store.put(conftest.make_configuration(2))
    await conftest.wait_until(
        lambda: first.app.service('configuration').version() == 2
    )


def _ask_for_configuration(node, version):
    """Return the configuration in a reply to a node that has a version."""
    message = mesh_pb2.Gossip(
        digests=[mesh_pb2.MembershipDigest()], config_version=version
    )
    body = node.app.service('exchange').received(message.SerializeToString())
    return mesh_pb2.Gossip.FromString(body).config


@pytest.mark.parametrize('gap_ratio', [0.3, 0.9, 2.0])
async def test_node_behind_gets_the_configuration_while_others_follow(
    fleet, monkeypatch, gap_ratio
):
    """A node without the store must not wait for the end of a series.

    Where versions followed one another within the time that the store has to
    deliver them, other nodes kept all of them back, and a node that the store
    did not answer was behind by many versions.
    """
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 1000.0)
    node = await fleet.add()
    await fleet.wait_converged()
    service = node.app.service('exchange')
    now = service._clock()
    monkeypatch.setattr(service, '_clock', lambda: now)
    delay_s = exchange.CONFIG_SEND_DELAY_S
    applied_at = {}
    for version in range(2, 12):
        now += gap_ratio * delay_s
        applied_at[version] = now
        node.app.service('configuration').apply(
            conftest.make_configuration(version)
        )
        for known in range(1, version):
            # The store has had its time for the version after this one.
            is_due = now - applied_at[known + 1] >= delay_s
            packed = _ask_for_configuration(node, known)
            assert bool(packed) == is_due, (known, version)


async def _sync_with_node_behind(fleet, monkeypatch, delay_s):
    """Run a round with a node without the store and return its version.

    :param delay_s: time that the store has to deliver version 2
    """
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 1000.0)
    monkeypatch.setattr(exchange, 'CONFIG_SEND_DELAY_S', delay_s)
    first = await fleet.add()
    second = await fleet.add()
    await fleet.wait_converged()
    second.store.is_cut = True
    fleet.store.put(conftest.make_configuration(2))
    await conftest.wait_until(
        lambda: first.app.service('configuration').version() == 2
    )
    service = first.app.service('exchange')
    record = first.app.service('membership').get(second.name)
    assert await service._sync(record)
    await conftest.wait_until(lambda: not service._tasks)
    return second.app.service('configuration').version()


async def test_node_behind_gets_the_configuration_in_rounds_of_others(
    fleet, monkeypatch
):
    """A node without the store must not depend on its own rounds alone.

    It has one in 0.7 s, and those with nodes that are behind as well bring
    nothing.
    """
    assert await _sync_with_node_behind(fleet, monkeypatch, 0.0) == 2


async def test_configuration_is_not_sent_before_the_store_can_deliver_it(
    fleet, monkeypatch
):
    """A node with the store must not get each configuration twice."""
    assert await _sync_with_node_behind(fleet, monkeypatch, 1000.0) == 1


async def test_node_that_starts_without_the_store_joins_later(
    fleet, monkeypatch
):
    monkeypatch.setattr(exchange, 'INITIAL_REGISTER_BACKOFF_S', 0.01)
    first = await fleet.add()
    fleet.store.is_down = True
    second = await fleet.add()
    assert not second.app.service('exchange').is_registered
    fleet.store.is_down = False
    fleet.store.put(conftest.make_configuration(2))
    await fleet.wait_converged()
    await conftest.wait_until(
        lambda: second.app.service('exchange').is_registered
    )
    assert first.name in fleet.store.nodes


async def test_restarted_node_with_an_earlier_clock_is_accepted(fleet):
    """A restarted node must replace its record of a higher incarnation.

    The incarnation is taken from the time of day, which may step back.
    """
    first = await fleet.add()
    await fleet.add()
    await fleet.wait_converged()
    other = first.app.service('membership')
    local = fleet.nodes[1].app.service('membership')
    record = local.local_record()
    other.merge([record._replace(incarnation=record.incarnation + 9, seq=7)])
    await fleet.nodes[1].app.service('exchange')._sync(other.local_record())
    await conftest.wait_until(
        lambda: (
            other.get(record.node_id).order > record.order
            and other.get(record.node_id).order == local.local_record().order
        )
    )


async def test_simultaneous_changes_are_all_sent(fleet, monkeypatch):
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 1000.0)
    nodes = [await fleet.add() for _ in range(4)]
    await fleet.wait_converged()
    sent = []
    monkeypatch.setattr(
        nodes[0].app.service('exchange'), '_broadcast', sent.append
    )
    membership = nodes[0].app.service('membership')
    nodes[0].announce(draining=True)
    membership.mark_gone([nodes[1].name])
    membership.mark_gone([nodes[2].name])
    await conftest.wait_until(lambda: sent)
    records, _ = exchange.wire.delta_from_pb(sent[0].membership)
    names = {record.node_id for record in records}
    assert names == {node.name for node in nodes[:3]}


async def test_node_wrongly_marked_as_gone_comes_back(fleet, monkeypatch):
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 0.02)
    first = await fleet.add()
    second = await fleet.add()
    await fleet.wait_converged()
    membership = first.app.service('membership')
    membership.mark_gone([second.name])
    await conftest.wait_until(lambda: not membership.get(second.name).gone)


async def test_node_without_a_configuration_syncs_with_a_sender(
    fleet, monkeypatch
):
    """A node that restarts without the store has no addresses of others.

    Without a reply to the sender, it would wait for the next anti-entropy
    round of another node.
    """
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 1000.0)
    first = await fleet.add()
    await fleet.wait_converged()
    fleet.store.is_down = True
    second = await fleet.add()
    local = second.app.service('membership').local_record()
    earlier = local._replace(incarnation=local.incarnation - 1)
    membership = first.app.service('membership')
    membership.merge([earlier])
    membership.mark_gone([second.name])
    await conftest.wait_until(
        lambda: second.app.service('configuration').version() == 1
    )
    assert not membership.get(second.name).gone


async def test_stopped_node_begins_no_message(fleet):
    """A message that starts after the end of its service is never sent."""
    node = await fleet.add()
    await fleet.wait_converged()
    service = node.app.service('exchange')
    node.announce(draining=True)
    assert service._batch_timer is not None
    await service.stop()
    assert service._batch_timer is None
    node.app.service('worker').left('i-0')
    node.app.service('worker').drain_node()
    node.app.service('membership').republish_local()
    assert service._batch_timer is None


async def test_starting_node_gets_the_configuration_from_few_nodes(
    fleet, monkeypatch
):
    """A start must not fill the link of a node with whole configurations.

    A starting node contacts all others at once, and none of them knows that
    the others send the configuration too. The store delivers nothing.
    """
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 1000.0)
    for _ in range(8):
        await fleet.add()
    await fleet.wait_converged()
    sent = []
    encode = exchange.Exchange._encode_config

    def count(service):
        sent.append(service)
        return encode(service)

    monkeypatch.setattr(exchange.Exchange, '_encode_config', count)
    fleet.store.configuration = None
    node = await fleet.add(announces=False)
    await conftest.wait_until(
        lambda: node.app.service('exchange').is_registered
    )
    assert node.app.service('configuration').current() is not None
    assert 1 <= len(sent) <= exchange.CONFIG_SOURCE_COUNT


async def test_lost_node_is_contacted_again(fleet, monkeypatch):
    """A node that restarts without the store has no addresses of others.

    The lost node does not run, because a running one would refute its
    tombstone before it is contacted.
    """
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 1000.0)
    monkeypatch.setattr(exchange, 'RECOVERY_CHECK_INTERVAL_S', 0.02)
    first = await fleet.add()
    await fleet.wait_converged()
    contacted = []
    monkeypatch.setattr(
        first.app.service('exchange'), 'start_sync', contacted.append
    )
    membership = first.app.service('membership')
    lost = membership.local_record()._replace(node_id='lost-node')
    membership.merge([lost])
    membership.mark_gone([lost.node_id])
    await conftest.wait_until(lambda: contacted)
    assert contacted[0].node_id == lost.node_id


async def test_lost_nodes_are_contacted_by_their_ring_predecessor(
    fleet, monkeypatch
):
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 1000.0)
    nodes = [await fleet.add() for _ in range(4)]
    await fleet.wait_converged()
    for node in nodes[:2]:
        membership = node.app.service('membership')
        membership.mark_gone([nodes[2].name, nodes[3].name])
        # The nodes are running and must not be found during the test.
        node.app.service('exchange')._recovery_task.cancel()
    watched = [
        [
            record.node_id
            for record in node.app.service('exchange')._lost_successors()
        ]
        for node in nodes[:2]
    ]
    assert watched == [[], [nodes[2].name, nodes[3].name]]
    monkeypatch.setattr(exchange, 'RECOVERY_CHECK_DURATION_S', -1.0)
    assert not nodes[1].app.service('exchange')._lost_successors()


def test_configuration_survives_its_encoding():
    cfg = conftest.make_configuration()
    text = exchange._CONFIG_ENCODER.encode(cfg)
    assert exchange._CONFIG_DECODER.decode(text) == cfg
    assert isinstance(cfg.routes[0].kind, model.RouteKind)
