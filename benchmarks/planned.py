"""Planned against alone, on the same arrivals, in simulated time: worth in time by load, number of forwarders
and what is wrong with the tier; then by the advice's age and loss. And what planners' failures cost.

    python -m benchmarks.planned [--part service|age|failures] [--seeds N] [--jobs N]

One line a case on standard error as it ends, a table at the end. Nothing reads a clock: the same seeds give
the same figures.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from multiprocessing import Pool
from statistics import mean

from sandhatch.planning.terms import PlannerTerms
from testkit.tier import Tier, TierPlan, over_ramp

CORES, SERVERS = 2, 20
BEGIN, END = 12_000.0, 36_000.0


@dataclass(frozen=True)
class Case:
    """`load` by what the whole tier can do when it is well; calls of `work_ms`."""

    what: str
    load: float
    forwarders: int
    planners: int
    seed: int
    work_ms: float = 100.0
    link_ms: float = 1.0
    loss: float = 0.0
    fault: str = ""


def tier_of(case: Case) -> Tier:
    rate = case.load * SERVERS * CORES / case.work_ms * 1000.0
    each = CORES / case.work_ms * 1000.0
    plan = TierPlan(
        forwarders=case.forwarders,
        servers=SERVERS,
        planners=case.planners,
        rate_per_s=rate,
        work_ms=case.work_ms,
        cores=CORES,
        aim_ms=7.5 * case.work_ms,
        deadline_ms=50.0 * case.work_ms,
        ramp_per_s=0.9 * each,
        cold_ms=15_000.0,
        tier=0,
        link_ms=case.link_ms,
        link_loss=case.loss,
        demand=dict.fromkeys(range(max(1, case.forwarders // 10)), 8.0) if case.what == "uneven" else {},
    )
    if case.link_ms > 300.0:  # a lease must outlast the way there and back
        plan = replace(plan, planner_terms=PlannerTerms(lease_ms=6_000.0, lend_ms=9_000.0, lost_ms=9_000.0))
    return Tier(plan, case.seed)


def kill_all(tier: Tier) -> None:
    for name in tier.planners:
        tier.kill_planner(name)


def play(case: Case) -> tuple[Case, float, float]:
    """Worth in time, and the most of its ramp's burst that a fresh node got beyond the rate."""
    tier = tier_of(case)
    fresh: list[int] = []
    if case.what == "cold starts":
        fresh = [0, 1]
        for number in fresh:
            tier.at(BEGIN + 3_000.0 * number, lambda n=number: tier.restart(n))  # type: ignore[misc]
    if case.what == "a third slow":
        for server in tier.servers[: SERVERS // 3]:
            tier.at(BEGIN - 4_000.0, lambda s=server: setattr(s, "slow", 1.4))  # type: ignore[misc]
    if case.fault == "killed":
        tier.at(BEGIN, lambda: kill_all(tier))
    end = BEGIN + 60_000.0 if case.fault else END
    tier.run(end + 50.0 * case.work_ms)
    over = [
        over_ramp(tier.plan, s.started_ms, s.sent_ms) / case.forwarders for s in tier.servers[: len(fresh)]
    ]
    return case, tier.yielded(BEGIN, end), max(over, default=0.0)


def cases_service(seeds: int) -> list[Case]:
    return [
        Case(what, load, forwarders, planners, seed, work)
        for what in ("even", "uneven", "cold starts", "a third slow")
        for work in (20.0, 200.0)
        for forwarders in (5, 20)
        for load in (0.6, 0.85, 0.95)
        for planners in (0, 2)
        for seed in range(1, seeds + 1)
    ]


def cases_age(seeds: int) -> list[Case]:
    variants = [(1.0, 0.0), (100.0, 0.0), (250.0, 0.0), (1_000.0, 0.0)]
    variants += [(1.0, loss) for loss in (0.02, 0.1, 0.25, 0.5)]
    return [
        Case("uneven", 0.9, forwarders, planners, seed, 100.0, link, loss)
        for forwarders in (5, 20, 50)
        for link, loss in variants
        for planners in (0, 2)
        for seed in range(1, seeds + 1)
    ]


def cases_failures(seeds: int) -> list[Case]:
    return [
        Case("uneven", 0.95, 20, planners, seed, 100.0, fault=fault)
        for planners, fault in ((0, "killed"), (2, "killed"), (2, "kept"))
        for seed in range(1, seeds + 1)
    ]


PARTS: dict[str, Callable[[int], list[Case]]] = {
    "service": cases_service,
    "age": cases_age,
    "failures": cases_failures,
}


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--part", choices=PARTS, default="service")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    cases = PARTS[args.part](args.seeds)
    found: dict[Case, list[tuple[float, float]]] = {}
    with Pool(args.jobs) as pool:
        for done, (case, worth, over) in enumerate(pool.imap(play, cases), 1):
            found.setdefault(replace(case, seed=0), []).append((worth, over))
            print(f"{done}/{len(cases)}", end="\r", file=sys.stderr, flush=True)
    for case, rows in found.items():
        worths = [worth for worth, _ in rows]
        ramp = f", at most {max(over for _, over in rows):.2f} of the ramp's burst" if rows[0][1] else ""
        print(
            f"{case.what}, calls of {case.work_ms:g} ms, load {case.load:g}, {case.forwarders} forwarders,"
            f" {case.planners} planners, link {case.link_ms:g} ms, loss {case.loss:g}{' ' + case.fault}:"
            f" {mean(worths):.4f} ({min(worths):.4f} to {max(worths):.4f}){ramp}"
        )


if __name__ == "__main__":
    main()
