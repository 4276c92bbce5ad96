"""Client of the platform's store; service ``store``."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import logging
import math
import random
import time
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING
from urllib import parse

import msgspec

from damaskpier.balancing import evacuation
from damaskpier import errors
from damaskpier.fleet import model
from damaskpier.fleet import store
from damaskpier.fleet import store_generation
from damaskpier.fleet import store_watch
from damaskpier.http1 import client
from damaskpier.http1 import messages
from damaskpier.platform import entry_lists
from damaskpier.platform import objects
from damaskpier.teams import contact

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier import config

LOG = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.5
# Limit of all pages of a list. A node would keep pages without end until it
# has no memory left.
MAX_LIST_BYTES = 16 * 1024 * 1024
# A read of all objects ends after CALL_TIMEOUT_S without a byte, or after this
# time. Over a link that is full, a configuration takes longer than other
# calls, and a read that is given up starts again with the first byte.
READ_TIMEOUT_S = 10.0
# The same for a read that takes the place of a watch. A read that is given up
# while the store is slow would bring no change, where a watch would still
# bring it.
BURST_SILENCE_TIMEOUT_S = 5.0
# Longest wait that the store accepts in a watch call.
WATCH_WAIT_MS = 30_000
WATCH_TIMEOUT_MARGIN_S = 2.0
# Rises by one each time the store comes back from an older copy.
GENERATION_HEADER = 'Store-Era'
# Longest number that is read from a header.
MAX_DIGITS = 15
# Length of the part of a response that is logged if it can not be read.
EXCERPT_BYTES = 200

# Statuses with which the store refuses a call without effect.
_CODE_BY_STATUS = {
    429: errors.PLATFORM_LIMITED,
    503: errors.PLATFORM_UNAVAILABLE,
}


# Exceptions of the decoders for an object of another writer.
_CONVERT_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


class _Response(NamedTuple):
    """Decoded response.

    ``encoded`` is the body as it was received; ``transfer_s`` is the time from
    the first to the last byte of the response in seconds. ``generation`` is
    that of the store; 0 if it states none.
    """

    status: int
    body: dict[str, Any]
    encoded: bytes
    transfer_s: float
    generation: int

    @property
    def size(self) -> int:
        """Return the length of the encoded body in bytes."""
        return len(self.encoded)

    @property
    def excerpt(self) -> str:
        """Return the beginning of the body, for log lines.

        Nothing of a body with keys is returned, wherever they are in it.
        """
        if objects.may_contain_keys(self.encoded):
            return f'{self.size} bytes with keys of teams'
        return self.encoded[:EXCERPT_BYTES].decode('utf-8', 'replace')


class PlatformStore(store.FleetStore):
    """Client of the platform's store for its HTTP API.

    :param rng: source of the backoff's jitter
    """

    def __init__(
        self,
        app: application.Application,
        rng: random.Random | None = None,
    ) -> None:
        self._app = app
        self._rng = rng or random.Random()
        self._pool = _make_pool(app.cfg)
        # Done at the next restore of the store.
        self._restored: asyncio.Future[None] | None = None
        self._generations = store_generation.GenerationTracker(
            self._store_restored
        )
        app.events.connect('settings-changed', self._settings_changed)

    async def stop(self) -> None:
        """Close the connections."""
        self._pool.close_idle()

    def _settings_changed(self, before: config.Settings) -> None:
        cfg = self._app.cfg
        if cfg['platform', 'address'] != before['platform', 'address']:
            pool, self._pool = self._pool, _make_pool(cfg)
            # A watch would wait for the old address until its limit.
            pool.abandon('the store has another address')

    async def configurations(
        self,
    ) -> AsyncIterator[model.Configuration | errors.Refusal]:
        """Yield the current configuration and then each change."""
        decoder = objects.ConfigurationDecoder()
        async for found in self._watch_kind(objects.CONFIG_KIND):
            if isinstance(found, errors.Refusal):
                yield found
                continue
            for obj in found:
                if objects.object_name(obj) == objects.CONFIG_NAME:
                    converted = _convert(decoder.decode, obj)
                    if converted is not None:
                        yield converted

    async def orders(
        self,
    ) -> AsyncIterator[list[model.Order] | errors.Refusal]:
        """Yield the current orders and then those that change."""
        async for found in self._watch_kind(objects.ORDER_KIND):
            if isinstance(found, errors.Refusal):
                yield found
                continue
            orders = [
                _convert(objects.order_from_object, obj) for obj in found
            ]
            yield [order for order in orders if order is not None]

    async def evacuations(
        self,
    ) -> AsyncIterator[evacuation.State | errors.Refusal]:
        """Yield the evacuated failure domains and then each change."""
        backoff_s = store_watch.INITIAL_BACKOFF_S
        state: evacuation.State | None = None
        while True:
            if state is None:
                found = await self._list_evacuations()
            else:
                found = await self._watch_evacuations(state)
            if isinstance(found, errors.Refusal):
                state = None
                if found.code is errors.PLATFORM_HISTORY_LOST:
                    continue
                yield found
                await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, store_watch.MAX_BACKOFF_S)
                continue
            backoff_s = store_watch.INITIAL_BACKOFF_S
            if state is None or found.domains != state.domains:
                yield found
            state = found

    async def _list_evacuations(self) -> evacuation.State | errors.Refusal:
        found = await self.list_objects(objects.EVACUATION_KIND)
        if isinstance(found, errors.Refusal):
            return found
        names = frozenset(map(objects.object_name, found.items))
        return evacuation.State(found.generation, found.revision, names)

    async def _watch_evacuations(
        self, state: evacuation.State
    ) -> evacuation.State | errors.Refusal:
        found = await self._watch_events(
            objects.EVACUATION_KIND, state.revision
        )
        if isinstance(found, errors.Refusal):
            return found
        if found.generation != state.era:
            return _history_lost(objects.EVACUATION_KIND)
        for event in found.items:
            name = _name_of(event.get('object'))
            if name is None:
                # It may be a removal, which the list shows.
                return await self._list_evacuations()
            state = state.after_change(
                found.revision, name, is_evacuated=not event.get('deleted')
            )
        return state._replace(revision=found.revision)

    async def write_phase(
        self, order: model.Order, phase: model.Phase
    ) -> model.Order | errors.Refusal:
        """Write the phase of an order unless the order has changed.

        :returns: the order as the store holds it afterwards
        """
        answer = await self._call(
            'PUT',
            f'{_object_path(objects.ORDER_KIND, order.service)}/status',
            {
                'metadata': {'name': order.service, 'rev': order.revision},
                'status': objects.status_from_phase(order, phase),
            },
        )
        if isinstance(answer, errors.Refusal):
            return answer
        if answer.status not in (200, 409):
            return _unexpected_status(answer)
        converted = _convert(objects.order_from_object, _object_in(answer))
        if converted is None:
            return _unexpected_status(answer)
        return converted

    async def register(
        self, node: model.NodeAddress
    ) -> model.DirectoryEntry | errors.Refusal:
        """Create a node's entry in the directory or replace its address.

        :returns: the entry with the departures that the store holds
        """
        spec = objects.spec_from_node(node)
        answer = await self._call(
            'POST',
            _object_path(objects.NODE_KIND),
            {'metadata': {'name': node.node_id}, 'spec': spec},
        )
        if isinstance(answer, errors.Refusal):
            return answer
        if answer.status == 409:
            if _object_in(answer).get('spec') == spec:
                return objects.entry_from_object(node, _object_in(answer))
            answer = await self._call(
                'PUT',
                _object_path(objects.NODE_KIND, node.node_id),
                {'metadata': {'name': node.node_id}, 'spec': spec},
            )
            if isinstance(answer, errors.Refusal):
                return answer
        if answer.status not in (200, 201):
            return _unexpected_status(answer)
        return objects.entry_from_object(node, _object_in(answer))

    async def write_departures(
        self, entry: model.DirectoryEntry, timeout_s: float
    ) -> model.DirectoryEntry | errors.Refusal:
        """Write the departures of an entry unless the entry has changed.

        :returns: the entry as the store holds it afterwards
        """
        name = entry.node.node_id
        answer = await self._call(
            'PUT',
            f'{_object_path(objects.NODE_KIND, name)}/status',
            {
                'metadata': {'name': name, 'rev': entry.revision},
                'status': objects.status_from_departures(entry.departures),
            },
            timeout_s,
        )
        if isinstance(answer, errors.Refusal):
            return answer
        if answer.status == 404:
            return await self.register(entry.node)
        if answer.status not in (200, 409):
            return _unexpected_status(answer)
        return objects.entry_from_object(entry.node, _object_in(answer))

    async def directory(self) -> list[model.NodeAddress] | errors.Refusal:
        """Return all entries of the directory."""
        found = await self.list_objects(objects.NODE_KIND)
        if isinstance(found, errors.Refusal):
            return found
        nodes = [
            _convert(objects.node_from_object, obj) for obj in found.items
        ]
        return [node for node in nodes if node is not None]

    def _watch_kind(
        self, kind: str
    ) -> AsyncIterator[list[objects.Object] | errors.Refusal]:
        reader = _KindReader(self, kind)
        # Orders are small, and each one is soon followed by the write of its
        # status, so that a read would cost a call and save nothing.
        reader.reads_bursts = kind == objects.CONFIG_KIND
        return store_watch.changes(
            reader,
            lambda: self._app.cfg.number('fleet', 'apply'),
            self._rng,
        )

    async def list_objects(
        self, kind: str, silence_timeout_s: float | None = None
    ) -> store_watch.Page | errors.Refusal:
        """Return all objects of a kind, reading page by page.

        :param silence_timeout_s: time without a byte after which a call
            fails, ``CALL_TIMEOUT_S`` by default
        """
        if silence_timeout_s is None:
            silence_timeout_s = CALL_TIMEOUT_S
        items: list[objects.Object] = []
        after = ''
        size = 0
        generation = None
        # That of the first page: later pages do not show what changes in it.
        first_revision = None
        while True:
            query = '?' + parse.urlencode({'after': after}) if after else ''
            answer = await self._call(
                'GET',
                _object_path(kind) + query,
                timeout_s=READ_TIMEOUT_S,
                silence_timeout_s=silence_timeout_s,
            )
            if isinstance(answer, errors.Refusal):
                return answer
            if answer.status != 200:
                return _unexpected_status(answer)
            revision = _revision_in(answer)
            entries = answer.body.get('items') or []
            if revision is None or not isinstance(entries, list):
                return _unreadable(answer)
            if generation not in (None, answer.generation):
                return _history_lost(kind)
            generation = answer.generation
            if first_revision is None:
                first_revision = revision
            page = _keep_named(entries)
            self._record_delivery(kind, 'list', len(page), answer)
            items += page
            if not answer.body.get('hasMore') or not page:
                if entries and not page and answer.body.get('hasMore'):
                    # There is no name to continue after.
                    return _unreadable(answer)
                return store_watch.Page(
                    items, first_revision, generation=generation
                )
            size += answer.size
            last_name = objects.object_name(page[-1])
            if last_name == after or size > MAX_LIST_BYTES:
                return errors.Refusal(
                    errors.PLATFORM_UNKNOWN,
                    f'the list of {kind} does not end: {size} bytes, last '
                    f'name {last_name!r} after {after!r}',
                )
            after = last_name

    async def watch_objects(
        self, kind: str, revision: int
    ) -> store_watch.Page | errors.Refusal:
        """Wait for objects of a kind that change after a revision.

        :returns: the changed objects without deleted ones
        """
        found = await self._watch_events(kind, revision)
        if isinstance(found, errors.Refusal):
            return found
        changed = [
            event.get('object')
            for event in found.items
            if not event.get('deleted')
        ]
        return found._replace(items=_keep_named(changed))

    async def _watch_events(
        self, kind: str, revision: int
    ) -> store_watch.Page | errors.Refusal:
        """Wait for changes after a revision and return their events.

        A restore of the store ends the wait: the revision may be assigned to
        another change by then.
        """
        watching = asyncio.ensure_future(self._call_watch(kind, revision))
        restored = asyncio.ensure_future(self._wait_restored())
        try:
            await asyncio.wait(
                (watching, restored), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            restored.cancel()
            watching.cancel()
        if not watching.done():
            return _history_lost(kind)
        return watching.result()

    async def _call_watch(
        self, kind: str, revision: int
    ) -> store_watch.Page | errors.Refusal:
        wait_ms = WATCH_WAIT_MS
        if kind == objects.CONFIG_KIND:
            wait_ms = min(wait_ms, _max_config_wait_ms(self._app.cfg))
        query = parse.urlencode({'watch': revision, 'waitMs': wait_ms})
        answer = await self._call(
            'GET',
            f'{_object_path(kind)}?{query}',
            timeout_s=wait_ms / 1000 + WATCH_TIMEOUT_MARGIN_S,
        )
        if isinstance(answer, errors.Refusal):
            return answer
        if answer.status == 410:
            return _history_lost(kind)
        if answer.status != 200:
            return _unexpected_status(answer)
        revision = _revision_in(answer)
        events = answer.body.get('events') or []
        if revision is None or not isinstance(events, list):
            return _unreadable(answer)
        self._record_delivery(kind, 'watch', len(events), answer)
        return store_watch.Page(
            [event for event in events if isinstance(event, dict)],
            revision,
            answer.transfer_s,
            answer.generation,
        )

    async def _wait_restored(self) -> None:
        """Wait until the store comes back from an older copy."""
        if self._restored is None:
            self._restored = asyncio.get_running_loop().create_future()
        await asyncio.shield(self._restored)

    def _store_restored(self) -> None:
        restored, self._restored = self._restored, None
        if restored is not None:
            restored.set_result(None)
        self._app.events.emit('store-restored')

    def record_answer(self, kind: str, asked_at: float) -> None:
        """Tell others that the store answered for a kind of objects."""
        if kind == objects.CONFIG_KIND:
            self._app.events.emit('store-answered', asked_at)

    def _record_delivery(
        self, kind: str, call: str, count: int, answer: _Response
    ) -> None:
        """Log and count a response that contains configurations."""
        if kind != objects.CONFIG_KIND or not count:
            return
        metrics = self._app.service('metrics')
        metrics.increment('store_configurations_received', count, call=call)
        metrics.observe('store_configuration_transfer', answer.transfer_s)
        LOG.info(
            'platform: %s delivered %d configurations in %d bytes, '
            'received in %.0f ms',
            call,
            count,
            answer.size,
            answer.transfer_s * 1000,
        )

    async def _call(
        self,
        method: str,
        target: str,
        content: objects.Object | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        silence_timeout_s: float = 0.0,
    ) -> _Response | errors.Refusal:
        host, port = self._pool.address
        fields: messages.Headers = (('Host', f'{host}:{port}'),)
        body = b''
        if content is not None:
            body = msgspec.json.encode(content)
            fields += (('Content-Type', 'application/json'),)
        metrics = self._app.service('metrics')
        metrics.increment('store_calls', method=method)
        now = asyncio.get_running_loop().time()
        outcome = await self._pool.request(
            messages.encode_request(method, target, fields, body),
            client.Options(
                deadline=now + timeout_s,
                max_idle_s=5.0,
                silence_timeout_s=silence_timeout_s,
            ),
        )
        if isinstance(outcome, messages.Failure):
            code = errors.PLATFORM_UNAVAILABLE
            if outcome.sent and method != 'GET':
                code = errors.PLATFORM_UNKNOWN
            return errors.Refusal(code, f'{method} {target}: {outcome.reason}')
        metrics.increment('store_bytes_received', len(outcome.body))
        generation = _generation_in(outcome)
        if not self._generations.observe(generation):
            # What it says may be lost by now.
            code = errors.PLATFORM_UNAVAILABLE
            if method != 'GET':
                code = errors.PLATFORM_UNKNOWN
            return errors.Refusal(
                code, f'{method} {target}: an answer from before a restore'
            )
        if outcome.status in _CODE_BY_STATUS:
            return errors.Refusal(
                _CODE_BY_STATUS[outcome.status], f'{method} {target}'
            )
        try:
            decoded = entry_lists.decode_response(outcome.body)
        except entry_lists.DECODE_ERRORS as exc:
            return errors.Refusal(
                errors.PLATFORM_UNKNOWN, f'{method} {target}: {exc}'
            )
        return _Response(
            outcome.status,
            decoded,
            outcome.body,
            outcome.transfer_s,
            generation or 0,
        )


class _KindReader(store_watch.ObjectReader):
    """Reads and watches the objects of one kind in a store."""

    def __init__(self, store_: PlatformStore, kind: str) -> None:
        self._store = store_
        self._kind = kind
        # Generation of the store in which the objects were read.
        self._generation = 0

    async def read(
        self, changed_after: int = 0
    ) -> store_watch.Page | errors.Refusal:
        """Return the objects that have changed after a revision."""
        asked_at = time.monotonic()
        found = await self._store.list_objects(
            self._kind, BURST_SILENCE_TIMEOUT_S if changed_after else None
        )
        if isinstance(found, errors.Refusal):
            return found
        is_restored = found.generation != self._generation
        self._generation = found.generation
        self._store.record_answer(self._kind, asked_at)
        if is_restored or not changed_after:
            return found
        changed = [
            obj for obj in found.items if _has_changed(obj, changed_after)
        ]
        return found._replace(items=changed)

    async def watch(self, revision: int) -> store_watch.Page | errors.Refusal:
        """Wait for objects that change after a revision and return them."""
        asked_at = time.monotonic()
        found = await self._store.watch_objects(self._kind, revision)
        if isinstance(found, errors.Refusal):
            return found
        if found.generation != self._generation:
            return _history_lost(self._kind)
        self._store.record_answer(self._kind, asked_at)
        return found


def _make_pool(cfg: config.Settings) -> client.Pool:
    address = cfg.address('platform', 'address')
    return client.Pool(address.host, address.port, max_idle=2)


def _max_config_wait_ms(cfg: config.Settings) -> float:
    """Return how long a watch of the configuration may wait for a change.

    Where keys depend on contact with the store, watches have to end often,
    because one that waits shows nothing.
    """
    if not cfg.flag('fleet', 'strict_revoke'):
        return math.inf
    wait_s = contact.WATCH_WAIT_RATIO * cfg.number('fleet', 'revoke')
    return max(1, int(wait_s * 1000))


def _object_path(kind: str, name: str = '') -> str:
    path = f'/objects/{kind}'
    return f'{path}/{parse.quote(name, safe="")}' if name else path


def _has_changed(obj: objects.Object, changed_after: int) -> bool:
    """Return whether an object has changed after a revision, or may have."""
    try:
        return objects.object_revision(obj) > changed_after
    except _CONVERT_ERRORS:
        return True


def _generation_in(response: messages.Response) -> int | None:
    """Return the generation of the store in an answer; None without one."""
    text = response.header(GENERATION_HEADER.lower())
    if not text.isascii() or not text.isdecimal() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def _history_lost(kind: str) -> errors.Refusal:
    return errors.Refusal(
        errors.PLATFORM_HISTORY_LOST,
        f'the store no longer has the changes of {kind}',
    )


def _object_in(answer: _Response) -> objects.Object:
    """Return the object in a response, with or without a wrapper."""
    found = answer.body.get('object')
    return found if isinstance(found, dict) else answer.body


def _revision_in(answer: _Response) -> int | None:
    """Return the store's revision; None if it can not be read."""
    try:
        return int(answer.body['currentRev'])
    except (KeyError, OverflowError, TypeError, ValueError):
        return None


def _keep_named(found: list[Any]) -> list[objects.Object]:
    """Return the objects among the entries of an answer."""
    named = [obj for obj in found if _name_of(obj) is not None]
    if len(named) < len(found):
        LOG.error(
            'platform: skipped %d of %d entries, which have no name',
            len(found) - len(named),
            len(found),
        )
    return named


def _name_of(obj: Any) -> str | None:
    """Return the name of what may be an object; None if it has none."""
    try:
        name = objects.object_name(obj)
    except (KeyError, TypeError):
        return None
    return name if isinstance(name, str) else None


def _convert(
    decode: Callable[[objects.Object], Any], obj: objects.Object
) -> Any | None:
    try:
        return decode(obj)
    except _CONVERT_ERRORS as exc:
        # The object may be too deeply nested to be written out.
        LOG.error(
            'platform: invalid object %.200r: %.200r',
            _name_of(obj),
            exc,
        )
        return None


def _unreadable(answer: _Response) -> errors.Refusal:
    return errors.Refusal(
        errors.PLATFORM_UNKNOWN,
        f'the answer can not be read: {answer.excerpt}',
    )


def _unexpected_status(answer: _Response) -> errors.Refusal:
    return errors.Refusal(
        errors.PLATFORM_UNKNOWN,
        f'unexpected status {answer.status}: {answer.excerpt}',
    )


def setup(app: application.Application) -> None:
    """Register the service ``store``."""
    app.add_service('store', PlatformStore(app), after=('metrics',))
