"""What is known of a request once it is over, for the access log and for tests. No behaviour of its own."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RequestRecord:
    """One finished request. Times are Unix milliseconds.

    Attributes:
        version: Number of the configuration version that the request ran under.
        route: Name of the matched route, "default" if none matched.
        pool: Name of the pool, empty if the route gave a fixed answer.
        servers: Numbers of the servers of its attempts, in order.
        trace_id: Its X-Trace-Id.
        request_class: Name of its request class.
        status: Status of the answer; 0 if the client disconnected before one was sent.
        received_at_ms: When it was received.
        responded_at_ms: When its answer was sent.
        truncated_by: Why its body or answer was aborted: "client", "server" or "time"; else empty.
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
