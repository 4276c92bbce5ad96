"""Decisions of an entry node on the requests of teams with a limit."""

from __future__ import annotations

import enum
import itertools
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier.teams import allowance_messages
from damaskpier.teams import allowance_share

if TYPE_CHECKING:
    from damaskpier.teams import allowance_terms

# Interval of reports. It bounds the time until a node learns that a team has
# reached its limit.
REPORT_INTERVAL_S = 0.6
# Interval between two messages if a request waits, or a report is due early.
ASK_INTERVAL_S = 0.1
EARLY_INTERVAL_S = 0.2
# Requests are admitted without tokens for this time after the last contact
# with the owner.
FREE_S = 1.2
# From this time after the last contact on, the node uses its own part of the
# rate. The owner has left it to the node before (PRESENT_S).
APART_S = 1.6
# Requests do not wait for tokens after this many lost messages in a row.
MAX_FAILURES = 2
# Time after which a request that did not run is not given back: it may have
# been replaced by another one.
MAX_GIVE_BACK_S = 0.5
# Shares of teams without requests are forgotten after this time.
IDLE_SHARE_S = 10.0
# Retry-After of a request that is refused because the owner is silent.
NO_OWNER_RETRY_S = 0.5


class Verdict(enum.Enum):
    """What happens to a request."""

    ADMIT = 'admit'
    WAIT = 'wait'  # for the answer to the next message
    REFUSE = 'refuse'


class Decision(NamedTuple):
    """Verdict on a request, and when it is worth coming back."""

    verdict: Verdict
    retry_s: float = 0.0


ADMITTED = Decision(Verdict.ADMIT)
WAITING = Decision(Verdict.WAIT)


class EntryNode:
    """Shares of an entry node, and its messages to the owner.

    Requests of teams that are far below their limits are admitted at once and
    reported later. Those of limited teams need tokens of the owner.

    :param now: time of the start in seconds
    """

    def __init__(self, node_id: str, now: float) -> None:
        self.node_id = node_id
        self.owner_id = ''
        self._shares: dict[str, allowance_share.Share] = {}
        # Teams with something to report.
        self._active: set[str] = set()
        # Short digests of the teams of which the owner said that they are.
        self._limited: frozenset[int] = frozenset()
        self._is_new = True
        # Sending time of the last message that was answered by any owner, and
        # by the present one.
        self._contact_at = now
        self._owner_contact_at = float('-inf')
        self._failure_count = 0
        self._sent_at = float('-inf')
        self._due_at = now
        self._in_flight = False
        # Teams with requests in that message.
        self._reported: list[str] = []

    def resume(self, now: float) -> None:
        """Begin to send messages, after a time in which there were none."""
        self._contact_at = now
        self._owner_contact_at = float('-inf')
        self._due_at = now

    def set_owner(self, owner_id: str, now: float) -> str:
        """Change the owner; the next message to it is due at once.

        :returns: former owner, which is to get :meth:`make_farewell`; empty
            if there is none
        """
        if owner_id == self.owner_id:
            return ''
        former, self.owner_id = self.owner_id, owner_id
        self._owner_contact_at = float('-inf')
        self._failure_count = 0
        self._due_at = now
        return former

    def make_farewell(self) -> allowance_messages.Report:
        """Return the message after which an owner grants nothing to this node.

        Without it, two owners would grant this node's part for a time.
        """
        return allowance_messages.Report(self.node_id, True, [])

    def decide(
        self,
        team: str,
        terms: allowance_terms.Terms,
        node_count: int,
        now: float,
    ) -> Decision:
        """Decide on a request that arrives."""
        share = self._shares.get(team)
        if share is None:
            share = self._shares[team] = allowance_share.Share(
                allowance_messages.short_digest(team), now
            )
        share.record_arrival(now)
        decision = self._decide(team, share, terms, node_count, now)
        if decision is WAITING:
            share.waiting += 1
            self._active.add(team)
            self._hasten(ASK_INTERVAL_S)
        return decision

    def decide_waiting(
        self,
        team: str,
        terms: allowance_terms.Terms,
        node_count: int,
        now: float,
    ) -> Decision:
        """Decide on a request that has waited."""
        share = self._shares[team]
        share.waiting -= 1
        decision = self._decide(team, share, terms, node_count, now)
        if decision is WAITING:
            return Decision(Verdict.REFUSE, NO_OWNER_RETRY_S)
        return decision

    def abandon_waiting(self, team: str) -> None:
        """Forget a request that was to wait; its caller has gone."""
        self._shares[team].waiting -= 1

    def give_back(self, team: str, admitted_at: float, now: float) -> None:
        """Return the allowance of a request that did not run."""
        share = self._shares.get(team)
        if share is not None and now <= admitted_at + MAX_GIVE_BACK_S:
            share.give_back()
            self._active.add(team)

    def is_apart(self, now: float) -> bool:
        """Return whether the node uses its own part of the rates."""
        return now > self._contact_at + APART_S

    def due_at(self) -> float | None:
        """Return the time of the next message; None while one is sent."""
        return None if self._in_flight else self._due_at

    def make_report(self, now: float) -> allowance_messages.Report:
        """Return the message to the owner, which is then in flight."""
        usages = []
        for team in self._active:
            parts = self._shares[team].start_report(now)
            if any(parts):
                usages.append(allowance_messages.Usage(team, *parts))
            if parts[0]:
                self._reported.append(team)
        self._active = {
            team for team in self._active if not self._shares[team].is_empty()
        }
        self._forget_idle(now)
        self._sent_at = now
        self._in_flight = True
        self._due_at = now + REPORT_INTERVAL_S
        return allowance_messages.Report(
            self.node_id, self.is_apart(now), usages
        )

    def apply_reply(
        self, owner_id: str, reply: allowance_messages.Reply
    ) -> None:
        """Apply the answer to the message in flight."""
        self._end_message(is_answered=True)
        self._failure_count = 0
        self._contact_at = self._sent_at
        for grant in reply.grants:
            share = self._shares.get(grant.team)
            if share is not None:
                share.add_tokens(grant.tokens, self._sent_at)
                share.refuse(grant.retry_ms / 1000, self._sent_at)
                self._active.add(grant.team)
        if owner_id == self.owner_id:
            self._owner_contact_at = self._sent_at
            self._is_new = reply.is_new
            self._limited = allowance_messages.unpack_digests(reply.limited)

    def fail(self, now: float) -> None:
        """Take back the message in flight, which was not answered.

        It may have arrived, so that its requests may count twice.
        """
        self._end_message(is_answered=False)
        self._failure_count += 1
        self._due_at = now + ASK_INTERVAL_S

    def _end_message(self, *, is_answered: bool) -> None:
        self._in_flight = False
        for team in self._reported:
            self._shares[team].end_report(is_answered=is_answered)
            self._active.add(team)
        self._reported = []

    def _decide(
        self,
        team: str,
        share: allowance_share.Share,
        terms: allowance_terms.Terms,
        node_count: int,
        now: float,
    ) -> Decision:
        if share.take_token(now):
            return ADMITTED
        rate = terms.rate_per_s
        if self.is_apart(now):
            if share.take_own(rate, node_count, now):
                return ADMITTED
            if self._failure_count:
                return Decision(Verdict.REFUSE, share.own_delay_s(now))
            return WAITING
        if self._is_free(share, now) and share.take_unreported(
            rate, node_count
        ):
            self._active.add(team)
            if share.is_report_due(rate, node_count):
                self._hasten(EARLY_INTERVAL_S)
            return ADMITTED
        if now < share.refused_until:
            return Decision(Verdict.REFUSE, share.retry_at - now)
        if self._failure_count >= MAX_FAILURES:
            return Decision(Verdict.REFUSE, NO_OWNER_RETRY_S)
        return WAITING

    def _is_free(self, share: allowance_share.Share, now: float) -> bool:
        return (
            not self._is_new
            and share.digest not in self._limited
            and now < self._owner_contact_at + FREE_S
        )

    def _hasten(self, interval_s: float) -> None:
        self._due_at = min(self._due_at, self._sent_at + interval_s)

    def _forget_idle(self, now: float) -> None:
        # The oldest shares are first, and at most two of them are looked at.
        for team in list(itertools.islice(self._shares, 2)):
            share = self._shares.pop(team)
            if share.last_used_at > now - IDLE_SHARE_S or (
                team in self._active or not share.is_empty()
            ):
                self._shares[team] = share
