"""Quantile sketches of latencies, in buckets that grow by a fixed ratio to bound the relative error.

Sketches are mergeable. No I/O. Source: DDSketch (Masson, Rim and Lee, VLDB 2019).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

GAMMA = 1.2  # ratio of a bucket's upper to its lower bound; gives values within 10 %
BUCKET_COUNT = 96  # the upper bound of the last bucket is about 40 million times MIN_VALUE_MS
MIN_VALUE_MS = 0.1
MIN_RETAINED_COUNT = 0.01  # a bucket is retained on decay only if its count exceeds this
_LOG_GAMMA = math.log(GAMMA)


def bucket_index(value_ms: float) -> int:
    """Index of the bucket for a value; values beyond the last bucket belong to the last one."""
    if value_ms <= MIN_VALUE_MS:
        return 0
    return min(BUCKET_COUNT - 1, math.ceil(math.log(value_ms / MIN_VALUE_MS) / _LOG_GAMMA))


def bucket_value_ms(bucket: int) -> float:
    """Representative value of a bucket in milliseconds, with an equal relative error at both bounds."""
    return float(MIN_VALUE_MS * GAMMA**bucket * 2.0 / (1.0 + GAMMA))


class QuantileSketch:
    """Quantile sketch with counts that may decay.

    Attributes:
        counts: Number of values by bucket; without zeros.
        total: Sum of all counts.
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        """Start a sketch without values."""
        self.counts: dict[int, float] = {}
        self.total = 0.0

    def add(self, value_ms: float) -> None:
        """Add one value."""
        self.add_count(bucket_index(value_ms), 1.0)

    def add_count(self, bucket: int, value_count: float) -> None:
        """Add a number of values to a bucket."""
        self.counts[bucket] = self.counts.get(bucket, 0.0) + value_count
        self.total += value_count

    def merge(self, pairs: Sequence[int], scale: float = 1.0) -> None:
        """Add scaled counts to the sketch.

        Args:
            pairs: Alternating bucket indices and counts; an index beyond the last bucket means the last one.
            scale: Factor for all counts.
        """
        for index in range(0, len(pairs) - 1, 2):
            self.add_count(min(pairs[index], BUCKET_COUNT - 1), pairs[index + 1] * scale)

    def decay(self, decay_factor: float) -> None:
        """Multiply all counts by a factor, and remove buckets that become almost empty."""
        retained = ((bucket, count * decay_factor) for bucket, count in self.counts.items())
        self.counts = {bucket: count for bucket, count in retained if count > MIN_RETAINED_COUNT}
        self.total = sum(self.counts.values())

    def quantile(self, fraction: float) -> float:
        """Value in milliseconds below which this fraction of the values lies; 0 for an empty sketch."""
        target_count = fraction * self.total
        cumulative_count = 0.0
        for bucket in sorted(self.counts):
            cumulative_count += self.counts[bucket]
            if cumulative_count >= target_count:
                return bucket_value_ms(bucket)
        return 0.0

    def pairs(self) -> list[int]:
        """Alternating bucket indices and counts in ascending bucket order, the format used in reports."""
        flat: list[int] = []
        for bucket, count in sorted(self.counts.items()):
            flat += (bucket, int(count))
        return flat


def merge_sketches(sketches: Iterable[QuantileSketch]) -> QuantileSketch:
    """Merge sketches into a new one."""
    total = QuantileSketch()
    for sketch in sketches:
        for bucket, count in sketch.counts.items():
            total.add_count(bucket, count)
    return total
