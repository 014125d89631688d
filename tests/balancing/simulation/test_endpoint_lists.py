"""Forty copies and one discovery service that takes calls in turn: what each learns from its own calls when
the list tells nothing, and how many calls that costs. In simulated time.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from testkit.tier import Tier, TierPlan

PLAN = TierPlan(
    forwarders=40,
    servers=60,
    rate_per_s=800.0,
    work_ms=60.0,
    aim_ms=1_000.0,
    deadline_ms=2_000.0,
    ramp_per_s=0.0,
    cold_share=0.85,
    cold_ms=1_000.0,
    max_attempts=4,
    list_call_ms=150.0,
    tier=0,
)
SEEDS = (1, 2)


def most_in_a_second(calls_ms: list[float]) -> int:
    times = sorted(calls_ms)
    return max((sum(at <= other < at + 1_000.0 for other in times) for at in times), default=0)


@pytest.mark.parametrize("copies", [1, 3, 40])
@pytest.mark.parametrize("seed", SEEDS)
def test_subscriptions_that_fell_silent_are_found_out_by_servers_that_have_gone(
    copies: int, seed: int
) -> None:
    tier = Tier(replace(PLAN, forwarders=copies), seed)
    tier.at(9_000.0, tier.discovery.fall_silent)
    for number in range(0, 60, 3):
        tier.at(10_000.0 + 100.0 * number, lambda number=number: tier.replace(number))  # type: ignore[misc]
    tier.run(30_000.0)
    assert len(tier.discovery.notified_ms) == copies
    for forwarder in tier.forwarders:
        listed = forwarder.balancer.server_list.servers
        assert all(tier.servers[number].up for number in listed) and len(listed) == 60
    later = [at for at in tier.discovery.calls_ms if at > 1_009_000.0]
    assert len(later) <= 2 * copies
    assert tier.yielded(10_000.0, 30_000.0) > 0.97


@pytest.mark.parametrize("seed", SEEDS)
def test_servers_that_stay_on_the_list_and_refuse_are_no_reason_to_ask_for_ever(seed: int) -> None:
    """A part of the fleet is cut off while discovery goes on naming it as ready."""
    tier = Tier(PLAN, seed)

    def cut() -> None:
        for server in tier.servers[:20]:
            server.up = False  # nothing is told of it

    tier.at(10_000.0, cut)
    tier.run(70_000.0)
    by_copy = len([at for at in tier.discovery.calls_ms if at > 1_010_000.0]) / 40
    assert 1.0 <= by_copy <= 5.0  # in a minute: each time that it brings nothing doubles the time to the next


def test_a_full_server_that_still_serves_is_no_reason_to_ask() -> None:
    """Overload turns calls away too; the list has nothing to tell of that."""
    tier = Tier(replace(PLAN, forwarders=3, servers=4, rate_per_s=120.0, cores=2, queue=1), 1)
    tier.run(20_000.0)
    rejected = [s for f in tier.forwarders for s in f.balancer.server_list.servers.values() if s.ejections]
    assert len(tier.discovery.calls_ms) - 3 <= 6, rejected


@pytest.mark.parametrize("seed", SEEDS)
def test_copies_that_start_together_with_an_old_list_ask_a_failing_discovery_in_bounds(seed: int) -> None:
    """Half of the list is gone, discovery is down for five seconds and then takes one call at a time."""
    tier = Tier(PLAN, seed)
    tier.discovery.up = False
    for number in range(0, 60, 2):
        tier.replace(number)
    tier.at(5_000.0, lambda: setattr(tier.discovery, "up", True))
    tier.run(30_000.0)
    calls = tier.discovery.calls_ms
    assert most_in_a_second(calls) <= 40  # one a copy
    assert len(tier.discovery.notified_ms) == 40
    assert max(tier.discovery.notified_ms.values()) <= 1_000_000.0 + 5_000.0 + 1.5 * PLAN.ask_within_ms
