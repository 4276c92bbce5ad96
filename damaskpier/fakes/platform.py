"""Fake of the object API of the platform, with faults to inject.

The protocol, which :mod:`damaskpier.store.http` speaks:

``GET /v1/objects/KEY``
    200 with the value as body and the version as ``ETag``, or 404.
``PUT /v1/objects/KEY``
    200 with the version as ``ETag``; 413 for a value over 1 MB. With
    ``If-Match: "N"`` the object must have version N, where 0 stands for an
    object that does not exist; otherwise 412 with the current value as body
    and its version as ``ETag`` (0 and no body where there is none).
``DELETE /v1/objects/KEY``
    204, 404 or 412; ``If-Match`` as above.
``GET /v1/objects?prefix=P&limit=N``
    ``{"revision": R, "objects": [{"key", "version", "value"}]}`` by key, the
    values in base64.
``GET /v1/watch?prefix=P&after=R&wait=S``
    ``{"revision": R, "changes": [{"key", "version", "deleted"}]}`` as soon as
    there are changes after a revision, or without any after S seconds. Spaces
    are sent ahead of the answer while the call waits, so that a client can
    distinguish a waiting connection from an unresponsive one.

503 and 429 mean that the call had no effect. ``/admin/counters`` returns the
counters, ``/admin/reset`` sets them to zero, ``/admin/faults`` reads and
replaces the faults and ``/admin/silence`` stops all answers on the connections
that are open at that time.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import random
import time
from typing import Any
from typing import NamedTuple
import weakref

import msgspec
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from damaskpier.store import base
from damaskpier.store import memory

MAX_WRITES_PER_S = 300
MAX_READS_PER_S = 2000
MAX_WAIT_S = 20.0
# Bytes that a waiting watch gets in each interval; they are valid whitespace
# before the JSON document that follows.
KEEPALIVE_INTERVAL_S = 1.0
KEEPALIVE = b' ' * 8
MAX_BODY_BYTES = 4 * 1024 * 1024
WRITE_KINDS = ('put', 'delete')


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that are in effect.

    :param down: ``hang`` to answer no call, ``refuse`` to answer each with
        503, empty for no outage
    :param slow_ms: delay of each call in milliseconds
    :param lose_next: number of writes that take effect without an answer
    :param lose_fraction: part of all other writes, from 0 to 1, that take
        effect without an answer
    :param lose_mode: ``close`` to close the connection of a lost answer,
        ``hang`` to leave it open
    :param seed: seed of the random choice of lost answers
    """

    down: str = ''
    slow_ms: float = 0.0
    lose_next: int = 0
    lose_fraction: float = 0.0
    lose_mode: str = 'close'
    seed: int = 0


class Response(NamedTuple):
    """Response to a call.

    ``version`` is sent as ``ETag``, None for no such header.
    """

    status: int
    body: bytes = b''
    version: int | None = None


class _TokenBucket:
    """Token bucket whose capacity is the rate of one second.

    :param rate: limit in calls/s
    :param clock: returns the time in seconds
    """

    def __init__(self, rate: float, clock: Callable[[], float]) -> None:
        self._rate = rate
        self._clock = clock
        self._tokens = rate
        self._updated_at = clock()

    def try_acquire(self) -> bool:
        """Remove a token and return True, or return False if none is left."""
        now = self._clock()
        self._tokens = min(
            self._rate, self._tokens + (now - self._updated_at) * self._rate
        )
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Platform:
    """State, rate limits, faults and counters of a fake platform.

    :param max_writes: limit of puts and deletions, in calls/s
    :param max_reads: limit of the other calls, in calls/s
    :param clock: returns the time in seconds
    :param state: objects to start with, None for an empty store
    """

    def __init__(
        self,
        max_writes: float = MAX_WRITES_PER_S,
        max_reads: float = MAX_READS_PER_S,
        clock: Callable[[], float] = time.monotonic,
        state: memory.StoreState | None = None,
    ) -> None:
        self.state = state or memory.StoreState()
        self.faults = Faults()
        self.counters: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(0)
        self._writes = _TokenBucket(max_writes, clock)
        self._reads = _TokenBucket(max_reads, clock)
        self._streams: weakref.WeakSet[Any] = weakref.WeakSet()
        self._silent: weakref.WeakSet[Any] = weakref.WeakSet()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults that are in effect.

        :raises ValueError: if ``down`` or ``lose_mode`` has an unknown value
        """
        if faults.down not in ('', 'hang', 'refuse'):
            raise ValueError(
                f"down is {faults.down!r}, expected '', 'hang' or 'refuse'"
            )
        if faults.lose_mode not in ('close', 'hang'):
            raise ValueError(
                f'lose_mode is {faults.lose_mode!r}, '
                "expected 'close' or 'hang'"
            )
        self.faults = faults
        self._rng = random.Random(faults.seed)

    def silence_open_connections(self) -> None:
        """Stop all answers on the connections that are open now."""
        self._silent.update(self._streams)

    def record_connection(self, stream: iostream.IOStream) -> None:
        """Record a connection, so that it can be silenced later."""
        self._streams.add(stream)

    def is_silent(self, stream: iostream.IOStream) -> bool:
        """Return whether calls on a connection are not answered any more."""
        return stream in self._silent

    def admit(self, kind: str) -> bool:
        """Count a call and return whether it is within the rate limit.

        :param kind: ``get``, ``put``, ``delete``, ``list`` or ``watch``
        """
        self.counters[kind] += 1
        bucket = self._writes if kind in WRITE_KINDS else self._reads
        if bucket.try_acquire():
            return True
        self.counters['limited'] += 1
        return False

    def should_lose_answer(self) -> bool:
        """Return whether to lose the answer to a write that took effect."""
        if self.faults.lose_next > 0:
            self.faults.lose_next -= 1
            self.counters['lost'] += 1
            return True
        if self._rng.random() < self.faults.lose_fraction:
            self.counters['lost'] += 1
            return True
        return False


class _CallHandler(web.RequestHandler):
    """Counts a call and applies rate limits and faults to it."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform
        self._disconnected = asyncio.Event()
        self._stream = self.request.connection.stream

    def compute_etag(self) -> None:
        """Return None, because the version of the object is the ETag."""
        return None

    def on_connection_close(self) -> None:
        self._disconnected.set()

    async def handle_call(
        self, kind: str, operation: Callable[[], Any]
    ) -> None:
        """Send the response to a call, unless a fault prevents it.

        :param kind: kind of call, see :meth:`Platform.admit`
        :param operation: returns the response; not used for a watch
        """
        platform = self.platform
        platform.record_connection(self._stream)
        platform.counters['bytes_in'] += _request_size_bytes(self.request)
        is_admitted = platform.admit(kind)
        faults = platform.faults
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1000)
        if platform.is_silent(self._stream) or faults.down == 'hang':
            await self._wait_for_disconnect()
            return
        if faults.down == 'refuse':
            platform.counters['refused'] += 1
            self._send_response(Response(503))
        elif not is_admitted:
            self._send_response(Response(429))
        elif kind == 'watch':
            await self._watch()
        else:
            response = operation()
            if kind in WRITE_KINDS and response.status in (200, 204):
                if platform.should_lose_answer():
                    await self._drop_answer()
                    return
            self._send_response(response)

    async def _watch(self) -> None:
        raise NotImplementedError

    def _send_response(self, response: Response) -> None:
        self.set_status(response.status)
        if response.version is not None:
            self.set_header('ETag', f'"{response.version}"')
        if response.status == 204:
            self.clear_header('Content-Type')
        else:
            self.set_header('Content-Type', 'application/json')
        self.platform.counters['bytes_out'] += len(response.body) + sum(
            len(name) + len(value) + 4
            for name, value in self._headers.get_all()
        )
        self.finish(response.body if response.status != 204 else None)

    async def _wait_for_disconnect(self) -> None:
        self._auto_finish = False
        await self._disconnected.wait()

    async def _drop_answer(self) -> None:
        if self.platform.faults.lose_mode == 'close':
            self._auto_finish = False
            self._stream.close()
            return
        await self._wait_for_disconnect()


class _ObjectHandler(_CallHandler):
    """Reads, writes and deletes one object."""

    async def get(self, key: str) -> None:
        await self.handle_call('get', lambda: self._get(key))

    async def put(self, key: str) -> None:
        await self.handle_call('put', lambda: self._put(key))

    async def delete(self, key: str) -> None:
        await self.handle_call('delete', lambda: self._delete(key))

    def _get(self, key: str) -> Response:
        stored = self.platform.state.get(key)
        if stored is None:
            return Response(404)
        return Response(200, stored.value, stored.version)

    def _put(self, key: str) -> Response:
        value = self.request.body
        if len(value) > base.MAX_VALUE_BYTES:
            return Response(413)
        outcome = self.platform.state.put(key, value, self._if_match_version())
        if isinstance(outcome, memory.Conflict):
            return self._conflict(outcome)
        return Response(200, b'', outcome.version)

    def _delete(self, key: str) -> Response:
        outcome = self.platform.state.delete(key, self._if_match_version())
        if isinstance(outcome, memory.Conflict):
            return self._conflict(outcome)
        return Response(204 if outcome else 404)

    def _conflict(self, outcome: memory.Conflict) -> Response:
        self.platform.counters['conflicts'] += 1
        if outcome.current is None:
            return Response(412, b'', 0)
        return Response(412, outcome.current.value, outcome.current.version)

    def _if_match_version(self) -> int | None:
        text = self.request.headers.get('If-Match')
        if text is None:
            return None
        try:
            return int(text.strip('"'))
        except ValueError:
            raise web.HTTPError(400, 'If-Match is not a version') from None


class _ListHandler(_CallHandler):
    """Lists objects by prefix."""

    async def get(self) -> None:
        await self.handle_call('list', self._list)

    def _list(self) -> Response:
        prefix = self.get_query_argument('prefix', '')
        limit = _parse_number(self.get_query_argument('limit', '1000'))
        state = self.platform.state
        objects = [
            {'key': item.key, 'version': item.version, 'value': item.value}
            for item in state.list(prefix, int(limit))
        ]
        body = {'revision': state.revision, 'objects': objects}
        return Response(200, msgspec.json.encode(body))


class _WatchHandler(_CallHandler):
    """Waits for changes of keys with a prefix."""

    async def get(self) -> None:
        await self.handle_call('watch', lambda: None)

    async def _watch(self) -> None:
        prefix = self.get_query_argument('prefix', '')
        after = int(_parse_number(self.get_query_argument('after', '0')))
        wait_s = _parse_number(
            self.get_query_argument('wait', str(MAX_WAIT_S))
        )
        state = self.platform.state
        # A client that has a revision from before a restart of the fake gets
        # all changes.
        if after > state.revision:
            after = 0
        loop = asyncio.get_running_loop()
        end = loop.time() + min(wait_s, MAX_WAIT_S)
        self.set_header('Content-Type', 'application/json')
        changes = state.changes(prefix, after)
        # Changes of other keys end the wait too and must not delay the next
        # keepalive.
        next_keepalive = loop.time() + KEEPALIVE_INTERVAL_S
        while (
            not changes
            and loop.time() < end
            and not self._disconnected.is_set()
        ):
            await _wait_for_change(
                state, min(next_keepalive, end) - loop.time()
            )
            if loop.time() >= next_keepalive:
                await self._send_chunk(KEEPALIVE, is_last=False)
                next_keepalive = loop.time() + KEEPALIVE_INTERVAL_S
            changes = state.changes(prefix, after)
        body = {
            'revision': state.revision,
            'changes': [change._asdict() for change in changes],
        }
        await self._send_chunk(msgspec.json.encode(body), is_last=True)

    async def _send_chunk(self, data: bytes, is_last: bool) -> None:
        if self.platform.is_silent(self._stream) or (
            self.platform.faults.down == 'hang'
        ):
            await self._wait_for_disconnect()
        if self._disconnected.is_set():
            self._auto_finish = False
            return
        self.platform.counters['bytes_out'] += len(data)
        self.write(data)
        try:
            await (self.finish() if is_last else self.flush())
        except iostream.StreamClosedError:
            self._disconnected.set()


class _CountersHandler(web.RequestHandler):
    """Serves the counters; a POST sets them to zero."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def get(self) -> None:
        self.write(dict(self.platform.counters))

    def post(self) -> None:
        self.platform.counters.clear()
        self.write({})


class _FaultsHandler(web.RequestHandler):
    """Reads and replaces the faults."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def get(self) -> None:
        self.write(msgspec.to_builtins(self.platform.faults))

    def post(self) -> None:
        try:
            faults = msgspec.json.decode(self.request.body, type=Faults)
            self.platform.set_faults(faults)
        except ValueError as exc:
            raise web.HTTPError(400, str(exc)) from exc
        self.write(msgspec.to_builtins(faults))


class _SilenceHandler(web.RequestHandler):
    """Stops all answers on the connections that are open now."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def post(self) -> None:
        self.platform.silence_open_connections()
        self.write({})


class RunningPlatform(NamedTuple):
    """Fake platform that accepts connections."""

    platform: Platform
    server: httpserver.HTTPServer
    port: int

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        self.server.stop()
        await self.server.close_all_connections()


def make_platform_app(platform: Platform) -> web.Application:
    """Return the web application that serves a fake platform."""
    args = {'platform': platform}
    return web.Application(
        [
            (r'/v1/objects', _ListHandler, args),
            (r'/v1/objects/(.+)', _ObjectHandler, args),
            (r'/v1/watch', _WatchHandler, args),
            (r'/admin/counters', _CountersHandler, args),
            (r'/admin/reset', _CountersHandler, args),
            (r'/admin/faults', _FaultsHandler, args),
            (r'/admin/silence', _SilenceHandler, args),
        ]
    )


def start_platform(
    platform: Platform, port: int = 0, host: str = '127.0.0.1'
) -> RunningPlatform:
    """Serve a fake platform.

    :param port: TCP port to listen on, 0 to let the kernel choose
    """
    sockets = netutil.bind_sockets(port, host)
    server = httpserver.HTTPServer(
        make_platform_app(platform), max_body_size=MAX_BODY_BYTES
    )
    server.add_sockets(sockets)
    return RunningPlatform(platform, server, sockets[0].getsockname()[1])


async def _wait_for_change(state: memory.StoreState, timeout_s: float) -> bool:
    try:
        await asyncio.wait_for(state.wait(), timeout_s)
    except asyncio.TimeoutError:
        return False
    return True


def _request_size_bytes(request: Any) -> int:
    headers = sum(
        len(name) + len(value) + 4 for name, value in request.headers.get_all()
    )
    start_line = len(request.method) + len(request.uri) + 12
    return start_line + headers + len(request.body)


def _parse_number(text: str) -> float:
    try:
        number = float(text)
    except ValueError:
        raise web.HTTPError(400, f'{text!r} is not a number') from None
    if number < 0:
        raise web.HTTPError(400, f'{text} is below 0')
    return number
