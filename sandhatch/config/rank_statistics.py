"""Statistics of the goodput watch: a one-sided rank test, and how long samples are correlated.

Pure functions of their arguments. Source: Mann and Whitney, "On a test of whether one of two random
variables is stochastically larger than the other" (1947), and Bartlett (1946) on autocorrelations.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

MAX_EXACT_AFTER = 6  # samples after the change, up to which the test counts every choice
MAX_EXACT_TOTAL = 150  # and of both sides together
MAX_CORRELATED_PART = 10  # samples are taken as correlated over at most one tenth of them


def rank_test(before: Sequence[float], after: Sequence[float]) -> float:
    """Return the probability that equal distributions put `after` as low as it is, or lower.

    Exact over all choices of which samples are `after` where these are few; else by the normal approximation
    with its correction for ties. Ties get mid-ranks. 1.0 where there is nothing to compare.
    """
    after_count = len(after)
    before_count = len(before)
    if not after_count or not before_count:
        return 1.0
    ranks = doubled_midranks([*after, *before])
    observed = sum(ranks[:after_count])
    if after_count <= MAX_EXACT_AFTER and after_count + before_count <= MAX_EXACT_TOTAL:
        return exact_probability(ranks, after_count, observed)
    return normal_probability(ranks, after_count, before_count, observed)


def doubled_midranks(values: Sequence[float]) -> list[int]:
    """Return twice the rank of each value, counted from 1; equal values share the mean of their ranks."""
    order = sorted(range(len(values)), key=values.__getitem__)
    ranks = [0] * len(values)
    start = 0
    while start < len(order):
        end = start
        while end < len(order) and values[order[end]] == values[order[start]]:
            end += 1
        for index in order[start:end]:
            ranks[index] = start + end + 1  # twice the mean of the ranks start + 1 to end
        start = end
    return ranks


def exact_probability(ranks: Sequence[int], after_count: int, observed: int) -> float:
    """Return the part of all choices of `after_count` ranks whose sum is at most `observed`.

    Counts the choices by their size and their sum, one rank after the other.
    """
    choices: list[dict[int, int]] = [{} for _ in range(after_count + 1)]
    choices[0][0] = 1
    for rank in ranks:
        for size in range(after_count - 1, -1, -1):
            larger = choices[size + 1]
            for total, count in choices[size].items():
                if total + rank <= observed:
                    larger[total + rank] = larger.get(total + rank, 0) + count
    return sum(choices[after_count].values()) / math.comb(len(ranks), after_count)


def normal_probability(ranks: Sequence[int], after_count: int, before_count: int, observed: int) -> float:
    """Return the same probability by the normal approximation with its correction for ties."""
    total = after_count + before_count
    mean = after_count * (total + 1)
    tie_sizes: dict[int, int] = {}
    for rank in ranks:
        tie_sizes[rank] = tie_sizes.get(rank, 0) + 1
    tie_correction = sum(size**3 - size for size in tie_sizes.values())
    variance = 4.0 * after_count * before_count / 12.0 * (total + 1 - tie_correction / (total * (total - 1)))
    if variance <= 0.0:
        return 1.0
    z = (observed + 1 - mean) / math.sqrt(variance)
    return 0.5 * math.erfc(-z / math.sqrt(2.0))


def correlation_length(samples: Sequence[float]) -> int:
    """Return how many consecutive samples must be put together to get independent ones.

    One and twice the sum of the autocorrelations, up to the lag at which they are lost in the noise (twice
    their standard error); at most a tenth of the samples.
    """
    count = len(samples)
    mean = sum(samples) / count if count else 0.0
    variation = sum((sample - mean) ** 2 for sample in samples)
    longest = max(1, count // MAX_CORRELATED_PART)
    if variation <= 0.0:
        return 1
    length = 1.0
    for lag in range(1, longest):
        covariation = sum(
            (samples[index] - mean) * (samples[index + lag] - mean) for index in range(count - lag)
        )
        if covariation / variation < 2.0 / math.sqrt(count):
            break
        length += 2.0 * covariation / variation
    return min(longest, math.ceil(length))
