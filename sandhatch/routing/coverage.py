"""Routes that can never match, since an earlier one takes every request that they would.

Claims only what is certain: nothing that a regular expression or a header decides, and nothing of routes
behind more routes for the same paths than are compared. Used for warnings; no decision depends on it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sandhatch.routing.route import Route, normalized_prefix, prefixes

MAX_COMPARED = 200  # earlier routes that a route is compared with


@dataclass(slots=True, frozen=True)
class CoveredRoute:
    """A route that can never match, and the earlier one that covers it; both by their index."""

    index: int
    covered_by: int


class _PathIndex:
    """Routes by their path, as indices, for finding those whose path covers another's."""

    def __init__(self) -> None:
        self._by_exact: dict[bytes, list[int]] = {}
        self._by_prefix: dict[bytes, list[int]] = {}
        self._any_path: list[int] = []

    def add(self, index: int, route: Route) -> None:
        """Add a route that has no regular expression."""
        if route.exact is not None:
            self._by_exact.setdefault(route.exact, []).append(index)
        elif route.prefix is not None:
            self._by_prefix.setdefault(normalized_prefix(route.prefix), []).append(index)
        else:
            self._any_path.append(index)

    def covering(self, route: Route) -> list[int]:
        """Return the first MAX_COMPARED added routes whose path covers that of `route`."""
        found = list(self._any_path)
        if route.exact is not None:
            found += self._by_exact.get(route.exact, [])
        path = route.exact if route.exact is not None else route.prefix
        if path is not None:
            for prefix in prefixes(normalized_prefix(path)):
                found += self._by_prefix.get(prefix, [])
        return sorted(found)[:MAX_COMPARED]


def unreachable(routes: Sequence[Route]) -> list[CoveredRoute]:
    """Return the routes that can never match, in their order."""
    earlier = _PathIndex()
    found = []
    for index, route in enumerate(routes):
        cover = next((other for other in earlier.covering(route) if routes[other].covers(route)), None)
        if cover is not None:
            found.append(CoveredRoute(index, cover))
            continue  # what it covers, its cover covers too
        if route.regex is not None or route.headers:
            continue  # covers nothing for certain
        earlier.add(index, route)
    return found
