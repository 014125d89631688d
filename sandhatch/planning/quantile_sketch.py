"""Latency sketches: counts in buckets that grow by a fixed ratio, which bounds the error of a quantile.

The sum of two sketches is a sketch, whatever they were taken from. No I/O. Source: DDSketch (Masson, Rim and
Lee, VLDB 2019).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

GAMMA = 1.2  # ratio of a bucket's bounds: values are known within 10 %
BUCKETS = 96  # the last one ends at about 40 million times MIN_MS
MIN_MS = 0.1
MIN_COUNT = 0.01  # of a bucket that is kept when it decays
_LOG_GAMMA = math.log(GAMMA)


def bucket_of(value_ms: float) -> int:
    """Index of the bucket that holds a value; values beyond the last bucket count there."""
    if value_ms <= MIN_MS:
        return 0
    return min(BUCKETS - 1, math.ceil(math.log(value_ms / MIN_MS) / _LOG_GAMMA))


def value_of(bucket: int) -> float:
    """The middle of a bucket, in milliseconds."""
    return float(MIN_MS * GAMMA**bucket * 2.0 / (1.0 + GAMMA))


class QuantileSketch:
    """Counts by bucket, which may decay.

    Attributes:
        counts: Counts by bucket; without zeros.
        total: Their sum.
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        """Start empty."""
        self.counts: dict[int, float] = {}
        self.total = 0.0

    def add(self, value_ms: float) -> None:
        """Add one value."""
        self.count(bucket_of(value_ms), 1.0)

    def count(self, bucket: int, number: float) -> None:
        """Add a number of values that belong into a bucket."""
        self.counts[bucket] = self.counts.get(bucket, 0.0) + number
        self.total += number

    def merge(self, pairs: Sequence[int], scale: float = 1.0) -> None:
        """Add pairs of a bucket and its count; buckets beyond the last count there."""
        for index in range(0, len(pairs) - 1, 2):
            self.count(min(pairs[index], BUCKETS - 1), pairs[index + 1] * scale)

    def decay(self, keep: float) -> None:
        """Keep a fraction of all counts; buckets that become almost empty are dropped."""
        retained = ((bucket, count * keep) for bucket, count in self.counts.items())
        self.counts = {bucket: count for bucket, count in retained if count > MIN_COUNT}
        self.total = sum(self.counts.values())

    def quantile(self, fraction: float) -> float:
        """The value in milliseconds below which a fraction of the values lies; 0 of an empty sketch."""
        wanted = fraction * self.total
        seen = 0.0
        for bucket in sorted(self.counts):
            seen += self.counts[bucket]
            if seen >= wanted:
                return value_of(bucket)
        return 0.0

    def pairs(self) -> list[int]:
        """Pairs of a bucket and its count, in the order of the buckets, as reports carry them."""
        flat: list[int] = []
        for bucket, count in sorted(self.counts.items()):
            flat += (bucket, int(count))
        return flat


def merged(sketches: Iterable[QuantileSketch]) -> QuantileSketch:
    """The sum of sketches."""
    total = QuantileSketch()
    for sketch in sketches:
        for bucket, count in sketch.counts.items():
            total.count(bucket, count)
    return total
