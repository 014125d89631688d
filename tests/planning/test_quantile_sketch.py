"""Quantile sketches: bounded relative error, mergeable, decaying."""

from __future__ import annotations

from random import Random

from sandhatch.planning.quantile_sketch import BUCKETS, QuantileSketch, bucket_of, merged, value_of


def test_quantiles_are_known_within_a_tenth_and_sums_of_sketches_are_sketches() -> None:
    rng = Random(2)
    first, second, values = QuantileSketch(), QuantileSketch(), []
    for index in range(4_000):
        value = rng.lognormvariate(3.0, 1.0)
        values.append(value)
        (first if index % 2 else second).add(value)
    values.sort()
    total = merged([first, second])
    for fraction in (0.1, 0.5, 0.9, 0.99):
        assert abs(total.quantile(fraction) / values[int(fraction * 4_000)] - 1.0) < 0.12
    copy = QuantileSketch()
    copy.merge(total.pairs())
    assert copy.counts == total.counts
    copy.decay(0.5)
    assert abs(copy.total - total.total / 2.0) < 1.0
    assert QuantileSketch().quantile(0.5) == 0.0
    assert bucket_of(1e12) == BUCKETS - 1
    assert bucket_of(0.0) == 0
    assert value_of(bucket_of(50.0)) / 50.0 < 1.11
