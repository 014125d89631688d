"""Forty instances and one discovery service that serves polls in turn, in simulated time.

What each learns from its own attempts when the endpoint list says nothing, and how many polls that costs.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from testkit.simulation.plan import TierPlan
from testkit.simulation.tier import Tier
from tests.balancing.endpoint_freshness.simulated_fleet import most_in_a_second

PLAN = TierPlan(
    forwarders=40,
    servers=60,
    rate_per_s=800.0,
    work_ms=60.0,
    objective_ms=1_000.0,
    deadline_ms=2_000.0,
    ramp_per_s=0.0,
    initial_capacity_share=0.85,
    warm_up_ms=1_000.0,
    max_attempts=4,
    list_call_ms=150.0,
    tier=0,
)
SEEDS = (1, 2)


@pytest.mark.parametrize("instances", [1, 3, 40])
@pytest.mark.parametrize("seed", SEEDS)
def test_silent_subscriptions_are_detected_by_servers_that_were_removed(instances: int, seed: int) -> None:
    tier = Tier(replace(PLAN, forwarders=instances), seed)
    tier.at(9_000.0, tier.discovery.fall_silent)
    for number in range(0, 60, 3):
        tier.at(10_000.0 + 100.0 * number, lambda number=number: tier.replace(number))  # type: ignore[misc]
    tier.run(30_000.0)
    assert len(tier.discovery.notified_ms) == instances
    for forwarder in tier.forwarders:
        listed = forwarder.balancer.server_list.servers
        assert all(tier.servers[number].up for number in listed)
        assert len(listed) == 60
    later = [at for at in tier.discovery.calls_ms if at > 1_009_000.0]
    assert len(later) <= 2 * instances
    assert tier.goodput_share(10_000.0, 30_000.0) > 0.97


@pytest.mark.parametrize("seed", SEEDS)
def test_listed_servers_that_reject_do_not_cause_polls_for_ever(seed: int) -> None:
    """Some servers are cut off while discovery goes on listing them as ready."""
    tier = Tier(PLAN, seed)

    def disconnect() -> None:
        for server in tier.servers[:20]:
            server.up = False  # nobody is notified

    tier.at(10_000.0, disconnect)
    tier.run(70_000.0)
    polls_per_instance = len([at for at in tier.discovery.calls_ms if at > 1_010_000.0]) / 40
    # In a minute: each poll that brings nothing doubles the time to the next.
    assert 1.0 <= polls_per_instance <= 5.0


def test_a_full_server_that_still_serves_does_not_cause_polls() -> None:
    """Overload causes rejections too; the list has nothing to say of that."""
    tier = Tier(replace(PLAN, forwarders=3, servers=4, rate_per_s=120.0, cores=2, queue=1), 1)
    tier.run(20_000.0)
    rejected = [
        server
        for forwarder in tier.forwarders
        for server in forwarder.balancer.server_list.servers.values()
        if server.ejections
    ]
    assert len(tier.discovery.calls_ms) - 3 <= 6, rejected


@pytest.mark.parametrize("seed", SEEDS)
def test_instances_that_start_together_with_an_old_list_poll_a_failing_discovery_within_bounds(
    seed: int,
) -> None:
    """Half of the list is gone, discovery is down for five seconds and then takes one call at a time."""
    tier = Tier(PLAN, seed)
    tier.discovery.up = False
    for number in range(0, 60, 2):
        tier.replace(number)
    tier.at(5_000.0, lambda: setattr(tier.discovery, "up", True))
    tier.run(30_000.0)
    calls = tier.discovery.calls_ms
    assert most_in_a_second(calls) <= 40  # one an instance
    assert len(tier.discovery.notified_ms) == 40
    assert max(tier.discovery.notified_ms.values()) <= 1_000_000.0 + 5_000.0 + 1.5 * PLAN.poll_interval_ms
