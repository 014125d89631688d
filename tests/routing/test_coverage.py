"""Routes that can never match are found."""

from __future__ import annotations

from sandhatch.routing.coverage import CoveredRoute, unreachable
from sandhatch.routing.route import Route


def test_routes_that_can_never_match_are_found() -> None:
    routes = [
        Route("a", "p", prefix=b"/a"),
        Route("dead", "p", exact=b"/a/b", methods=frozenset([b"GET"])),
        Route("posts", "p", methods=frozenset([b"POST", b"PUT"])),
        Route("dead-too", "p", exact=b"/x", methods=frozenset([b"PUT"])),
        Route("alive", "p", exact=b"/x"),
        Route("all", "p"),
        Route("dead-three", "p", hosts=frozenset([b"h"])),
    ]
    assert unreachable(routes) == [CoveredRoute(1, 0), CoveredRoute(3, 2), CoveredRoute(6, 5)]
