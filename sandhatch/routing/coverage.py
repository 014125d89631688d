"""Detection of routes that can never match, since an earlier route takes every request they would match.

Only certain cases are reported: none that depends on a regular expression or a header, and none that would
need a comparison with more than MAX_COMPARED routes for the same paths. The result is used for warnings only.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sandhatch.routing.route import Route, normalize_prefix, prefixes

MAX_COMPARED = 200  # maximum number of earlier routes that a route is compared with


@dataclass(slots=True, frozen=True)
class CoveredRoute:
    """The index of a route that can never match, and of the earlier route that covers it."""

    index: int
    covered_by: int


class _PathIndex:
    """Indices of routes by path, to find the routes whose path covers that of another route."""

    def __init__(self) -> None:
        self._by_exact: dict[bytes, list[int]] = {}
        self._by_prefix: dict[bytes, list[int]] = {}
        self._any_path: list[int] = []

    def add(self, index: int, route: Route) -> None:
        """Add a route that has no regular expression."""
        if route.exact is not None:
            self._by_exact.setdefault(route.exact, []).append(index)
        elif route.prefix is not None:
            self._by_prefix.setdefault(normalize_prefix(route.prefix), []).append(index)
        else:
            self._any_path.append(index)

    def find_covering(self, route: Route) -> list[int]:
        """Return the first MAX_COMPARED added routes whose path covers that of `route`."""
        found = list(self._any_path)
        if route.exact is not None:
            found += self._by_exact.get(route.exact, [])
        path = route.exact if route.exact is not None else route.prefix
        if path is not None:
            for prefix in prefixes(normalize_prefix(path)):
                found += self._by_prefix.get(prefix, [])
        return sorted(found)[:MAX_COMPARED]


def find_unreachable(routes: Sequence[Route]) -> list[CoveredRoute]:
    """Return the routes that can never match, in the order of the file."""
    earlier = _PathIndex()
    found = []
    for index, route in enumerate(routes):
        cover = next((other for other in earlier.find_covering(route) if routes[other].covers(route)), None)
        if cover is not None:
            found.append(CoveredRoute(index, cover))
            continue  # the earlier covering route also covers every route that this route covers
        if route.regex is not None or route.headers:
            continue  # a route with a regular expression or headers does not certainly cover another route
        earlier.add(index, route)
    return found
