"""Numbers of servers, and the time since which the configuration lists them. No I/O and no clock.

Both are retained across versions, so that a server that moves from one pool to another has the same number as
before and does not warm up again.
"""

from __future__ import annotations

from sandhatch.discovery.numbering import EndpointNumbering


class ServerRegistry:
    """Servers by address, across all versions and pools of a process."""

    def __init__(self) -> None:
        """Start without any server."""
        self.names = EndpointNumbering((), ())
        self._listed_since_ms: dict[str, float] = {}
        self._name_by_number: dict[int, str] = {}

    def number(self, address: str) -> int:
        """Return the number of the server at `host:port`; assign one if the address is new."""
        return self.names.server_number(address)

    def name(self, number: int) -> str:
        """Return the server's name in logs: its address, or the id that discovery assigned to it."""
        name = self._name_by_number.get(number)
        if name is None:
            self._name_by_number = {number: name for name, number in self.names.numbered_ids()}
            name = self._name_by_number.get(number, str(number))
        return name

    def listed_since_ms(self, address: str, now_ms: float) -> float:
        """Return since when the address is listed, in Unix milliseconds; for a new address, that is `now_ms`.

        `now_ms` is 0 for a server that does not warm up, such as those of the first version.
        """
        return self._listed_since_ms.setdefault(address, now_ms)

    def retain(self, addresses: set[str]) -> None:
        """Forget the listing times of all other addresses: listed again, each may be a new process."""
        self._listed_since_ms = {
            address: since_ms for address, since_ms in self._listed_since_ms.items() if address in addresses
        }
