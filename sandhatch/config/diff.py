"""Comparison of two configurations key by key, and three-way merge. No I/O.

A configuration is treated as a set of leaves, such as `("pools", "web", "max_attempts")`, and their values. A
list of mappings that have a `name` is flattened by the names, with its order as one more leaf, so that a
route's key does not change when another route is inserted before it. Any other list is one leaf. Keys are
never interpreted.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from sandhatch.config.document import dotted
from sandhatch.config.errors import MergeError

Key = tuple[str, ...]
ORDER_LEAF = "(order)"  # leaf that holds the order of a list that is flattened by names


class _Absent:
    """Marks a value that does not exist."""

    def __repr__(self) -> str:
        return "(absent)"


ABSENT: Any = _Absent()


@dataclass(slots=True, frozen=True)
class Change:
    """One leaf that differs.

    Attributes:
        key: Path of the leaf.
        before: Value before the change; ABSENT if the leaf did not exist.
        after: Value after the change; ABSENT if the leaf does not exist.
    """

    key: Key
    before: Any
    after: Any

    @property
    def path(self) -> str:
        """Dotted form of the key, as users write it."""
        return dotted(self.key)

    def __str__(self) -> str:
        """Format the change as one line, with a sign for added, removed or changed."""
        if self.before is ABSENT:
            return f"+ {self.path}: {self.after!r}"
        if self.after is ABSENT:
            return f"- {self.path}: {self.before!r}"
        return f"~ {self.path}: {self.before!r} -> {self.after!r}"


# ------------------------------------------------ comparing


def diff(before: Any, after: Any) -> list[Change]:
    """Return the leaves that differ, sorted by key. Equal subtrees cost one comparison."""
    changes: list[Change] = []
    _compare((), before, after, changes)
    return sorted(changes, key=lambda change: change.key)


def _compare(key: Key, before: Any, after: Any, changes: list[Change]) -> None:
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict) and ((before and after) or not key):
        for name in before.keys() | after.keys():
            _compare((*key, name), before.get(name, ABSENT), after.get(name, ABSENT), changes)
    elif _is_named_list(before) and _is_named_list(after):
        _compare_named_lists(key, before, after, changes)
    else:
        _compare_leaves(key, before, after, changes)


def _compare_named_lists(
    key: Key, before: list[dict[str, Any]], after: list[dict[str, Any]], changes: list[Change]
) -> None:
    before_by_name = _by_name(before)
    after_by_name = _by_name(after)
    names_before = list(before_by_name)
    names_after = list(after_by_name)
    if names_before != names_after:
        changes.append(Change((*key, ORDER_LEAF), names_before, names_after))
    for name in before_by_name.keys() | after_by_name.keys():
        item_before = _without_name(before_by_name.get(name, ABSENT))
        item_after = _without_name(after_by_name.get(name, ABSENT))
        _compare((*key, name), item_before, item_after, changes)


def _compare_leaves(key: Key, before: Any, after: Any, changes: list[Change]) -> None:
    leaves_before = dict(_leaves(key, before))
    leaves_after = dict(_leaves(key, after))
    for leaf in leaves_before.keys() | leaves_after.keys():
        change = Change(leaf, leaves_before.get(leaf, ABSENT), leaves_after.get(leaf, ABSENT))
        if not _is_same(change.before, change.after):
            changes.append(change)


def _leaves(key: Key, value: Any) -> Iterator[tuple[Key, Any]]:
    """Yield each leaf of a value with the leaf's key; yield nothing if the value is ABSENT."""
    if value is ABSENT:
        return
    if isinstance(value, dict) and (value or not key):
        for name, part in value.items():
            yield from _leaves((*key, name), part)
    elif _is_named_list(value):
        yield (*key, ORDER_LEAF), [item["name"] for item in value]
        for item in value:
            yield from _leaves((*key, item["name"]), _without_name(item))
    else:
        yield key, value


def _is_named_list(value: Any) -> bool:
    """Whether the value is a non-empty list of mappings that each have a unique name."""
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) and isinstance(item.get("name"), str) for item in value)
        and len({item["name"] for item in value}) == len(value)
    )


def _by_name(items: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    return {item["name"]: item for item in items}


def _without_name(item: Any) -> Any:
    return item if item is ABSENT else {key: value for key, value in item.items() if key != "name"}


def _is_same(value: Any, other: Any) -> bool:
    """Whether two values are equal and of one type: 1 is neither 1.0 nor True."""
    return type(value) is type(other) and bool(value == other)


# ------------------------------------------------ conflicts and merges


def find_conflicts(ours: list[Change], theirs: list[Change]) -> list[str]:
    """Return the keys in which two changes of one base conflict, in dotted form.

    A conflict is a leaf that both sides change to different values, or a leaf that one side changes while the
    other side changes an ancestor of the leaf. A leaf that both sides change to the same value is none.
    """
    their_changes = {change.key: change for change in theirs}
    their_ancestors = {ancestor for change in theirs for ancestor in _ancestors(change.key)}
    conflicts: set[Key] = set()
    for change in ours:
        other = their_changes.get(change.key)
        if other is not None:
            if not _is_same(change.after, other.after):
                conflicts.add(change.key)
        elif change.key in their_ancestors:
            conflicts.add(change.key)
        else:
            conflicts.update(ancestor for ancestor in _ancestors(change.key) if ancestor in their_changes)
    return [dotted(key) for key in sorted(conflicts)]


def _ancestors(key: Key) -> Iterator[Key]:
    """Yield the keys of all ancestors of a leaf, outermost first."""
    for length in range(1, len(key)):
        yield key[:length]


def merge(base: Any, ours: Any, theirs: Any) -> Any:
    """Return `theirs` with the changes that `ours` made to `base`.

    A named list has the order of `theirs`; an item that is new in `ours` follows the item that it follows in
    `ours`.

    Raises:
        MergeError: The changes of both sides conflict; conflicting orders of a list are no error.
    """
    keys = [
        key for key in find_conflicts(diff(base, ours), diff(base, theirs)) if not key.endswith(ORDER_LEAF)
    ]
    if keys:
        raise MergeError(keys)
    return _merge(base, ours, theirs)


def _merge(base: Any, ours: Any, theirs: Any) -> Any:
    if _is_same(ours, base):
        return theirs
    if _is_same(theirs, base):
        return ours
    if isinstance(ours, dict) and isinstance(theirs, dict):
        return _merge_mappings(base, ours, theirs)
    if all(_is_named_list(side) or side in ([], ABSENT) for side in (ours, theirs)):
        return _merge_named_lists(base, ours, theirs)
    return ours


def _merge_mappings(base: Any, ours: dict[str, Any], theirs: dict[str, Any]) -> dict[str, Any]:
    base_values = base if isinstance(base, dict) else {}
    keys = [*theirs, *(key for key in ours if key not in theirs)]
    merged = {}
    for key in keys:
        value = _merge(base_values.get(key, ABSENT), ours.get(key, ABSENT), theirs.get(key, ABSENT))
        if value is not ABSENT:
            merged[key] = value
    return merged


def _merge_named_lists(base: Any, ours: Any, theirs: Any) -> list[Any]:
    base_by_name = _by_name(base) if isinstance(base, list) else {}
    our_by_name = _by_name(ours) if isinstance(ours, list) else {}
    their_by_name = _by_name(theirs) if isinstance(theirs, list) else {}
    order = list(their_by_name)
    previous: str | None = None
    for name in our_by_name:
        if name not in their_by_name:
            order.insert(order.index(previous) + 1 if previous in order else 0, name)
        previous = name
    merged = [
        _merge(base_by_name.get(name, ABSENT), our_by_name.get(name, ABSENT), their_by_name.get(name, ABSENT))
        for name in order
    ]
    return [item for item in merged if item is not ABSENT]
