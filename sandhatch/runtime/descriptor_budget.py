"""The budget of descriptors for connections to servers, shared by all pools.

The budget closes nothing itself: if a descriptor is needed, it asks a pool to close an idle connection.
"""

from __future__ import annotations

from typing import Protocol


class DescriptorHolder(Protocol):
    """The connections of one pool to its servers, which use descriptors."""

    @property
    def connection_count(self) -> int:
        """Number of descriptors that the pool's connections use."""

    def close_longest_idle(self) -> bool:
        """Closes the connection that has been idle for longest; returns False if no connection is idle."""


class DescriptorBudget:
    """The descriptors that all pools' connections to servers may use together.

    Attributes:
        limit: Maximum number of descriptors in use.
        holders: Connections of each pool; each pool adds and removes its own connections object.
    """

    def __init__(self) -> None:
        """Creates an empty budget; `SharedResources.share_descriptors` sets its limit."""
        self.limit = 0
        self.holders: dict[DescriptorHolder, None] = {}

    @property
    def used(self) -> int:
        """Number of descriptors in use by all pools."""
        return sum(holder.connection_count for holder in self.holders)

    def ensure_one_free(self) -> bool:
        """Tries to have one descriptor free, by closing an idle connection of any pool if necessary.

        Returns:
            Whether a descriptor is free.
        """
        if self.used < self.limit:
            return True
        return any(holder.close_longest_idle() for holder in self.holders)
