"""Schedule of the share of a new version."""

from __future__ import annotations

from typing import NamedTuple

from damaskpier.fleet import canaries

# The requests during the warm-up and those at the canary share are about these
# parts of those to which a bad version is bound: EXPOSED_RATIO of all requests
# until the time limit, and EXPOSED_COUNT more. The warm-up is the time for
# which workers that have just started are slow; the canary share lasts from
# then on until the first step.
EXPOSED_RATIO = 0.1
EXPOSED_COUNT = 50.0
WARMUP_EXPOSED_RATIO = 0.07
CANARY_EXPOSED_RATIO = 0.4
FEW_CANARY_EXPOSED_RATIO = 0.5
CANARY_SINCE_RATIO = 0.33
MIN_SHARE = 0.02
MAX_CANARY_SHARE = 0.5


class Step(NamedTuple):
    """Share from a part of the move's duration on."""

    since_ratio: float
    share: float


# Faults that show under load show at the canary share, too (see
# :mod:`damaskpier.fleet.canaries`). The versions can be compared only while
# some requests still go to the old one.
STEPS = (
    Step(0.58, 0.95),
    Step(0.72, 1.0),
)
# Services with few requests: those that go to the old version at a share of
# 0.95 are too few to compare with, so that the share before it lasts longer.
FEW_STEPS = (
    Step(0.58, 0.45),
    Step(0.66, 0.95),
    Step(0.72, 1.0),
)
MIN_OLD_REQUESTS = 5.0
# The share is not held back from this part of the duration on.
LATEST_HOLD_RATIO = 0.66
# A step back ends by this part of it.
LATEST_STEP_BACK_RATIO = 0.72


def share_at(
    elapsed_s: float,
    duration_s: float,
    requests_per_s: float,
    loaded_share: float = 0.0,
) -> float:
    """Return the share of requests that the new version is to get.

    :param elapsed_s: time since the start of the move
    :param duration_s: time by which the move has to be finished
    :param requests_per_s: requests of the service per second in the whole
        fleet
    :param loaded_share: share at which a canary is loaded; 0 if unknown
    """
    duration_s = max(duration_s, 1.0)
    requests_per_s = max(requests_per_s, 1.0)
    if elapsed_s < CANARY_SINCE_RATIO * duration_s:
        return _exposing(
            WARMUP_EXPOSED_RATIO,
            CANARY_SINCE_RATIO * duration_s,
            duration_s,
            requests_per_s,
        )
    share = canary_share(duration_s, requests_per_s)
    has_few = _has_few_requests(duration_s, requests_per_s)
    for step in reversed(FEW_STEPS if has_few else STEPS):
        if elapsed_s >= step.since_ratio * duration_s:
            return max(share, step.share)
    return in_bursts(elapsed_s, share, loaded_share)


def in_bursts(elapsed_s: float, share: float, loaded_share: float) -> float:
    """Return the share that loads a canary for a part of its turn.

    As many requests are sent as with a constant share.

    :param share: constant share
    :param loaded_share: share at which a canary is loaded; 0 if unknown
    """
    if loaded_share <= share:
        return share
    burst_s = canaries.TURN_S * share / loaded_share
    if elapsed_s % canaries.TURN_S >= burst_s:
        return MIN_SHARE
    return round(loaded_share, 2)


def canary_share(duration_s: float, requests_per_s: float) -> float:
    """Return the share at which the versions are compared first.

    :param duration_s: time by which the move has to be finished
    :param requests_per_s: requests of the service per second in the whole
        fleet
    """
    duration_s = max(duration_s, 1.0)
    requests_per_s = max(requests_per_s, 1.0)
    return _exposing(
        FEW_CANARY_EXPOSED_RATIO
        if _has_few_requests(duration_s, requests_per_s)
        else CANARY_EXPOSED_RATIO,
        (STEPS[0].since_ratio - CANARY_SINCE_RATIO) * duration_s,
        duration_s,
        requests_per_s,
    )


def _exposing(
    ratio: float, length_s: float, duration_s: float, requests_per_s: float
) -> float:
    """Return the share that exposes a part of the bound in some time.

    :param ratio: part of the bound on the exposure
    """
    bound = EXPOSED_RATIO * requests_per_s * duration_s + EXPOSED_COUNT
    share = ratio * bound / (requests_per_s * length_s)
    # Evidence is kept by share, so the share is rounded to few values.
    return round(min(max(share, MIN_SHARE), MAX_CANARY_SHARE), 2)


def _has_few_requests(duration_s: float, requests_per_s: float) -> bool:
    """Return whether too few go to the old version at the last share."""
    last, full = STEPS[-2:]
    length_s = (full.since_ratio - last.since_ratio) * duration_s
    old_requests = (1.0 - last.share) * requests_per_s * length_s
    return old_requests < MIN_OLD_REQUESTS
