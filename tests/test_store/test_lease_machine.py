"""State machine of leases under pauses, outages and lost answers."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from damaskpier import errors
from damaskpier import events
from damaskpier.store import lease
from tests.test_store import stepped_store

NAME = 'fleet'
NODES = 3


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Three nodes contend; calls take effect and are answered in any order.

    A node is paused as long as none of its calls is answered.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.driver = stepped_store.Driver()
        self.epochs: dict[int, int] = {}
        self.stores = [self.driver.make_store() for _ in range(NODES)]
        self.nodes = [
            lease.Leases(store, events.Events(), lambda: self.now)
            for store in self.stores
        ]
        self.tasks = [None] * NODES

    @stateful.rule(
        node=st.integers(0, NODES - 1), answers=st.sampled_from([0, 1, 2, 2])
    )
    def acquire_or_renew(self, node, answers):
        """Acquire or renew, as the node would, and answer some calls."""
        leases = self.nodes[node]
        task = self.tasks[node]
        if task is None or task.done():
            if leases.epoch(NAME) is None:
                job = leases.acquire(NAME, {'node_id': str(node)})
            else:
                job = leases.renew(NAME)
            self.tasks[node] = self.driver.spawn(job)
        self.driver.advance_store(self.stores[node], answers)

    @stateful.rule(
        node=st.integers(0, NODES - 1),
        is_rare=st.sampled_from([False, False, False, True]),
    )
    def release(self, node, is_rare):
        """Stop gracefully, also while a renewal is on its way."""
        if is_rare and self.nodes[node].epoch(NAME) is not None:
            self.driver.spawn(self.nodes[node].release(NAME))

    @stateful.rule(seconds=st.sampled_from([0.5, 1.3, 2.0, 2.6, 4.0]))
    def pass_time(self, seconds):
        """Advance the clock; a long step is a pause of all processes."""
        self.now += seconds

    @stateful.precondition(lambda self: self.driver.network)
    @stateful.rule(index=st.integers(0, 9))
    def apply(self, index):
        """Let a call take effect before its answer."""
        self.driver.apply(index)

    @stateful.precondition(lambda self: self.driver.network)
    @stateful.rule(index=st.integers(0, 9))
    def answer(self, index):
        """Answer a call."""
        self.driver.answer(index)

    @stateful.precondition(lambda self: self.driver.network)
    @stateful.rule(index=st.integers(0, 9), is_applied=st.booleans())
    def lose(self, index, is_applied):
        """Lose an answer; the write may also take effect later."""
        if is_applied:
            self.driver.apply(index)
        self.driver.lose(index)

    @stateful.rule(is_down=st.sampled_from([False, False, False, True]))
    def outage(self, is_down):
        """Start or end an outage; in most steps there is none."""
        self.driver.set_down(is_down)

    @stateful.invariant()
    def at_most_one_holder(self):
        """Guard against two processes that both act as the holder.

        Each epoch belongs to one node, and the holder has the highest one.
        """
        holders = [n for n in range(NODES) if self.nodes[n].is_held(NAME)]
        assert len(holders) <= 1, holders
        for node in range(NODES):
            epoch = self.nodes[node].epoch(NAME)
            if epoch is not None:
                assert self.epochs.setdefault(epoch, node) == node
        if holders:
            assert self.nodes[holders[0]].epoch(NAME) == max(self.epochs)

    def teardown(self):
        """Check that the lease can be acquired after all faults have ended."""
        self.driver.finish()
        for node in self.nodes:
            self.driver.spawn(node.release(NAME))
            self.driver.finish()
        self.now += 2 * lease.LEASE_TTL_S
        taken = None
        for _ in range(4):
            task = self.driver.spawn(self.nodes[0].acquire(NAME, {}))
            self.driver.finish()
            taken = task.result()
            self.now += lease.LEASE_TTL_S
        self.driver.close()
        assert not isinstance(taken, errors.Refusal)


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = hypothesis.settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
