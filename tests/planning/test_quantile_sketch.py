"""Quantile sketches: bounded relative error, merging and decay."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import pytest

from sandhatch.planning.quantile_sketch import (
    BUCKET_COUNT,
    QuantileSketch,
    bucket_index,
    bucket_value_ms,
    merge_sketches,
)

VALUES_MS = sorted(Random(2).lognormvariate(3.0, 1.0) for _ in range(4_000))


def sketch_of(values_ms: Sequence[float]) -> QuantileSketch:
    sketch = QuantileSketch()
    for value_ms in values_ms:
        sketch.add(value_ms)
    return sketch


@pytest.mark.parametrize("fraction", [0.1, 0.5, 0.9, 0.99])
def test_a_quantile_of_two_merged_sketches_has_a_relative_error_below_12_percent(fraction: float) -> None:
    total = merge_sketches([sketch_of(VALUES_MS[::2]), sketch_of(VALUES_MS[1::2])])
    exact_ms = VALUES_MS[int(fraction * len(VALUES_MS))]
    assert abs(total.quantile(fraction) / exact_ms - 1.0) < 0.12


def test_merging_the_pairs_of_a_sketch_reproduces_the_sketch() -> None:
    sketch = sketch_of(VALUES_MS)
    decoded = QuantileSketch()
    decoded.merge(sketch.pairs())
    assert decoded.counts == sketch.counts


def test_decay_by_one_half_halves_the_total_count() -> None:
    sketch = sketch_of(VALUES_MS)
    sketch.decay(0.5)
    assert abs(sketch.total - len(VALUES_MS) / 2.0) < 1.0


def test_a_quantile_of_an_empty_sketch_is_zero() -> None:
    assert QuantileSketch().quantile(0.5) == 0.0


def test_values_outside_the_bucket_range_belong_to_the_first_or_last_bucket() -> None:
    assert bucket_index(1e12) == BUCKET_COUNT - 1
    assert bucket_index(0.0) == 0


def test_the_value_of_a_bucket_is_near_the_values_in_it() -> None:
    assert bucket_value_ms(bucket_index(50.0)) / 50.0 < 1.11
