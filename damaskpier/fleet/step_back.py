"""Return to a small share when a new version fails at a large one.

At a large share, the old version gets too few requests to show whether it
fails as well. At a small share it shows that within a second, while the new
one gets no more requests than before.
"""

from __future__ import annotations

from damaskpier.rollout import model
from damaskpier.util import tails

# The old version does not share a fault if chance explains with at most this
# probability that it has so few failures. They would be at least this part of
# those of the new one.
MAX_TAIL = 0.02
ALIKE_RATIO = 0.6
MIN_SHARED_FAILURES = 3
# Where chance can not be excluded in time, the old version does not share a
# fault of which it has less than this part.
UNDECIDED_RATIO = 0.3
MIN_REQUESTS = 20
MAX_DURATION_S = 1.5
# After a fault of both versions, the new one is suspected again only if it
# fails more often than the old one by this factor and by EXCESS_RATIO more.
EXCESS_FACTOR = 1.5
EXCESS_RATIO = 0.1


class StepBack:
    """Decides by the old version's outcomes at a small share.

    ``is_active`` is set while the share is to be small.
    """

    def __init__(self) -> None:
        self.is_active = False
        self._reason = ''
        self._ends_by = 0.0
        self._shared_rate = 0.0
        self._old = model.VersionCounts()

    def begin(
        self,
        reason: str,
        old: model.VersionCounts,
        new: model.VersionCounts,
        now: float,
        ends_by: float,
    ) -> bool:
        """Begin a step back because the new version seems to fail.

        :param reason: what has been found
        :param old: outcomes of the old version at large shares
        :param new: outcomes of the new version at large shares
        :param now: time of the clock in seconds
        :param ends_by: time of the clock in seconds at which the step back
            ends in any case
        :returns: False if the old version is known not to fail as well
        """
        if self.is_active:
            return True
        if self._shared_rate and (
            _rate(new) <= EXCESS_FACTOR * self._shared_rate + EXCESS_RATIO
        ):
            return True
        self._reason = reason
        if _is_less(old, new):
            return False
        self._ends_by = min(now + MAX_DURATION_S, ends_by)
        self._old = model.VersionCounts()
        self.is_active = True
        return True

    def record(self, old: model.VersionCounts) -> None:
        """Record outcomes of the old version at a small share."""
        self._old = self._old.plus(old)

    def verdict(self, new: model.VersionCounts, now: float) -> str:
        """Return the reason to take the new version back; empty for none.

        The step back ends when the old version is seen to fail as well.

        :param new: outcomes of the new version at large shares
        """
        if not self.is_active:
            return ''
        if _is_less(self._old, new):
            return f'{self._reason}; not with the old version'
        rate = _rate(self._old)
        if (
            self._old.failures >= MIN_SHARED_FAILURES
            and rate >= ALIKE_RATIO * _rate(new)
        ):
            self._shared_rate = rate
            self.is_active = False
        elif now >= self._ends_by:
            self.is_active = False
            if (
                self._old.requests >= MIN_REQUESTS
                and rate < UNDECIDED_RATIO * _rate(new)
            ):
                return f'{self._reason}; hardly with the old version'
        return ''


def _is_less(old: model.VersionCounts, new: model.VersionCounts) -> bool:
    """Return whether the old version fails less than the new one."""
    chance = tails.binomial(
        old.requests,
        1.0 - ALIKE_RATIO * _rate(new),
        old.requests - old.failures,
    )
    return chance <= MAX_TAIL


def _rate(counts: model.VersionCounts) -> float:
    return counts.failures / max(1, counts.requests)
