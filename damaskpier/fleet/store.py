"""Interface of the store that a fleet shares."""

from __future__ import annotations

import abc
from collections.abc import AsyncIterator

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier import registry


class FleetStore(registry.Service, abc.ABC):
    """Store of the configuration, the orders and the directory of nodes.

    Methods return a :class:`damaskpier.errors.Refusal` if the store refuses
    the call or does not answer.

    Emits ``store-answered(asked_at)`` for each answer with the changes of the
    configuration, before these are yielded. ``asked_at`` is the time of the
    monotonic clock at which the call began.
    """

    @abc.abstractmethod
    def configurations(
        self,
    ) -> AsyncIterator[model.Configuration | errors.Refusal]:
        """Yield the current configuration and then each change.

        The watch continues after outages; each failed call yields a refusal.
        """

    @abc.abstractmethod
    def orders(self) -> AsyncIterator[list[model.Order] | errors.Refusal]:
        """Yield the current orders and then those that change.

        Failed calls are treated as in :meth:`configurations`.
        """

    @abc.abstractmethod
    async def write_phase(
        self, order: model.Order, phase: model.Phase
    ) -> model.Order | errors.Refusal:
        """Write the phase of an order unless the order has changed.

        :returns: the order as the store holds it afterwards
        """

    @abc.abstractmethod
    async def register(
        self, node: model.NodeAddress
    ) -> model.DirectoryEntry | errors.Refusal:
        """Create a node's entry in the directory or replace its address.

        :returns: the entry with the departures that the store holds
        """

    @abc.abstractmethod
    async def write_departures(
        self, entry: model.DirectoryEntry, timeout_s: float
    ) -> model.DirectoryEntry | errors.Refusal:
        """Write the departures of an entry unless the entry has changed.

        :returns: the entry as the store holds it afterwards
        """

    @abc.abstractmethod
    async def directory(self) -> list[model.NodeAddress] | errors.Refusal:
        """Return all entries of the directory."""
