"""Guidance of planners: weights, bounds and expiry."""

from __future__ import annotations

import math

import pytest

from sandhatch.balancing.events import Guidance, RampShare
from sandhatch.balancing.guidance.ramp_allocation import RampAllocation
from tests.balancing.guidance.harness import GuidedServers, guidance


def test_weights_change_gradually_and_expire_by_themselves() -> None:
    guided = GuidedServers(4)
    assert guided.take(guidance({2: 0.2}), 1_000.0) is None
    assert guided.state.weight(2, 1_000.0) == 1.0
    assert guided.state.weight(2, 1_200.0) == pytest.approx(0.6)
    assert guided.state.weight(2, 2_999.0) == pytest.approx(0.2)
    assert guided.state.weight(2, 4_500.0) == pytest.approx(0.6)
    assert guided.state.weight(2, 6_000.0) == 1.0


def test_a_server_is_passed_over_with_the_probability_that_its_weight_leaves() -> None:
    guided = GuidedServers(4)
    guided.take(guidance({2: 0.25}, until_ms=10_000.0), 1_000.0)
    passed = sum(guided.state.declines(2, 9_000.0) for _ in range(4_000))
    assert 2_850 < passed < 3_150
    assert not any(guided.state.declines(1, 9_000.0) for _ in range(100))


def test_two_planners_with_opposite_weights_cancel_out() -> None:
    guided = GuidedServers(4)
    for now in (1_000.0, 5_000.0):
        guided.take(guidance({0: 0.2, 1: 0.2}, until_ms=9_000.0), now)
        guided.take(guidance({2: 0.2, 3: 0.2}, planner="two", until_ms=9_000.0), now)
    weights = guided.weights(8_500.0)
    assert max(weights) - min(weights) < 1e-9


def test_one_wrong_planner_of_three_changes_nothing() -> None:
    guided = GuidedServers(4)
    for planner in ("one", "two"):
        guided.take(guidance({3: 0.5}, planner=planner, until_ms=9_000.0), 1_000.0)
    guided.take(guidance({0: 0.0}, planner="three", until_ms=9_000.0), 1_000.0)
    assert guided.weights(8_000.0) == [1.0, 1.0, 1.0, 0.5]


def test_equally_low_weights_of_all_servers_change_nothing() -> None:
    guided = GuidedServers(4)
    assert guided.take(guidance(dict.fromkeys(range(4), 0.05)), 1_000.0) is None
    assert guided.weights(2_900.0) == [1.0] * 4


def test_guidance_without_weights_extends_those_before() -> None:
    guided = GuidedServers(4)
    guided.take(guidance({2: 0.5}), 1_000.0)
    guided.take(guidance(None, until_ms=20_000.0), 2_900.0)
    assert guided.state.weight(2, 9_000.0) == 0.5


def test_guidance_that_comes_after_its_expiry_leaves_earlier_grants() -> None:
    guided = GuidedServers(4)
    guided.servers[2].started_ms = 900.0
    share = RampShare(2, 0.9, 3.0)
    guided.take(guidance(leased=True, parts=[share], leased_until_ms=9_000.0, until_ms=5_000.0), 1_000.0)
    guided.take(guidance(leased=True, leased_until_ms=9_000.0), 3_500.0)
    assert guided.state.ramp is not None
    assert guided.state.ramp.part(guided.servers[2], 2_000.0) == RampAllocation(0.9, 3.0)


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
    guided = GuidedServers(4)
    event.leased = True
    rejected = guided.take(event, 1_000.0)
    assert rejected is not None
    assert rejected.planner == "one"
    assert reason in rejected.why
    assert guided.weights(2_500.0) == [1.0] * 4
    assert guided.state.own_part(2_500.0) == 0.25


def test_guidance_that_comes_after_its_expiry_does_not_count() -> None:
    guided = GuidedServers(4)
    assert guided.take(guidance({2: 0.5}), 3_000.0) is None
    assert guided.state.weight(2, 9_000.0) == 1.0


def test_the_share_of_the_tiers_capacity_changes_gradually_and_returns_to_an_even_one() -> None:
    guided = GuidedServers(4)
    guided.take(guidance(leased=True, own_part=0.5, until_ms=9_000.0), 1_000.0)
    assert guided.state.own_part(2_500.0) == pytest.approx(0.375)
    assert guided.state.own_part(8_999.0) == 0.5
    assert guided.state.own_part(10_500.0) == pytest.approx(0.375)
    assert guided.state.own_part(12_000.0) == 0.25


def test_a_share_of_the_tiers_capacity_is_kept_while_its_planner_extends_the_guidance() -> None:
    guided = GuidedServers(4)
    guided.take(guidance(leased=True, own_part=0.5, until_ms=3_000.0), 1_000.0)
    guided.take(guidance(leased=True, until_ms=9_000.0), 2_900.0)
    assert guided.state.own_part(8_900.0) == 0.5
    assert guided.state.own_part(12_000.0) == 0.25
