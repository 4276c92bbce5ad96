"""Schedule of the share of a new version."""

from __future__ import annotations

from typing import NamedTuple

# The first share is chosen within these bounds so that the new version gets
# about FIRST_REQUESTS_PER_S requests per second in the whole fleet.
FIRST_SHARE_MIN = 0.03
FIRST_SHARE_MAX = 0.08
FIRST_REQUESTS_PER_S = 14.0


class Step(NamedTuple):
    """Share from a part of the move's duration on."""

    since_ratio: float
    share: float


# The steps at medium shares are short because some faults appear only under
# load: the requests exposed before such a fault stay below the exposure bound.
STEPS = (
    Step(0.40, 0.10),
    Step(0.43, 0.25),
    Step(0.46, 0.45),
    # The versions can be compared only while some requests still go to the
    # old one.
    Step(0.49, 0.95),
    Step(0.72, 1.0),
)
# Services with few requests: those that go to the old version at a share of
# 0.95 are too few to compare with. The first share is higher, so that about
# FEW_FIRST_REQUESTS are compared before the next step, and the medium shares
# last longer. All these requests are within the exposure that is allowed for a
# service with any number of requests.
FEW_STEPS = (
    Step(0.40, 0.25),
    Step(0.46, 0.45),
    Step(0.66, 0.95),
    Step(0.72, 1.0),
)
FEW_FIRST_SHARE_MAX = 0.35
FEW_FIRST_REQUESTS = 30.0
MIN_OLD_REQUESTS = 5.0


def share_at(
    elapsed_s: float, duration_s: float, requests_per_s: float
) -> float:
    """Return the share of requests that the new version is to get.

    :param elapsed_s: time since the start of the move
    :param duration_s: time by which the move has to be finished
    :param requests_per_s: requests of the service per second in the whole
        fleet
    """
    duration_s = max(duration_s, 1.0)
    requests_per_s = max(requests_per_s, 1.0)
    has_few = _old_requests(duration_s, requests_per_s) < MIN_OLD_REQUESTS
    share = _first_share(duration_s, requests_per_s, has_few)
    for step in FEW_STEPS if has_few else STEPS:
        if elapsed_s >= step.since_ratio * duration_s:
            share = max(share, step.share)
    return share


def _first_share(
    duration_s: float, requests_per_s: float, has_few: bool
) -> float:
    """Return the share before the first step."""
    limit = FIRST_SHARE_MAX
    if has_few:
        until_step_s = FEW_STEPS[0].since_ratio * duration_s
        limit = min(
            FEW_FIRST_SHARE_MAX,
            FEW_FIRST_REQUESTS / (requests_per_s * until_step_s),
        )
    share = min(FIRST_REQUESTS_PER_S / requests_per_s, limit)
    # Evidence is kept by share, so the share is rounded to few values.
    return round(max(share, FIRST_SHARE_MIN), 2)


def _old_requests(duration_s: float, requests_per_s: float) -> float:
    """Return the requests of the old version at the last share below 1."""
    last, full = STEPS[-2:]
    length_s = (full.since_ratio - last.since_ratio) * duration_s
    return (1.0 - last.share) * requests_per_s * length_s
