"""The servers of a pool, the connections to them, and the limit on the number of connections.

The pool starts attempts on the servers that it is given and caches idle connections for reuse. It never
chooses a server and never retries. Source: PROTOCOL-sandhatch.md, "Balancers to upstreams" (closing of idle
connections, grace period of a draining server).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from sandhatch.balancing.events import Outcome, ServerState
from sandhatch.runtime.address import Address
from sandhatch.runtime.clock import Clock
from sandhatch.runtime.descriptor_budget import DescriptorBudget
from sandhatch.runtime.memory_budget import MemoryBudget
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.connection import ServerConnection
from sandhatch.upstream.server import UpstreamServer


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Limits of one pool's connections.

    Attributes:
        max_connections: Maximum number of connections to the pool's servers.
        server_idle_timeout_ms: Time after which a server closes an idle connection.
        connect_timeout_ms: Time allowed for establishing a connection.
        drain_grace_ms: Time after the notice that a server is draining during which requests may still be
            sent to it.
    """

    max_connections: int
    server_idle_timeout_ms: float
    connect_timeout_ms: float
    drain_grace_ms: float


class ConnectionPool:
    """The table of servers, the connections to them, and the attempts on these connections.

    Attributes:
        clock: Clock of the process.
        memory_budget: Memory budget shared by all connections of the process.
        servers: Servers of the endpoint list, by number.
    """

    SWEEP_INTERVAL_MS = 1_000.0
    # Cooldown after the response to an attempt: the connection takes no new attempt, and any byte received
    # closes it. Otherwise a duplicate response, or garbage, that arrives one read later would be taken for
    # the response to the next request. No cooldown follows the response to a probe, because an attempt
    # usually follows a probe immediately; a duplicate of a probe's response is recognized by its body.
    COOLDOWN_MS = 25.0
    # Delay of the last byte of a request on a reused connection. If the server has closed the connection and
    # the balancer has not noticed, the server resets it on the first bytes. The incomplete request has not
    # run and can be sent on a new connection, even if it is non-idempotent and could not be retried after a
    # reset.
    LAST_BYTE_DELAY_MS = 2.0
    # Time between two checks whether a request that the kernel accepts only in part may still be written; no
    # request may arrive later than 0.1 s after its client has disconnected.
    UNSENT_CHECK_INTERVAL_MS = 50.0
    CONNECT_MARGIN_MS = 100.0  # subtracted from the drain grace period, for endpoint lists read late
    # Upper limit of the time by which a connection is closed before the server's idle timeout.
    IDLE_MARGIN_MS = 5_000.0
    IDLE_MARGIN_FRACTION = 0.2  # margin before the server's idle timeout, as a fraction of that timeout

    def __init__(
        self,
        clock: Clock,
        memory_budget: MemoryBudget,
        descriptors: DescriptorBudget,
        limits: ConnectionLimits,
    ) -> None:
        """Create an empty pool.

        Args:
            clock: Clock of the process.
            memory_budget: Memory budget shared by all connections of the process.
            descriptors: File descriptor budget shared by all pools of the process.
            limits: Limits of this pool.
        """
        self.clock = clock
        self._descriptors = descriptors
        descriptors.holders[self] = None
        self.memory_budget = memory_budget
        self._max_connections = limits.max_connections
        # The margin avoids writing a request to a connection while the server closes it as idle.
        margin_ms = min(self.IDLE_MARGIN_MS, self.IDLE_MARGIN_FRACTION * limits.server_idle_timeout_ms)
        self._max_idle_ms = limits.server_idle_timeout_ms - margin_ms
        self._connect_timeout_ms = limits.connect_timeout_ms
        self._drain_grace_ms = max(0.0, limits.drain_grace_ms - self.CONNECT_MARGIN_MS)
        self.servers: dict[int, UpstreamServer] = {}
        # Idle connections by server number, most recently used last.
        self._idle: dict[int, list[ServerConnection]] = {}
        self._open: set[ServerConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._is_sweeping = False

    @property
    def connection_count(self) -> int:
        """Number of connections, including those being established."""
        return len(self._open) + len(self._connecting)

    # ------------------------------------------------ servers

    def update(
        self, number: int, address: Address, state: ServerState, started_ms: float, notified_ms: float
    ) -> None:
        """Apply an entry of the endpoint list.

        Args:
            number: Number of the server.
            address: Address on which the server listens.
            state: State of the server.
            started_ms: Start time of the server process in Unix milliseconds.
            notified_ms: Time in Unix milliseconds at which the entry counted as received.
        """
        server = self.servers.get(number)
        if server is None:
            if state is not ServerState.GONE:
                first_notice_ms = 0.0 if state is ServerState.READY else notified_ms
                self.servers[number] = UpstreamServer(number, address, state, started_ms, first_notice_ms)
            return
        same_process = server.update(address, state, started_ms, notified_ms)
        if not same_process or state is ServerState.GONE:
            self.close_idle(number)
        if state is ServerState.GONE:
            del self.servers[number]  # attempts to this server keep a reference and see its state

    def has_drain_grace_expired(self, server: UpstreamServer) -> bool:
        """Return whether a server's drain grace period is over, so that nothing new may be sent to it."""
        return bool(server.notified_ms) and self.clock.now_ms() >= server.notified_ms + self._drain_grace_ms

    # ------------------------------------------------ attempts

    def start(self, attempt: Attempt, timeout_ms: float) -> None:
        """Start an attempt on an idle connection, or on a new one if none can be reused.

        Args:
            attempt: The attempt to start.
            timeout_ms: Time allowed for the response. It runs from now, or for a streamed request, which
                always uses a new connection, from the time when all of the request has been sent.
        """
        attempt.timeout_ms = timeout_ms
        if attempt.flow is not None:
            self.start_on_new_connection(attempt)
            return
        attempt.timer = self.clock.call_after(timeout_ms, attempt.time_out)
        connection = self._take_idle(attempt.server)
        if connection is not None:
            if not attempt.write(connection):
                self.put(connection)
            return
        self.start_on_new_connection(attempt)

    def start_response_timeout(self, attempt: Attempt) -> None:
        """Start the timeout for the response to a streamed request, all of which has been sent."""
        if not attempt.ended:
            attempt.sent_ms = self.clock.now_ms()
            attempt.timer = self.clock.call_after(attempt.timeout_ms, attempt.time_out)

    def schedule_last_byte(self, callback: Callable[[], None]) -> None:
        """Schedule a callback for the time when a withheld last byte is due."""
        self.clock.call_after(self.LAST_BYTE_DELAY_MS, callback)

    def schedule_unsent_check(self, callback: Callable[[], None]) -> None:
        """Schedule a callback that checks a request of which only a part was accepted by the kernel."""
        self.clock.call_after(self.UNSENT_CHECK_INTERVAL_MS, callback)

    def start_on_new_connection(self, attempt: Attempt) -> None:
        """Open a connection and write an attempt's request to the connection.

        The attempt ends as CONNECT_FAILED if the limits on connections and descriptors forbid a new one.
        """
        if (
            self.connection_count >= self._max_connections and not self.close_longest_idle()
        ) or not self._descriptors.ensure_one_free():
            attempt.end(Outcome.CONNECT_FAILED)
            return
        task = asyncio.get_running_loop().create_task(self._connect(attempt))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, attempt: Attempt) -> None:
        connection = ServerConnection(self, attempt.server)
        try:
            async with asyncio.timeout(self._connect_timeout_ms / 1000.0):
                await asyncio.get_running_loop().create_connection(lambda: connection, *connection.address)
        except OSError:  # connection refused, unreachable, out of descriptors, or timeout
            attempt.end(Outcome.CONNECT_FAILED)
            return
        self._open.add(connection)
        if not connection.is_usable():
            self.on_connection_closed(connection)
            connection.abort()
            attempt.end(Outcome.CONNECT_FAILED)
        elif connection.server.state is ServerState.READY and not connection.leads_to_listed_process:
            # The server has restarted meanwhile: its new process may be warming up, and the attempt was not
            # decided for it.
            connection.abort()
            attempt.end(Outcome.DISCARDED)
        elif not attempt.write(connection):
            self.put(connection)

    # ------------------------------------------------ idle connections

    def _take_idle(self, server: UpstreamServer) -> ServerConnection | None:
        """Take the most recently used idle connection to a server that is not in its cooldown.

        Connections that turn out to be unusable during the search are closed.
        """
        idle = self._idle.get(server.number, [])
        now_ms = self.clock.now_ms()
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            unused_ms = now_ms - connection.idle_since_ms
            if connection.needs_cooldown and unused_ms < self.COOLDOWN_MS:
                continue
            del idle[index]
            if unused_ms < self._max_idle_ms and connection.is_usable():
                return connection
            connection.abort()
        return None

    def put(self, connection: ServerConnection) -> None:
        """Cache an idle connection for reuse, or close it if it no longer leads to a ready server."""
        server = connection.server
        is_listed = self.servers.get(server.number) is server and connection.leads_to_listed_process
        if not is_listed or connection not in self._open or server.state is not ServerState.READY:
            connection.abort()
            return
        connection.idle_since_ms = self.clock.now_ms()
        self._idle.setdefault(server.number, []).append(connection)
        if not self._is_sweeping:
            self._is_sweeping = True
            self.clock.call_after(self.SWEEP_INTERVAL_MS, self._sweep)

    def _sweep(self) -> None:
        """Close connections whose idle time is near the server's idle timeout."""
        oldest_ms = self.clock.now_ms() - self._max_idle_ms + self.SWEEP_INTERVAL_MS
        for number in list(self._idle):
            remaining = []
            for connection in self._idle[number]:
                if connection.idle_since_ms > oldest_ms:
                    remaining.append(connection)
                else:
                    connection.abort()
            if remaining:
                self._idle[number] = remaining
            else:
                del self._idle[number]
        self._is_sweeping = bool(self._idle)
        if self._is_sweeping:
            self.clock.call_after(self.SWEEP_INTERVAL_MS, self._sweep)

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle the longest; return False if none is idle."""
        idle = [connection for connections in self._idle.values() for connection in connections]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since_ms)
        self._idle[oldest.server.number].remove(oldest)
        self._open.discard(oldest)
        oldest.abort()
        return True

    def close_idle(self, number: int) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(number, []):
            connection.abort()

    def on_connection_closed(self, connection: ServerConnection) -> None:
        """Remove a closed connection from the pool."""
        self._open.discard(connection)
        idle = self._idle.get(connection.server.number)
        if idle and connection in idle:
            idle.remove(connection)

    # ------------------------------------------------ migration and shutdown

    def migrate_idle(self, successor: ConnectionPool) -> list[int]:
        """Migrate idle connections to another pool, for servers that it has at the same address.

        Args:
            successor: The pool that takes over the connections.

        Returns:
            Numbers of the servers that had idle connections in this pool and are ready in the successor.
        """
        numbers = []
        for number, idle in list(self._idle.items()):
            server = successor.servers.get(number)
            if server is None or server.state is not ServerState.READY:
                continue
            for connection in [candidate for candidate in idle if candidate.address == server.address]:
                idle.remove(connection)
                self._open.discard(connection)
                connection.migrate(successor, server)
                successor.adopt(connection)
            numbers.append(number)
        return numbers

    def adopt(self, connection: ServerConnection) -> None:
        """Take over an idle connection without changing the start of its idle period."""
        self._open.add(connection)
        idle_since_ms = connection.idle_since_ms
        self.put(connection)
        connection.idle_since_ms = idle_since_ms

    def close(self) -> None:
        """Close all connections and stop those being established."""
        self._descriptors.holders.pop(self, None)
        for task in list(self._connecting):
            task.cancel()
        for connection in list(self._open):
            connection.abort()
