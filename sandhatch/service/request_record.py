"""The record of a finished request, for the access log and for tests. Plain data."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RequestRecord:
    """One finished request. Times are Unix milliseconds.

    Attributes:
        version: Number of the configuration version that the request belonged to.
        route: Name of the matched route, "default" if none matched.
        pool: Name of the pool; empty if the route has a fixed response.
        servers: Numbers of the servers of the request's attempts, in order.
        trace_id: Value of the X-Trace-Id header.
        request_class: Name of the request class.
        status: Status of the response; 0 if the client disconnected before a response was sent.
        received_at_ms: Time when the request was received.
        responded_at_ms: Time when the response was sent.
        truncated_by: Why the body or the response was aborted: "client", "server" or "time"; else empty.
    """

    version: int
    route: str
    pool: str
    servers: tuple[int, ...]
    trace_id: bytes
    request_class: str
    status: int
    received_at_ms: float
    responded_at_ms: float
    truncated_by: str = ""
