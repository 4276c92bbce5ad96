"""Tests of the gRPC server for other nodes."""

from __future__ import annotations

import socket

import grpclib.client

from damaskpier import application
from damaskpier import config
from damaskpier.mesh import membership
from damaskpier.rpc import mesh_grpc
from damaskpier.rpc import mesh_pb2
from damaskpier.rpc import server

SETTINGS = """\
[node]
id = n1
region = souss
failure_domain = souss-1
[platform]
address = 127.0.0.1:1
"""


async def test_server_answers_on_the_port_that_the_kernel_chose():
    app = application.Application(config.loads(SETTINGS))
    membership.setup(app)
    server.setup(app)
    await app.start()
    port = app.service('membership').local_record().rpc_port
    channel = grpclib.client.Channel('127.0.0.1', port)
    try:
        stub = mesh_grpc.MeshStub(channel)
        reply = await stub.Ping(mesh_pb2.PingRequest())
        assert reply.node_id == 'n1'
    finally:
        channel.close()
        await app.stop()


def test_connections_have_no_delay_and_notice_dead_peers():
    """Sockets are created with the protocol number and TCP keepalive.

    Without the protocol number asyncio leaves Nagle's algorithm enabled, so
    that each attempt to attach takes 40 ms. Without keepalive half-open
    connections stay open.
    """
    sock = server.make_socket('127.0.0.1', 0)
    try:
        assert sock.proto == socket.IPPROTO_TCP
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    finally:
        sock.close()
