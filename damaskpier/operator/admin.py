"""Client of the admin pages of the fleet root and the region roots.

The addresses come from the lease objects that the platform stores.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado import httpclient
from tornado import iostream
from tornado import simple_httpclient

from damaskpier import errors
from damaskpier.store import object_keys

if TYPE_CHECKING:
    from damaskpier.store import base

PAGE_TIMEOUT_S = 2.0
# Leaves 16 KB for each node on a list of 1000 nodes.
MAX_PAGE_BYTES = 16 * 1024 * 1024
FLEET_LEASE = 'fleet'
REGION_LEASE_PREFIX = 'region-'

PageFetcher = Callable[[str], Awaitable[Any]]


class LeaseHolder(NamedTuple):
    """Node that holds a lease, with the address of its admin server."""

    lease: str
    node_id: str
    host: str
    admin_port: int

    def page_url(self, page: str) -> str:
        """Return the URL of an admin page."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'http://{host}:{self.admin_port}/{page}'


async def fetch_json(url: str) -> Any:
    """Return the decoded JSON of a page.

    :returns: None if the request fails or the body is not JSON, also if it
        is larger than any page
    """
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_buffer_size=MAX_PAGE_BYTES,
        max_body_size=MAX_PAGE_BYTES,
    )
    try:
        reply = await client.fetch(
            url,
            connect_timeout=PAGE_TIMEOUT_S,
            request_timeout=PAGE_TIMEOUT_S,
        )
        return json.loads(reply.body)
    except (
        httpclient.HTTPError,
        # A head above the limit.
        iostream.UnsatisfiableReadError,
        OSError,
        ValueError,
    ):
        return None
    finally:
        client.close()


async def read_lease_holders(store: base.ObjectStore) -> list[LeaseHolder]:
    """Read the lease holders from the platform.

    :returns: the fleet root first; empty if the platform does not answer.
        Lease objects without a valid holder are omitted.
    """
    stored = await store.list(object_keys.LEASE_PREFIX)
    if isinstance(stored, errors.Refusal):
        return []
    result = []
    for item in stored:
        name = item.key.removeprefix(object_keys.LEASE_PREFIX)
        holder = _decode_holder(name, item.value)
        if holder is not None:
            result.append(holder)
    return sorted(result, key=lambda item: item.lease != FLEET_LEASE)


def _decode_holder(lease: str, value: bytes) -> LeaseHolder | None:
    try:
        document = json.loads(value)['holder']
        return LeaseHolder(
            lease,
            str(document['node_id']),
            str(document['host']),
            int(document['admin_port']),
        )
    except (ValueError, KeyError, TypeError):
        return None


async def fetch_root_page(
    store: base.ObjectStore, fetch_page: PageFetcher, page: str
) -> tuple[LeaseHolder, Any] | None:
    """Return a page of the fleet root, or of a region root in its place.

    The region roots are asked only if the fleet root does not answer.

    :param page: name of the admin page
    :returns: the node that answered and the decoded page, or None if no root
        answered
    """
    for holder in await read_lease_holders(store):
        document = await fetch_page(holder.page_url(page))
        if document is not None:
            return holder, document
    return None
