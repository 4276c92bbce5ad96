"""State machine of racing operators, deciders and the audit trail."""

from __future__ import annotations

from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from damaskpier.bundle import check
from damaskpier.bundle import codec
from damaskpier.bundle import model
from damaskpier import errors
from damaskpier.rollout import model as rollout_model
from damaskpier.store import audit
from damaskpier.store import moves
from damaskpier.store import object_keys
from damaskpier.store import signoff
from tests.test_store import stepped_store

# Versions that are signed off in a row; more than the patched
# KEPT_BUNDLE_COUNT, so that a head drops an older version from its list.
CHURN_COUNT = 4
SERVICES = ('ledger', 'parcels')
VERSIONS = ('v1', 'v2', 'v3')
PHASES = (rollout_model.Phase.RUNNING, rollout_model.Phase.DONE)


FIRST_BUNDLE = model.Bundle(
    {name: model.ServiceSpec(name, 'v1') for name in SERVICES},
    {'a': model.RouteSpec('a', 'ledger', 'POST', '/a')},
)


class SignoffMachine(stateful.RuleBasedStateMachine):
    """Writers race; answers are lost, and writes take effect late."""

    def __init__(self) -> None:
        super().__init__()
        # Small limits, so that short runs prune and begin new segments.
        self.patches = [
            mock.patch.object(signoff, 'KEPT_BUNDLE_COUNT', 3),
            mock.patch.object(signoff, 'PRUNE_INTERVAL_VERSIONS', 1),
            mock.patch.object(signoff, 'KEPT_MOVE_COUNT', 4),
        ]
        for patch in self.patches:
            patch.start()
        self.driver = stepped_store.Driver()
        self.heads: list[model.Head] = []
        self.bundles: list[model.Bundle] = []
        self.sign_offs: dict[str, object] = {}
        self.take_backs: list[tuple[str, object]] = []
        self.audited_entry_ids: list[str] = []
        self.trails = [
            audit.Trail(self.driver.make_store(), segment_entries=3)
            for _ in range(2)
        ]

    @stateful.rule(
        service=st.sampled_from(SERVICES),
        version=st.sampled_from([None, None, *VERSIONS]),
        queue=st.integers(1, 3),
        is_based=st.booleans(),
        is_stepped=st.booleans(),
    )
    def sign_off(self, service, version, queue, is_based, is_stepped):
        """Start a sign-off, based on the version in force or on any."""
        bundle = self.bundles[-1] if self.bundles else FIRST_BUNDLE
        spec = bundle.services[service]
        spec = spec._replace(version=version or spec.version, queue=queue)
        bundle = bundle._replace(services={**bundle.services, service: spec})
        operator = f'op{len(self.sign_offs)}'
        base = len(self.heads) if is_based else None
        self.sign_offs[operator] = self.driver.start(
            is_stepped,
            signoff.sign_off,
            bundle,
            base,
            operator,
            200.0,
            '',
            100.0,
        )

    @stateful.precondition(lambda self: len(self.heads) < 12)
    @stateful.rule()
    def sign_off_many(self):
        """Sign off more versions than the head lists in ``recent``."""
        for queue in range(10, 10 + CHURN_COUNT):
            self.sign_off('parcels', None, queue, False, False)
            self.record_head()

    @stateful.precondition(lambda self: self._moves())
    @stateful.rule(
        index=st.integers(0, 2),
        epoch=st.sampled_from([None, 1]),
        is_stepped=st.booleans(),
    )
    def take_back(self, index, epoch, is_stepped):
        """Start to take back a move, perhaps one that is not in the head."""
        known = self._moves()
        move = known[-1 - index % len(known)]
        task = self.driver.start(
            is_stepped,
            signoff.take_back,
            move,
            'decider',
            'bad',
            errors.ROLLOUT_FAILURES,
            epoch,
            120.0,
        )
        self.take_backs.append((move, task))

    @stateful.precondition(lambda self: self._moves())
    @stateful.rule(
        index=st.integers(0, 2),
        epoch=st.integers(1, 2),
        seq=st.integers(1, 3),
        phase=st.sampled_from(PHASES),
        is_stepped=st.booleans(),
    )
    def write_state(self, index, epoch, seq, phase, is_stepped):
        """Start to write a decision."""
        known = self._moves()
        state = rollout_model.MoveState(
            known[-1 - index % len(known)], epoch, seq, phase, {'a': 0.5}
        )
        self.driver.start(
            is_stepped, moves.write_move_state, state, {}, 'decider', 110.0
        )

    @stateful.rule(trail=st.integers(0, 1))
    def append(self, trail):
        """Add an entry to the audit trail and start to write it."""
        entry = audit.make_entry('op', 'sign-off', now=1.0)
        self.audited_entry_ids.append(entry.entry_id)
        self.trails[trail].append(entry)
        self.driver.spawn(self.trails[trail].flush())

    @stateful.precondition(lambda self: self.driver.network)
    @stateful.rule(index=st.integers(0, 9))
    def apply(self, index):
        """Let a call take effect before its answer."""
        self.driver.apply(index)

    @stateful.precondition(lambda self: self.driver.network)
    @stateful.rule(index=st.integers(0, 9), count=st.integers(1, 8))
    def advance(self, index, count):
        """Answer up to a number of calls of one client."""
        for _ in range(count):
            self.driver.advance(index, 1)
            self.record_head()

    @stateful.precondition(lambda self: self.driver.network)
    @stateful.rule(index=st.integers(0, 9), is_applied=st.booleans())
    def lose(self, index, is_applied):
        """Lose an answer; the write may also take effect later."""
        if is_applied:
            self.driver.apply(index)
            self.record_head()
        self.driver.lose(index)

    @stateful.precondition(lambda self: self._head_writes())
    @stateful.rule()
    def lose_head_write(self):
        """Lose the answer to a write of the head that takes effect."""
        index = self._head_writes()[0]
        self.driver.apply(index)
        self.record_head()
        self.driver.lose(index)

    @stateful.rule(is_down=st.booleans())
    def outage(self, is_down):
        """Start or end an outage."""
        self.driver.set_down(is_down)

    @stateful.invariant()
    def record_head(self):
        """Guard against heads that go back or can not be applied.

        Versions have to increase by one, and the bundle of each new head has
        to be stored and valid. Records the head for later checks.
        """
        stored = self.driver.state.get(object_keys.CONFIG_HEAD)
        if stored is None:
            return
        head = codec.decode_head(stored.value)
        if self.heads and head == self.heads[-1]:
            return
        before = self.heads[-1] if self.heads else None
        assert head.version == (before.version + 1 if before else 1)
        assert head.previous_version == (before.version if before else 0)
        content = self.driver.state.get(object_keys.bundle_key(head.digest))
        assert content is not None, 'the bundle was pruned'
        bundle = codec.decode_bundle(content.value)
        assert check.check_snapshot(model.Snapshot(head, bundle)) is None
        self.heads.append(head)
        self.bundles.append(bundle)

    @stateful.invariant()
    def bundle_is_present(self):
        """Guard against pruning the bundle that is in force."""
        if self.heads:
            key = object_keys.bundle_key(self.heads[-1].digest)
            assert self.driver.state.get(key) is not None

    def teardown(self):
        """Answer all calls and check the results that the writers got."""
        try:
            while self.driver.network:
                self.driver.answer(0)
                self.record_head()
            self.driver.set_down(False)
            self._check_sign_offs()
            self._check_take_backs()
            self._check_audit()
        finally:
            self.driver.close()
            for patch in self.patches:
                patch.stop()

    def _check_sign_offs(self):
        """Check that a sign-off has a head unless it was refused."""
        by_operator = {head.signed_by: head for head in self.heads}
        for operator, task in self.sign_offs.items():
            outcome = task.result()
            if isinstance(outcome, model.Head):
                assert by_operator[operator] == outcome
            elif outcome.code is not errors.PLATFORM_UNKNOWN:
                assert operator not in by_operator, outcome

    def _check_take_backs(self):
        """Check that a move that was taken back stays out of later heads."""
        gone: dict[str, int] = {}
        for head in self.heads:
            for move in head.moves:
                assert move.move not in gone
            if head.note.startswith('take back '):
                gone[head.note.split()[2].rstrip(':')] = head.version
        for move, task in self.take_backs:
            outcome = task.result()
            if isinstance(outcome, model.Head):
                assert outcome.version >= gone[move]

    def _check_audit(self):
        """Check that each audit entry is stored exactly once, in order."""
        for trail in self.trails:
            for _ in range(3):
                self.driver.spawn(trail.flush())
                self.driver.finish()
        stored = [
            entry['entry_id']
            for item in self.driver.state.list(object_keys.AUDIT_PREFIX, 1000)
            for entry in codec.msgspec.json.decode(item.value)['entries']
        ]
        assert sorted(stored) == sorted(self.audited_entry_ids)
        task = self.driver.spawn(self.trails[0].read(1000))
        self.driver.finish()
        newest_first = [entry.entry_id for entry in task.result()]
        assert newest_first == stored[::-1]

    def _head_writes(self):
        return [
            index
            for index, call in enumerate(self.driver.network)
            if call.is_write
            and call.key == object_keys.CONFIG_HEAD
            and not call.future.done()
        ]

    def _moves(self):
        found = {}
        for head in self.heads:
            for move in head.moves:
                found[move.move] = None
        return list(found)


TestSignoffMachine = SignoffMachine.TestCase
TestSignoffMachine.settings = hypothesis.settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
