"""Records of the nodes and their workers."""

from __future__ import annotations

from typing import NamedTuple


class NodeRecord(NamedTuple):
    """State of a node and of its worker, as published to other nodes.

    Records of one node are ordered by ``(incarnation, seq)``. ``gone`` marks
    a tombstone. ``service`` is empty if no upstream has announced itself.
    ``instance`` identifies the worker if the upstream's announcement contains
    it, and ``started_ms`` is the start of the worker since the epoch, 0 if
    unknown. ``left_instance`` is the instance that has left
    most recently, and ``left_started_ms`` its start since the epoch; a node
    that restarts learns of it from the other nodes.
    """

    node_id: str
    incarnation: int
    seq: int
    region: str
    failure_domain: str
    host: str
    rpc_port: int
    http_port: int
    gone: bool = False
    service: str = ''
    version: str = ''
    slots: int = 0
    ready: bool = False
    draining: bool = False
    instance: str = ''
    left_instance: str = ''
    left_started_ms: int = 0
    started_ms: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key of the records of one node."""
        return self.incarnation, self.seq

    @property
    def routable(self) -> bool:
        """Return whether new requests may be sent to the worker."""
        return bool(
            self.service and self.ready and not self.draining and not self.gone
        )


class Announcement(NamedTuple):
    """Content of an upstream's announcement to its node."""

    service: str
    version: str
    address: str
    port: int
    slots: int = 0
    connections: int = 0
    ready: bool = True
    draining: bool = False
    instance: str = ''
    started_ms: int = 0
