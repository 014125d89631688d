"""The simulated tier: its clock, determinism for a seed, sessions with planners, and the workload."""

from __future__ import annotations

from functools import partial
from random import Random

import pytest

from testkit.simulation.clock import START_MS, SimulatedClock
from testkit.simulation.faults import random_faults
from testkit.simulation.plan import TierPlan
from testkit.simulation.planning_link import LinkEnds
from testkit.simulation.ramp_check import attempts_beyond_ramp
from testkit.simulation.tier import Tier


def test_calls_are_made_in_order_of_due_time_and_then_of_addition() -> None:
    clock = SimulatedClock()
    made: list[tuple[str, float]] = []

    def record(name: str) -> None:
        made.append((name, clock.now_ms - START_MS))

    for name, delay_ms in (("late", 20.0), ("first", 10.0), ("second", 10.0), ("past", -5.0)):
        clock.after(delay_ms, partial(record, name))
    clock.at(15.0, lambda: clock.after(1.0, partial(record, "nested")))
    clock.run(19.0)
    assert made == [("past", 0.0), ("first", 10.0), ("second", 10.0), ("nested", 16.0)]
    assert clock.now_ms == START_MS + 19.0
    clock.run(20.0)
    assert made[-1] == ("late", 20.0)


def send_times_of_run(seed: int) -> list[list[float]]:
    plan = TierPlan(forwarders=4, servers=6, planners=2, link_loss=0.05, rate_per_s=300.0)
    tier = Tier(plan, seed)
    tier.at(500.0, lambda: tier.restart(0))
    random_faults(tier, Random(seed), 4, 500.0, 2_500.0)
    tier.run(4_000.0)
    return [server.sent_ms for server in tier.servers]


def test_runs_with_the_same_seed_are_identical() -> None:
    assert send_times_of_run(1) == send_times_of_run(1)
    assert send_times_of_run(1) != send_times_of_run(2)


def test_restarted_planner_has_the_next_epoch_and_the_same_script() -> None:
    tier = Tier(TierPlan(planners=1))
    script = tier.planners["p0"].script
    tier.kill_planner("p0")
    assert not tier.planners["p0"].up
    tier.start_planner("p0")
    assert tier.planners["p0"].up
    assert tier.planners["p0"].machine.epoch == 2
    assert tier.planners["p0"].script is script


def test_partitioned_forwarder_and_planner_have_no_session() -> None:
    tier = Tier(TierPlan(planners=2, forwarders=3))
    tier.run(2_000.0)
    assert all(sorted(forwarder.sessions) == ["p0", "p1"] for forwarder in tier.forwarders)
    tier.partition([LinkEnds(1, "p0")])
    tier.run(4_000.0)
    assert [sorted(forwarder.sessions) for forwarder in tier.forwarders] == [
        ["p0", "p1"],
        ["p1"],
        ["p0", "p1"],
    ]
    tier.partition([])
    tier.run(6_000.0)
    assert sorted(tier.forwarders[1].sessions) == ["p0", "p1"]


def test_simultaneous_attempts_beyond_the_ramp_are_counted() -> None:
    plan = TierPlan(ramp_per_s=50.0, initial_capacity_share=0.1, warm_up_ms=20_000.0)
    assert attempts_beyond_ramp(plan, START_MS, []) == 0.0
    assert attempts_beyond_ramp(plan, START_MS, [START_MS + 1.0] * 5) == pytest.approx(5.0, abs=0.01)
    # The server's warm-up is over at the time of these attempts.
    assert attempts_beyond_ramp(plan, START_MS, [START_MS + 30_000.0] * 5) == 0.0


def work_of_run(plan: TierPlan) -> list[float]:
    tier = Tier(plan, seed=3)
    tier.run(20_000.0)
    workload = tier.workload
    return [workload._draw_work_ms() for _ in range(40_000)]


@pytest.mark.parametrize("heavy_tail", [False, True])
def test_mean_work_is_that_of_the_plan_with_either_distribution(heavy_tail: bool) -> None:
    work_ms = work_of_run(TierPlan(work_ms=20.0, heavy_tail=heavy_tail))
    assert sum(work_ms) / len(work_ms) == pytest.approx(20.0, rel=0.05)


def test_largest_requests_have_more_of_the_work_with_a_heavy_tail() -> None:
    def share_of_largest(work_ms: list[float]) -> float:
        return sum(sorted(work_ms)[-len(work_ms) // 100 :]) / sum(work_ms)

    exponential = share_of_largest(work_of_run(TierPlan()))
    heavy = share_of_largest(work_of_run(TierPlan(heavy_tail=True)))
    assert heavy > 1.5 * exponential


@pytest.mark.parametrize("hints", [False, True])
def test_requests_state_their_expected_work_only_with_hints(hints: bool) -> None:
    tier = Tier(TierPlan(forwarders=1, hints=hints))
    tier.run(1_000.0)
    assert bool(tier.forwarders[0].balancer.latency.hint_ms[0]) is hints
