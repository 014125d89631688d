"""The platform's program: one listener, one pool, everything as the platform tells it."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from functools import partial
from typing import Any

from larkweir.config.platform import Config
from larkweir.core.log import Journal
from larkweir.core.shared import Shared
from larkweir.engine import Decisions, Engine, PoolPlan
from larkweir.http1 import FramingError, Message
from larkweir.listener import CallerConnection, Listener
from larkweir.requests import METHODS, Requests
from larkweir.sources.discovery import Discovery, DiscoveryPlan, Listing

OWN_DESCRIPTORS = 24  # what the process itself needs


def report_loop_errors(loop: asyncio.AbstractEventLoop, journal: Journal) -> None:
    """What no handler caught: one bounded line, and the process goes on."""

    def told(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        problem = context.get("exception")
        frames = "".join(traceback.format_exception(problem, limit=-3)) if problem is not None else ""
        journal.line(f"{context.get('message')} {frames.strip()}".replace("\n", " | "))

    loop.set_exception_handler(told)


def refuse_known(shared: Shared, trace: bytes) -> None:
    """Guards the open request: a second under its id could not be told from a copy of it."""
    if trace in shared.traces:
        raise FramingError(409, "a request with this id is open, or was until lately")


class PlatformFront:
    """Every request under `/api` goes to the one pool."""

    def __init__(self, config: Config, engine: Engine, shared: Shared) -> None:
        self._engine = engine
        self._shared = shared
        self._requests = Requests(config.settings)

    @property
    def ready(self) -> bool:
        return self._engine.ready

    def begin(self, caller: CallerConnection, message: Message) -> Callable[[], None] | None:
        if message.target.partition(b"?")[0] != b"/api":
            caller.answer(404, [], b"")
            return None
        if message.method not in METHODS:
            caller.answer(405, [(b"Allow", b", ".join(sorted(METHODS)))], b"")
            return None
        event, left, trace = self._requests.read(message)
        refuse_known(self._shared, trace)
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
        self.shared = Shared(loop, config.name, config.memory_mb, past_ms, spare * 9 // 20, spare // 2)
        report_loop_errors(loop, self.shared.journal)
        plan = PoolPlan(settings, config.seed, spare // 2, config.drain_grace_ms, config.report_names)
        found = DiscoveryPlan(
            config.discovery,
            config.zones,
            config.kinds,
            settings.on_request_discovery,
            config.seed,
            config.known,
        )
        made: list[Discovery] = []

        def source(tell: Callable[[Listing], None], log: Callable[[str], None]) -> Discovery:
            made.append(Discovery(found, tell, log))
            return made[0]

        self.engine = Engine(plan, self.shared, source, decisions)
        self.discovery = made[0]
        self.listener = Listener(config.listen, self.shared, PlatformFront(config, self.engine, self.shared))
