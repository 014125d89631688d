"""Guidance from planners: weights of servers, their bounds, and the expiry of guidance."""

from __future__ import annotations

import math

import pytest

from sandhatch.balancing.events import Guidance, RampShare
from sandhatch.balancing.guidance.ramp_allocation import RampAllocation
from tests.balancing.guidance.harness import GuidedServers, make_guidance


def test_weights_change_gradually_and_return_to_one_after_expiry() -> None:
    guided = GuidedServers(4)
    assert guided.apply(make_guidance({2: 0.2}), 1_000.0) is None
    assert guided.state.weight(2, 1_000.0) == 1.0
    assert guided.state.weight(2, 1_200.0) == pytest.approx(0.6)
    assert guided.state.weight(2, 2_999.0) == pytest.approx(0.2)
    assert guided.state.weight(2, 4_500.0) == pytest.approx(0.6)
    assert guided.state.weight(2, 6_000.0) == 1.0


def test_drawn_server_is_passed_over_with_probability_one_minus_its_weight() -> None:
    guided = GuidedServers(4)
    guided.apply(make_guidance({2: 0.25}, until_ms=10_000.0), 1_000.0)
    passed_over = sum(guided.state.is_passed_over(2, 9_000.0) for _ in range(4_000))
    assert 2_850 < passed_over < 3_150
    assert not any(guided.state.is_passed_over(1, 9_000.0) for _ in range(100))


def test_opposite_weights_of_two_planners_cancel_out() -> None:
    guided = GuidedServers(4)
    for now_ms in (1_000.0, 5_000.0):
        guided.apply(make_guidance({0: 0.2, 1: 0.2}, until_ms=9_000.0), now_ms)
        guided.apply(make_guidance({2: 0.2, 3: 0.2}, planner="two", until_ms=9_000.0), now_ms)
    weights = guided.weights(8_500.0)
    assert max(weights) - min(weights) < 1e-9


def test_one_faulty_planner_of_three_does_not_change_the_weights() -> None:
    guided = GuidedServers(4)
    for planner in ("one", "two"):
        guided.apply(make_guidance({3: 0.5}, planner=planner, until_ms=9_000.0), 1_000.0)
    guided.apply(make_guidance({0: 0.0}, planner="three", until_ms=9_000.0), 1_000.0)
    assert guided.weights(8_000.0) == [1.0, 1.0, 1.0, 0.5]


def test_equally_low_weights_of_all_servers_have_no_effect() -> None:
    guided = GuidedServers(4)
    assert guided.apply(make_guidance(dict.fromkeys(range(4), 0.05)), 1_000.0) is None
    assert guided.weights(2_900.0) == [1.0] * 4


def test_guidance_without_weights_extends_the_previous_weights() -> None:
    guided = GuidedServers(4)
    guided.apply(make_guidance({2: 0.5}), 1_000.0)
    guided.apply(make_guidance(None, until_ms=20_000.0), 2_900.0)
    assert guided.state.weight(2, 9_000.0) == 0.5


def test_guidance_received_after_its_expiry_leaves_earlier_grants_in_effect() -> None:
    guided = GuidedServers(4)
    guided.servers[2].started_ms = 900.0
    share = RampShare(2, 0.9, 3.0)
    guided.apply(
        make_guidance(leased=True, parts=[share], leased_until_ms=9_000.0, until_ms=5_000.0), 1_000.0
    )
    guided.apply(make_guidance(leased=True, leased_until_ms=9_000.0), 3_500.0)
    assert guided.state.ramp is not None
    assert guided.state.ramp.allocation(guided.servers[2], 2_000.0) == RampAllocation(0.9, 3.0)


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        (make_guidance({0: 1.5}), "a weight is not between 0 and 1"),
        (make_guidance({0: math.nan}), "a weight is not between 0 and 1"),
        (make_guidance({0: 0.0, 1: 0.0, 2: 0.1}), "only 1 of 4 ready servers keep half"),
        (make_guidance(parts=[RampShare(0, 1.5, 1.0)]), "a ramp share is not between 0 and 1"),
        (
            make_guidance(parts=[RampShare(0, 0.5, 5.0)]),
            "a ramp share is not between 0 and 1, or its burst is not between 0 and 4",
        ),
        (make_guidance(own_part=0.1), "the share of the tier's capacity is 0.1, not between 0.125 and 1"),
        (make_guidance(own_part=math.nan), "the share of the tier's capacity"),
    ],
)
def test_out_of_bounds_guidance_is_rejected_completely_with_a_reason(event: Guidance, reason: str) -> None:
    guided = GuidedServers(4)
    event.leased = True
    rejected = guided.apply(event, 1_000.0)
    assert rejected is not None
    assert rejected.planner == "one"
    assert reason in rejected.why
    assert guided.weights(2_500.0) == [1.0] * 4
    assert guided.state.own_share(2_500.0) == 0.25


def test_guidance_received_after_its_expiry_is_ignored() -> None:
    guided = GuidedServers(4)
    assert guided.apply(make_guidance({2: 0.5}), 3_000.0) is None
    assert guided.state.weight(2, 9_000.0) == 1.0


def test_capacity_share_changes_gradually_and_returns_to_an_even_share_after_expiry() -> None:
    guided = GuidedServers(4)
    guided.apply(make_guidance(leased=True, own_part=0.5, until_ms=9_000.0), 1_000.0)
    assert guided.state.own_share(2_500.0) == pytest.approx(0.375)
    assert guided.state.own_share(8_999.0) == 0.5
    assert guided.state.own_share(10_500.0) == pytest.approx(0.375)
    assert guided.state.own_share(12_000.0) == 0.25


def test_capacity_share_is_retained_while_its_planner_extends_the_guidance() -> None:
    guided = GuidedServers(4)
    guided.apply(make_guidance(leased=True, own_part=0.5, until_ms=3_000.0), 1_000.0)
    guided.apply(make_guidance(leased=True, until_ms=9_000.0), 2_900.0)
    assert guided.state.own_share(8_900.0) == 0.5
    assert guided.state.own_share(12_000.0) == 0.25
