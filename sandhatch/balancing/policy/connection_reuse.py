"""Connection reuse: the maximum idle time of a reused connection, and whether connecting is expensive."""

from sandhatch.balancing.events import Outcome
from sandhatch.balancing.indexed_set import IndexedSet
from sandhatch.balancing.records import Attempt, Server
from sandhatch.balancing.settings import Settings

EWMA_WEIGHT = 1.0 / 8.0  # weight of a new sample in the running means
MAX_REFUSED_FRACTION = 0.25  # refused fraction of new connections; more than failed servers would explain
MIN_IDLE_LOSS_RATE = 0.1  # loss rate on idle connections; below it, losses carry no information
IDLE_LIMIT_GROWTH = 1.25  # growth factor of the idle limit, on success and while connecting is expensive
EXPENSIVE_CONNECT_FRACTION = 0.15  # extra latency on new connections, as a fraction of the objective


class ConnectionReuse:
    """The connections believed to be open, and the idle time after which they are closed.

    Connections that were dropped silently while idle lose the next request that is sent on them. A loss on an
    idle connection halves the idle limit; a success after more than half of the limit raises it. Connections
    idle for longer than the limit are closed. The limit is also lowered when many servers refuse new
    connections at once, which happens when hundreds of instances fill the servers' connection tables.

    Attributes:
        idle_limit_ms: Maximum idle time of a connection that is reused.
        connected: Servers with a connection that is believed to be open.
    """

    def __init__(self, settings: Settings) -> None:
        """Start with the longest idle time that the settings allow."""
        self._settings = settings
        self._min_idle_limit_ms = settings.tick_ms
        self.idle_limit_ms = self._max_idle_limit_ms = settings.connection_idle_ms
        # Fraction of attempts on new connections that are reset or time out: losses not due to idleness.
        self._new_loss_rate = 0.0
        self._idle_loss_rate = 0.0  # fraction of attempts on idle connections that were lost
        self._refused_fraction = 0.0  # fraction of new connections that is refused at once
        # Time beyond the mean latency that attempts take on new and on reused connections, as a fraction of
        # their class's latency objective.
        self._new_excess = 0.0
        self._reused_excess = 0.0
        self._by_last_use: dict[int, Server] = {}  # connected servers, least recently used first
        self.connected: IndexedSet[Server] = IndexedSet()

    @property
    def is_connecting_expensive(self) -> bool:
        """Whether attempts on new connections take clearly longer than those on open connections."""
        return self._new_excess - self._reused_excess > EXPENSIVE_CONNECT_FRACTION

    def idle_ms(self, server: Server, now_ms: float) -> float | None:
        """Return how long the server's connection has been idle; None if an attempt has to open one."""
        if not server.connected:
            return None
        return 0.0 if server.outstanding else now_ms - server.last_used_ms

    def mark_used(self, server: Server, now_ms: float) -> None:
        """Record that the server's connection is open and was just used."""
        server.last_used_ms = now_ms
        server.connected = True
        self._by_last_use.pop(server.id, None)
        self._by_last_use[server.id] = server
        self.connected.add(server)

    def mark_closed(self, server: Server) -> None:
        """Record that no connection to the server is open."""
        server.connected = False
        self._by_last_use.pop(server.id, None)
        self.connected.discard(server)

    def find_expired(self, now_ms: float) -> Server | None:
        """Return the server with the least recently used connection if its idle time exceeds the limit."""
        if (
            self._new_excess - self._reused_excess > EXPENSIVE_CONNECT_FRACTION
            and self._refused_fraction < MAX_REFUSED_FRACTION
        ):
            return None  # keep idle connections while reconnecting is expensive and rarely refused
        server = next(iter(self._by_last_use.values()), None)
        if server is None or now_ms - server.last_used_ms <= self.idle_limit_ms:
            return None
        if server.outstanding:
            self.mark_used(server, now_ms)  # an attempt is using the connection; it is checked again later
            return None
        return server

    def record_outcome(self, attempt: Attempt, spent_ms: float, mean_ms: float, objective_ms: float) -> None:
        """Update the estimates with the outcome of an attempt.

        Args:
            attempt: The attempt that has ended.
            spent_ms: Time from its send to its end.
            mean_ms: Mean latency of its request class.
            objective_ms: Latency objective of its request class.
        """
        if self.is_connecting_expensive:  # a low idle limit causes reconnects, so a higher one is tried
            self.idle_limit_ms = min(self._max_idle_limit_ms, IDLE_LIMIT_GROWTH * self.idle_limit_ms)
        if attempt.connection_idle_ms is None:
            self._record_new(attempt, spent_ms, mean_ms, objective_ms)
        else:
            excess = (spent_ms - mean_ms) / objective_ms
            self._record_reused(attempt.outcome, attempt.connection_idle_ms, excess)

    def _record_new(self, attempt: Attempt, spent_ms: float, mean_ms: float, objective_ms: float) -> None:
        outcome = attempt.outcome
        lost = outcome is Outcome.RESET or outcome is Outcome.TIMEOUT
        refused = outcome is Outcome.CONNECT_FAILED and spent_ms < 0.5 * self._settings.connect_timeout_ms
        self._refused_fraction += EWMA_WEIGHT * (refused - self._refused_fraction)
        if refused and self._refused_fraction > MAX_REFUSED_FRACTION:
            self.idle_limit_ms = max(self._min_idle_limit_ms, 0.5 * min(self.idle_limit_ms, objective_ms))
        self._new_loss_rate += EWMA_WEIGHT * (lost - self._new_loss_rate)
        if outcome is Outcome.OK or (outcome is Outcome.CONNECT_FAILED and not refused):
            excess = (spent_ms - mean_ms if outcome is Outcome.OK else spent_ms) / objective_ms
            self._new_excess += EWMA_WEIGHT * (excess - self._new_excess)

    def _record_reused(self, outcome: Outcome | None, idle_ms: float, excess: float) -> None:
        lost = outcome is Outcome.RESET or outcome is Outcome.TIMEOUT
        if idle_ms > self._min_idle_limit_ms:
            # A time-out may also be a slow response on a live connection.
            weight = 0.5 if outcome is Outcome.TIMEOUT else 1.0
            self._idle_loss_rate += EWMA_WEIGHT * (weight * lost - self._idle_loss_rate)
        if outcome is Outcome.OK:
            self._reused_excess += EWMA_WEIGHT * (excess - self._reused_excess)
            if idle_ms > 0.5 * self.idle_limit_ms:
                self.idle_limit_ms = min(self._max_idle_limit_ms, IDLE_LIMIT_GROWTH * self.idle_limit_ms)
        elif lost and self._idle_loss_rate > 2.0 * self._new_loss_rate + MIN_IDLE_LOSS_RATE:
            self.idle_limit_ms = max(self._min_idle_limit_ms, 0.5 * min(self.idle_limit_ms, idle_ms))
