"""Tests of the client of the admin pages against faulty servers."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from damaskpier.operator import admin

from tests import streams

HOST = '127.0.0.1'
TIMEOUT_S = 30.0
# Most bytes that a server without end writes.
FLOOD_BYTES = 48 * 1024 * 1024
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'


@pytest.fixture(autouse=True)
def long_timeout(monkeypatch):
    """Let only the limits of the client end a response."""
    monkeypatch.setattr(admin, 'PAGE_TIMEOUT_S', TIMEOUT_S)


async def _fetch(serve):
    async with (
        asyncio.timeout(TIMEOUT_S),
        streams.serve(serve, HOST) as port,
    ):
        return await admin.fetch_json(f'http://{HOST}:{port}/status')


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'', b'x'),
        (b'', b'\r\n'),
        (b'HTTP/1.1 200 ', b'x'),
        (OK + b'A: ', b'x'),
        (OK, b'A: b\r\n'),
        (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        (OK + b'Content-Length: 99999999\r\n\r\n', b' '),
        (OK + b'\r\n', b' '),
        (CHUNKED, b'1000\r\n' + b' ' * 4096 + b'\r\n'),
        (CHUNKED + b'0\r\n', b'A: b\r\n'),
    ],
    ids=[
        'no-http',
        'empty-lines',
        'status-line',
        'header-line',
        'headers',
        'interim-responses',
        'content-length',
        'ended-by-close',
        'chunks',
        'trailers',
    ],
)
async def test_page_without_end_is_none(start, repeated):
    """A page without end is missing, and its connection is closed.

    The operators' command would end with a traceback, or keep 100 MB.
    """
    sent = 0
    block = repeated * (1 + 65536 // len(repeated))

    async def serve(reader, writer):
        nonlocal sent
        await reader.readuntil(b'\r\n\r\n')
        writer.write(start)
        with contextlib.suppress(ConnectionError):
            while sent < FLOOD_BYTES:
                writer.write(block)
                await writer.drain()
                sent += len(block)
        writer.close()

    assert await _fetch(serve) is None
    assert sent < FLOOD_BYTES


async def test_page_of_a_large_fleet_arrives_whole():
    """The limit leaves room for the list of nodes of a large fleet."""
    body = b'["' + b'x' * (4 * 1024 * 1024) + b'"]'

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(OK + b'Content-Length: %d\r\n\r\n' % len(body) + body)
        await reader.read()
        writer.close()

    assert await _fetch(serve) == ['x' * (4 * 1024 * 1024)]
