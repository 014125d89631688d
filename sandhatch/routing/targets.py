"""Targets of routes: a pool, a split over pools, or a fixed response.

This module draws no random numbers: the caller passes the function to `Split.choose`. Source:
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
MAX_SALT_BYTES = 64  # maximum length of a blake2b key


@dataclass(slots=True, frozen=True)
class FixedResponse:
    """A response that the balancer sends itself, without a server."""

    status: int
    body: bytes
    content_type: bytes


@dataclass(slots=True, frozen=True)
class WeightedPool:
    """A pool of a split; its share is its weight divided by the sum of all weights."""

    pool: str
    weight: int


@dataclass(slots=True, frozen=True)
class Split:
    """A weighted split over pools.

    Attributes:
        pools: Names of the pools, without those of weight 0.
        cumulative_weights: Running sums of the weights.
        by: Name, in lower case, of the header whose value assigns a client to one pool; empty for no header.
        salt: Key of the hash function, which makes the hashes differ from those of other splits.
    """

    pools: tuple[str, ...]
    cumulative_weights: tuple[int, ...]
    by: bytes
    salt: bytes

    @staticmethod
    def of(weighted_pools: Iterable[WeightedPool], by: bytes = b"", salt: bytes = b"") -> Split:
        """Return the split over these pools; `by` and `salt` are those of the class."""
        used = [part for part in weighted_pools if part.weight > 0]
        sums = tuple(accumulate(part.weight for part in used))
        return Split(tuple(part.pool for part in used), sums, by.lower(), salt)

    def choose(self, headers: Headers, draw: Callable[[], float]) -> str:
        """Return the pool of a request: by the hash of the header `by` if the request has it, else by `draw`.

        Args:
            headers: Headers of the request.
            draw: Function that returns a random number in [0, 1).
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


Target = str | Split | FixedResponse  # a pool's name, a split over pools, or a fixed response
