"""Servers that warm up under the sum of what all instances send, in simulated time.

Over every window of the settings' length the requests sent to one stay within N and what chance explains, N
being the overload multiple x what it can do then x the window.
"""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

import pytest

from sandhatch.balancing.events import ServerEntry
from sandhatch.balancing.policy.slow_start import SlowStart
from sandhatch.balancing.records import Server
from sandhatch.balancing.settings import Effect, RequestClass, Settings
from testkit.simulation.plan import TierPlan
from testkit.simulation.server import SimServer
from testkit.simulation.tier import Tier

PLAN = TierPlan(
    servers=20,
    work_ms=60.0,
    cores=2,
    objective_ms=1_000.0,
    deadline_ms=2_000.0,
    ramp_per_s=0.0,
    initial_capacity_share=0.15,
    warm_up_ms=15_000.0,
    max_attempts=4,
    tier=0,
    queue=600,
    overload_attempts=14,
)
# Servers of one core that take long: few requests are a window's budget, so that each one more counts.
FEW = replace(PLAN, cores=1, work_ms=200.0, objective_ms=2_000.0, deadline_ms=4_000.0)
MULTIPLE, WINDOW_MS = 2.0, 2_000.0  # what `Settings` has by default


def allowed(budget: float) -> float:
    """Return what may come of a budget of requests: past it only what chance explains."""
    return budget + 2.0 * math.sqrt(budget) + 2.0


def fullest(plan: TierPlan, sent_ms: list[float], started_ms: float) -> float:
    """Return the most that came in any window of the warm-up, by what was allowed then."""
    worst, first = 0.0, 0
    per_s = plan.cores * 1_000.0 / plan.work_ms
    times = [at for at in sorted(sent_ms) if at < started_ms + plan.warm_up_ms]
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_MS:
            first += 1
        age = max(0.0, at - WINDOW_MS - started_ms)
        share = plan.initial_capacity_share + (1.0 - plan.initial_capacity_share) * age / plan.warm_up_ms
        budget = MULTIPLE * share * per_s * WINDOW_MS / 1_000.0
        worst = max(worst, (last - first + 1) / allowed(budget))
    return worst


class Run:
    """Servers are restarted at stated times; what each process was sent is kept."""

    def __init__(self, plan: TierPlan, load: float, seed: int) -> None:
        capacity = plan.servers * plan.cores * 1_000.0 / plan.work_ms
        self.plan = replace(plan, rate_per_s=load * capacity)
        self.tier = Tier(self.plan, seed)
        self.lives: list[tuple[list[float], float]] = []

    def restart(self, at_ms: float, *numbers: int) -> None:
        def now() -> None:
            for number in numbers:
                self._keep(self.tier.servers[number])
                self.tier.restart(number)

        self.tier.at(at_ms, now)

    def _keep(self, server: SimServer) -> None:
        if server.started_ms:
            self.lives.append((server.sent_ms, server.started_ms))

    def run(self, until_ms: float) -> None:
        self.tier.run(until_ms)
        for server in self.tier.servers:
            self._keep(server)

    @property
    def fullest(self) -> float:
        return max(fullest(self.plan, sent, started) for sent, started in self.lives)

    @property
    def least_sent(self) -> int:
        return min(len(sent) for sent, _ in self.lives)


@pytest.mark.parametrize("load", [0.6, 1.05])
@pytest.mark.parametrize("demand", ["even", "uneven"])
@pytest.mark.parametrize("instances", [1, 3, 20, 30, 230])
def test_several_servers_that_warm_up_stay_within_their_budget(
    instances: int, demand: str, load: float
) -> None:
    """With uneven demand a third of all requests comes to one instance."""
    shares = {0: 0.5 * instances} if demand == "uneven" and instances > 1 else {}
    run = Run(replace(PLAN, forwarders=instances, demand=shares), load, 1)
    run.restart(5_000.0, *range(5))
    run.run(14_000.0)
    assert run.fullest <= 1.0
    assert run.least_sent > 0  # none is starved


@pytest.mark.parametrize("instances", [3, 20, 230])
def test_a_tier_that_mostly_warms_up_stays_within_its_budget(instances: int) -> None:
    run = Run(replace(PLAN, forwarders=instances), 0.6, 1)
    run.restart(5_000.0, *range(16))
    run.run(14_000.0)
    assert run.fullest <= 1.0
    assert run.least_sent > 0


@pytest.mark.parametrize("instances", [3, 20, 30])
def test_a_server_that_starts_after_a_release_gets_no_saved_credit(instances: int) -> None:
    """Servers of small budgets under overload: with one credit an instance, three of them broke it."""
    for seed in range(3):
        run = Run(replace(FEW, forwarders=instances), 1.05, seed)
        run.restart(5_000.0, *range(12))
        run.restart(24_000.0, 3)
        run.restart(42_000.0, 7)
        run.run(44_000.0)
        assert run.fullest <= 1.0, f"seed {seed}"


@pytest.mark.parametrize("instances", [1, 3, 20, 30, 230])
def test_the_credit_of_all_instances_is_spaced_whatever_they_did_before(instances: int) -> None:
    """What may be sent to a server is its own credit, not what was left of others'.

    Each instance saw a release whose servers it did not draw, and then one more server starts, which each of
    its requests draws.
    """
    settings = Settings(
        [RequestClass(1.0, 1.0, Effect.IDEMPOTENT)],
        initial_capacity_share=0.15,
        warm_up_ms=15_000.0,
        instances=instances,
    )
    rng = Random(instances)
    slow_starts = [SlowStart(settings, rng) for _ in range(instances)]
    requests = 60_000 // instances  # of each instance, in the time before
    for slow_start in slow_starts:
        slow_start.watch([Server.from_entry(ServerEntry(n, started_ms=1.0)) for n in range(12)], 1.0)
        for _ in range(requests):
            slow_start.earn(20, 100.0)
    late = Server.from_entry(ServerEntry(99, started_ms=16_000.0))
    for slow_start in slow_starts:
        slow_start.watch([late], 16_000.0)
    sent, rate_per_s = 0, 600.0  # of 20 servers, each of 33 requests a second
    for _ in range(int(rate_per_s * WINDOW_MS / 1_000.0)):
        slow_start = rng.choice(slow_starts)
        slow_start.earn(20, 16_000.0)
        if slow_start.admits(late, 16_000.0):
            slow_start.spend(late, 16_000.0)
            sent += 1
    budget = MULTIPLE * 0.15 * rate_per_s / 20 * WINDOW_MS / 1_000.0
    assert 0 < sent <= allowed(budget) / 2.0  # half the budget of a server that warms up is planned for
