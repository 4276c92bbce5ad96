"""Count of the bytes that this process receives over HTTP."""

from __future__ import annotations


class ByteCounter:
    """Sum over all connections of the process."""

    __slots__ = ('total',)

    def __init__(self) -> None:
        self.total = 0


RECEIVED = ByteCounter()
