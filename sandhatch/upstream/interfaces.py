"""Interfaces through which a connection to a server uses the pool that has opened it.

Types only: nothing here holds state or does I/O. Source: PROTOCOL-sandhatch.md, "Balancers to upstreams".
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from sandhatch.runtime.clock import Clock
from sandhatch.runtime.memory_budget import MemoryBudget
from sandhatch.upstream.attempt import Attempt

ConnectionT = TypeVar("ConnectionT", contravariant=True)


class ConnectionResources(Protocol):
    """What a connection shares with all others.

    Attributes:
        clock: Clock of the process.
        memory_budget: Memory budget shared by all connections of the process.
    """

    clock: Clock
    memory_budget: MemoryBudget


class ConnectionOwner(ConnectionResources, Protocol[ConnectionT]):
    """The pool of a connection; implemented by `sandhatch.upstream.connection_pool.ConnectionPool`."""

    def put(self, connection: ConnectionT) -> None:
        """Cache an idle connection for reuse, or close it if it no longer leads to a ready server."""

    def on_connection_closed(self, connection: ConnectionT) -> None:
        """Remove a closed connection from the pool."""

    def start_on_new_connection(self, attempt: Attempt) -> None:
        """Open a connection and write an attempt's request to the connection."""

    def schedule_last_byte(self, callback: Callable[[], None]) -> None:
        """Schedule a callback for the time when a withheld last byte is due."""

    def schedule_unsent_check(self, callback: Callable[[], None]) -> None:
        """Schedule a callback that checks a request of which only a part was accepted by the kernel."""
