"""The rank test, compared with an enumeration, and the correlation length of samples."""

from __future__ import annotations

from itertools import combinations
from random import Random

import pytest

from sandhatch.config.rank_statistics import (
    correlation_length,
    doubled_midranks,
    exact_probability,
    rank_test,
)


def probability_by_enumeration(before: list[float], after: list[float]) -> float:
    values = [*after, *before]
    ranks = [sum(v < x for v in values) + (sum(v == x for v in values) + 1) / 2 for x in values]
    observed = sum(ranks[: len(after)])
    sums = [sum(choice) for choice in combinations(ranks, len(after))]
    return sum(total <= observed + 1e-9 for total in sums) / len(sums)


def test_the_rank_test_equals_an_enumeration_of_all_choices_of_samples() -> None:
    rng = Random(3)
    for _ in range(40):
        before = [rng.choice([0.5, 0.8, 0.9, 1.0]) for _ in range(9)]
        after = [rng.choice([0.4, 0.8, 1.0]) for _ in range(rng.randrange(1, 5))]
        assert rank_test(before, after) == pytest.approx(probability_by_enumeration(before, after))


def test_the_normal_approximation_is_close_to_the_exact_probability() -> None:
    rng = Random(4)
    before = [rng.random() for _ in range(60)]
    after = [rng.random() * 0.8 for _ in range(7)]
    ranks = doubled_midranks([*after, *before])
    exact = exact_probability(ranks, 7, sum(ranks[:7]))
    assert rank_test(before, after) == pytest.approx(exact, rel=0.25, abs=0.01)
    assert rank_test([1.0] * 20, [1.0] * 20) == 1.0
    assert rank_test([], [1.0]) == 1.0


def test_the_correlation_length_grows_with_the_burst_length() -> None:
    rng = Random(1)
    independent = [rng.random() for _ in range(120)]
    assert correlation_length(independent) <= 2
    bursts = [float(n % 24 >= 6) for n in range(120)]
    assert 3 <= correlation_length(bursts) <= 12
    assert correlation_length([1.0] * 50) == 1
    assert correlation_length([]) == 1
