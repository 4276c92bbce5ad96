"""Client of the nodes' admin pages, found through the lease objects."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado import httpclient

from damaskpier import errors
from damaskpier.store import object_keys

if TYPE_CHECKING:
    from damaskpier.store import base

PAGE_TIMEOUT_S = 2.0
FLEET_LEASE = 'fleet'
REGION_LEASE_PREFIX = 'region-'

Fetch = Callable[[str], Awaitable[Any]]


class Holder(NamedTuple):
    """Node that holds a lease."""

    lease: str
    node_id: str
    host: str
    admin_port: int

    def url(self, page: str) -> str:
        """Return the address of an admin page."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'http://{host}:{self.admin_port}/{page}'


async def fetch(url: str) -> Any:
    """Return the JSON of a page, or None where there is no answer."""
    client = httpclient.AsyncHTTPClient(force_instance=True)
    try:
        reply = await client.fetch(
            url,
            connect_timeout=PAGE_TIMEOUT_S,
            request_timeout=PAGE_TIMEOUT_S,
        )
        return json.loads(reply.body)
    except (httpclient.HTTPError, OSError, ValueError):
        return None
    finally:
        client.close()


async def holders(store: base.ObjectStore) -> list[Holder]:
    """Return the lease holders, the fleet root first."""
    found = await store.list(object_keys.LEASE_PREFIX)
    if isinstance(found, errors.Refusal):
        return []
    result = []
    for item in found:
        name = item.key.removeprefix(object_keys.LEASE_PREFIX)
        holder = _holder(name, item.value)
        if holder is not None:
            result.append(holder)
    return sorted(result, key=lambda item: item.lease != FLEET_LEASE)


def _holder(lease: str, value: bytes) -> Holder | None:
    try:
        document = json.loads(value)['holder']
        return Holder(
            lease,
            str(document['node_id']),
            str(document['host']),
            int(document['admin_port']),
        )
    except (ValueError, KeyError, TypeError):
        return None


async def page_of_root(
    store: base.ObjectStore, fetch_page: Fetch, page: str
) -> tuple[Holder, Any] | None:
    """Return a page of the fleet root, or of a region root in its place.

    :returns: who answered and the document, or None where nobody did
    """
    for holder in await holders(store):
        document = await fetch_page(holder.url(page))
        if document is not None:
            return holder, document
    return None
