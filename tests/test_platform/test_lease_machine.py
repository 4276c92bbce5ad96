"""State machine of leases under pauses, outages and lost answers."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from damaskpier import errors
from damaskpier import events
from damaskpier.platform import lease
from tests.test_platform import stepped

NAME = 'fleet'
NODES = 3


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Three nodes contend; calls take effect and are answered in any order.

    A node that is paused does nothing: its answers arrive after the pause.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.driver = stepped.Driver()
        self.epochs: dict[int, int] = {}
        self.nodes = [
            lease.Leases(
                self.driver.make_store(), events.Events(), lambda: self.now
            )
            for _ in range(NODES)
        ]
        self.tasks = [None] * NODES

    @stateful.rule(node=st.integers(0, NODES - 1))
    def acquire(self, node):
        """Start an attempt unless another one runs."""
        leases = self.nodes[node]
        if leases.epoch(NAME) is None:
            self._start(node, leases.acquire(NAME, {'node_id': str(node)}))

    @stateful.rule(node=st.integers(0, NODES - 1))
    def renew(self, node):
        """Start a renewal unless another one runs."""
        if self.nodes[node].epoch(NAME) is not None:
            self._start(node, self.nodes[node].renew(NAME))

    @stateful.rule(node=st.integers(0, NODES - 1))
    def release(self, node):
        """Stop gracefully, also while a renewal is on its way."""
        if self.nodes[node].epoch(NAME) is not None:
            self.driver.spawn(self.nodes[node].release(NAME))

    @stateful.rule(seconds=st.sampled_from([0.3, 1.3, 2.0, 3.9, 4.0, 9.0]))
    def pass_time(self, seconds):
        """Let time pass; long steps are pauses of all processes."""
        self.now += seconds

    @stateful.rule(index=st.integers(0, 9))
    def apply(self, index):
        """Let a call take effect ahead of its answer."""
        self.driver.apply(index)

    @stateful.rule(index=st.integers(0, 9))
    def answer(self, index):
        """Answer a call."""
        self.driver.answer(index)

    @stateful.rule()
    def answer_all(self):
        """Answer all calls, so that short runs get somewhere."""
        while self.driver.network:
            self.driver.answer(0)

    @stateful.rule(index=st.integers(0, 9))
    def lose(self, index):
        """Lose an answer; the write may still take effect."""
        self.driver.lose(index)

    @stateful.rule(is_down=st.booleans())
    def outage(self, is_down):
        """Begin or end an outage."""
        self.driver.set_down(is_down)

    @stateful.invariant()
    def one_holder(self):
        """Guards against two processes that both act as the holder."""
        holders = [n for n in range(NODES) if self.nodes[n].held(NAME)]
        assert len(holders) <= 1, holders
        for node in range(NODES):
            epoch = self.nodes[node].epoch(NAME)
            if epoch is not None:
                assert self.epochs.setdefault(epoch, node) == node
        if holders:
            assert self.nodes[holders[0]].epoch(NAME) == max(self.epochs)

    def teardown(self):
        """Check that a lease is not stuck once all is well again."""
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

    def _start(self, node, coroutine):
        task = self.tasks[node]
        if task is None or task.done():
            self.tasks[node] = self.driver.spawn(coroutine)
        else:
            coroutine.close()


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
