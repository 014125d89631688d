"""Reading and writing of HTTP/1.1 messages for the fakes.

Shares no framing code with the program, so that faults in the program's framing are detected. Source:
RFC 9112.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import NamedTuple

RESPONSE_TIMEOUT_S = 20.0  # limit for an expected response or event; a passing test never waits that long


@dataclass
class ReceivedRequest:
    """A request received by a fake server; names of header fields are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Response:
    """A response received by a fake client; names of header fields are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class MessageHead(NamedTuple):
    """The head of a message; names of header fields are in lower case."""

    start_line: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> MessageHead | None:
    """Reads the head of the next message; returns None if the connection ends first."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start_line, *lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    return MessageHead(start_line, {name.lower(): value.strip() for name, _, value in fields})


async def read_http_response(reader: asyncio.StreamReader) -> Response:
    """Reads the next response, whose body has a Content-Length or is empty.

    Raises:
        AssertionError: The connection ended without a response.
        TimeoutError: No complete response was received within RESPONSE_TIMEOUT_S.
    """
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        head = await read_head(reader)
        assert head is not None, "the connection ended without a response"
        body = await reader.readexactly(int(head.headers.get("content-length", "0")))
    return Response(int(head.start_line.split()[1]), head.headers, body)


def ok(body: bytes = b"served", extra: str = "") -> bytes:
    """Builds a response with status 200; `extra` has further header lines, each with its CRLF."""
    return f"HTTP/1.1 200 OK\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


def status(code: int, extra: str = "") -> bytes:
    """Builds a response without a body; `extra` has further header lines, each with its CRLF."""
    return f"HTTP/1.1 {code} X\r\n{extra}Content-Length: 0\r\n\r\n".encode()
