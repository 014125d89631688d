"""Differences by key, conflicts between two changes, and three-way merges."""

from __future__ import annotations

from copy import deepcopy
from random import Random
from typing import Any

import pytest

from sandhatch.config.diff import diff, find_conflicts, merge
from sandhatch.config.errors import MergeError
from tests.config.samples import BASE, sample


def keys(before: Any, after: Any) -> list[str]:
    return [change.path for change in diff(before, after)]


def test_a_diff_lists_the_paths_of_the_changed_leaves() -> None:
    after = sample(pools__web__max_attempts=3, pools__orders__servers__o1=None)
    assert keys(BASE, after) == [
        "pools.orders.servers",
        "pools.orders.servers.o1.address",
        "pools.web.max_attempts",
    ]
    assert keys(BASE, deepcopy(BASE)) == []
    assert keys({"a": {"b": 1}}, {"a": {}}) == ["a", "a.b"]
    assert keys({"a": [1, 2]}, {"a": [1]}) == ["a"]


def test_a_route_inserted_first_does_not_change_the_keys_of_later_routes() -> None:
    after = sample()
    after["routes"].insert(0, {"name": "first", "to": {"pool": "web"}})
    assert keys(BASE, after) == ["routes.(order)", "routes.first.to.pool"]


def test_changes_of_different_keys_are_merged() -> None:
    ours = sample(pools__web__max_attempts=3)
    ours["routes"].append({"name": "ours", "to": {"pool": "web"}})
    theirs = sample(pools__orders__max_attempts=4)
    theirs["routes"].insert(0, {"name": "theirs", "to": {"pool": "web"}})
    merged = merge(BASE, ours, theirs)
    assert merged["pools"]["web"]["max_attempts"] == 3
    assert merged["pools"]["orders"]["max_attempts"] == 4
    assert [route["name"] for route in merged["routes"]] == ["theirs", "orders", "ours"]


def test_two_changes_of_one_key_conflict_unless_the_values_are_equal() -> None:
    ours = sample(pools__web__max_attempts=3)
    theirs = sample(pools__web__max_attempts=4)
    with pytest.raises(MergeError) as caught:
        merge(BASE, ours, theirs)
    assert caught.value.keys == ["pools.web.max_attempts"]
    assert merge(BASE, ours, deepcopy(ours)) == ours


def test_removing_a_mapping_conflicts_with_a_change_inside_it() -> None:
    without_orders = sample(pools__orders=None)
    inside = sample(pools__orders__servers__o1__address="127.0.0.1:9999")
    assert find_conflicts(diff(BASE, without_orders), diff(BASE, inside)) == [
        "pools.orders.servers.o1.address"
    ]
    emptied = sample(pools__orders__servers={})
    added = sample(pools__orders__servers__o2={"address": "127.0.0.1:1"})
    assert find_conflicts(diff(BASE, emptied), diff(BASE, added)) == ["pools.orders.servers"]


def _mutate(data: dict[str, Any], rng: Random, names: list[str]) -> dict[str, Any]:
    data = deepcopy(data)
    for _ in range(rng.randrange(1, 4)):
        name = rng.choice(names)
        if rng.random() < 0.3:
            data["pools"].pop(name, None)
        else:
            data["pools"].setdefault(name, {})["max_attempts"] = rng.randrange(1, 9)
    return data


def test_a_successful_merge_contains_the_changes_of_both_sides() -> None:
    """Random changes from many seeds: a successful merge contains each leaf that either side changed."""
    merge_count = 0
    for seed in range(300):
        rng = Random(seed)
        names = [f"p{n}" for n in range(6)]
        base = {"pools": {name: {"max_attempts": 1, "copies": 1} for name in names[:4]}}
        ours = _mutate(base, rng, names)
        theirs = _mutate(base, rng, names)
        try:
            merged = merge(base, ours, theirs)
        except MergeError:
            continue
        merge_count += 1
        for side in (ours, theirs):
            for change in diff(base, side):
                assert change.path not in [c.path for c in diff(side, merged) if c.before == c.after], seed
                value: Any = merged
                for part in change.key:
                    value = value.get(part, "absent") if isinstance(value, dict) else "absent"
                expected = "absent" if repr(change.after) == "(absent)" else change.after
                assert value == expected, (seed, change)
    assert merge_count > 50
