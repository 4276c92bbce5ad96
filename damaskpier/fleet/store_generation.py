"""Generation of the store, which rises when it comes back from a copy."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = logging.getLogger(__name__)


class GenerationTracker:
    """Recognizes that the store has come back from an older copy.

    What was written to the store after the copy was made is lost then, and its
    revisions are assigned again.

    :param on_restore: called each time the generation rises
    """

    def __init__(self, on_restore: Callable[[], None]) -> None:
        # None before the first answer that states one.
        self.current: int | None = None
        self._on_restore = on_restore

    def observe(self, generation: int | None) -> bool:
        """Record the generation in an answer of the store.

        :param generation: None if the answer does not state one
        :returns: whether the answer is of the latest generation known
        """
        if generation is None or generation == self.current:
            return True
        if self.current is not None and generation < self.current:
            return False
        is_first = self.current is None
        self.current = generation
        if not is_first:
            LOG.warning(
                'platform: the store came back from an older copy, generation '
                '%d; what may be lost is written again',
                generation,
            )
            self._on_restore()
        return True
