"""A fake client with one connection, and the requests that it sends.

The client never retries. Source: the platform's page PROTOCOL, for the header fields.
"""

from __future__ import annotations

import asyncio
from itertools import count

from testkit.wire import RESPONSE_TIMEOUT_S, Response, read_http_response

TRACE_NUMBERS = count(1)  # sequence from which each request gets a new trace id


class HttpClient:
    """One connection to a loopback port, open within its `async with` block."""

    def __init__(self, port: int) -> None:
        """Creates a client that is not connected."""
        self._port = port

    async def __aenter__(self) -> HttpClient:
        """Opens the connection."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self._port)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the connection."""
        self.writer.close()

    def send(self, data: bytes) -> None:
        """Writes bytes unchanged."""
        self.writer.write(data)

    def send_request(
        self, cls: str = "look", body: bytes = b"", target: str = "/api", **headers: str
    ) -> None:
        """Sends a request built by `request_bytes`."""
        self.send(request_bytes(cls, body, target, **headers))

    async def read_response(self) -> Response:
        """Reads the next response."""
        return await read_http_response(self.reader)

    async def read_to_end(self) -> bytes:
        """Reads the remaining bytes until the balancer closes the connection."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            return await self.reader.read()


def request_bytes(cls: str = "look", body: bytes = b"", target: str = "/api", **headers: str) -> bytes:
    """Builds a request.

    Args:
        cls: Request class; `look` without a body becomes a GET, any other request a POST.
        body: Request body.
        target: Request target.
        headers: Additional or replaced header fields; underscores in names become hyphens.
    """
    fields = {
        "Host": "api.internal",
        "X-Trace-Id": f"9b1f03aa{next(TRACE_NUMBERS):08x}",
        "X-Qos": cls,
        "X-Customer": "acme",
        "X-Expires-In-Ms": "8000",
    }
    if cls == "post":
        fields["Idempotency-Key"] = "5c0f6e1a2b3d4c59"
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    method = "GET" if cls == "look" and not body else "POST"
    if method == "POST":
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body
