"""The planner's server: connections of forwarders around the state machine `Planner`.

Limits the number of connections, the duration of a handshake, the frames and bytes per second of each
forwarder, and the bytes that a forwarder leaves unread. Source: docs/planning-link.md.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, ClassVar

from sandhatch.planning.errors import InvalidReportError, SessionError, SupersededEpochError
from sandhatch.planning.keys import Identity
from sandhatch.planning.messages import Bye, Hello, Report
from sandhatch.planning.peer_connection import PeerConnection
from sandhatch.planning.planner import Planner
from sandhatch.planning.session import Established, Event, PlannerSession
from sandhatch.planning.terms import PlannerTerms
from sandhatch.runtime.address import Address
from sandhatch.runtime.clock import Clock

TICK_MS = 100.0
CLOSE_TIMEOUT_MS = 2_000.0  # time for a forwarder to read pending output before its connection is aborted
SILENCE_TIMEOUT_MS = 30_000.0  # time without a report after which a session is closed
LISTEN_BACKLOG = 1_024
MAX_FORWARDER_BYTES_PER_S = 262_144.0
MAX_CONNECTIONS = 10_000


class _ForwarderConnection(PeerConnection):
    """One forwarder's connection.

    Attributes:
        name: The forwarder's name; empty before the handshake is complete.
        last_report_ms: Time of the last report, or of the end of the handshake if there was none.
    """

    PEER_ROLE: ClassVar[str] = "forwarder"

    def __init__(self, server: PlannerServer) -> None:
        """Prepare a connection; asyncio opens it."""
        session = PlannerSession(server.identity, server.planner.name, server.planner.epoch)
        super().__init__(session, server.clock, server.bytes_per_s)
        self._planner_server = server
        self.name = ""
        self.last_report_ms = server.clock.now_ms()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or close it if too many connections are open."""
        super().connection_made(transport)
        if not self._planner_server.admit(self):
            self.close(f"{self._planner_server.max_connections} connections are there already")

    def data_received(self, data: bytes) -> None:
        """Count the received bytes, and handle the events that they complete."""
        self._planner_server.bytes_in += len(data)
        super().data_received(data)

    def _handle(self, event: Event, now_ms: float) -> None:
        match event:
            case Established():
                self._deadline.cancel()
                self.name = event.peer
                self.last_report_ms = now_ms
                self._planner_server.register(self)
            case Report():
                self.last_report_ms = now_ms
                self._respond(event, now_ms)
            case Bye():
                self._close_transport()
            case Hello():
                pass  # the session has already responded to the `Hello`
            case _:
                raise SessionError(f"a {type(event).__name__} from a forwarder")

    def _respond(self, report: Report, now_ms: float) -> None:
        """Send the planner's advice on a report."""
        try:
            advice = self._planner_server.planner.report(self.name, report, now_ms)
        except InvalidReportError as error:
            raise SessionError(str(error)) from None
        if self._is_send_buffer_full:
            raise SessionError("it does not read")
        self._planner_server.bytes_out += self.session.send(advice)

    def _session_failed(self, error: SessionError) -> None:
        if isinstance(error, SupersededEpochError):
            self.flush()
            self._planner_server.start_new_incarnation(error.known_epoch + 1)
            return
        self._planner_server.record_rejection(self, str(error))
        self.close(str(error))

    def close(self, reason: str) -> None:
        """Send the forwarder the reason, and close."""
        self.session.send_bye(reason)
        self.flush()
        self._close_transport()

    def _close_transport(self) -> None:
        """Close once the pending output is sent, or after `CLOSE_TIMEOUT_MS`."""
        self._deadline.cancel()
        transport = self._transport
        self._transport = None
        self._planner_server.remove(self)
        if transport is not None:
            transport.close()
            self._clock.call_after(CLOSE_TIMEOUT_MS, transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - part of asyncio's protocol
        """Handle a connection closed by the forwarder or the network."""
        self._transport = None
        self._deadline.cancel()
        self._planner_server.remove(self)


class PlannerServer:
    """Listens for forwarders and responds to their reports with advice.

    Attributes:
        identity: The planner's key.
        clock: The process's clock.
        max_connections: Maximum number of connections.
        bytes_per_s: Maximum rate of bytes from each forwarder.
        planner: The state machine of the current incarnation.
        rejected_sessions: Number of sessions that ended because of a forwarder's error.
        bytes_in: Number of bytes received.
        bytes_out: Number of bytes of advice sent.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        identity: Identity,
        clock: Clock,
        log: Callable[[str], None],
        terms: PlannerTerms | None = None,
        bytes_per_s: float = MAX_FORWARDER_BYTES_PER_S,
        max_connections: int = MAX_CONNECTIONS,
        epoch: int | None = None,
    ) -> None:
        """Prepare the server; `start` listens.

        Args:
            name: The planner's name.
            address: Address to listen on.
            identity: The planner's key.
            clock: The process's clock.
            log: Writes a line to the log.
            terms: The planner's settings.
            bytes_per_s: Maximum rate of bytes from each forwarder.
            max_connections: Maximum number of connections.
            epoch: Number of this incarnation; by default the system's time in milliseconds.
        """
        self.identity = identity
        self.clock = clock
        self.max_connections = max_connections
        self.bytes_per_s = bytes_per_s
        self._log = log
        self._address = address
        self._terms = terms or PlannerTerms()
        self.planner = self._new_planner(name, _epoch_from_system_time() if epoch is None else epoch)
        self._connections: dict[_ForwarderConnection, None] = {}
        self._connections_by_forwarder: dict[str, _ForwarderConnection] = {}
        self._server: asyncio.Server | None = None
        self._stopped = False
        self.rejected_sessions = 0
        self.bytes_in = 0
        self.bytes_out = 0

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        host, port = self._address
        self._server = await loop.create_server(
            lambda: _ForwarderConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        self._tick()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening and end all sessions."""
        self._stopped = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close("the planner stops")

    def start_new_incarnation(self, epoch: int) -> None:
        """Replace the state machine by an empty one, whose epoch is above the highest seen by a forwarder."""
        self._log(
            f"starting epoch {epoch} with empty state: a forwarder has seen one above {self.planner.epoch}"
        )
        self.planner = self._new_planner(self.planner.name, epoch)
        for connection in list(self._connections):
            connection.close("the planner begins anew")

    def _new_planner(self, name: str, epoch: int) -> Planner:
        return Planner(name, epoch, self.clock.now_ms(), self._terms)

    # ------------------------------------------------ connections

    def admit(self, connection: _ForwarderConnection) -> bool:
        """Register a new connection; False if the connection limit is reached."""
        if len(self._connections) >= self.max_connections:
            return False
        self._connections[connection] = None
        return True

    def register(self, connection: _ForwarderConnection) -> None:
        """Register an authenticated connection; it replaces the forwarder's earlier connection."""
        previous = self._connections_by_forwarder.get(connection.name)
        self._connections_by_forwarder[connection.name] = connection
        if previous is not None:
            previous.close("another connection has come in its place")
        self.planner.forwarder_connected(connection.name, self.clock.now_ms())

    def remove(self, connection: _ForwarderConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.pop(connection, None)
        if self._connections_by_forwarder.get(connection.name) is connection:
            del self._connections_by_forwarder[connection.name]

    def record_rejection(self, connection: _ForwarderConnection, reason: str) -> None:
        """Count and log a session that ends because of the forwarder's error."""
        self.rejected_sessions += 1
        self._log(f"forwarder {connection.name or '-'}: {reason}")

    def _tick(self) -> None:
        if self._stopped:
            return
        now_ms = self.clock.now_ms()
        self.planner.tick(now_ms)
        silent = [
            connection
            for connection in self._connections
            if connection.name and now_ms - connection.last_report_ms > SILENCE_TIMEOUT_MS
        ]
        for connection in silent:
            connection.close("no report for too long")
        self.clock.call_after(TICK_MS, self._tick)

    # ------------------------------------------------ for operators

    def status(self) -> dict[str, Any]:
        """The planner's status as JSON values; docs/operators/planning.md describes them."""
        status = self.planner.status(self.clock.now_ms())
        status["connections"] = len(self._connections)
        status["turned_away"] = self.rejected_sessions
        status["bytes_in"] = self.bytes_in
        status["bytes_out"] = self.bytes_out
        return status


def _epoch_from_system_time() -> int:
    """An epoch above those of earlier processes, unless the system's time was set back.

    In that case, forwarders report the highest epoch that they have seen, and the planner takes the next one.
    """
    return int(time.time() * 1000.0)
