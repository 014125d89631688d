"""Detection of outdated endpoint lists by forty instances that poll one discovery service.

In simulated time: what each instance learns from its own attempts while its subscription is silent, and the
number of polls that this costs.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from testkit.simulation.plan import TierPlan
from testkit.simulation.tier import Tier
from tests.balancing.endpoint_freshness.simulated_fleet import max_in_one_second

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
def test_attempts_at_removed_servers_reveal_silent_subscriptions(instances: int, seed: int) -> None:
    tier = Tier(replace(PLAN, forwarders=instances), seed)
    tier.at(9_000.0, tier.discovery.drop_subscriptions)
    for number in range(0, 60, 3):
        tier.at(10_000.0 + 100.0 * number, lambda number=number: tier.replace(number))  # type: ignore[misc]
    tier.run(30_000.0)
    assert len(tier.discovery.notified_ms) == instances
    for forwarder in tier.forwarders:
        listed = forwarder.balancer.server_list.servers
        assert all(tier.servers[number].up for number in listed)
        assert len(listed) == 60
    later = [at for at in tier.discovery.poll_times_ms if at > 1_009_000.0]
    assert len(later) <= 2 * instances
    assert tier.goodput_share(10_000.0, 30_000.0) > 0.97


@pytest.mark.parametrize("seed", SEEDS)
def test_polls_become_rarer_while_listed_servers_keep_rejecting(seed: int) -> None:
    """Some servers are unreachable while discovery continues to list them as ready."""
    tier = Tier(PLAN, seed)

    def disconnect() -> None:
        for server in tier.servers[:20]:
            server.up = False  # unreachable, but discovery still lists the server as ready

    tier.at(10_000.0, disconnect)
    tier.run(70_000.0)
    polls_per_instance = len([at for at in tier.discovery.poll_times_ms if at > 1_010_000.0]) / 40
    # In the minute after the servers fail, each poll that brings no new list doubles the time to the next.
    assert 1.0 <= polls_per_instance <= 5.0


def test_rejections_by_a_full_server_that_still_serves_do_not_cause_polls() -> None:
    """Overload causes rejections too, but does not mean that the list is out of date."""
    tier = Tier(replace(PLAN, forwarders=3, servers=4, rate_per_s=120.0, cores=2, max_queued=1), 1)
    tier.run(20_000.0)
    rejected = [
        server
        for forwarder in tier.forwarders
        for server in forwarder.balancer.server_list.servers.values()
        if server.ejections
    ]
    assert len(tier.discovery.poll_times_ms) - 3 <= 6, rejected


@pytest.mark.parametrize("seed", SEEDS)
def test_instances_started_with_an_outdated_list_poll_failing_discovery_within_bounds(
    seed: int,
) -> None:
    """Half of the listed servers are gone; discovery is down for 5 s and then serves one call at a time."""
    tier = Tier(PLAN, seed)
    tier.discovery.up = False
    for number in range(0, 60, 2):
        tier.replace(number)
    tier.at(5_000.0, lambda: setattr(tier.discovery, "up", True))
    tier.run(30_000.0)
    calls = tier.discovery.poll_times_ms
    assert max_in_one_second(calls) <= 40  # 40 instances: a mean of at most one poll each in any second
    assert len(tier.discovery.notified_ms) == 40
    assert max(tier.discovery.notified_ms.values()) <= 1_000_000.0 + 5_000.0 + 1.5 * PLAN.poll_interval_ms
