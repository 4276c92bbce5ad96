"""Stand-in for the object API of the platform, with faults on command.

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
    tell a waiting connection from a silent one.

503 and 429 mean that the call had no effect. ``/admin/counters`` returns the
counters, ``/admin/reset`` sets them to zero and ``/admin/faults`` reads and
changes the faults.
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
# Sent in each interval on a waiting watch; see the module's docstring.
KEEPALIVE_INTERVAL_S = 1.0
KEEPALIVE = b' ' * 8
MAX_BODY_BYTES = 4 * 1024 * 1024
WRITES = ('put', 'delete')


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that are in effect.

    ``down`` is empty, ``hang`` (no call is answered) or ``refuse`` (each
    is answered with 503). ``lose_next`` writes, and ``lose_fraction`` of all
    others, take effect but are not answered; ``lose_mode`` tells whether
    the connection is closed (``close``) or stays open (``hang``).
    """

    down: str = ''
    slow_ms: float = 0.0
    lose_next: int = 0
    lose_fraction: float = 0.0
    lose_mode: str = 'close'
    seed: int = 0


class Answer(NamedTuple):
    """Answer to a call."""

    status: int
    body: bytes = b''
    version: int | None = None


class _Bucket:
    """Token bucket that holds the calls of one second."""

    def __init__(self, rate: float, clock: Callable[[], float]) -> None:
        self._rate = rate
        self._clock = clock
        self._tokens = rate
        self._at = clock()

    def take(self) -> bool:
        """Take a token; false if there is none."""
        now = self._clock()
        self._tokens = min(
            self._rate, self._tokens + (now - self._at) * self._rate
        )
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Platform:
    """State, limits, faults and counters of a stand-in.

    :param max_writes: limit of puts and deletions, in calls/s
    :param max_reads: limit of the other calls, in calls/s
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
        self._writes = _Bucket(max_writes, clock)
        self._reads = _Bucket(max_reads, clock)
        self._streams: weakref.WeakSet[Any] = weakref.WeakSet()
        self._silent: weakref.WeakSet[Any] = weakref.WeakSet()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults that are in effect."""
        if faults.down not in ('', 'hang', 'refuse'):
            raise ValueError(f'unknown kind of outage {faults.down!r}')
        if faults.lose_mode not in ('close', 'hang'):
            raise ValueError(f'unknown kind of loss {faults.lose_mode!r}')
        self.faults = faults
        self._rng = random.Random(faults.seed)

    def silence_open_connections(self) -> None:
        """Stop answering on the connections that are open now."""
        self._silent.update(self._streams)

    def opened(self, stream: iostream.IOStream) -> None:
        """Note that a connection is in use."""
        self._streams.add(stream)

    def is_silent(self, stream: iostream.IOStream) -> bool:
        """Tell whether a connection gets no answers any more."""
        return stream in self._silent

    def admit(self, kind: str) -> bool:
        """Count a call; false if it is over the rate limit."""
        self.counters[kind] += 1
        bucket = self._writes if kind in WRITES else self._reads
        if bucket.take():
            return True
        self.counters['limited'] += 1
        return False

    def loses_answer(self) -> bool:
        """Tell whether the answer to a write that took effect is lost."""
        if self.faults.lose_next > 0:
            self.faults.lose_next -= 1
            self.counters['lost'] += 1
            return True
        if self._rng.random() < self.faults.lose_fraction:
            self.counters['lost'] += 1
            return True
        return False


class _CallHandler(web.RequestHandler):
    """Applies limits and faults to a call, and counts it."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform
        self._gone = asyncio.Event()
        self._stream = self.request.connection.stream

    def compute_etag(self) -> None:
        """Return no tag; the version of the object is the tag."""
        return None

    def on_connection_close(self) -> None:
        self._gone.set()

    async def run(self, kind: str, work: Callable[[], Any]) -> None:
        """Answer a call of a kind with the outcome of a function."""
        platform = self.platform
        platform.opened(self._stream)
        platform.counters['bytes_in'] += _request_size(self.request)
        is_admitted = platform.admit(kind)
        faults = platform.faults
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1000)
        if platform.is_silent(self._stream) or faults.down == 'hang':
            await self._never_answer()
            return
        if faults.down == 'refuse':
            platform.counters['refused'] += 1
            self._answer(Answer(503))
        elif not is_admitted:
            self._answer(Answer(429))
        elif kind == 'watch':
            await self._watch()
        else:
            answer = work()
            if kind in WRITES and answer.status in (200, 204):
                if platform.loses_answer():
                    await self._lose_answer()
                    return
            self._answer(answer)

    async def _watch(self) -> None:
        raise NotImplementedError

    def _answer(self, answer: Answer) -> None:
        self.set_status(answer.status)
        if answer.version is not None:
            self.set_header('ETag', f'"{answer.version}"')
        if answer.status == 204:
            self.clear_header('Content-Type')
        else:
            self.set_header('Content-Type', 'application/json')
        self.platform.counters['bytes_out'] += len(answer.body) + sum(
            len(name) + len(value) + 4
            for name, value in self._headers.get_all()
        )
        self.finish(answer.body if answer.status != 204 else None)

    async def _never_answer(self) -> None:
        self._auto_finish = False
        await self._gone.wait()

    async def _lose_answer(self) -> None:
        if self.platform.faults.lose_mode == 'close':
            self._auto_finish = False
            self._stream.close()
            return
        await self._never_answer()


class _ObjectHandler(_CallHandler):
    """Serves one object."""

    async def get(self, key: str) -> None:
        await self.run('get', lambda: self._get(key))

    async def put(self, key: str) -> None:
        await self.run('put', lambda: self._put(key))

    async def delete(self, key: str) -> None:
        await self.run('delete', lambda: self._delete(key))

    def _get(self, key: str) -> Answer:
        stored = self.platform.state.get(key)
        if stored is None:
            return Answer(404)
        return Answer(200, stored.value, stored.version)

    def _put(self, key: str) -> Answer:
        value = self.request.body
        if len(value) > base.MAX_VALUE_BYTES:
            return Answer(413)
        outcome = self.platform.state.put(key, value, self._condition())
        if isinstance(outcome, memory.Conflict):
            return self._conflict(outcome)
        return Answer(200, b'', outcome.version)

    def _delete(self, key: str) -> Answer:
        outcome = self.platform.state.delete(key, self._condition())
        if isinstance(outcome, memory.Conflict):
            return self._conflict(outcome)
        return Answer(204 if outcome else 404)

    def _conflict(self, outcome: memory.Conflict) -> Answer:
        self.platform.counters['conflicts'] += 1
        if outcome.current is None:
            return Answer(412, b'', 0)
        return Answer(412, outcome.current.value, outcome.current.version)

    def _condition(self) -> int | None:
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
        await self.run('list', self._list)

    def _list(self) -> Answer:
        prefix = self.get_query_argument('prefix', '')
        limit = _number(self.get_query_argument('limit', '1000'))
        state = self.platform.state
        objects = [
            {'key': item.key, 'version': item.version, 'value': item.value}
            for item in state.list(prefix, int(limit))
        ]
        body = {'revision': state.revision, 'objects': objects}
        return Answer(200, msgspec.json.encode(body))


class _WatchHandler(_CallHandler):
    """Waits for changes of keys with a prefix."""

    async def get(self) -> None:
        await self.run('watch', lambda: None)

    async def _watch(self) -> None:
        prefix = self.get_query_argument('prefix', '')
        after = int(_number(self.get_query_argument('after', '0')))
        wait_s = _number(self.get_query_argument('wait', str(MAX_WAIT_S)))
        state = self.platform.state
        # A client that knows a revision from another life of the stand-in
        # gets the whole state.
        if after > state.revision:
            after = 0
        loop = asyncio.get_running_loop()
        end = loop.time() + min(wait_s, MAX_WAIT_S)
        self.set_header('Content-Type', 'application/json')
        changes = state.changes(prefix, after)
        # Changes of other keys wake the watch as well and must not put its
        # next sign of life off.
        due = loop.time() + KEEPALIVE_INTERVAL_S
        while not changes and loop.time() < end and not self._gone.is_set():
            await _changed(state, min(due, end) - loop.time())
            if loop.time() >= due:
                await self._send(KEEPALIVE, is_last=False)
                due = loop.time() + KEEPALIVE_INTERVAL_S
            changes = state.changes(prefix, after)
        body = {
            'revision': state.revision,
            'changes': [change._asdict() for change in changes],
        }
        await self._send(msgspec.json.encode(body), is_last=True)

    async def _send(self, data: bytes, is_last: bool) -> None:
        if self.platform.is_silent(self._stream) or (
            self.platform.faults.down == 'hang'
        ):
            await self._never_answer()
        if self._gone.is_set():
            self._auto_finish = False
            return
        self.platform.counters['bytes_out'] += len(data)
        self.write(data)
        try:
            await (self.finish() if is_last else self.flush())
        except iostream.StreamClosedError:
            self._gone.set()


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
    """Makes the connections that are open now silent."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def post(self) -> None:
        self.platform.silence_open_connections()
        self.write({})


class RunningPlatform(NamedTuple):
    """Stand-in that accepts connections."""

    platform: Platform
    server: httpserver.HTTPServer
    port: int

    async def stop(self) -> None:
        """Close the port and all connections."""
        self.server.stop()
        await self.server.close_all_connections()


def make_platform_app(platform: Platform) -> web.Application:
    """Return the web application that serves a stand-in."""
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
    """Serve a stand-in on a port; 0 lets the kernel choose."""
    sockets = netutil.bind_sockets(port, host)
    server = httpserver.HTTPServer(
        make_platform_app(platform), max_body_size=MAX_BODY_BYTES
    )
    server.add_sockets(sockets)
    return RunningPlatform(platform, server, sockets[0].getsockname()[1])


async def _changed(state: memory.StoreState, timeout_s: float) -> bool:
    try:
        await asyncio.wait_for(state.wait(), timeout_s)
    except asyncio.TimeoutError:
        return False
    return True


def _request_size(request: Any) -> int:
    headers = sum(
        len(name) + len(value) + 4 for name, value in request.headers.get_all()
    )
    start_line = len(request.method) + len(request.uri) + 12
    return start_line + headers + len(request.body)


def _number(text: str) -> float:
    try:
        number = float(text)
    except ValueError:
        raise web.HTTPError(400, f'{text!r} is not a number') from None
    if number < 0:
        raise web.HTTPError(400, f'{text} is below 0')
    return number
