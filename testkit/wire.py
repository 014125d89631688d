"""HTTP/1.1 messages as the fakes read and write them, by hand.

It shares no framing with the program, so that a fault there is seen here. Source: RFC 9112.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import NamedTuple

RESPONSE_TIMEOUT_S = 20.0  # a bound on what must come; a test that passes never waits that long


@dataclass
class ReceivedRequest:
    """A request as a fake server received it; names of header fields are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Response:
    """A response as a fake client received it; names of header fields are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class MessageHead(NamedTuple):
    """The head of a message; names of header fields are in lower case."""

    start_line: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> MessageHead | None:
    """The head of the next message, None if the connection ends before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start_line, *lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    return MessageHead(start_line, {name.lower(): value.strip() for name, _, value in fields})


async def read_http_response(reader: asyncio.StreamReader) -> Response:
    """The next response, whose body has a Content-Length or is empty.

    Raises:
        AssertionError: the connection ended without a response.
        TimeoutError: it didn't come within RESPONSE_TIMEOUT_S.
    """
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        head = await read_head(reader)
        assert head is not None, "the connection ended without an answer"
        body = await reader.readexactly(int(head.headers.get("content-length", "0")))
    return Response(int(head.start_line.split()[1]), head.headers, body)


def ok(body: bytes = b"served", extra: str = "") -> bytes:
    """A response of status 200; `extra` has further header lines, each with its CRLF."""
    return f"HTTP/1.1 200 OK\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


def status(code: int, extra: str = "") -> bytes:
    """A response of this status without a body; `extra` has further header lines, each with its CRLF."""
    return f"HTTP/1.1 {code} X\r\n{extra}Content-Length: 0\r\n\r\n".encode()
