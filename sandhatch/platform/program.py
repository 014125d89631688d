"""The platform's program: one listener, one pool, everything as the platform tells it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from functools import partial

from sandhatch.config.platform import Config
from sandhatch.discovery.client import Discovery, DiscoveryPlan, Listing
from sandhatch.dispatch.dispatcher import Decisions, Engine, PoolPlan
from sandhatch.downstream.listener import CallerConnection, Gone, Listener
from sandhatch.downstream.request_parsing import ALLOW, METHODS, Requests, refuse_known
from sandhatch.http1.message import Message
from sandhatch.platform.graceful_shutdown import LastCall
from sandhatch.runtime.logger import report_loop_errors
from sandhatch.runtime.shared import Shared
from sandhatch.streaming.flow import StreamTerms
from sandhatch.telemetry.event_recorder import Recorder, asked_for

OWN_DESCRIPTORS = 24  # what the process itself needs


class PlatformFront:
    """Every request under `/api` goes to the one pool."""

    def __init__(self, config: Config, engine: Engine, shared: Shared, last_call: LastCall) -> None:
        self._engine = engine
        self._shared = shared
        self._last_call = last_call
        self._requests = Requests(config.settings)

    @property
    def ready(self) -> bool:
        return self._engine.ready

    def terms(self, caller: CallerConnection, message: Message) -> StreamTerms | None:
        return None  # the platform's bodies are small, and begin at their last byte

    def begin(self, caller: CallerConnection, message: Message) -> Gone | None:
        if message.target.partition(b"?")[0] != b"/api":
            caller.answer(404, [], b"")
            return None
        if message.method not in METHODS:
            caller.answer(405, ALLOW, b"")
            return None
        event, left, trace = self._requests.read(message)
        refuse_known(self._shared.traces, trace)
        left = event.time_left_ms = self._last_call.left(left)
        return partial(self._engine.client_gone, self._engine.arrive(caller, message, left, trace, event))


class Single:
    """The parts of the platform's program, put together."""

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, decisions: Decisions | None = None
    ) -> None:
        # Of the descriptors, what the process itself needs goes first; callers and upstreams share the rest.
        spare = max(8, config.sockets - OWN_DESCRIPTORS)
        settings = config.settings
        past_ms = 2.0 * max(item.deadline_ms for item in settings.classes)
        self.shared = Shared(loop, config.name, config.memory_mb, past_ms, spare)
        report_loop_errors(loop, self.shared.journal)
        plan = PoolPlan(settings, config.seed, spare // 2, config.drain_grace_ms, config.report_names)
        found = DiscoveryPlan(
            config.discovery,
            config.zones,
            config.kinds,
            config.known,
        )
        made: list[Discovery] = []

        def source(tell: Callable[[Listing], None], log: Callable[[str], None]) -> Discovery:
            made.append(Discovery(found, tell, log))
            return made[0]

        self.engine = Engine(plan, self.shared, source, decisions)
        self.discovery = made[0]
        record = asked_for(os.environ, self.shared.journal.line)
        if record is not None:
            clock = self.shared.clock
            self.engine.observe(Recorder(config.name, settings.tier, clock.now_ms, what=record))
        self.last_call = LastCall(self.shared.clock)
        front = PlatformFront(config, self.engine, self.shared, self.last_call)
        self.listener = Listener(config.listen, self.shared, front)
