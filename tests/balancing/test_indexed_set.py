"""The indexed set: membership, removal by swap, and uniform draws over several sets."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random

from sandhatch.balancing.indexed_set import IndexedSet, draw_uniformly


@dataclass
class Member:
    id: int


def filled(*numbers: int) -> IndexedSet[Member]:
    members: IndexedSet[Member] = IndexedSet()
    for number in numbers:
        members.add(Member(number))
    return members


def test_member_is_added_once_and_found_by_its_id() -> None:
    members = filled(1, 2, 2)
    assert len(members) == 2
    assert Member(2) in members
    assert Member(3) not in members


def test_removal_moves_the_last_member_into_the_gap() -> None:
    members = filled(1, 2, 3)
    first = members.items[0]
    members.discard(first)
    members.discard(Member(9))  # no effect, as the set has no member 9
    assert [member.id for member in members.items] == [3, 2]
    members.discard(members.items[0])
    assert [member.id for member in members.items] == [2]


def test_any_sequence_of_additions_and_removals_agrees_with_a_builtin_set() -> None:
    rng = Random(7)
    members, expected = filled(), set()
    for _ in range(2_000):
        member = Member(rng.randrange(20))
        if rng.random() < 0.5:
            members.add(member)
            expected.add(member.id)
        elif member.id in expected:
            members.discard(next(m for m in members.items if m.id == member.id))
            expected.discard(member.id)
        assert sorted(m.id for m in members.items) == sorted(expected)


def test_draw_is_uniform_over_the_union_of_sets() -> None:
    rng = Random(1)
    sets = [filled(1), filled(), filled(2, 3)]
    counts = Counter(member.id for _ in range(3_000) if (member := draw_uniformly(sets, rng)))
    assert sum(counts.values()) == 3_000
    assert all(850 < counts[number] < 1_150 for number in (1, 2, 3))


def test_draw_from_empty_sets_does_not_use_the_random_generator() -> None:
    rng = Random(1)
    state = rng.getstate()
    assert draw_uniformly([filled(), filled()], rng) is None
    assert rng.getstate() == state
