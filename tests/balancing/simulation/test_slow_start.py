"""Servers that are warming up under the sum of the sends of all instances, in simulated time.

In every window of the length in the settings, the requests sent to one server stay within N plus random
variation, where N is the overload multiple x the server's capacity at that time x the window.
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
    max_queued=600,
    overload_attempts=14,
)
# Slow servers of one core: the budget of a window is a few requests, so that each further one matters.
SLOW_SINGLE_CORE = replace(PLAN, cores=1, work_ms=200.0, objective_ms=2_000.0, deadline_ms=4_000.0)
MULTIPLE, WINDOW_MS = 2.0, 2_000.0  # defaults of the overload multiple and window in `Settings`


def max_sends(budget: float) -> float:
    """Return the maximum number of sends for a budget, with a margin for random variation."""
    return budget + 2.0 * math.sqrt(budget) + 2.0


def peak_budget_use(plan: TierPlan, sent_ms: list[float], started_ms: float) -> float:
    """Return the largest ratio of sends to `max_sends` of the budget in any window of the warm-up."""
    worst, first = 0.0, 0
    capacity_per_s = plan.cores * 1_000.0 / plan.work_ms
    times = [at for at in sorted(sent_ms) if at < started_ms + plan.warm_up_ms]
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_MS:
            first += 1
        age_ms = max(0.0, at - WINDOW_MS - started_ms)
        capacity_share = (
            plan.initial_capacity_share + (1.0 - plan.initial_capacity_share) * age_ms / plan.warm_up_ms
        )
        budget = MULTIPLE * capacity_share * capacity_per_s * WINDOW_MS / 1_000.0
        worst = max(worst, (last - first + 1) / max_sends(budget))
    return worst


class RestartRun:
    """A simulated tier with restarts of servers, which retains the sends to each server process."""

    def __init__(self, plan: TierPlan, load: float, seed: int) -> None:
        capacity = plan.servers * plan.cores * 1_000.0 / plan.work_ms
        self.plan = replace(plan, rate_per_s=load * capacity)
        self.tier = Tier(self.plan, seed)
        self.processes: list[tuple[list[float], float]] = []

    def restart(self, at_ms: float, *numbers: int) -> None:
        def restart_now() -> None:
            for number in numbers:
                self._record_process(self.tier.servers[number])
                self.tier.restart(number)

        self.tier.at(at_ms, restart_now)

    def _record_process(self, server: SimServer) -> None:
        if server.started_ms:
            self.processes.append((server.sent_ms, server.started_ms))

    def run(self, until_ms: float) -> None:
        self.tier.run(until_ms)
        for server in self.tier.servers:
            self._record_process(server)

    @property
    def peak_budget_use(self) -> float:
        return max(peak_budget_use(self.plan, sent, started) for sent, started in self.processes)

    @property
    def min_sent(self) -> int:
        return min(len(sent) for sent, _ in self.processes)


@pytest.mark.parametrize("load", [0.6, 1.05])
@pytest.mark.parametrize("demand", ["even", "uneven"])
@pytest.mark.parametrize("instances", [1, 3, 20, 30, 230])
def test_sends_to_several_warming_servers_stay_within_their_budget(
    instances: int, demand: str, load: float
) -> None:
    """Under uneven demand, one of several instances receives at least a third of all requests."""
    shares = {0: 0.5 * instances} if demand == "uneven" and instances > 1 else {}
    run = RestartRun(replace(PLAN, forwarders=instances, demand=shares), load, 1)
    run.restart(5_000.0, *range(5))
    run.run(14_000.0)
    assert run.peak_budget_use <= 1.0
    assert run.min_sent > 0  # each restarted server gets some requests while it warms up


@pytest.mark.parametrize("instances", [3, 20, 230])
def test_sends_to_a_mostly_warming_tier_stay_within_their_budget(instances: int) -> None:
    run = RestartRun(replace(PLAN, forwarders=instances), 0.6, 1)
    run.restart(5_000.0, *range(16))
    run.run(14_000.0)
    assert run.peak_budget_use <= 1.0
    assert run.min_sent > 0


@pytest.mark.parametrize("instances", [3, 20, 30])
def test_server_that_starts_after_a_release_gets_no_saved_credit(instances: int) -> None:
    """Guards against send credit saved by each instance, which made three servers exceed small budgets."""
    for seed in range(3):
        run = RestartRun(replace(SLOW_SINGLE_CORE, forwarders=instances), 1.05, seed)
        run.restart(5_000.0, *range(12))
        run.restart(24_000.0, 3)
        run.restart(42_000.0, 7)
        run.run(44_000.0)
        assert run.peak_budget_use <= 1.0, f"seed {seed}"


@pytest.mark.parametrize("instances", [1, 3, 20, 30, 230])
def test_sends_of_all_instances_are_spaced_whatever_their_earlier_credit(instances: int) -> None:
    """Sends to a server are limited by its own credit, not by unused credit of other servers.

    Each instance sees a release whose servers it does not draw. Then one more server starts, which every
    request draws.
    """
    settings = Settings(
        [RequestClass(1.0, 1.0, Effect.IDEMPOTENT)],
        initial_capacity_share=0.15,
        warm_up_ms=15_000.0,
        instances=instances,
    )
    rng = Random(instances)
    slow_starts = [SlowStart(settings, rng) for _ in range(instances)]
    requests = 60_000 // instances  # requests per instance before the late server starts
    for slow_start in slow_starts:
        slow_start.add_servers([Server.from_entry(ServerEntry(n, started_ms=1.0)) for n in range(12)], 1.0)
        for _ in range(requests):
            slow_start.earn_credit(20, 100.0)
    late = Server.from_entry(ServerEntry(99, started_ms=16_000.0))
    for slow_start in slow_starts:
        slow_start.add_servers([late], 16_000.0)
    sent, rate_per_s = 0, 600.0  # a tier of 20 servers with a capacity of 33 requests per second each
    for _ in range(int(rate_per_s * WINDOW_MS / 1_000.0)):
        slow_start = rng.choice(slow_starts)
        slow_start.earn_credit(20, 16_000.0)
        if slow_start.admits(late, 16_000.0):
            slow_start.spend_credit(late, 16_000.0)
            sent += 1
    budget = MULTIPLE * 0.15 * rate_per_s / 20 * WINDOW_MS / 1_000.0
    assert 0 < sent <= max_sends(budget) / 2.0  # sends are planned for half the budget
