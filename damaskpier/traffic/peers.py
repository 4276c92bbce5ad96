"""Calls between nodes, over one multiplexed connection to each peer."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from grpclib import exceptions

from damaskpier import errors
from damaskpier.http1 import messages as http_messages
from damaskpier import metrics
from damaskpier import registry
from damaskpier.rpc import mesh_grpc
from damaskpier.rpc import mesh_pb2
from damaskpier.rpc import write_coalescing
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from grpclib import server

    from damaskpier import application
    from damaskpier.mesh import model

LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
# A connection without calls is closed after this time.
IDLE_TIMEOUT_S = 60.0
# A connection with outstanding calls is pinged if it has received nothing for
# this time.
SILENCE_TIMEOUT_S = 1.0
PING_TIMEOUT_S = 1.5
CHECK_INTERVAL_S = 0.25
# The peer gets a deadline that is earlier by this time, so that its refusal,
# which states whether the request ran, arrives before the caller's node times
# out.
REPLY_MARGIN_S = 0.01

_CONNECTION_ERRORS = (
    OSError,
    exceptions.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
)


class Channel:
    """Connection to one peer, opened by the first call.

    :param record: record of the node to connect to
    :param clock: returns the time in seconds. It has to be the monotonic
        clock, because the gRPC library records the time of received data
        with that clock.
    :param metrics_service: counts the bytes sent and received
    """

    def __init__(
        self,
        record: model.NodeRecord,
        clock: Callable[[], float] = time.monotonic,
        metrics_service: metrics.Metrics | None = None,
    ) -> None:
        self.address = (record.host, record.rpc_port)
        self.closed = False
        self.outstanding = 0
        self.last_used = clock()
        self._clock = clock
        self._metrics_service = metrics_service or metrics.Metrics()
        self._last_received_at = clock()
        self._channel = write_coalescing.Channel(record.host, record.rpc_port)
        self._calls = mesh_grpc.CallsStub(self._channel)
        self._mesh = mesh_grpc.MeshStub(self._channel)
        self._monitor_task: asyncio.Task[None] | None = None

    async def call(
        self, request: messages.Request, caller_node: str
    ) -> messages.Reply:
        """Run a request on the peer's upstream."""
        if self._monitor_task is None:
            self._monitor_task = asyncio.create_task(self._monitor())
        if not self.outstanding:
            self._last_received_at = self._clock()
        self.outstanding += 1
        sent = False
        deadline_s = request.deadline - self._clock()
        try:
            async with asyncio.timeout(deadline_s):
                async with self._calls.Call.open() as stream:
                    if self._channel._connected:
                        await stream.send_request()
                    else:
                        async with asyncio.timeout(CONNECT_TIMEOUT_S):
                            await stream.send_request()
                    message = _encode_request(
                        request, caller_node, self._clock()
                    )
                    # The peer runs the request only when it has the whole
                    # message, so nothing has run if this is not reached.
                    sent = True
                    self._metrics_service.increment(
                        'peer_bytes', message.ByteSize(), direction='sent'
                    )
                    await stream.send_message(message, end=True)
                    reply = await stream.recv_message()
        except TimeoutError:
            return messages.Reply(_timeout_refusal(sent))
        except _CONNECTION_ERRORS as exc:
            return messages.Reply(_connection_refusal(exc, sent))
        except Exception as exc:
            # The HTTP/2 library raises errors of its own if a stream ends
            # while it is written to.
            LOG.exception(
                'traffic: unexpected error in a call to %s:%d', *self.address
            )
            return messages.Reply(_connection_refusal(exc, sent))
        finally:
            self.outstanding -= 1
            self.last_used = self._clock()
        if reply is None:
            return messages.Reply(_connection_refusal('no reply', sent))
        self._metrics_service.increment(
            'peer_bytes', reply.ByteSize(), direction='received'
        )
        return _decode_reply(reply)

    def close(self) -> None:
        """Close the connection; outstanding calls end as unknown."""
        self.closed = True
        if self._monitor_task is not None:
            self._monitor_task.cancel()
        self._channel.close()

    async def _monitor(self) -> None:
        while not self.closed:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self._clock()
            if not self.outstanding:
                if now - self.last_used >= IDLE_TIMEOUT_S:
                    self.close()
                continue
            if now - self._last_received() < SILENCE_TIMEOUT_S:
                continue
            if not await self._ping():
                LOG.warning(
                    'traffic: closing the connection to %s:%d, which does not '
                    'answer a ping',
                    *self.address,
                )
                self.close()

    def _last_received(self) -> float:
        protocol = self._channel._protocol
        if protocol is not None:
            received = protocol.connection.last_data_received
            if received is not None:
                self._last_received_at = max(self._last_received_at, received)
        return self._last_received_at

    async def _ping(self) -> bool:
        try:
            await self._mesh.Ping(
                mesh_pb2.PingRequest(), timeout=PING_TIMEOUT_S
            )
        except (TimeoutError, *_CONNECTION_ERRORS):
            return False
        self._last_received_at = self._clock()
        return True


class Peers(registry.Service):
    """Channels to the peers that this node calls; service ``peers``."""

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._app = app
        self._clock = clock
        self._channels: dict[str, Channel] = {}
        # Channels to former addresses that still have outstanding calls.
        self._retired_channels: list[Channel] = []
        self._node_id = app.cfg.text('node', 'id')

    async def start(self) -> None:
        """Register the gauge of the number of channels."""
        self._app.service('metrics').register_gauge(
            'peer_channels', lambda: len(self._channels)
        )

    async def stop(self) -> None:
        """Close all channels."""
        for channel in (*self._channels.values(), *self._retired_channels):
            channel.close()
        self._channels.clear()
        self._retired_channels.clear()

    async def call(
        self, record: model.NodeRecord, request: messages.Request
    ) -> messages.Reply:
        """Run a request on the upstream of a node.

        :param record: record of the node, which may be this one
        """
        if record.node_id == self._node_id:
            return await self._app.service('upstream').call(request)
        return await self._channel(record).call(request, self._node_id)

    def _channel(self, record: model.NodeRecord) -> Channel:
        channel = self._channels.get(record.node_id)
        address = (record.host, record.rpc_port)
        if channel is None or channel.closed or channel.address != address:
            if channel is not None and not channel.closed:
                self._retired_channels.append(channel)
            self._drop_closed()
            channel = Channel(
                record, self._clock, self._app.service('metrics')
            )
            self._channels[record.node_id] = channel
        return channel

    def _drop_closed(self) -> None:
        closed = [key for key, ch in self._channels.items() if ch.closed]
        for key in closed:
            del self._channels[key]
        for channel in self._retired_channels:
            if not channel.outstanding:
                channel.close()
        self._retired_channels = [
            ch for ch in self._retired_channels if not ch.closed
        ]


class CallsHandler(mesh_grpc.CallsBase):
    """Handler of the calls of other nodes to the local upstream."""

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._app = app
        self._clock = clock

    async def Call(  # noqa: N802
        self,
        stream: server.Stream[mesh_pb2.CallRequest, mesh_pb2.CallReply],
    ) -> None:
        """Run one request; a reset of the stream cancels it.

        :param stream: stream with one request and one reply
        """
        message = await stream.recv_message()
        if message is None:
            return
        request = _decode_request(message, self._clock())
        upstream = self._app.service('upstream')
        # A planned stop also waits until the reply has been written.
        with upstream.track_request():
            reply = await upstream.call(request)
            await stream.send_message(_encode_reply(reply))
            await stream.send_trailing_metadata()


def make_calls_handler(app: application.Application) -> CallsHandler:
    """Return the handler of calls for the node's gRPC server."""
    return CallsHandler(app)


def setup(app: application.Application) -> None:
    """Register the service ``peers``."""
    app.add_service('peers', Peers(app), after=('metrics', 'upstream'))


def _timeout_refusal(sent: bool) -> errors.Refusal:
    if sent:
        return errors.Refusal(
            errors.CALL_DEADLINE,
            'no reply of the peer by the deadline',
            errors.RunState.UNKNOWN,
        )
    return errors.Refusal(
        errors.CALL_CONNECT, 'the connection to the peer timed out'
    )


def _connection_refusal(reason: object, sent: bool) -> errors.Refusal:
    if sent:
        return errors.Refusal(
            errors.CALL_UNKNOWN,
            f'the connection to the peer failed: {reason}',
            errors.RunState.UNKNOWN,
        )
    return errors.Refusal(
        errors.CALL_CONNECT, f'no connection to the peer: {reason}'
    )


def _encode_request(
    request: messages.Request, caller_node: str, now: float
) -> mesh_pb2.CallRequest:
    remaining_s = request.deadline - now
    if remaining_s > 4 * REPLY_MARGIN_S:
        remaining_s -= REPLY_MARGIN_S
    return mesh_pb2.CallRequest(
        request_id=request.request_id,
        route=request.route,
        service=request.service,
        version=request.version,
        method=request.method,
        target=request.target,
        headers=[
            mesh_pb2.Header(name=name, value=value)
            for name, value in request.headers
        ],
        body=request.body,
        deadline_ms=max(0, int(remaining_s * 1000)),
        depth=request.depth,
        repeatable=request.repeatable,
        caller_node=caller_node,
    )


def _decode_request(
    message: mesh_pb2.CallRequest, now: float
) -> messages.Request:
    return messages.Request(
        request_id=message.request_id,
        route=message.route,
        service=message.service,
        version=message.version,
        method=message.method,
        target=message.target,
        headers=tuple((h.name, h.value) for h in message.headers),
        body=message.body,
        deadline=now + message.deadline_ms / 1000,
        depth=message.depth,
        repeatable=message.repeatable,
    )


def _encode_reply(reply: messages.Reply) -> mesh_pb2.CallReply:
    result = reply.result
    if isinstance(result, errors.Refusal):
        message = mesh_pb2.CallReply(
            result=result.code.number,
            reason=result.reason,
            run=int(result.run),
        )
    else:
        message = mesh_pb2.CallReply(
            status=result.status,
            headers=[
                mesh_pb2.Header(name=name, value=value)
                for name, value in result.headers
            ],
            body=result.body,
            upstream_us=int(result.upstream_s * 1e6),
        )
    if reply.load is not None:
        message.load.slots = reply.load.slots
        message.load.in_use = reply.load.in_use
        message.load.queued = reply.load.queued
    return message


def _decode_reply(message: mesh_pb2.CallReply) -> messages.Reply:
    load = None
    if message.HasField('load'):
        reported = message.load
        load = messages.Load(reported.slots, reported.in_use, reported.queued)
    if message.result:
        try:
            code = errors.code_by_number(message.result)
        except KeyError:
            code = errors.CALL_UNKNOWN
        run = errors.RunState(message.run)
        return messages.Reply(errors.Refusal(code, message.reason, run), load)
    if message.status not in http_messages.FINAL_STATUSES:
        refusal = errors.Refusal(
            errors.CALL_UNKNOWN,
            f'the node passed on the invalid status {message.status:03d}',
            errors.RunState.UNKNOWN,
        )
        return messages.Reply(refusal, load)
    return messages.Reply(
        messages.Answer(
            message.status,
            tuple((h.name, h.value) for h in message.headers),
            message.body,
            message.upstream_us / 1e6,
        ),
        load,
    )
