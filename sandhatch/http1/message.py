"""A request or a response: its head, and its body if that is buffered completely.

A streamed body is a separate `sandhatch.streaming.flow.Flow`. No I/O. Source: RFC 9110, where section 7.6.1
lists the hop-by-hop fields.
"""

from __future__ import annotations

from sandhatch.http1.errors import FramingError
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.limits import StreamLimits

# Fields that apply to a single connection and are never forwarded. The framing of the forwarded message is
# generated anew.
HOP_BY_HOP_FIELDS = frozenset(
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

# Memory of one header field in addition to its bytes: four objects and their entries in two lists.
FIELD_OVERHEAD_BYTES = 240


class Message:
    """A request or a response. Header names retain their case; look-ups use lower case.

    Attributes:
        method: Method of a request; empty for a response.
        target: Target of a request; empty for a response.
        status: Status code of a response; 0 for a request.
        headers: Header fields in the order in which they were received.
        lower_names: Names of the header fields in lower case, converted once because they are looked up
            often.
        body: Complete body, unless `flow` supplies the body.
        flow: Flow of a streamed body; None if the body is buffered completely.
        limits: Limits under which the bodies may be streamed; None if streaming is not allowed.
        length: Length of the complete body in bytes; None if unknown until the body ends.
        keep_alive: Whether the connection may carry another message.
        is_http_1_0: Whether the client uses HTTP/1.0, which has no chunked transfer coding.
    """

    __slots__ = (
        "body",
        "flow",
        "headers",
        "is_http_1_0",
        "keep_alive",
        "length",
        "limits",
        "lower_names",
        "method",
        "status",
        "target",
    )

    def __init__(self) -> None:
        """Create an empty message, to be filled in by a parser."""
        self.method = b""
        self.target = b""
        self.status = 0
        self.headers: Headers = []
        self.lower_names: list[bytes] = []
        self.body = b""
        self.flow: Flow | None = None
        self.limits: StreamLimits | None = None
        self.length: int | None = None
        self.keep_alive = True
        self.is_http_1_0 = False

    @property
    def approximate_bytes(self) -> int:
        """Approximate size of the message in memory, in bytes."""
        # The name counts twice: `lower_names` has a copy.
        fields = sum(2 * len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in self.headers)
        return len(self.body) + len(self.target) + fields

    def add(self, name: bytes, value: bytes) -> None:
        """Append a header field."""
        self.headers.append((name, value))
        self.lower_names.append(name.lower())

    def values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header; `name` is in lower case."""
        if name not in self.lower_names:
            return []
        return [
            field[1]
            for lower_name, field in zip(self.lower_names, self.headers, strict=True)
            if lower_name == name
        ]

    def value(self, name: bytes) -> bytes | None:
        """Returns the single value of a header, or None if it is absent; `name` is in lower case.

        Raises:
            FramingError: The header occurs more than once.
        """
        count = self.lower_names.count(name)
        if count > 1:
            raise FramingError(400, f"header {name.decode('latin-1')} comes more than once")
        return self.headers[self.lower_names.index(name)][1] if count else None

    def forwarded_headers(self, without: bytes = b"") -> Headers:
        """Returns the fields to forward to the other side.

        Args:
            without: Name, in lower case, of a field to leave out.
        """
        excluded: frozenset[bytes] | set[bytes] = HOP_BY_HOP_FIELDS
        if b"connection" in self.lower_names:
            connection_options = (name for value in self.values(b"connection") for name in value.split(b","))
            excluded = HOP_BY_HOP_FIELDS.union(name.strip().lower() for name in connection_options)
        fields = zip(self.lower_names, self.headers, strict=True)
        return [field for lower_name, field in fields if lower_name not in excluded and lower_name != without]
