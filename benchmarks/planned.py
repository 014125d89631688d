"""Goodput of tiers with and without planners, on the same arrivals in simulated time.

    python -m benchmarks.planned [--part service|age|failures] [--seeds N] [--jobs N]

Reports the fraction of requests served within the latency objective: by load, number of forwarders and fault
of the tier (service); by message delay and loss on the link to the planners (age); and with failing planners
(failures). Progress is printed on standard error, a table at the end. No clock is read, so the same seeds
give the same figures.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from multiprocessing import Pool
from statistics import mean

from sandhatch.planning.terms import PlannerTerms
from testkit.simulation.plan import TierPlan
from testkit.simulation.ramp_check import attempts_beyond_ramp
from testkit.simulation.tier import Tier

CORES = 2
SERVERS = 20
BEGIN_MS = 12_000.0
END_MS = 36_000.0
FAILURE_END_MS = BEGIN_MS + 60_000.0

EVEN = "even"
UNEVEN = "uneven"  # a tenth of the forwarders have eight times the demand of the others
WARM_UPS = "cold starts"  # two servers restart and warm up
THIRD_SLOW = "a third slow"  # a third of the servers are slower by the factor SLOWDOWN
SLOWDOWN = 1.4
KILLED = "killed"  # all planners are killed at BEGIN_MS
NOT_KILLED = "not killed"

# On links slower than SLOW_LINK_MS, leases are longer, so that they outlast a round trip.
SLOW_LINK_MS = 300.0
SLOW_LINK_TERMS = PlannerTerms(lease_ms=6_000.0, share_lease_ms=9_000.0, member_timeout_ms=9_000.0)


@dataclass(frozen=True)
class Case:
    """Parameters of one run; `load` is a fraction of the capacity of the tier without a fault."""

    scenario: str
    load: float
    forwarders: int
    planners: int
    seed: int
    work_ms: float = 100.0
    link_ms: float = 1.0
    loss: float = 0.0
    fault: str = ""  # fault of the planners: KILLED or NOT_KILLED, or empty: the run ends at END_MS


@dataclass(frozen=True)
class Result:
    """Result of a run."""

    case: Case
    goodput_share: float
    # Maximum over restarted servers of the attempts beyond the rate of the slow-start ramp, as a multiple of
    # the ramp's burst.
    ramp_excess: float


def make_tier(case: Case) -> Tier:
    """Creates a tier without a fault."""
    server_capacity_per_s = CORES / case.work_ms * 1000.0
    plan = TierPlan(
        forwarders=case.forwarders,
        servers=SERVERS,
        planners=case.planners,
        rate_per_s=case.load * SERVERS * CORES / case.work_ms * 1000.0,
        work_ms=case.work_ms,
        cores=CORES,
        objective_ms=7.5 * case.work_ms,
        deadline_ms=50.0 * case.work_ms,
        ramp_per_s=0.9 * server_capacity_per_s,
        warm_up_ms=15_000.0,
        tier=0,
        link_ms=case.link_ms,
        link_loss=case.loss,
        demand=dict.fromkeys(range(max(1, case.forwarders // 10)), 8.0) if case.scenario == UNEVEN else {},
    )
    if case.link_ms > SLOW_LINK_MS:
        plan = replace(plan, planner_terms=SLOW_LINK_TERMS)
    return Tier(plan, case.seed)


def kill_all_planners(tier: Tier) -> None:
    """Kills all planners of a simulated tier."""
    for name in tier.planners:
        tier.kill_planner(name)


def run_case(case: Case) -> Result:
    """Runs a case and returns its result."""
    tier = make_tier(case)
    restarted = [0, 1] if case.scenario == WARM_UPS else []
    for number in restarted:
        tier.at(BEGIN_MS + 3_000.0 * number, partial(tier.restart, number))
    if case.scenario == THIRD_SLOW:
        for server in tier.servers[: SERVERS // 3]:
            tier.at(BEGIN_MS - 4_000.0, partial(setattr, server, "slowdown", SLOWDOWN))
    if case.fault == KILLED:
        tier.at(BEGIN_MS, partial(kill_all_planners, tier))
    end_ms = FAILURE_END_MS if case.fault else END_MS
    tier.run(end_ms + 50.0 * case.work_ms)
    excess = [
        attempts_beyond_ramp(tier.plan, server.started_ms, server.sent_ms) / case.forwarders
        for server in tier.servers[: len(restarted)]
    ]
    return Result(case, tier.goodput_share(BEGIN_MS, end_ms), max(excess, default=0.0))


def service_cases(seeds: int) -> list[Case]:
    """Returns the cases by load, number of forwarders and fault of the tier."""
    return [
        Case(scenario, load, forwarders, planners, seed, work_ms)
        for scenario in (EVEN, UNEVEN, WARM_UPS, THIRD_SLOW)
        for work_ms in (20.0, 200.0)
        for forwarders in (5, 20)
        for load in (0.6, 0.85, 0.95)
        for planners in (0, 2)
        for seed in range(1, seeds + 1)
    ]


def age_cases(seeds: int) -> list[Case]:
    """Returns the cases by message delay and loss on the link to the planners."""
    delays_and_losses = [(1.0, 0.0), (100.0, 0.0), (250.0, 0.0), (1_000.0, 0.0)]
    delays_and_losses += [(1.0, loss) for loss in (0.02, 0.1, 0.25, 0.5)]
    return [
        Case(UNEVEN, 0.9, forwarders, planners, seed, 100.0, link_ms, loss)
        for forwarders in (5, 20, 50)
        for link_ms, loss in delays_and_losses
        for planners in (0, 2)
        for seed in range(1, seeds + 1)
    ]


def failure_cases(seeds: int) -> list[Case]:
    """Returns the cases without planners, with planners that are killed, and with planners that are not."""
    return [
        Case(UNEVEN, 0.95, 20, planners, seed, 100.0, fault=fault)
        for planners, fault in ((0, KILLED), (2, KILLED), (2, NOT_KILLED))
        for seed in range(1, seeds + 1)
    ]


PARTS: dict[str, Callable[[int], list[Case]]] = {
    "service": service_cases,
    "age": age_cases,
    "failures": failure_cases,
}


def run_cases(cases: list[Case], jobs: int) -> dict[Case, list[Result]]:
    """Returns the results by case; the results of all seeds are grouped under the case with seed 0."""
    results: dict[Case, list[Result]] = {}
    with Pool(jobs) as pool:
        for done, result in enumerate(pool.imap(run_case, cases), 1):
            results.setdefault(replace(result.case, seed=0), []).append(result)
            print(f"{done}/{len(cases)}", end="\r", file=sys.stderr, flush=True)
    return results


def format_results(case: Case, results: list[Result]) -> str:
    """Formats a case's line of the table."""
    shares = [result.goodput_share for result in results]
    ramp = ""
    if results[0].ramp_excess:
        ramp = f", at most {max(result.ramp_excess for result in results):.2f} ramp bursts in excess"
    return (
        f"{case.scenario}, requests of {case.work_ms:g} ms, load {case.load:g}, {case.forwarders} forwarders,"
        f" {case.planners} planners, link {case.link_ms:g} ms, loss {case.loss:g}{' ' + case.fault}:"
        f" {mean(shares):.4f} ({min(shares):.4f} to {max(shares):.4f}){ramp}"
    )


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--part", choices=PARTS, default="service")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    for case, results in run_cases(PARTS[args.part](args.seeds), args.jobs).items():
        print(format_results(case, results))


if __name__ == "__main__":
    main()
