"""Twenty complete forwarders on loopback, with real planners, keep to the ramp of a server that starts.

Attempts are checked by the forwarders' own times of sending: a machine under load may slow the run, but does
not change the result.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import pytest

from sandhatch.balancing.actions import Action, Send
from sandhatch.balancing.events import Event
from sandhatch.planning.keys import SharedKey, read_key
from sandhatch.planning.server import PlannerServer
from sandhatch.planning.terms import PlannerTerms
from sandhatch.runtime.clock import Clock
from testkit.discovery import FakeDiscovery
from testkit.load_generator import LoadGenerator, RequestChoice
from testkit.polling import wait_until
from testkit.request_log import RequestLog
from testkit.simulation.plan import TierPlan
from testkit.simulation.ramp_check import attempts_beyond_ramp
from tests.service.harness import FakeServers, RunningService, run, serving

FORWARDERS = 20
WARM = ("w1", "w2", "w3")
LEASES_TIMEOUT_S = 60.0  # for all forwarders to lease their shares, or to take them back
PLAN = TierPlan(forwarders=FORWARDERS, ramp_per_s=80.0, initial_capacity_share=0.1, warm_up_ms=2_500.0)


def choose_request(_rng: Random) -> RequestChoice:
    return RequestChoice("look", "/x")


class SentTimes:
    """When any forwarder sent an attempt to each server."""

    def __init__(self) -> None:
        self.times_ms: dict[str, list[float]] = {}

    def record(self, running: RunningService) -> None:
        pool = running.service.request_handler.current.pools["web"]  # type: ignore[union-attr]
        dispatcher = pool.dispatcher
        server_registry = running.service.pools.server_registry
        handle = dispatcher.balancer.handle

        def recorded(now_ms: float, event: Event) -> list[Action]:
            actions = handle(now_ms, event)
            for action in actions:
                if isinstance(action, Send):
                    self.times_ms.setdefault(server_registry.name(action.server), []).append(now_ms)
            return actions

        dispatcher.balancer.handle = recorded  # type: ignore[method-assign]


class Site:
    """Servers, discovery, planners, and forwarders that are started one after another."""

    def __init__(self, stack: AsyncExitStack, farm: FakeServers, discovery: FakeDiscovery, key: Path) -> None:
        self.stack = stack
        self.farm = farm
        self.discovery = discovery
        self.key = key
        self.planners: dict[str, PlannerServer] = {}
        self.forwarders: list[RunningService] = []
        self.loads: list[LoadGenerator] = []
        self.request_log = RequestLog()
        self.log_lines: list[str] = []  # of all planners
        self.sent = SentTimes()

    async def planner(self, name: str) -> None:
        clock = Clock(asyncio.get_running_loop())
        key = SharedKey(read_key(str(self.key)))
        terms = PlannerTerms(
            lease_ms=800.0, share_lease_ms=1_200.0, member_timeout_ms=1_200.0, weights_interval_ms=200.0
        )
        server = PlannerServer(name, ("127.0.0.1", 0), key, clock, self.log_lines.append, terms)
        await server.start()
        self.planners[name] = server
        self.stack.callback(server.stop)

    async def forwarder(self) -> RunningService:
        instance_index = len(self.forwarders)
        pool = {
            "source": {"discovery": f"127.0.0.1:{self.discovery.port}"},
            "copies": FORWARDERS,
            "tier": 1,
            "cold_share": PLAN.initial_capacity_share,
            "cold_ms": PLAN.warm_up_ms,
            "ramp_per_s": PLAN.ramp_per_s,
        }
        planning: dict[str, Any] = {
            "place": instance_index,
            "report_ms": 100,
            "most_lease_ms": 1_500,
            "hold_ms": 500,
        }
        if self.planners:
            planning["shared_key_file"] = str(self.key)
            planning["planners"] = {
                name: {"address": f"127.0.0.1:{server.port}"} for name, server in self.planners.items()
            }
        orders = self.farm.pool("w1")
        running = await self.stack.enter_async_context(
            serving(
                self.farm.config(pool, orders | {"planned": False}, planning=planning, seed=instance_index)
            )
        )
        self.sent.record(running)
        self.forwarders.append(running)
        return running

    def start_load(self, running: RunningService) -> None:
        self.loads.append(
            LoadGenerator(running.port, self.request_log, choose_request, 1, 0.02, len(self.loads))
        )

    @property
    def lessor_count(self) -> int:
        return sum(
            status is not None and status["lends_to"] is not None
            for status in (running.service.forwarding.status() for running in self.forwarders)
        )


@asynccontextmanager
async def running_site(tmp_path: Path, planners: int, forwarders: int) -> AsyncIterator[Site]:
    key = tmp_path / "key"
    key.write_text("5a" * 32)
    key.chmod(0o600)
    async with AsyncExitStack() as stack:
        farm = await FakeServers().start(*WARM, "fresh")
        stack.callback(farm.close)
        discovery = await FakeDiscovery([farm.servers[name].entry(name) for name in WARM]).start()
        stack.callback(discovery.stop)
        site = Site(stack, farm, discovery, key)
        for number in range(planners):
            await site.planner(f"p{number}")
        for _ in range(forwarders):
            await site.forwarder()
        if planners:
            await wait_until(lambda: site.lessor_count == forwarders, LEASES_TIMEOUT_S)
        yield site


async def start_server(site: Site, halfway: Callable[[], Any]) -> int:
    """Start a server under load and check its ramp; returns the attempts sent during its warm-up."""
    for running in site.forwarders:
        site.start_load(running)
    await asyncio.sleep(0.2)
    started_ms = time.time() * 1000.0
    site.discovery.change(site.farm.servers["fresh"].entry("fresh", startedAtMs=int(started_ms)))
    await asyncio.sleep(PLAN.warm_up_ms / 2000.0)
    result = halfway()
    if result is not None:
        await result
    await asyncio.sleep(PLAN.warm_up_ms / 2000.0)
    for load in site.loads:
        await load.stop()
    times = site.sent.times_ms.get("fresh", [])
    # Clocks start at the system's time and run on independently, so they differ by a little.
    excess = attempts_beyond_ramp(PLAN, int(started_ms), times)
    assert excess <= FORWARDERS + 0.5, f"{excess:.2f} attempts beyond the ramp"
    assert len(site.farm.servers["fresh"].requests) <= len(times)
    assert all(len(entry.responses) == 1 for entry in site.request_log.entries.values())
    return sum(at < started_ms + PLAN.warm_up_ms for at in times)


def test_twenty_forwarders_keep_to_the_ramp_with_planners(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_site(tmp_path, 2, FORWARDERS) as site:
            assert await start_server(site, lambda: None) > 0

    run(work())


def test_twenty_forwarders_keep_to_the_ramp_without_planners(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_site(tmp_path, 0, FORWARDERS) as site:
            assert await start_server(site, lambda: None) > 0

    run(work())


def test_twenty_forwarders_keep_to_the_ramp_when_all_planners_are_lost(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_site(tmp_path, 2, FORWARDERS) as site:

            def stop_planners() -> None:
                for planner in site.planners.values():
                    planner.stop()

            assert await start_server(site, stop_planners) > 0
            await wait_until(lambda: site.lessor_count == 0, LEASES_TIMEOUT_S)

    run(work())


@pytest.mark.parametrize("planners", [0, 1])
def test_twenty_forwarders_keep_to_the_ramp_when_ten_of_them_join_during_it(
    tmp_path: Path, planners: int
) -> None:
    async def work() -> None:
        async with running_site(tmp_path, planners, FORWARDERS // 2) as site:

            async def join() -> None:
                for _ in range(FORWARDERS // 2):
                    site.start_load(await site.forwarder())

            await start_server(site, join)
            assert len(site.forwarders) == FORWARDERS

    run(work())
