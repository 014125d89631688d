"""Assignment of ramp shares to forwarders."""

from __future__ import annotations

from sandhatch.planning.ramp_assignment import assign_ramp, is_similar

DEMANDS = {f"f{n}": 1.0 + n % 3 for n in range(30)}


def test_shares_are_proportional_to_demand_and_sum_to_one() -> None:
    assert assign_ramp({"a": 3.0, "b": 1.0}, 7, 10) == {"a": 0.75, "b": 0.25}
    assert abs(sum(assign_ramp(DEMANDS, 7, 10).values()) - 1.0) < 1e-12


def test_the_number_of_forwarders_with_a_share_is_limited() -> None:
    assert len(assign_ramp(DEMANDS, 7, 10)) == 10
    assert assign_ramp(DEMANDS, 7, 0) == {}


def test_a_removed_forwarder_is_replaced_by_one_holder_and_other_holders_stay_the_same() -> None:
    before = assign_ramp(DEMANDS, 7, 10)
    removed = next(iter(before))
    remaining = {name: demand for name, demand in DEMANDS.items() if name != removed}
    after = assign_ramp(remaining, 7, 10)
    assert before.keys() - after.keys() == {removed}
    assert len(after.keys() - before.keys()) == 1


def test_holders_differ_between_servers() -> None:
    assert len({frozenset(assign_ramp(DEMANDS, label, 5)) for label in range(20)}) > 10


def test_shares_are_similar_only_with_equal_holders_and_small_changes() -> None:
    assert is_similar({"a": 0.5, "b": 0.5}, {"a": 0.55, "b": 0.45})
    assert not is_similar({"a": 0.5, "b": 0.5}, {"a": 0.7, "b": 0.3})
    assert not is_similar({"a": 0.5, "b": 0.5}, {"a": 0.5, "c": 0.5})
