"""Starts the balancer's real components between fake clients, servers and discovery.

A test can replace the balancer's decisions by scripted ones (`ScriptedBalancer`). Ports are assigned by the
operating system; all waits are for events, not for time to pass.
"""

from __future__ import annotations

import asyncio
import json
import math
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
from sandhatch.dispatch.protocols import BalancerProtocol
from sandhatch.downstream.listener import Listener
from sandhatch.platform.program import PlatformProgram
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.upstream.connection_pool import ConnectionPool
from testkit.clients import HttpClient
from testkit.discovery import FakeDiscovery
from testkit.platform import SETTINGS, config_data
from testkit.servers import Behaviour, FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, Response

EventT = TypeVar("EventT", bound=Event)
SERVER_NAMES = ascii_lowercase


class ScriptedBalancer:
    """Scripted decisions: a request's attempts go to the given servers in order, until an outcome is final.

    If the last attempt's outcome isn't final, the request fails. Every event is recorded, so that a test sees
    exactly what the balancer's decisions would receive. Endpoint lists are watched as the balancer does,
    unless `watches_lists` is false because the test makes each poll itself. A test may set `override` to
    decide on all other events before the script does; if `override` returns None, the script decides.
    """

    def __init__(self, servers: list[int], timeout_ms: float = 0.0, watches_lists: bool = True) -> None:
        settings = Settings([RequestClass(1.0, 1.0, Effect.IDEMPOTENT)], one_shot_watches=watches_lists)
        self.freshness = Freshness(settings, Random(1))
        self.servers = servers
        self.timeout_ms = timeout_ms
        self.events: list[Event] = []
        self.notifications: asyncio.Queue[Event] = asyncio.Queue()
        self.override: Callable[[Event], list[Action] | None] = lambda _event: None

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        self.events.append(event)
        self.notifications.put_nowait(event)
        if isinstance(event, ListUpdate):
            return self.freshness.on_list_update(event, now_ms)
        if isinstance(event, TimerFired) and event.cookie in COOKIES:
            return self.freshness.on_timer(event.cookie, now_ms)
        actions = self.override(event)
        if actions is not None:
            return actions
        return self._next_attempt(event)

    def write_deadline_ms(self, _request_id: int, _attempt_number: int) -> float:
        return math.inf

    def _next_attempt(self, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [Send(event.request, self.servers[0], self.timeout_ms)]
        if isinstance(event, AttemptEnded) and not event.final:
            if event.attempt + 1 < len(self.servers):
                return [Send(event.request, self.servers[event.attempt + 1], self.timeout_ms)]
            return [Fail(event.request)]
        return []

    async def next_event(
        self, kind: type[EventT], matches: Callable[[EventT], bool] = lambda _event: True
    ) -> EventT:
        """Waits for the next matching event of a kind, and skips the events before it."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while True:
                event = await self.notifications.get()
                if isinstance(event, kind) and matches(event):
                    return event

    async def next_attempt_end(self) -> AttemptEnded:
        """Waits for the next event that reports the end of an attempt."""
        return await self.next_event(AttemptEnded)

    def received_events(self, kind: type[EventT]) -> list[EventT]:
        """Returns all events of a kind received so far."""
        return [event for event in self.events if isinstance(event, kind)]

    def attempt_ends(self) -> list[AttemptEnded]:
        """Returns all events that report the end of an attempt, received so far."""
        return self.received_events(AttemptEnded)


@dataclass
class RunningBalancer:
    """Components of a running balancer."""

    dispatcher: Dispatcher
    listener: Listener
    discovery: FakeDiscovery
    port: int
    shared: SharedResources
    discovery_client: Discovery

    def stop(self) -> None:
        """Stops the balancer and the fake discovery, without waiting for attempts in flight."""
        self.dispatcher.source.stop()
        self.listener.stop_accepting()
        self.listener.close_idle()
        self.dispatcher.connection_pool.close()
        self.discovery.stop()


def start_components(program: PlatformProgram, discovery: FakeDiscovery) -> RunningBalancer:
    """Starts the components of a program that serve requests."""
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
    script: BalancerProtocol | None = None,
    limits: dict[str, Any] | None = None,
    stats: dict[str, Any] | None = None,
    categories: list[dict[str, Any]] | None = None,
    base: dict[str, Any] | None = None,
    generation: int = 1,
    cooldown_ms: float = 0.0,
    **more: Any,
) -> AsyncIterator[RunningBalancer]:
    """Runs the balancer's real components with a fake discovery that lists the entries.

    Args:
        entries: Servers, in the form that `testkit.platform.entry` returns.
        script: Decisions to use in place of the balancer's own.
        limits: Keys of the settings' `PolicyLimits` to replace.
        stats: The settings' `Stats`.
        categories: The settings' `Categories`.
        base: Settings to which the arguments above are applied; the default is `SETTINGS`.
        generation: Generation of the endpoint list that is known at the start.
        cooldown_ms: Minimum idle time of a server connection between two attempts, in milliseconds.
        more: Further keys of the configuration; `machine` stands for its key `limits`.
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
    program.dispatcher.connection_pool.COOLDOWN_MS = cooldown_ms
    balancer = start_components(program, discovery)
    try:
        yield balancer
    finally:
        balancer.stop()
        await asyncio.sleep(0)


@asynccontextmanager
async def fake_servers(*behaviours: Behaviour) -> AsyncIterator[list[FakeServer]]:
    """Starts a fake server for each behaviour."""
    servers = [await FakeServer(behave).start() for behave in behaviours]
    try:
        yield servers
    finally:
        for server in servers:
            server.close()


class Loopback:
    """Clients, a balancer and fake servers, connected over loopback.

    Attributes:
        balancer: The balancer's real components.
        servers: The fake servers, numbered 1, 2 and so on by the balancer, and named `a`, `b` and so on in
            discovery.
        clients: The connected clients.
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
        """The balancer's pool of connections to the servers."""
        return self.balancer.dispatcher.connection_pool

    async def connect(self) -> HttpClient:
        """Connects a further client, whose connection is closed before the balancer stops."""
        client = await self._connections.enter_async_context(HttpClient(self.balancer.port))
        self.clients.append(client)
        return client


@asynccontextmanager
async def loopback(
    *behaviours: Behaviour, clients: int = 1, entries: tuple[dict[str, Any], ...] = (), **more: Any
) -> AsyncIterator[Loopback]:
    """Starts fake servers, a balancer in front of them, and clients that are connected to it.

    Args:
        behaviours: Behaviour of each server.
        clients: Number of clients to connect.
        entries: Entries of further servers, which the balancer numbers after the fake servers.
        more: Arguments of `running`; without a `script` the decisions are the balancer's own.
    """
    async with fake_servers(*behaviours) as servers:
        listed = [server.entry(name) for name, server in zip(SERVER_NAMES, servers, strict=False)]
        async with running(*listed, *entries, **more) as balancer, AsyncExitStack() as connections:
            network = Loopback(balancer, servers, connections)
            for _ in range(clients):
                await network.connect()
            yield network


async def request_ok(client: HttpClient, *request: Any, **headers: str) -> Response:
    """Sends a request by `HttpClient.send_request`; returns its response, whose status must be 200."""
    client.send_request(*request, **headers)
    response = await client.read_response()
    assert response.status == 200
    return response
