"""Abstract access to what the platform's store holds for a fleet."""

from __future__ import annotations

import abc
from collections.abc import AsyncIterator

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier import registry


class FleetStore(registry.Service, abc.ABC):
    """Configuration, orders and the directory of nodes.

    Methods return a :class:`damaskpier.errors.Refusal` where the store
    refused the call or did not answer.
    """

    @abc.abstractmethod
    def configurations(
        self,
    ) -> AsyncIterator[model.Configuration | errors.Refusal]:
        """Yield the configuration and each later one that is seen.

        Goes on over outages; a refusal is yielded for each failed call.
        """

    @abc.abstractmethod
    def orders(self) -> AsyncIterator[list[model.Order] | errors.Refusal]:
        """Yield the orders that are new or have changed, like above."""

    @abc.abstractmethod
    async def write_phase(
        self, order: model.Order, phase: model.Phase
    ) -> model.Order | errors.Refusal:
        """Write the state of an order unless it changed in the meantime."""

    @abc.abstractmethod
    async def register(self, node: model.NodeAddress) -> errors.Refusal | None:
        """Enter a node into the directory, replacing its earlier entry."""

    @abc.abstractmethod
    async def directory(self) -> list[model.NodeAddress] | errors.Refusal:
        """Return all nodes that are registered."""
