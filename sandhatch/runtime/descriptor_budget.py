"""The budget of descriptors for connections to servers, shared by all pools. It opens and closes nothing."""

from __future__ import annotations

from typing import Protocol


class DescriptorHolder(Protocol):
    """A pool's connections."""

    @property
    def sockets(self) -> int:
        """Descriptors in use."""

    def close_oldest(self) -> bool:
        """Close the connection that has been idle for longest; False if none is idle."""


class Descriptors:
    """The descriptors that all pools' connections to servers may use together.

    Attributes:
        most: How many.
        holders: The pools' connections; each pool adds and removes its own.
    """

    def __init__(self) -> None:
        """An empty budget; its size is set by `SharedResources.share_descriptors`."""
        self.most = 0
        self.holders: dict[DescriptorHolder, None] = {}

    @property
    def used(self) -> int:
        """Descriptors in use."""
        return sum(holder.sockets for holder in self.holders)

    def make_room(self) -> bool:
        """Whether one more may be used; if none is free, an idle connection of any pool is closed for it."""
        if self.used < self.most:
            return True
        return any(holder.close_oldest() for holder in self.holders)
