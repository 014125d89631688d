"""The balancer's real parts between fakes of the rest, and a script in place of its decisions.

Ports are the system's choice, and everything waits for events.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

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
from testkit.discovery import FakeDiscovery
from testkit.platform import SETTINGS, config_data
from testkit.wire import RESPONSE_TIMEOUT_S


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
        self.told: asyncio.Queue[Event] = asyncio.Queue()
        self.more: Callable[[Event], list[Action] | None] = lambda event: None

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        self.events.append(event)
        self.told.put_nowait(event)
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

    async def ended(self) -> AttemptEnded:
        """The next end of an attempt."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while True:
                event = await self.told.get()
                if isinstance(event, AttemptEnded):
                    return event

    def ends(self) -> list[AttemptEnded]:
        """All ends of attempts so far."""
        return [event for event in self.events if isinstance(event, AttemptEnded)]


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


@asynccontextmanager
async def running(
    *entries: dict[str, Any],
    script: Decisions | None = None,
    limits: dict[str, Any] | None = None,
    stats: dict[str, Any] | None = None,
    categories: list[dict[str, Any]] | None = None,
    base: dict[str, Any] | None = None,
    machine: dict[str, Any] | None = None,
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
        machine: the configuration's `limits`.
        generation: of the list that is known at the start.
        rest_ms: how long a connection to a server rests between attempts.
        more: further keys of the configuration.
    """
    discovery = await FakeDiscovery(list(entries)).start()
    discovery.generation = generation
    if machine is not None:
        more["limits"] = machine
    more.setdefault("known", {"generation": generation, "reset": True, "instances": list(entries)})
    settings = (base or SETTINGS) | {
        "PolicyLimits": SETTINGS["PolicyLimits"] | (limits or {}),
        "Stats": stats or SETTINGS["Stats"],
        "Categories": categories or SETTINGS["Categories"],
    }
    data = config_data(list(entries), discovery.port, settings=settings, **more)
    config = decode(json.dumps(data), {})
    program = PlatformProgram(config, asyncio.get_running_loop(), script)
    program.dispatcher.connection_pool.COOLDOWN_MS = rest_ms
    balancer = start_parts(program, discovery)
    try:
        yield balancer
    finally:
        balancer.stop()
        await asyncio.sleep(0)
