"""A list of servers that stands in the configuration. It changes only with a version."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sandhatch.balancing.actions import WatchList
from sandhatch.balancing.events import ListKind, ServerEntry, ServerState
from sandhatch.discovery.client import Listing
from sandhatch.runtime.address import Address, label_of, spell


@dataclass(slots=True, frozen=True)
class StaticServer:
    number: int
    address: Address
    state: ServerState
    weight: float
    started_ms: float  # Unix time; 0 stands for long ago


class StaticSource:
    """Tells its list once it is started, and whenever it is asked."""

    def __init__(self, servers: Sequence[StaticServer], tell: Callable[[Listing], None]) -> None:
        self.servers = tuple(servers)
        self._tell = tell

    def start(self) -> None:
        self.republish()

    def republish(self) -> None:
        entries = tuple(
            ServerEntry(
                item.number, item.state, item.started_ms, item.weight, label=label_of(spell(item.address))
            )
            for item in self.servers
        )
        addresses = tuple(item.address for item in self.servers)
        self._tell(Listing(ListKind.FULL, 1, entries, addresses))

    def stop(self) -> None:
        """Nothing is on its way."""

    def fetch(self) -> None:
        self.republish()

    def watch(self, order: WatchList) -> None:
        """It never changes."""
