"""Connection reuse: how long an idle connection is trusted, and whether a new one is expensive."""

from sandhatch.balancing.events import Outcome
from sandhatch.balancing.indexed_set import IndexedSet
from sandhatch.balancing.records import Attempt, Server
from sandhatch.balancing.settings import Settings

MEMORY = 1.0 / 8.0  # weight of a new sample in the running means
CROWDED = 0.25  # of the new connections refused at once: more than servers that died would explain
MIN_IDLE_LOSS = 0.1  # of attempts on idle connections: less than that says nothing
TRUST_GROWTH = 1.25  # factor of the trusted time, after a success and while new connections are expensive
EXPENSIVE = 0.15  # of the objective, by which attempts on new connections take longer


class ConnectionReuse:
    """The connections believed open, and the time for which an idle one is trusted.

    Guards against connections dropped silently while idle, on which a request is lost. A loss on an idle one
    halves the trusted time, a success after nearly that time lengthens it; longer idle ones are closed. New
    ones refused at once by many servers shorten it too: hundreds of instances fill their connection tables.
    """

    def __init__(self, settings: Settings) -> None:
        """Trust for as long as the settings allow."""
        self._settings = settings
        self._min_trusted_ms = settings.tick_ms
        self.trusted_ms = self._max_trusted_ms = settings.connection_idle_ms
        self._new_loss = 0.0  # of attempts on new connections, lost: what does not come of being idle
        self._idle_loss = 0.0  # the same of attempts on idle connections
        self._refused = 0.0  # of new connections, refused at once
        self._new_extra = 0.0  # time that attempts on new connections take beyond the mean, in objectives
        self._reused_extra = 0.0
        self._by_last_use: dict[int, Server] = {}  # connected ones, the longest unused first
        self.connected: IndexedSet[Server] = IndexedSet()

    @property
    def new_are_expensive(self) -> bool:
        """Whether attempts on new connections take clearly longer than those on open ones."""
        return self._new_extra - self._reused_extra > EXPENSIVE

    def idle_ms(self, server: Server, now_ms: float) -> float | None:
        """Return for how long its connection has been idle; None if an attempt has to open one."""
        if not server.connected:
            return None
        return 0.0 if server.outstanding else now_ms - server.last_used_ms

    def use(self, server: Server, now_ms: float) -> None:
        """Record that its connection carries something."""
        server.last_used_ms = now_ms
        server.connected = True
        self._by_last_use.pop(server.id, None)
        self._by_last_use[server.id] = server
        self.connected.add(server)

    def drop(self, server: Server) -> None:
        """Record that no connection is open."""
        server.connected = False
        self._by_last_use.pop(server.id, None)
        self.connected.discard(server)

    def expired(self, now_ms: float) -> Server | None:
        """Return the server with the longest unused connection, if that is past its trusted time."""
        if self._new_extra - self._reused_extra > EXPENSIVE and self._refused < CROWDED:
            return None  # it may yet be used
        server = next(iter(self._by_last_use.values()), None)
        if server is None or now_ms - server.last_used_ms <= self.trusted_ms:
            return None
        if server.outstanding:
            self.use(server, now_ms)  # in use now: looked at again later
            return None
        return server

    def record_outcome(self, attempt: Attempt, spent_ms: float, mean_ms: float, objective_ms: float) -> None:
        """Learn from the end of an attempt; `mean_ms` is that of its class's answers."""
        if self.new_are_expensive:  # too short a trusted time is costly: see whether it may be longer
            self.trusted_ms = min(self._max_trusted_ms, TRUST_GROWTH * self.trusted_ms)
        if attempt.connection_idle_ms is None:
            self._record_new(attempt, spent_ms, mean_ms, objective_ms)
        else:
            extra = (spent_ms - mean_ms) / objective_ms
            self._record_reused(attempt.outcome, attempt.connection_idle_ms, extra)

    def _record_new(self, attempt: Attempt, spent_ms: float, mean_ms: float, objective_ms: float) -> None:
        outcome = attempt.outcome
        lost = outcome is Outcome.RESET or outcome is Outcome.TIMEOUT
        refused = outcome is Outcome.CONNECT_FAILED and spent_ms < 0.5 * self._settings.connect_timeout_ms
        self._refused += MEMORY * (refused - self._refused)
        if refused and self._refused > CROWDED:
            self.trusted_ms = max(self._min_trusted_ms, 0.5 * min(self.trusted_ms, objective_ms))
        self._new_loss += MEMORY * (lost - self._new_loss)
        if outcome is Outcome.OK or (outcome is Outcome.CONNECT_FAILED and not refused):
            extra = (spent_ms - mean_ms if outcome is Outcome.OK else spent_ms) / objective_ms
            self._new_extra += MEMORY * (extra - self._new_extra)

    def _record_reused(self, outcome: Outcome | None, idle_ms: float, extra: float) -> None:
        lost = outcome is Outcome.RESET or outcome is Outcome.TIMEOUT
        if idle_ms > self._min_trusted_ms:
            weight = 0.5 if outcome is Outcome.TIMEOUT else 1.0  # a slow answer may be the reason
            self._idle_loss += MEMORY * (weight * lost - self._idle_loss)
        if outcome is Outcome.OK:
            self._reused_extra += MEMORY * (extra - self._reused_extra)
            if idle_ms > 0.5 * self.trusted_ms:
                self.trusted_ms = min(self._max_trusted_ms, TRUST_GROWTH * self.trusted_ms)
        elif lost and self._idle_loss > 2.0 * self._new_loss + MIN_IDLE_LOSS:
            self.trusted_ms = max(self._min_trusted_ms, 0.5 * min(self.trusted_ms, idle_ms))
