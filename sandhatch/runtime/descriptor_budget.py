"""The budget of descriptors for connections to servers, shared by all pools.

It opens nothing, and closes nothing itself: it asks a pool to close an idle connection.
"""

from __future__ import annotations

from typing import Protocol


class DescriptorHolder(Protocol):
    """A pool's connections."""

    @property
    def sockets(self) -> int:
        """Descriptors in use."""

    def close_oldest(self) -> bool:
        """Close the connection that has been idle for longest; False if none is idle."""


class DescriptorBudget:
    """The descriptors that all pools' connections to servers may use together.

    Attributes:
        limit: How many.
        holders: The pools' connections; each pool adds and removes its own.
    """

    def __init__(self) -> None:
        """An empty budget; its size is set by `SharedResources.share_descriptors`."""
        self.limit = 0
        self.holders: dict[DescriptorHolder, None] = {}

    @property
    def used(self) -> int:
        """Descriptors in use."""
        return sum(holder.sockets for holder in self.holders)

    def ensure_one_free(self) -> bool:
        """Whether one more may be used; if none is free, an idle connection of any pool is closed for it."""
        if self.used < self.limit:
            return True
        return any(holder.close_oldest() for holder in self.holders)
