"""Random faults of a simulated tier, determined by a seed: planners, partitions and forwarders.

Servers are not affected. Source: none; written for this project.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from testkit.simulation.planner import delays_advice, passes_advice
from testkit.simulation.planning_link import LinkEnds
from testkit.simulation.tier import Tier

ADVICE_DELAYS_MS = (300.0, 1_500.0, 5_000.0)
PARTITION_PROBABILITY = 0.5  # probability that a pair of a forwarder and a planner is partitioned


@dataclass(frozen=True, slots=True)
class FaultStep:
    """One step of a fault: a call at a time relative to the start of the fault."""

    after_ms: float
    call: Callable[[], object]


def random_faults(tier: Tier, rng: Random, count: int, begin_ms: float, end_ms: float) -> None:
    """Schedules `count` faults at random times in an interval of the run.

    Each is one of: a planner that is killed and restarted, later or at once; a partition that heals; a
    forwarder that dies; a forwarder that joins, unless all configured instances have; a planner whose advice
    is delayed for a while.
    """
    for _ in range(count):
        # All random values are drawn for every fault, so that a fault's kind doesn't affect later faults.
        fault_ms = rng.uniform(begin_ms, end_ms)
        planner = f"p{rng.randrange(tier.plan.planners)}"
        pairs = [
            LinkEnds(number, name)
            for number in range(tier.plan.forwarders)
            for name in tier.planners
            if rng.random() < PARTITION_PROBABILITY
        ]
        forwarder = rng.randrange(tier.plan.forwarders)
        delay_ms = rng.choice(ADVICE_DELAYS_MS)
        faults = [
            _restart_planner(tier, planner, down_ms=900.0),
            _restart_planner(tier, planner, down_ms=1.0),
            _partition_and_heal(tier, pairs),
            [FaultStep(0.0, partial(tier.leave, forwarder))],
            [FaultStep(0.0, partial(_join_if_configured, tier))],
            _delay_advice(tier, planner, delay_ms),
        ]
        for step in rng.choice(faults):
            tier.at(fault_ms + step.after_ms, step.call)


def _restart_planner(tier: Tier, planner: str, down_ms: float) -> list[FaultStep]:
    return [
        FaultStep(0.0, partial(tier.kill_planner, planner)),
        FaultStep(down_ms, partial(tier.start_planner, planner)),
    ]


def _partition_and_heal(tier: Tier, pairs: list[LinkEnds]) -> list[FaultStep]:
    return [
        FaultStep(0.0, partial(tier.partition, pairs)),
        FaultStep(2_500.0, partial(tier.partition, [])),
    ]


def _join_if_configured(tier: Tier) -> None:
    if len(tier.forwarders) < tier.settings.instances:
        tier.join()


def _delay_advice(tier: Tier, planner: str, delay_ms: float) -> list[FaultStep]:
    return [
        FaultStep(0.0, partial(tier.follow, planner, delays_advice(delay_ms))),
        FaultStep(2_000.0, partial(tier.follow, planner, passes_advice)),
    ]
