"""Bounds of the backoff delays."""

from __future__ import annotations

from random import Random

from sandhatch.planning.backoff import Backoff


def test_delays_are_within_bounds_that_double_up_to_the_maximum_until_reset() -> None:
    for seed in range(50):
        backoff = Backoff(100.0, 1_000.0, Random(seed))
        bounds_ms = [100.0, 200.0, 400.0, 800.0, 1_000.0, 1_000.0]
        assert all(50.0 <= backoff.next_ms() <= bound_ms for bound_ms in bounds_ms)
        backoff.reset()
        assert 50.0 <= backoff.next_ms() <= 100.0
