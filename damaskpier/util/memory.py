"""Limit of the memory for messages that a process receives."""

from __future__ import annotations

import abc
import logging

LOG = logging.getLogger(__name__)


class Receiver(abc.ABC):
    """Connection that receives a message and keeps its bytes."""

    @abc.abstractmethod
    def memory_exhausted(self) -> None:
        """Discard the message, whose bytes are no longer counted."""


class MemoryLimit:
    """Limit of the bytes that all receivers keep at one time.

    :param limit_bytes: limit in bytes
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._sizes: dict[Receiver, int] = {}

    def add(self, receiver: Receiver, size: int) -> None:
        """Count bytes of a message, which may exhaust the memory.

        The largest messages are discarded then, because discarding the latest
        ones would fail small messages as long as a few large ones stay.

        :param size: number of bytes in addition to those counted before
        """
        self._sizes[receiver] = self._sizes.get(receiver, 0) + size
        self.used_bytes += size
        while self.used_bytes > self.limit_bytes and self._sizes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            LOG.warning(
                'http: discarding a message of %d bytes: all messages have '
                '%d bytes, limit %d',
                self._sizes[largest],
                self.used_bytes,
                self.limit_bytes,
            )
            self.release(largest)
            largest.memory_exhausted()

    def release(self, receiver: Receiver) -> None:
        """Stop counting the bytes of a receiver's message."""
        self.used_bytes -= self._sizes.pop(receiver, 0)

    def keep(self, receiver: Receiver) -> int:
        """Count a complete message until :meth:`free` is called.

        It is not discarded when the memory is exhausted.

        :returns: size of the message in bytes
        """
        return self._sizes.pop(receiver, 0)

    def free(self, size: int) -> None:
        """Stop counting a complete message.

        :param size: size that :meth:`keep` returned
        """
        self.used_bytes -= size
