"""Guidance of planners: weights, bounds and expiry."""

from __future__ import annotations

import math

import pytest

from sandhatch.balancing.events import Guidance, RampShare
from sandhatch.balancing.guidance.ramp_allocation import RampAllocation
from tests.balancing.guidance_harness import guidance, guidance_state_of


def test_weights_change_gradually_and_expire_by_themselves() -> None:
    guidance_state, servers, warm = guidance_state_of(4)
    assert guidance_state.take(guidance({2: 0.2}), servers, warm, 1_000.0) is None
    assert guidance_state.weight(2, 1_000.0) == 1.0
    assert guidance_state.weight(2, 1_200.0) == pytest.approx(0.6)
    assert guidance_state.weight(2, 2_999.0) == pytest.approx(0.2)
    assert guidance_state.weight(2, 4_500.0) == pytest.approx(0.6)
    assert guidance_state.weight(2, 6_000.0) == 1.0


def test_a_server_is_passed_over_with_the_probability_that_its_weight_leaves() -> None:
    guidance_state, servers, warm = guidance_state_of(4)
    guidance_state.take(guidance({2: 0.25}, until_ms=10_000.0), servers, warm, 1_000.0)
    passed = sum(guidance_state.declines(2, 9_000.0) for _ in range(4_000))
    assert 2_850 < passed < 3_150
    assert not any(guidance_state.declines(1, 9_000.0) for _ in range(100))


def test_two_planners_with_opposite_weights_cancel_out() -> None:
    guidance_state, servers, warm = guidance_state_of(4)
    for now in (1_000.0, 5_000.0):
        guidance_state.take(guidance({0: 0.2, 1: 0.2}, until_ms=9_000.0), servers, warm, now)
        guidance_state.take(guidance({2: 0.2, 3: 0.2}, planner="two", until_ms=9_000.0), servers, warm, now)
    weights = [guidance_state.weight(n, 8_500.0) for n in range(4)]
    assert max(weights) - min(weights) < 1e-9


def test_one_wrong_planner_of_three_changes_nothing() -> None:
    guidance_state, servers, warm = guidance_state_of(4)
    for planner in ("one", "two"):
        guidance_state.take(guidance({3: 0.5}, planner=planner, until_ms=9_000.0), servers, warm, 1_000.0)
    guidance_state.take(guidance({0: 0.0}, planner="three", until_ms=9_000.0), servers, warm, 1_000.0)
    assert [guidance_state.weight(n, 8_000.0) for n in range(4)] == [1.0, 1.0, 1.0, 0.5]


def test_equally_low_weights_of_all_servers_change_nothing() -> None:
    guidance_state, servers, warm = guidance_state_of(4)
    assert guidance_state.take(guidance(dict.fromkeys(range(4), 0.05)), servers, warm, 1_000.0) is None
    assert [guidance_state.weight(n, 2_900.0) for n in range(4)] == [1.0] * 4


def test_guidance_without_weights_extends_those_before() -> None:
    guidance_state, servers, warm = guidance_state_of(4)
    guidance_state.take(guidance({2: 0.5}), servers, warm, 1_000.0)
    guidance_state.take(guidance(None, until_ms=20_000.0), servers, warm, 2_900.0)
    assert guidance_state.weight(2, 9_000.0) == 0.5


def test_guidance_that_comes_after_its_expiry_leaves_earlier_grants() -> None:
    guidance_state, servers, warm = guidance_state_of(4)
    servers[2].started_ms = 900.0
    share = RampShare(2, 0.9, 3.0)
    guidance_state.take(
        guidance(leased=True, parts=[share], leased_until_ms=9_000.0, until_ms=5_000.0),
        servers,
        warm,
        1_000.0,
    )
    guidance_state.take(guidance(leased=True, leased_until_ms=9_000.0), servers, warm, 3_500.0)
    assert guidance_state.ramp is not None
    assert guidance_state.ramp.part(servers[2], 2_000.0) == RampAllocation(0.9, 3.0)


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        (guidance({0: 1.5}), "a weight is not between 0 and 1"),
        (guidance({0: math.nan}), "a weight is not between 0 and 1"),
        (guidance({0: 0.0, 1: 0.0, 2: 0.1}), "only 1 of 4 ready servers keep half"),
        (guidance(parts=[RampShare(0, 1.5, 1.0)]), "a share of a ramp is not"),
        (guidance(parts=[RampShare(0, 0.5, 5.0)]), "a share of a ramp is not"),
        (guidance(own_part=0.1), "the share of the tier's capacity is 0.1, not between 0.125 and 1"),
        (guidance(own_part=math.nan), "the share of the tier's capacity"),
    ],
)
def test_guidance_out_of_bounds_is_rejected_completely_with_a_reason(event: Guidance, reason: str) -> None:
    guidance_state, servers, warm = guidance_state_of(4)
    event.leased = True
    rejected = guidance_state.take(event, servers, warm, 1_000.0)
    assert rejected is not None
    assert rejected.planner == "one"
    assert reason in rejected.why
    assert [guidance_state.weight(n, 2_500.0) for n in range(4)] == [1.0] * 4
    assert guidance_state.own_part(2_500.0) == 0.25


def test_guidance_that_comes_after_its_expiry_does_not_count() -> None:
    guidance_state, servers, warm = guidance_state_of(4)
    assert guidance_state.take(guidance({2: 0.5}), servers, warm, 3_000.0) is None
    assert guidance_state.weight(2, 9_000.0) == 1.0


def test_the_share_of_the_tiers_capacity_changes_gradually_and_returns_to_an_even_one() -> None:
    guidance_state, servers, warm = guidance_state_of(4)
    guidance_state.take(guidance(leased=True, own_part=0.5, until_ms=9_000.0), servers, warm, 1_000.0)
    assert guidance_state.own_part(2_500.0) == pytest.approx(0.375)
    assert guidance_state.own_part(8_999.0) == 0.5
    assert guidance_state.own_part(10_500.0) == pytest.approx(0.375)
    assert guidance_state.own_part(12_000.0) == 0.25


def test_a_share_of_the_tiers_capacity_is_kept_while_its_planner_extends_the_guidance() -> None:
    guidance_state, servers, warm = guidance_state_of(4)
    guidance_state.take(guidance(leased=True, own_part=0.5, until_ms=3_000.0), servers, warm, 1_000.0)
    guidance_state.take(guidance(leased=True, until_ms=9_000.0), servers, warm, 2_900.0)
    assert guidance_state.own_part(8_900.0) == 0.5
    assert guidance_state.own_part(12_000.0) == 0.25
