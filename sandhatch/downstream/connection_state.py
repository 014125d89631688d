"""The states of a client connection, and their time limits.

A state is derived from what the connection holds and is never stored. Sources: PROTOCOL-sandhatch.md for the
limits, RFC 9112 section 9.6 for the lingering close.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """State of a client connection: the first in the table whose condition holds.

    ================== ================================================= =====================================
    state              condition                                         limit and effect
    ================== ================================================= =====================================
    CLOSING            last response written; received bytes are         aborted after `LINGER_TIMEOUT_MS`
                       discarded (lingering close)
    RESPONSE_UNREAD    the client does not read a response               aborted after `REQUEST_TIMEOUT_MS`
    SERVING            a request is in flight or queued                  aborted if the client disconnected
    WAITING_FOR_MEMORY head of a request with a long body received       503 after the limit `memory_wait_ms`
    RECEIVING_BODY     first part of a body is being buffered            408 if the client sends too slowly
    READING            a request is partially received                   408 after `FIRST_REQUEST_TIMEOUT_MS`,
                                                                         later ones after `REQUEST_TIMEOUT_MS`
    FRESH              no request has been received yet                  closed by `FIRST_REQUEST_TIMEOUT_MS`
    IDLE               all received requests have their responses        closed after `IDLE_TIMEOUT_MS`
    ================== ================================================= =====================================

    SERVING includes a request whose body is still being streamed to a server; the body's flow has its own
    limits.
    """

    CLOSING = "closing"
    RESPONSE_UNREAD = "answer unread"
    SERVING = "serving"
    WAITING_FOR_MEMORY = "waiting for memory"
    RECEIVING_BODY = "receiving body"
    READING = "reading"
    FRESH = "fresh"
    IDLE = "idle"
