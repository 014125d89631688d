"""What a route leads to: a pool, a split over pools, or a fixed answer.

Never draws a random number itself: `Split.choose` takes the function from its caller. Source:
docs/operators/configuration.md.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from itertools import accumulate

Headers = Sequence[tuple[bytes, bytes]]

HASH_BYTES = 8
HASH_RANGE = 2 ** (8 * HASH_BYTES)
MAX_SALT_BYTES = 64  # the longest key that blake2b takes


@dataclass(slots=True, frozen=True)
class FixedResponse:
    """A fixed answer."""

    status: int
    body: bytes
    content_type: bytes


@dataclass(slots=True, frozen=True)
class WeightedPool:
    """A pool of a split. Its share is its weight over the sum of all weights."""

    pool: str
    weight: int


@dataclass(slots=True, frozen=True)
class Split:
    """Weighted pools.

    Attributes:
        pools: Their names; those with weight 0 are left out.
        cumulative_weights: The running sums of their weights.
        by: The header whose value keeps a client with one pool, in lower case; empty for none.
        salt: Makes the hashes differ from those of other splits.
    """

    pools: tuple[str, ...]
    cumulative_weights: tuple[int, ...]
    by: bytes
    salt: bytes

    @staticmethod
    def of(weighted_pools: Iterable[WeightedPool], by: bytes = b"", salt: bytes = b"") -> Split:
        """Return the split over these pools; the other arguments are those of the class."""
        used = [part for part in weighted_pools if part.weight > 0]
        sums = tuple(accumulate(part.weight for part in used))
        return Split(tuple(part.pool for part in used), sums, by.lower(), salt)

    def choose(self, headers: Headers, draw: Callable[[], float]) -> str:
        """Return the pool of a request: by the hash of its header if it has that header, else by `draw`.

        Args:
            headers: The request's headers.
            draw: Returns a random number in [0, 1).
        """
        point: float | None = None
        if self.by:
            value = next((value for name, value in headers if name.lower() == self.by), None)
            if value is not None:
                digest = blake2b(value, digest_size=HASH_BYTES, key=self.salt[:MAX_SALT_BYTES]).digest()
                point = int.from_bytes(digest) / HASH_RANGE
        if point is None:
            point = draw()
        index = bisect_right(self.cumulative_weights, point * self.cumulative_weights[-1])
        return self.pools[min(index, len(self.pools) - 1)]


Target = str | Split | FixedResponse  # a pool's name, a split over pools, or a fixed answer
