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
    """Shares must never fall, be small early and reach 1 in time.

    All combinations of traffic on the route and on the rest of the service,
    length of the move and kind of route must give such a plan.
    """
    plan = shares.SharePlan(50.0, 50.0 + length, repeatable, 0.01)
    rates = shares.Rates(rate, rate + other)
    planned = [
        plan.share(50.0 + part / 200 * length, rates) for part in range(201)
    ]
    assert planned == sorted(planned)
    assert planned[0] == 0.0
    # The example of the replay contract bounds the share of the service by
    # 0.05 during the first 28% of the time.
    assert all(share <= 0.08 for share in planned[:60])
    if rates.route > 0.5 * rates.service:
        assert all(share <= 0.05 for share in planned[:60])
    assert planned[182:] == [1.0] * 19
