"""Quantile sketches: bounded relative error, mergeable, decaying."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import pytest

from sandhatch.planning.quantile_sketch import BUCKETS, QuantileSketch, bucket_of, merged, value_of

VALUES_MS = sorted(Random(2).lognormvariate(3.0, 1.0) for _ in range(4_000))


def sketch_of(values_ms: Sequence[float]) -> QuantileSketch:
    sketch = QuantileSketch()
    for value_ms in values_ms:
        sketch.add(value_ms)
    return sketch


@pytest.mark.parametrize("fraction", [0.1, 0.5, 0.9, 0.99])
def test_a_quantile_is_known_within_an_eighth_from_the_sum_of_two_sketches(fraction: float) -> None:
    total = merged([sketch_of(VALUES_MS[::2]), sketch_of(VALUES_MS[1::2])])
    exact_ms = VALUES_MS[int(fraction * len(VALUES_MS))]
    assert abs(total.quantile(fraction) / exact_ms - 1.0) < 0.12


def test_pairs_of_buckets_and_counts_give_the_same_sketch() -> None:
    sketch = sketch_of(VALUES_MS)
    copy = QuantileSketch()
    copy.merge(sketch.pairs())
    assert copy.counts == sketch.counts


def test_half_of_all_counts_is_left_after_a_decay_by_half() -> None:
    sketch = sketch_of(VALUES_MS)
    sketch.decay(0.5)
    assert abs(sketch.total - len(VALUES_MS) / 2.0) < 1.0


def test_an_empty_sketch_has_the_quantile_zero() -> None:
    assert QuantileSketch().quantile(0.5) == 0.0


def test_values_beyond_the_buckets_count_in_the_first_and_the_last_one() -> None:
    assert bucket_of(1e12) == BUCKETS - 1
    assert bucket_of(0.0) == 0


def test_the_middle_of_a_bucket_is_near_its_values() -> None:
    assert value_of(bucket_of(50.0)) / 50.0 < 1.11
