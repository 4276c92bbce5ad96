"""Tail probabilities of discrete distributions."""

from __future__ import annotations

from collections.abc import Callable
import math

# Terms below this part of the sum are left out.
_NEGLIGIBLE = 1e-12


def poisson(mean: float, count: int) -> float:
    """Return the probability of at least ``count`` events.

    :param mean: expected number of events
    """
    if count <= 0:
        return 1.0
    if mean <= 0.0:
        return 0.0
    first = math.exp(count * math.log(mean) - mean - math.lgamma(count + 1))
    return _sum(first, count, mean, lambda number: mean / number)


def binomial(trials: int, chance: float, count: int) -> float:
    """Return the probability of at least ``count`` successes.

    :param chance: probability of a success, 0..1
    """
    if count <= 0 or chance >= 1.0:
        return 1.0
    if count > trials or chance <= 0.0:
        return 0.0
    first = math.exp(
        math.lgamma(trials + 1)
        - math.lgamma(count + 1)
        - math.lgamma(trials - count + 1)
        + count * math.log(chance)
        + (trials - count) * math.log1p(-chance)
    )
    odds = chance / (1.0 - chance)
    return _sum(
        first,
        count,
        trials * chance,
        lambda number: (trials - number + 1) / number * odds,
    )


def _sum(
    term: float, number: int, mean: float, ratio: Callable[[int], float]
) -> float:
    """Return the sum of the terms from one on.

    :param term: the first one
    :param number: its number
    :param ratio: returns the ratio of a term to the one before it
    """
    total = term
    while term > 0.0 and (number < mean or term > _NEGLIGIBLE * total):
        number += 1
        term *= ratio(number)
        total += term
    return min(total, 1.0)
