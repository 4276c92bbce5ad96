"""Data and Hypothesis strategies of the rollout tests."""

from __future__ import annotations

from hypothesis import strategies as st

from damaskpier.bundle import model as bundle_model
from damaskpier.rollout import model

MOVE = bundle_model.Move('m1', 'ledger', 'v1', 'v2', 100.0, 400.0)
ROUTES = (
    bundle_model.RouteSpec('ledger.balance', 'ledger', 'GET', '/b', True),
    bundle_model.RouteSpec('ledger.retire', 'ledger', 'POST', '/r', False),
)
SHARES = (0.0, 0.01, 0.25, 0.5, 0.99, 1.0)


@st.composite
def counts(draw):
    """Return consistent outcomes of one version."""
    latency = draw(
        st.dictionaries(st.integers(0, 144), st.integers(1, 20), max_size=4)
    )
    requests = sum(latency.values())
    failures = draw(st.integers(0, requests))
    return model.VersionCounts(requests, failures, latency)


def cells(windows=st.integers(100, 500)):
    """Return a strategy for evidence cells of the move."""
    return st.builds(
        model.EvidenceCell,
        st.just('m1'),
        st.sampled_from([route.name for route in ROUTES]),
        st.sampled_from(['souss-1', 'rif-1']),
        windows,
        counts(),
        counts(),
        st.sampled_from(SHARES),
    )
