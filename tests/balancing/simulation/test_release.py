"""Six in ten servers are replaced within seconds, all cold at once, under many copies and under few.

In simulated time, with servers that turn slow when they hold too many calls for long, and stay so until they
hold few: what drives a warm one over at the begin is lost for the rest of the release.
"""

from __future__ import annotations

from dataclasses import replace
from statistics import mean

import pytest

from testkit.tier import Tier, TierPlan

PLAN = TierPlan(
    servers=10,
    rate_per_s=95.0,
    work_ms=110.0,
    aim_ms=1_500.0,
    deadline_ms=4_000.0,
    ramp_per_s=0.0,
    cold_share=0.15,
    cold_ms=22_000.0,
    queue=600,
    choke=10,
    tier=0,
)
BEGIN, SPAN, END = 20_000.0, 7_000.0, 42_000.0
SEEDS = (1, 2)


def released(copies: int, seed: int, bad: bool = False) -> Tier:
    """Servers 0 to 5 are replaced at random times; 6 to 9 stay. A bad one of these errs at once meanwhile."""
    tier = Tier(replace(PLAN, forwarders=copies), seed)
    if bad:
        tier.at(BEGIN - 4_000.0, lambda: setattr(tier.servers[6], "broken", True))
        tier.at(BEGIN + 10_000.0, lambda: setattr(tier.servers[6], "broken", False))
    for number in range(6):
        tier.at(BEGIN + SPAN * tier.rng.random(), lambda number=number: tier.replace(number))  # type: ignore[misc]
    tier.run(END)
    return tier


def yields(copies: int, bad: bool = False) -> float:
    """Of what comes once all are replaced, the part served in time: the mean of the seeds."""
    return mean(released(copies, seed, bad).yielded(BEGIN + SPAN, END) for seed in SEEDS)


@pytest.mark.parametrize("copies", [1, 3])
def test_warm_servers_are_not_choked_by_what_cold_ones_cannot_bear_yet(copies: int) -> None:
    assert yields(copies) > 0.55  # about 0.3 where a cold server counts as a whole one


@pytest.mark.parametrize("copies", [3, 7])
def test_copies_of_few_calls_each_know_that_the_tier_is_crowded(copies: int) -> None:
    """Else they hold slow answers against single servers, and drive all calls from one to the next."""
    assert yields(copies) > 0.93


def test_cold_servers_take_their_part_of_what_all_can_do() -> None:
    assert (
        yields(1) > 0.9
    )  # about 0.7 where their part is of the servers' number, and the warm ones get the rest


@pytest.mark.parametrize("copies", [1, 3, 7])
def test_the_few_that_are_left_beside_a_bad_one_are_not_driven_over(copies: int) -> None:
    """The total that the tier bears comes upon three servers: each needs a bound of its own."""
    assert yields(copies, bad=True) > 0.85  # 0.34 to 0.45 without
