"""A request or an answer, as every protocol hands it on: its head, and its body while that is held whole.

A body that is passed on as it arrives is a `sandhatch.streaming.flow.Flow` beside it. Source of the names
that speak of one connection: RFC 9110 section 7.6.1.
"""

from __future__ import annotations

from typing import NamedTuple

from sandhatch.streaming.flow import Flow, StreamTerms
from sandhatch.streaming.headers import Headers

# Headers that speak of one connection, never passed on; framing is written anew.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class FramingError(Exception):
    """What came is no message that may be taken; `status` is what a caller is told."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Fault(NamedTuple):
    """Why no further message is read. Not the exception itself, whose traceback would hold the reader."""

    status: int
    text: str


class Message:
    """A request or an answer. Header names are kept as they came; look-ups go by lower case.

    `body` is the whole of it, unless `flow` brings it. `length`: of the whole body in bytes, None if only its
    end will tell. `terms`: on which bodies may be passed on as they arrive, None if they may not.
    """

    __slots__ = (
        "body",
        "flow",
        "headers",
        "keep_alive",
        "length",
        "method",
        "names",
        "status",
        "target",
        "terms",
        "version_10",
    )

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.status = 0
        self.headers: Headers = []
        self.names: list[bytes] = []  # of these, in lower case: looked up many times, lowered once
        self.body = b""
        self.flow: Flow | None = None
        self.terms: StreamTerms | None = None
        self.length: int | None = None
        self.keep_alive = True
        self.version_10 = False  # the caller takes no body in pieces of unknown number

    def values(self, name: bytes) -> list[bytes]:
        if name not in self.names:
            return []
        return [field[1] for lower, field in zip(self.names, self.headers, strict=True) if lower == name]

    def add(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))
        self.names.append(name.lower())

    @property
    def size(self) -> int:
        """About what it holds in memory."""
        return len(self.body) + len(self.target) + sum(len(k) + len(v) + 128 for k, v in self.headers)

    def value(self, name: bytes) -> bytes | None:
        """The only value of a header; none if it is absent, FramingError if it comes twice."""
        count = self.names.count(name)
        if count > 1:
            raise FramingError(400, f"header {name.decode('latin-1')} comes more than once")
        return self.headers[self.names.index(name)][1] if count else None

    def passed_on(self, without: bytes = b"") -> Headers:
        """The headers that go on to the other side, but for one, named in lower case."""
        named: frozenset[bytes] | set[bytes] = HOP_BY_HOP
        if b"connection" in self.names:
            listed = (item for value in self.values(b"connection") for item in value.split(b","))
            named = HOP_BY_HOP.union(item.strip().lower() for item in listed)
        fields = zip(self.names, self.headers, strict=True)
        return [field for lower, field in fields if lower not in named and lower != without]
