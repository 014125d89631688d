"""A set of numbered things to draw from: an array and an index into it, so that every operation is O(1).

It decides nothing: who is added, and what a draw is for, is the caller's. Source: the swap-with-last removal
of array-backed sets.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Generic, Protocol, TypeVar


class Numbered(Protocol):
    """Something with a number of its own."""

    id: int


Member = TypeVar("Member", bound=Numbered)


class IndexedSet(Generic[Member]):
    """Members in an array (`items`), found again by their number; the order changes with each removal."""

    __slots__ = ("_index_by_id", "items")

    def __init__(self) -> None:
        """Start empty."""
        self.items: list[Member] = []
        self._index_by_id: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self.items)

    def __contains__(self, member: Member) -> bool:
        """Return whether a member of this number is in the set."""
        return member.id in self._index_by_id

    def add(self, member: Member) -> None:
        """Add at the end of the array; nothing happens if the number is there already."""
        if member.id not in self._index_by_id:
            self._index_by_id[member.id] = len(self.items)
            self.items.append(member)

    def discard(self, member: Member) -> None:
        """Remove, and move the last member into the gap; nothing happens if the number is absent."""
        index = self._index_by_id.pop(member.id, None)
        if index is None:
            return
        last = self.items.pop()
        if last is not member:
            self.items[index] = last
            self._index_by_id[last.id] = index


def draw_uniformly(sets: Sequence[IndexedSet[Member]], rng: Random) -> Member | None:
    """Draw from the union of disjoint sets; None, and no draw of `rng`, if all are empty."""
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
