"""Responses that wait for a slow link.

The tests guard against requests and ends of connections that wait behind the
responses of their node, as on benkirane-registre-grown (issue 17), and
against responses that are not complete.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import socket

import pytest

from damaskpier.http1 import messages
from damaskpier.http1 import pacing
from damaskpier.http1 import server

from tests import streams
from tests.test_fleet import virtual_time
from tests.test_http1 import conftest

GET_A = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
GET_B = b'GET /b HTTP/1.1\r\nHost: h\r\n\r\n'
GET_AND_CLOSE = b'GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
BODY = b'0123456789abcdef' * 65536
SMALL_BUFFER_BYTES = 4096


@pytest.fixture
async def connect_slowly():
    """Return a function that opens a connection with a small buffer.

    What the client does not read stays with the server.
    """
    async with contextlib.AsyncExitStack() as stack:

        async def open_(port: int) -> conftest.RawConnection:
            sock = socket.socket()
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (conftest.HOST, port))
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=SMALL_BUFFER_BYTES
            )
            stack.push_async_callback(streams.abort, writer)
            return conftest.RawConnection(reader, writer)

        yield open_


async def _answer(request: messages.Request) -> messages.Response:
    return messages.Response(200, (), BODY)


def _unsent_bytes(started: server.Server) -> int:
    return sum(conn._transport.unsent_bytes() for conn in started._connections)


async def _until(condition) -> None:
    async with asyncio.timeout(conftest.TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


async def test_responses_of_all_connections_share_a_limit(
    serve, connect_slowly, monkeypatch
):
    """Data that the kernel has taken delays all that is sent later."""
    monkeypatch.setattr(pacing, 'STALL_TIMEOUT_S', 3600.0)
    started = await serve(_answer)
    raws = [await connect_slowly(started.port) for _ in range(8)]
    for raw in raws:
        raw.send(GET_A)
    await _until(_unsent_bytes_is_stable(started))
    limit = pacing.MAX_UNSENT_BYTES + pacing.PART_BYTES
    assert 0 < _unsent_bytes(started) <= limit
    pacer = pacing.running_pacer()
    assert pacer.pending_bytes >= 7 * len(BODY)
    bodies = await asyncio.gather(*(_read_response(raw) for raw in raws))
    assert bodies == [BODY] * 8
    assert pacer.pending_bytes == 0


def _unsent_bytes_is_stable(started: server.Server) -> Callable[[], bool]:
    return conftest.is_stable(lambda: _unsent_bytes(started))


async def _read_response(raw: conftest.RawConnection) -> bytes:
    async with asyncio.timeout(conftest.TIMEOUT_S):
        await raw.reader.readuntil(b'\r\n\r\n')
        return await raw.reader.readexactly(len(BODY))


async def test_clients_that_do_not_read_hold_up_no_others(
    serve, connect, connect_slowly, monkeypatch
):
    """Two of them would use up the limit for good."""
    monkeypatch.setattr(pacing, 'STALL_TIMEOUT_S', 0.01)
    started = await serve(_answer)
    for _ in range(3):
        raw = await connect_slowly(started.port)
        raw.send(GET_A)
    await _until(lambda: _unsent_bytes(started) >= pacing.MAX_UNSENT_BYTES)
    other = await connect(started.port)
    other.send(GET_A)
    assert await _read_response(other) == BODY


async def test_interim_response_waits_for_the_response_before_it(
    serve, connect_slowly
):
    """It would be taken for a part of the body."""
    end = asyncio.Event()

    async def handler(request):
        if request.target == '/b':
            await end.wait()
            return messages.Response(200, (), b'second')
        return messages.Response(200, (), BODY)

    started = await serve(handler, progress=server.Progress(0.001, 0.001))
    raw = await connect_slowly(started.port)
    raw.send(GET_A + GET_B)
    await _until(_unsent_bytes_is_stable(started))
    assert await _read_response(raw) == BODY
    end.set()
    head = server.PROCESSING_RESPONSE
    while head == server.PROCESSING_RESPONSE:
        head = await raw.read_until(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    assert await raw.read_until(b'second') == b'second'


async def test_last_response_is_complete_before_the_connection_closes(
    serve, connect_slowly
):
    """The end must not overtake data that waits for its turn."""
    started = await serve(_answer)
    raw = await connect_slowly(started.port)
    raw.send(GET_AND_CLOSE)
    assert (await raw.read_to_end()).endswith(b'\r\n\r\n' + BODY)


async def test_client_that_only_stops_sending_gets_its_whole_response(
    serve, connect_slowly
):
    """A response that has begun is not cut by the end of the requests."""
    started = await serve(_answer)
    raw = await connect_slowly(started.port)
    raw.send(GET_A)
    await _until(_unsent_bytes_is_stable(started))
    raw.writer.write_eof()
    assert (await raw.read_to_end()).endswith(b'\r\n\r\n' + BODY)


async def test_lost_connection_leaves_the_pacer(serve, connect_slowly):
    """Data of a client that has gone must not use up the limit."""
    started = await serve(_answer)
    raw = await connect_slowly(started.port)
    raw.send(GET_A)
    await _until(_unsent_bytes_is_stable(started))
    await streams.abort(raw.writer)
    await _until(lambda: not started._connections)
    pacer = pacing.running_pacer()
    assert not pacer._waiting
    assert not pacer._written


class _UnreadTransport(asyncio.Transport):
    """Transport whose client takes nothing."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__({'socket': sock})
        self._bytes = 0
        self._is_closed = False

    def write(self, data: bytes) -> None:
        self._bytes += len(data)

    def get_write_buffer_size(self) -> int:
        return self._bytes

    def set_write_buffer_limits(self, high: int, low: int) -> None:
        pass

    def is_closing(self) -> bool:
        return self._is_closed

    def abort(self) -> None:
        self._is_closed = True
        self._bytes = 0


async def test_connection_that_another_one_aborts_is_not_written_to():
    """A client that takes data may free memory at the cost of another one.

    The aborted connection has nothing left to write, which would end the
    writing of all.
    """
    pacer = pacing.Pacer()
    resumed = []

    def resume_writing() -> None:
        resumed.append(True)
        slow.abort()

    with socket.socket() as sock:
        slow = pacing.PacedTransport(
            _UnreadTransport(sock), pacer, lambda: None
        )
        other = pacing.PacedTransport(
            _UnreadTransport(sock), pacer, resume_writing
        )
        slow.set_write_buffer_limits(2 * len(BODY), len(BODY))
        slow.write(BODY)
        # Only the first part of it can be written.
        other.set_write_buffer_limits(2 * pacing.PART_BYTES, len(BODY))
        other.write(BODY)
        assert resumed
        pacer._write_parts()
    assert not slow.has_pending_data()
    assert slow not in pacer._waiting


class _LinkTransport(asyncio.Transport):
    """Transport whose data leaves at a constant rate.

    :param per_s: rate in bytes per second
    """

    def __init__(self, sock: socket.socket, per_s: float) -> None:
        super().__init__({'socket': sock})
        self._per_s = per_s
        self._bytes = 0.0
        self._at = 0.0

    def write(self, data: bytes) -> None:
        self._bytes = self.get_write_buffer_size() + len(data)

    def get_write_buffer_size(self) -> int:
        now = asyncio.get_running_loop().time()
        self._bytes = max(0.0, self._bytes - self._per_s * (now - self._at))
        self._at = now
        return int(self._bytes)

    def set_write_buffer_limits(self, high: int, low: int) -> None:
        pass

    def is_closing(self) -> bool:
        return False


async def _expected_waits(
    rates: list[float], times: list[float], stalled_count: int = 0
) -> list[float]:
    """Return the expected waits at some times while ``BODY`` is sent.

    :param rates: rate of each client in bytes per second
    :param times: seconds since the data was written
    :param stalled_count: clients that have taken nothing before
    """
    loop = asyncio.get_running_loop()
    pacer = pacing.Pacer()

    def write(per_s: float) -> None:
        transport = pacing.PacedTransport(
            _LinkTransport(sock, per_s), pacer, lambda: None
        )
        transport.write(BODY)

    waits = []
    with socket.socket() as sock:
        for _ in range(stalled_count):
            write(0)
        await asyncio.sleep(10 * pacing.STALL_TIMEOUT_S)
        began = loop.time()
        for rate in rates:
            write(rate)
        for time in times:
            await asyncio.sleep(began + time - loop.time())
            waits.append(pacer.expected_wait_s)
    return waits


@pytest.mark.parametrize('stalled_count', [0, 4])
def test_expected_wait_is_that_for_the_data_of_all_connections(stalled_count):
    """Callers' nodes must learn how long responses wait for a full link.

    Responses whose clients take nothing do not use the link.
    """
    total_s = 4 * len(BODY) / 1e6
    waits = virtual_time.run(
        _expected_waits([250e3] * 4, [1, 3, total_s + 0.1], stalled_count)
    )
    assert waits == pytest.approx([total_s - 1, total_s - 3, 0], abs=0.3)


@pytest.mark.parametrize('stalled_count', [0, 2])
def test_client_that_reads_slowly_causes_no_expected_wait(stalled_count):
    """The link is not full; requests must not avoid the node for it."""
    waits = virtual_time.run(_expected_waits([20e3], [1], stalled_count))
    assert waits == [0]
