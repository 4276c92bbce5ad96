"""Uploads: requests with long bodies that may run once."""

from __future__ import annotations

import asyncio

from damaskpier.fleet import model
from damaskpier.http1 import client
from damaskpier.http1 import messages
from damaskpier.platform import headers
from damaskpier.util import memory

from tests import streams
from tests.test_fleet import conftest

BODY = b'0123456789abcdef' * 2**16
FIELDS = (('Host', 'h.example'), (headers.REQUEST_ID, 'upload-1'))


def _encode(target: str = '/write/1') -> bytes:
    return messages.encode_request('POST', target, FIELDS, BODY)


async def test_caller_that_leaves_within_the_body_starts_nothing(fleet):
    """Half an upload must not reach a worker, nor stay in memory."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    server = caller.app.service('ingress').server
    # The usual limit counts the messages of all nodes of the test.
    server.memory = memory.MemoryLimit(2 * len(BODY))
    _, writer = await asyncio.open_connection(conftest.HOST, server.port)
    writer.write(_encode()[: len(BODY) // 2])
    await conftest.wait_until(lambda: server.memory.used_bytes)
    await streams.abort(writer)
    await conftest.wait_until(lambda: not server.memory.used_bytes)
    assert (await caller.request()).status == 200
    assert [request.path for request in other.upstream.ran] == ['/read/1']


async def test_kept_connection_carries_requests_after_an_upload(fleet):
    """The next request must not begin within the body of the upload."""
    caller = await fleet.add('pages')
    other = await fleet.add('reads')
    await fleet.wait_converged()
    pool = client.Pool(
        conftest.HOST, caller.app.service('ingress').server.port
    )
    options = client.Options(
        asyncio.get_running_loop().time() + conftest.TEST_TIMEOUT_S
    )
    for number in range(3):
        sent = await pool.request(_encode(f'/write/{number}'), options)
        assert sent.body == b'i-1'
        read = await pool.request(
            messages.encode_request('GET', f'/read/{number}', FIELDS, b''),
            options,
        )
        assert read.body == b'i-1'
    assert pool.opened_count == 1
    bodies = [request.body for request in other.upstream.ran]
    assert bodies == [BODY, b''] * 3


async def test_upload_that_was_cut_may_have_run(fleet):
    """A worker that fails within the body may have run the request.

    It must not run on another worker, and its caller must not be told that it
    has not run.
    """
    caller = await fleet.add('pages')
    broken = await fleet.add('reads', announces=False)
    other = await fleet.add('reads')
    await fleet.wait_converged()
    received = asyncio.Event()

    async def break_off(reader, writer):
        await reader.readexactly(len(BODY) // 4)
        received.set()
        writer.transport.abort()

    async with streams.serve(break_off, conftest.HOST) as port:
        broken.app.service('worker').apply_announcement(
            model.Announcement(
                'i-1', 'reads', 'v1', conftest.HOST, port, 4, False, 1, 1
            )
        )
        await conftest.wait_until(
            lambda: len(caller.app.service('membership').workers('reads')) == 2
        )
        other.announce(draining=True)
        await conftest.wait_until(
            lambda: len(caller.app.service('membership').workers('reads')) == 1
        )
        response = await caller.request('/write/1', 'POST', body=BODY)
    assert received.is_set()
    assert response.status == 502
    assert not other.upstream.ran
