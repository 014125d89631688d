"""Goodput of admission control against the best fixed limit, in simulated time.

    python -m benchmarks.admission [--cores 1 2 4 8] [--instances 1 7 40] [--loads 0.6 0.85 1.2]
                                   [--heavy-tail] [--seeds N]

Each run simulates one tier (`testkit.simulation`). Its servers become three times slower once they have had
several attempts per core in flight for some time. In the middle of the run, traffic is 1.5 times as high for
five seconds. A fixed limit bounds the attempts in flight per server, summed over all instances; the best one
is selected with hindsight, which no balancer has. The same seeds give the same figures on any machine.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from itertools import product
from statistics import mean

from sandhatch.balancing.policy import admission_control
from testkit.simulation.plan import TierPlan
from testkit.simulation.tier import Tier

FIXED_LIMITS = (1.5, 2.0, 3.0, 5.0, 7.0, 10.0, 14.0, 20.0, 28.0)  # attempts in flight per server
SERVERS = 12
WORK_MS = 110.0
OBJECTIVE_MS = 1_200.0
DEADLINE_MS = 3_000.0
MAX_QUEUED_ATTEMPTS = 600  # attempts queued at a server; high enough that the queue never fills
OVERLOAD_ATTEMPTS_PER_CORE = 4  # attempts in flight per core above which a server becomes slow after a while
WARM_UP_MS = 2_000.0  # duration of the start of each run, excluded from goodput
BURST_BEGIN_MS, BURST_END_MS = 8_000.0, 13_000.0
BURST_FACTOR = 1.5
END_MS = 30_000.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """One row of the table.

    Attributes:
        cores: Cores per server.
        instances: Number of balancers that share the tier.
        load: Offered load outside the burst, as a fraction of the servers' capacity.
        heavy_tail: Whether a few requests account for most of the work.
    """

    cores: int
    instances: int
    load: float
    heavy_tail: bool

    def plan(self) -> TierPlan:
        """Returns the tier's plan; its requests carry no hint of their cost."""
        return TierPlan(
            forwarders=self.instances,
            servers=SERVERS,
            cores=self.cores,
            rate_per_s=self.load * SERVERS * self.cores * 1_000.0 / WORK_MS,
            work_ms=WORK_MS,
            objective_ms=OBJECTIVE_MS,
            deadline_ms=DEADLINE_MS,
            ramp_per_s=0.0,
            max_queued=MAX_QUEUED_ATTEMPTS,
            overload_attempts=OVERLOAD_ATTEMPTS_PER_CORE * self.cores,
            tier=0,
            hints=False,
            heavy_tail=self.heavy_tail,
        )


@dataclass(frozen=True, slots=True, order=True)
class FixedLimit:
    """A fixed limit and the goodput it gave; limits are ordered by goodput.

    Attributes:
        goodput: Fraction of the requests served within their latency objective.
        attempts: Limit of attempts in flight per server, summed over all instances.
    """

    goodput: float
    attempts: float


@contextmanager
def fixed_limit(limit: float) -> Iterator[None]:
    """Sets admission control's limit of attempts in flight per server (all instances) within the block."""
    before = admission_control.MAX_ATTEMPTS_PER_SERVER
    admission_control.MAX_ATTEMPTS_PER_SERVER = limit
    try:
        yield
    finally:
        admission_control.MAX_ATTEMPTS_PER_SERVER = before


def goodput(scenario: Scenario, seeds: Sequence[int]) -> float:
    """Returns the fraction of requests served within their latency objective, averaged over the seeds."""
    return mean(_goodput_of_run(scenario, seed) for seed in seeds)


def _goodput_of_run(scenario: Scenario, seed: int) -> float:
    plan = scenario.plan()
    rate_per_s = plan.rate_per_s
    tier = Tier(plan, seed)
    tier.at(BURST_BEGIN_MS, partial(setattr, plan, "rate_per_s", BURST_FACTOR * rate_per_s))
    tier.at(BURST_END_MS, partial(setattr, plan, "rate_per_s", rate_per_s))
    tier.run(END_MS)
    return tier.goodput_share(WARM_UP_MS, END_MS)


def best_fixed_limit(scenario: Scenario, seeds: Sequence[int]) -> FixedLimit:
    """Returns the fixed limit with the highest goodput."""
    results = []
    for attempts in FIXED_LIMITS:
        with fixed_limit(attempts):
            results.append(FixedLimit(goodput(scenario, seeds), attempts))
    return max(results)


def main() -> None:
    """Prints a line per scenario, and the mean and minimum ratio of admission control's to fixed goodput."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--cores", type=int, nargs="+", default=[1, 2, 4, 8])
    parser.add_argument("--instances", type=int, nargs="+", default=[1, 7, 40])
    parser.add_argument("--loads", type=float, nargs="+", default=[0.6, 0.85, 1.2])
    parser.add_argument("--heavy-tail", action="store_true")
    parser.add_argument("--seeds", type=int, default=1)
    args = parser.parse_args()
    seeds = range(1, args.seeds + 1)
    ratios = []
    for cores, instances, load in product(args.cores, args.instances, args.loads):
        scenario = Scenario(cores, instances, load, args.heavy_tail)
        adaptive = goodput(scenario, seeds)
        best = best_fixed_limit(scenario, seeds)
        ratios.append(adaptive / best.goodput)
        print(
            f"{cores} cores, {instances:3} instances, load {load:.2f}: {adaptive:.2f},"
            f" best fixed {best.goodput:.2f} at {best.attempts:g} per server, ratio {ratios[-1]:.2f}",
            flush=True,
        )
    print(f"admission: ratio to the best fixed limit: mean {mean(ratios):.2f}, minimum {min(ratios):.2f}")


if __name__ == "__main__":
    main()
