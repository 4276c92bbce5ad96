"""Tests of the planned shares."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from damaskpier.rollout import shares

RATES = st.floats(0.05, 500.0)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(RATES, RATES, st.floats(20.0, 7200.0), st.booleans())
def test_share_grows_from_a_small_one_to_all(rate, other, length, repeatable):
    """Guards against steps back, early large shares and late moves."""
    plan = shares.Plan(50.0, 50.0 + length, repeatable, 0.01)
    rates = shares.Rates(rate, rate + other)
    planned = [
        plan.share(50.0 + part / 200 * length, rates) for part in range(201)
    ]
    assert planned == sorted(planned)
    assert planned[0] == 0.0
    # The example of the replay contract bounds the share of the service by
    # 0.05 until 28% of the time.
    assert all(share <= 0.08 for share in planned[:60])
    if rates.route > 0.5 * rates.service:
        assert all(share <= 0.05 for share in planned[:60])
    assert planned[182:] == [1.0] * 19
