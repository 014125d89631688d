"""A request or an answer: its head, and its body where that is buffered completely.

A body that is streamed is a `sandhatch.streaming.flow.Flow` beside it. No I/O. Source: RFC 9110, of which
section 7.6.1 names the fields that concern one connection only.
"""

from __future__ import annotations

from sandhatch.http1.errors import FramingError
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.terms import StreamTerms

# Fields that concern one connection and are never forwarded; the framing is written anew.
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

# About what one header field costs in memory beside its bytes.
FIELD_OVERHEAD_BYTES = 128


class Message:
    """A request or an answer. Header names keep their case; look-ups go by lower case.

    Attributes:
        method: Of a request, else empty.
        target: Of a request, else empty.
        status: Of an answer, else 0.
        headers: The fields in their order.
        names: The fields' names in lower case: looked up many times, converted once.
        body: The complete body, unless `flow` brings it.
        flow: Brings a body that is streamed; None if it is complete.
        terms: Limits under which the bodies may be streamed; None if they may not.
        length: Bytes of the complete body; None if only its end will tell.
        keep_alive: Whether the connection may carry another message.
        is_http_1_0: Whether the client speaks HTTP/1.0, so that it takes no chunks.
    """

    __slots__ = (
        "body",
        "flow",
        "headers",
        "is_http_1_0",
        "keep_alive",
        "length",
        "method",
        "names",
        "status",
        "target",
        "terms",
    )

    def __init__(self) -> None:
        """Make an empty message, to be filled by a parser."""
        self.method = b""
        self.target = b""
        self.status = 0
        self.headers: Headers = []
        self.names: list[bytes] = []
        self.body = b""
        self.flow: Flow | None = None
        self.terms: StreamTerms | None = None
        self.length: int | None = None
        self.keep_alive = True
        self.is_http_1_0 = False

    @property
    def size(self) -> int:
        """About the bytes that it takes in memory."""
        fields = sum(len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in self.headers)
        return len(self.body) + len(self.target) + fields

    def add(self, name: bytes, value: bytes) -> None:
        """Append a header field."""
        self.headers.append((name, value))
        self.names.append(name.lower())

    def values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header, which is named in lower case."""
        if name not in self.names:
            return []
        return [field[1] for lower, field in zip(self.names, self.headers, strict=True) if lower == name]

    def value(self, name: bytes) -> bytes | None:
        """Returns the only value of a header, which is named in lower case; None if it is absent.

        Raises:
            FramingError: The header comes more than once.
        """
        count = self.names.count(name)
        if count > 1:
            raise FramingError(400, f"header {name.decode('latin-1')} comes more than once")
        return self.headers[self.names.index(name)][1] if count else None

    def passed_on(self, without: bytes = b"") -> Headers:
        """Returns the fields to forward to the other side.

        Args:
            without: A field to leave out, named in lower case.
        """
        excluded: frozenset[bytes] | set[bytes] = HOP_BY_HOP
        if b"connection" in self.names:
            listed = (name for value in self.values(b"connection") for name in value.split(b","))
            excluded = HOP_BY_HOP.union(name.strip().lower() for name in listed)
        fields = zip(self.names, self.headers, strict=True)
        return [field for lower, field in fields if lower not in excluded and lower != without]
