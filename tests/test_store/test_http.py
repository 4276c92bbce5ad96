"""Tests of the HTTP client against the fake platform."""

from __future__ import annotations

import asyncio
import contextlib

from damaskpier import config
from damaskpier import errors
from damaskpier.store import base
from damaskpier.store import http


async def test_objects_have_versions_and_conditional_updates(store):
    first = await store.put('config/head', b'{"a":1}', 0)
    assert await store.get('config/head') == first
    refused = await store.put('config/head', b'{"a":2}', 0)
    assert refused.code is errors.PLATFORM_CONFLICT
    second = await store.put('config/head', b'{"a":2}', first.version)
    assert second.version > first.version
    assert await store.list('config/') == [second]
    assert await store.delete('config/head', second.version) is True
    missing = await store.get('config/head')
    assert missing.code is errors.PLATFORM_NOT_FOUND
    assert await store.delete('config/head', None) is False


async def test_watch_answers_with_keys_and_versions(store):
    old = await store.put('config/head', b'{}', 0)
    await store.put('audit/1', b'{}', 0)
    watch = store.watch('config/', old.version)
    waiting = asyncio.ensure_future(anext(watch))
    new = await store.put('config/head', b'{"a":1}', old.version)
    changes = await asyncio.wait_for(waiting, 30)
    assert changes == [base.Change('config/head', new.version, False)]


async def test_a_value_over_the_limit_is_refused(store, running):
    """Guards against a value over the limit that is accepted in part.

    The client refuses it without a call, and the platform refuses it if it
    is sent anyway. A value of exactly the limit is stored whole.
    """
    value = b'x' * (base.MAX_VALUE_BYTES + 1)
    refused = await store.put('bundles/x', value, None)
    assert refused.code is errors.PLATFORM_TOO_LARGE
    assert running.platform.counters['put'] == 0
    reply = await store._put_once('bundles/x', value, None)
    assert reply.code is errors.PLATFORM_TOO_LARGE
    kept = await store.put('bundles/x', value[:-1], None)
    assert await store.get('bundles/x') == kept


async def test_reply_without_end_is_not_kept(monkeypatch):
    """A reply without end fails, and its connection is closed.

    The client would keep the reply until the node runs out of memory. A reply
    that was cut must not count as a result, so that the write stays unknown.
    """
    monkeypatch.setattr(http, 'MAX_REPLY_BYTES', 1_000_000)
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nETag: "7"\r\n\r\n')
        with contextlib.suppress(ConnectionError):
            # The number of bytes is limited, so that a client without limits
            # does not use up the memory of the machine.
            for _ in range(64):
                writer.write(b'x' * 65536)
                await writer.drain()
        writer.close()
        closed.set()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    address = config.Address('127.0.0.1', listener.sockets[0].getsockname()[1])
    store = http.HttpObjectStore(address, timeout_s=20.0)
    read = await store.get('config/head')
    assert read.code is errors.PLATFORM_UNAVAILABLE
    async with asyncio.timeout(30):
        await closed.wait()
    deleted = await store._call('delete', 'DELETE', '/objects/config/head')
    assert deleted.code is errors.PLATFORM_UNKNOWN
    await store.stop()
    listener.close()
