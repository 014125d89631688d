"""The compiled route table: from a request's listener, host, path, method, headers and class to one route.

The target is that of the first route, in the order of the file, whose conditions all hold; if no route's do,
the default target. Routes are indexed by path: exact paths and prefixes in dictionaries that are looked up by
the path and by each of its prefixes, the other routes in one list; and the routes of one path by host. Only
routes for the path and host are examined, so the cost of a lookup depends on the length of the path and not
on the size of the table. Regular expressions are RE2's, whose matching takes linear time; they are tried one
by one, as long as they precede the best route found so far. The table is immutable and draws no random
numbers.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from sandhatch.routing.route import Query, Route, matching_wildcards, normalize_prefix, prefixes
from sandhatch.routing.targets import Target

MAX_SEGMENTS = (
    64  # path segments that are looked up one by one; bounds the cost of paths of thousands of slashes
)


class _HostIndex:
    """The routes of one path by host, as indices into the table in the order of the file."""

    __slots__ = ("any_host", "by_host")

    def __init__(self) -> None:
        self.any_host: list[int] = []
        self.by_host: dict[bytes, list[int]] = {}

    def add(self, index: int, route: Route) -> None:
        """Add a route; routes must be added in the order of the file."""
        if not route.hosts:
            self.any_host.append(index)
        for host in route.hosts:
            self.by_host.setdefault(host, []).append(index)

    def candidates(self, host: bytes) -> list[list[int]]:
        """Return the index lists of the routes whose host matches."""
        lists = [self.any_host] if self.any_host else []
        if self.by_host:
            for key in (host, *matching_wildcards(host)):
                routes = self.by_host.get(key)
                if routes:
                    lists.append(routes)
        return lists


class RouteTable:
    """The compiled routes of one version of the configuration; immutable.

    Attributes:
        routes: Routes in the order of the file.
        default: Target of requests that no route matches.
    """

    def __init__(self, routes: Sequence[Route], default: Target) -> None:
        """Index the routes, which must be in the order of the file."""
        self.routes = tuple(routes)
        self.default = default
        self._by_exact: dict[bytes, _HostIndex] = {}
        self._by_prefix: dict[bytes, _HostIndex] = {}
        self._other_routes = _HostIndex()
        for index, route in enumerate(self.routes):
            if route.exact is not None:
                self._by_exact.setdefault(route.exact, _HostIndex()).add(index, route)
            elif route.prefix is not None:
                key = normalize_prefix(route.prefix)
                self._by_prefix.setdefault(key, _HostIndex()).add(index, route)
            else:
                self._other_routes.add(index, route)

    def match(self, query: Query) -> Route | None:
        """Return the first route that matches; None if the default applies."""
        best = len(self.routes)
        for hosts in self._indices(query.path):
            for candidates in hosts.candidates(query.host):
                for index in candidates:
                    if index >= best:
                        break
                    if self.routes[index].matches(query):
                        best = index
                        break
        return self.routes[best] if best < len(self.routes) else None

    def _indices(self, path: bytes) -> Iterable[_HostIndex]:
        """Yield the host indices of the routes that may match a path."""
        exact = self._by_exact.get(path)
        if exact is not None:
            yield exact
        if self._by_prefix:
            if path.count(b"/") > MAX_SEGMENTS:
                path = b"/".join(path.split(b"/", MAX_SEGMENTS + 1)[: MAX_SEGMENTS + 1])
            for prefix in prefixes(
                path.rstrip(b"/") or b"/"
            ):  # inlined `normalize_prefix`, since it runs once per request
                hosts = self._by_prefix.get(prefix)
                if hosts is not None:
                    yield hosts
        yield self._other_routes
