"""gRPC server for other nodes: distribution tree and calls."""

from __future__ import annotations

import importlib.util
import logging
import socket
from typing import Any
from typing import TYPE_CHECKING

import grpclib.server

from damaskpier import registry
from damaskpier.rpc import mesh_grpc
from damaskpier.rpc import mesh_pb2
from damaskpier.rpc import write_coalescing

if TYPE_CHECKING:
    from damaskpier import application

LOG = logging.getLogger(__name__)

CALLS_MODULE = 'damaskpier.traffic.peers'
BACKLOG = 512
# TCP keepalive and the limit of unacknowledged data close the connections of
# frozen or unreachable peers. The streams on them are closed earlier, because
# of missing heartbeats.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 20_000


class MeshHandler(mesh_grpc.MeshBase):
    """Pass the streams of children to the service ``tree``."""

    def __init__(self, app: application.Application) -> None:
        self._app = app

    async def Attach(self, stream: grpclib.server.Stream) -> None:
        """Serve the stream of a child until it ends."""
        await self._app.service('tree').serve_child(stream)

    async def Ping(self, stream: grpclib.server.Stream) -> None:
        """Answer a check of the connection with the id of this node."""
        await stream.recv_message()
        node_id = self._app.cfg.text('node', 'id')
        await stream.send_message(mesh_pb2.PingReply(node_id=node_id))


class RpcServer(registry.Service):
    """Run the server on the node's ``rpc_port``.

    ``port`` is the port that the operating system assigned.
    """

    def __init__(self, app: application.Application) -> None:
        self._app = app
        self._server: grpclib.server.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Start to listen and publish the port in the local record."""
        handlers: list[Any] = [MeshHandler(self._app)]
        calls = _import_calls_module()
        if calls is not None:
            handlers.append(calls.make_calls_handler(self._app))
        sock = make_socket(
            self._app.cfg.text('node', 'host'),
            self._app.cfg.integer('node', 'rpc_port'),
        )
        self.port = sock.getsockname()[1]
        self._server = write_coalescing.Server(handlers)
        await self._server.start(sock=sock, backlog=BACKLOG)
        self._app.service('membership').set_ports(rpc_port=self.port)
        LOG.info('mesh: listening for other nodes on port %d', self.port)

    async def stop(self) -> None:
        """Close the server and its connections."""
        if self._server is None:
            return
        self._server.close()
        await self._server.wait_closed()


def make_socket(host: str, port: int) -> socket.socket:
    """Return a bound socket whose connections detect dead peers."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # asyncio disables Nagle's algorithm only if the protocol is given. With
    # the algorithm each attempt to attach waits 40 ms for a delayed ACK.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ('TCP_KEEPIDLE', KEEPALIVE_IDLE_S),
        ('TCP_KEEPINTVL', KEEPALIVE_INTERVAL_S),
        ('TCP_KEEPCNT', KEEPALIVE_PROBES),
        ('TCP_USER_TIMEOUT', USER_TIMEOUT_MS),
    ):
        option = getattr(socket, name, None)
        if option is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.bind((host, port))
    return sock


def _import_calls_module() -> Any:
    if importlib.util.find_spec(CALLS_MODULE) is None:
        return None
    return importlib.import_module(CALLS_MODULE)


def setup(app: application.Application) -> None:
    """Register the service ``rpc``."""
    app.add_service(
        'rpc',
        RpcServer(app),
        after=(
            'membership',
            'configuration',
            'upstream',
            'rollouts',
            'evidence',
        ),
    )
