"""The platform's program: one listener, one pool, everything as the platform tells it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from functools import partial

from sandhatch.config.platform import Config
from sandhatch.discovery.client import Discovery, DiscoveryPlan
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.dispatch.dispatcher import Dispatcher
from sandhatch.dispatch.plan import PoolPlan
from sandhatch.dispatch.protocols import Decisions
from sandhatch.downstream.listener import ClientConnection, DisconnectCallback, Listener
from sandhatch.downstream.request_parsing import ALLOW, METHODS, Requests, reject_known
from sandhatch.http1.message import Message
from sandhatch.platform.graceful_shutdown import LastCall
from sandhatch.runtime.logger import report_loop_errors
from sandhatch.runtime.shared import SharedResources
from sandhatch.streaming.flow import StreamTerms
from sandhatch.telemetry.event_recorder import Recorder, requested_record

OWN_DESCRIPTORS = 24  # what the process itself needs


class PlatformRequestHandler:
    """Every request under `/api` goes to the one pool."""

    def __init__(
        self, config: Config, dispatcher: Dispatcher, shared: SharedResources, last_call: LastCall
    ) -> None:
        self._dispatcher = dispatcher
        self._shared = shared
        self._last_call = last_call
        self._requests = Requests(config.settings)

    @property
    def ready(self) -> bool:
        return self._dispatcher.ready

    def terms(self, client: ClientConnection, message: Message) -> StreamTerms | None:
        return None  # the platform's bodies are small, and begin at their last byte

    def begin(self, client: ClientConnection, message: Message) -> DisconnectCallback | None:
        if message.target.partition(b"?")[0] != b"/api":
            client.answer(404, [], b"")
            return None
        if message.method not in METHODS:
            client.answer(405, ALLOW, b"")
            return None
        event, left, trace = self._requests.read(message)
        reject_known(self._shared.in_flight_ids, trace)
        left = event.time_left_ms = self._last_call.left(left)
        return partial(
            self._dispatcher.client_disconnected, self._dispatcher.arrive(client, message, left, trace, event)
        )


class PlatformProgram:
    """The parts of the platform's program, put together."""

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, decisions: Decisions | None = None
    ) -> None:
        # Of the descriptors, what the process itself needs goes first; callers and upstreams share the rest.
        spare = max(8, config.sockets - OWN_DESCRIPTORS)
        settings = config.settings
        past_ms = 2.0 * max(item.deadline_ms for item in settings.classes)
        self.shared = SharedResources(loop, config.name, config.memory_mb, past_ms, spare)
        report_loop_errors(loop, self.shared.logger)
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

        self.dispatcher = Dispatcher(plan, self.shared, source, decisions)
        self.discovery = made[0]
        record = requested_record(os.environ, self.shared.logger.line)
        if record is not None:
            clock = self.shared.clock
            self.dispatcher.observe(Recorder(config.name, settings.tier, clock.now_ms, what=record))
        self.last_call = LastCall(self.shared.clock)
        front = PlatformRequestHandler(config, self.dispatcher, self.shared, self.last_call)
        self.listener = Listener(config.listen, self.shared, front)
