"""Twenty forwarders as they run, on loopback, with real planners and a fresh node: what reaches it, by all
together, never passes its stated ramp in any window.

The verdict goes by the forwarders' own times of sending, all of one clock's rate, so a machine under load may
slow the run and never changes what is found.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from sandhatch.balancing.actions import Action, Send
from sandhatch.balancing.events import Event
from sandhatch.planning.keys import SharedKey, read_key
from sandhatch.planning.planner import PlannerTerms
from sandhatch.planning.server import PlannerServer
from sandhatch.runtime.clock import Clock
from testkit.discovery import FakeDiscovery
from testkit.load_generator import Load
from testkit.request_log import Books
from testkit.simulation.plan import TierPlan
from testkit.simulation.ramp_check import over_ramp
from tests.service.harness import Farm, Kept, run, serving

FORWARDERS = 20
WARM = ("w1", "w2", "w3")
PLAN = TierPlan(forwarders=FORWARDERS, ramp_per_s=80.0, cold_share=0.1, cold_ms=2_500.0)


class Sent:
    """When each forwarder sent to each server."""

    def __init__(self) -> None:
        self.times: dict[str, list[float]] = {}

    def listen(self, kept: Kept) -> None:
        pool = kept.service.front.current.pools["web"]  # type: ignore[union-attr]
        dispatcher, book = pool.dispatcher, kept.service.pools.book
        handle = dispatcher.balancer.handle

        def heard(now_ms: float, event: Event) -> list[Action]:
            actions = handle(now_ms, event)
            for action in actions:
                if isinstance(action, Send):
                    self.times.setdefault(book.name(action.server), []).append(now_ms)
            return actions

        dispatcher.balancer.handle = heard  # type: ignore[method-assign]


class Site:
    """Servers, discovery, planners, and forwarders that come one after another."""

    def __init__(self, stack: AsyncExitStack, farm: Farm, discovery: FakeDiscovery, key: Path) -> None:
        self.stack, self.farm, self.discovery, self.key = stack, farm, discovery, key
        self.planners: dict[str, PlannerServer] = {}
        self.forwarders: list[Kept] = []
        self.loads: list[Load] = []
        self.books = Books()
        self.sent = Sent()

    async def planner(self, name: str) -> None:
        clock = Clock(asyncio.get_running_loop())
        key = SharedKey(read_key(str(self.key)))
        terms = PlannerTerms(lease_ms=800.0, lend_ms=1_200.0, lost_ms=1_200.0, look_ms=200.0)
        server = PlannerServer(name, ("127.0.0.1", 0), key, clock, lambda line: None, terms)
        await server.start()
        self.planners[name] = server
        self.stack.callback(server.stop)

    async def forwarder(self) -> Kept:
        place = len(self.forwarders)
        pool = {
            "source": {"discovery": f"127.0.0.1:{self.discovery.port}"},
            "copies": FORWARDERS,
            "tier": 1,
            "cold_share": PLAN.cold_share,
            "cold_ms": PLAN.cold_ms,
            "ramp_per_s": PLAN.ramp_per_s,
        }
        planning: dict[str, Any] = {"place": place, "report_ms": 100, "most_lease_ms": 1_500, "hold_ms": 500}
        if self.planners:
            planning["shared_key_file"] = str(self.key)
            planning["planners"] = {
                name: {"address": f"127.0.0.1:{server.port}"} for name, server in self.planners.items()
            }
        orders = self.farm.pool("w1")
        kept = await self.stack.enter_async_context(
            serving(self.farm.config(pool, orders | {"planned": False}, planning=planning, seed=place))
        )
        self.sent.listen(kept)
        self.forwarders.append(kept)
        return kept

    def ask(self, kept: Kept) -> None:
        self.loads.append(Load(kept.port, self.books, lambda rng: ("look", "/x"), 1, 0.02, len(self.loads)))

    @property
    def leased(self) -> int:
        return sum(
            status is not None and status["lends_to"] is not None
            for status in (kept.service.forwarding.status() for kept in self.forwarders)
        )

    async def until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(60.0):
            while not holds():
                await asyncio.sleep(0.01)


@asynccontextmanager
async def site(tmp_path: Path, planners: int, forwarders: int) -> AsyncIterator[Site]:
    key = tmp_path / "key"
    key.write_text("5a" * 32)
    key.chmod(0o600)
    async with AsyncExitStack() as stack:
        farm = await Farm().start(*WARM, "fresh")
        stack.callback(farm.close)
        discovery = await FakeDiscovery([farm.servers[name].entry(name) for name in WARM]).start()
        stack.callback(discovery.stop)
        found = Site(stack, farm, discovery, key)
        for number in range(planners):
            await found.planner(f"p{number}")
        for _ in range(forwarders):
            await found.forwarder()
        if planners:
            await found.until(lambda: found.leased == forwarders)
        yield found


async def fresh_node(found: Site, halfway: Callable[[], Any]) -> int:
    """Load on all forwarders and a node that starts under it; checks its ramp, returns what reached it."""
    for kept in found.forwarders:
        found.ask(kept)
    await asyncio.sleep(0.2)
    started_ms = time.time() * 1000.0
    found.discovery.change(found.farm.servers["fresh"].entry("fresh", startedAtMs=int(started_ms)))
    await asyncio.sleep(PLAN.cold_ms / 2000.0)
    result = halfway()
    if result is not None:
        await result
    await asyncio.sleep(PLAN.cold_ms / 2000.0)
    for load in found.loads:
        await load.stop()
    times = found.sent.times.get("fresh", [])
    # Clocks begin at the system's time and run on by themselves, so that they differ by a little.
    most = over_ramp(PLAN, int(started_ms), times)
    assert most <= FORWARDERS + 0.5, f"{most:.2f} calls beyond the ramp"
    assert len(found.farm.servers["fresh"].seen) <= len(times)
    assert all(len(entry.answers) == 1 for entry in found.books.entries.values())
    return sum(at < started_ms + PLAN.cold_ms for at in times)


def test_twenty_forwarders_on_loopback_with_planners(tmp_path: Path) -> None:
    async def work() -> None:
        async with site(tmp_path, 2, FORWARDERS) as found:
            assert await fresh_node(found, lambda: None) > 0

    run(work())


def test_twenty_forwarders_on_loopback_with_no_planner(tmp_path: Path) -> None:
    async def work() -> None:
        async with site(tmp_path, 0, FORWARDERS) as found:
            assert await fresh_node(found, lambda: None) > 0

    run(work())


def test_twenty_forwarders_on_loopback_with_planners_lost_halfway(tmp_path: Path) -> None:
    async def work() -> None:
        async with site(tmp_path, 2, FORWARDERS) as found:

            def lose() -> None:
                for planner in found.planners.values():
                    planner.stop()

            assert await fresh_node(found, lose) > 0
            await found.until(lambda: found.leased == 0)

    run(work())


@pytest.mark.parametrize("planners", [0, 1])
def test_twenty_forwarders_on_loopback_of_which_ten_join_halfway(tmp_path: Path, planners: int) -> None:
    async def work() -> None:
        async with site(tmp_path, planners, FORWARDERS // 2) as found:

            async def join() -> None:
                for _ in range(FORWARDERS // 2):
                    found.ask(await found.forwarder())

            await fresh_node(found, join)
            assert len(found.forwarders) == FORWARDERS

    run(work())
