"""Balancers: the choice of one worker among the usable ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpier.traffic.balancer import base
from damaskpier.traffic.balancer import simple
from damaskpier.traffic.balancer import two_choices

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

POLICIES: dict[str, type[base.Balancer]] = {
    'random': simple.Random,
    'round_robin': simple.RoundRobin,
    'least_outstanding': simple.LeastOutstanding,
    'two_choices': two_choices.TwoChoices,
}
DEFAULT_POLICY = 'two_choices'


def make_balancer(
    name: str, rng: random.Random, clock: Callable[[], float]
) -> base.Balancer:
    """Return a balancer by the name that bundles use for it.

    :raises KeyError: if there is no such policy
    """
    return POLICIES[name](rng, clock)
