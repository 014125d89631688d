"""Statistics of the goodput watch: a one-sided rank test and the correlation length of samples.

All functions are pure. Source: Mann and Whitney, "On a test of whether one of two random
variables is stochastically larger than the other" (1947), and Bartlett (1946) on autocorrelations.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

MAX_EXACT_AFTER_SAMPLES = 6  # number of samples after the change up to which the test is exact
MAX_EXACT_TOTAL_SAMPLES = 150  # number of samples of both sides together up to which the test is exact
MAX_LENGTH_DIVISOR = 10  # the correlation length is at most one tenth of the number of samples


def rank_test(before: Sequence[float], after: Sequence[float]) -> float:
    """Return the one-sided p-value: the probability of ranks this low for `after` if nothing changed.

    For few samples the test is exact over all choices of the samples that are `after`; otherwise it uses the
    normal approximation with its correction for ties. Ties get mid-ranks. The result is 1.0 if a side is
    empty.
    """
    after_count = len(after)
    before_count = len(before)
    if not after_count or not before_count:
        return 1.0
    ranks = doubled_midranks([*after, *before])
    observed = sum(ranks[:after_count])
    if after_count <= MAX_EXACT_AFTER_SAMPLES and after_count + before_count <= MAX_EXACT_TOTAL_SAMPLES:
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
    """Return the fraction of all choices of `after_count` ranks whose sum is at most `observed`.

    Dynamic programming over the ranks counts the choices by their size and their sum.
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
    """Return the probability of `exact_probability` by the normal approximation, corrected for ties."""
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
    """Return how many consecutive samples must be grouped to obtain independent groups.

    The length is 1 plus twice the sum of the autocorrelations, up to the lag at which they are within the
    noise (twice their standard error), and at most a tenth of the number of samples.
    """
    count = len(samples)
    mean = sum(samples) / count if count else 0.0
    variation = sum((sample - mean) ** 2 for sample in samples)
    max_length = max(1, count // MAX_LENGTH_DIVISOR)
    if variation <= 0.0:
        return 1
    length = 1.0
    for lag in range(1, max_length):
        covariation = sum(
            (samples[index] - mean) * (samples[index + lag] - mean) for index in range(count - lag)
        )
        if covariation / variation < 2.0 / math.sqrt(count):
            break
        length += 2.0 * covariation / variation
    return min(max_length, math.ceil(length))
