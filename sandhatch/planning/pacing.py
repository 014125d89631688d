"""When to try a connection again: at once the first time, then ever later, spread by chance. No I/O, no
clock.
"""

from __future__ import annotations

from random import Random


class Backoff:
    """Exponential, with full jitter; `well` after something has come of a connection."""

    def __init__(self, least_ms: float, most_ms: float, rng: Random) -> None:
        self._least, self._most, self._rng = least_ms, most_ms, rng
        self._tries = 0

    def next_ms(self) -> float:
        span = min(self._most, self._least * 2.0 ** min(self._tries, 16))
        self._tries += 1
        return self._rng.uniform(self._least / 2.0, span)

    def well(self) -> None:
        self._tries = 0
