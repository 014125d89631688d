"""A pool's servers, its connections to them, and the limit on its sockets.

It starts attempts on the servers that it is given and keeps idle connections for reuse. It never chooses a
server and never retries. Source: PROTOCOL-sandhatch.md, "Balancers to upstreams" (connections closed when
idle, the grace period of a draining server).
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
    """The limits of one pool's connections.

    Attributes:
        sockets: the most connections to its servers.
        idle_ms: how long a server keeps an idle connection open.
        connect_timeout_ms: how long a connection may take to come up.
        drain_grace_ms: from the notice that a server drains to the last request that may still go there.
    """

    sockets: int
    idle_ms: float
    connect_timeout_ms: float
    drain_grace_ms: float


class ConnectionPool:
    """The table of servers, the connections to them, and the attempts on these.

    Attributes:
        clock: the process's clock.
        memory_budget: the memory that all connections of the process share.
        table: the servers of the endpoint list, by number.
    """

    SWEEP_MS = 1_000.0
    # After an attempt's answer a connection takes no new attempt for so long, and what arrives in that time
    # closes it: guards against a repeated answer, or noise, that arrives one read later and would be taken
    # for the answer to the next request. A probe comes just before an attempt, so its connection does not
    # rest: there an answer that repeats the probe's is recognized by its body.
    COOLDOWN_MS = 25.0
    # On a connection used before, the last byte of a request is written so much later: a server that closed
    # the connection unseen resets it on the first bytes, an incomplete request has not run, and it goes out
    # on a new connection. Guards non-idempotent requests, which nobody may retry after a reset.
    LAST_BYTE_DELAY_MS = 2.0
    CONNECT_MARGIN_MS = 100.0  # off the drain's grace period, for lists that are read late
    IDLE_MARGIN_MS = 5_000.0  # at most, before the server closes an idle connection
    IDLE_MARGIN_FRACTION = 0.2  # the same, as a part of the time that the server keeps it

    def __init__(
        self,
        clock: Clock,
        memory_budget: MemoryBudget,
        descriptors: DescriptorBudget,
        limits: ConnectionLimits,
    ) -> None:
        """Create an empty pool.

        Args:
            clock: the process's clock.
            memory_budget: the memory that all connections of the process share.
            descriptors: the descriptors that all pools of the process share.
            limits: the limits of this pool.
        """
        self.clock = clock
        self._descriptors = descriptors
        descriptors.holders[self] = None
        self.memory_budget = memory_budget
        self._budget = limits.sockets
        # Guards against writing to a connection in the moment when the server closes it as idle.
        margin_ms = min(self.IDLE_MARGIN_MS, self.IDLE_MARGIN_FRACTION * limits.idle_ms)
        self._reuse_within_ms = limits.idle_ms - margin_ms
        self._connect_timeout_ms = limits.connect_timeout_ms
        self._grace_ms = max(0.0, limits.drain_grace_ms - self.CONNECT_MARGIN_MS)
        self.table: dict[int, UpstreamServer] = {}
        self._idle: dict[int, list[ServerConnection]] = {}  # by server, the one used last at the end
        self._open: set[ServerConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._sweeping = False

    @property
    def sockets(self) -> int:
        """The number of connections, those that are coming up included."""
        return len(self._open) + len(self._connecting)

    # ------------------------------------------------ servers

    def update(
        self, number: int, address: Address, state: ServerState, started_ms: float, notified_ms: float
    ) -> None:
        """Apply a row of the endpoint list.

        Args:
            number: the server's number.
            address: where it listens.
            state: its state.
            started_ms: when its process started, in Unix milliseconds.
            notified_ms: when the row counted as received, in Unix milliseconds.
        """
        server = self.table.get(number)
        if server is None:
            if state is not ServerState.GONE:
                first_notice_ms = 0.0 if state is ServerState.READY else notified_ms
                self.table[number] = UpstreamServer(number, address, state, started_ms, first_notice_ms)
            return
        same_process = server.update(address, state, started_ms, notified_ms)
        if not same_process or state is ServerState.GONE:
            self.close_idle(number)
        if state is ServerState.GONE:
            del self.table[number]  # attempts on their way to it hold it, and see its state

    def grace_expired(self, server: UpstreamServer) -> bool:
        """Return whether nothing new may go to a server any more."""
        return bool(server.notified_ms) and self.clock.now_ms() >= server.notified_ms + self._grace_ms

    # ------------------------------------------------ attempts

    def start(self, attempt: Attempt, timeout_ms: float) -> None:
        """Start an attempt, on an idle connection or a new one.

        Args:
            attempt: the attempt.
            timeout_ms: how long its answer is awaited: from now, or for a streamed request, which always gets
                a new connection, from when all of it has been sent.
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
        """Await the answer to a streamed request, now that all of it has been sent."""
        if not attempt.ended:
            attempt.sent_ms = self.clock.now_ms()
            attempt.timer = self.clock.call_after(attempt.timeout_ms, attempt.time_out)

    def later(self, callback: Callable[[], None]) -> None:
        """Call back when a withheld last byte is due."""
        self.clock.call_after(self.LAST_BYTE_DELAY_MS, callback)

    def start_on_new_connection(self, attempt: Attempt) -> None:
        """Open a connection and write an attempt's request there; the attempt fails if none may be opened."""
        if (
            self.sockets >= self._budget and not self.close_oldest()
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
        except OSError:  # refused, unreachable, out of descriptors, or not up in time
            attempt.end(Outcome.CONNECT_FAILED)
            return
        self._open.add(connection)
        if not connection.usable():
            self.on_connection_closed(connection)
            connection.abort()
            attempt.end(Outcome.CONNECT_FAILED)
        elif not attempt.write(connection):
            self.put(connection)

    # ------------------------------------------------ idle connections

    def _take_idle(self, server: UpstreamServer) -> ServerConnection | None:
        """Take the idle connection to a server that was used last, and close those found unusable."""
        idle = self._idle.get(server.number, [])
        now_ms = self.clock.now_ms()
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            unused_ms = now_ms - connection.idle_since_ms
            if connection.needs_cooldown and unused_ms < self.COOLDOWN_MS:
                continue
            del idle[index]
            if unused_ms < self._reuse_within_ms and connection.usable():
                return connection
            connection.abort()
        return None

    def put(self, connection: ServerConnection) -> None:
        """Keep a connection for reuse, if it still leads to a server that takes new requests."""
        server = connection.server
        leads_to_server = (
            self.table.get(server.number) is server
            and server.address == connection.address
            and server.started_ms == connection.started_ms
        )
        if not leads_to_server or connection not in self._open or server.state is not ServerState.READY:
            connection.abort()
            return
        connection.idle_since_ms = self.clock.now_ms()
        self._idle.setdefault(server.number, []).append(connection)
        if not self._sweeping:
            self._sweeping = True
            self.clock.call_after(self.SWEEP_MS, self._sweep)

    def _sweep(self) -> None:
        """Close connections that have been idle for nearly as long as the server keeps them."""
        oldest_ms = self.clock.now_ms() - self._reuse_within_ms + self.SWEEP_MS
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
        self._sweeping = bool(self._idle)
        if self._sweeping:
            self.clock.call_after(self.SWEEP_MS, self._sweep)

    def close_oldest(self) -> bool:
        """Close the connection that has been idle for longest; return False if none is idle."""
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
        """Forget a connection."""
        self._open.discard(connection)
        idle = self._idle.get(connection.server.number)
        if idle and connection in idle:
            idle.remove(connection)

    # ------------------------------------------------ succession and end of the pool

    def migrate_idle(self, successor: ConnectionPool) -> list[int]:
        """Give the idle connections to another pool, where that has the same server at the same address.

        Returns:
            The numbers of the servers that had idle connections here and are ready there.
        """
        numbers = []
        for number, idle in list(self._idle.items()):
            server = successor.table.get(number)
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
        """Take over an idle connection, which stays idle since the same time."""
        self._open.add(connection)
        idle_since_ms = connection.idle_since_ms
        self.put(connection)
        connection.idle_since_ms = idle_since_ms

    def close(self) -> None:
        """Close all connections, at the end of the pool."""
        self._descriptors.holders.pop(self, None)
        for task in list(self._connecting):
            task.cancel()
        for connection in list(self._open):
            connection.abort()
