"""Conversion between records of the mesh and protobuf messages."""

from __future__ import annotations

import functools
import hashlib
from typing import Any
from typing import TYPE_CHECKING
import zlib

from damaskpier.mesh import model
from damaskpier.rpc import mesh_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

# Smaller messages gain nothing from compression.
COMPRESS_ABOVE_BYTES = 600
# Several times the size of all records of a fleet of the target scale.
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
# Converted records that are kept. A node that starts gets the records of the
# whole fleet from every other node, mostly the same ones as the node that
# started before it. A message takes about 1.2 kB of memory.
CONVERTED_RECORD_COUNT = 1024


@functools.lru_cache(CONVERTED_RECORD_COUNT)
def record_to_pb(record: model.NodeRecord) -> mesh_pb2.NodeRecord:
    """Convert a record to a message, which must not be changed."""
    return mesh_pb2.NodeRecord(**record._asdict())


def record_from_pb(msg: mesh_pb2.NodeRecord) -> model.NodeRecord:
    """Convert a message to a record."""
    return model.NodeRecord(
        msg.node_id,
        msg.incarnation,
        msg.seq,
        msg.region,
        msg.failure_domain,
        msg.host,
        msg.rpc_port,
        msg.http_port,
        msg.gone,
        msg.service,
        msg.version,
        msg.slots,
        msg.ready,
        msg.draining,
        msg.instance,
        msg.left_instance,
        msg.left_started_ms,
        msg.started_ms,
    )


def records_from_pb(
    msgs: Iterable[mesh_pb2.NodeRecord],
) -> list[model.NodeRecord]:
    """Convert messages to records."""
    return [record_from_pb(msg) for msg in msgs]


def delta_to_pb(
    records: Iterable[model.NodeRecord], domains: Iterable[str] = ()
) -> mesh_pb2.MembershipDelta:
    """Convert records to a message, which is compressed if it is large.

    :param domains: failure domains of which the message holds all records
    """
    delta = mesh_pb2.MembershipDelta(
        records=[record_to_pb(record) for record in records],
        domains=sorted(domains),
    )
    if delta.ByteSize() <= COMPRESS_ABOVE_BYTES:
        return delta
    return mesh_pb2.MembershipDelta(
        packed=zlib.compress(delta.SerializeToString(), 1)
    )


def delta_from_pb(
    msg: mesh_pb2.MembershipDelta,
) -> tuple[list[model.NodeRecord], set[str]]:
    """Return the records of a message and its complete failure domains."""
    msg = unpack_delta(msg)
    return [record_from_pb(item) for item in msg.records], set(msg.domains)


def unpack_delta(msg: mesh_pb2.MembershipDelta) -> mesh_pb2.MembershipDelta:
    """Return a message with its records uncompressed."""
    if not msg.packed:
        return msg
    data = zlib.decompressobj().decompress(msg.packed, MAX_DECOMPRESSED_BYTES)
    return mesh_pb2.MembershipDelta.FromString(data)


def digests_to_pb(digests: dict[str, int]) -> list[mesh_pb2.MembershipDigest]:
    """Convert digests per failure domain to messages."""
    return [
        mesh_pb2.MembershipDigest(failure_domain=name, digest=value)
        for name, value in sorted(digests.items())
    ]


def digests_from_pb(
    msgs: Iterable[mesh_pb2.MembershipDigest],
) -> dict[str, int]:
    """Convert messages to digests per failure domain."""
    return {msg.failure_domain: msg.digest for msg in msgs}


def redirect_to_pb(
    records: Iterable[model.NodeRecord], reason: str, leaving: bool = False
) -> mesh_pb2.Redirect:
    """Return a message that redirects a node, or refuses it.

    :param records: nodes to attach to instead; without any the node is
        refused
    :param leaving: whether the sender is stopping
    """
    return mesh_pb2.Redirect(
        candidates=[record_to_pb(record) for record in records],
        reason=reason,
        leaving=leaving,
    )


def record_hash(record: model.NodeRecord) -> int:
    """Return a 64-bit hash of a record's identity and order."""
    text = f'{record.node_id}/{record.incarnation}/{record.seq}'
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'little')


def record_to_holder(
    record: model.NodeRecord, admin_port: int = 0
) -> dict[str, Any]:
    """Convert a record to the fields of the holder of a lease."""
    return {
        'node_id': record.node_id,
        'host': record.host,
        'rpc_port': record.rpc_port,
        'http_port': record.http_port,
        'admin_port': admin_port,
        'region': record.region,
        'failure_domain': record.failure_domain,
    }


def record_from_holder(holder: dict[str, Any]) -> model.NodeRecord | None:
    """Convert the fields of a lease's holder to a record.

    The record has order (0, 0), so that it never replaces one of the node.

    :returns: None if a field is missing or has the wrong type
    """
    try:
        return model.NodeRecord(
            str(holder['node_id']),
            0,
            0,
            str(holder['region']),
            str(holder['failure_domain']),
            str(holder['host']),
            int(holder['rpc_port']),
            int(holder['http_port']),
        )
    except (KeyError, TypeError, ValueError):
        return None
