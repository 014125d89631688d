"""One connection of a forwarder to a planner.

A connection makes no decisions: it passes events to its owner and closes when the planner exceeds a bound.
Source: docs/planning-link.md.
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

MAX_PLANNER_BYTES_PER_S = 2.0e6


class ConnectionOwner(Protocol):
    """Receives the events of a connection; see `link.ForwarderLink`."""

    clock: Clock

    def on_opened(self, connection: PlannerConnection) -> None:
        """The connection is open; the handshake has not begun."""

    def on_established(self, connection: PlannerConnection, event: Established) -> None:
        """The handshake is complete."""

    def on_advice(self, connection: PlannerConnection, advice: Advice) -> None:
        """Advice was received."""

    def on_protocol_violated(self, connection: PlannerConnection, reason: str) -> None:
        """The planner violated the protocol."""

    def on_closed(self, connection: PlannerConnection, reason: str) -> None:
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
        super().__init__(session, owner.clock, MAX_PLANNER_BYTES_PER_S)
        self._owner = owner
        self.planner = planner
        self.established = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first frame of the handshake."""
        super().connection_made(transport)
        self._owner.on_opened(self)
        self.flush()

    def _handle(self, event: Event, now_ms: float) -> None:  # noqa: ARG002 - used by the planner's side
        match event:
            case Established():
                self.established = True
                self._deadline.cancel()
                self._owner.on_established(self, event)
            case Advice():
                self._owner.on_advice(self, event)
            case Bye():
                self.close(f"session ended by the planner: {event.why}")
            case _:
                raise SessionError(f"a {type(event).__name__} from a planner")

    def _session_failed(self, error: SessionError) -> None:
        self._owner.on_protocol_violated(self, str(error))
        self.close(str(error))

    def send(self, report: SendReport) -> None:
        """Send a report; where it cannot be sent, the planner is disconnected instead.

        This is so for a planner with too many unread bytes, and for a report longer than a frame may be.
        """
        if self._transport is None:
            return
        if self._is_send_buffer_full:
            self.close("disconnected: the planner does not read its reports")
            return
        try:
            self.session.send(report.report)
        except SessionError as error:
            self.close(f"disconnected: the report can't be sent: {error}")
            return
        self.flush()

    def close(self, reason: str) -> None:
        """Write the session's pending output, and close at once."""
        self._deadline.cancel()
        transport = self._transport
        self._transport = None
        if transport is not None:
            data = self.session.take_output()
            if data:
                transport.write(data)
            transport.abort()
        self._owner.on_closed(self, reason)

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle a connection closed by the planner or the network."""
        self._deadline.cancel()
        if self._transport is not None:
            self._transport = None
            self._owner.on_closed(self, str(exc) if exc is not None else "connection closed by the planner")
