"""All forwarders together never exceed the ramp of a server that is warming up, regardless of faults.

The tests run the real balancers, forwarders and planners in simulated time, most of them with several seeds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random

import pytest

from sandhatch.balancing.guidance.ramp_allocation import RampAllocation, default_allocation, ramp_burst
from testkit.simulation.faults import random_faults
from testkit.simulation.plan import POOL, TierPlan
from testkit.simulation.planning_link import LinkEnds
from testkit.simulation.ramp_check import attempts_beyond_ramp
from testkit.simulation.tier import Tier

# The load exceeds the ramp, so that the ramp is the limit; with few servers, the balancers
# often consider the server that is warming up.
PLAN = TierPlan(
    forwarders=20,
    servers=4,
    planners=2,
    rate_per_s=400.0,
    work_ms=10.0,
    cores=8,
    ramp_per_s=60.0,
    warm_up_ms=6_000.0,
)
RESTART_MS = 9_500.0  # by this time all forwarders lease their shares to the first planner
SEEDS = (1, 2)
RAMP_ATTEMPTS = 60.0 * (0.1 * 6.0 + 0.9 * 3.0)  # attempts that a server's ramp admits in all


def checked_ramp_use(tier: Tier, server: int = 0) -> float:
    """Check that a restarted server's ramp was not exceeded; returns the used part of the ramp's attempts."""
    node = tier.servers[server]
    burst = tier.plan.ramp_burst or tier.settings.instances
    assert attempts_beyond_ramp(tier.plan, node.started_ms, node.sent_ms) <= burst + 1e-6
    assert not [why for forwarder in tier.forwarders for why in forwarder.guidance_rejections]
    return sum(at < node.started_ms + tier.plan.warm_up_ms for at in node.sent_ms) / RAMP_ATTEMPTS


def simulate(plan: TierPlan, seed: int, *faults: tuple[float, Callable[[Tier], object]]) -> Tier:
    tier = Tier(plan, seed)
    tier.at(RESTART_MS, lambda: tier.restart(0))
    for at, fault in faults:
        tier.at(at, partial(fault, tier))
    tier.run(RESTART_MS + plan.warm_up_ms + 500.0)
    return tier


def test_the_ramp_check_detects_attempts_beyond_the_ramp() -> None:
    started_ms = 1_000.0
    assert attempts_beyond_ramp(PLAN, started_ms, [started_ms + 1.0] * 20) == pytest.approx(20.0, abs=0.01)
    # Ten attempts per second; the ramp begins with six attempts per second.
    even = [started_ms + 100.0 * n for n in range(60)]
    assert 1.0 < attempts_beyond_ramp(PLAN, started_ms, even) < 20.0


def test_instances_that_each_use_the_complete_ramp_exceed_the_ramp() -> None:
    """Shows that the other tests would fail if each forwarder used the complete ramp."""
    tier = Tier(replace(PLAN, planners=0), 1)
    complete = default_allocation(1, 0, ramp_burst(tier.settings), 0)
    for forwarder in tier.forwarders:
        ramp = forwarder.balancer.guidance_state.ramp
        assert ramp is not None
        ramp._own_allocation = lambda _server: complete
    tier.at(RESTART_MS, lambda: tier.restart(0))
    tier.run(RESTART_MS + PLAN.warm_up_ms)
    node = tier.servers[0]
    assert attempts_beyond_ramp(PLAN, node.started_ms, node.sent_ms) > 25.0


@pytest.mark.parametrize("seed", SEEDS)
def test_twenty_forwarders_do_not_exceed_the_ramp_with_planners(seed: int) -> None:
    tier = simulate(PLAN, seed)
    assert checked_ramp_use(tier) > 0.5
    assert all(f.machine is not None and f.machine.leased_to == "p0" for f in tier.forwarders)


@pytest.mark.parametrize("seed", SEEDS)
def test_twenty_forwarders_do_not_exceed_the_ramp_without_planners(seed: int) -> None:
    assert checked_ramp_use(simulate(replace(PLAN, planners=0), seed)) > 0.5


@pytest.mark.parametrize("seed", SEEDS)
def test_twenty_forwarders_do_not_exceed_the_ramp_when_all_planners_are_lost(seed: int) -> None:
    midpoint_ms = RESTART_MS + PLAN.warm_up_ms / 2.0
    lost = [
        (midpoint_ms, lambda tier: tier.kill_planner("p0")),
        (midpoint_ms, lambda tier: tier.kill_planner("p1")),
    ]
    tier = simulate(PLAN, seed, *lost)
    assert checked_ramp_use(tier) > 0.3
    assert all(f.machine is not None and f.machine.leased_to is None for f in tier.forwarders)


@pytest.mark.parametrize("planners", [0, 2])
@pytest.mark.parametrize("seed", SEEDS)
def test_twenty_forwarders_do_not_exceed_the_ramp_when_ten_join_during_warm_up(
    seed: int, planners: int
) -> None:
    plan = replace(PLAN, forwarders=10, instances=20, planners=planners)
    midpoint_ms = RESTART_MS + plan.warm_up_ms / 2.0
    tier = simulate(plan, seed, *[(midpoint_ms + 20.0 * n, Tier.join) for n in range(10)])
    assert len(tier.forwarders) == 20
    checked_ramp_use(tier)


# If the burst is smaller than the number of forwarders, only some of them get a share of the ramp, and only
# requests that arrive at these forwarders can be sent to the server that is warming up.
@pytest.mark.parametrize(("burst", "min_used"), [(1.0, 0.05), (2.5, 0.05), (7.0, 0.25), (40.0, 0.6)])
def test_bursts_smaller_and_larger_than_the_number_of_forwarders_are_not_exceeded(
    burst: float, min_used: float
) -> None:
    for planners in (0, 1):
        assert checked_ramp_use(simulate(replace(PLAN, ramp_burst=burst, planners=planners), 1)) > min_used


@pytest.mark.parametrize("seed", SEEDS)
def test_the_lease_moves_when_the_first_planner_is_lost_and_returns_after_its_restart(seed: int) -> None:
    tier = simulate(
        replace(PLAN, warm_up_ms=14_000.0),
        seed,
        (RESTART_MS + 1_000.0, lambda tier: tier.kill_planner("p0")),
        (RESTART_MS + 5_000.0, lambda tier: tier.start_planner("p0")),
    )
    checked_ramp_use(tier)
    notes = tier.forwarders[0].log_lines
    assert [note.split(" ", 1)[1] for note in notes] == [
        "leases its own shares to planner p0",
        "leases its own shares to planner p1",
        "returns its lease from planner p1 to p0",
        "leases its own shares to planner p0",
    ]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_partition_does_not_exceed_the_ramp_and_leases_return_after_it_heals(seed: int) -> None:
    partitions = [LinkEnds(n, "p0") for n in range(10)] + [LinkEnds(n, "p1") for n in range(10, 20)]
    plan = replace(PLAN, warm_up_ms=17_000.0)
    lease_holders: list[set[str | None]] = []

    def record_lease_holders(tier: Tier) -> None:
        leased = [f.machine.leased_to for f in tier.forwarders if f.machine is not None]
        lease_holders.extend((set(leased[:10]), set(leased[10:])))

    tier = simulate(
        plan,
        seed,
        (RESTART_MS + 1_000.0, lambda tier: tier.partition(partitions)),
        (RESTART_MS + 6_000.0, record_lease_holders),
        (RESTART_MS + 6_500.0, lambda tier: tier.partition([])),
    )
    checked_ramp_use(tier)
    assert lease_holders == [{"p1"}, {"p0"}]
    assert {f.machine.leased_to for f in tier.forwarders if f.machine is not None} == {"p0"}


def test_grants_of_a_terminated_forwarder_are_reassigned_only_after_their_expiry() -> None:
    plan = replace(PLAN, forwarders=4, instances=4, ramp_burst=4.0, planners=1)
    tier = Tier(plan, 1)
    tier.at(RESTART_MS, lambda: tier.restart(0))
    tier.run(RESTART_MS + 3_000.0)
    planner = tier.planners["p0"].machine
    address = tier.servers[0].address

    def granted() -> dict[str, float]:
        explained = planner.explain(POOL, address, tier.now)
        assert explained is not None
        rates: dict[str, float] = explained["ramp_granted"]
        return rates

    assert set(granted()) == {"f0", "f1", "f2", "f3"}
    tier.leave(3)
    tier.run(RESTART_MS + 3_000.0 + plan.planner_terms.lease_ms - 300.0)
    assert "f3" in granted()
    tier.run(RESTART_MS + 3_000.0 + plan.planner_terms.member_timeout_ms + 600.0)
    assert "f3" not in granted()
    # f3's own quarter of the ramp is granted to no forwarder, since another process may replace f3.
    assert sum(granted().values()) <= 0.75 + 1e-9
    checked_ramp_use(tier)


def test_a_restarted_forwarder_does_not_use_shares_its_previous_process_may_have_leased() -> None:
    plan = replace(PLAN, forwarders=4, instances=4, ramp_burst=4.0, planners=1)
    tier = Tier(plan, 1, previous_lease_ms=3_030.0)
    tier.run(RESTART_MS)
    tier.leave(3)
    restarted = tier.join()
    restarted.settings = replace(restarted.settings, instance_index=3)
    tier.restart(0)
    begin_ms = tier.now
    assert restarted.machine is not None
    assert restarted.machine.leased_until_ms >= begin_ms + 3_000.0
    ramp = restarted.balancer.guidance_state.ramp
    assert ramp is not None
    assert ramp.allocation(restarted.balancer.server_list.servers[0], begin_ms + 2_000.0) == RampAllocation(
        0.0, 0.0
    )


@pytest.mark.parametrize("seed", range(8))
def test_random_sequences_of_faults_do_not_exceed_the_ramp(seed: int) -> None:
    """Faults: killed, restarted or slow planners, partitions, lost messages, ended or new forwarders."""
    rng = Random(seed)
    forwarder_count = rng.choice([3, 8, 20])
    plan = replace(
        PLAN,
        forwarders=forwarder_count,
        instances=forwarder_count + rng.choice([0, 3]),
        planners=rng.choice([1, 2, 3]),
        ramp_burst=rng.choice([0.0, 2.5, 30.0]),
        rate_per_s=250.0,
        link_loss=rng.choice([0.0, 0.02]),
        link_ms=rng.choice([1.0, 50.0, 300.0]),
        demand={n: rng.choice([1.0, 5.0]) for n in range(forwarder_count)},
    )
    tier = Tier(plan, seed)
    tier.at(RESTART_MS, lambda: tier.restart(0))
    random_faults(tier, rng, 4, RESTART_MS - 500.0, RESTART_MS + 5_000.0)
    tier.run(RESTART_MS + plan.warm_up_ms)
    checked_ramp_use(tier)
