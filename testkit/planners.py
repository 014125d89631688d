"""Fake planners that follow a script once the handshake is complete.

The script determines the advice that a planner sends. Source: `docs/planning-link.md`; the program's own
session code seals the frames.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import ClassVar

from sandhatch.planning.errors import SessionError
from sandhatch.planning.keys import Identity
from sandhatch.planning.messages import Advice, PoolAdvice, Report
from sandhatch.planning.session import PlannerSession
from testkit.listening import ListeningFake

READ_BYTES = 65536
LEASE_MS = 2_000.0
SHARE_LEASE_MS = 3_000.0


class ForwarderConnection:
    """A forwarder's connection, the interface for scripts."""

    def __init__(
        self, session: PlannerSession, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wraps a connection whose handshake has not begun."""
        self.session = session
        self._reader = reader
        self._writer = writer
        self._reports: list[Report] = []
        self._version = 0

    async def wait_established(self) -> None:
        """Waits until the handshake is complete."""
        while not self.session.established:
            await self._read()

    async def next_report(self) -> Report:
        """Returns the next report.

        Raises:
            ConnectionError: The forwarder has closed the connection.
            SessionError: The forwarder violated the session protocol.
        """
        while not self._reports:
            await self._read()
        return self._reports.pop(0)

    async def _read(self) -> None:
        data = await self._reader.read(READ_BYTES)
        if not data:
            raise ConnectionError("the forwarder closed the connection")
        for event, _ in self.session.feed(data):
            if isinstance(event, Report):
                self._reports.append(event)
        await self.send_raw(self.session.take_output())

    def advice(self, report: Report, *pools: PoolAdvice, **more: object) -> Advice:
        """Creates the advice of a planner without faults for a report; `more` replaces fields."""
        self._version += 1
        advice = Advice(
            self.session.epoch, self._version, report.serial, LEASE_MS, SHARE_LEASE_MS, pools=list(pools)
        )
        for name, value in more.items():
            setattr(advice, name, value)
        return advice

    async def send_advice(self, advice: Advice) -> None:
        """Sends the advice to the forwarder."""
        self.session.send(advice)
        await self.send_raw(self.session.take_output())

    async def send_raw(self, data: bytes) -> None:
        """Writes bytes unchanged, sealed or not."""
        self._writer.write(data)
        await self._writer.drain()

    async def wait_closed(self) -> None:
        """Waits until the forwarder closes the connection."""
        with suppress(ConnectionError, SessionError):
            while True:
                await self._read()


Script = Callable[[ForwarderConnection], Awaitable[None]]


class ScriptedPlanner(ListeningFake):
    """A planner that runs its script on each connection.

    Attributes:
        name: Name of the planner.
        identity: Identity that the planner proves in the handshake.
        script: Script that is run on each connection.
        epoch: Epoch of the planner.
        ended_scripts: Number of scripts that have ended.
    """

    CONNECTION_ERRORS: ClassVar[tuple[type[Exception], ...]] = (ConnectionError, SessionError)

    def __init__(self, name: str, identity: Identity, script: Script, epoch: int = 1) -> None:
        """Creates a planner that does not listen yet."""
        super().__init__()
        self.name = name
        self.identity = identity
        self.script = script
        self.epoch = epoch
        self.ended_scripts = 0

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Runs the script on a connection."""
        connection = ForwarderConnection(PlannerSession(self.identity, self.name, self.epoch), reader, writer)
        try:
            await self.script(connection)
        finally:
            self.ended_scripts += 1
