"""The balancer's real parts between fakes of the rest, and a script in place of its decisions.

Ports are the system's choice, and everything waits for events.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from random import Random
from string import ascii_lowercase
from typing import Any, TypeVar

from sandhatch.balancing.actions import Action, Fail, Send
from sandhatch.balancing.endpoint_freshness import COOKIES, Freshness
from sandhatch.balancing.events import AttemptEnded, Event, ListUpdate, RequestArrived, TimerFired
from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.config.platform import decode
from sandhatch.discovery.client import Discovery
from sandhatch.dispatch.dispatcher import Dispatcher
from sandhatch.dispatch.protocols import Decisions
from sandhatch.downstream.listener import Listener
from sandhatch.platform.program import PlatformProgram
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.upstream.connection_pool import ConnectionPool
from testkit.clients import HttpClient
from testkit.discovery import FakeDiscovery
from testkit.platform import SETTINGS, config_data
from testkit.servers import Behaviour, FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, Response

SomeEvent = TypeVar("SomeEvent", bound=Event)
SERVER_NAMES = ascii_lowercase


class ScriptedBalancer:
    """Decisions by script: each request's attempts go to the given servers in turn, then it fails.

    It keeps every event, so that a test sees just what the balancer would be notified of. It follows pushed
    endpoint lists as the balancer does, unless the test makes each poll itself. A test that sets `more`
    decides on an event before the script does; None from it leaves the event to the script.
    """

    def __init__(self, servers: list[int], timeout_ms: float = 0.0, follows: bool = True) -> None:
        settings = Settings([RequestClass(1.0, 1.0, Effect.IDEMPOTENT)], one_shot_watches=follows)
        self.freshness = Freshness(settings, Random(1))
        self.servers = servers
        self.timeout_ms = timeout_ms
        self.events: list[Event] = []
        self.notifications: asyncio.Queue[Event] = asyncio.Queue()
        self.more: Callable[[Event], list[Action] | None] = lambda _event: None

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        self.events.append(event)
        self.notifications.put_nowait(event)
        if isinstance(event, ListUpdate):
            return self.freshness.on_list_update(event, now_ms)
        if isinstance(event, TimerFired) and event.cookie in COOKIES:
            return self.freshness.on_timer(event.cookie, now_ms)
        actions = self.more(event)
        if actions is not None:
            return actions
        return self._next_attempt(event)

    def _next_attempt(self, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [Send(event.request, self.servers[0], self.timeout_ms)]
        if isinstance(event, AttemptEnded) and not event.final:
            if event.attempt + 1 < len(self.servers):
                return [Send(event.request, self.servers[event.attempt + 1], self.timeout_ms)]
            return [Fail(event.request)]
        return []

    async def next_event(
        self, kind: type[SomeEvent], matches: Callable[[SomeEvent], bool] = lambda _event: True
    ) -> SomeEvent:
        """The next event of a kind that matches; those before it are skipped."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while True:
                event = await self.notifications.get()
                if isinstance(event, kind) and matches(event):
                    return event

    async def ended(self) -> AttemptEnded:
        """The next end of an attempt."""
        return await self.next_event(AttemptEnded)

    def received(self, kind: type[SomeEvent]) -> list[SomeEvent]:
        """All events of a kind so far."""
        return [event for event in self.events if isinstance(event, kind)]

    def ends(self) -> list[AttemptEnded]:
        """All ends of attempts so far."""
        return self.received(AttemptEnded)


@dataclass
class RunningBalancer:
    """The parts of a balancer that runs."""

    dispatcher: Dispatcher
    listener: Listener
    discovery: FakeDiscovery
    port: int
    shared: SharedResources
    watch: Discovery

    def stop(self) -> None:
        """Stops it and its fake discovery, without waiting for what is in flight."""
        self.dispatcher.source.stop()
        self.listener.stop_accepting()
        self.listener.close_idle()
        self.dispatcher.connection_pool.close()
        self.discovery.stop()


def start_parts(program: PlatformProgram, discovery: FakeDiscovery) -> RunningBalancer:
    """Starts the parts of a program that serve requests."""
    dispatcher = program.dispatcher
    listener = program.listener
    listener.start()
    dispatcher.source.start()
    return RunningBalancer(dispatcher, listener, discovery, listener.port, program.shared, program.discovery)


def _merge_settings(
    base: dict[str, Any] | None,
    limits: dict[str, Any] | None,
    stats: dict[str, Any] | None,
    categories: list[dict[str, Any]] | None,
) -> dict[str, Any]:
    return (base or SETTINGS) | {
        "PolicyLimits": SETTINGS["PolicyLimits"] | (limits or {}),
        "Stats": stats or SETTINGS["Stats"],
        "Categories": categories or SETTINGS["Categories"],
    }


@asynccontextmanager
async def running(
    *entries: dict[str, Any],
    script: Decisions | None = None,
    limits: dict[str, Any] | None = None,
    stats: dict[str, Any] | None = None,
    categories: list[dict[str, Any]] | None = None,
    base: dict[str, Any] | None = None,
    generation: int = 1,
    rest_ms: float = 0.0,
    **more: Any,
) -> AsyncIterator[RunningBalancer]:
    """The balancer's real parts, with a fake discovery that lists the entries.

    Args:
        entries: servers, as `testkit.platform.entry` makes them.
        script: takes the place of the balancer's decisions.
        limits: keys of the settings' `PolicyLimits`.
        stats: the settings' `Stats`.
        categories: the settings' `Categories`.
        base: the settings that those above change.
        generation: of the list that is known at the start.
        rest_ms: how long a connection to a server rests between attempts.
        more: further keys of the configuration; `machine` is its `limits`.
    """
    listed = list(entries)
    discovery = await FakeDiscovery(listed).start()
    discovery.generation = generation
    if "machine" in more:
        more["limits"] = more.pop("machine")
    more.setdefault("known", {"generation": generation, "reset": True, "instances": listed})
    settings = _merge_settings(base, limits, stats, categories)
    config = decode(json.dumps(config_data(listed, discovery.port, settings=settings, **more)), {})
    program = PlatformProgram(config, asyncio.get_running_loop(), script)
    program.dispatcher.connection_pool.COOLDOWN_MS = rest_ms
    balancer = start_parts(program, discovery)
    try:
        yield balancer
    finally:
        balancer.stop()
        await asyncio.sleep(0)


@asynccontextmanager
async def fake_servers(*behaviours: Behaviour) -> AsyncIterator[list[FakeServer]]:
    """A fake server for each behaviour."""
    servers = [await FakeServer(behave).start() for behave in behaviours]
    try:
        yield servers
    finally:
        for server in servers:
            server.close()


class Loopback:
    """Clients, a balancer and fake servers, connected over loopback.

    Attributes:
        balancer: the balancer's real parts.
        servers: the fake servers; the balancer knows them as 1, 2 and so on, discovery as `a`, `b` and so on.
        clients: those that have a connection.
    """

    def __init__(
        self, balancer: RunningBalancer, servers: list[FakeServer], connections: AsyncExitStack
    ) -> None:
        self.balancer = balancer
        self.servers = servers
        self.clients: list[HttpClient] = []
        self._connections = connections

    @property
    def server(self) -> FakeServer:
        """The first server."""
        return self.servers[0]

    @property
    def client(self) -> HttpClient:
        """The first client."""
        return self.clients[0]

    @property
    def pool(self) -> ConnectionPool:
        """The balancer's connections to the servers."""
        return self.balancer.dispatcher.connection_pool

    async def connect(self) -> HttpClient:
        """Open the connection of a further client; it is closed before the balancer stops."""
        client = await self._connections.enter_async_context(HttpClient(self.balancer.port))
        self.clients.append(client)
        return client


@asynccontextmanager
async def loopback(
    *behaviours: Behaviour, clients: int = 1, entries: tuple[dict[str, Any], ...] = (), **more: Any
) -> AsyncIterator[Loopback]:
    """Starts fake servers, a balancer that knows them, and clients that are connected to it.

    Args:
        behaviours: one for each server.
        clients: how many are connected.
        entries: of further servers, which the balancer numbers behind these.
        more: as for `running`; without a `script` the decisions are the balancer's own.
    """
    async with fake_servers(*behaviours) as servers:
        listed = [server.entry(name) for name, server in zip(SERVER_NAMES, servers, strict=False)]
        async with running(*listed, *entries, **more) as balancer, AsyncExitStack() as connections:
            network = Loopback(balancer, servers, connections)
            for _ in range(clients):
                await network.connect()
            yield network


async def served(client: HttpClient, *request: Any, **headers: str) -> Response:
    """Send a request, as `HttpClient.send_request` does; its answer, which must have status 200."""
    client.send_request(*request, **headers)
    response = await client.read_response()
    assert response.status == 200
    return response
