"""Two configurations compared key by key, and three merged. Pure.

A configuration is taken as its leaves: `("pools", "web", "max_attempts")` and its value. A list of
mappings that have a `name` is flattened by the names, with its order as one leaf more, so that a route keeps
its key when another is put before it. Any other list is one leaf.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from sandhatch.config.document import dotted
from sandhatch.config.errors import MergeError

Key = tuple[str, ...]
ORDER = "(order)"
ABSENT: Any = type("Absent", (), {"__repr__": lambda self: "(absent)"})()


@dataclass(slots=True, frozen=True)
class Change:
    """One leaf that differs; ABSENT stands for one that is not there."""

    key: Key
    before: Any
    after: Any

    @property
    def path(self) -> str:
        return dotted(self.key)

    def __str__(self) -> str:
        if self.before is ABSENT:
            return f"+ {self.path}: {self.after!r}"
        if self.after is ABSENT:
            return f"- {self.path}: {self.before!r}"
        return f"~ {self.path}: {self.before!r} -> {self.after!r}"


def _named(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) and isinstance(item.get("name"), str) for item in value)
        and len({item["name"] for item in value}) == len(value)
    )


def _leaves(key: Key, value: Any) -> Iterator[tuple[Key, Any]]:
    if isinstance(value, dict) and (value or not key):
        for name, item in value.items():
            yield from _leaves((*key, name), item)
    elif _named(value):
        yield (*key, ORDER), [item["name"] for item in value]
        for item in value:
            yield from _leaves((*key, item["name"]), _unnamed(item))
    else:
        yield key, value


def diff(before: Any, after: Any) -> list[Change]:
    """The leaves that differ, by key. Parts that are equal cost a comparison and are not walked through."""
    found: list[Change] = []
    _compare((), before, after, found)
    return sorted(found, key=lambda change: change.key)


def _compare(key: Key, before: Any, after: Any, found: list[Change]) -> None:
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict) and ((before and after) or not key):
        for name in before.keys() | after.keys():
            _compare((*key, name), before.get(name, ABSENT), after.get(name, ABSENT), found)
    elif _named(before) and _named(after):
        old, new = ({item["name"]: item for item in side} for side in (before, after))
        if list(old) != list(new):
            found.append(Change((*key, ORDER), list(old), list(new)))
        for name in old.keys() | new.keys():
            _compare((*key, name), _unnamed(old.get(name, ABSENT)), _unnamed(new.get(name, ABSENT)), found)
    else:
        gone, come = (dict(_leaves(key, side)) if side is not ABSENT else {} for side in (before, after))
        for leaf in gone.keys() | come.keys():
            change = Change(leaf, gone.get(leaf, ABSENT), come.get(leaf, ABSENT))
            if not _same(change.before, change.after):
                found.append(change)


def _unnamed(item: Any) -> Any:
    return item if item is ABSENT else {key: value for key, value in item.items() if key != "name"}


def _same(one: Any, other: Any) -> bool:
    return type(one) is type(other) and bool(one == other)


def overlap(mine: list[Change], theirs: list[Change]) -> list[str]:
    """The keys that two changes of one base both touch: the same leaf, or a leaf and what holds it. A leaf
    that both bring to the same value is no conflict.
    """
    by_key = {change.key: change for change in theirs}
    above = {change.key[:n]: change.key for change in theirs for n in range(1, len(change.key))}
    found = set()
    for change in mine:
        other = by_key.get(change.key)
        if other is not None:
            if not _same(change.after, other.after):
                found.add(change.key)
        elif change.key in above:
            found.add(change.key)
        else:
            found.update(change.key[:n] for n in range(1, len(change.key)) if change.key[:n] in by_key)
    return [dotted(key) for key in sorted(found)]


def merge(base: Any, mine: Any, theirs: Any) -> Any:
    """`theirs` with what `mine` changed from `base`; MergeError where both changed the same. The order of a
    named list is theirs, with what is new in mine behind the one it stood behind there.
    """
    changes, others = diff(base, mine), diff(base, theirs)
    keys = [key for key in overlap(changes, others) if not key.endswith(ORDER)]
    if keys:
        raise MergeError(keys)
    return _merge(base, mine, theirs)


def _merge(base: Any, mine: Any, theirs: Any) -> Any:
    if _same(mine, base):
        return theirs
    if _same(theirs, base):
        return mine
    if isinstance(mine, dict) and isinstance(theirs, dict):
        before = base if isinstance(base, dict) else {}
        keys = [*theirs, *(key for key in mine if key not in theirs)]
        merged = {
            key: _merge(before.get(key, ABSENT), mine.get(key, ABSENT), theirs.get(key, ABSENT))
            for key in keys
        }
        return {key: value for key, value in merged.items() if value is not ABSENT}
    if all(_named(item) or item in ([], ABSENT) for item in (mine, theirs)):
        return _merge_named(base, mine, theirs)
    return mine


def _merge_named(base: Any, mine: Any, theirs: Any) -> list[Any]:
    by_name = [
        {item["name"]: item for item in side} if isinstance(side, list) else {}
        for side in (base, mine, theirs)
    ]
    order = list(by_name[2])
    previous: str | None = None
    for name in by_name[1]:
        if name not in by_name[2]:
            order.insert(order.index(previous) + 1 if previous in order else 0, name)
        previous = name
    merged = [
        _merge(by_name[0].get(name, ABSENT), by_name[1].get(name, ABSENT), by_name[2].get(name, ABSENT))
        for name in order
    ]
    return [item for item in merged if item is not ABSENT]
