"""Client of the platform's store, which must recover from every fault."""

from __future__ import annotations

import asyncio
import contextlib
import logging

import msgspec
import pytest

from damaskpier import config
from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.fleet import store_watch
from damaskpier.http1 import client as http_client
from damaskpier.platform import objects
from damaskpier.platform import store

from tests import streams
from tests.test_platform import conftest

ORDER = {'service': 's1', 'targetVersion': 'v2', 'duration': '12s'}
NODE = model.NodeAddress('n', '10.0.0.1', 7, 'r', 'd')


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    """Shorten the pauses."""
    monkeypatch.setattr(store_watch, 'INITIAL_BACKOFF_S', 0.01)
    monkeypatch.setattr(store_watch, 'MAX_BACKOFF_S', 0.02)


async def _next(found):
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        return await anext(found)


async def _wait_for_calls(fake, count):
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        while len(fake.calls) < count:
            await asyncio.sleep(0.01)


async def _next_good(found):
    while True:
        value = await _next(found)
        if not isinstance(value, errors.Refusal):
            return value


async def test_configuration_is_decoded(fake, client, operator_config):
    fake.put('config', 'main', operator_config())
    cfg = await _next(client.configurations())
    assert cfg.version == 12
    first, second = cfg.routes
    assert first == model.Route(
        'r-1',
        'h.example',
        '/a/',
        model.RouteKind.NON_IDEMPOTENT,
        (model.WeightedService('s1', 1.0),),
        2.0,
        0.6,
        2,
        1,
    )
    assert second.destinations == (
        model.WeightedService('s1', 90.0),
        model.WeightedService('s2', 10.0),
    )
    assert not first.repeatable
    assert second.repeatable
    assert cfg.limits == model.CallerLimits(16384, 1000, 3.0, 15.0)
    assert cfg.services['s2'].connections == 110


async def test_unchanged_rule_is_decoded_once(
    fake, client, operator_config, monkeypatch
):
    """Decoding all rules of each version takes most of its time.

    Of a changed rule, the route of the previous version must not be used.
    """
    decoded = []
    decode = objects._route_from_rule

    def decode_and_log(host, rule):
        decoded.append(rule['name'])
        return decode(host, rule)

    monkeypatch.setattr(objects, '_route_from_rule', decode_and_log)
    found = client.configurations()
    fake.put('config', 'main', operator_config())
    before = await _next(found)
    assert decoded == ['r-1', 'r-2']
    fake.put('config', 'main', operator_config('0000000d'))
    same = await _next(found)
    assert decoded == ['r-1', 'r-2']
    assert same == before._replace(version=13)
    spec = operator_config('0000000e')
    listener = spec['listeners'][0]
    listener['routeRules'][0]['action']['timeout'] = '900ms'
    spec['listeners'].append({**listener, 'host': 'other.example'})
    fake.put('config', 'main', spec)
    changed = await _next_good(found)
    assert decoded == ['r-1', 'r-2', 'r-1', 'r-1', 'r-2']
    first, second, *others = changed.routes
    assert first == before.routes[0]._replace(timeout_s=0.9)
    assert second == before.routes[1]
    assert tuple(others) == tuple(
        route._replace(host='other.example') for route in (first, second)
    )


async def test_rules_of_an_invalid_version_are_not_kept(operator_config):
    """A version that is refused must not affect the next one."""
    decoder = objects.ConfigurationDecoder()
    before = decoder.decode({'spec': operator_config()})
    invalid = operator_config('0000000d')
    invalid['listeners'][0]['routeRules'][0]['match']['pathPrefix'] = '/z/'
    del invalid['limits']['idleTimeout']
    with pytest.raises(KeyError):
        decoder.decode({'spec': invalid})
    after = decoder.decode({'spec': operator_config('0000000e')})
    assert after == before._replace(version=14)


@pytest.mark.parametrize('kind', ['upload', 'later-kind'])
def test_other_kinds_of_routes_are_not_repeated(operator_config, kind):
    """One unknown kind must not keep all routes out of force."""
    spec = operator_config()
    spec['listeners'][0]['routeRules'][0]['routeKind'] = kind
    first, second = (
        objects.ConfigurationDecoder().decode({'spec': spec}).routes
    )
    assert first.kind is model.RouteKind.NON_IDEMPOTENT
    assert second.prefix


async def test_later_configuration_comes_by_the_watch(
    fake, client, operator_config
):
    fake.put('config', 'main', operator_config())
    found = client.configurations()
    await _next(found)
    fake.put('config', 'main', operator_config('0000000f'))
    assert (await _next(found)).version == 15
    assert len(fake.calls) == 2


async def test_deliveries_of_configurations_are_logged_and_counted(
    fake, client, metrics, operator_config, caplog
):
    """Links that configurations fill would otherwise have no visible cause."""
    caplog.set_level(logging.INFO, store.LOG.name)
    fake.put('config', 'main', operator_config())
    found = client.configurations()
    await _next(found)
    listed_bytes = metrics.counter_value('store_bytes_received')
    size = len(msgspec.json.encode(fake.objects['config']['main']))
    assert listed_bytes > size
    fake.put('config', 'main', operator_config('0000000f'))
    await _next(found)
    received = 'store_configurations_received'
    assert metrics.counter_value(received, call='list') == 1
    assert metrics.counter_value(received, call='watch') == 1
    assert metrics.counter_value('store_bytes_received') > listed_bytes + size
    assert 'store_configuration_transfer_seconds_count 2' in metrics.render()
    listed, watched = (
        record.getMessage()
        for record in caplog.records
        if ' delivered ' in record.getMessage()
    )
    assert 'list delivered 1 configurations' in listed
    assert f'in {listed_bytes:.0f} bytes' in listed
    assert 'watch delivered 1 configurations' in watched


async def test_deliveries_of_orders_are_not_taken_for_configurations(
    fake, client, metrics
):
    """Counts of configurations must not rise with the statuses of orders."""
    fake.put('rollouts', 's1', ORDER)
    await _next(client.orders())
    assert metrics.counter_value('store_bytes_received') > 0
    assert (
        metrics.counter_value('store_configurations_received', call='list')
        == 0
    )


async def test_changes_in_quick_succession_share_a_call(
    fake, client, operator_config
):
    fake.put('config', 'main', operator_config())
    found = client.configurations()
    await _next(found)
    ask = asyncio.create_task(_next(found))
    await asyncio.sleep(0)
    for number in range(20, 30):
        fake.put('config', 'main', operator_config(f'{number:08x}'))
    version = (await ask).version
    while version < 29:
        version = (await _next(found)).version
    assert len(fake.calls) <= 4


async def test_burst_is_read_with_each_object_once(
    fake, client, operator_config
):
    """A read that finds nothing new yields nothing and ends the burst."""
    fake.put('config', 'main', operator_config())
    found = client.configurations()
    await _next(found)
    for version in ('0000000e', '0000000f'):
        fake.put('config', 'main', operator_config(version))
        await _next(found)
    waiting = asyncio.create_task(_next(found))
    await _wait_for_calls(fake, 5)
    is_watch = ['watch' in target for _, target in fake.calls]
    assert is_watch[-2:] == [False, True]
    assert not waiting.done()
    fake.put('config', 'main', operator_config('00000010'))
    assert (await waiting).version == 16


async def test_read_of_a_burst_is_not_given_up_while_the_store_is_slow(
    fake, client, operator_config, monkeypatch
):
    """A read with a short timeout would bring no change, as a watch would."""
    fake.put('config', 'main', operator_config())
    found = client.configurations()
    await _next(found)
    monkeypatch.setattr(store, 'CALL_TIMEOUT_S', 0.05)
    fake.list_delay_s = 0.2
    for version in ('0000000e', '0000000f', '00000010'):
        fake.put('config', 'main', operator_config(version))
        value = await _next(found)
        assert not isinstance(value, errors.Refusal)
    assert value.version == 16


async def test_order_and_its_status_cost_no_read(fake, client):
    """Calls are priced, and each order is followed by its status."""
    found = client.orders()
    ask = asyncio.create_task(_next(found))
    await _wait_for_calls(fake, 2)
    fake.put('rollouts', 's1', ORDER)
    (order,) = await ask
    await client.write_phase(order, model.Phase.RUNNING)
    (order,) = await _next(found)
    assert order.has_status
    ask.cancel()
    lists = [
        target
        for method, target in fake.calls
        if method == 'GET' and 'watch' not in target
    ]
    assert len(lists) == 1


async def test_lost_history_is_read_again(fake, client, operator_config):
    fake.put('config', 'main', operator_config())
    found = client.configurations()
    await _next(found)
    fake.first_kept = fake.revision + 1
    fake.put('config', 'main', operator_config('0000000f'))
    assert (await _next(found)).version == 15


@pytest.mark.parametrize('status', [429, 503])
async def test_refused_call_is_repeated(fake, client, operator_config, status):
    fake.put('config', 'main', operator_config())
    fake.refusals = [status, status]
    found = client.configurations()
    assert isinstance(await _next(found), errors.Refusal)
    assert (await _next_good(found)).version == 12


async def test_store_that_does_not_answer_is_read_with_short_calls(
    fake, client, operator_config, monkeypatch
):
    """A watch would wait half a minute for a store that does not answer."""
    monkeypatch.setattr(store, 'CALL_TIMEOUT_S', 0.05)
    monkeypatch.setattr(store, 'WATCH_WAIT_MS', 50)
    monkeypatch.setattr(store, 'WATCH_TIMEOUT_MARGIN_S', 0.0)
    fake.put('config', 'main', operator_config())
    found = client.configurations()
    await _next(found)
    fake.silent = True
    assert isinstance(await _next(found), errors.Refusal)
    fake.calls.clear()
    assert isinstance(await _next(found), errors.Refusal)
    assert 'watch' not in fake.calls[0][1]
    fake.silent = False
    fake.put('config', 'main', operator_config('0000000f'))
    assert (await _next_good(found)).version == 15


class _SlowStore:
    """Store that sends a list of objects in parts with pauses.

    :param sent_parts: number of parts after which nothing more is sent
    """

    PART_COUNT = 10
    PAUSE_S = 0.2

    def __init__(self, sent_parts: int = PART_COUNT) -> None:
        self.ended = asyncio.Event()
        self._sent_parts = sent_parts

    async def answer(self, reader, writer):
        """Answer one request."""
        await reader.readuntil(b'\r\n\r\n')
        body = b'{"items":[],"hasMore":false,"currentRev":7}'.ljust(1000)
        response = b'HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n' + body
        size = -(-len(response) // self.PART_COUNT)
        for number in range(self._sent_parts):
            writer.write(response[number * size : (number + 1) * size])
            await asyncio.sleep(self.PAUSE_S)
        await reader.read()
        writer.close()
        await writer.wait_closed()
        self.ended.set()


async def _read_from(slow):
    """Read all objects of a kind and return the result."""
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        listener = await asyncio.start_server(slow.answer, conftest.HOST, 0)
        async with listener:
            port = listener.sockets[0].getsockname()[1]
            client = conftest.make_app(port).service('store')
            found = await client.list_objects('config')
            await client.stop()
            await slow.ended.wait()
            return found


async def test_read_goes_on_while_bytes_arrive():
    """A configuration takes long over a link that is full.

    A read that is given up by its duration starts again with the first byte,
    and fills the link even more.
    """
    assert _SlowStore.PART_COUNT * _SlowStore.PAUSE_S > store.CALL_TIMEOUT_S
    found = await _read_from(_SlowStore())
    assert not isinstance(found, errors.Refusal)
    assert found.revision == 7


async def test_read_ends_when_no_more_bytes_arrive():
    """A store that is cut off must not hold a read to its longest time."""
    reading = asyncio.ensure_future(_read_from(_SlowStore(sent_parts=2)))
    longest = asyncio.ensure_future(asyncio.sleep(store.READ_TIMEOUT_S / 2))
    await asyncio.wait({reading, longest}, return_when=asyncio.FIRST_COMPLETED)
    assert not longest.done()
    longest.cancel()
    assert isinstance(await reading, errors.Refusal)


async def test_watch_states_how_long_its_response_took():
    """The pause of a burst counts from the first byte of a long response.

    Without the time, the node would be behind by the response and the pause.
    """
    slow = _SlowStore()
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        listener = await asyncio.start_server(slow.answer, conftest.HOST, 0)
        async with listener:
            port = listener.sockets[0].getsockname()[1]
            client = conftest.make_app(port).service('store')
            found = await client.watch_objects('config', 1)
            await client.stop()
            await slow.ended.wait()
    assert found.transfer_s > slow.PAUSE_S * slow.PART_COUNT / 2


async def test_invalid_object_is_skipped(fake, client, operator_config):
    fake.put('rollouts', 's1', {'service': 's1'})
    fake.put('rollouts', 's2', {**ORDER, 'service': 's2'})
    orders = await _next(client.orders())
    assert [order.service for order in orders] == ['s2']


async def test_verdict_is_written_once(fake, client):
    fake.put('rollouts', 's1', ORDER)
    (order,) = await _next(client.orders())
    assert order.phase is model.Phase.RUNNING
    written = await client.write_phase(order, model.Phase.TAKEN_BACK)
    assert written.phase is model.Phase.TAKEN_BACK
    late = await client.write_phase(order, model.Phase.DONE)
    assert late.phase is model.Phase.TAKEN_BACK
    status = fake.objects['rollouts']['s1']['status']
    assert status == {'state': 'rolled_back', 'targetVersion': 'v2'}


async def test_verdict_on_an_earlier_version_does_not_count(fake, client):
    old = {'state': 'completed', 'targetVersion': 'v2'}
    fake.put('rollouts', 's1', {**ORDER, 'targetVersion': 'v3'}, status=old)
    (order,) = await _next(client.orders())
    assert order.phase is model.Phase.RUNNING


@pytest.mark.parametrize(
    ('state', 'in_force', 'rejected'),
    [
        ('rolled_back', 'v1', ('v0', 'v2')),
        ('running', 'v1', ('v0', 'v2')),
        ('completed', 'v2', ('v0',)),
    ],
)
async def test_status_tells_the_next_order_what_came_before(
    fake, client, state, in_force, rejected
):
    """A node that starts after an order was replaced has seen nothing else."""
    fake.put('rollouts', 's1', ORDER, status=None)
    found = client.orders()
    (order,) = await _next_good(found)
    history = model.VersionHistory('v1', ('v0',))
    phase = objects._PHASE_BY_STATE[state]
    await client.write_phase(order._replace(history=history), phase)
    (order,) = await _next_good(found)
    assert (order.phase, order.history) == (phase, history)
    fake.put('rollouts', 's1', {**ORDER, 'targetVersion': 'v3'})
    (order,) = await _next_good(found)
    assert order.phase is model.Phase.RUNNING
    assert not order.has_status
    assert order.history == model.VersionHistory(in_force, rejected)


@pytest.mark.parametrize(
    'status',
    [
        {'targetVersion': 7, 'state': 'completed'},
        {'previousVersion': ['v1'], 'rejectedVersions': 'v2'},
        {'previousVersion': None, 'rejectedVersions': [None, 3, {}]},
    ],
    ids=str,
)
async def test_odd_history_in_a_status_is_left_out(fake, client, status):
    fake.put('rollouts', 's1', ORDER, status=status)
    (order,) = await _next(client.orders())
    assert order.history == model.VersionHistory()


async def test_lost_answer_to_a_write_is_unknown(fake, client, monkeypatch):
    monkeypatch.setattr(store, 'CALL_TIMEOUT_S', 0.05)
    fake.lost = 1
    refusal = await client.register(NODE)
    assert refusal.code is errors.PLATFORM_UNKNOWN
    assert (await client.register(NODE)).node == NODE
    assert await client.directory() == [NODE]


async def test_node_with_a_new_address_replaces_its_entry(fake, client):
    assert (await client.register(NODE)).node == NODE
    moved = NODE._replace(host='10.0.0.2')
    assert (await client.register(moved)).node == moved
    assert await client.directory() == [moved]


async def test_departures_are_returned_at_the_next_registration(fake, client):
    """A new address must not remove what an earlier process has written."""
    entry = await client.register(NODE)
    assert not entry.departures
    departures = (model.Departure('i-1', 5), model.Departure('i-2', 6))
    written = await client.write_departures(
        entry._replace(departures=departures), 1.0
    )
    assert written.departures == departures
    assert await client.register(NODE) == written
    moved = NODE._replace(host='10.0.0.2')
    assert (await client.register(moved)).departures == departures


async def test_departures_of_another_process_are_not_replaced(fake, client):
    """A write that an earlier process sent may be carried out late."""
    entry = await client.register(NODE)
    first = entry._replace(departures=(model.Departure('i-1', 5),))
    stored = await client.write_departures(first, 1.0)
    late = entry._replace(departures=(model.Departure('i-2', 6),))
    assert await client.write_departures(late, 1.0) == stored
    assert stored.departures == first.departures


async def test_removed_entry_is_created_before_departures_are_written(
    fake, client
):
    entry = await client.register(NODE)
    del fake.objects[objects.NODE_KIND][NODE.node_id]
    departed = entry._replace(departures=(model.Departure('i-1', 5),))
    created = await client.write_departures(departed, 1.0)
    assert not created.departures
    written = await client.write_departures(
        departed._replace(revision=created.revision), 1.0
    )
    assert written.departures == departed.departures


@pytest.mark.parametrize(
    'status',
    [
        7,
        {'departures': 'i-1'},
        {'departures': [None, {'instance': 'i-1'}, {'started_ms': 5}]},
        {'departures': [{'instance': 'i-1', 'started_ms': '5'}]},
    ],
    ids=str,
)
async def test_odd_departures_are_left_out(fake, client, status):
    """A node that can not read its entry must still register."""
    await client.register(NODE)
    fake.put(
        objects.NODE_KIND, 'n', objects.spec_from_node(NODE), status=status
    )
    entry = await client.register(NODE)
    assert entry == model.DirectoryEntry(NODE, fake.revision)


async def test_directory_is_read_page_by_page(fake, client):
    fake.page = 2
    nodes = [NODE._replace(node_id=f'n{number}') for number in range(5)]
    for node in nodes:
        assert (await client.register(node)).node == node
    assert await client.directory() == nodes


async def _list_from(answer):
    """Return the result of a list call that a function answers."""
    return await _call_from(answer, lambda store_: store_.list_objects('c'))


def _answer_with(body):
    """Return a function that answers each call with a body."""

    async def answer(head, writer):
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body
        )

    return answer


def _read_kind(client, kind):
    """Read or watch objects, for a response with a list of this name."""
    if kind == 'items':
        return client.list_objects('config')
    return client.watch_objects('config', 3)


async def _call_from(answer, call):
    """Return the result of a call of the client that a function answers."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await answer(await reader.readuntil(b'\r\n\r\n'), writer)

    async with (
        asyncio.timeout(conftest.TEST_TIMEOUT_S),
        streams.serve(serve, conftest.HOST) as port,
    ):
        client = conftest.make_app(port).service('store')
        found = await call(client)
        await client.stop()
        return found


@pytest.mark.parametrize(
    'call',
    [
        lambda client: client.list_objects('config'),
        lambda client: client.watch_objects('config', 3),
        lambda client: client.directory(),
    ],
    ids=['list', 'watch', 'directory'],
)
@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'null',
        b'[]',
        b'5',
        b'{}',
        b'{"items": 5, "events": 5, "currentRev": 1}',
        b'{"currentRev": "x"}',
        b'{"currentRev": null}',
        b'{"items": [5], "events": 5, "hasMore": true, "currentRev": 1}',
        b'\xff\x00',
    ],
)
async def test_answer_that_can_not_be_read_is_refused(call, body):
    """A success with another body than the store's is a failed call.

    The task that follows the configuration would end with an exception, and
    start again without the backoff for a store in trouble.
    """

    found = await _call_from(_answer_with(body), call)
    assert isinstance(found, errors.Refusal)
    assert found.code is errors.PLATFORM_UNKNOWN


@pytest.mark.parametrize('entry', [5, None, [], {}, {'metadata': 5}])
@pytest.mark.parametrize('kind', ['items', 'events'])
async def test_entry_that_can_not_be_read_is_skipped(kind, entry):
    """An entry that is no object does not hide the others of its page."""
    good = {'metadata': {'name': 'good', 'rev': 4}}
    entries = [entry, good]
    if kind == 'events':
        entries = [entry, {'object': entry}, {'object': good}]
    body = msgspec.json.encode({kind: entries, 'currentRev': 7})
    found = await _call_from(
        _answer_with(body), lambda client: _read_kind(client, kind)
    )
    assert found.items == [good]
    assert found.revision == 7


DEEP = b'[' * 100_000 + b']' * 100_000
# Text of an entry's specification, as another writer may leave it.
ODD_SPECS = [
    DEEP,
    b'{"a":' * 5000 + b'1' + b'}' * 5000,
    b'[' * 900 + b']' * 900,
    b'1e999',
    b'1' + b'0' * 30,
    b'1' + b'0' * 6000,
    b'-1e400',
    b'NaN',
    b'Infinity',
    b'"\xff"',
    b'"\\ud800"',
    b'"]}{[\\""',
]


@pytest.mark.parametrize('spec', ODD_SPECS, ids=range(len(ODD_SPECS)))
@pytest.mark.parametrize('kind', ['items', 'events'])
async def test_entry_of_another_writer_does_not_hide_the_others(kind, spec):
    """Nodes ended, or stopped following the list, for one odd entry.

    It may be nested deeply or have a number that is too large (issue 20).
    """
    odd = b'{"metadata":{"name":"odd","rev":5},"spec":%s}' % spec
    good = b'{"metadata":{"name":"%s","rev":4}}'
    entries = [good % b'a', odd, good % b'b']
    if kind == 'events':
        entries = [b'{"object":%s,"deleted":false}' % item for item in entries]
    body = b'{"currentRev":7,"hasMore":false,"%s":[%s]}' % (
        kind.encode(),
        b' , '.join(entries),
    )
    found = await _call_from(
        _answer_with(body), lambda client: _read_kind(client, kind)
    )
    assert found.revision == 7
    names = [objects.object_name(obj) for obj in found.items]
    assert names in (['a', 'b'], ['a', 'odd', 'b'])


@pytest.mark.parametrize(
    'spec',
    [
        {'port': 99999},
        {'port': 0},
        {'port': -1},
        {'port': 1e300},
        {'port': 7.0},
        {'port': True},
        {'port': '7'},
        {'port': 10**30},
        {'host': ['10.0.0.1']},
        {'host': 'no-address'},
        {'host': ''},
        {'host': 'a' * 100},
        {'region': 5},
        {'region': None},
        {'failure_domain': {}},
        {'failure_domain': ''},
    ],
    ids=str,
)
async def test_odd_entry_of_the_directory_is_skipped(fake, client, spec):
    """A node could not register while there was one (issue 20)."""
    assert (await client.register(NODE)).node == NODE
    fake.put(
        objects.NODE_KIND, 'odd', {**objects.spec_from_node(NODE), **spec}
    )
    assert await client.directory() == [NODE]


@pytest.mark.parametrize(
    'spec',
    [
        {'service': ['s1']},
        {'service': ''},
        {'targetVersion': {}},
        {'targetVersion': None},
        {'duration': '9' * 400 + 's'},
        {'duration': '٣s'},
    ],
    ids=str,
)
async def test_odd_order_is_skipped(fake, client, spec):
    fake.put(objects.ORDER_KIND, 'odd', {**ORDER, **spec})
    fake.put(objects.ORDER_KIND, 's1', ORDER)
    (order,) = await _next_good(client.orders())
    assert order.service == 's1'


async def test_odd_revision_does_not_end_the_reads_of_a_burst(fake, client):
    """An entry whose revision can not be read counts as changed."""
    fake.put('config', 'odd', {})
    fake.objects['config']['odd']['metadata']['rev'] = 'x'
    reader = store._KindReader(client, 'config')
    found = await reader.read(1)
    assert [objects.object_name(obj) for obj in found.items] == ['odd']


async def test_reply_without_end_is_not_kept():
    """A store that sends bytes without end must not fill the memory."""
    sent = 0

    async def answer(head, writer):
        nonlocal sent
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n{"items":[')
        block = b'{},' * 20_000
        # The limit keeps a reader without limits from filling the machine.
        while sent < 2 * http_client.MAX_RESPONSE_BYTES:
            writer.write(block)
            await writer.drain()
            sent += len(block)

    found = await _list_from(answer)
    assert isinstance(found, errors.Refusal)
    assert sent < 2 * http_client.MAX_RESPONSE_BYTES


@pytest.mark.parametrize('name', ['same', 'next'])
async def test_list_without_end_is_not_kept(name):
    """A store that always has another page must not fill the memory."""
    count = 0
    # The limit keeps a reader without limits from running for ever.
    last = 3 * store.MAX_LIST_BYTES // 2**20

    async def answer(head, writer):
        nonlocal count
        count += 1
        number = 0 if name == 'same' else count
        page = {
            'items': [{'metadata': {'name': f'{number:05}'}}],
            'hasMore': count < last,
            'currentRev': 7,
        }
        body = msgspec.json.encode(page).ljust(2**20)
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body
        )

    found = await _list_from(answer)
    assert isinstance(found, errors.Refusal)
    assert found.code is errors.PLATFORM_UNKNOWN
    assert count < last


async def test_watch_shows_contact_where_keys_depend_on_it(
    fake, operator_config
):
    """Guards against a node that takes a silent watch for contact.

    A watch that waits for changes looks the same whether the store is there
    or not, so that it has to end often, and only answers count.
    """
    fake.put('config', 'main', operator_config())
    app = conftest.make_app(
        fake.server.port, 'strict_revoke = true\nrevoke = 0.5\n'
    )
    answered = asyncio.Queue()
    app.events.connect('store-answered', answered.put_nowait)
    found = app.service('store').configurations()
    await _next(found)
    watching = asyncio.ensure_future(anext(found))
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        times = [await answered.get() for _ in range(4)]
    assert times == sorted(times)
    fake.silent = True
    before = len(fake.calls)
    await _wait_for_calls(fake, before + 1)
    assert answered.empty()
    watching.cancel()
    await asyncio.wait((watching,))


async def test_watch_without_strict_revoke_costs_no_more_calls(
    fake, client, operator_config
):
    """Guards against polling in deployments that do not need it."""
    fake.put('config', 'main', operator_config())
    found = client.configurations()
    await _next(found)
    watching = asyncio.ensure_future(anext(found))
    await _wait_for_calls(fake, 2)
    assert f'waitMs={store.WATCH_WAIT_MS}' in fake.calls[1][1]
    watching.cancel()
    await asyncio.wait((watching,))


async def test_watch_moves_to_a_changed_address_of_the_store(
    fake, app, client, operator_config
):
    """A watch waited for the old address, until its limit of up to 30 s."""
    fake.put('config', 'main', operator_config('0000000c'))
    found = client.configurations()
    assert (await _next_good(found)).version == 12
    waiting = asyncio.create_task(_next_good(found))
    await _wait_for_calls(fake, 2)
    moved = conftest.FakeStore()
    moved.put('config', 'main', operator_config('0000000d'))
    await moved.server.listen(conftest.HOST, 0)
    address = f'{conftest.HOST}:{moved.server.port}'
    values = {**app.cfg._values, ('platform', 'address'): address}
    calls = len(fake.calls)
    app.apply_settings(config.Settings(values))
    assert (await waiting).version == 13
    assert len(fake.calls) == calls
    await moved.server.stop(0.0)
