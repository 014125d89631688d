"""A release: six in ten servers are replaced within seconds, under many instances and under few.

In simulated time, with servers that turn slow when too many requests are in flight there for long, and stay
so until few are: a warm one that is overloaded at the start is lost for the rest of the release.
"""

from __future__ import annotations

from dataclasses import replace
from statistics import mean

import pytest

from testkit.simulation.plan import TierPlan
from testkit.simulation.tier import Tier

PLAN = TierPlan(
    servers=10,
    rate_per_s=95.0,
    work_ms=110.0,
    objective_ms=1_500.0,
    deadline_ms=4_000.0,
    ramp_per_s=0.0,
    initial_capacity_share=0.15,
    warm_up_ms=22_000.0,
    queue=600,
    overload_attempts=10,
    tier=0,
)
BEGIN, SPAN, END = 20_000.0, 7_000.0, 42_000.0
SEEDS = (1, 2)


def run_release(instances: int, seed: int, with_outlier: bool = False) -> Tier:
    """Replace servers 0 to 5 at random times; 6 to 9 stay. With an outlier, 6 fails at once meanwhile."""
    tier = Tier(replace(PLAN, forwarders=instances), seed)
    if with_outlier:
        tier.at(BEGIN - 4_000.0, lambda: setattr(tier.servers[6], "broken", True))
        tier.at(BEGIN + 10_000.0, lambda: setattr(tier.servers[6], "broken", False))
    for number in range(6):
        tier.at(BEGIN + SPAN * tier.rng.random(), lambda number=number: tier.replace(number))  # type: ignore[misc]
    tier.run(END)
    return tier


def goodput(instances: int, with_outlier: bool = False) -> float:
    """Return the part of the requests after all are replaced that is served in time, over the seeds."""
    return mean(run_release(instances, seed, with_outlier).goodput_share(BEGIN + SPAN, END) for seed in SEEDS)


@pytest.mark.parametrize("instances", [1, 3])
def test_warm_servers_are_not_overloaded_by_what_others_cannot_take_yet(instances: int) -> None:
    assert goodput(instances) > 0.55  # about 0.3 where a server that warms up counts as a warm one


@pytest.mark.parametrize("instances", [3, 7])
def test_instances_of_few_requests_each_know_that_the_tier_is_crowded(instances: int) -> None:
    """Else slow answers count against single servers, and all requests move from one to the next."""
    assert goodput(instances) > 0.93


def test_servers_that_warm_up_take_their_share_of_the_capacity() -> None:
    # About 0.7 where their share is that of their number, and the warm ones get the rest.
    assert goodput(1) > 0.9


@pytest.mark.parametrize("instances", [1, 3, 7])
def test_the_few_warm_servers_beside_an_outlier_are_not_overloaded(instances: int) -> None:
    """The capacity of the whole tier comes upon three servers: each needs a limit of its own."""
    assert goodput(instances, with_outlier=True) > 0.85  # 0.34 to 0.45 without
