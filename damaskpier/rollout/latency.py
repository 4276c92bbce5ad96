"""Logarithmic scale of latency buckets.

Each octave has a whole number of buckets, so that twice the lower bound of a
bucket is the lower bound of another bucket.
"""

from __future__ import annotations

import math

BUCKETS_PER_OCTAVE = 8
LAST_BUCKET = 8 * 18  # the octave that ends with it starts at 131 s

# A request is harmed when it takes over twice as long and 10 ms longer.
HARM_FACTOR = 2.0
HARM_MARGIN_MS = 10.0


def bucket_of(ms: float) -> int:
    """Return the bucket of a latency; bucket 0 holds those below 1 ms."""
    if ms < 1.0:
        return 0
    index = int(BUCKETS_PER_OCTAVE * math.log2(ms)) + 1
    return index if index < LAST_BUCKET else LAST_BUCKET


def lower_bound_ms(bucket: int) -> float:
    """Return the smallest latency of a bucket."""
    if bucket <= 0:
        return 0.0
    return 2.0 ** ((bucket - 1) / BUCKETS_PER_OCTAVE)


def _harm_bucket(bucket: int) -> int:
    bound = lower_bound_ms(bucket)
    limit = max(HARM_FACTOR * bound, bound + HARM_MARGIN_MS)
    other = bucket + BUCKETS_PER_OCTAVE if bucket else 1
    while lower_bound_ms(other) < limit - 1e-9 and other <= LAST_BUCKET:
        other += 1
    return other


_HARM_BUCKETS = tuple(_harm_bucket(i) for i in range(LAST_BUCKET + 1))


def harm_bucket(bucket: int) -> int:
    """Return the first bucket whose latencies count as harm.

    A request whose answer took the lower bound of ``bucket`` with one
    version is harmed by the other version from the returned bucket on.
    The result can be above :data:`LAST_BUCKET`; no latency is harmful then.
    """
    return _HARM_BUCKETS[bucket]


def _unharmed_bucket(bucket: int) -> int:
    found = 0
    for index, limit in enumerate(_HARM_BUCKETS):
        if limit <= bucket:
            found = index
    return found


_UNHARMED_BUCKETS = tuple(_unharmed_bucket(i) for i in range(LAST_BUCKET + 1))


def unharmed_bucket(bucket: int) -> int:
    """Return the slowest bucket for which a latency of ``bucket`` is harm."""
    return _UNHARMED_BUCKETS[bucket]


def count_from(histogram: dict[int, float], bucket: int) -> float:
    """Return the number of requests at or above a bucket."""
    total = 0
    for index, count in histogram.items():
        if index >= bucket:
            total += count
    return total


def quantile_bucket(histogram: dict[int, float], level: float) -> int:
    """Return the first bucket above a quantile of a histogram.

    :param level: 0..1; at most ``1 - level`` of the requests are in the
        returned bucket or above it
    """
    total = sum(histogram.values())
    allowed = (1.0 - level) * total
    above = 0.0
    result = LAST_BUCKET
    for index in sorted(histogram, reverse=True):
        above += histogram[index]
        if above > allowed:
            return min(index + 1, LAST_BUCKET)
        result = index
    return result
