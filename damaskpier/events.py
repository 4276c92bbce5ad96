"""Named events, through which services notify each other.

A service that emits an event does not depend on the services that listen.
"""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import Any

LOG = logging.getLogger(__name__)

Listener = Callable[..., Any]


class Events:
    """Calls the listeners of an event in the order they were connected."""

    def __init__(self) -> None:
        self._listeners: dict[str, list[Listener]] = {}

    def connect(self, name: str, listener: Listener) -> None:
        """Call a function whenever an event is emitted.

        :param listener: function that receives the arguments of the event
        """
        self._listeners.setdefault(name, []).append(listener)

    def emit(self, name: str, *args: Any) -> None:
        """Call every listener of an event.

        A listener that raises is logged and does not keep the others from
        being called.
        """
        for listener in self._listeners.get(name, ()):
            try:
                listener(*args)
            except Exception:
                LOG.exception('kernel: listener of %s failed', name)
