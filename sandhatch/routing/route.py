"""One compiled route: its conditions and its target; and what is asked of it.

A route tests everything but path and host, which the table looks up. Never changes once made. Source:
docs/operators/configuration.md.
"""

from __future__ import annotations

from collections.abc import Callable, Set
from dataclasses import dataclass

from sandhatch.routing.targets import Headers, Target

Test = Callable[[bytes], bool]  # of a header's value or of a path


@dataclass(slots=True, frozen=True)
class Query:
    """What routes are matched against.

    Attributes:
        listener: The name of the listener that the request came in on.
        host: In lower case, without its port.
        path: Without its query.
        method: In upper case.
        headers: All of them, as they were received.
        request_class: The name of its class.
    """

    listener: str
    host: bytes
    path: bytes
    method: bytes
    headers: Headers
    request_class: str


@dataclass(slots=True, frozen=True)
class HeaderTest:
    """A condition on a header.

    Attributes:
        name: In lower case.
        test: Holds if any of the header's values passes it; None if only its presence counts.
        present: Without a test: whether the header must be present, or absent.
    """

    name: bytes
    test: Test | None = None
    present: bool = True

    def holds(self, headers: Headers) -> bool:
        """Whether a request with these headers meets the condition."""
        values = [value for name, value in headers if name.lower() == self.name]
        if self.test is None:
            return bool(values) is self.present
        return any(map(self.test, values))


@dataclass(slots=True, frozen=True)
class Route:
    """One route. Empty collections and None stand for no condition.

    Attributes:
        name: Unique in the table.
        target: What it leads to.
        exact: The path.
        prefix: Complete segments that the path starts with: /a matches /a and /a/b, not /ab.
        regex: A test of the complete path.
        hosts: In lower case; `*.x` for any name below x. One must match.
        methods: One must match.
        listeners: Names; one must match.
        classes: Names; one must match.
        headers: All must hold.
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
        """Whether all conditions hold but exact path, prefix and host, which the table has looked up."""
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
        """Whether this one certainly holds whenever `other` does, exact path and prefix aside."""
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
        return host in self.hosts or any(wildcard in self.hosts for wildcard in wildcards(host))


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


def normalized_prefix(prefix: bytes) -> bytes:
    """Return a prefix without its last slash; `/` stays."""
    return prefix.rstrip(b"/") or b"/"


def wildcards(host: bytes) -> list[bytes]:
    """Return the wildcards that match a host: `a.b.c` gives *.b.c and *.c.

    A wildcard stands for one label or more; of a wildcard, the wider ones are returned.
    """
    found = []
    if host.startswith(b"*."):
        host = host[2:]
    dot = host.find(b".")
    while dot >= 0:
        found.append(b"*" + host[dot:])
        dot = host.find(b".", dot + 1)
    return found
