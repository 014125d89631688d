"""A latency sketch: counts in buckets that grow by a fixed ratio, so that a quantile is known to a tenth.

After DDSketch (Masson, Rim, Lee, VLDB 2019). Sums of sketches are sketches, whoever they come from. No I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

GAMMA = 1.2  # a bucket's end by its begin: a value is known within 10 %
BUCKETS = 96  # the last one ends at about 40 million times LEAST_MS
LEAST_MS = 0.1
_LOG = math.log(GAMMA)


def bucket_of(value_ms: float) -> int:
    if value_ms <= LEAST_MS:
        return 0
    return min(BUCKETS - 1, math.ceil(math.log(value_ms / LEAST_MS) / _LOG))


def value_of(bucket: int) -> float:
    """The middle of a bucket, milliseconds."""
    return float(LEAST_MS * GAMMA**bucket * 2.0 / (1.0 + GAMMA))


class QuantileSketch:
    """Counts by bucket, of which old ones fade."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.total = 0.0

    def add(self, value_ms: float) -> None:
        self.count(bucket_of(value_ms), 1.0)

    def count(self, bucket: int, number: float) -> None:
        self.counts[bucket] = self.counts.get(bucket, 0.0) + number
        self.total += number

    def merge(self, pairs: Sequence[int], scale: float = 1.0) -> None:
        """Pairs of a bucket and its count; those beyond the last bucket count there."""
        for at in range(0, len(pairs) - 1, 2):
            self.count(min(pairs[at], BUCKETS - 1), pairs[at + 1] * scale)

    def fade(self, keep: float) -> None:
        self.counts = {bucket: n * keep for bucket, n in self.counts.items() if n * keep > 0.01}
        self.total = sum(self.counts.values())

    def quantile(self, part: float) -> float:
        """Milliseconds; 0 of nothing."""
        want, seen = part * self.total, 0.0
        for bucket in sorted(self.counts):
            seen += self.counts[bucket]
            if seen >= want:
                return value_of(bucket)
        return 0.0

    def pairs(self) -> list[int]:
        return [number for item in sorted(self.counts.items()) for number in map(int, item)]


def merged(sketches: Iterable[QuantileSketch]) -> QuantileSketch:
    whole = QuantileSketch()
    for sketch in sketches:
        for bucket, number in sketch.counts.items():
            whole.count(bucket, number)
    return whole
