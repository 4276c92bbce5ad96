"""Settings of the cyclic garbage collector for a server process."""

from __future__ import annotations

import gc

# New objects between two collections. A request makes some hundred, nearly all
# of which are freed by their reference counts.
YOUNG_OBJECTS = 10_000
# Collections of one generation between two of the next one.
COLLECTIONS_PER_GENERATION = 20


def reduce_collections() -> None:
    """Collect seldom, and never look at what exists now.

    The modules and services of a process live as long as it does.
    """
    gc.freeze()
    gc.set_threshold(
        YOUNG_OBJECTS, COLLECTIONS_PER_GENERATION, COLLECTIONS_PER_GENERATION
    )
