"""One connection of a forwarder to a planner.

It decides nothing: it hands events to its owner and ends when the planner exceeds a bound. Source:
docs/planning-link.md.
"""

from __future__ import annotations

import asyncio
from typing import ClassVar, Protocol

from sandhatch.planning.actions import SendReport
from sandhatch.planning.errors import SessionError
from sandhatch.planning.messages import Advice, Bye
from sandhatch.planning.peer_connection import PeerConnection
from sandhatch.planning.session import Established, Event, ForwarderSession
from sandhatch.runtime.clock import Clock

PLANNER_BYTES_PER_S = 2.0e6


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


class PlannerConnection(PeerConnection):
    """One connection to a planner.

    Attributes:
        planner: The planner's name.
        established: Whether the session is established and not closed.
    """

    PEER_ROLE: ClassVar[str] = "planner"

    def __init__(self, owner: ConnectionOwner, planner: str, session: ForwarderSession) -> None:
        """Prepare a connection; asyncio opens it."""
        super().__init__(session, owner.clock, PLANNER_BYTES_PER_S)
        self._owner = owner
        self.planner = planner
        self.established = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first frame of the handshake."""
        super().connection_made(transport)
        self._owner.opened(self)
        self.flush()

    def _handle(self, event: Event, now_ms: float) -> None:  # noqa: ARG002 - the planner's end needs it
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

    def _session_failed(self, problem: SessionError) -> None:
        self._owner.broken(self, str(problem))
        self.close(str(problem))

    def send(self, report: SendReport) -> None:
        """Send a report; a planner that leaves too much unread is disconnected instead."""
        if self._transport is None:
            return
        if self._peer_does_not_read:
            self.close("it does not read")
            return
        self.session.send(report.report)
        self.flush()

    def close(self, why: str) -> None:
        """Write what the session has to send, and close at once."""
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
