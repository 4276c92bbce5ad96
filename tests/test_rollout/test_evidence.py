"""Tests of the evidence store and of the messages with evidence."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from damaskpier.rollout import evidence
from damaskpier.rollout import model
from damaskpier.rollout import wire
from damaskpier.rpc import mesh_pb2
from tests.test_rollout import conftest

FEW_WINDOWS = conftest.cells(st.integers(100, 102))


def merge_and_drain(*groups):
    """Merge groups of cells in a new store; return what it drains."""
    store = evidence.EvidenceStore('souss-1')
    for group in groups:
        store.merge(group)
    return store.drain(0.0)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.lists(FEW_WINDOWS, max_size=4), max_size=3))
def test_merge_is_associative_and_commutative(groups):
    """Merged evidence must not depend on the path up the tree.

    Nodes merge the cells of their children in any order and in any grouping.
    """
    expected = merge_and_drain(*groups)
    for order in itertools.permutations(groups):
        assert merge_and_drain(*order) == expected
    merged = merge_and_drain(*groups[:2])
    assert merge_and_drain(merged, *groups[2:]) == expected


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.booleans(),
            st.floats(0, 3000),
            st.sampled_from(conftest.SHARES),
            st.floats(0, 0.7),
        ),
        max_size=60,
    )
)
def test_every_sample_is_drained_once(samples):
    """No count may be lost or sent twice.

    Answers that take up to 3 s can arrive after their window was drained.
    """
    store = evidence.EvidenceStore('souss-1')
    now = 1000.0
    found = []
    for is_new, failed, ms, share, gap in samples:
        now += gap
        sample = model.Sample('m1', 'r', is_new, failed, ms, share)
        store.record(sample, now)
        found += store.drain(now)
        assert all(cell.window + 1 <= now for cell in found)
    found += store.drain(now + 60.0)
    assert store.drain(now + 120.0) == []
    for is_new in (False, True):
        wanted = [sample for sample in samples if sample[0] is is_new]
        got = [cell.new if is_new else cell.old for cell in found]
        assert sum(part.requests for part in got) == len(wanted)
        assert sum(part.failures for part in got) == sum(
            sample[1] for sample in wanted
        )
        assert sum(sum(part.latency.values()) for part in got) == len(wanted)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(conftest.cells())
def test_cell_is_unchanged_by_encoding(cell):
    """A field that is missing in the message is lost at the parent."""
    message = wire.cell_to_message(cell).SerializeToString()
    parsed = mesh_pb2.EvidenceCell.FromString(message)
    assert wire.cell_from_message(parsed) == cell


def test_failures_are_sent_before_quiet_windows():
    """A failure must not wait for the interval of windows without one."""
    store = evidence.EvidenceStore('souss-1', quiet_s=4.0)
    store.record(model.Sample('m1', 'r', False, False, 5.0, 0.5), 10.5)
    assert store.drain(11.6) == []
    store.record(model.Sample('m1', 'r', True, True, 5.0, 0.5), 11.7)
    assert [cell.window for cell in store.drain(12.3)] == [11]


def test_timeouts_of_both_versions_wait_alike():
    """Timeouts of both versions must be sent after the same wait.

    If those of the new version came first, a timeout common to both versions
    would count as a fault of the new one.
    """
    sent = []
    for is_new in (False, True):
        store = evidence.EvidenceStore('souss-1')
        store.record(model.Sample('m1', 'r', is_new, True, 2000.0, 0.5), 12.5)
        sent.append([bool(store.drain(now)) for now in (13.0, 14.0, 16.0)])
    assert sent[0] == sent[1]
