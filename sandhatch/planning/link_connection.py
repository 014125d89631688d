"""One connection of a forwarder to a planner: the asyncio protocol around `ForwarderSession`.

It decides nothing: it hands events to its owner and ends when the planner exceeds a bound. Source:
docs/planning-link.md.
"""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from sandhatch.planning.actions import SendReport
from sandhatch.planning.errors import SessionError
from sandhatch.planning.messages import Advice, Bye
from sandhatch.planning.receive_limit import ReceiveLimit
from sandhatch.planning.session import Established, Event, ForwarderSession
from sandhatch.runtime.clock import Clock

HANDSHAKE_TIMEOUT_MS = 5_000.0
MAX_UNSENT_BYTES = 1 << 20  # beyond which a planner that does not read is disconnected
PLANNER_FRAMES_PER_S = 20.0
PLANNER_BYTES_PER_S = 2.0e6
PLANNER_BURST_S = 5.0


class ConnectionOwner(Protocol):
    """What a connection reports to; see `link.ForwarderLink`."""

    clock: Clock

    def opened(self, connection: PlannerConnection) -> None:
        """The connection is open; the handshake has not begun."""

    def connected(self, connection: PlannerConnection, event: Established) -> None:
        """The handshake is complete."""

    def advised(self, connection: PlannerConnection, advice: Advice) -> None:
        """Advice was received."""

    def broken(self, connection: PlannerConnection, why: str) -> None:
        """The planner violated the protocol."""

    def closed(self, connection: PlannerConnection, why: str) -> None:
        """The connection has ended."""


class PlannerConnection(asyncio.Protocol):
    """One connection to a planner.

    Attributes:
        planner: The planner's name.
        session: The session on this connection.
        established: Whether the session is established and not closed.
    """

    def __init__(self, owner: ConnectionOwner, planner: str, session: ForwarderSession) -> None:
        """Prepare a connection; asyncio opens it."""
        self._owner = owner
        self.planner = planner
        self.session = session
        self.established = False
        self._limit = ReceiveLimit(
            PLANNER_FRAMES_PER_S, PLANNER_BYTES_PER_S, PLANNER_BURST_S, owner.clock.now_ms()
        )
        self._transport: asyncio.Transport | None = None
        self._deadline = owner.clock.call_after(HANDSHAKE_TIMEOUT_MS, self._handshake_timed_out)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first frame of the handshake."""
        self._transport = cast(asyncio.Transport, transport)
        self._owner.opened(self)
        self.flush()

    def _handshake_timed_out(self) -> None:
        if not self.established:
            self.close("no handshake in time")

    def data_received(self, data: bytes) -> None:
        """Handle the events that these bytes complete."""
        now_ms = self._owner.clock.now_ms()
        try:
            for event, size in self.session.feed(data):
                if not self._limit.take(size, now_ms):
                    raise SessionError("more messages than a planner may send")
                self._handle(event)
                if self._transport is None:
                    return
        except SessionError as problem:
            self._owner.broken(self, str(problem))
            self.close(str(problem))
        self.flush()

    def _handle(self, event: Event) -> None:
        match event:
            case Established():
                self.established = True
                self._deadline.cancel()
                self._owner.connected(self, event)
            case Advice():
                self._owner.advised(self, event)
            case Bye():
                self.close(f"it leaves: {event.why}")
            case _:
                raise SessionError(f"a {type(event).__name__} from a planner")

    def send(self, report: SendReport) -> None:
        """Send a report; a planner that leaves too much unread is disconnected instead."""
        transport = self._transport
        if transport is None:
            return
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close("it does not read")
            return
        self.session.send(report.report)
        self.flush()

    def flush(self) -> None:
        """Write what the session has to send."""
        if self._transport is not None and self.session.has_output:
            self._transport.write(self.session.take_out())

    def close(self, why: str) -> None:
        """Write what the session has to send, and close."""
        self._deadline.cancel()
        transport = self._transport
        self._transport = None
        if transport is not None:
            data = self.session.take_out()
            if data:
                transport.write(data)
            transport.abort()
        self._owner.closed(self, why)

    def connection_lost(self, exc: Exception | None) -> None:
        """The planner or the network closed the connection."""
        self._deadline.cancel()
        if self._transport is not None:
            self._transport = None
            self._owner.closed(self, str(exc) if exc is not None else "closed")
