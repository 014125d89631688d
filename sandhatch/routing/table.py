"""The compiled route table: from a request's listener, host, path, method, headers and class to one route.

The first route, in the order of the file, whose every condition holds gives the target; else the default
does. Routes are indexed by their path: exact paths and prefixes in dictionaries that are looked up by the
path and by each of its prefixes, the rest in one list; and the routes of one path by their host. Only what
path and host name is looked at, so a look-up costs the path's length and not the table's. Regular expressions
are RE2's, whose matching takes linear time; they are tried one by one, if they stand before the best route
found so far. The table never changes, and never draws a random number.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from sandhatch.routing.route import Query, Route, normalized_prefix, prefixes, wildcards
from sandhatch.routing.targets import Target

MAX_SEGMENTS = 64  # of a path, looked up one by one; guards against paths of thousands of slashes


class _HostIndex:
    """The routes of one path by host, as indices into the table; each list in the order of the file."""

    __slots__ = ("any_host", "by_host")

    def __init__(self) -> None:
        self.any_host: list[int] = []
        self.by_host: dict[bytes, list[int]] = {}

    def add(self, index: int, route: Route) -> None:
        """Add a route; routes are added in the order of the file."""
        if not route.hosts:
            self.any_host.append(index)
        for host in route.hosts:
            self.by_host.setdefault(host, []).append(index)

    def candidates(self, host: bytes) -> list[list[int]]:
        """Return the lists of routes whose host matches."""
        lists = [self.any_host] if self.any_host else []
        if self.by_host:
            for key in (host, *wildcards(host)):
                routes = self.by_host.get(key)
                if routes:
                    lists.append(routes)
        return lists


class RouteTable:
    """The routes of one version of the configuration, compiled once and never changed.

    Attributes:
        routes: In the order of the file.
        default: The target of requests that no route matches.
    """

    def __init__(self, routes: Sequence[Route], default: Target) -> None:
        """Index the routes, which stand in the order of the file."""
        self.routes = tuple(routes)
        self.default = default
        self._by_exact: dict[bytes, _HostIndex] = {}
        self._by_prefix: dict[bytes, _HostIndex] = {}
        self._others = _HostIndex()
        for index, route in enumerate(self.routes):
            if route.exact is not None:
                self._by_exact.setdefault(route.exact, _HostIndex()).add(index, route)
            elif route.prefix is not None:
                key = normalized_prefix(route.prefix)
                self._by_prefix.setdefault(key, _HostIndex()).add(index, route)
            else:
                self._others.add(index, route)

    def match(self, query: Query) -> Route | None:
        """Return the first route that holds; None stands for the default."""
        best = len(self.routes)
        for hosts in self._indices(query.path):
            for candidates in hosts.candidates(query.host):
                for index in candidates:
                    if index >= best:
                        break
                    if self.routes[index].holds(query):
                        best = index
                        break
        return self.routes[best] if best < len(self.routes) else None

    def _indices(self, path: bytes) -> Iterable[_HostIndex]:
        """Yield the indices of the routes that a path may take."""
        exact = self._by_exact.get(path)
        if exact is not None:
            yield exact
        if self._by_prefix:
            if path.count(b"/") > MAX_SEGMENTS:
                path = b"/".join(path.split(b"/", MAX_SEGMENTS + 1)[: MAX_SEGMENTS + 1])
            for prefix in prefixes(path.rstrip(b"/") or b"/"):  # inline: once a request
                hosts = self._by_prefix.get(prefix)
                if hosts is not None:
                    yield hosts
        yield self._others
