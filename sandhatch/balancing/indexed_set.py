"""A set with O(1) addition, removal and uniform draws: an array and an index by id.

Source: the swap-with-last removal of array-backed sets.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Generic, Protocol, TypeVar


class Numbered(Protocol):
    """A member with a unique id."""

    id: int


Member = TypeVar("Member", bound=Numbered)


class IndexedSet(Generic[Member]):
    """Members in an array, indexed by id; the order changes with each removal.

    Attributes:
        items: The members.
    """

    __slots__ = ("_index_by_id", "items")

    def __init__(self) -> None:
        """Start empty."""
        self.items: list[Member] = []
        self._index_by_id: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self.items)

    def __contains__(self, member: Member) -> bool:
        """Return whether a member with this id is in the set."""
        return member.id in self._index_by_id

    def add(self, member: Member) -> None:
        """Add a member at the end of the array; no effect if its id is already present."""
        if member.id not in self._index_by_id:
            self._index_by_id[member.id] = len(self.items)
            self.items.append(member)

    def discard(self, member: Member) -> None:
        """Remove a member and move the last one into the gap; no effect if the id is absent."""
        index = self._index_by_id.pop(member.id, None)
        if index is None:
            return
        last = self.items.pop()
        if last is not member:
            self.items[index] = last
            self._index_by_id[last.id] = index


def draw_uniformly(sets: Sequence[IndexedSet[Member]], rng: Random) -> Member | None:
    """Draw from the union of disjoint sets; returns None without using `rng` if all are empty."""
    total = 0
    for part in sets:
        total += len(part.items)
    if not total:
        return None
    index = int(rng.random() * total)
    for part in sets:
        if index < len(part.items):
            return part.items[index]
        index -= len(part.items)
    return None
