"""Encoding of HTTP/1.1 messages: heads, chunks, and complete messages with small bodies.

No validation and no I/O. Source: RFC 9112.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Piece

CHUNKED_AND_HEAD_END = b"Transfer-Encoding: chunked\r\n\r\n"

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Encodes a complete request. Content-Length is omitted only for a GET request without a body."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method != b"GET":
        parts.append(b"Content-Length: %d\r\n" % len(body))
    parts += (b"\r\n", body)
    return b"".join(parts)


def encode_request_head(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], length: int | None
) -> bytes:
    """Encodes the head of a request whose body follows in pieces.

    Args:
        method: Request method.
        target: Request target.
        headers: Header fields without the framing fields.
        length: Length of the body in bytes; None if the body is chunked.
    """
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(CHUNKED_AND_HEAD_END if length is None else b"Content-Length: %d\r\n\r\n" % length)
    return b"".join(parts)


def encode_response(
    status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes, close: bool = False
) -> bytes:
    """Encodes a complete response; `close` marks it as the last one of its connection."""
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status"))]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"Content-Length: %d\r\n" % len(body))
    if close:
        parts.append(b"Connection: close\r\n")
    parts += (b"\r\n", body)
    return b"".join(parts)


def encode_response_head(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    length: int | None,
    chunked: bool,
    close: bool,
) -> bytes:
    """Encodes the head of a response whose body follows in pieces.

    Without a length and without chunks, the close of the connection marks the end of the body, as HTTP/1.0
    clients require.

    Args:
        status: HTTP status code.
        headers: Header fields without the framing fields.
        length: Length of the body in bytes; None if unknown.
        chunked: Whether a body of unknown length is chunked.
        close: Whether the response is the last one of its connection.
    """
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status"))]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if close:
        parts.append(b"Connection: close\r\n")
    if length is not None:
        parts.append(b"Content-Length: %d\r\n\r\n" % length)
    else:
        parts.append(CHUNKED_AND_HEAD_END if chunked else b"\r\n")
    return b"".join(parts)


def encode_chunk(piece: Piece) -> Sequence[Piece]:
    """Encodes a piece as one chunk (RFC 9112 section 7.1), in parts to be written in order, without a copy.

    An empty piece produces no chunk, because an empty chunk would mark the end of the body.
    """
    return (b"%x\r\n" % len(piece), piece, b"\r\n") if len(piece) else ()


def encode_last_chunk(trailers: Headers) -> bytes:
    """Encodes the last chunk and the trailers of a chunked body."""
    return b"".join((b"0\r\n", *(b"%b: %b\r\n" % field for field in trailers), b"\r\n"))
