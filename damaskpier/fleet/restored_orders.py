"""Recognition of orders after the store came back from an older copy.

The copy may hold an earlier order of a service, or none, until the operator
writes the current one again. That one may be created anew, with another
identifier.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpier.fleet import model

# Earlier orders of a service that are recognized. A copy is some seconds old,
# in which an operator gives few orders.
MAX_SUPERSEDED_COUNT = 16


class Found(enum.Enum):
    """What an order from the store is, compared with the current one."""

    CURRENT = 'current'
    RECREATED = 'recreated'
    SUPERSEDED = 'superseded'
    NEW = 'new'


class OrderMatcher:
    """Compares orders from the store with the known ones."""

    def __init__(self) -> None:
        # Services whose current order has not been seen since the restore.
        self._unconfirmed: set[str] = set()
        self._superseded: dict[str, collections.deque[int]] = {}

    def store_restored(self, services: Iterable[str]) -> None:
        """Record that the store may hold earlier orders of these services."""
        self._unconfirmed = set(services)

    def record_superseded(self, order: model.Order) -> None:
        """Record that an order was replaced by a later one."""
        known = self._superseded.setdefault(
            order.service, collections.deque(maxlen=MAX_SUPERSEDED_COUNT)
        )
        known.append(order.order_id)

    def compare(self, order: model.Order, current: model.Order) -> Found:
        """Return what an order of the store is, given the current one.

        Without a restore, an order with another identifier is a new one, even
        if it has the identifier of an earlier order: the operator may return
        to an earlier version.
        """
        service = order.service
        is_current = (order.order_id, order.version) == (
            current.order_id,
            current.version,
        )
        if is_current:
            self._unconfirmed.discard(service)
            return Found.CURRENT
        if service not in self._unconfirmed:
            return Found.NEW
        if order.order_id in self._superseded.get(service, ()):
            return Found.SUPERSEDED
        self._unconfirmed.discard(service)
        if order.version == current.version:
            return Found.RECREATED
        return Found.NEW
