"""Entry nodes and owners of allowances on a virtual clock.

Requests arrive at random, and messages take 1 to 30 ms or are lost.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import NamedTuple

from damaskpier.teams import allowance_messages
from damaskpier.teams import allowance_owner
from damaskpier.teams import allowance_terms
from damaskpier.teams import allowances

NODE_COUNT = 88
MIN_DELAY_S = 0.001
MAX_DELAY_S = 0.030
# Time after which an unanswered message counts as lost, and after which a
# request does not wait any longer.
MESSAGE_TIMEOUT_S = 0.35
BOUNDS = allowance_terms.Bounds()


class Limit(NamedTuple):
    """Limit of a team, and its usual demand as a part of the rate."""

    rate_per_s: float
    burst: float
    usual: float = 0.6

    def terms(self) -> allowance_terms.Terms:
        """Return the terms of the team."""
        return allowance_terms.make_terms(BOUNDS, self.rate_per_s, self.burst)


class Counts:
    """Requests of one team; ``arrived`` are the times at workers."""

    def __init__(self) -> None:
        self.sent: list[float] = []
        self.refused: list[float] = []
        self.arrived: list[float] = []
        self.retry_s: list[float] = []
        self.waited = 0

    def refused_part(self, start: float, end: float) -> float:
        """Return the part of the requests in a time that was refused."""
        sent = sum(start <= at < end for at in self.sent)
        return sum(start <= at < end for at in self.refused) / max(1, sent)

    def most_in_a_window(self, window_s: float, start: float = 0.0) -> int:
        """Return the largest number of arrivals in a sliding window."""
        times = sorted(at for at in self.arrived if at >= start)
        most = first = 0
        for last, at in enumerate(times):
            while times[first] <= at - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most


class _Message(NamedTuple):
    sender: int
    owner: int
    report: allowance_messages.Report
    waiting: list
    incarnation: int


class Fleet:
    """Nodes that are entry nodes and possible owners.

    ``owner_of`` returns the owner that a node knows at a time. ``is_cut``
    tells whether messages from a node to another one are lost. ``did_not_run``
    tells whether a request at a time is refused behind the entry node.
    """

    def __init__(
        self,
        limits,
        seed=1,
        node_count=NODE_COUNT,
        loss=0.0,
        demand=None,
        peak=8.0,
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.node_count = node_count
        self.limits = dict(limits)
        self.terms = {n: limit.terms() for n, limit in limits.items()}
        self.counts = {name: Counts() for name in limits}
        self.loss = loss
        self.peak = peak
        self.demand = demand or (lambda team, at: 1.0)
        self.owner_of = lambda node, at: 0
        self.is_cut = lambda first, second, at: False
        self.did_not_run = lambda team, at: False
        self.sent_messages = 0
        self.sent_bytes = 0
        self._events: list = []
        self._numbers = itertools.count()
        self._weights = [
            self.rng.expovariate(1.0) + 0.1 for _ in range(node_count)
        ]
        self.nodes: list[allowances.EntryNode] = [None] * node_count
        self.owners: list[allowance_owner.Owner] = [None] * node_count
        self._waiting: list[list] = [[] for _ in range(node_count)]
        self._incarnations = [0] * node_count
        self._wakes = [float('inf')] * node_count
        for node in range(node_count):
            self.restart(node)
        for team in limits:
            self._schedule_arrival(team)

    def at(self, when, action, *args):
        """Call a function at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), action, args))

    def run(self, until):
        """Advance the time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until

    def restart(self, node):
        """Start a node without memory, at a time of its own."""
        self._incarnations[node] += 1
        for team, _ in self._waiting[node]:
            self.counts[team].refused.append(self.now)
        self._waiting[node] = []
        start = self.now + self.rng.uniform(0.0, 0.3)
        self.nodes[node] = allowances.EntryNode(f'node-{node}', start)
        self.owners[node] = allowance_owner.Owner(BOUNDS.window_s, start)
        self._wakes[node] = float('inf')
        self.at(start, self._wake, node, self._incarnations[node])

    def _schedule_arrival(self, team):
        limit = self.limits[team]
        rate = limit.rate_per_s * limit.usual * self.peak
        self.at(
            self.now + self.rng.expovariate(rate), self._arrive_thinned, team
        )

    def _arrive_thinned(self, team):
        self._schedule_arrival(team)
        # Candidates arrive at the highest rate that a test uses.
        if self.rng.random() < self.demand(team, self.now) / self.peak:
            (node,) = self.rng.choices(range(self.node_count), self._weights)
            self._arrive(team, node)

    def _arrive(self, team, node):
        counts = self.counts[team]
        counts.sent.append(self.now)
        decision = self.nodes[node].decide(
            team, self.terms[team], self.node_count, self.now
        )
        if decision.verdict is allowances.Verdict.WAIT:
            counts.waited += 1
            self._waiting[node].append((team, self.now))
        else:
            self._end(team, node, self.now, decision)
        self._plan(node)

    def _end(self, team, node, arrived_at, decision):
        counts = self.counts[team]
        if decision.verdict is allowances.Verdict.REFUSE:
            counts.refused.append(arrived_at)
            counts.retry_s.append(decision.retry_s)
        elif self.did_not_run(team, self.now):
            self.at(
                self.now + self.rng.uniform(0.01, 0.4),
                self._give_back,
                team,
                node,
                self.now,
            )
        else:
            counts.arrived.append(self.now + self._delay_s())

    def _give_back(self, team, node, admitted_at):
        self.nodes[node].give_back(team, admitted_at, self.now)

    def _delay_s(self):
        return self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)

    def _plan(self, node):
        due = self.nodes[node].due_at()
        if due is not None and due < self._wakes[node]:
            self._wakes[node] = due
            self.at(
                max(due, self.now), self._wake, node, self._incarnations[node]
            )

    def _wake(self, node, incarnation):
        if incarnation != self._incarnations[node]:
            return
        self._wakes[node] = float('inf')
        entry = self.nodes[node]
        former = entry.set_owner(
            f'node-{self.owner_of(node, self.now)}', self.now
        )
        if former:
            self._say_farewell(node, int(former.removeprefix('node-')))
        due = entry.due_at()
        if due is None:
            return
        if due > self.now + 1e-9:
            self._plan(node)
            return
        report = entry.make_report(self.now)
        waiting, self._waiting[node] = self._waiting[node], []
        owner = self.owner_of(node, self.now)
        message = _Message(node, owner, report, waiting, incarnation)
        self.sent_messages += 1
        self.sent_bytes += len(allowance_messages.encode(report))
        if not self._is_lost(node, owner):
            self.at(self.now + self._delay_s(), self._receive, message)
        else:
            self.at(self.now + MESSAGE_TIMEOUT_S, self._fail, message)

    def _say_farewell(self, node, former):
        self.sent_messages += 1
        if not self._is_lost(node, former):
            self.at(
                self.now + self._delay_s(),
                self.owners[former].receive,
                self.nodes[node].make_farewell(),
                self.terms,
                self.node_count,
                self.now,
            )

    def _is_lost(self, first, second):
        return (
            self.is_cut(first, second, self.now)
            or self.rng.random() < self.loss
        )

    def _receive(self, message):
        reply = self.owners[message.owner].receive(
            message.report, self.terms, self.node_count, self.now
        )
        self.sent_bytes += len(allowance_messages.encode(reply))
        if self._is_lost(message.owner, message.sender):
            self.at(self.now + MESSAGE_TIMEOUT_S, self._fail, message)
        else:
            self.at(self.now + self._delay_s(), self._reply, message, reply)

    def _reply(self, message, reply):
        if message.incarnation != self._incarnations[message.sender]:
            return
        entry = self.nodes[message.sender]
        entry.apply_reply(f'node-{message.owner}', reply)
        self._release(message)

    def _fail(self, message):
        if message.incarnation != self._incarnations[message.sender]:
            return
        self.nodes[message.sender].fail(self.now)
        self._release(message)

    def _release(self, message):
        for team, arrived_at in message.waiting:
            decision = self.nodes[message.sender].decide_waiting(
                team, self.terms[team], self.node_count, self.now
            )
            self._end(team, message.sender, arrived_at, decision)
        self._plan(message.sender)
