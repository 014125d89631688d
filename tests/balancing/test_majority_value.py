"""Majority value of a stream of samples."""

from __future__ import annotations

from random import Random

from sandhatch.balancing.majority_value import MajorityValue


def test_samples_count_as_uncommon_only_with_a_clear_majority() -> None:
    majority = MajorityValue()
    rng = Random(3)
    assert all(majority.vote(rng.uniform(0.0, 1000.0), 1.0) for _ in range(500))
    for _ in range(50):
        majority.vote(700.0, 1.0)
    assert majority.vote(701.0, 1.0)
    assert not majority.vote(300.0, 1.0)
