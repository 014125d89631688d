"""Exponential backoff: delays between attempts, which double up to a bound.

No I/O, no clock: delays are returned, and the caller waits. Source: "Exponential Backoff And Jitter" (AWS
Architecture Blog, 2015).
"""

from __future__ import annotations

from random import Random

MAX_DOUBLINGS = 16  # limit of the exponent, so that any number of failures gives a finite power


def backoff_bound_ms(min_ms: float, max_ms: float, failures: int) -> float:
    """The upper bound of the delay after a failure.

    Args:
        min_ms: Delay after the first failure.
        max_ms: Upper bound of all delays.
        failures: Number of consecutive failures before the latest one.
    """
    return min(max_ms, min_ms * 2.0 ** min(failures, MAX_DOUBLINGS))


class Backoff:
    """Random delays between half the minimum and a bound, which doubles until `reset`."""

    def __init__(self, min_ms: float, max_ms: float, rng: Random) -> None:
        """Start at the minimum.

        Args:
            min_ms: Upper bound of the first delay.
            max_ms: Upper bound of all delays.
            rng: Random source of the jitter.
        """
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._rng = rng
        self._attempts = 0

    def next_ms(self) -> float:
        """The delay before the next attempt."""
        bound_ms = backoff_bound_ms(self._min_ms, self._max_ms, self._attempts)
        self._attempts += 1
        return self._rng.uniform(self._min_ms / 2.0, bound_ms)

    def reset(self) -> None:
        """Start at the minimum again, once a connection has proven usable."""
        self._attempts = 0
