"""Numbers by which the balancer identifies servers, zones and machine types.

Server numbers are assigned in the order in which ids are first seen. No number has a meaning outside this
process.
"""

from __future__ import annotations


class EndpointNumbering:
    """Maps discovery's ids and names to numbers; an id's number never changes while it is retained."""

    # Maximum number of retained ids; beyond it the least recently seen id is dropped, and its number is never
    # reused.
    MAX_IDS = 100_000

    def __init__(self, zones: tuple[str, ...], machine_types: tuple[str, ...]) -> None:
        """Create a numbering without servers.

        Args:
            zones: Names of the zones in the order of their numbers, this instance's zone first.
            machine_types: Names of the machine types in the order of their numbers.
        """
        self._numbers: dict[str, int] = {}  # server numbers by id, the most recently seen id last
        self._next_number = 1
        self._zone_numbers = {name: number for number, name in enumerate(zones)}
        self._machine_type_numbers = {name: number for number, name in enumerate(machine_types)}

    def server_number(self, instance_id: str) -> int:
        """Return a server's number; a new id is assigned the next unused number."""
        number = self._numbers.pop(instance_id, None)
        if number is None:
            number = self._next_number
            self._next_number += 1
            if len(self._numbers) >= self.MAX_IDS:
                del self._numbers[next(iter(self._numbers))]
        self._numbers[instance_id] = number
        return number

    def numbered_ids(self) -> list[tuple[str, int]]:
        """Return all retained ids with their numbers, the most recently seen id last."""
        return list(self._numbers.items())

    def zone_number(self, name: str) -> int:
        """Return a zone's number; unknown zones share a number other than that of this instance's zone."""
        return self._zone_numbers.get(name, max(1, len(self._zone_numbers)))

    def machine_type_number(self, name: str) -> int:
        """Return a machine type's number; unknown types share a number."""
        return self._machine_type_numbers.get(name, len(self._machine_type_numbers))
