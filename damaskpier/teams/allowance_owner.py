"""The owner of allowances: grants tokens to the entry nodes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from damaskpier.teams import allowance_account
from damaskpier.teams import allowance_messages

if TYPE_CHECKING:
    from collections.abc import Mapping

    from damaskpier.teams import allowance_terms

# A node that was not heard for this time uses its own part of the rates from
# APART_S of the entry node on, or that of another owner.
PRESENT_S = 1.3
REFRESH_S = 0.1
PRUNE_INTERVAL_S = 10.0


class Owner:
    """Accounts of all teams whose allowances this node owns.

    The owner grants the part of each limit that corresponds to the part of
    the nodes that it hears. So owners that do not know of each other grant no
    more than the limit together.

    :param window_s: window of the bound; the owner knows the use of a whole
        window after this time
    :param now: time of the start in seconds
    """

    def __init__(self, window_s: float, now: float) -> None:
        self.window_s = window_s
        self._started_at = now
        self._last_heard_at = now
        self._changes: list[tuple[str, bool]] = []
        self._accounts: dict[str, allowance_account.Account] = {}
        self._limited: set[str] = set()
        # Their digests; None after a change.
        self._packed: bytes | None = None
        self._heard_at: dict[str, float] = {}
        self._part = 0.0
        # Parts in the last window and their times. Nodes that were not heard
        # for all of it may have used tokens of another owner.
        self._parts: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._refreshed_at = float('-inf')
        self._pruned_at = now

    @property
    def limited_count(self) -> int:
        """Return the number of teams near their limit or beyond it."""
        return len(self._limited)

    def take_changes(self) -> list[tuple[str, bool]]:
        """Return the teams that became limited, or no longer are, in order.

        Each change is returned once.
        """
        changes, self._changes = self._changes, []
        return changes

    def receive(
        self,
        report: allowance_messages.Report,
        terms: Mapping[str, allowance_terms.Terms],
        node_count: int,
        now: float,
    ) -> allowance_messages.Reply:
        """Book the report of a node and grant what it asks for.

        :param terms: of the teams that have a limit
        :param node_count: nodes of the fleet, reachable or not
        """
        if now > self._last_heard_at + PRESENT_S:
            self._forget(now)
        self._last_heard_at = now
        if report.is_apart:
            self._heard_at.pop(report.node_id, None)
        else:
            self._heard_at[report.node_id] = now
        part = self._refresh(terms, node_count, now)
        grants = []
        for usage in report.usages:
            found = terms.get(usage.team)
            if found is None:
                continue
            account = self._account(usage.team, found, part, now)
            account.advance(found, part, now)
            account.take(usage.used, usage.unused, usage.returned)
            account.advance(found, part, now)
            self._note_state(usage.team, account)
            if usage.want:
                offer = account.offer(
                    report.node_id,
                    usage.want,
                    found.rate_per_s * self._expected_part(part, now),
                    now,
                )
                retry_ms = int(offer.retry_s * 1000)
                grants.append(
                    allowance_messages.Grant(
                        usage.team, offer.tokens, retry_ms
                    )
                )
        self._prune(terms, part, now)
        return allowance_messages.Reply(
            now < self._started_at + self.window_s,
            self._pack_limited(),
            grants,
        )

    def _forget(self, now: float) -> None:
        """Begin anew; nodes had another owner meanwhile, or none."""
        self._started_at = now
        self._accounts.clear()
        self._limited.clear()
        self._packed = None
        self._heard_at.clear()
        self._parts.clear()
        self._refreshed_at = float('-inf')

    def _account(
        self,
        team: str,
        terms: allowance_terms.Terms,
        part: float,
        now: float,
    ) -> allowance_account.Account:
        account = self._accounts.get(team)
        if account is None:
            is_new = now < self._started_at + self.window_s
            account = self._accounts[team] = allowance_account.Account(
                part * terms.start
                if is_new
                else min(known for _, known in self._parts) * terms.depth,
                is_limited=is_new,
                now=now,
            )
        return account

    def _refresh(
        self,
        terms: Mapping[str, allowance_terms.Terms],
        node_count: int,
        now: float,
    ) -> float:
        """Find the nodes that are heard and the teams that are limited.

        This is not done for each message, as there may be many of both.

        :returns: part of the limits that this owner may grant
        """
        if now >= self._refreshed_at + REFRESH_S:
            self._refreshed_at = now
            self._heard_at = {
                node_id: at
                for node_id, at in self._heard_at.items()
                if at > now - PRESENT_S
            }
            heard = len(self._heard_at)
            self._part = heard / max(1, node_count, heard)
            self._parts.append((now, self._part))
            while self._parts[0][0] < now - self.window_s:
                self._parts.popleft()
            self._advance_limited(terms, self._part, now)
        return self._part

    def _expected_part(self, part: float, now: float) -> float:
        """Return the part that is granted soon.

        A new owner hears the other nodes within this time; until then, the
        times after which it has tokens would be far too long.
        """
        return part if now > self._started_at + PRESENT_S else 1.0

    def _advance_limited(
        self,
        terms: Mapping[str, allowance_terms.Terms],
        part: float,
        now: float,
    ) -> None:
        for team in list(self._limited):
            account = self._accounts[team]
            found = terms.get(team)
            if found is None:
                self._drop(team)
                continue
            account.advance(found, part, now)
            self._note_state(team, account)

    def _note_state(
        self, team: str, account: allowance_account.Account
    ) -> None:
        if account.is_limited == (team in self._limited):
            return
        if account.is_limited:
            self._limited.add(team)
        else:
            self._limited.discard(team)
        self._packed = None
        self._changes.append((team, account.is_limited))

    def _drop(self, team: str) -> None:
        self._limited.discard(team)
        self._packed = None
        del self._accounts[team]

    def _pack_limited(self) -> bytes:
        if self._packed is None:
            self._packed = allowance_messages.pack_digests(
                map(allowance_messages.short_digest, self._limited)
            )
        return self._packed

    def _prune(
        self,
        terms: Mapping[str, allowance_terms.Terms],
        part: float,
        now: float,
    ) -> None:
        """Forget accounts that are as a new one would be."""
        if now < self._pruned_at + PRUNE_INTERVAL_S:
            return
        self._pruned_at = now
        for team, account in list(self._accounts.items()):
            found = terms.get(team)
            if found is not None:
                account.advance(found, part, now)
                if not account.is_idle(found, part):
                    continue
            self._drop(team)
