"""The servers of one tier and their tokens; in the PULL policy a token marks a server believed to be idle."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import chain

from sandhatch.balancing.events import ListKind, ListUpdate, ServerEntry, ServerState
from sandhatch.balancing.indexed_set import IndexedSet
from sandhatch.balancing.records import ListChange, Server


class ServerList:
    """The endpoint list, with the ready servers and the servers with a token, by zone."""

    def __init__(self, zones: int) -> None:
        """Start with no servers."""
        self.servers: dict[int, Server] = {}
        self.ready = [IndexedSet[Server]() for _ in range(zones)]
        self.tokens = [IndexedSet[Server]() for _ in range(zones)]
        self.ready_count = 0
        self.ejected_count = 0
        self.in_flight = 0  # this instance's attempts in flight, including those at removed servers
        # Heap of servers whose token is withheld, by the time at which it is returned.
        self._withheld: list[tuple[float, int, Server]] = []
        self._sequence = 0  # tie-breaker of heap entries, as servers can't be compared

    @property
    def is_oversubscribed(self) -> bool:
        """Whether this instance has more attempts in flight than there are ready servers."""
        return self.in_flight > self.ready_count

    def iter_ready(self, zone: int | None = None) -> Iterator[Server]:
        """Yield the ready servers of one zone, or of all zones."""
        parts = self.ready if zone is None else [self.ready[zone]]
        return chain.from_iterable(part.items for part in parts)

    def update(self, update: ListUpdate) -> ListChange:
        """Apply a complete endpoint list or a delta."""
        change = ListChange()
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            listed = {entry.server for entry in update.entries}
            for server in [s for s in self.servers.values() if s.id not in listed]:
                self._remove(server, change)
        for entry in update.entries:
            known = self.servers.get(entry.server)
            # A restarted process is a new server and does not inherit its predecessor's state.
            restarted = known and (known.started_ms != entry.started_ms or known.zone != entry.zone)
            if known is not None and (restarted or entry.state is ServerState.GONE):
                self._remove(known, change)
            if entry.state is not ServerState.GONE:
                self._apply(entry, change)
        self.ready_count = sum(map(len, self.ready))
        return change

    def _apply(self, entry: ServerEntry, change: ListChange) -> None:
        server = self.servers.get(entry.server)
        if server is None:
            server = self.servers[entry.server] = Server.from_entry(entry)
            change.added.append(server)
        server.state = entry.state
        server.cell = entry.cell
        if entry.state is ServerState.READY:
            self._zone_set(self.ready, server).add(server)
        else:  # a draining server is not drawn from now on
            self._zone_set(self.ready, server).discard(server)
            self.remove_token(server)

    def _remove(self, server: Server, change: ListChange) -> None:
        server.state = ServerState.GONE
        self._end_ejection(server)
        self._zone_set(self.ready, server).discard(server)
        self.remove_token(server)
        del self.servers[server.id]
        change.removed.append(server)

    @staticmethod
    def _zone_set(sets: list[IndexedSet[Server]], server: Server) -> IndexedSet[Server]:
        while server.zone >= len(sets):  # the server's zone is beyond the number of zones in the settings
            sets.append(IndexedSet())
        return sets[server.zone]

    def update_token(self, server: Server, now_ms: float) -> None:
        """Give a ready server its token if it has no own attempts and the token is not withheld."""
        self.remove_token(server)
        if server.outstanding or server.withheld_until_ms > now_ms:
            return
        if server.state is ServerState.READY:
            server.has_token = True
            self._zone_set(self.tokens, server).add(server)

    def remove_token(self, server: Server) -> None:
        """Remove the server's token, if it has one."""
        if server.has_token:
            self._zone_set(self.tokens, server).discard(server)
            server.has_token = False

    def withhold_token(self, server: Server, until_ms: float) -> None:
        """Withhold the token until this time, or until a later time set before."""
        self.remove_token(server)
        if until_ms > server.withheld_until_ms:
            server.withheld_until_ms = until_ms
            self._sequence += 1
            heappush(self._withheld, (until_ms, self._sequence, server))

    def release_withheld_tokens(self, now_ms: float) -> None:
        """Give withheld tokens that are due back to their servers, and end the ejections of these servers."""
        while self._withheld and self._withheld[0][0] <= now_ms:
            server = heappop(self._withheld)[2]
            if server.withheld_until_ms <= now_ms:
                self._end_ejection(server)
            self.update_token(server, now_ms)

    def eject(self, server: Server, until_ms: float) -> None:
        """Withhold the token, and count the server as ejected until the token is returned."""
        self.ejected_count += not server.ejected
        server.ejected = True
        self.withhold_token(server, until_ms)

    def _end_ejection(self, server: Server) -> None:
        self.ejected_count -= server.ejected
        server.ejected = False
