"""Keys at a node without contact with the store.

The tests guard against a removed key that a cut-off node goes on accepting
where strict_revoke is set, and against lost service where it is not.
"""

from __future__ import annotations

import logging

import pytest

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.platform import headers
from damaskpier.teams import keys

from tests.test_fleet import conftest

KEY_FIELD = ((headers.API_KEY, 'key-1'),)
UNKNOWN_FIELD = ((headers.API_KEY, 'key-2'),)
STRICT = 'strict_revoke = true\nrevoke = 5\n'


def _configuration(version: int = 2) -> model.Configuration:
    return conftest.make_configuration(
        version,
        (
            conftest.make_route(),
            conftest.make_route('open', is_public=True),
        ),
        (model.Team('bozi', (keys.digest_of_key(b'key-1'),)),),
    )


class Clock:
    """Clock that tests set."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


@pytest.fixture
def clock(fleet) -> Clock:
    """Return the clock of all nodes."""
    fleet.clock = Clock()
    return fleet.clock


@pytest.fixture
async def node(fleet, clock):
    """Return a node with strict_revoke that the store answered just now."""
    fleet.settings = STRICT
    fleet.store.put(_configuration())
    node = await fleet.add('reads')
    await fleet.wait_converged()
    node.app.events.emit('store-answered', clock.now)
    return node


async def test_keys_are_refused_after_the_limit_and_accepted_again(
    node, clock, caplog
):
    """Guards against 401 as well, upon which callers give up for good."""
    assert (await node.request(fields=KEY_FIELD)).status == 200
    clock.now += 5.0
    with caplog.at_level(logging.INFO):
        for fields in (KEY_FIELD, UNKNOWN_FIELD):
            response = await node.request(fields=fields)
            assert response.status == 503
            # As after a restart: 3 s is the part of the caller's time that
            # bounds the half of a heartbeat of 60 s.
            assert float(response.header('retry-after')) > 0.9
            code = str(errors.CALL_KEYS_UNCONFIRMED).encode()
            assert response.body.startswith(code)
        node.app.events.emit('store-answered', clock.now)
        assert (await node.request(fields=KEY_FIELD)).status == 200
    assert caplog.text.count('no contact with the store for 5.0 s') == 1
    assert caplog.text.count('contact with the store again') == 1
    assert len(node.upstream.ran) == 2


async def test_requests_that_need_no_knowledge_are_served_as_before(
    node, clock
):
    """Guards against lost requests of public routes."""
    clock.now += 50.0
    assert (await node.request('/open/1')).status == 200
    assert (await node.request()).status == 401
    assert (await node.request(fields=KEY_FIELD * 2)).status == 401


async def test_cut_off_node_accepts_keys_without_strict_revoke(fleet, clock):
    """Guards against lost service in a deployment without strict_revoke."""
    fleet.store.put(_configuration())
    node = await fleet.add('reads')
    await fleet.wait_converged()
    clock.now += 500.0
    assert (await node.request(fields=KEY_FIELD)).status == 200
    assert (await node.request(fields=UNKNOWN_FIELD)).status == 401


async def test_contact_through_another_node_counts(fleet, node, clock):
    """Guards against lost service while the store refuses some nodes."""
    other = await fleet.add('reads')
    await fleet.wait_converged()
    clock.now += 6.0
    node.app.events.emit('store-answered', clock.now - 4.0)
    record = node.app.service('membership').local_record()
    await other.app.service('exchange')._sync(record)
    contact_ = other.app.service('store-contact')
    assert contact_._contact.age_s(clock.now) == 4.0
    assert contact_.accepts_keys()
    clock.now += 1.0
    await other.app.service('exchange')._sync(record)
    assert not contact_.accepts_keys()


async def test_contact_through_a_node_with_a_newer_configuration_does_not(
    fleet, node, clock
):
    """Guards against a key that the other node's configuration removes."""
    other = await fleet.add('reads')
    await fleet.wait_converged()
    clock.now += 6.0
    node.app.events.emit('store-answered', clock.now)
    newer = _configuration(3)
    node.app.service('configuration').apply(newer)
    record = node.app.service('membership').local_record()
    await other.app.service('exchange')._sync(record)
    assert not other.app.service('store-contact').accepts_keys()
    other.app.service('configuration').apply(newer)
    await other.app.service('exchange')._sync(record)
    assert other.app.service('store-contact').accepts_keys()


async def test_node_without_an_answer_asks_two_others(
    fleet, node, clock, monkeypatch
):
    """Guards against a node that waits for the next periodic comparison."""
    for _ in range(3):
        await fleet.add('reads')
    await fleet.wait_converged()
    asked = []
    monkeypatch.setattr(
        node.app.service('exchange'), 'start_sync', asked.append
    )
    clock.now += 2.0
    node.app.service('store-contact')._ask_if_needed()
    assert asked == []
    clock.now += 1.0
    await conftest.wait_until(lambda: asked)
    assert len({record.node_id for record in asked[:2]}) == 2
    own = node.app.service('membership').local_record().node_id
    assert own not in {record.node_id for record in asked}
