"""The compiled route table: a request's host, path, method, headers, class and listener to one target.

The first route, in the order of the file, whose every condition holds gives the target; else the default
does. Routes are filed by their path: exact ones and prefixes in tables that are looked up by the path and by
each of its segments, the rest in lists; and the routes of one path by their host. Only what path and host
themselves name is looked at, so that the look-up costs the path's length and not the table's. Regular
expressions are RE2's, whose matching takes linear time; they are tried one by one, where they stand before
the best route found so far.

It never draws: `choose` takes the number to decide a split by from its caller.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from itertools import accumulate

MOST_COMPARED = 200  # routes that a route is compared with, in looking for those that can never match

Headers = Sequence[tuple[bytes, bytes]]
Test = Callable[[bytes], bool]  # of a header's value or of a path


@dataclass(slots=True, frozen=True)
class Query:
    """What is asked: `host` in lower case without its port, `path` without its query."""

    listener: str
    host: bytes
    path: bytes
    method: bytes
    headers: Headers
    request_class: str


@dataclass(slots=True, frozen=True)
class Answer:
    """A fixed answer."""

    status: int
    body: bytes
    content_type: bytes


@dataclass(slots=True, frozen=True)
class Split:
    """Weighted pools; `upto` holds the running sums of their weights. `by` is the header that keeps a caller
    with one pool, in lower case, or empty.
    """

    pools: tuple[str, ...]
    upto: tuple[int, ...]
    by: bytes
    salt: bytes

    @staticmethod
    def of(parts: Iterable[tuple[str, int]], by: bytes = b"", salt: bytes = b"") -> Split:
        kept = [(pool, weight) for pool, weight in parts if weight > 0]
        sums = tuple(accumulate(weight for _, weight in kept))
        return Split(tuple(pool for pool, _ in kept), sums, by.lower(), salt)

    def choose(self, headers: Headers, draw: Callable[[], float]) -> str:
        """The pool for a request: by its header's hash where it has that header, else by `draw` in [0, 1)."""
        point: float | None = None
        if self.by:
            value = next((value for name, value in headers if name.lower() == self.by), None)
            if value is not None:
                digest = blake2b(value, digest_size=8, key=self.salt[:64]).digest()
                point = int.from_bytes(digest) / 2**64
        if point is None:
            point = draw()
        at = bisect_right(self.upto, point * self.upto[-1])
        return self.pools[min(at, len(self.pools) - 1)]


Target = str | Split | Answer  # a pool's name, a split over pools, or an answer


@dataclass(slots=True, frozen=True)
class HeaderTest:
    """A condition on a header: it holds if any of its values passes, `present` False if it is absent."""

    name: bytes
    test: Test | None = None
    present: bool = True

    def holds(self, headers: Headers) -> bool:
        found = [value for name, value in headers if name.lower() == self.name]
        if self.test is None:
            return bool(found) is self.present
        return any(map(self.test, found))


@dataclass(slots=True, frozen=True)
class Route:
    """One route. Empty collections and None stand for no condition; hosts are in lower case, `*.x` for any
    name below x.
    """

    name: str
    target: Target
    exact: bytes | None = None
    prefix: bytes | None = None
    regex: Test | None = None
    hosts: frozenset[bytes] = frozenset()
    methods: frozenset[bytes] = frozenset()
    listeners: frozenset[str] = frozenset()
    classes: frozenset[str] = frozenset()
    headers: tuple[HeaderTest, ...] = ()

    def holds(self, query: Query) -> bool:
        """Whether everything but path and host holds, which the table has looked up."""
        if self.methods and query.method not in self.methods:
            return False
        if self.listeners and query.listener not in self.listeners:
            return False
        if self.classes and query.request_class not in self.classes:
            return False
        if self.regex is not None and not self.regex(query.path):
            return False
        return all(test.holds(query.headers) for test in self.headers)

    def covers(self, other: Route) -> bool:
        """Whether this one holds whenever `other` does, paths aside, so far as the texts tell for certain."""
        if self.regex is not None or self.headers:
            return False
        if self.hosts and not (other.hosts and all(self._host_covers(host) for host in other.hosts)):
            return False
        return all(
            not mine or (theirs and theirs <= mine)
            for mine, theirs in (
                (self.methods, other.methods),
                (self.listeners, other.listeners),
                (self.classes, other.classes),
            )
        )

    def _host_covers(self, host: bytes) -> bool:
        return host in self.hosts or any(wild in self.hosts for wild in wildcards(host))


def prefixes(path: bytes) -> list[bytes]:
    """The prefixes, by whole segments, that may stand for a path: `/a/b` gives /a/b, /a and /; a prefix is
    filed without its last slash.
    """
    found = [path]
    end = len(path)
    while (end := path.rfind(b"/", 0, end)) > 0:
        found.append(path[:end])
    if path != b"/":
        found.append(b"/")
    return found


def wildcards(host: bytes) -> list[bytes]:
    """`a.b.c` gives *.b.c and *.c; a wildcard stands for one label or more."""
    found = []
    if host.startswith(b"*."):
        host = host[2:]
    at = host.find(b".")
    while at >= 0:
        found.append(b"*" + host[at:])
        at = host.find(b".", at + 1)
    return found


def file_prefix(prefix: bytes) -> bytes:
    """A prefix as it is filed."""
    return prefix.rstrip(b"/") or b"/"


class _Hosts:
    """The routes of one path, by host; each list in the order of the file."""

    __slots__ = ("any_host", "by_host")

    def __init__(self) -> None:
        self.any_host: list[int] = []
        self.by_host: dict[bytes, list[int]] = {}

    def add(self, at: int, route: Route) -> None:
        if not route.hosts:
            self.any_host.append(at)
        for host in route.hosts:
            self.by_host.setdefault(host, []).append(at)

    def lists(self, host: bytes) -> list[list[int]]:
        found = [self.any_host] if self.any_host else []
        if self.by_host:
            for key in (host, *wildcards(host)):
                routes = self.by_host.get(key)
                if routes:
                    found.append(routes)
        return found


class RouteTable:
    """Compiled once, never changed: a version of the configuration owns one."""

    MOST_SEGMENTS = 64  # of a path, looked up one by one; guards against paths of thousands of slashes

    def __init__(self, routes: Sequence[Route], default: Target) -> None:
        self.routes = tuple(routes)
        self.default = default
        self._exact: dict[bytes, _Hosts] = {}
        self._prefix: dict[bytes, _Hosts] = {}
        self._rest = _Hosts()
        for at, route in enumerate(self.routes):
            if route.exact is not None:
                self._exact.setdefault(route.exact, _Hosts()).add(at, route)
            elif route.prefix is not None:
                self._prefix.setdefault(file_prefix(route.prefix), _Hosts()).add(at, route)
            else:
                self._rest.add(at, route)

    def match(self, query: Query) -> Route | None:
        """The first route that holds; None stands for the default."""
        best = len(self.routes)
        for filed in self._filed(query.path):
            for candidates in filed.lists(query.host):
                for at in candidates:
                    if at >= best:
                        break
                    if self.routes[at].holds(query):
                        best = at
                        break
        return self.routes[best] if best < len(self.routes) else None

    def _filed(self, path: bytes) -> Iterable[_Hosts]:
        exact = self._exact.get(path)
        if exact is not None:
            yield exact
        if self._prefix:
            if path.count(b"/") > self.MOST_SEGMENTS:
                path = b"/".join(path.split(b"/", self.MOST_SEGMENTS + 1)[: self.MOST_SEGMENTS + 1])
            for prefix in prefixes(path.rstrip(b"/") or b"/"):
                filed = self._prefix.get(prefix)
                if filed is not None:
                    yield filed
        yield self._rest


def unreachable(routes: Sequence[Route]) -> list[tuple[int, int]]:
    """Pairs of a route that can never match and an earlier one that takes all that it would, by their places.
    What only a regular expression or a header could tell is not claimed, nor what stands behind more routes
    for the same paths than are compared.
    """
    exact: dict[bytes, list[int]] = {}
    prefix: dict[bytes, list[int]] = {}
    rest: list[int] = []
    found = []
    for at, route in enumerate(routes):
        under = route.exact if route.exact is not None else route.prefix
        earlier = list(rest)
        if route.exact is not None:
            earlier += exact.get(route.exact, [])
        if under is not None:
            for step in prefixes(file_prefix(under)):
                earlier += prefix.get(step, [])
        candidates = sorted(earlier)[:MOST_COMPARED]
        cover = next((one for one in candidates if routes[one].covers(route)), None)
        if cover is not None:
            found.append((at, cover))
            continue  # what it covers, its cover covers too
        if route.regex is not None or route.headers:
            continue  # covers nothing for certain
        if route.exact is not None:
            exact.setdefault(route.exact, []).append(at)
        elif route.prefix is not None:
            prefix.setdefault(file_prefix(route.prefix), []).append(at)
        else:
            rest.append(at)
    return found
