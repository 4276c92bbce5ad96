"""Moves in a fleet of complete nodes.

The tests guard against moves that are decided without evidence, differently
on different nodes, or not at all.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from damaskpier.fleet import exchange
from damaskpier.fleet import model
from damaskpier.fleet import move_evidence
from damaskpier.fleet import moves
from damaskpier.fleet import rollouts
from damaskpier.fleet import share_schedule
from damaskpier.rollout import model as rollout_model

from tests.test_fleet import conftest

ORDER = model.Order('reads', 1, 'v2', 15.0, model.Phase.RUNNING, 1)


@pytest.fixture
def short_intervals(monkeypatch):
    """Shorten the intervals and give the new version a large share."""
    monkeypatch.setattr(rollouts, 'TICK_INTERVAL_S', 0.02)
    monkeypatch.setattr(rollouts, 'DECISION_STAGGER_S', 0.02)
    monkeypatch.setattr(exchange, 'ANTI_ENTROPY_INTERVAL_S', 0.05)
    monkeypatch.setattr(share_schedule, 'share_at', lambda *_: 0.5)


async def _load(node: conftest.Node, count: int) -> None:
    for _ in range(count // 8):
        await asyncio.gather(*(node.request() for _ in range(8)))


def _fail(node: conftest.Node) -> None:
    async def answer(request):
        return node.upstream.signed(500)

    node.upstream.answer = answer


async def _fleet_with_two_versions(fleet: conftest.Fleet) -> None:
    for version in ('v1', 'v1', 'v2', 'v2'):
        await fleet.add(version=version)
    await fleet.wait_converged()


async def _load_until_taken_back(fleet: conftest.Fleet) -> None:
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        while _phases(fleet) != {model.Phase.TAKEN_BACK}:
            await _load(fleet.nodes[0], 16)
            await asyncio.sleep(0.02)


def _phases(fleet: conftest.Fleet) -> set[model.Phase | None]:
    return {
        rollouts_.phase if rollouts_ is not None else None
        for node in fleet.nodes
        for rollouts_ in [node.app.service('rollouts')._moves.get('reads')]
    }


async def test_bad_version_is_taken_back_everywhere(fleet, short_intervals):
    await _fleet_with_two_versions(fleet)
    for node in fleet.nodes[2:]:
        _fail(node)
    fleet.store.order(ORDER)
    await conftest.wait_until(lambda: _phases(fleet) == {model.Phase.RUNNING})
    await _load_until_taken_back(fleet)
    await conftest.wait_until(
        lambda: fleet.store.orders['reads'].phase is model.Phase.TAKEN_BACK
    )
    ran = sum(len(node.upstream.ran) for node in fleet.nodes[2:])
    await _load(fleet.nodes[0], 40)
    assert sum(len(node.upstream.ran) for node in fleet.nodes[2:]) == ran


async def test_verdict_is_written_when_the_store_is_back(
    fleet, short_intervals
):
    await _fleet_with_two_versions(fleet)
    for node in fleet.nodes[2:]:
        _fail(node)
    fleet.store.order(ORDER)
    await conftest.wait_until(lambda: _phases(fleet) == {model.Phase.RUNNING})
    fleet.store.is_down = True
    await _load_until_taken_back(fleet)
    assert fleet.store.orders['reads'].phase is model.Phase.RUNNING
    fleet.store.is_down = False
    await conftest.wait_until(
        lambda: fleet.store.orders['reads'].phase is model.Phase.TAKEN_BACK
    )


async def test_good_version_is_completed(fleet, short_intervals, monkeypatch):
    monkeypatch.setattr(share_schedule, 'share_at', lambda *_: 1.0)
    monkeypatch.setattr(rollouts, 'MIN_DONE_TIME_RATIO', 0.0)
    fleet.store.put(
        conftest.make_configuration(
            2, (conftest.make_route('read', timeout_s=0.1),)
        )
    )
    await _fleet_with_two_versions(fleet)
    fleet.store.order(ORDER)
    await conftest.wait_until(
        lambda: fleet.store.orders['reads'].phase is model.Phase.DONE
    )
    await conftest.wait_until(lambda: _phases(fleet) == {model.Phase.DONE})
    old = sum(len(node.upstream.ran) for node in fleet.nodes[:2])
    await _load(fleet.nodes[0], 40)
    assert sum(len(node.upstream.ran) for node in fleet.nodes[:2]) == old


async def test_move_without_workers_of_the_new_version_is_not_done(
    fleet, short_intervals, monkeypatch
):
    monkeypatch.setattr(share_schedule, 'share_at', lambda *_: 1.0)
    monkeypatch.setattr(rollouts, 'MIN_DONE_TIME_RATIO', 0.0)
    node = await fleet.add(version='v1')
    await fleet.wait_converged()
    fleet.store.order(ORDER)
    await conftest.wait_until(lambda: _phases(fleet) == {model.Phase.RUNNING})
    service = node.app.service('rollouts')
    # Only the missing workers now keep the move from being done.
    monkeypatch.setattr(service, '_max_timeout_s', lambda: 0.0)
    move = service._moves['reads']
    for _ in range(10):
        assert (await node.request()).status == 200
        service._tick(move)
        assert move.phase is model.Phase.RUNNING
    assert fleet.store.orders['reads'].phase is model.Phase.RUNNING


async def test_node_without_the_store_receives_an_order_by_gossip(
    fleet, short_intervals
):
    """A node without the order would send requests to both versions."""
    await _fleet_with_two_versions(fleet)
    cut = fleet.nodes[0]
    cut.store.is_cut = True
    fleet.store.order(ORDER)
    await conftest.wait_until(lambda: _phases(fleet) == {model.Phase.RUNNING})
    before = sum(len(node.upstream.ran) for node in fleet.nodes[2:])
    await _load(cut, 80)
    assert sum(len(node.upstream.ran) for node in fleet.nodes[2:]) == before


async def test_node_that_starts_late_uses_the_share_of_the_others(
    fleet, short_intervals
):
    await fleet.add()
    await fleet.wait_converged()
    fleet.store.order(ORDER)
    await conftest.wait_until(lambda: _phases(fleet) == {model.Phase.RUNNING})
    move = fleet.nodes[0].app.service('rollouts')._moves['reads']
    move.started_at -= 9.0
    late = await fleet.add()
    await conftest.wait_until(
        lambda: (
            'reads' in late.app.service('rollouts')._moves
            and late.app.service('rollouts')._moves['reads'].started_at
            <= move.started_at + rollouts.START_TOLERANCE_S
        )
    )


async def test_verdict_is_not_replaced(fleet):
    node = await fleet.add()
    service = node.app.service('rollouts')
    service._apply_order(ORDER._replace(phase=model.Phase.TAKEN_BACK))
    move = service._moves['reads']
    service._set_phase(move, model.Phase.TAKEN_BACK, 'test')
    state = rollout_model.MoveState(
        move.move_id, 0, 99, rollout_model.Phase.DONE, {}
    )
    service.merge(state)
    assert move.phase is model.Phase.TAKEN_BACK


async def test_lost_evaluators_are_replaced(fleet):
    for _ in range(5):
        await fleet.add()
    await fleet.wait_converged()
    service = fleet.nodes[0].app.service('rollouts')
    service._apply_order(ORDER)
    move = service._moves['reads']
    evaluators = service._evaluators(move)
    assert len(evaluators) == rollouts.EVALUATOR_COUNT
    lost = next(name for name in evaluators if name != fleet.nodes[0].name)
    membership = fleet.nodes[0].app.service('membership')
    membership.mark_gone([lost])
    assert lost not in service._evaluators(move)
    assert len(set(evaluators) & set(service._evaluators(move))) == 2


async def test_running_status_is_written_once(fleet, short_intervals):
    await _fleet_with_two_versions(fleet)
    fleet.store.order(ORDER)
    await conftest.wait_until(lambda: fleet.store.orders['reads'].has_status)
    stored = fleet.store.orders['reads']
    assert stored.phase is model.Phase.RUNNING
    # A single write: the other nodes find the status in the store.
    assert stored.revision == ORDER.revision + 1


async def test_move_with_a_status_is_still_taken_back(fleet, short_intervals):
    """The verdict must be written with the revision after the status.

    Writing the status changes the revision that a conditional update compares.
    """
    await _fleet_with_two_versions(fleet)
    for node in fleet.nodes[2:]:
        _fail(node)
    fleet.store.order(ORDER)
    await conftest.wait_until(lambda: fleet.store.orders['reads'].has_status)
    await _load_until_taken_back(fleet)
    await conftest.wait_until(
        lambda: fleet.store.orders['reads'].phase is model.Phase.TAKEN_BACK
    )


NEXT_ORDER = model.Order('reads', 2, 'v3', 15.0, model.Phase.RUNNING, 9)


def _ran(fleet: conftest.Fleet, version: str) -> int:
    return sum(
        len(node.upstream.ran)
        for node in fleet.nodes
        if node.upstream.version == version
    )


async def _wait_for_order(fleet: conftest.Fleet, version: str) -> None:
    def have_order() -> bool:
        moves_ = [
            node.app.service('rollouts')._moves.get('reads')
            for node in fleet.nodes
        ]
        return all(move and move.order.version == version for move in moves_)

    await conftest.wait_until(have_order)


@pytest.fixture
async def next_order(fleet, short_intervals):
    """Return a fleet in which an order has followed one that failed.

    The rejected version has more workers than the old one, and the new one has
    none yet.
    """
    for version in ('v1', 'v2', 'v2', 'v2'):
        await fleet.add(version=version)
    await fleet.wait_converged()
    fleet.store.order(ORDER)
    await _wait_for_order(fleet, 'v2')
    await conftest.wait_until(lambda: fleet.store.orders['reads'].has_status)
    stored = fleet.store.orders['reads']
    fleet.store.order(
        stored._replace(
            phase=model.Phase.TAKEN_BACK, revision=stored.revision + 1
        )
    )
    await conftest.wait_until(
        lambda: _phases(fleet) == {model.Phase.TAKEN_BACK}
    )
    fleet.store.order(NEXT_ORDER)
    await _wait_for_order(fleet, 'v3')
    return fleet


async def test_rejected_version_is_not_used_by_the_next_order(next_order):
    """The version with the most workers was taken for the old one (review/2).

    Callers got the failures of the rejected version until its workers left.
    """
    before = _ran(next_order, 'v2')
    for node in next_order.nodes:
        await _load(node, 16)
    assert _ran(next_order, 'v2') == before


async def test_restarted_nodes_do_not_use_a_rejected_version(next_order):
    """What has been rejected must not be in the memory of the nodes only."""
    await conftest.wait_until(
        lambda: next_order.store.orders['reads'].has_status
    )
    for node in list(next_order.nodes):
        restarted = await next_order.restart(node)
        restarted.announce()
    await _wait_for_order(next_order, 'v3')
    await next_order.wait_converged()
    before = _ran(next_order, 'v2')
    await _load(next_order.nodes[0], 40)
    assert _ran(next_order, 'v2') == before
    assert _ran(next_order, 'v1')


async def test_node_without_the_store_does_not_use_a_rejected_version(
    next_order,
):
    """It learns of the order from other nodes, with what came before it."""
    late = await next_order.add()
    late.app.service('rollouts')._moves.clear()
    late.store.is_cut = True
    for state in next_order.nodes[0].app.service('rollouts').states():
        late.app.service('rollouts').merge(state)
    before = _ran(next_order, 'v2')
    await _load(late, 40)
    assert _ran(next_order, 'v2') == before


async def test_version_of_a_replaced_order_is_not_used_by_the_next_one(
    fleet, short_intervals, monkeypatch
):
    """Nothing is known of a version whose order was replaced undecided."""
    monkeypatch.setattr(share_schedule, 'share_at', lambda *_: 0.0)
    for version in ('v1', 'v2', 'v2'):
        await fleet.add(version=version)
    await fleet.wait_converged()
    fleet.store.order(ORDER)
    await _wait_for_order(fleet, 'v2')
    fleet.store.order(NEXT_ORDER)
    await _wait_for_order(fleet, 'v3')
    await _load(fleet.nodes[0], 40)
    assert not _ran(fleet, 'v2')


async def test_version_without_an_order_gets_no_requests_of_a_move(next_order):
    """Workers of the next version may start before it is ordered."""
    before = _ran(next_order, 'v2')
    for _ in range(3):
        await next_order.add(version='v4')
    await next_order.wait_converged()
    for node in next_order.nodes:
        await _load(node, 16)
    assert not _ran(next_order, 'v4')
    assert _ran(next_order, 'v2') == before


async def test_ordered_version_serves_if_only_a_rejected_one_is_left(
    next_order,
):
    """Without workers of the old version, the rejected one must not serve."""
    await next_order.add(version='v3')
    next_order.nodes[0].announce(draining=True)
    for node in next_order.nodes:
        rollouts_ = node.app.service('rollouts')
        await conftest.wait_until(
            lambda: (
                rollouts_._has_workers('reads', 'v3')
                and not rollouts_._has_workers('reads', 'v1')
            )
        )
    before = _ran(next_order, 'v2')
    await _load(next_order.nodes[1], 40)
    assert _ran(next_order, 'v2') == before
    assert _ran(next_order, 'v3') == 40


def test_history_of_orders():
    """The version in force changes only with an order that is done."""
    history = model.VersionHistory('v1')
    history = history.after('v2', model.Phase.TAKEN_BACK)
    history = history.after('v3', model.Phase.RUNNING)
    assert history == model.VersionHistory('v1', ('v2', 'v3'))
    # An order to go back to the version in force does not reject it.
    assert history.after('v1', model.Phase.RUNNING) == history
    history = history.after('v2', model.Phase.DONE)
    assert history == model.VersionHistory('v2', ('v3',))
    for number in range(2 * model.MAX_REJECTED_VERSIONS):
        history = history.after(f'w{number}', model.Phase.TAKEN_BACK)
    assert len(history.rejected) == model.MAX_REJECTED_VERSIONS
    assert history.rejected[-1] == f'w{number}'


def test_histories_are_merged():
    """A node that missed an order takes over what others know of it."""
    stored = model.VersionHistory('v2', ('v3',))
    known = model.VersionHistory('v1', ('v2', 'v0'))
    assert stored.merged(known) == model.VersionHistory('v2', ('v0', 'v3'))
    unknown = model.VersionHistory()
    assert unknown.merged(stored) == stored
    assert stored.merged(unknown) == stored


async def test_share_does_not_rise_while_no_evaluator_gets_counts(
    fleet, short_intervals, monkeypatch
):
    """A node that is cut off moved its requests to a version unseen."""
    await _fleet_with_two_versions(fleet)
    node = fleet.nodes[0]
    monkeypatch.setattr(move_evidence, 'MAX_UNRECEIVED_S', 0.1)
    monkeypatch.setattr(
        rollouts.Rollouts,
        '_evaluators',
        lambda service, move: ['node-3'],
    )
    exchange_ = node.app.service('exchange')
    send = exchange_._send
    is_cut = True

    async def send_unless_cut(record, gossip):
        if is_cut and gossip.evidence.cells:
            return None
        return await send(record, gossip)

    exchange_._send = send_unless_cut
    fleet.store.order(ORDER)
    shares = node.app.service('rollouts')._shares
    await conftest.wait_until(lambda: shares.get('reads') == 0.5)
    await _load(node, 32)
    move = node.app.service('rollouts')._moves['reads']
    await conftest.wait_until(
        lambda: move.evidence.is_missing(time.monotonic())
    )
    planned = []

    def plan(*_) -> float:
        planned.append(0.9)
        return planned[-1]

    monkeypatch.setattr(share_schedule, 'share_at', plan)
    # Several ticks of each node.
    await conftest.wait_until(lambda: len(planned) >= 10 * len(fleet.nodes))
    assert shares['reads'] == 0.5
    is_cut = False
    await _load(node, 16)
    await conftest.wait_until(lambda: shares['reads'] == 0.9)


async def test_limit_of_the_share_reaches_all_nodes(
    fleet, short_intervals, monkeypatch
):
    """Only evaluators know that the versions are in doubt."""
    await _fleet_with_two_versions(fleet)
    await fleet.add('pages')
    await fleet.wait_converged()
    limit = 0.1
    monkeypatch.setattr(
        rollouts.Rollouts, '_evaluators', lambda service, move: ['node-0']
    )
    monkeypatch.setattr(moves.Move, 'share_limit', lambda move, now: limit)
    fleet.store.order(ORDER)

    def shares() -> set[float | None]:
        return {
            node.app.service('rollouts')._shares.get('reads')
            for node in fleet.nodes
        }

    await conftest.wait_until(lambda: shares() == {limit})
    limit = 1.0
    await conftest.wait_until(lambda: shares() == {0.5})


async def test_requests_of_a_small_share_go_to_the_canaries(
    fleet, short_intervals, monkeypatch
):
    """Spread over all workers, they would leave each of them idle."""
    await _fleet_with_two_versions(fleet)
    monkeypatch.setattr(
        rollouts.canaries, 'choose', lambda *_: frozenset(['node-3'])
    )
    fleet.store.order(ORDER)
    node = fleet.nodes[0]
    service = node.app.service('rollouts')
    await conftest.wait_until(
        lambda: service.canaries('reads', 'v2') == {'node-3'}
    )
    # One at a time, as a canary without a free slot is passed over.
    for _ in range(24):
        await node.request()
    assert fleet.nodes[3].upstream.ran
    assert not fleet.nodes[2].upstream.ran
    assert service.canaries('reads', 'v1') == ()
