"""Effect of planners and their failures on the goodput of a tier, with equal arrivals in simulated time."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import pytest

from sandhatch.planning.messages import Report
from testkit.simulation.clock import START_MS
from testkit.simulation.plan import TierPlan
from testkit.simulation.planner import (
    RepeatsFirstAdvice,
    Script,
    delays_advice,
    passes_advice,
    sends_garbage,
)
from testkit.simulation.tier import Tier

# Ten servers with two cores each and attempts of 100 ms have a capacity of 200 attempts per second.
PLAN = TierPlan(
    forwarders=8,
    servers=10,
    planners=2,
    rate_per_s=0.9 * 200.0,
    work_ms=100.0,
    cores=2,
    objective_ms=750.0,
    deadline_ms=5_000.0,
    ramp_per_s=18.0,
    tier=0,
)


def attempt_shares(tier: Tier, start_ms: float, end_ms: float) -> list[float]:
    """Each server's share of the attempts sent between two times of the run."""
    counts = [sum(start_ms <= at - START_MS < end_ms for at in server.sent_ms) for server in tier.servers]
    return [count / sum(counts) for count in counts]


def largest_change(tier: Tier) -> float:
    """Largest change of any server's share of attempts between two consecutive spans of 3 s."""
    changes = []
    for start_ms in range(18_000, 30_000, 3_000):
        before = attempt_shares(tier, start_ms - 3_000, start_ms)
        now = attempt_shares(tier, start_ms, start_ms + 3_000)
        changes += [abs(a - b) for a, b in zip(before, now, strict=True)]
    return max(changes)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_planner_restart_without_state_changes_no_servers_share_abruptly(
    seed: int,
) -> None:
    plan = replace(PLAN, planners=1, rate_per_s=0.75 * 200.0)

    def simulate(restart: bool) -> Tier:
        tier = Tier(plan, seed)
        # The planner advises reduced weights for these two servers.
        tier.servers[0].slowdown = tier.servers[1].slowdown = 3.0
        if restart:
            tier.at(20_000.0, lambda: tier.kill_planner("p0"))
            tier.at(20_300.0, lambda: tier.start_planner("p0"))
        tier.run(32_000.0)
        return tier

    steady = simulate(False)
    restarted = simulate(True)
    weights = [f.balancer.guidance_state.weight(0, restarted.now) for f in restarted.forwarders]
    assert max(weights) < 0.95  # the restarted planner has advised reduced weights again
    # With about 45 attempts per server in 3 s, random variation alone changes a server's share of attempts by
    # 0.02 and more.
    assert largest_change(restarted) < largest_change(steady) + 0.03
    assert restarted.goodput_share(20_000.0, 31_000.0) > steady.goodput_share(20_000.0, 31_000.0) - 0.03
    assert not [why for forwarder in restarted.forwarders for why in forwarder.guidance_rejections]


def test_after_a_restart_a_planner_is_learning_and_existing_grants_are_renewed_unchanged() -> None:
    plan = replace(PLAN, planners=1, warm_up_ms=20_000.0)
    tier = Tier(plan, 1)
    tier.at(9_000.0, lambda: tier.restart(0))
    tier.at(14_000.0, lambda: tier.kill_planner("p0"))
    tier.at(14_100.0, lambda: tier.start_planner("p0"))
    granted: dict[float, list[float]] = {}

    def record_shares() -> None:
        rates = []
        for forwarder in tier.forwarders:
            ramp = forwarder.balancer.guidance_state.ramp
            assert ramp is not None
            rates.append(ramp.allocation(forwarder.balancer.server_list.servers[0], tier.now).rate)
        granted[tier.now - START_MS] = rates

    for at in (13_900.0, 15_000.0, 16_500.0):
        tier.at(at, record_shares)
    learning: list[bool] = []
    tier.at(15_000.0, lambda: learning.append(tier.planners["p0"].machine.is_learning(tier.now)))
    tier.run(20_000.0)
    assert learning == [True]
    before = granted[13_900.0]
    assert sum(before) > 0.9
    for now in (granted[15_000.0], granted[16_500.0]):
        assert sum(now) > 0.8 * sum(before)
        assert all(rate <= earlier + 1e-9 for rate, earlier in zip(now, before, strict=True))


def test_goodput_with_all_planners_killed_for_a_minute_is_no_worse_than_without_planners() -> None:
    uneven_plan = replace(PLAN, rate_per_s=0.95 * 200.0, demand={0: 6.0})

    def simulate(planners: int, kill: bool) -> float:
        tier = Tier(replace(uneven_plan, planners=planners), 3)
        if kill:
            for name in tier.planners:
                tier.at(12_000.0, partial(tier.kill_planner, name))
                tier.at(72_000.0, partial(tier.start_planner, name))
        tier.run(84_000.0)
        return tier.goodput_share(12_000.0, 72_000.0)

    without = simulate(0, False)
    killed = simulate(2, True)
    planned = simulate(2, False)
    assert killed > without - 0.02
    assert planned > without + 0.01  # one forwarder has six times the demand of any other forwarder


def test_a_forwarder_that_reports_ten_times_its_load_does_not_reduce_the_goodput() -> None:
    plan = replace(PLAN, planners=1, rate_per_s=0.95 * 200.0)

    def multiply_load(report: Report) -> Report:
        for pool in report.pools:
            pool.demand = {name: 10 * count for name, count in pool.demand.items()}
            for row in pool.rows:
                row.ok *= 10
                row.failed *= 10
                row.spent_ms *= 10.0
                row.outstanding *= 10
        return report

    def simulate(is_misreporting: bool) -> Tier:
        tier = Tier(plan, 2)
        if is_misreporting:
            tier.forwarders[0].alter_report = multiply_load
        tier.run(30_000.0)
        return tier

    correct = simulate(False)
    misreported = simulate(True)
    assert misreported.goodput_share(10_000.0, 28_000.0) > correct.goodput_share(10_000.0, 28_000.0) - 0.03
    own_shares = [f.balancer.guidance_state.own_share(misreported.now) for f in misreported.forwarders]
    assert min(own_shares) > 0.6 / 8


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(delays_advice(5_000.0), id="late"),
        pytest.param(sends_garbage, id="garbage"),
        pytest.param(RepeatsFirstAdvice(), id="old"),
    ],
)
def test_goodput_does_not_fall_if_a_planner_sends_late_malformed_or_old_advice(script: Script) -> None:
    plan = replace(PLAN, planners=2)

    def simulate(script: Script) -> Tier:
        tier = Tier(plan, 1)
        tier.follow("p0", script)
        tier.run(25_000.0)
        return tier

    good = simulate(passes_advice)
    bad = simulate(script)
    assert bad.goodput_share(8_000.0, 24_000.0) > good.goodput_share(8_000.0, 24_000.0) - 0.03
    # All forwarders lease their shares to the other planner.
    assert {f.machine.leased_to for f in bad.forwarders if f.machine is not None} == {"p1"}
