"""Planners that do as a script says, once the handshake is over, and sealed frames as they were sent."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from sandhatch.planning.errors import SessionError
from sandhatch.planning.keys import Identity
from sandhatch.planning.messages import Advice, Bye, PoolAdvice, Report
from sandhatch.planning.session import Established, PlannerSession


class Seat:
    """One forwarder's connection, as the script sees it."""

    def __init__(
        self, session: PlannerSession, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.session = session
        self._reader, self._writer = reader, writer
        self._reports: list[Report] = []
        self._version = 0
        self.frames: list[bytes] = []  # what was sent, sealed
        self.said: list[str] = []  # the forwarder's last words

    async def established(self) -> None:
        while not self.session.established:
            await self._feed()

    async def report(self) -> Report:
        """The next one; SessionError or ConnectionError if there is none."""
        while not self._reports:
            await self._feed()
        return self._reports.pop(0)

    async def _feed(self) -> None:
        data = await self._reader.read(65536)
        if not data:
            raise ConnectionError("the forwarder has left")
        for event, _ in self.session.feed(data):
            if isinstance(event, Report):
                self._reports.append(event)
            elif isinstance(event, Bye):
                self.said.append(event.why)
            elif isinstance(event, Established):
                pass
        await self.raw(self.session.take_out())

    def advice(self, report: Report, *pools: PoolAdvice, **more: object) -> Advice:
        """An honest answer to a report, to be changed at will."""
        self._version += 1
        advice = Advice(self.session.epoch, self._version, report.serial, 2_000.0, 3_000.0, pools=list(pools))
        for name, value in more.items():
            setattr(advice, name, value)
        return advice

    async def say(self, advice: Advice) -> None:
        self.session.send(advice)
        frame = self.session.take_out()
        self.frames.append(frame)
        await self.raw(frame)

    async def raw(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    async def left(self) -> None:
        """Until the forwarder closes."""
        with suppress(ConnectionError, SessionError):
            while True:
                await self._feed()


Script = Callable[[Seat], Awaitable[None]]


class ScriptedPlanner:
    """Listens, shakes hands as an honest planner does, and then follows the script."""

    def __init__(self, name: str, identity: Identity, script: Script, epoch: int = 1) -> None:
        self.name, self.identity, self.script, self.epoch = name, identity, script, epoch
        self.connections = 0
        self.seats: list[Seat] = []
        self.over = 0  # scripts that have come to their end
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> ScriptedPlanner:
        self._server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        seat = Seat(PlannerSession(self.identity, self.name, self.epoch), reader, writer)
        self.seats.append(seat)
        try:
            await self.script(seat)
        except (ConnectionError, SessionError, asyncio.CancelledError):
            pass
        finally:
            self.over += 1
            self._tasks.discard(task)
            writer.close()

    def close(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
