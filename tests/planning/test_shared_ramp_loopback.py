"""Twenty complete forwarders and real planners on loopback do not exceed the ramp of a starting server.

Attempts are checked by the forwarders' own send times, so that a machine under load may slow the run without
changing the result.
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
from sandhatch.planning.keys import SharedKeyIdentity, read_key
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
WARM_SERVERS = ("w1", "w2", "w3")
LEASES_TIMEOUT_S = 60.0  # time limit for all forwarders to lease their shares or to end their leases
PLAN = TierPlan(forwarders=FORWARDERS, ramp_per_s=80.0, initial_capacity_share=0.1, warm_up_ms=2_500.0)


def choose_request(_rng: Random) -> RequestChoice:
    return RequestChoice("look", "/x")


class SentTimes:
    """Times at which any forwarder sent an attempt, by server."""

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


class Deployment:
    """Servers, a discovery service, planners, and forwarders that are started one after another."""

    def __init__(
        self, stack: AsyncExitStack, fake_servers: FakeServers, discovery: FakeDiscovery, key: Path
    ) -> None:
        self.stack = stack
        self.fake_servers = fake_servers
        self.discovery = discovery
        self.key = key
        self.planners: dict[str, PlannerServer] = {}
        self.forwarders: list[RunningService] = []
        self.loads: list[LoadGenerator] = []
        self.request_log = RequestLog()
        self.log_lines: list[str] = []  # log lines of all planners
        self.sent = SentTimes()

    async def planner(self, name: str) -> None:
        clock = Clock(asyncio.get_running_loop())
        key = SharedKeyIdentity(read_key(str(self.key)))
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
        orders_pool = self.fake_servers.pool("w1")
        running = await self.stack.enter_async_context(
            serving(
                self.fake_servers.config(
                    pool, orders_pool | {"planned": False}, planning=planning, seed=instance_index
                )
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
async def running_deployment(tmp_path: Path, planners: int, forwarders: int) -> AsyncIterator[Deployment]:
    key = tmp_path / "key"
    key.write_text("5a" * 32)
    key.chmod(0o600)
    async with AsyncExitStack() as stack:
        fake_servers = await FakeServers().start(*WARM_SERVERS, "fresh")
        stack.callback(fake_servers.close)
        discovery = await FakeDiscovery(
            [fake_servers.servers[name].entry(name) for name in WARM_SERVERS]
        ).start()
        stack.callback(discovery.stop)
        deployment = Deployment(stack, fake_servers, discovery, key)
        for number in range(planners):
            await deployment.planner(f"p{number}")
        for _ in range(forwarders):
            await deployment.forwarder()
        if planners:
            await wait_until(lambda: deployment.lessor_count == forwarders, LEASES_TIMEOUT_S)
        yield deployment


async def start_server(deployment: Deployment, at_midpoint: Callable[[], Any]) -> int:
    """Start a server under load and check its ramp; returns the number of attempts sent during warm-up."""
    for running in deployment.forwarders:
        deployment.start_load(running)
    await asyncio.sleep(0.2)
    started_ms = time.time() * 1000.0
    deployment.discovery.change(
        deployment.fake_servers.servers["fresh"].entry("fresh", startedAtMs=int(started_ms))
    )
    await asyncio.sleep(PLAN.warm_up_ms / 2000.0)
    result = at_midpoint()
    if result is not None:
        await result
    await asyncio.sleep(PLAN.warm_up_ms / 2000.0)
    for load in deployment.loads:
        await load.stop()
    times = deployment.sent.times_ms.get("fresh", [])
    # Each clock starts at the system time and then runs independently, so the clocks differ slightly.
    excess = attempts_beyond_ramp(PLAN, int(started_ms), times)
    assert excess <= FORWARDERS + 0.5, f"{excess:.2f} attempts beyond the ramp"
    assert len(deployment.fake_servers.servers["fresh"].requests) <= len(times)
    assert all(len(entry.responses) == 1 for entry in deployment.request_log.entries.values())
    return sum(at < started_ms + PLAN.warm_up_ms for at in times)


def test_twenty_forwarders_do_not_exceed_the_ramp_with_planners(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_deployment(tmp_path, 2, FORWARDERS) as deployment:
            assert await start_server(deployment, lambda: None) > 0

    run(scenario())


def test_twenty_forwarders_do_not_exceed_the_ramp_without_planners(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_deployment(tmp_path, 0, FORWARDERS) as deployment:
            assert await start_server(deployment, lambda: None) > 0

    run(scenario())


def test_twenty_forwarders_do_not_exceed_the_ramp_when_all_planners_are_lost(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_deployment(tmp_path, 2, FORWARDERS) as deployment:

            def stop_planners() -> None:
                for planner in deployment.planners.values():
                    planner.stop()

            assert await start_server(deployment, stop_planners) > 0
            await wait_until(lambda: deployment.lessor_count == 0, LEASES_TIMEOUT_S)

    run(scenario())


@pytest.mark.parametrize("planners", [0, 1])
def test_twenty_forwarders_do_not_exceed_the_ramp_when_ten_join_during_warm_up(
    tmp_path: Path, planners: int
) -> None:
    async def scenario() -> None:
        async with running_deployment(tmp_path, planners, FORWARDERS // 2) as deployment:

            async def join() -> None:
                for _ in range(FORWARDERS // 2):
                    deployment.start_load(await deployment.forwarder())

            await start_server(deployment, join)
            assert len(deployment.forwarders) == FORWARDERS

    run(scenario())
