"""Numbers of servers, and since when the configuration lists them. No I/O and no clock.

Both outlast a version, so that a server that moves from one pool to another keeps its number and does not
warm up again.
"""

from __future__ import annotations

from sandhatch.discovery.client import Names


class ServerRegistry:
    """Servers by address, over all versions and pools of a process."""

    def __init__(self) -> None:
        """Start without any server."""
        self.names = Names((), ())
        self._listed_since_ms: dict[str, float] = {}
        self._name_by_number: dict[int, str] = {}

    def number(self, address: str) -> int:
        """The number of the server at `host:port`; a new one if the address is new."""
        return self.names.server(address)

    def name(self, number: int) -> str:
        """The server's name in logs: its address, or the id that discovery gave it."""
        name = self._name_by_number.get(number)
        if name is None:
            self._name_by_number = {number: name for name, number in self.names.known()}
            name = self._name_by_number.get(number, str(number))
        return name

    def listed_since_ms(self, address: str, now_ms: float) -> float:
        """When the address was first listed, in Unix milliseconds; `now_ms` if it is new.

        0 means that it was listed before the process started.
        """
        return self._listed_since_ms.setdefault(address, now_ms)

    def retain(self, addresses: set[str]) -> None:
        """Forget the other addresses: one that returns later may be another process."""
        self._listed_since_ms = {
            address: since_ms for address, since_ms in self._listed_since_ms.items() if address in addresses
        }
