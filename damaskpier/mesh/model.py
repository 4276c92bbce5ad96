"""Records of the nodes and their workers."""

from __future__ import annotations

from typing import NamedTuple


class NodeRecord(NamedTuple):
    """What other nodes know of a node and of the worker beside it.

    Records of one node are ordered by ``(incarnation, seq)``. ``service``
    is empty where no upstream has announced itself; ``instance`` names one
    run of the worker where the upstream tells it.
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

    @property
    def order(self) -> tuple[int, int]:
        """Return the key that orders the records of one node."""
        return self.incarnation, self.seq

    @property
    def routable(self) -> bool:
        """Tell whether the worker may get new requests."""
        return bool(
            self.service and self.ready and not self.draining and not self.gone
        )


class Announcement(NamedTuple):
    """What an upstream tells its node about itself."""

    service: str
    version: str
    address: str
    port: int
    slots: int = 0
    connections: int = 0
    ready: bool = True
    draining: bool = False
    instance: str = ''
