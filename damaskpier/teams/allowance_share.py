"""What an entry node holds of the allowance of one team."""

from __future__ import annotations

# Tokens are used within this time or given back. It is short, because tokens
# that are used late add to those of the next window.
TOKEN_S = 0.4
# Tokens are asked for the demand of this time.
ASK_AHEAD_S = 0.25
DEMAND_WEIGHT = 0.5
MAX_REFUSED_S = 0.5
# The credit of a node without an owner is kept for this time.
OWN_CREDIT_S = 5.0
# A node admits this many requests, and those of the team's rate within a
# second divided by the nodes, before it has reported any of them.
MIN_UNREPORTED = 2.0
UNREPORTED_S = 1.0


class Share:
    """Tokens, reports and demand of one team at an entry node.

    :param digest: number of the team in the answers of the owner
    :param now: time in seconds
    """

    __slots__ = (
        'digest',
        'waiting',
        'unreported',
        'in_flight',
        'refused_until',
        'retry_at',
        'last_used_at',
        '_tokens',
        '_tokens_until',
        '_unused',
        '_returned',
        '_arrivals',
        '_demand',
        '_reported_at',
        '_own_at',
    )

    def __init__(self, digest: int, now: float) -> None:
        self.digest = digest
        self.waiting = 0
        # Requests without a token that were not reported, and those in the
        # report that was not answered yet.
        self.unreported = 0
        self.in_flight = 0
        # Until the first time, no tokens are asked for. The second one is
        # that after which the owner expects to have some.
        self.refused_until = now
        self.retry_at = now
        self.last_used_at = now
        self._tokens = 0
        self._tokens_until = now
        self._unused = 0
        self._returned = 0
        self._arrivals = 0
        self._demand = 0.0
        self._reported_at = now
        self._own_at = float('-inf')

    def record_arrival(self, now: float) -> None:
        """Count a request for the estimate of the demand."""
        self._arrivals += 1
        self.last_used_at = now

    def take_token(self, now: float) -> bool:
        """Use a token; return whether there was one."""
        if not self._tokens or now >= self._tokens_until:
            return False
        self._tokens -= 1
        return True

    def take_unreported(self, rate_per_s: float, node_count: int) -> bool:
        """Admit a request that is reported later; return whether it may."""
        taken = self.unreported + self.in_flight + 1
        if taken > _max_unreported(rate_per_s, node_count):
            return False
        self.unreported += 1
        return True

    def is_report_due(self, rate_per_s: float, node_count: int) -> bool:
        """Return whether the report should not wait for the next interval."""
        limit = _max_unreported(rate_per_s, node_count)
        return self.unreported >= max(2.0, 0.5 * limit)

    def take_own(self, rate_per_s: float, node_count: int, now: float) -> bool:
        """Use the part of the rate of a node that reaches no owner.

        It begins without a credit, and keeps one for a short time only, as
        the credits of all nodes add up.
        """
        interval_s = node_count / rate_per_s
        if now > self._own_at + OWN_CREDIT_S:
            self._own_at = now + interval_s
        if now < self._own_at:
            return False
        self._own_at += interval_s
        return True

    def own_delay_s(self, now: float) -> float:
        """Return the time until this node may admit a request by itself."""
        return max(0.0, self._own_at - now)

    def give_back(self) -> None:
        """Return what a request took that did not run."""
        if self.unreported:
            self.unreported -= 1
        else:
            self._returned += 1

    def add_tokens(self, tokens: int, sent_at: float) -> None:
        """Add tokens that were asked for at a time."""
        self._tokens += tokens
        self._tokens_until = sent_at + TOKEN_S

    def refuse(self, retry_s: float, sent_at: float) -> None:
        """Refuse requests for a time after a message without enough tokens.

        The node asks again earlier than callers are told to come back, as
        other nodes may need fewer tokens meanwhile.
        """
        self.retry_at = sent_at + retry_s
        self.refused_until = sent_at + min(retry_s, MAX_REFUSED_S)

    def end_report(self, *, is_answered: bool) -> None:
        """End the report in flight; a lost one is repeated in the next."""
        if not is_answered:
            self.unreported += self.in_flight
        self.in_flight = 0

    def start_report(self, now: float) -> tuple[int, int, int, int]:
        """Return and reset what is to be reported.

        :returns: used, wanted, unused and returned requests
        """
        if self._tokens and now >= self._tokens_until:
            self._unused += self._tokens
            self._tokens = 0
        elapsed_s = max(0.05, now - self._reported_at)
        self._demand += DEMAND_WEIGHT * (
            self._arrivals / elapsed_s - self._demand
        )
        self._arrivals = 0
        self._reported_at = now
        want = 0
        if self.waiting:
            ahead = int(self._demand * ASK_AHEAD_S) - self._tokens
            want = max(self.waiting, ahead)
        parts = self.unreported, want, self._unused, self._returned
        self.in_flight = self.unreported
        self.unreported = self._unused = self._returned = 0
        return parts

    def is_empty(self) -> bool:
        """Return whether there is nothing to report."""
        return not (
            self.unreported
            or self.in_flight
            or self.waiting
            or self._tokens
            or self._unused
            or self._returned
        )


def _max_unreported(rate_per_s: float, node_count: int) -> float:
    return MIN_UNREPORTED + UNREPORTED_S * rate_per_s / node_count
