"""Links on loopback connections: dispatchers that record guidance, and scripted or real planners."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Any

from sandhatch.balancing import Balancer
from sandhatch.balancing.actions import GuidanceRejected
from sandhatch.balancing.events import Guidance, ListKind, ListUpdate, OwnSharesLeased, ServerEntry
from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.planning.keys import SharedKeyIdentity
from sandhatch.planning.link import BalancerObserver, ForwarderLink
from sandhatch.planning.server import PlannerServer
from sandhatch.planning.terms import ForwarderTerms, PlannerTerms
from sandhatch.runtime.clock import Clock
from testkit.planners import Script, ScriptedPlanner

KEY = SharedKeyIdentity(b"k" * 32)
ADDRESSES = [f"10.0.0.{n}:80" for n in range(1, 5)]
CLASS = RequestClass(objective_ms=100.0, deadline_ms=1000.0, effect=Effect.IDEMPOTENT, name="view")
SETTINGS = Settings(classes=[CLASS], instances=4, ramp_per_s=100.0, tier=1, max_attempts=2)
TERMS = ForwarderTerms(report_ms=50.0, max_lease_ms=10_000.0, hold_ms=100.0)


class FakeDispatcher:
    """Contains a real balancer with four servers, and sends no attempts."""

    def __init__(self, clock: Clock, settings: Settings = SETTINGS) -> None:
        self.clock = clock
        self.settings = settings
        self.balancer = Balancer(settings, 1)
        self.events: list[Guidance | OwnSharesLeased] = []
        self.rejected: list[GuidanceRejected] = []
        self.observer: BalancerObserver | None = None
        self._on_rejected: Callable[[GuidanceRejected], None] = self.rejected.append
        self.update = ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in range(4)])
        self.balancer.handle(clock.now_ms(), self.update)

    def on_guidance_rejected(self, callback: Callable[[GuidanceRejected], None]) -> None:
        self._on_rejected = callback

    def apply_guidance(self, event: Guidance | OwnSharesLeased) -> None:
        self.events.append(event)
        for action in self.balancer.handle(self.clock.now_ms(), event):
            assert isinstance(action, GuidanceRejected)
            self.rejected.append(action)
            self._on_rejected(action)

    def observe(self, observer: BalancerObserver) -> None:
        self.observer = observer
        observer.on_endpoint_list(self.update, ADDRESSES)

    @property
    def received_guidance(self) -> list[Guidance]:
        return [event for event in self.events if isinstance(event, Guidance)]


class ConnectedForwarder:
    """A forwarder: its link, the dispatcher of its only pool and its log lines."""

    def __init__(self, link: ForwarderLink, dispatcher: FakeDispatcher, log_lines: list[str]) -> None:
        self.link = link
        self.dispatcher = dispatcher
        self.log_lines = log_lines

    def planner_status(self, planner: str) -> dict[str, Any]:
        rows: Sequence[dict[str, Any]] = self.link.status()["planners"]
        return next(row for row in rows if row["planner"] == planner)

    @property
    def has_lease_guidance(self) -> bool:
        """Whether guidance of a planner that holds the lease was received."""
        return any(guidance.leased for guidance in self.dispatcher.received_guidance)

    def has_logged(self, text: str) -> bool:
        return any(text in line for line in self.log_lines)


@asynccontextmanager
async def connected_forwarder(
    ports: dict[str, int], terms: ForwarderTerms = TERMS, previous_lease_ms: float = 0.0
) -> AsyncIterator[ConnectedForwarder]:
    """A forwarder that connects to planners at these ports, by planner name."""
    clock = Clock(asyncio.get_running_loop())
    log_lines: list[str] = []
    addresses = {name: ("127.0.0.1", port) for name, port in ports.items()}
    link = ForwarderLink("f0", addresses, KEY, clock, log_lines.append, terms, 1, previous_lease_ms)
    dispatcher = FakeDispatcher(clock)
    link.attach("core", dispatcher, SETTINGS)
    link.start()
    try:
        yield ConnectedForwarder(link, dispatcher, log_lines)
    finally:
        link.stop()


@asynccontextmanager
async def scripted_planner(
    script: Script, name: str = "p0", epoch: int = 1
) -> AsyncIterator[ScriptedPlanner]:
    planner = await ScriptedPlanner(name, KEY, script, epoch).start()
    try:
        yield planner
    finally:
        planner.close()


@asynccontextmanager
async def planner_server(
    name: str = "p0", terms: PlannerTerms | None = None, **options: Any
) -> AsyncIterator[PlannerServer]:
    """A real planner that started 60 s ago, and so no longer waits for an earlier process's grants to end."""
    clock = Clock(asyncio.get_running_loop())
    log_lines: list[str] = []
    server = PlannerServer(name, ("127.0.0.1", 0), KEY, clock, log_lines.append, terms, **options)
    server.planner.started_ms -= 60_000.0
    await server.start()
    try:
        yield server
    finally:
        server.stop()
