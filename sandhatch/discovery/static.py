"""Source of an endpoint list that is part of the configuration.

The source makes no calls, and the list changes only with the configuration's version. Source:
docs/operators/configuration.md.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sandhatch.balancing.actions import WatchList
from sandhatch.balancing.events import ListKind, ServerEntry, ServerState
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.runtime.address import Address, format_address, server_label


@dataclass(slots=True, frozen=True)
class StaticServer:
    """One server of the configuration.

    Attributes:
        number: Number that identifies the server in this process.
        address: Address at which the server listens.
        state: Lifecycle state of the server.
        weight: Relative weight of the server.
        started_ms: Assumed start time in Unix milliseconds; 0 means long ago.
    """

    number: int
    address: Address
    state: ServerState
    weight: float
    started_ms: float


class StaticSource:
    """Publishes its endpoint list at the start and on request.

    Attributes:
        servers: Servers of the list.
    """

    def __init__(self, servers: Sequence[StaticServer], publish: Callable[[Listing], None]) -> None:
        """Create a source that has not started.

        Args:
            servers: Servers of the list.
            publish: Callback that receives each listing.
        """
        self.servers = tuple(servers)
        self._publish = publish

    def start(self) -> None:
        """Publish the list."""
        self.republish()

    def republish(self) -> None:
        """Publish the list again."""
        entries = tuple(
            ServerEntry(
                server=server.number,
                state=server.state,
                started_ms=server.started_ms,
                weight=server.weight,
                label=server_label(format_address(server.address)),
            )
            for server in self.servers
        )
        addresses = tuple(server.address for server in self.servers)
        self._publish(Listing(ListKind.FULL, 1, entries, addresses))

    def stop(self) -> None:
        """Do nothing: no call is pending."""

    def fetch(self) -> None:
        """Publish the list again."""
        self.republish()

    def watch(self, command: WatchList) -> None:
        """Do nothing: the list never changes."""
