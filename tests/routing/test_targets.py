"""Splits over pools: stable for one header value, and close to the configured weights."""

from __future__ import annotations

from collections import Counter
from random import Random

from sandhatch.routing.targets import Split, WeightedPool


def test_a_split_by_header_is_stable_and_close_to_its_weights() -> None:
    split = Split.of(
        [WeightedPool("a", 90), WeightedPool("none", 0), WeightedPool("b", 10)], b"X-Customer", b"r"
    )
    draw = Random(1).random
    counts: Counter[str] = Counter()
    for n in range(4000):
        headers = [(b"x-customer", b"c%d" % n)]
        pool = split.choose(headers, lambda: 1 / 0)
        assert pool == split.choose(headers, lambda: 1 / 0)
        counts[pool] += 1
    assert set(counts) == {"a", "b"}
    assert 0.08 < counts["b"] / 4000 < 0.12
    drawn = Counter(split.choose([], draw) for _ in range(4000))
    assert 0.08 < drawn["b"] / 4000 < 0.12


def test_a_small_change_of_weights_moves_few_clients() -> None:
    before, after = (
        Split.of([WeightedPool("a", weight), WeightedPool("b", 100 - weight)], b"c", b"r")
        for weight in (90, 88)
    )
    rehashed = sum(
        before.choose([(b"c", b"%d" % n)], lambda: 0.0) != after.choose([(b"c", b"%d" % n)], lambda: 0.0)
        for n in range(2000)
    )
    assert 0 < rehashed < 2000 * 0.04
