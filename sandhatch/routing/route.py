"""One compiled route with its conditions and target, and the query that routes are matched against.

A route tests every condition except exact path, prefix and host, which the table looks up. Routes are
immutable. Source:
docs/operators/configuration.md.
"""

from __future__ import annotations

from collections.abc import Callable, Set
from dataclasses import dataclass

from sandhatch.routing.targets import Headers, Target

Predicate = Callable[[bytes], bool]  # tests a header's value or a path


@dataclass(slots=True, frozen=True)
class Query:
    """The properties of a request that routes are matched against.

    Attributes:
        listener: Name of the listener that the request arrived on.
        host: Host in lower case, without its port.
        path: Path without its query.
        method: Method in upper case.
        headers: All headers, as received.
        request_class: Name of the request's class.
    """

    listener: str
    host: bytes
    path: bytes
    method: bytes
    headers: Headers
    request_class: str


@dataclass(slots=True, frozen=True)
class HeaderCondition:
    """A condition on a header.

    Attributes:
        name: Header name in lower case.
        predicate: Test that one of the header's values must pass; None if only the presence counts.
        present: Whether the header must be present or absent; only used without a predicate.
    """

    name: bytes
    predicate: Predicate | None = None
    present: bool = True

    def matches(self, headers: Headers) -> bool:
        """Whether a request with these headers meets the condition."""
        values = [value for name, value in headers if name.lower() == self.name]
        if self.predicate is None:
            return bool(values) is self.present
        return any(map(self.predicate, values))


@dataclass(slots=True, frozen=True)
class Route:
    """One route. An empty collection or None stands for no condition.

    Attributes:
        name: Name, unique in the table.
        target: Pool, split or fixed response that the route leads to.
        exact: Complete path.
        prefix: Complete segments that the path starts with: /a matches /a and /a/b, not /ab.
        regex: Predicate for the complete path.
        hosts: Hosts in lower case, one of which must match; `*.x` stands for any name below x.
        methods: Methods, one of which must match.
        listeners: Names of listeners, one of which must match.
        classes: Names of request classes, one of which must match.
        headers: Conditions on headers, all of which must hold.
    """

    name: str
    target: Target
    exact: bytes | None = None
    prefix: bytes | None = None
    regex: Predicate | None = None
    hosts: frozenset[bytes] = frozenset()
    methods: frozenset[bytes] = frozenset()
    listeners: frozenset[str] = frozenset()
    classes: frozenset[str] = frozenset()
    headers: tuple[HeaderCondition, ...] = ()

    def matches(self, query: Query) -> bool:
        """Whether all conditions hold, except exact path, prefix and host, which the table looks up."""
        if self.methods and query.method not in self.methods:
            return False
        if self.listeners and query.listener not in self.listeners:
            return False
        if self.classes and query.request_class not in self.classes:
            return False
        if self.regex is not None and not self.regex(query.path):
            return False
        return all(condition.matches(query.headers) for condition in self.headers)

    def covers(self, other: Route) -> bool:
        """Whether this route certainly matches whenever `other` matches, exact path and prefix aside."""
        if self.regex is not None or self.headers:
            return False
        if self.hosts and not (other.hosts and all(self._covers_host(host) for host in other.hosts)):
            return False
        return (
            _covers_names(self.methods, other.methods)
            and _covers_names(self.listeners, other.listeners)
            and _covers_names(self.classes, other.classes)
        )

    def _covers_host(self, host: bytes) -> bool:
        return host in self.hosts or any(wildcard in self.hosts for wildcard in matching_wildcards(host))


def _covers_names(names: Set[object], others: Set[object]) -> bool:
    return not names or (bool(others) and others <= names)


def prefixes(path: bytes) -> list[bytes]:
    """Return every prefix of a path by complete segments: `/a/b` gives /a/b, /a and /."""
    found = [path]
    end = len(path)
    while (end := path.rfind(b"/", 0, end)) > 0:
        found.append(path[:end])
    if path != b"/":
        found.append(b"/")
    return found


def normalize_prefix(prefix: bytes) -> bytes:
    """Return a prefix without trailing slashes; `/` stays."""
    return prefix.rstrip(b"/") or b"/"


def matching_wildcards(host: bytes) -> list[bytes]:
    """Return the wildcards that match a host: `a.b.c` gives *.b.c and *.c.

    A wildcard stands for one or more labels. For a host that is a wildcard itself, only wider wildcards are
    returned: `*.b.c` gives *.c.
    """
    found = []
    if host.startswith(b"*."):
        host = host[2:]
    dot = host.find(b".")
    while dot >= 0:
        found.append(b"*" + host[dot:])
        dot = host.find(b".", dot + 1)
    return found
