"""The numbers by which the balancer knows servers, zones and machine types.

They are given here, in the order in which names come up, and mean nothing outside this process.
"""

from __future__ import annotations


class EndpointNumbering:
    """Numbers for the ids and words that discovery uses; an id keeps its number for good."""

    MOST = 100_000  # ids; past that the one seen longest ago is forgotten, and its number never used again

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        """Create the numbering.

        Args:
            zones: the names of the zones, in the order of their numbers, the own one first.
            kinds: the names of the machine types, in the order of their numbers.
        """
        self._numbers: dict[str, int] = {}  # by id, the one seen last at the end
        self._next_number = 1
        self._zone_numbers = {name: number for number, name in enumerate(zones)}
        self._kind_numbers = {name: number for number, name in enumerate(kinds)}

    def server(self, instance_id: str) -> int:
        """Return the number of a server, a new one for a new id."""
        number = self._numbers.pop(instance_id, None)
        if number is None:
            number = self._next_number
            self._next_number += 1
            if len(self._numbers) >= self.MOST:
                del self._numbers[next(iter(self._numbers))]
        self._numbers[instance_id] = number
        return number

    def known(self) -> list[tuple[str, int]]:
        """Return every id and its number."""
        return list(self._numbers.items())

    def zone(self, name: str) -> int:
        """Return the number of a zone; all unknown zones share one that is not the own zone's."""
        return self._zone_numbers.get(name, max(1, len(self._zone_numbers)))

    def kind(self, name: str) -> int:
        """Return the number of a machine type; all unknown types share one."""
        return self._kind_numbers.get(name, len(self._kind_numbers))
