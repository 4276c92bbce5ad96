"""Client of the object API over HTTP; service ``platform``.

The protocol is described in :mod:`damaskpier.fakes.platform`.
"""

from __future__ import annotations

import asyncio
import collections
import logging
import random
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING
from urllib import parse

import msgspec
import pycurl
from tornado import httpclient

from damaskpier import errors
from damaskpier.store import base
from damaskpier.store import memory
from damaskpier.store import object_values
from damaskpier.util import limited_curl

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier import config

LOG = logging.getLogger(__name__)

# Time for which the platform holds a watch open. The client closes it after
# the additional margin, and earlier if no byte arrives for
# WATCH_IDLE_TIMEOUT_S: the platform sends spaces while a watch waits.
WATCH_WAIT_S = 20.0
WATCH_MARGIN_S = 2.0
WATCH_IDLE_TIMEOUT_S = 4
# An outage ends for all clients at the same time; jitter spreads their
# reconnects.
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 5.0
# After a lost answer the object is read. If the write has not taken effect by
# then, it still may. A second attempt with the same condition resolves this,
# because only one of the two can take effect.
MAX_WRITE_ATTEMPTS = 2
MAX_CONCURRENT_CALLS = 32
# A listing has the values of its objects, up to 1 MB each.
MAX_REPLY_BYTES = 32 * 1024 * 1024

# Answers to calls that certainly had no effect.
_REFUSED_STATUS_CODES = {
    429: errors.PLATFORM_LIMITED,
    503: errors.PLATFORM_UNAVAILABLE,
}
_NOT_SENT_ERRORS = (
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_COULDNT_RESOLVE_HOST,
)


class Reply(NamedTuple):
    """Answer of the platform to a call; ``version`` is 0 without an ETag."""

    status: int
    body: bytes
    version: int


class _ConnectionPool:
    """Pool of connections that are replaced together.

    libcurl chooses which open connection a call uses. After a timeout any of
    them may be broken without being closed, so the next call gets a new pool
    and thereby a new connection. The old pool is closed when its last call
    has ended.
    """

    def __init__(self) -> None:
        self.client = limited_curl.LimitedCurlClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_CALLS,
            max_body_size=MAX_REPLY_BYTES,
        )
        self.calls = 0
        self.is_retired = False

    def close_if_unused(self) -> None:
        """Close the connections if the pool is retired and has no calls."""
        if self.is_retired and self.calls == 0:
            self.client.close()


class HttpObjectStore(base.ObjectStore):
    """Client of the object API over HTTP.

    ``counters`` counts calls by kind, their bytes (``bytes_in``,
    ``bytes_out``) and faults (``refused``, ``failed``, ``read_back``,
    ``reconnects``).

    :param address: address of the object API
    :param timeout_s: timeout of each call other than a watch, in seconds
    :param rng: source of the jitter
    :param sleep: coroutine function that waits for a number of seconds
    :param watch_wait_s: time for which the platform holds a watch open, in
        seconds
    :param idle_timeout_s: longest time without any byte on a watch, in whole
        seconds
    """

    def __init__(
        self,
        address: config.Address,
        timeout_s: float = 1.0,
        rng: random.Random | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        watch_wait_s: float = WATCH_WAIT_S,
        idle_timeout_s: int = WATCH_IDLE_TIMEOUT_S,
    ) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self._url = f'http://{address}/v1'
        self._timeout_s = timeout_s
        self._rng = rng or random.Random()
        self._sleep = sleep
        self._watch_wait_s = watch_wait_s
        self._idle_timeout_s = idle_timeout_s
        self._pool: _ConnectionPool | None = None
        # Done once the client is stopped. The first call creates it, because
        # a future belongs to an event loop.
        self._stopped: asyncio.Future[None] | None = None
        self._is_stopped = False

    async def start(self) -> None:
        """Allow calls, also after the client was stopped before."""
        self._is_stopped = False
        self._stopped = None

    async def stop(self) -> None:
        """Close the connections and end the calls that wait for an answer."""
        self._is_stopped = True
        if self._stopped is not None and not self._stopped.done():
            self._stopped.set_result(None)
        if self._pool is not None:
            self._pool.client.close()
            self._pool = None

    async def get(self, key: str) -> base.StoredObject | errors.Refusal:
        """Return an object; see :class:`damaskpier.store.base.ObjectStore`."""
        reply = await self._call('get', 'GET', _object_path(key))
        if isinstance(reply, errors.Refusal):
            return _refuse_read(reply)
        if reply.status == 404:
            return memory.not_found(key)
        if reply.status != 200:
            return _refuse_status(reply)
        return base.StoredObject(key, reply.version, reply.body)

    async def put(
        self, key: str, value: bytes, if_version: int | None
    ) -> base.StoredObject | errors.Refusal:
        """Write an object if it still has a version.

        See :meth:`damaskpier.store.base.ObjectStore.put`. A refusal with
        ``PLATFORM_CONFLICT`` after a lost answer has the run state
        ``UNKNOWN``: the value may have been in force for a while before
        another writer replaced it.
        """
        if len(value) > base.MAX_VALUE_BYTES:
            return memory.too_large(key, len(value))
        run = errors.RunState.NOT_RUN
        outcome: base.StoredObject | errors.Refusal = memory.unknown(key)
        for _ in range(MAX_WRITE_ATTEMPTS):
            outcome = await self._put_once(key, value, if_version)
            if isinstance(outcome, base.StoredObject):
                return outcome
            if outcome.code is not errors.PLATFORM_UNKNOWN:
                return _merge_earlier_attempt(outcome, run)
            run = errors.RunState.UNKNOWN
            stored = await self._read_back(key)
            if isinstance(stored, errors.Refusal):
                return memory.unknown(f'{key}: {outcome.reason}')
            if stored.version and object_values.is_same_write(
                stored.value, value
            ):
                return stored
            if if_version is None:
                return memory.unknown(f'{key}: {outcome.reason}')
            if stored.version != if_version:
                return memory.conflict(key, stored, run)
        return outcome

    async def delete(
        self, key: str, if_version: int | None
    ) -> bool | errors.Refusal:
        """Delete an object; False if it did not exist.

        If it no longer exists after a lost answer, it counts as deleted.
        """
        run = errors.RunState.NOT_RUN
        for _ in range(MAX_WRITE_ATTEMPTS):
            reply = await self._call(
                'delete', 'DELETE', _object_path(key), if_version=if_version
            )
            if isinstance(reply, Reply):
                if reply.status in (204, 404):
                    return (
                        reply.status == 204 or run is errors.RunState.UNKNOWN
                    )
                if reply.status == 412:
                    current = _parse_current(key, reply)
                    return memory.conflict(key, current, run)
                return _refuse_status(reply)
            if reply.run is not errors.RunState.UNKNOWN:
                return _merge_earlier_attempt(reply, run)
            run = errors.RunState.UNKNOWN
        return memory.unknown(f'{key}: the answer to the deletion was lost')

    async def list(
        self, prefix: str, limit: int = 1000
    ) -> list[base.StoredObject] | errors.Refusal:
        """Return the objects whose keys begin with a prefix, by key."""
        query = parse.urlencode({'prefix': prefix, 'limit': limit})
        reply = await self._call('list', 'GET', f'/objects?{query}')
        if isinstance(reply, errors.Refusal):
            return _refuse_read(reply)
        if reply.status != 200:
            return _refuse_status(reply)
        try:
            return msgspec.json.decode(
                reply.body, type=_ListReply
            ).to_stored_objects()
        except msgspec.DecodeError as exc:
            return memory.unavailable(f'the listing can not be read: {exc}')

    async def watch(
        self, prefix: str, after: int
    ) -> AsyncIterator[list[base.Change] | errors.Refusal]:
        """Yield changes of keys with a prefix, newer than a version.

        Each failed attempt yields its refusal and is retried after a backoff.
        """
        failures = 0
        while not self._is_stopped:
            found = await self._watch_once(prefix, after)
            if isinstance(found, errors.Refusal):
                yield found
                await self._sleep(self.backoff_s(failures))
                failures += 1
                continue
            failures = 0
            after = found.revision
            if found.changes:
                yield [
                    base.Change(item.key, item.version, item.deleted)
                    for item in found.changes
                ]

    def backoff_s(self, failures: int) -> float:
        """Return a jittered backoff after consecutive failures, in seconds."""
        limit = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** min(failures, 10))
        return limit * self._rng.uniform(0.5, 1.0)

    async def _watch_once(
        self, prefix: str, after: int
    ) -> _WatchReply | errors.Refusal:
        wait_s = self._watch_wait_s
        query = parse.urlencode(
            {'prefix': prefix, 'after': after, 'wait': wait_s}
        )
        reply = await self._call('watch', 'GET', f'/watch?{query}')
        if isinstance(reply, errors.Refusal):
            return _refuse_read(reply)
        if reply.status != 200:
            return _refuse_status(reply)
        try:
            return msgspec.json.decode(reply.body, type=_WatchReply)
        except msgspec.DecodeError as exc:
            return memory.unavailable(f'the changes can not be read: {exc}')

    async def _put_once(
        self, key: str, value: bytes, if_version: int | None
    ) -> base.StoredObject | errors.Refusal:
        reply = await self._call(
            'put', 'PUT', _object_path(key), value, if_version
        )
        if isinstance(reply, errors.Refusal):
            return reply
        if reply.status == 200:
            return base.StoredObject(key, reply.version, value)
        if reply.status == 413:
            return memory.too_large(key, len(value))
        if reply.status != 412:
            return _refuse_status(reply)
        current = _parse_current(key, reply)
        # libcurl itself repeats a request if a reused connection is closed
        # before the answer, so the conflict may be with the first of the two.
        if current and object_values.is_same_write(current.value, value):
            return current
        return memory.conflict(key, current)

    async def _read_back(self, key: str) -> base.StoredObject | errors.Refusal:
        """Return an object after a lost answer; version 0 if it is missing."""
        self.counters['read_back'] += 1
        stored = await self.get(key)
        if isinstance(stored, errors.Refusal) and (
            stored.code is errors.PLATFORM_NOT_FOUND
        ):
            return base.StoredObject(key, 0, b'')
        return stored

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes | None = None,
        if_version: int | None = None,
    ) -> Reply | errors.Refusal:
        self.counters[kind] += 1
        self.counters['bytes_out'] += len(path) + len(body or b'')
        request = self._request(kind, method, path, body, if_version)
        if self._is_stopped:
            return memory.unavailable('the client is stopped')
        if self._pool is None:
            self._pool = _ConnectionPool()
        pool = self._pool
        pool.calls += 1
        try:
            response = await self._fetch(pool, request)
            if response is None:
                return memory.unknown('the client was stopped')
        except httpclient.HTTPClientError as exc:
            # Raised if there is no answer, although raise_error is false.
            return self._resolve_error(pool, kind, exc)
        finally:
            pool.calls -= 1
            pool.close_if_unused()
        self.counters['bytes_in'] += len(response.body or b'')
        if response.code in _REFUSED_STATUS_CODES:
            self.counters['refused'] += 1
            return errors.Refusal(
                _REFUSED_STATUS_CODES[response.code],
                f'the platform answered with status {response.code}',
            )
        return Reply(
            response.code, response.body or b'', _parse_version(response)
        )

    async def _fetch(
        self, pool: _ConnectionPool, request: httpclient.HTTPRequest
    ) -> httpclient.HTTPResponse | None:
        """Return the answer, None if the client is stopped first."""
        if self._stopped is None:
            self._stopped = asyncio.get_running_loop().create_future()
        answer = pool.client.fetch(request, raise_error=False)
        # The call ends by itself if its caller is cancelled.
        answer.add_done_callback(_retrieve_exception)
        await asyncio.wait(
            (answer, self._stopped), return_when=asyncio.FIRST_COMPLETED
        )
        return answer.result() if answer.done() else None

    def _request(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes | None,
        if_version: int | None,
    ) -> httpclient.HTTPRequest:
        headers = {}
        if if_version is not None:
            headers['If-Match'] = f'"{if_version}"'
        timeout_s = self._timeout_s
        if kind == 'watch':
            timeout_s = self._watch_wait_s + WATCH_MARGIN_S
        return httpclient.HTTPRequest(
            self._url + path,
            method=method,
            headers=headers,
            body=body,
            connect_timeout=min(self._timeout_s, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=self._set_idle_timeout
            if kind == 'watch'
            else None,
        )

    def _set_idle_timeout(self, curl: Any) -> None:
        curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
        curl.setopt(pycurl.LOW_SPEED_TIME, self._idle_timeout_s)

    def _resolve_error(
        self, pool: _ConnectionPool, kind: str, exc: httpclient.HTTPClientError
    ) -> errors.Refusal:
        self.counters['failed'] += 1
        reason = f'{kind}: {exc.message}'
        if getattr(exc, 'errno', None) in _NOT_SENT_ERRORS:
            return memory.unavailable(reason)
        # A timeout can occur before or after the connection is open, so the
        # request may have been sent.
        self._retire(pool)
        return memory.unknown(reason)

    def _retire(self, pool: _ConnectionPool) -> None:
        if pool is not self._pool:
            return
        self.counters['reconnects'] += 1
        self._pool = None
        pool.is_retired = True
        pool.close_if_unused()


def setup(app: application.Application) -> None:
    """Register the service ``platform``."""
    app.add_service(
        'platform',
        HttpObjectStore(
            app.cfg.address('platform', 'address'),
            app.cfg.number('platform', 'timeout'),
        ),
    )


class _ObjectItem(msgspec.Struct):
    key: str
    version: int
    value: bytes


class _ListReply(msgspec.Struct):
    revision: int
    objects: list[_ObjectItem]

    def to_stored_objects(self) -> list[base.StoredObject]:
        return [
            base.StoredObject(item.key, item.version, item.value)
            for item in self.objects
        ]


class _ChangeItem(msgspec.Struct):
    key: str
    version: int
    deleted: bool


class _WatchReply(msgspec.Struct):
    revision: int
    changes: list[_ChangeItem]


def _retrieve_exception(answer: asyncio.Future[Any]) -> None:
    """Keep asyncio from logging the exception of an abandoned call."""
    if not answer.cancelled():
        answer.exception()


def _object_path(key: str) -> str:
    return '/objects/' + parse.quote(key, safe='/')


def _parse_version(response: httpclient.HTTPResponse) -> int:
    try:
        return int(response.headers.get('ETag', '0').strip('"'))
    except ValueError:
        return 0


def _parse_current(key: str, reply: Reply) -> base.StoredObject | None:
    if not reply.version:
        return None
    return base.StoredObject(key, reply.version, reply.body)


def _refuse_read(refusal: errors.Refusal) -> errors.Refusal:
    """Return the refusal of a read.

    A read has no effect, so ``PLATFORM_UNKNOWN`` becomes
    ``PLATFORM_UNAVAILABLE``.
    """
    if refusal.code is errors.PLATFORM_UNKNOWN:
        return memory.unavailable(refusal.reason)
    return refusal


def _merge_earlier_attempt(
    refusal: errors.Refusal, run: errors.RunState
) -> errors.Refusal:
    """Return the refusal of a write whose earlier attempt may have run.

    :param run: whether an earlier attempt of the same write has run
    """
    if run is errors.RunState.NOT_RUN:
        return refusal
    if refusal.code is errors.PLATFORM_CONFLICT:
        return refusal._replace(run=run)
    return memory.unknown(refusal.reason)


def _refuse_status(reply: Reply) -> errors.Refusal:
    reason = f'unexpected status {reply.status} of the platform'
    if reply.status >= 500:
        return memory.unknown(reason)
    return memory.unavailable(reason)
