"""Applies endpoint lists to a pool's connections, and says what the balancer is to see of them.

While a newer configuration withdraws servers, they count as draining whatever the source says. It fetches no
list and decides on no server. Source: PROTOCOL-sandhatch.md, "Discovery".
"""

from __future__ import annotations

import math
from dataclasses import replace

from sandhatch.balancing.endpoint_freshness import notified_after_ms
from sandhatch.balancing.events import ListKind, ServerEntry, ServerState
from sandhatch.balancing.settings import Settings
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.upstream.connection_pool import ConnectionPool


class EndpointUpdates:
    """The endpoint list of one pool, as last published by its source.

    Attributes:
        current_since_ms: when the source last published an answer that was current, in Unix milliseconds;
            infinite before the first listing.
    """

    def __init__(self, settings: Settings, connection_pool: ConnectionPool) -> None:
        """Create the state before the first list.

        Args:
            settings: say after how long a change counts as received.
            connection_pool: the table of servers that is kept up to date.
        """
        self.current_since_ms = math.inf
        self._connection_pool = connection_pool
        self._entries: dict[int, ServerEntry] = {}  # by server
        self._notified_after_ms = notified_after_ms(settings) if settings.one_shot_watches else math.inf
        self._retained_servers: frozenset[int] | None = None  # that may be sent to; None stands for all

    @property
    def has_ready_server(self) -> bool:
        """Whether any server of the list is ready."""
        return any(server.state is ServerState.READY for server in self._connection_pool.table.values())

    def apply(self, listing: Listing, now_ms: float) -> Listing:
        """Apply a listing to the connections.

        Args:
            listing: as the source published it.
            now_ms: the present time, in Unix milliseconds.

        Returns:
            The listing as the balancer is to see it.
        """
        if self._retained_servers is not None:
            listing = self._drain_withdrawn(listing, self._retained_servers)
        # A grace period runs from when its notice counted as received: before it came, if the list is old.
        notified_ms = min(now_ms, self.current_since_ms + self._notified_after_ms)
        if self.current_since_ms == math.inf or listing.kind in (ListKind.FULL, ListKind.DELTA):
            self.current_since_ms = now_ms
        if listing.kind in (ListKind.FULL, ListKind.CACHED):
            self._remove_absent(listing, notified_ms)
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            self._entries[entry.server] = entry
            self._connection_pool.update(entry.server, address, entry.state, entry.started_ms, notified_ms)
        return listing

    def _remove_absent(self, listing: Listing, notified_ms: float) -> None:
        """Remove the servers that a complete list does not name."""
        listed = {entry.server for entry in listing.entries}
        for server in list(self._connection_pool.table.values()):
            if server.number not in listed:
                self._connection_pool.update(
                    server.number, server.address, ServerState.GONE, server.started_ms, notified_ms
                )
        self._entries = {number: entry for number, entry in self._entries.items() if number in listed}

    def snapshot(self) -> Listing:
        """Return the present list, complete."""
        table = self._connection_pool.table
        entries = tuple(entry for entry in self._entries.values() if entry.server in table)
        addresses = tuple(table[entry.server].address for entry in entries)
        return Listing(ListKind.FULL, 0, entries, addresses)

    def withdraw(self, retained_servers: frozenset[int], notified_ms: float) -> list[ServerEntry]:
        """Drain all servers but some, now and in what the source publishes, until `restore`.

        Args:
            retained_servers: the servers that may still be sent to.
            notified_ms: when the notice of it counted as received, in Unix milliseconds.

        Returns:
            The entries that have changed.
        """
        self._retained_servers = retained_servers
        drained = []
        for server in list(self._connection_pool.table.values()):
            if server.state is ServerState.READY and server.number not in retained_servers:
                self._connection_pool.update(
                    server.number, server.address, ServerState.DRAINING, server.started_ms, notified_ms
                )
                drained.append(replace(self._entries[server.number], state=ServerState.DRAINING))
        return drained

    def restore(self) -> bool:
        """End what `withdraw` began; return whether any servers were withdrawn."""
        withdrawn = self._retained_servers is not None
        self._retained_servers = None
        return withdrawn

    @staticmethod
    def _drain_withdrawn(listing: Listing, retained_servers: frozenset[int]) -> Listing:
        """Return the listing with the ready servers that are not kept as draining."""
        entries = tuple(
            entry
            if entry.server in retained_servers or entry.state is not ServerState.READY
            else replace(entry, state=ServerState.DRAINING)
            for entry in listing.entries
        )
        return replace(listing, entries=entries)
