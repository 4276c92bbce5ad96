"""Load balancing: policies that choose one of the usable workers."""

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
    """Return a new balancer.

    :param name: name of the policy as in bundles
    :param rng: source of all random choices
    :param clock: returns the time in seconds

    :raises KeyError: if there is no such policy
    """
    return POLICIES[name](rng, clock)
