"""Applies endpoint lists to a pool's connections, and produces the listings for its balancer.

Servers that a newer configuration has withdrawn count as draining even if the source lists them as ready.
Lists are fetched by `sandhatch.discovery`, and servers are chosen by the balancer. Source:
PROTOCOL-sandhatch.md, "Discovery".
"""

from __future__ import annotations

import math
from dataclasses import replace

from sandhatch.balancing.endpoint_freshness import list_age_bound_ms
from sandhatch.balancing.events import ListKind, ServerEntry, ServerState
from sandhatch.balancing.settings import Settings
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.upstream.connection_pool import ConnectionPool


class EndpointUpdates:
    """The endpoint list of one pool, as last published by its source.

    Attributes:
        current_since_ms: Time in Unix milliseconds at which the source last published a FULL or DELTA
            listing, or its first listing of any kind; infinite before the first listing.
    """

    def __init__(self, settings: Settings, connection_pool: ConnectionPool) -> None:
        """Create the state of a pool that has received no endpoint list yet.

        Args:
            settings: Settings that determine how old a list may be before its changes count as received.
            connection_pool: The connection pool whose table of servers is updated.
        """
        self.current_since_ms = math.inf
        self._connection_pool = connection_pool
        self._entry_by_server: dict[int, ServerEntry] = {}  # entries of the list, by server number
        self._list_age_bound_ms = list_age_bound_ms(settings) if settings.one_shot_watches else math.inf
        # Numbers of the servers that are not withdrawn; None if no withdrawal is in force.
        self._retained_servers: frozenset[int] | None = None

    @property
    def has_ready_server(self) -> bool:
        """Whether any server of the list is ready."""
        return any(server.state is ServerState.READY for server in self._connection_pool.servers.values())

    def apply(self, listing: Listing, now_ms: float) -> Listing:
        """Apply a listing to the servers and connections of the pool.

        Args:
            listing: The listing as published by the source.
            now_ms: Present time in Unix milliseconds.

        Returns:
            The listing for the balancer.
        """
        if self._retained_servers is not None:
            listing = self._drain_withdrawn(listing, self._retained_servers)
        # A server's drain grace period starts when the notice of draining counts as received, which is
        # before the notice arrives if the list is old.
        notified_ms = min(now_ms, self.current_since_ms + self._list_age_bound_ms)
        if self.current_since_ms == math.inf or listing.kind in (ListKind.FULL, ListKind.DELTA):
            self.current_since_ms = now_ms
        if listing.kind in (ListKind.FULL, ListKind.CACHED):
            self._remove_absent(listing, notified_ms)
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            self._entry_by_server[entry.server] = entry
            self._connection_pool.update(entry.server, address, entry.state, entry.started_ms, notified_ms)
        return listing

    def _remove_absent(self, listing: Listing, notified_ms: float) -> None:
        """Remove the servers that a complete list does not contain."""
        listed = {entry.server for entry in listing.entries}
        for server in list(self._connection_pool.servers.values()):
            if server.number not in listed:
                self._connection_pool.update(
                    server.number, server.address, ServerState.GONE, server.started_ms, notified_ms
                )
        self._entry_by_server = {
            number: entry for number, entry in self._entry_by_server.items() if number in listed
        }

    def snapshot(self) -> Listing:
        """Return the present endpoint list as a complete listing."""
        servers = self._connection_pool.servers
        entries = tuple(entry for entry in self._entry_by_server.values() if entry.server in servers)
        addresses = tuple(servers[entry.server].address for entry in entries)
        return Listing(ListKind.FULL, 0, entries, addresses)

    def withdraw(self, retained_servers: frozenset[int], notified_ms: float) -> list[ServerEntry]:
        """Drain all servers except the retained ones, now and in later listings, until `restore` is called.

        Args:
            retained_servers: Numbers of the servers that may still receive requests.
            notified_ms: Time in Unix milliseconds at which notice of the withdrawal counted as received.

        Returns:
            The changed entries of the endpoint list.
        """
        self._retained_servers = retained_servers
        drained = []
        for server in list(self._connection_pool.servers.values()):
            if server.state is ServerState.READY and server.number not in retained_servers:
                self._connection_pool.update(
                    server.number, server.address, ServerState.DRAINING, server.started_ms, notified_ms
                )
                drained.append(replace(self._entry_by_server[server.number], state=ServerState.DRAINING))
        return drained

    def restore(self) -> bool:
        """Undo `withdraw`; return whether a withdrawal was in force."""
        withdrawn = self._retained_servers is not None
        self._retained_servers = None
        return withdrawn

    @staticmethod
    def _drain_withdrawn(listing: Listing, retained_servers: frozenset[int]) -> Listing:
        """Return the listing with those ready servers marked as draining that are not retained."""
        entries = tuple(
            entry
            if entry.server in retained_servers or entry.state is not ServerState.READY
            else replace(entry, state=ServerState.DRAINING)
            for entry in listing.entries
        )
        return replace(listing, entries=entries)
