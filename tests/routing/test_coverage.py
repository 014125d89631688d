"""Detection of routes that can never match."""

from __future__ import annotations

from sandhatch.routing.coverage import CoveredRoute, find_unreachable
from sandhatch.routing.route import Route


def test_routes_covered_by_an_earlier_route_are_unreachable() -> None:
    routes = [
        Route("a", "p", prefix=b"/a"),
        Route("dead", "p", exact=b"/a/b", methods=frozenset([b"GET"])),
        Route("posts", "p", methods=frozenset([b"POST", b"PUT"])),
        Route("dead-too", "p", exact=b"/x", methods=frozenset([b"PUT"])),
        Route("alive", "p", exact=b"/x"),
        Route("all", "p"),
        Route("dead-three", "p", hosts=frozenset([b"h"])),
    ]
    assert find_unreachable(routes) == [CoveredRoute(1, 0), CoveredRoute(3, 2), CoveredRoute(6, 5)]
