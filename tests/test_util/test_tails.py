"""Tail probabilities.

They guard against errors of rounding: the counts of a move reach some
thousands, for which single terms are too small or too large for a float.
"""

from __future__ import annotations

import math

import pytest

from damaskpier.util import tails


def test_poisson_tail():
    expected = 1.0 - math.exp(-2.0) * (1 + 2 + 2)
    assert tails.poisson(2.0, 3) == pytest.approx(expected)
    assert tails.poisson(2.0, 0) == 1.0
    assert tails.poisson(0.0, 1) == 0.0


def test_binomial_tail():
    assert tails.binomial(10, 0.5, 5) == pytest.approx(638 / 1024)
    assert tails.binomial(3, 0.2, 3) == pytest.approx(0.008)
    assert tails.binomial(3, 0.2, 0) == 1.0
    assert tails.binomial(3, 0.0, 1) == 0.0
    assert tails.binomial(3, 1.0, 3) == 1.0
    assert tails.binomial(3, 0.5, 4) == 0.0


def test_tails_of_large_counts():
    assert tails.poisson(5000.0, 5000) == pytest.approx(0.5, abs=0.01)
    assert tails.binomial(5000, 0.4, 2000) == pytest.approx(0.5, abs=0.01)
    assert 0.0 < tails.poisson(5000.0, 5300) < 1e-4
